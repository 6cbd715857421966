//! HTTP client of the operators' API of an instance.
//!
//! Each call opens its own connection, and no call is retried.

use std::{net::SocketAddr, time::Duration};

use baobabvane_domain::{Problem, ResourceName, Spec};
use baobabvane_wire::{ClientConn, Connector, WireError};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};
use serde_json::{Value, json};
use thiserror::Error;

/// Time limit for connecting, and again for sending a request and reading its whole response.
///
/// After connecting, [`OperatorClient::for_each_line`] has no time limit.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Reasons why a call to the operators' API fails.
#[derive(Debug, Error)]
pub enum ClientError {
    /// Connecting or the HTTP exchange failed, for example by a timeout or a malformed response.
    #[error("{address}: {source}")]
    Transport {
        /// Address of the instance's operators' API.
        address: SocketAddr,
        /// Failure of the connection or of the HTTP exchange.
        source: WireError,
    },
    /// The instance returned an error status with a problem document.
    #[error("{}: {}", .0.title, .0.detail)]
    Refused(Box<Problem>),
    /// The response is not the expected JSON, the token is not a valid header value, or the path
    /// is not a valid URI.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

/// Client of the operators' API of one instance.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    connector: Connector,
    headers: HeaderMap,
}

impl OperatorClient {
    /// Creates a client without connecting; each call opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Unexpected`] when the token has characters that an HTTP header
    /// cannot carry.
    pub fn new(address: SocketAddr, token: &str) -> Result<Self, ClientError> {
        let value = HeaderValue::try_from(format!("Bearer {token}"))
            .map_err(|e| ClientError::Unexpected(format!("the token: {e}")))?;
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, value);
        Ok(Self { connector: Connector { address, timeout: CALL_TIMEOUT }, headers })
    }

    /// Creates or replaces a resource and returns the JSON body of the response.
    ///
    /// The instance refuses the call unless `version` is the current version of the resource; 0
    /// requires that the resource does not exist, and `None` sets no precondition.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Refused`] for a response other than 2xx, [`ClientError::Transport`]
    /// when connecting or the HTTP exchange fails or either takes longer than 15 s, and
    /// [`ClientError::Unexpected`] when the body of the response cannot be parsed or the path is
    /// not a valid URI.
    pub async fn put(
        &self,
        name: &ResourceName,
        spec: &Spec,
        version: Option<u64>,
    ) -> Result<Value, ClientError> {
        let body = json!({ "spec": untagged_spec(spec) }).to_string();
        self.call(Method::PUT, &resource_path(name), precondition_header(version), body).await
    }

    /// Deletes a resource and returns the JSON body of the response; `version` is a precondition
    /// as in [`Self::put`].
    ///
    /// # Errors
    ///
    /// Fails as [`Self::put`] does.
    pub async fn delete(
        &self,
        name: &ResourceName,
        version: Option<u64>,
    ) -> Result<Value, ClientError> {
        self.call(Method::DELETE, &resource_path(name), precondition_header(version), String::new())
            .await
    }

    /// Sends a GET request and returns the JSON body.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::put`] does.
    pub async fn get(&self, path: &str) -> Result<Value, ClientError> {
        self.call(Method::GET, path, None, String::new()).await
    }

    /// Sends a POST request without a body and returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::put`] does.
    pub async fn post(&self, path: &str) -> Result<Value, ClientError> {
        self.call(Method::POST, path, None, String::new()).await
    }

    /// Sends a GET request and calls `on_line` with each line of the streamed body, parsed as JSON.
    ///
    /// Returns when the instance ends the stream. Lines that are not valid JSON, such as the empty
    /// keepalive lines of `/v1/watch`, and an unterminated last line are skipped. Connecting is
    /// limited to 15 s; waiting for the response and the duration of the stream are not limited.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Refused`] for a response other than 2xx,
    /// [`ClientError::Transport`] when the connection fails, and [`ClientError::Unexpected`] when
    /// an error response is not a problem document or `path` is invalid.
    pub async fn for_each_line(
        &self,
        path: &str,
        mut on_line: impl FnMut(Value),
    ) -> Result<(), ClientError> {
        let mut conn = self.connect().await?;
        let uri = parse_uri(path)?;
        conn.send(&Method::GET, &uri, &self.headers, Bytes::new())
            .await
            .map_err(|e| self.transport_error(e))?;
        let head = conn.read_head(&Method::GET).await.map_err(|e| self.transport_error(e))?;
        if !head.status().is_success() {
            let body =
                conn.read_body(MAX_RESPONSE_BYTES).await.map_err(|e| self.transport_error(e))?;
            return Err(parse_error_body(&body));
        }
        let mut buffer = Vec::new();
        while let Some(chunk) = conn.next_piece().await.map_err(|e| self.transport_error(e))? {
            buffer.extend_from_slice(&chunk);
            while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                if let Ok(value) = serde_json::from_slice(&line) {
                    on_line(value);
                }
            }
        }
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        precondition: Option<(HeaderName, HeaderValue)>,
        body: String,
    ) -> Result<Value, ClientError> {
        let uri = parse_uri(path)?;
        let mut headers = self.headers.clone();
        headers.extend(precondition.map(|(name, value)| (Some(name), value)));
        let mut conn = self.connect().await?;
        let exchange = async {
            conn.send(&method, &uri, &headers, body.into()).await?;
            let head = conn.read_head(&method).await?;
            Ok::<_, WireError>((head.status(), conn.read_body(MAX_RESPONSE_BYTES).await?))
        };
        let (status, body) = match monoio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(response) => response.map_err(|e| self.transport_error(e))?,
            Err(_) => {
                return Err(self
                    .transport_error(WireError::TimedOut { operation: "waiting for the answer" }));
            }
        };
        if !status.is_success() {
            return Err(parse_error_body(&body));
        }
        serde_json::from_slice(&body).map_err(|e| ClientError::Unexpected(e.to_string()))
    }

    async fn connect(&self) -> Result<ClientConn, ClientError> {
        self.connector.connect().await.map_err(|e| self.transport_error(e))
    }

    fn transport_error(&self, source: WireError) -> ClientError {
        ClientError::Transport { address: self.connector.address, source }
    }
}

/// Returns the error for a response other than 2xx: [`ClientError::Refused`] with the problem
/// document in its body, or [`ClientError::Unexpected`] if the body is not one.
fn parse_error_body(body: &[u8]) -> ClientError {
    match serde_json::from_slice(body) {
        Ok(problem) => ClientError::Refused(Box::new(problem)),
        Err(e) => ClientError::Unexpected(e.to_string()),
    }
}

fn parse_uri(path: &str) -> Result<Uri, ClientError> {
    Uri::try_from(path).map_err(|e| ClientError::Unexpected(format!("path {path:?}: {e}")))
}

fn resource_path(name: &ResourceName) -> String {
    format!("/v1/{}s/{}", name.type_, name.name)
}

/// Returns `If-Match` for a version, `If-None-Match: *` for 0 (the resource must not exist), and
/// no header for `None`.
fn precondition_header(version: Option<u64>) -> Option<(HeaderName, HeaderValue)> {
    match version? {
        0 => Some((header::IF_NONE_MATCH, HeaderValue::from_static("*"))),
        version => Some((header::IF_MATCH, version.into())),
    }
}

/// Returns the spec as JSON without its `type` field, since the path already names the type.
fn untagged_spec(spec: &Spec) -> Value {
    let mut value = serde_json::to_value(spec).expect("a spec has string keys only");
    if let Some(fields) = value.as_object_mut() {
        fields.remove("type");
    }
    value
}
