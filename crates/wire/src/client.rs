//! HTTP/1.1 client connections.
//!
//! A connection carries one exchange at a time and is reusable only after the
//! response has been read completely.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::FutureExt;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Version, header};
use monoio::{
    io::{AsyncWriteRentExt, stream::Stream},
    net::TcpStream,
    time::timeout,
};
use monoio_codec::FramedRead;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

use crate::{
    WireError,
    body::BodyReader,
    decode::{Framing, StrictHeadDecoder, parse_framing},
    encode::{self, BodyLength},
    paced::PacedStream,
    server::has_no_body,
    socket,
};

/// The largest status; larger numbers are no status of HTTP
/// ([RFC 9110, section 15](https://www.rfc-editor.org/rfc/rfc9110#section-15)).
const MAX_STATUS: u16 = 599;
/// Most informational responses that are skipped before a response.
const MAX_INFORMATIONAL_RESPONSES: u32 = 16;
/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a chunk in a chunked response, in bytes.
const MAX_CHUNK_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of a request body that is sent in the same write as the head, in bytes.
const MAX_COALESCED_BODY_BYTES: usize = 16 * 1024;
/// Opens TCP connections to one address.
#[derive(Clone, Copy, Debug)]
pub struct Connector {
    /// IP address and port of the server.
    pub address: SocketAddr,
    /// Maximum time to establish a connection.
    pub timeout: Duration,
}

impl Connector {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When connecting fails or times out; no byte of a request has then been sent.
    pub async fn connect(&self) -> Result<ClientConn, WireError> {
        let stream = timeout(self.timeout, TcpStream::connect_addr(self.address))
            .await
            .map_err(|_| WireError::TimedOut { operation: "connecting" })??;
        Ok(ClientConn::new(stream, self.address))
    }
}

/// A client connection, which carries one exchange at a time.
///
/// Dropping it before the end of a response closes the connection, which
/// cancels the request at a model server.
pub struct ClientConn {
    framed: FramedRead<PacedStream, StrictHeadDecoder<ResponseHeadDecoder>>,
    host: HeaderValue,
    body: BodyReader,
    keep_alive: bool,
    accepts_close_delimited: bool,
    is_close_delimited: bool,
    requests_sent: u64,
    /// Whether the last request was written to its end.
    is_request_written: bool,
}

impl ClientConn {
    fn new(stream: TcpStream, address: SocketAddr) -> Self {
        let _ = stream.set_nodelay(true);
        socket::set_tcp_timeouts(&stream);
        let decoder = StrictHeadDecoder::new(MAX_HEAD_BYTES);
        let host = HeaderValue::from_str(&address.to_string())
            .expect("a socket address is a valid header value");
        Self {
            framed: FramedRead::with_capacity(PacedStream::new(stream), decoder, 0),
            host,
            body: BodyReader::Done,
            keep_alive: true,
            accepts_close_delimited: false,
            is_close_delimited: false,
            requests_sent: 0,
            is_request_written: false,
        }
    }

    /// Accepts close-delimited responses, which state no length and end with the connection.
    ///
    /// They are rejected by default. A connection reset during such a response is an error.
    pub fn accept_close_delimited(&mut self) {
        self.accepts_close_delimited = true;
    }

