//! Socket options of TCP connections.

use std::os::fd::{AsRawFd, BorrowedFd};
use std::{io, time::Duration};

use monoio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Maximum time for which sent bytes may stay unacknowledged before the kernel closes the
/// connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which the kernel sends TCP keepalive probes.
const TCP_KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const TCP_KEEPALIVE_RETRIES: u32 = 3;
/// Most bytes that the kernel takes for a peer before it sends them. Without this bound, it takes up
/// to some MB for each peer that reads slowly.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;
/// Receive buffer, which the kernel doubles for its own data. It fills for each peer that sends more
/// than is read; 10 Mbit/s need no more up to a round trip of 26 ms.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Receive buffer for answers of endpoints, which the kernel doubles for its own data. It fills while an
/// answer waits for memory; by itself, the kernel would let it grow to some MB.
const ENDPOINT_RECEIVE_BUFFER_BYTES: usize = 128 * 1024;

fn with_socket<T>(stream: &TcpStream, f: impl FnOnce(SockRef<'_>) -> T) -> T {
    // SAFETY: the descriptor is open for as long as `stream` is borrowed.
    #[expect(unsafe_code)]
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    f(SockRef::from(&fd))
}

/// Makes the kernel close the connection when the peer acknowledges nothing.
///
/// This distinguishes a lost connection from a slow endpoint, whose kernel still
/// acknowledges the bytes that it receives.
pub(crate) fn set_tcp_timeouts(stream: &TcpStream) {
    with_socket(stream, |socket| {
        let keepalive = TcpKeepalive::new()
            .with_time(TCP_KEEPALIVE_IDLE)
            .with_interval(TCP_KEEPALIVE_INTERVAL)
            .with_retries(TCP_KEEPALIVE_RETRIES);
        let _ = socket.set_tcp_keepalive(&keepalive);
        let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    });
}

/// Bounds what the kernel buffers of a server's answers.
pub(crate) fn limit_receive_buffer(stream: &TcpStream) {
    // An error means that the peer has closed the connection already.
    let _ = with_socket(stream, |s| s.set_recv_buffer_size(ENDPOINT_RECEIVE_BUFFER_BYTES));
}

/// Bounds what the kernel buffers for a client.
pub(crate) fn limit_buffers(stream: &TcpStream) -> io::Result<()> {
    with_socket(stream, |socket| {
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
    })
}

/// Makes the kernel discard what it has not sent and reset the connection when it is closed.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    // An error means that the peer has closed the connection already.
    let _ = with_socket(stream, |socket| socket.set_linger(Some(Duration::ZERO)));
}
