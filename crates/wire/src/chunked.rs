//! Decodes chunked transfer encoding ([RFC 9112, section 7.1]).
//!
//! `monoio-http` has a decoder, too, but it takes an empty line for a chunk of size zero, so that
//! empty lines after a chunk pass for the end of the body, and it buffers a chunk until it is
//! complete. This one accepts nothing but chunks, and returns their data as it arrives.
//!
//! [RFC 9112, section 7.1]: https://www.rfc-editor.org/rfc/rfc9112#section-7.1

use bytes::{Buf, Bytes, BytesMut};
use monoio_codec::{Decoded, Decoder};

use crate::WireError;

/// Most digits of a chunk's size. A longer size is no length that memory could have.
const MAX_SIZE_DIGITS: usize = 15;

/// Decodes a chunked body; chunk extensions and trailers are rejected.
pub(crate) struct ChunkedDecoder {
    state: State,
    max_chunk_bytes: usize,
}

/// What is expected next.
#[derive(Clone, Copy)]
enum State {
    /// The line with the size of a chunk.
    Size,
    /// The rest of a chunk's data.
    Data { received: usize, remaining: usize },
    /// The line end after a chunk's data.
    DataEnd,
    /// The empty line after the last chunk.
    BodyEnd,
}

impl ChunkedDecoder {
    /// Creates a decoder that rejects a chunk of which more than `max_chunk_bytes` arrive.
    pub(crate) fn new(max_chunk_bytes: usize) -> Self {
        Self { state: State::Size, max_chunk_bytes }
    }

    /// Takes the line with the size of a chunk; `None` if it is incomplete so far.
    fn take_size(&self, src: &mut BytesMut) -> Result<Option<usize>, WireError> {
        let digits = src.iter().take_while(|b| b.is_ascii_hexdigit()).count();
        if digits > MAX_SIZE_DIGITS || (digits == 0 && !src.is_empty()) {
            return Err(malformed("size"));
        }
        let Some(end) = starts_with_line_end(&src[digits..], "size")? else { return Ok(None) };
        let text = std::str::from_utf8(&src[..digits]).map_err(|_| malformed("size"))?;
        let size = u64::from_str_radix(text, 16).map_err(|_| malformed("size"))?;
        src.advance(digits + end);
        usize::try_from(size).map(Some).map_err(|_| malformed("size"))
    }
}

/// Returns the length of the line end with which `src` begins, or `None` if it is incomplete.
fn starts_with_line_end(src: &[u8], after: &'static str) -> Result<Option<usize>, WireError> {
    match src {
        [b'\r', b'\n', ..] => Ok(Some(2)),
        [] | [b'\r'] => Ok(None),
        _ => Err(malformed(after)),
    }
}

fn malformed(part: &'static str) -> WireError {
    WireError::Malformed(format!("invalid chunk {part}"))
}

impl Decoder for ChunkedDecoder {
    /// A piece of a chunk's data, or `None` at the end of the body.
    type Item = Option<Bytes>;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Option<Bytes>>, WireError> {
        loop {
            match self.state {
                State::Size => match self.take_size(src)? {
                    None => return Ok(Decoded::Insufficient),
                    Some(0) => self.state = State::BodyEnd,
                    Some(size) => self.state = State::Data { received: 0, remaining: size },
                },
                State::Data { .. } if src.is_empty() => return Ok(Decoded::Insufficient),
                State::Data { received, remaining } => {
                    let piece = src.split_to(remaining.min(src.len())).freeze();
                    let received = received + piece.len();
                    if received > self.max_chunk_bytes {
                        return Err(WireError::BodyTooLarge { limit: self.max_chunk_bytes });
                    }
                    self.state = match remaining - piece.len() {
                        0 => State::DataEnd,
                        remaining => State::Data { received, remaining },
                    };
                    return Ok(Decoded::Some(Some(piece)));
                }
                State::DataEnd => match starts_with_line_end(src, "end")? {
                    None => return Ok(Decoded::Insufficient),
                    Some(end) => {
                        src.advance(end);
                        self.state = State::Size;
                    }
                },
                State::BodyEnd => match starts_with_line_end(src, "after the last one")? {
                    None => return Ok(Decoded::Insufficient),
                    Some(end) => {
                        src.advance(end);
                        return Ok(Decoded::Some(None));
                    }
                },
            }
        }
    }

