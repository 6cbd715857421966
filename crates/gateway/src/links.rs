//! Connections to endpoints that are kept for the next request.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use baobabvane_decide::EndpointKey;
use baobabvane_wire::{ClientConn, Connector, WireError};
use http::HeaderMap;
use monoio::time::Instant;
use slotmap::SecondaryMap;

use crate::headers;

/// An endpoint that does not accept a connection within this time is passed over;
/// several round trips between availability zones fit.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The part of the endpoint's own idle timeout during which a connection is used
/// again, so that a request does not cross the endpoint's close.
const IDLE_SHARE: f64 = 0.5;
/// The idle timeout of an endpoint that does not state one.
const UNSTATED_IDLE: Duration = Duration::from_secs(4);
/// Connections that are kept for one endpoint.
const MAX_IDLE: usize = 4;

struct Idle {
    conn: ClientConn,
    until: Instant,
}

/// Idle connections of an instance, by endpoint.
#[derive(Default)]
pub(crate) struct Links {
    idle: RefCell<SecondaryMap<EndpointKey, Vec<Idle>>>,
}

impl Links {
    /// Returns a connection to the endpoint; an error means that nothing was sent.
    pub(crate) async fn get(
        &self,
        endpoint: EndpointKey,
        address: SocketAddr,
    ) -> Result<ClientConn, WireError> {
        if let Some(conn) = self.take_idle(endpoint) {
            return Ok(conn);
        }
        let mut conn = Connector { address, timeout: CONNECT_TIMEOUT }.connect().await?;
        conn.accept_until_close();
        Ok(conn)
    }

    fn take_idle(&self, endpoint: EndpointKey) -> Option<ClientConn> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(endpoint)?;
        let now = Instant::now();
        kept.retain(|i| i.until > now);
        while let Some(mut newest) = kept.pop() {
            if newest.conn.is_quiet() {
                return Some(newest.conn);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end; `head` is the answer's.
    pub(crate) fn keep(&self, endpoint: EndpointKey, conn: ClientConn, head: &HeaderMap) {
        if !conn.is_reusable() {
            return;
        }
        let idle_timeout = stated_idle(head).unwrap_or(UNSTATED_IDLE);
        let until = Instant::now() + idle_timeout.mul_f64(IDLE_SHARE);
        let mut idle = self.idle.borrow_mut();
        let Some(entry) = idle.entry(endpoint) else { return };
        let kept = entry.or_default();
        if kept.len() >= MAX_IDLE {
            kept.remove(0);
        }
        kept.push(Idle { conn, until });
    }

    /// Closes connections that are idle for too long.
    pub(crate) fn close_old(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|i| i.until > now);
            !kept.is_empty()
        });
    }
}

/// Reads the idle timeout that an endpoint states.
fn stated_idle(head: &HeaderMap) -> Option<Duration> {
    let stated = headers::text(head, &http::HeaderName::from_static("keep-alive"))?;
    let seconds = stated.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
