//! Reads a body piece by piece, whichever way its end is found.

use bytes::Bytes;
use monoio::io::AsyncReadRent;
use monoio_codec::FramedRead;

use crate::{
    WireError,
    decode::{BoundedChunks, Framing, Rest, Take},
};

/// What is left of a body.
pub(crate) enum Body {
    /// The body was read to its proper end.
    Done,
    /// This many bytes are missing.
    Length(Take),
    /// More chunks follow.
    Chunked(BoundedChunks),
    /// Only the end of the connection ends the body, and the reader does not accept that.
    Unstated,
    /// The orderly end of the connection ends the body.
    UntilClose,
}

impl Body {
    pub(crate) fn new(framing: Framing, max_bytes: usize) -> Self {
        match framing {
            Framing::Empty => Self::Done,
            Framing::Length(remaining) => Self::Length(Take { remaining }),
            Framing::Chunked => Self::Chunked(BoundedChunks::new(max_bytes)),
            Framing::Unstated => Self::Unstated,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    /// Returns the next piece, or `None` at the proper end.
    pub(crate) async fn next<Io: AsyncReadRent, C>(
        &mut self,
        framed: &mut FramedRead<Io, C>,
    ) -> Result<Option<Bytes>, WireError> {
        match self {
            Self::Done => Ok(None),
            Self::Unstated => Err(WireError::Framing("the answer states no length")),
            Self::UntilClose => match framed.next_with(&mut Rest).await {
                Some(piece) => Ok(Some(piece?)),
                None => {
                    *self = Self::Done;
                    Ok(None)
                }
            },
            Self::Length(take) => {
                let piece = framed.next_with(take).await.ok_or(WireError::UnexpectedEof)??;
                if take.remaining == 0 {
                    *self = Self::Done;
                }
                Ok(Some(piece))
            }
            Self::Chunked(chunks) => {
                let chunk = framed.next_with(chunks).await.ok_or(WireError::UnexpectedEof)??;
                if chunk.is_none() {
                    *self = Self::Done;
                }
                Ok(chunk)
            }
        }
    }

    /// Reads to the proper end; `max_bytes` bounds the whole.
    pub(crate) async fn collect<Io: AsyncReadRent, C>(
        &mut self,
        framed: &mut FramedRead<Io, C>,
        max_bytes: usize,
    ) -> Result<Bytes, WireError> {
        let too_large = || WireError::BodyTooLarge { limit: max_bytes };
        if matches!(self, Self::Length(take) if take.remaining > max_bytes) {
            return Err(too_large());
        }
        let Some(first) = self.next(framed).await? else { return Ok(Bytes::new()) };
        if self.is_done() && first.len() <= max_bytes {
            return Ok(first);
        }
        let mut whole = bytes::BytesMut::from(first);
        while let Some(piece) = self.next(framed).await? {
            whole.extend_from_slice(&piece);
            if whole.len() > max_bytes {
                return Err(too_large());
            }
        }
        Ok(whole.freeze())
    }
}
