//! A caller or operator for tests and examples.

use std::{net::SocketAddr, time::Duration};

use baobabvane_wire::{ClientConn, Connector, WireError};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use monoio::time::Instant;
use serde_json::Value;

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// What came back.
#[derive(Clone, Debug)]
pub struct Received {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// From sending to the first byte of the body.
    pub first_byte: Duration,
    /// From sending to the end of the body.
    pub whole: Duration,
}

impl Received {
    /// Returns the body as JSON; `null` when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns a header as text; empty when it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the signature of an endpoint of the users' platform; empty without one.
    pub fn signature(&self) -> &str {
        self.header("x-baobabvane-response-signature")
    }

    /// Returns the verdict that the answer carries.
    pub fn verdict(&self) -> &str {
        self.header("baobabvane-verdict")
    }
}

/// Sends requests to one address with one bearer token.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    headers: HeaderMap,
}

impl Caller {
    /// Makes a caller; it opens a connection for each request.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::try_from(format!("Bearer {token}")).expect("a token is ASCII");
        headers.insert(http::header::AUTHORIZATION, value);
        Self { address, headers }
    }

    /// Makes a caller of the users' platform that sends one attempt to the host of
    /// [`crate::route_document`] and waits `patience_ms` for its answer.
    pub fn for_attempt(address: SocketAddr, key: &str, id: &str, patience_ms: u64) -> Self {
        Self::new(address, key)
            .with("host", "desk.example")
            .with("x-baobabvane-attempt-id", id)
            .with("x-baobabvane-deadline-remaining", &patience_ms.to_string())
    }

    /// Adds a header to all requests.
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        let value = HeaderValue::try_from(value).expect("a header's value is ASCII");
        self.headers.insert(HeaderName::from_static(name), value);
        self
    }

    /// Opens a connection.
    pub async fn connect(&self) -> Result<ClientConn, WireError> {
        Connector { address: self.address, timeout: Duration::from_secs(5) }.connect().await
    }

    /// Sends a request on a new connection and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Received, WireError> {
        let mut conn = self.connect().await?;
        self.send_on(&mut conn, method, path, body).await
    }

    /// Sends a request on an open connection and reads the whole answer.
    pub async fn send_on(
        &self,
        conn: &mut ClientConn,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Received, WireError> {
        let uri = Uri::try_from(path).expect("the path is valid");
        let start = Instant::now();
        conn.send(&method, &uri, &self.headers, body.into()).await?;
        let head = conn.read_head(&method).await?;
        let mut body = Vec::new();
        let mut first_byte = None;
        while let Some(piece) = conn.next_piece().await? {
            first_byte.get_or_insert_with(|| start.elapsed());
            body.extend_from_slice(&piece);
            assert!(body.len() <= MAX_ANSWER_BYTES, "the answer is too large");
        }
        let whole = start.elapsed();
        Ok(Received {
            status: head.status(),
            headers: head.headers().clone(),
            body: body.into(),
            first_byte: first_byte.unwrap_or(whole),
            whole,
        })
    }

    /// Sends a GET.
    pub async fn get(&self, path: &str) -> Result<Received, WireError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST with a JSON body.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Received, WireError> {
        self.send(Method::POST, path, body.to_string()).await
    }

    /// Sends a PUT with a JSON body.
    pub async fn put(&self, path: &str, body: &Value) -> Result<Received, WireError> {
        self.send(Method::PUT, path, body.to_string()).await
    }
}
