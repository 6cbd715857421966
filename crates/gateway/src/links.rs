//! Keep-alive connections to endpoints.
//!
//! A connection is reused only well within the endpoint's idle timeout, so that a request does not
//! reach an endpoint that is just closing the connection.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    ops::{Deref, DerefMut},
    rc::Rc,
    time::Duration,
};

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
/// The longest idle timeout of an endpoint that is told apart.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Most idle connections kept for one endpoint; the oldest is closed first.
const MAX_IDLE_PER_ENDPOINT: usize = 4;

struct IdleConnection {
    conn: EndpointConnection,
    expires_at: Instant,
}

/// The instance's idle connections, by endpoint, and the number of all.
pub(crate) struct EndpointConnections {
    idle: RefCell<SecondaryMap<EndpointKey, Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
    max_open: usize,
}

/// A connection to an endpoint, which counts until it is closed.
pub(crate) struct EndpointConnection {
    conn: ClientConn,
    _counted: OpenCount,
}

struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Deref for EndpointConnection {
    type Target = ClientConn;

    fn deref(&self) -> &ClientConn {
        &self.conn
    }
}

impl DerefMut for EndpointConnection {
    fn deref_mut(&mut self) -> &mut ClientConn {
        &mut self.conn
    }
}

impl EndpointConnections {
    /// Creates a pool for at most `max_open` connections.
    pub(crate) fn new(max_open: usize) -> Self {
        Self { idle: RefCell::default(), open: Rc::default(), max_open }
    }

    /// Returns the number of open connections, idle ones included.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns an idle connection to the endpoint or opens one; after an error, nothing was sent.
    pub(crate) async fn acquire(
        &self,
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> Result<EndpointConnection, WireError> {
        match self.take_idle(endpoint) {
            Some(conn) => Ok(conn),
            None => self.connect(address).await,
        }
    }

    /// Opens a connection; after an error, nothing was sent.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<EndpointConnection, WireError> {
        if self.open.get() >= self.max_open && !self.close_any_idle() {
            metrics::counter!("baobabvane_gateway_refused_total", "reason" => "endpoint connections")
                .increment(1);
            return Err(WireError::TooManyConnections);
        }
        let counted = OpenCount::new(&self.open);
        let mut conn = Connector { address, timeout: CONNECT_TIMEOUT }.connect().await?;
        conn.accept_close_delimited();
        conn.limit_receive_buffer();
        Ok(EndpointConnection { conn, _counted: counted })
    }

    /// Closes an idle connection of any endpoint; returns whether there was one.
    fn close_any_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(endpoint) = idle.keys().next() else { return false };
        let Some(connections) = idle.get_mut(endpoint) else { return false };
        let closed = connections.pop();
        if connections.is_empty() {
            idle.remove(endpoint);
        }
        closed.is_some()
    }

    fn take_idle(&self, endpoint: EndpointKey) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let now = Instant::now();
        connections.retain(|idle_conn| idle_conn.expires_at > now);
        let mut found = None;
        while let Some(mut newest) = connections.pop() {
            if newest.conn.is_idle_and_open() {
                found = Some(newest.conn);
                break;
            }
        }
        if connections.is_empty() {
            idle.remove(endpoint);
        }
        found
    }

    /// Keeps a connection for reuse after its response was read to the end; `head` holds the
    /// response's headers. A connection that cannot be reused is closed.
    pub(crate) fn release(
        &self,
        endpoint: EndpointKey,
        mut conn: EndpointConnection,
        head: &HeaderMap,
    ) {
        if !conn.is_reusable() {
            return;
        }
        conn.free_buffer();
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
    let seconds = headers::parse_count(seconds.trim())?;
    Some(Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT))
}
