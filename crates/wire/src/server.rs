//! HTTP/1.1 server connections.
//!
//! [`Limits`] bounds the size of a request, the time to read it, and the time of each write.

use std::{pin::pin, rc::Rc, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Version, header};
use monoio::{
    io::{AsyncWriteRent, stream::Stream},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};
use monoio_codec::FramedRead;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;

use crate::{
    Request, WireError,
    body::BodyReader,
    budget::{MemoryBudget, MemoryKind, Permit, Reader},
    decode::{Framing, StrictHeadDecoder, parse_framing},
    encode::{self, BodyLength, LAST_CHUNK},
    paced::PacedStream,
    payload::Body,
    socket,
};

/// Size limits and timeouts of a server connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head, in bytes; 16 KiB by default.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes; 4 MiB by default.
    pub body_bytes: usize,
    /// Maximum wait for the first byte of a request; 75 s by default.
    pub idle_timeout: Duration,
    /// Maximum time to receive a request head from its first byte; 10 s by default.
    pub head_timeout: Duration,
    /// Maximum time to receive a request body; 60 s by default.
    pub body_timeout: Duration,
    /// Maximum time for which a write makes no progress; 60 s by default.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(75),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(60),
        }
    }
}

/// An accepted connection, which carries one exchange at a time.
pub struct ServerConn {
    framed: FramedRead<PacedStream, StrictHeadDecoder<RequestHeadDecoder>>,
    limits: Limits,
    keep_alive: bool,
    request_started_at: Instant,
    /// Whether the latest request is a `HEAD`, whose response ends with its head.
    is_head: bool,
    budget: Option<Rc<MemoryBudget>>,
    /// The memory for the body of the latest request, until its response is written.
    body_permit: Option<Permit>,
}

impl ServerConn {
    /// Creates a server connection from an accepted TCP stream.
    pub fn new(stream: TcpStream, limits: Limits) -> Self {
        // With Nagle's algorithm, each small chunk would wait for the peer's acknowledgement.
        let _ = stream.set_nodelay(true);
        let decoder = StrictHeadDecoder::new(limits.head_bytes).skip_empty_line();
        // The buffer is allocated on the first byte, so that idle connections use little memory.
        let framed = FramedRead::with_capacity(PacedStream::new(stream), decoder, 0);
        Self {
            framed,
            limits,
            keep_alive: true,
            request_started_at: Instant::now(),
            is_head: false,
            budget: None,
            body_permit: None,
        }
    }

    /// Counts what the connection holds in a budget. `permit` is for the connection itself.
    ///
    /// A request for which no memory is free fails in [`ServerConn::read_request`], and a response
    /// fails if its reader is evicted.
    pub fn with_budget(mut self, budget: Rc<MemoryBudget>, permit: Permit) -> Self {
        // An error means that the peer has closed the connection already.
        let _ = socket::limit_buffers(self.framed.get_ref().tcp());
        self.framed.decoder_mut().set_permit(permit);
        self.budget = Some(budget);
        self
    }

    /// Waits for the first byte of a request.
    ///
    /// Returns false when the idle timeout expires, and true when bytes have arrived or
    /// the peer has closed the connection. The future can be dropped without losing data.
    pub async fn wait_for_request(&mut self) -> Result<bool, WireError> {
        if !self.framed.read_buffer().is_empty() {
            return Ok(true);
        }
        // An idle connection holds no buffer.
        *self.framed.read_buffer_mut() = BytesMut::new();
        match timeout(self.limits.idle_timeout, self.framed.get_ref().tcp().readable(false)).await {
            Ok(ready) => Ok(ready.map(|()| true)?),
            Err(_) => Ok(false),
        }
    }

    /// Reads a request with its complete body.
    ///
    /// Returns `None` when the connection is not kept alive, or when the peer closed
    /// it or was idle for too long between requests.
    ///
    /// # Errors
    ///
    /// When the request is invalid, exceeds a limit or a timeout, or is incomplete.
    pub async fn read_request(&mut self) -> Result<Option<Request>, WireError> {
        self.body_permit = None;
        self.framed.decoder_mut().free_message();
        if !self.keep_alive {
            return Ok(None);
        }
        if !self.wait_for_request().await? {
            return Ok(None);
        }
        self.request_started_at = Instant::now();
        let head = match timeout(self.limits.head_timeout, self.framed.next()).await {
            Ok(None) => return self.check_closed_between_requests(),
            Ok(Some(head)) => head,
            Err(_) => Err(WireError::TimedOut { operation: "reading the head" }),
        };
        self.is_head = match &head {
            Ok(head) => head.method == Method::HEAD,
            Err(_) => self.framed.read_buffer().starts_with(b"HEAD "),
        };
        let head = head?;
        let framing = match parse_framing(head.version, &head.headers)? {
            Framing::NoLength => Framing::Empty,
            stated => stated,
        };
        self.keep_alive = wants_keep_alive(head.version, &head.headers);
        self.check_content_length(framing)?;
        self.body_permit = self.reserve_body(framing).await?;
        self.send_continue_if_expected(&head.headers, framing).await?;
        let mut body = BodyReader::new(framing, self.limits.body_bytes);
        let read_body = body.read_to_end(&mut self.framed, self.limits.body_bytes);
        let body = match timeout(self.limits.body_timeout, read_body).await {
            Ok(body) => body?,
            Err(_) => return Err(WireError::TimedOut { operation: "reading the body" }),
        };
        if let Some(permit) = &mut self.body_permit {
            permit.shrink_to(body.len());
        }
        Ok(Some(Request::from_parts(head, body)))
    }