    /// Bounds what the kernel receives of a response before it is read.
    pub fn limit_receive_buffer(&self) {
        socket::limit_receive_buffer(self.framed.get_ref().tcp());
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// When a write fails; the server may have executed the request even then.
    pub async fn send(
        &mut self,
        method: &Method,
        uri: &http::Uri,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<(), WireError> {
        self.keep_alive = false;
        self.requests_sent += 1;
        self.is_request_written = false;
        let mut headers = headers.clone();
        if !headers.contains_key(header::HOST) {
            headers.insert(header::HOST, self.host.clone());
        }
        let length = match body.is_empty() && omits_zero_content_length(method) {
            true => BodyLength::None,
            false => BodyLength::Known(body.len()),
        };
        let mut buf = Vec::with_capacity(512);
        encode::write_request_head(&mut buf, method, uri, &headers, length);
        if body.len() <= MAX_COALESCED_BODY_BYTES {
            buf.extend_from_slice(&body);
            self.framed.get_mut().tcp_mut().write_all(buf).await.0?;
        } else {
            self.framed.get_mut().tcp_mut().write_all(buf).await.0?;
            self.framed.get_mut().tcp_mut().write_all(body).await.0?;
        }
        self.is_request_written = true;
        Ok(())
    }

    /// Reads the response head for the last sent request, skipping informational responses.
    ///
    /// `method` is the method of that request; a response to `HEAD` has no body.
    ///
    /// # Errors
    ///
    /// When the connection fails, or the server sends something else than a response: among others,
    /// a switch to another protocol, or informational responses without end. Also after
    /// [`ClientConn::send`] has failed: the write may have taken the only sign of a reset, so that
    /// the rest of a close-delimited response would look complete.
    pub async fn read_head(&mut self, method: &Method) -> Result<Response<()>, WireError> {
        if !self.is_request_written {
            return Err(WireError::RequestNotWritten);
        }
        for _ in 0..=MAX_INFORMATIONAL_RESPONSES {
            let head = self.framed.next().await.ok_or(WireError::UnexpectedEof)??;
            if head.status.as_u16() > MAX_STATUS {
                return Err(WireError::Malformed(format!("status {}", head.status.as_u16())));
            }
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(WireError::Malformed("unsolicited switch of protocols".to_owned()));
            }
            if head.status.is_informational() {
                continue;
            }
            let framing = match has_no_body(method, head.status) {
                true => Framing::Empty,
                false => parse_framing(head.version, &head.headers)?,
            };
            self.is_close_delimited = framing == Framing::NoLength;
            self.body = match framing {
                Framing::NoLength if self.accepts_close_delimited => BodyReader::CloseDelimited,
                framing => BodyReader::new(framing, MAX_CHUNK_BYTES),
            };
            self.keep_alive =
                allows_keep_alive(head.version, &head.headers) && framing != Framing::NoLength;
            return Ok(Response::from_parts(head, ()));
        }
        Err(WireError::Malformed("too many informational responses".to_owned()))
    }

    /// Returns whether the body of the last response ends with the connection, so that its end does
    /// not show that it is complete.
    pub fn is_close_delimited(&self) -> bool {
        self.is_close_delimited
    }

    /// Returns the next bytes of the response body, or `None` once it has been read completely.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, WireError> {
        self.body.next_piece(&mut self.framed).await
    }

    /// Returns the number of bytes that are left of a body whose length is stated.
    pub fn stated_len(&self) -> Option<usize> {
        match &self.body {
            BodyReader::Length(decoder) => Some(decoder.remaining),
            _ => None,
        }
    }

    /// Frees the read buffer, which an idle connection does not need.
    pub fn free_buffer(&mut self) {
        if self.framed.read_buffer().is_empty() {
            *self.framed.read_buffer_mut() = Default::default();
        }
    }

    /// Reads the rest of the response body; fails if it is longer than `max_bytes`.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, WireError> {
        self.body.read_to_end(&mut self.framed, max_bytes).await
    }

    /// Returns whether requests were sent on the connection before the last one, so that a faulty
    /// server may still answer one of those.
    pub fn was_kept(&self) -> bool {
        self.requests_sent > 1
    }

    /// Returns whether another request may be sent on the connection.
    ///
    /// Returns false while a response is unread, and after unsolicited bytes have
    /// arrived, so that they are never taken for the next response.
    pub fn is_reusable(&self) -> bool {
        self.keep_alive && self.body.is_done() && self.framed.read_buffer().is_empty()
    }

    /// Returns whether the connection is reusable, still open and has received no
    /// unsolicited bytes.
    pub fn is_idle_and_open(&mut self) -> bool {
        if !self.is_reusable() {
            return false;
        }
        self.framed.get_mut().turn_mut().restart();
        // The peek completes only when bytes or the end of the stream have arrived.
        self.framed.peek_data().now_or_never().is_none()
    }
}

/// Returns whether a request with this method omits `Content-Length` if its body is empty.
fn omits_zero_content_length(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS)
}

fn allows_keep_alive(version: Version, headers: &HeaderMap) -> bool {
    let has_close = headers
        .get(header::CONNECTION)
        .is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"close"));
    version == Version::HTTP_11 && !has_close
}

#[cfg(test)]
mod tests {
    use std::{
        io::{Read, Write},
        net::TcpListener,
        thread,
    };

    use monoio::{LegacyDriver, RuntimeBuilder};

    use super::*;

    /// Guards against a response that is read after its request could not be written. The kernel reports
    /// a reset once; if the write has taken it, the next read sees a proper end, so that a part of a
    /// close-delimited response would look complete.
    #[test]
    fn no_response_is_read_after_a_write_has_failed() {
        const BODY_BYTES: usize = 16 << 20;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart");
            // Closing a connection with unread bytes resets it.
        });
        let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
        runtime.build().expect("a runtime").block_on(async {
            let connector = Connector { address, timeout: Duration::from_secs(5) };
            let mut conn = connector.connect().await.expect("a connection");
            conn.accept_close_delimited();
            let body = Bytes::from(vec![b'x'; BODY_BYTES]);
            let uri = "/".parse().expect("a path");
            let sent = conn.send(&Method::POST, &uri, &HeaderMap::new(), body).await;
            assert!(sent.is_err(), "the request was written");
            let response = conn.read_head(&Method::POST).await;
            assert!(response.is_err(), "{response:?}");
        });
        server.join().expect("the server ends");
    }
}
