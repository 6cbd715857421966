//! Client of the platform's log service over HTTP.
//!
//! An append that returns an error counts as not appended only if its request was
//! not sent or the service refused it before it stored the record.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_wire::{ClientConn, Connector, WireError};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use monoio::time::timeout;

use crate::{AppendError, Appended, Batch, ReadError, Stream};

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const MAX_IDLE_CONNECTIONS: usize = 4;

/// A client of the log service; clones share its connections.
#[derive(Clone)]
pub struct HttpLog {
    connector: Connector,
    timeout: Duration,
    idle_connections: Rc<RefCell<Vec<ClientConn>>>,
}

impl std::fmt::Debug for HttpLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpLog").field("address", &self.connector.address).finish_non_exhaustive()
    }
}

/// Why an exchange failed and whether its request may have reached the service.
enum ExchangeError {
    NotSent(WireError),
    MayHaveBeenSent(String),
}

impl HttpLog {
    /// Creates a client that connects on first use.
    ///
    /// `timeout` limits each connection attempt and, separately, each exchange; a
    /// read may take its wait time in addition.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { connector: Connector { address, timeout }, timeout, idle_connections: Rc::default() }
    }

    pub(crate) async fn append(&self, stream: Stream, data: String) -> Result<u64, AppendError> {
        let uri = stream_uri(format!("/v1/streams/{}/records", stream.as_str()));
        let response = self.exchange(Method::POST, uri, data.into(), self.timeout).await;
        let (status, body) = match response {
            Ok(response) => response,
            Err(ExchangeError::NotSent(e)) => return Err(AppendError::NotAppended(e.to_string())),
            Err(ExchangeError::MayHaveBeenSent(e)) => return Err(AppendError::Indeterminate(e)),
        };
        match status {
            StatusCode::OK => {
                parse::<Appended>(&body).map(|a| a.offset).map_err(AppendError::Indeterminate)
            }
            // The service sends these statuses before it stores the record.
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(AppendError::NotAppended(format!("the log answered {status}")))
            }
            _ => Err(AppendError::Indeterminate(format!("the log answered {status}"))),
        }
    }

    pub(crate) async fn read(
        &self,
        stream: Stream,
        from: u64,
        max_wait: Duration,
    ) -> Result<Batch, ReadError> {
        let name = stream.as_str();
        let wait_ms = max_wait.as_millis();
        let uri = stream_uri(format!("/v1/streams/{name}/records?from={from}&wait_ms={wait_ms}"));
        let response = self.exchange(Method::GET, uri, Bytes::new(), self.timeout + max_wait).await;
        let (status, body) = response.map_err(|e| match e {
            ExchangeError::NotSent(e) => ReadError(e.to_string()),
            ExchangeError::MayHaveBeenSent(e) => ReadError(e),
        })?;
        if status != StatusCode::OK {
            return Err(ReadError(format!("the log answered {status}")));
        }
        parse(&body).map_err(ReadError)
    }

    /// Removes idle connections, the most recently used first, until one is still
    /// usable, and returns that one. The unusable ones are closed.
    fn take_idle_connection(&self) -> Option<ClientConn> {
        let mut idle = self.idle_connections.borrow_mut();
        while let Some(mut conn) = idle.pop() {
            if conn.is_idle_and_open() {
                return Some(conn);
            }
        }
        None
    }

    async fn exchange(
        &self,
        method: Method,
        uri: Uri,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let mut conn = match self.take_idle_connection() {
            Some(conn) => conn,
            None => self.connector.connect().await.map_err(ExchangeError::NotSent)?,
        };
        let exchange = async {
            conn.send(&method, &uri, &HeaderMap::new(), body).await?;
            let head = conn.read_head(&method).await?;
            let body = conn.read_body(MAX_RESPONSE_BYTES).await?;
            Ok::<_, WireError>((head.status(), body))
        };
        let response = match timeout(time_limit, exchange).await {
            Ok(response) => response.map_err(|e| ExchangeError::MayHaveBeenSent(e.to_string()))?,
            Err(_) => {
                // The other idle connections have probably stalled as well.
                self.idle_connections.borrow_mut().clear();
                return Err(ExchangeError::MayHaveBeenSent(
                    "the log did not answer in time".to_owned(),
                ));
            }
        };
        let mut idle = self.idle_connections.borrow_mut();
        if conn.is_reusable() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(conn);
        }
        Ok(response)
    }
}

fn stream_uri(text: String) -> Uri {
    Uri::from_maybe_shared(text).expect("stream names are valid in a URI path")
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| format!("invalid response from the log: {e}"))
}
