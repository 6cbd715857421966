//! Decoders that enforce size limits and strict framing on top of `monoio-http`.
//!
//! They reject messages that another HTTP implementation could interpret differently.

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, Version, header};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::DecodeError;

use crate::{WireError, budget::Permit};

/// Maximum number of headers that `monoio-http` decodes in one message.
const MAX_HEADERS: usize = 96;

/// Decodes a head of bounded size and rejects bare line feeds and empty lines in place of a head.
///
/// `monoio-http` takes all bytes up to `\r\n\r\n` as the head, but its parser accepts a bare
/// line feed as the end of a line and so can end the head earlier. The bytes between that
/// end and `\r\n\r\n` would be lost. It also skips any number of empty lines.
pub(crate) struct StrictHeadDecoder<D> {
    inner: D,
    max_bytes: usize,
    /// Whether one empty line before a head is skipped.
    skips_empty_line: bool,
    has_skipped_line: bool,
    /// Up to where the incomplete head has been searched for its end.
    searched: usize,
    /// The memory of the connection, which the buffer of a head counts in.
    permit: Option<Permit>,
    /// What the permit holds beside the buffer.
    fixed_bytes: usize,
}

impl<D: Default> StrictHeadDecoder<D> {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            inner: D::default(),
            max_bytes,
            skips_empty_line: false,
            has_skipped_line: false,
            searched: 0,
            permit: None,
            fixed_bytes: 0,
        }
    }

    /// Skips one empty line before a head, which some clients send after a request's body
    /// ([RFC 9112, section 2.2](https://www.rfc-editor.org/rfc/rfc9112#section-2.2)).
    pub(crate) fn skip_empty_line(mut self) -> Self {
        self.skips_empty_line = true;
        self
    }
}

impl<D> StrictHeadDecoder<D> {
    /// Counts the buffer of heads in `permit`, which already holds what the connection itself takes.
    pub(crate) fn set_permit(&mut self, permit: Permit) {
        self.fixed_bytes = permit.bytes();
        self.permit = Some(permit);
    }

    /// Counts `more` bytes for the current message; returns whether there is memory for them.
    pub(crate) fn count(&mut self, more: usize) -> bool {
        self.permit.as_mut().is_none_or(|permit| permit.try_grow_to(permit.bytes() + more))
    }

    /// Frees what was counted for the last message.
    pub(crate) fn free_message(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.shrink_to(self.fixed_bytes);
        }
    }

    fn count_buffer(&mut self, src: &BytesMut) -> Result<(), WireError> {
        let bytes = self.fixed_bytes + src.capacity();
        match self.permit.as_mut().is_none_or(|permit| permit.try_grow_to(bytes)) {
            true => Ok(()),
            false => Err(WireError::NoMemoryForHead),
        }
    }

    /// Removes an empty line that may be skipped; fails if another one is in place of the head.
    ///
    /// Returns false if the first line is incomplete so far.
    fn skip_to_head(&mut self, src: &mut BytesMut) -> Result<bool, WireError> {
        if self.skips_empty_line && !self.has_skipped_line {
            if src.starts_with(b"\r\n") {
                src.advance(2);
                self.has_skipped_line = true;
            } else if **src == *b"\r" {
                return Ok(false);
            }
        }
        match src.first() {
            Some(b'\r' | b'\n') => {
                Err(WireError::Malformed("an empty line in place of a head".to_owned()))
            }
            first => Ok(first.is_some()),
        }
    }

    /// Returns the length of the head, if it is complete.
    fn find_head_end(&mut self, src: &[u8]) -> Option<usize> {
        let from = self.searched.saturating_sub(HEAD_END.len() - 1);
        let end = src[from..].windows(HEAD_END.len()).position(|w| w == HEAD_END);
        self.searched = if end.is_some() { 0 } else { src.len() };
        Some(from + end? + HEAD_END.len())
    }
}

/// The end of the last header and the empty line after it.
const HEAD_END: &[u8] = b"\r\n\r\n";

impl<D: Decoder<Error = DecodeError>> Decoder for StrictHeadDecoder<D> {
    type Item = D::Item;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, WireError> {
        self.count_buffer(src)?;
        if !self.skip_to_head(src)? {
            return Ok(Decoded::Insufficient);
        }
        let too_large = WireError::HeadTooLarge { limit: self.max_bytes };
        let Some(end) = self.find_head_end(src) else {
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
        self.has_skipped_line = false;
        match self.inner.decode(src)? {
            Decoded::Some(head) => Ok(Decoded::Some(head)),
            _ => Err(WireError::Malformed("an incomplete head".to_owned())),
        }
    }
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
    use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};

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

    #[test]
    fn one_empty_line_is_skipped_before_a_request_and_none_before_a_response() {
        let request = b"GET / HTTP/1.1\r\n\r\n".as_slice();
        for lines in 0..3 {
            let text = ["\r\n".repeat(lines).as_bytes(), request].concat();
            let mut decoder = StrictHeadDecoder::<RequestHeadDecoder>::new(1024).skip_empty_line();
            let mut src = BytesMut::new();
            let decoded: Vec<bool> = text
                .iter()
                .map_while(|byte| {
                    src.extend_from_slice(&[*byte]);
                    decoder.decode(&mut src).ok().map(|head| matches!(head, Decoded::Some(_)))
                })
                .collect();
            assert_eq!(decoded.last() == Some(&true), lines < 2, "{lines} lines");
            assert!(lines < 2 || decoded.len() < 5);
        }
        let mut decoder = StrictHeadDecoder::<ResponseHeadDecoder>::new(1024);
        assert!(decoder.decode(&mut "\r\nHTTP/1.1 200 OK\r\n\r\n".into()).is_err());
    }

    #[test]
    fn bytes_of_a_long_head_are_searched_once() {
        let mut decoder = StrictHeadDecoder::<ResponseHeadDecoder>::new(1024);
        let mut src = BytesMut::new();
        for pieces in 1..20 {
            src.extend_from_slice(b"HTTP/1.1 200 OK ");
            assert!(matches!(decoder.decode(&mut src), Ok(Decoded::Insufficient)));
            assert_eq!(decoder.searched, pieces * 16);
        }
        src.extend_from_slice(HEAD_END);
        assert!(matches!(decoder.decode(&mut src), Ok(Decoded::Some(_))));
    }
}