    fn decode_eof(&mut self, _: &mut BytesMut) -> Result<Decoded<Option<Bytes>>, WireError> {
        Err(WireError::UnexpectedEof)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAX_CHUNK_BYTES: usize = 1024;

    /// Decodes a body that arrives in pieces of this size; `None` if it is incomplete.
    fn decode(body: &[u8], piece_bytes: usize) -> Result<Option<Vec<u8>>, WireError> {
        let mut decoder = ChunkedDecoder::new(MAX_CHUNK_BYTES);
        let (mut src, mut data) = (BytesMut::new(), Vec::new());
        for piece in body.chunks(piece_bytes) {
            src.extend_from_slice(piece);
            while !src.is_empty() {
                match decoder.decode(&mut src)? {
                    Decoded::Some(Some(piece)) => data.extend_from_slice(&piece),
                    Decoded::Some(None) => return Ok(Some(data)),
                    _ => break,
                }
            }
        }
        Ok(None)
    }

    #[test]
    fn chunks_are_the_same_however_the_bytes_arrive() {
        let body = b"4\r\nabcd\r\n00A\r\n0123456789\r\n1\r\n\n\r\n0\r\n\r\n";
        for piece_bytes in 1..body.len() {
            let data = decode(body, piece_bytes).unwrap();
            assert_eq!(data.as_deref(), Some(b"abcd0123456789\n".as_slice()), "{piece_bytes}");
        }
    }

    #[test]
    fn bytes_that_are_no_chunk_neither_end_a_body_nor_belong_to_it() {
        let no_chunks = [
            "\r\n\r\n",
            "\n\n",
            "\r\r\n",
            "\n0\r\n\r\n",
            ";\r\n\r\n",
            " 0\r\n\r\n",
            "0 \r\n\r\n",
            "0\n\n",
            "0\r\r\n",
            "0;x=y\r\n\r\n",
            "-0\r\n\r\n",
            "0x0\r\n\r\n",
            "0\r\n\r ",
            "0\r\nx: y\r\n\r\n",
            "4\r\nabcde\r\n0\r\n\r\n",
            "4\r\nabcd0\r\n\r\n",
            "4\nabcd\r\n0\r\n\r\n",
            "00000000000000000\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\n",
        ];
        for bytes in no_chunks {
            let body = format!("2\r\nok\r\n{bytes}");
            for piece_bytes in [1, 2, 3, body.len()] {
                assert!(decode(body.as_bytes(), piece_bytes).is_err(), "{bytes:?}");
            }
        }
    }

    #[test]
    fn a_body_that_is_cut_anywhere_is_incomplete() {
        let body = b"4\r\nabcd\r\n0\r\n\r\n";
        for len in 0..body.len() {
            assert!(matches!(decode(&body[..len], 5), Ok(None)), "{len}");
        }
    }

    #[test]
    fn a_size_without_end_is_rejected_at_once() {
        let mut src = BytesMut::from([b'0'; MAX_SIZE_DIGITS].as_slice());
        let mut decoder = ChunkedDecoder::new(MAX_CHUNK_BYTES);
        assert!(matches!(decoder.decode(&mut src), Ok(Decoded::Insufficient)));
        src.extend_from_slice(b"0");
        assert!(decoder.decode(&mut src).is_err());
    }

    #[test]
    fn a_chunk_over_the_limit_is_rejected_before_it_has_arrived() {
        let mut src = BytesMut::from("fffff\r\n");
        src.extend_from_slice(&[b'x'; 64]);
        let err = ChunkedDecoder::new(16).decode(&mut src).unwrap_err();
        assert_eq!(err.to_string(), "body is over 16 bytes");
    }
}
