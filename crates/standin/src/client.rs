//! An HTTP client that sends requests as a caller or an operator in tests and examples.

use std::{net::SocketAddr, time::Duration};

use baobabvane_wire::{ClientConn, Connector, WireError};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use monoio::time::Instant;
use serde_json::Value;

/// The largest response body that the client accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A complete response and its timing.
#[derive(Clone, Debug)]
pub struct Received {
    /// The HTTP status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body, without transfer encoding.
    pub body: Bytes,
    /// Time from sending the request to the first byte of the body; equals `whole` when the body
    /// is empty.
    pub first_byte: Duration,
    /// Time from sending the request to the end of the body.
    pub whole: Duration,
}

impl Received {
    /// Returns the body parsed as JSON, or `null` when it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the value of a header, or an empty string when it is missing or not ASCII text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the signature that an endpoint of the users' platform adds to its responses, or an
    /// empty string when the header is missing.
    pub fn signature(&self) -> &str {
        self.header("x-baobabvane-response-signature")
    }

    /// Returns the value of the `baobabvane-verdict` header, or an empty string when it is missing.
    pub fn verdict(&self) -> &str {
        self.header("baobabvane-verdict")
    }
}

/// An HTTP client for one address that sends the same bearer token with every request.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    headers: HeaderMap,
}

impl Caller {
    /// Creates a caller for an address. Each request uses a new connection, except with
    /// [`Caller::send_on`].
    pub fn new(address: SocketAddr, token: &str) -> Self {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::try_from(format!("Bearer {token}")).expect("a token is ASCII");
        headers.insert(http::header::AUTHORIZATION, value);
        Self { address, headers }
    }

    /// Creates a caller whose requests carry the headers of one attempt in the protocol of the
    /// users' platform: the host name that [`crate::route_document`] uses, the attempt id and
    /// `time_left_ms`, the time left to the deadline.
    pub fn for_attempt(address: SocketAddr, key: &str, id: &str, time_left_ms: u64) -> Self {
        Self::new(address, key)
            .with("host", "desk.example")
            .with("x-baobabvane-attempt-id", id)
            .with("x-baobabvane-deadline-remaining", &time_left_ms.to_string())
    }

    /// Sets a header on all requests and replaces an earlier value of it.
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        let value = HeaderValue::try_from(value).expect("a header's value is ASCII");
        self.headers.insert(HeaderName::from_static(name), value);
        self
    }

    /// Opens a connection; fails after 5 seconds without one.
    pub async fn connect(&self) -> Result<ClientConn, WireError> {
        Connector { address: self.address, timeout: Duration::from_secs(5) }.connect().await
    }

    /// Sends a request on a new connection and reads the complete response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Received, WireError> {
        let mut conn = self.connect().await?;
        self.send_on(&mut conn, method, path, body).await
    }

    /// Sends a request on an open connection and reads the complete response.
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
            assert!(body.len() <= MAX_RESPONSE_BYTES, "the response body exceeds the limit");
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

    /// Sends a GET request without a body on a new connection.
    pub async fn get(&self, path: &str) -> Result<Received, WireError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request with a JSON body on a new connection.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Received, WireError> {
        self.send(Method::POST, path, body.to_string()).await
    }

    /// Sends a PUT request with a JSON body on a new connection.
    pub async fn put(&self, path: &str, body: &Value) -> Result<Received, WireError> {
        self.send(Method::PUT, path, body.to_string()).await
    }
}