    /// Writes a complete response; large bodies are not copied. The body of a response to `HEAD` is
    /// left out.
    ///
    /// # Errors
    ///
    /// When the connection fails, or the reader makes no progress or is evicted. The response is
    /// then incomplete and the connection has to be closed.
    pub async fn write_response(
        &mut self,
        res: Response<impl Into<Body>>,
    ) -> Result<(), WireError> {
        let (mut head, body) = res.into_parts();
        let mut body: Body = body.into();
        self.set_connection_header(&mut head.headers);
        let length = match head.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => BodyLength::None,
            // The response to GET may have a body.
            _ if self.is_head && body.is_empty() => BodyLength::None,
            _ => BodyLength::Known(body.len()),
        };
        if self.is_head {
            body = Body::default();
        }
        let mut buf = Vec::with_capacity(HEAD_BUFFER_BYTES);
        encode::write_response_head(&mut buf, head.status, &head.headers, length);
        // The request's head may be as large as a response, and is not needed any more.
        drop(head);
        let mut writer = Writer::new(body.len());
        if body.len() <= MAX_COALESCED_BODY_BYTES {
            while let Some(segment) = body.next_segment() {
                buf.extend_from_slice(&segment);
            }
            self.write_all(buf.into(), &mut writer).await?;
        } else {
            self.write_all(buf.into(), &mut writer).await?;
            while let Some(segment) = body.next_segment() {
                self.write_all(segment, &mut writer).await?;
            }
        }
        self.body_permit = None;
        Ok(())
    }

    /// Writes the head of a chunked response; [`ServerConn::write_chunk`] adds the body.
    pub async fn start_stream(&mut self, mut head: Response<()>) -> Result<(), WireError> {
        self.set_connection_header(head.headers_mut());
        let mut buf = Vec::with_capacity(HEAD_BUFFER_BYTES);
        encode::write_response_head(&mut buf, head.status(), head.headers(), BodyLength::Chunked);
        self.write_buf(buf).await
    }

    /// Sends one chunk immediately; empty data is ignored, as an empty chunk ends the body.
    pub async fn write_chunk(&mut self, data: &[u8]) -> Result<(), WireError> {
        if data.is_empty() || self.is_head {
            return Ok(());
        }
        let mut buf = Vec::with_capacity(data.len() + MAX_CHUNK_FRAME_BYTES);
        encode::write_chunk(&mut buf, data);
        self.write_buf(buf).await
    }

    /// Sends the last chunk, which marks a chunked response as complete.
    pub async fn end_stream(&mut self) -> Result<(), WireError> {
        let written = match self.is_head {
            true => Ok(()),
            false => self.write_buf(LAST_CHUNK.to_vec()).await,
        };
        self.body_permit = None;
        written
    }

    /// Disables keep-alive, so that the next response is the last one on the connection.
    pub fn close_after_response(&mut self) {
        self.keep_alive = false;
    }

    /// Returns the time at which the first byte of the latest request was available.
    pub fn request_started_at(&self) -> Instant {
        self.request_started_at
    }

    /// Returns whether the connection stays open for another request.
    pub fn is_keep_alive(&self) -> bool {
        self.keep_alive
    }

    /// Waits until the peer closes the connection or the connection fails.
    ///
    /// The future never resolves if the peer sends more data instead.
    pub async fn peer_closed(&mut self) {
        let is_closed = match self.framed.peek_data().await {
            Ok(data) => data.is_empty(),
            Err(_) => true,
        };
        if !is_closed {
            std::future::pending::<()>().await;
        }
    }

    /// Closes the connection after a response, so that the peer can still read the response.
    ///
    /// Closing a socket with unread bytes resets the connection, and the peer could
    /// lose the response. Incoming bytes are therefore discarded for a limited time.
    pub async fn lingering_close(mut self) {
        let _ = self.framed.get_mut().tcp_mut().shutdown().await;
        let drain = async {
            for _ in 0..MAX_LINGER_READS {
                self.framed.read_buffer_mut().clear();
                match self.framed.peek_data().await {
                    Ok(data) if !data.is_empty() => {}
                    _ => break,
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }

    fn check_closed_between_requests(&self) -> Result<Option<Request>, WireError> {
        if self.framed.read_buffer().is_empty() {
            return Ok(None);
        }
        Err(WireError::UnexpectedEof)
    }

    fn check_content_length(&self, framing: Framing) -> Result<(), WireError> {
        match framing {
            Framing::Length(length) if length > self.limits.body_bytes => {
                Err(WireError::BodyTooLarge { limit: self.limits.body_bytes })
            }
            _ => Ok(()),
        }
    }

    /// Waits for memory for a body; small ones count with the head.
    async fn reserve_body(&mut self, framing: Framing) -> Result<Option<Permit>, WireError> {
        let bytes = match framing {
            Framing::Length(bytes) => bytes,
            Framing::Chunked => self.limits.body_bytes,
            Framing::Empty | Framing::NoLength => 0,
        };
        let Some(budget) = self.budget.clone() else { return Ok(None) };
        let no_memory = WireError::NoMemoryForBody { bytes };
        if bytes <= SMALL_BODY_BYTES {
            return match self.framed.decoder_mut().count(bytes) {
                true => Ok(None),
                false => Err(no_memory),
            };
        }
        let bytes = bytes.min(budget.max_bytes(MemoryKind::RequestBodies));
        let permit = budget.reserve(MemoryKind::RequestBodies, bytes, MAX_MEMORY_WAIT).await;
        permit.map(Some).ok_or(no_memory)
    }

    async fn send_continue_if_expected(
        &mut self,
        headers: &HeaderMap,
        framing: Framing,
    ) -> Result<(), WireError> {
        let expects_continue = headers
            .get(header::EXPECT)
            .is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue"));
        if expects_continue && framing != Framing::Empty {
            self.write_buf(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()).await?;
        }
        Ok(())
    }

    fn set_connection_header(&self, headers: &mut HeaderMap) {
        headers.remove(header::CONNECTION);
        if !self.keep_alive {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }

    async fn write_buf(&mut self, buf: Vec<u8>) -> Result<(), WireError> {
        let mut writer = Writer::new(buf.len());
        self.write_all(buf.into(), &mut writer).await
    }

    async fn write_all(&mut self, mut buf: Bytes, writer: &mut Writer) -> Result<(), WireError> {
        while !buf.is_empty() {
            let written = match self.write_some(buf.clone(), writer).await {
                Ok(0) => return Err(WireError::UnexpectedEof),
                Ok(written) => written,
                Err(e) => {
                    // What the kernel still holds for the peer is freed, too.
                    socket::reset_on_close(self.framed.get_ref().tcp());
                    return Err(e);
                }
            };
            buf.advance(written);
            writer.record(written);
        }
        Ok(())
    }

    async fn write_some(&mut self, buf: Bytes, writer: &mut Writer) -> Result<usize, WireError> {
        let mut write = pin!(self.framed.get_mut().tcp_mut().write(buf));
        // Most writes succeed at once and need neither a timer nor an entry among the readers.
        if let Some((written, _)) = write.as_mut().now_or_never() {
            return Ok(written?);
        }
        let reader = writer.reader(self.budget.as_ref());
        let evicted = async {
            match reader {
                Some(reader) => reader.evicted().await,
                None => std::future::pending().await,
            }
        };
        monoio::select! {
            written = write => Ok(written.0?),
            () = evicted => Err(WireError::Evicted),
            () = sleep(self.limits.write_timeout) => {
                Err(WireError::TimedOut { operation: "writing the response" })
            }
        }
    }
}

/// The progress of a response that is being written.
struct Writer {
    len: usize,
    written_bytes: usize,
    /// Exists once the peer was slower than the connection.
    reader: Option<Reader>,
}

impl Writer {
    fn new(len: usize) -> Self {
        Self { len, written_bytes: 0, reader: None }
    }

    fn record(&mut self, bytes: usize) {
        self.written_bytes += bytes;
        if let Some(reader) = &self.reader {
            reader.record_read(bytes, Instant::now());
        }
    }

    fn reader(&mut self, budget: Option<&Rc<MemoryBudget>>) -> Option<&mut Reader> {
        if self.reader.is_none() {
            // What was written until now is in the buffers of the kernel, and need not have been read.
            let held_bytes = self.len.saturating_sub(self.written_bytes);
            self.reader = Some(budget?.add_reader(held_bytes, Instant::now()));
        }
        self.reader.as_mut()
    }
}

/// Largest body of a request that counts with the head.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Longest wait for memory for a body; the caller waits meanwhile, and may send elsewhere after.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(500);
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LINGER_READS: usize = 2048;
/// Initial capacity for the head of a response; most need no more.
const HEAD_BUFFER_BYTES: usize = 512;
/// Largest response body that is sent in the same write as the head, which copies it.
const MAX_COALESCED_BODY_BYTES: usize = 16 * 1024;
/// What the frame of a chunk takes beside its data.
const MAX_CHUNK_FRAME_BYTES: usize = 20;

fn wants_keep_alive(version: Version, headers: &HeaderMap) -> bool {
    let connection = headers.get(header::CONNECTION).and_then(|c| c.to_str().ok()).unwrap_or("");
    let has = |token: &str| connection.split(',').any(|t| t.trim().eq_ignore_ascii_case(token));
    match version {
        Version::HTTP_11 => !has("close"),
        _ => has("keep-alive"),
    }
}

/// Returns whether a response never has a body, regardless of its headers.
pub(crate) fn has_no_body(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}
