//! Binds TCP listeners.
//!
//! Ports are not shared (no `SO_REUSEPORT`), so a second process fails to bind.

use std::{io, net::SocketAddr};

use monoio::net::{ListenerOpts, TcpListener};

/// Maximum number of established connections that wait to be accepted.
const MAX_PENDING_CONNECTIONS: i32 = 4_096;

/// Binds a TCP listener with a backlog of 4,096 connections.
///
/// # Errors
///
/// When the address cannot be bound; the message contains the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let opts = ListenerOpts::new().backlog(MAX_PENDING_CONNECTIONS).reuse_port(false);
    TcpListener::bind_with_config(address, &opts)
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))
}
