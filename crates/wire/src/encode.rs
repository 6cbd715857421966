//! Encodes message heads and chunks into a buffer.
//!
//! The encoder of `monoio-http` buffers 8 KiB of a streamed body before sending,
//! which would delay the tokens that a model server streams. Here the caller decides
//! when to send the buffer.

use std::io::Write;

use http::{HeaderMap, Method, StatusCode, Uri, header};

/// How a message head states the length of the body.
#[derive(Clone, Copy)]
pub(crate) enum BodyLength {
    Known(usize),
    Chunked,
    None,
}

pub(crate) fn write_request_head(
    buf: &mut Vec<u8>,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    length: BodyLength,
) {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    append_fmt(buf, format_args!("{method} {path} HTTP/1.1\r\n"));
    finish_head(buf, headers, length);
}

pub(crate) fn write_response_head(
    buf: &mut Vec<u8>,
    status: StatusCode,
    headers: &HeaderMap,
    length: BodyLength,
) {
    let reason = status.canonical_reason().unwrap_or("Unknown");
    append_fmt(buf, format_args!("HTTP/1.1 {} {reason}\r\n", status.as_u16()));
    finish_head(buf, headers, length);
}

pub(crate) fn write_chunk(buf: &mut Vec<u8>, data: &[u8]) {
    append_fmt(buf, format_args!("{:x}\r\n", data.len()));
    buf.extend_from_slice(data);
    buf.extend_from_slice(b"\r\n");
}

pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn finish_head(buf: &mut Vec<u8>, headers: &HeaderMap, length: BodyLength) {
    match length {
        BodyLength::Known(bytes) => append_fmt(buf, format_args!("content-length: {bytes}\r\n")),
        BodyLength::Chunked => append_fmt(buf, format_args!("transfer-encoding: chunked\r\n")),
        BodyLength::None => {}
    }
    for (name, value) in headers {
        if name == header::CONTENT_LENGTH || name == header::TRANSFER_ENCODING {
            continue;
        }
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
    buf.extend_from_slice(b"\r\n");
}

fn append_fmt(buf: &mut Vec<u8>, args: std::fmt::Arguments<'_>) {
    buf.write_fmt(args).expect("writing to a Vec cannot fail");
}
