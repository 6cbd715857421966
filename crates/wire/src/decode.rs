//! Decoders that enforce size limits and strict framing on top of `monoio-http`.
//!
//! They reject messages that another HTTP implementation could interpret differently.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Version, header};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::DecodeError;

use crate::WireError;

/// Maximum number of headers that `monoio-http` decodes in one message.
const MAX_HEADERS: usize = 96;

/// Decodes a head of bounded size and rejects bare line feeds.
///
/// `monoio-http` takes all bytes up to `\r\n\r\n` as the head, but its parser accepts a bare
/// line feed as the end of a line and so can end the head earlier. The bytes between that
/// end and `\r\n\r\n` would be lost.
pub(crate) struct StrictHeadDecoder<D> {
    inner: D,
    max_bytes: usize,
}

impl<D: Default> StrictHeadDecoder<D> {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { inner: D::default(), max_bytes }
    }
}

impl<D: Decoder<Error = DecodeError>> Decoder for StrictHeadDecoder<D> {
    type Item = D::Item;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, WireError> {
        let too_large = WireError::HeadTooLarge { limit: self.max_bytes };
        let Some(end) = find_head_end(src) else {
            if src.len() > self.max_bytes {
                return Err(too_large);
            }
            return Ok(Decoded::Insufficient);
        };
        if end > self.max_bytes {
            return Err(too_large);
        }
        if count_head_lines(&src[..end])? > MAX_HEADERS + 1 {
            return Err(too_large);
        }
        Ok(self.inner.decode(src)?)
    }
}

fn find_head_end(src: &[u8]) -> Option<usize> {
    src.windows(4).position(|w| w == b"\r\n\r\n").map(|start| start + 4)
}

/// Counts the start line and the headers; fails if a line ends with a bare line feed.
fn count_head_lines(head: &[u8]) -> Result<usize, WireError> {
    let mut lines = 0;
    let mut previous_byte = 0;
    for &byte in head {
        if byte == b'\n' && previous_byte != b'\r' {
            return Err(WireError::Malformed("bare line feed in the head".to_owned()));
        }
        lines += usize::from(byte == b'\n');
        previous_byte = byte;
    }
    Ok(lines.saturating_sub(1))
}

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The message has no body or a body of zero bytes.
    Empty,
    /// The body has this length in bytes, which is not zero.
    Length(usize),
    /// The body uses chunked transfer encoding.
    Chunked,
    /// No header states the length of the body.
    NoLength,
}

/// Parses the body framing of a message.
///
/// Ambiguous framing is rejected, because two implementations could disagree on
/// where the message ends (request smuggling).
pub(crate) fn parse_framing(version: Version, headers: &HeaderMap) -> Result<Framing, WireError> {
    let has_transfer_encoding = headers.contains_key(header::TRANSFER_ENCODING);
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(WireError::Framing("more than one Content-Length"));
    }
    match (has_transfer_encoding, length) {
        (true, Some(_)) => Err(WireError::Framing("both Content-Length and Transfer-Encoding")),
        (true, None) => parse_transfer_encoding(version, headers),
        (false, Some(length)) => parse_content_length(length.as_bytes()),
        (false, None) => Ok(Framing::NoLength),
    }
}

fn parse_transfer_encoding(version: Version, headers: &HeaderMap) -> Result<Framing, WireError> {
    if version != Version::HTTP_11 {
        return Err(WireError::Framing("Transfer-Encoding before HTTP/1.1"));
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = codings.next().is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if is_chunked && codings.next().is_none() {
        return Ok(Framing::Chunked);
    }
    Err(WireError::Framing("Transfer-Encoding other than chunked"))
}

fn parse_content_length(length: &[u8]) -> Result<Framing, WireError> {
    let invalid = WireError::Framing("Content-Length is not a number");
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(invalid);
    }
    match std::str::from_utf8(length).ok().and_then(|l| l.parse().ok()) {
        Some(0) => Ok(Framing::Empty),
        Some(length) => Ok(Framing::Length(length)),
        None => Err(invalid),
    }
}

/// Decodes a body of known length from the bytes that have arrived.
pub(crate) struct LengthDecoder {
    pub(crate) remaining: usize,
}

impl Decoder for LengthDecoder {
    type Item = Bytes;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Bytes>, WireError> {
        let piece = src.split_to(self.remaining.min(src.len())).freeze();
        self.remaining -= piece.len();
        Ok(Decoded::Some(piece))
    }

    fn decode_eof(&mut self, _: &mut BytesMut) -> Result<Decoded<Bytes>, WireError> {
        Err(WireError::UnexpectedEof)
    }
}

/// Decodes a close-delimited body, which ends with the connection.
pub(crate) struct CloseDelimitedDecoder;

impl Decoder for CloseDelimitedDecoder {
    type Item = Bytes;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Bytes>, WireError> {
        match src.is_empty() {
            true => Ok(Decoded::Insufficient),
            false => Ok(Decoded::Some(src.split().freeze())),
        }
    }
}

#[cfg(test)]
mod tests {
    use http::HeaderValue;

    use super::*;

    fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
        let mut headers = HeaderMap::new();
        for (name, value) in pairs {
            headers.append(*name, HeaderValue::from_static(value));
        }
        headers
    }

    #[test]
    fn ambiguous_lengths_are_rejected() {
        let cases: [&[(&str, &str)]; 5] = [
            &[("content-length", "4"), ("transfer-encoding", "chunked")],
            &[("content-length", "4"), ("content-length", "5")],
            &[("content-length", "+4")],
            &[("transfer-encoding", "gzip, chunked")],
            &[("transfer-encoding", "chunked"), ("transfer-encoding", "identity")],
        ];
        for case in cases {
            assert!(parse_framing(Version::HTTP_11, &headers(case)).is_err(), "{case:?}");
        }
        assert!(
            parse_framing(Version::HTTP_10, &headers(&[("transfer-encoding", "chunked")])).is_err()
        );
    }
}
