//! A TCP proxy on a loopback port that injects faults into the connections it forwards.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A fault that a proxy injects into all its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Forwards bytes unchanged.
    #[default]
    None,
    /// Waits for this long after each read from a connection before it forwards the bytes.
    Delay(Duration),
    /// Closes all connections, and new ones at once.
    Reset,
    /// Discards bytes in both directions and keeps connections open.
    Silence,
    /// Forwards requests and discards responses.
    NoAnswers,
}

/// Read timeout after which an idle connection checks for a new fault.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: Arc<Mutex<ProxyFault>>,
    stop: Arc<AtomicBool>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

impl Proxy {
    /// Starts a proxy on a free port that forwards to `target`.
    pub fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port 0 is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        let fault = Arc::new(Mutex::new(ProxyFault::None));
        let stop = Arc::new(AtomicBool::new(false));
        let proxy = Self { address, fault: Arc::clone(&fault), stop: Arc::clone(&stop) };
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((client, _)) => forward_connection(client, target, &fault, &stop),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        proxy
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for open and new connections from now on.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.fault.lock().expect("the lock is not poisoned") = fault;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    fault: &Arc<Mutex<ProxyFault>>,
    stop: &Arc<AtomicBool>,
) {
    if *fault.lock().expect("the lock is not poisoned") == ProxyFault::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else { return };
    let pairs = client.try_clone().and_then(|c| server.try_clone().map(|s| (c, s)));
    let Ok((client_out, server_out)) = pairs else { return };
    for (from, to, direction) in
        [(client, server_out, Direction::Requests), (server, client_out, Direction::Answers)]
    {
        let (fault, stop) = (Arc::clone(fault), Arc::clone(stop));
        thread::spawn(move || copy(from, to, direction, &fault, &stop));
    }
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    fault: &Mutex<ProxyFault>,
    stop: &AtomicBool,
) {
    let _ = from.set_nonblocking(false);
    let _ = from.set_read_timeout(Some(FAULT_CHECK_INTERVAL));
    let _ = to.set_nodelay(true);
    let mut buf = [0; 16 * 1024];
    while !stop.load(Ordering::Relaxed) {
        let read = from.read(&mut buf);
        let fault = *fault.lock().expect("the lock is not poisoned");
        if fault == ProxyFault::Reset {
            break;
        }
        let len = match read {
            Ok(0) => break,
            Ok(len) => len,
            Err(e) if is_timeout(&e) => continue,
            Err(_) => break,
        };
        match fault {
            ProxyFault::Silence => continue,
            ProxyFault::NoAnswers if direction == Direction::Answers => continue,
            ProxyFault::Delay(delay) => thread::sleep(delay),
            _ => {}
        }
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
