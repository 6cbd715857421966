//! An endpoint that speaks the protocol of the users' platform. It answers with a plain response
//! or an event stream, and counts how often it ran each attempt.
//!
//! The last part of a request's path may ask for a certain answer: `bytes-N` for a body of N bytes,
//! `chunks-N` for the same as a chunked body, `events-N` for a stream of N events of
//! [`LARGE_EVENT_BYTES`] without pauses.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use baobabvane_wire::{Request, Response, ServerConn};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use monoio::time::sleep;

use crate::server::{Handler, ServerHandle, spawn};

const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-baobabvane-attempt-id");
const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-baobabvane-expected-instance");
const SIGNATURE: HeaderName = HeaderName::from_static("x-baobabvane-response-signature");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-baobabvane-not-executed");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Number of events in a complete stream.
pub const STREAM_EVENTS: u64 = 12;
/// Time before each event of a stream.
const EVENT_GAP: Duration = Duration::from_millis(10);

/// Time before the answer of a slow endpoint; many times that of the others.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// Size of an event of a stream that was asked for by `events-N`.
pub const LARGE_EVENT_BYTES: usize = 4 * 1024;
/// Size of a chunk of a body that was asked for by `chunks-N`.
const CHUNK_BYTES: usize = 16 * 1024;

/// A fault that an endpoint injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointFault {
    /// Answers every request normally.
    #[default]
    None,
    /// Rejects requests with 503 and the header that marks them as not executed.
    Sheds,
    /// Runs requests and answers with status 500.
    Errors,
    /// Runs requests and closes the connection without a response.
    LosesAnswers,
    /// Runs requests and never answers.
    Hangs,
    /// Closes the connection of a stream in the middle of an event, after at least two whole
    /// events. A stream that has at most two events left is not cut.
    CutsStreams,
    /// Sends a response with the id of another attempt before the right one.
    ExtraAnswers,
    /// Runs requests and sends bytes that are not an HTTP response.
    Garbage,
    /// Runs requests and answers them late.
    Slow,
}

#[derive(Debug, Default)]
struct Shared {
    fault: EndpointFault,
    runs: HashMap<String, u32>,
}

/// A running endpoint; dropping it stops its thread.
#[derive(Debug)]
pub struct Endpoint {
    server: ServerHandle,
    shared: Arc<Mutex<Shared>>,
}

impl Endpoint {
    /// Starts an endpoint named `id` on a free port. It answers 421 to requests whose header for
    /// the expected instance is missing or differs from `id`.
    pub fn spawn(id: &str) -> Self {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let (handler_shared, id) = (Arc::clone(&shared), id.to_owned());
        let server = spawn(SocketAddr::from(([127, 0, 0, 1], 0)), move || EndpointHandler {
            id,
            shared: handler_shared,
        });
        Self { server, shared }
    }

    /// Returns the address on which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the fault for requests that arrive from now on. `CutsStreams` also affects open
    /// streams.
    pub fn set_fault(&self, fault: EndpointFault) {
        self.shared.lock().expect("the lock is not poisoned").fault = fault;
    }

    /// Returns how often each attempt was run, by attempt id.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.shared.lock().expect("the lock is not poisoned").runs.clone()
    }
}

struct EndpointHandler {
    id: String,
    shared: Arc<Mutex<Shared>>,
}

impl EndpointHandler {
    fn fault(&self) -> EndpointFault {
        self.shared.lock().expect("the lock is not poisoned").fault
    }

    async fn write_stream(&self, conn: &mut ServerConn, req: &Request, headers: HeaderMap) -> bool {
        let after = header(req, &LAST_EVENT_ID).parse::<u64>().unwrap_or(0);
        let mut head = Response::new(Bytes::new());
        *head.headers_mut() = headers;
        let event_stream = HeaderValue::from_static("text/event-stream");
        head.headers_mut().insert(http::header::CONTENT_TYPE, event_stream);
        let (parts, _) = head.into_parts();
        if conn.start_stream(http::Response::from_parts(parts, ())).await.is_err() {
            return false;
        }
        let attempt = header(req, &ATTEMPT_ID);
        if let Some(count) = requested_number(req, "events-") {
            let data = "x".repeat(LARGE_EVENT_BYTES);
            for number in after + 1..=count as u64 {
                let event = format!("id: {number}\ndata: {data}\n\n");
                if conn.write_chunk(event.as_bytes()).await.is_err() {
                    return false;
                }
            }
            return conn.end_stream().await.is_ok();
        }
        for number in after + 1..=STREAM_EVENTS {
            sleep(EVENT_GAP).await;
            if self.fault() == EndpointFault::CutsStreams && number > after + 2 {
                let _ = conn.write_chunk(format!("id: {number}\nda").as_bytes()).await;
                return false;
            }
            let event = format!("id: {number}\ndata: {attempt}\n\n");
            if conn.write_chunk(event.as_bytes()).await.is_err() {
                return false;
            }
        }
        conn.end_stream().await.is_ok()
    }
}

