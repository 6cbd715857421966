//! Talks to the operators' API of an instance.

use std::{net::SocketAddr, time::Duration};

use baobabvane_domain::{Problem, ResourceName, Spec};
use baobabvane_wire::{ClientConn, Connector, WireError};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};
use serde_json::{Value, json};
use thiserror::Error;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The instance could not be reached, or broke off.
    #[error("{address}: {source}")]
    Transport {
        /// The instance.
        address: SocketAddr,
        /// Why.
        source: WireError,
    },
    /// The instance refused.
    #[error("{}: {}", .0.title, .0.detail)]
    Refused(Box<Problem>),
    /// The answer makes no sense.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

/// A client of one instance.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    connector: Connector,
    headers: HeaderMap,
}

impl OperatorClient {
    /// Makes a client; it connects for each call.
    ///
    /// # Errors
    ///
    /// When the token has characters that a header cannot carry.
    pub fn new(address: SocketAddr, token: &str) -> Result<Self, ClientError> {
        let value = HeaderValue::try_from(format!("Bearer {token}"))
            .map_err(|e| ClientError::Unexpected(format!("the token: {e}")))?;
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, value);
        Ok(Self { connector: Connector { address, timeout: CALL_TIMEOUT }, headers })
    }

    /// Creates or replaces a resource; `version` is the one that must be in force.
    pub async fn put(
        &self,
        name: &ResourceName,
        spec: &Spec,
        version: Option<u64>,
    ) -> Result<Value, ClientError> {
        let body = json!({ "spec": untagged_spec(spec) }).to_string();
        self.call(Method::PUT, &resource_path(name), precondition_header(version), body).await
    }

    /// Removes a resource; `version` is the one that must be in force.
    pub async fn delete(
        &self,
        name: &ResourceName,
        version: Option<u64>,
    ) -> Result<Value, ClientError> {
        self.call(Method::DELETE, &resource_path(name), precondition_header(version), String::new())
            .await
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> Result<Value, ClientError> {
        self.call(Method::GET, path, None, String::new()).await
    }

    /// Posts to a path without a body.
    pub async fn post(&self, path: &str) -> Result<Value, ClientError> {
        self.call(Method::POST, path, None, String::new()).await
    }

    /// Reads lines of JSON from a path until the instance ends them.
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
            return Err(parse_problem(&body));
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
            return Err(parse_problem(&body));
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

fn parse_problem(body: &[u8]) -> ClientError {
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

fn precondition_header(version: Option<u64>) -> Option<(HeaderName, HeaderValue)> {
    match version? {
        0 => Some((header::IF_NONE_MATCH, HeaderValue::from_static("*"))),
        version => Some((header::IF_MATCH, version.into())),
    }
}

/// Returns a spec without the tag of its type, which the path tells.
fn untagged_spec(spec: &Spec) -> Value {
    let mut value = serde_json::to_value(spec).expect("a spec has string keys only");
    if let Some(fields) = value.as_object_mut() {
        fields.remove("type");
    }
    value
}
