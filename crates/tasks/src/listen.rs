//! Binds listeners.

use std::{io, net::SocketAddr};

use monoio::net::{ListenerOpts, TcpListener};

/// Connections that may wait to be accepted.
const MAX_PENDING_CONNECTIONS: i32 = 4_096;

/// Binds a listener.
///
/// # Errors
///
/// When the address cannot be bound; the error names it.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let opts = ListenerOpts::new().backlog(MAX_PENDING_CONNECTIONS).reuse_port(false);
    TcpListener::bind_with_config(address, &opts)
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))
}