fn header<'a>(req: &'a Request, name: &HeaderName) -> &'a str {
    req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// Returns N if the last part of the request's path is `prefix` followed by N.
fn requested_number(req: &Request, prefix: &str) -> Option<usize> {
    req.uri().path().rsplit('/').next()?.strip_prefix(prefix)?.parse().ok()
}

async fn write_chunks(conn: &mut ServerConn, headers: HeaderMap, len: usize) -> bool {
    let mut head = http::Response::new(());
    *head.headers_mut() = headers;
    if conn.start_stream(head).await.is_err() {
        return false;
    }
    let chunk = [b'x'; CHUNK_BYTES];
    for at in (0..len).step_by(CHUNK_BYTES) {
        if conn.write_chunk(&chunk[..CHUNK_BYTES.min(len - at)]).await.is_err() {
            return false;
        }
    }
    conn.end_stream().await.is_ok()
}

fn signed_headers(attempt: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(attempt) {
        headers.insert(ATTEMPT_ID, value);
    }
    headers.insert(SIGNATURE, HeaderValue::from_static("s"));
    headers
}

fn response(status: StatusCode, headers: HeaderMap, body: String) -> Response {
    let mut res = Response::new(body.into());
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

impl Handler for EndpointHandler {
    async fn handle(&self, conn: &mut ServerConn, req: Request) -> bool {
        let attempt = header(&req, &ATTEMPT_ID).to_owned();
        let not_executed = |status| {
            let mut headers = HeaderMap::new();
            headers.insert(NOT_EXECUTED, HeaderValue::from_static("1"));
            response(status, headers, String::new())
        };
        if header(&req, &EXPECTED_INSTANCE) != self.id {
            return conn
                .write_response(not_executed(StatusCode::MISDIRECTED_REQUEST))
                .await
                .is_ok();
        }
        let fault = self.fault();
        if fault == EndpointFault::Sheds {
            return conn
                .write_response(not_executed(StatusCode::SERVICE_UNAVAILABLE))
                .await
                .is_ok();
        }
        *self
            .shared
            .lock()
            .expect("the lock is not poisoned")
            .runs
            .entry(attempt.clone())
            .or_default() += 1;
        match fault {
            EndpointFault::LosesAnswers => return false,
            EndpointFault::Hangs => {
                conn.peer_closed().await;
                return false;
            }
            EndpointFault::Errors => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                let res = response(status, signed_headers(&attempt), "error".to_owned());
                return conn.write_response(res).await.is_ok();
            }
            EndpointFault::Garbage => {
                // A chunk without a response head is not a valid response.
                let _ = conn.write_chunk(b"%%%%").await;
                return false;
            }
            EndpointFault::ExtraAnswers => {
                let other =
                    response(StatusCode::OK, signed_headers("another"), "another".to_owned());
                if conn.write_response(other).await.is_err() {
                    return false;
                }
            }
            EndpointFault::Slow => sleep(SLOW_ANSWER_DELAY).await,
            EndpointFault::None | EndpointFault::Sheds | EndpointFault::CutsStreams => {}
        }
        if req.uri().path().starts_with("/stream") {
            return self.write_stream(conn, &req, signed_headers(&attempt)).await;
        }
        if let Some(len) = requested_number(&req, "chunks-") {
            return write_chunks(conn, signed_headers(&attempt), len).await;
        }
        let body = match requested_number(&req, "bytes-") {
            Some(len) => "x".repeat(len),
            None => format!("answer {attempt}"),
        };
        let res = response(StatusCode::OK, signed_headers(&attempt), body);
        conn.write_response(res).await.is_ok()
    }
}
