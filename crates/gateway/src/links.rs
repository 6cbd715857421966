//! Keep-alive connections to endpoints.
//!
//! A connection is reused only well within the endpoint's idle timeout, so that a request does not
//! reach an endpoint that is just closing the connection.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use baobabvane_decide::EndpointKey;
use baobabvane_wire::{ClientConn, Connector, WireError};
use http::HeaderMap;
use monoio::time::Instant;
use slotmap::SecondaryMap;

use crate::headers;

/// Longest time to establish a connection; leaves room for several round trips between
/// availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction of the endpoint's idle timeout during which a connection is reused, so that no request
/// is sent while the endpoint's close is still on its way here.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Idle timeout assumed for an endpoint that advertises none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most idle connections kept for one endpoint; the oldest is closed first.
const MAX_IDLE_PER_ENDPOINT: usize = 4;

struct IdleConnection {
    conn: ClientConn,
    expires_at: Instant,
}

/// The instance's idle connections, by endpoint.
#[derive(Default)]
pub(crate) struct EndpointConnections {
    idle: RefCell<SecondaryMap<EndpointKey, Vec<IdleConnection>>>,
}

impl EndpointConnections {
    /// Returns an idle connection to the endpoint or opens one; after an error, nothing was sent.
    pub(crate) async fn acquire(
        &self,
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> Result<ClientConn, WireError> {
        match self.take_idle(endpoint) {
            Some(conn) => Ok(conn),
            None => self.open(address).await,
        }
    }

    /// Opens a connection; after an error, nothing was sent.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<ClientConn, WireError> {
        let mut conn = Connector { address, timeout: CONNECT_TIMEOUT }.connect().await?;
        conn.accept_close_delimited();
        Ok(conn)
    }

    fn take_idle(&self, endpoint: EndpointKey) -> Option<ClientConn> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let now = Instant::now();
        connections.retain(|idle_conn| idle_conn.expires_at > now);
        while let Some(mut newest) = connections.pop() {
            if newest.conn.is_idle_and_open() {
                return Some(newest.conn);
            }
        }
        None
    }

    /// Keeps a connection for reuse after its response was read to the end; `head` holds the
    /// response's headers. A connection that cannot be reused is closed.
    pub(crate) fn release(&self, endpoint: EndpointKey, conn: ClientConn, head: &HeaderMap) {
        if !conn.is_reusable() {
            return;
        }
        let idle_timeout = advertised_idle_timeout(head).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let expires_at = Instant::now() + idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        let mut idle = self.idle.borrow_mut();
        let Some(entry) = idle.entry(endpoint) else { return };
        let connections = entry.or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(IdleConnection { conn, expires_at });
    }

    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle_conn| idle_conn.expires_at > now);
            !connections.is_empty()
        });
    }
}

/// Returns the idle timeout from the `timeout` parameter of the `Keep-Alive` header.
fn advertised_idle_timeout(head: &HeaderMap) -> Option<Duration> {
    let keep_alive = headers::text(head, &http::HeaderName::from_static("keep-alive"))?;
    let seconds = keep_alive.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
