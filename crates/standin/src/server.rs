//! The HTTP server behind every stand-in except the proxy. Each server runs on its own thread and
//! passes every request to its handler.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread::JoinHandle,
    time::Duration,
};

use baobabvane_wire::{Limits, Request, ServerConn};
use monoio::{net::TcpListener, time::sleep};

/// Answers one request; the server closes the connection when `handle` returns false.
pub(crate) trait Handler {
    async fn handle(&self, conn: &mut ServerConn, req: Request) -> bool;
}

/// A running server; dropping it stops its thread and closes its connections.
#[derive(Debug)]
pub(crate) struct ServerHandle {
    pub(crate) address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts a server and returns once it listens. `make_handler` runs on the server's thread, because
/// handlers need not be `Send`.
pub(crate) fn spawn<H: Handler + 'static>(
    address: SocketAddr,
    make_handler: impl FnOnce() -> H + Send + 'static,
) -> ServerHandle {
    let stop = Arc::new(AtomicBool::new(false));
    let (tx, rx) = mpsc::channel();
    let stop_requested = Arc::clone(&stop);
    let thread = std::thread::spawn(move || {
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("the event loop needs only a file descriptor");
        runtime.block_on(async move {
            let opts = monoio::net::ListenerOpts::new().backlog(4096).reuse_port(false);
            let listener = TcpListener::bind_with_config(address, &opts)
                .expect("the stand-in's address is free");
            let _ = tx.send(listener.local_addr().expect("a bound socket has an address"));
            monoio::spawn(accept_connections(listener, Rc::new(make_handler())));
            while !stop_requested.load(Ordering::Relaxed) {
                sleep(STOP_POLL_INTERVAL).await;
            }
        });
    });
    let address = rx.recv().expect("the stand-in binds its address");
    ServerHandle { address, stop, thread: Some(thread) }
}

async fn accept_connections<H: Handler + 'static>(listener: TcpListener, handler: Rc<H>) {
    while let Ok((stream, _)) = listener.accept().await {
        let handler = Rc::clone(&handler);
        monoio::spawn(async move {
            let limits = Limits { body_bytes: 64 * 1024 * 1024, ..Limits::default() };
            let mut conn = ServerConn::new(stream, limits);
            while let Ok(Some(req)) = conn.read_request().await {
                if !handler.handle(&mut conn, req).await {
                    return;
                }
            }
        });
    }
}

pub(crate) fn json_response(status: u16, body: String) -> baobabvane_wire::Response {
    let mut res = baobabvane_wire::Response::new(body.into());
    *res.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    let value = http::HeaderValue::from_static("application/json");
    res.headers_mut().insert(http::header::CONTENT_TYPE, value);
    res
}
