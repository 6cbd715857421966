//! Reads a message body incrementally, for every kind of body framing.
//!
//! If the connection ends before the end of the body that the framing states, reading
//! fails; a truncated body is never reported as complete.

use bytes::Bytes;
use monoio_codec::FramedRead;

use crate::{
    WireError,
    chunked::ChunkedDecoder,
    decode::{CloseDelimitedDecoder, Framing, LengthDecoder},
    paced::PacedStream,
};

/// Up to this length, a body of unknown length grows by doubling, which copies it. Beyond, address space
/// for the longest one is allocated once; pages that stay unused take no memory.
const MAX_DOUBLED_BYTES: usize = 64 * 1024;

/// Reads the rest of a message body.
pub(crate) enum BodyReader {
    /// The body has been read completely.
    Done,
    /// The body has a known number of remaining bytes.
    Length(LengthDecoder),
    /// The body uses chunked transfer encoding, and its last chunk has not been read.
    Chunked(ChunkedDecoder),
    /// The body has no stated length, and close-delimited bodies are not accepted.
    NoLength,
    /// The body ends when the peer closes the connection without a reset.
    CloseDelimited,
}

impl BodyReader {
    pub(crate) fn new(framing: Framing, max_chunk_bytes: usize) -> Self {
        match framing {
            Framing::Empty => Self::Done,
            Framing::Length(remaining) => Self::Length(LengthDecoder { remaining }),
            Framing::Chunked => Self::Chunked(ChunkedDecoder::new(max_chunk_bytes)),
            Framing::NoLength => Self::NoLength,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    /// Returns the next bytes of the body, or `None` once it has been read completely.
    pub(crate) async fn next_piece<C>(
        &mut self,
        framed: &mut FramedRead<PacedStream, C>,
    ) -> Result<Option<Bytes>, WireError> {
        // Pieces of buffered bytes take no read that would pause.
        let turn = framed.get_mut().turn_mut();
        turn.pause_if_spent().await;
        turn.spend(0);
        match self {
            Self::Done => Ok(None),
            Self::NoLength => Err(WireError::Framing("the answer states no length")),
            Self::CloseDelimited => match framed.next_with(&mut CloseDelimitedDecoder).await {
                Some(piece) => Ok(Some(piece?)),
                None => {
                    *self = Self::Done;
                    Ok(None)
                }
            },
            Self::Length(decoder) => {
                let piece = framed.next_with(decoder).await.ok_or(WireError::UnexpectedEof)??;
                if decoder.remaining == 0 {
                    *self = Self::Done;
                }
                Ok(Some(piece))
            }
            Self::Chunked(decoder) => {
                let chunk = framed.next_with(decoder).await.ok_or(WireError::UnexpectedEof)??;
                if chunk.is_none() {
                    *self = Self::Done;
                }
                Ok(chunk)
            }
        }
    }

    /// Reads the rest of the body; fails if it is longer than `max_bytes`.
    pub(crate) async fn read_to_end<C>(
        &mut self,
        framed: &mut FramedRead<PacedStream, C>,
        max_bytes: usize,
    ) -> Result<Bytes, WireError> {
        let too_large = || WireError::BodyTooLarge { limit: max_bytes };
        if matches!(self, Self::Length(decoder) if decoder.remaining > max_bytes) {
            return Err(too_large());
        }
        let Some(first) = self.next_piece(framed).await? else { return Ok(Bytes::new()) };
        if self.is_done() && first.len() <= max_bytes {
            return Ok(first);
        }
        let mut body = bytes::BytesMut::from(first);
        if let Self::Length(decoder) = self {
            body.reserve(decoder.remaining);
        }
        while let Some(piece) = self.next_piece(framed).await? {
            if body.len() + piece.len() > max_bytes {
                return Err(too_large());
            }
            if body.len() > MAX_DOUBLED_BYTES && body.capacity() < max_bytes {
                body.reserve(max_bytes - body.len());
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }
}
