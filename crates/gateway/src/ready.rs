//! Answers the load balancer's readiness probes and serves metrics.

use std::{cell::Cell, rc::Rc, time::Duration};

use baobabvane_tasks::{CountGuard, Turn, spawn_isolated};
use baobabvane_wire::{Limits, Response, ServerConn};
use bytes::Bytes;
use http::StatusCode;
use monoio::net::{TcpListener, TcpStream};

use crate::context::Context;

/// Renders all metrics in the text format that `/metrics` returns.
pub type RenderMetrics = Rc<dyn Fn() -> String>;

/// Limits of connections for probes and metrics, whose requests are small and have no body.
const LIMITS: Limits = Limits {
    head_bytes: 8 * 1024,
    body_bytes: 0,
    idle_timeout: Duration::from_secs(10),
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(3),
    write_timeout: Duration::from_secs(5),
};

/// Answers readiness probes on any path: 200 when ready, otherwise 503.
pub(crate) async fn serve_ready(listener: TcpListener, cx: Rc<Context>, max_connections: usize) {
    let handler = Rc::new(move |_path: &str| {
        let (status, text) = match cx.is_ready() {
            true => (StatusCode::OK, "ready"),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        };
        response(status, Bytes::from_static(text.as_bytes()))
    });
    serve(listener, handler, max_connections).await;
}

/// Serves the rendered metrics at `/metrics`.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    render: RenderMetrics,
    max_connections: usize,
) {
    let handler = Rc::new(move |path: &str| match path {
        "/metrics" => response(StatusCode::OK, render().into()),
        _ => response(StatusCode::NOT_FOUND, Bytes::from_static(b"not found")),
    });
    serve(listener, handler, max_connections).await;
}

fn response(status: StatusCode, body: Bytes) -> Response {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    res
}

async fn serve(
    listener: TcpListener,
    handler: Rc<impl Fn(&str) -> Response + 'static>,
    max_connections: usize,
) {
    let open = Rc::new(Cell::new(0));
    let mut turn = Turn::default();
    loop {
        turn.pause_if_spent().await;
        turn.spend(0);
        let Ok((stream, _)) = listener.accept().await else {
            // The pause prevents a busy loop while connections cannot be accepted.
            monoio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= max_connections {
            metrics::counter!("baobabvane_gateway_closed_total", "reason" => "probe_limit")
                .increment(1);
            continue;
        }
        let (open, handler) = (Rc::clone(&open), Rc::clone(&handler));
        spawn_isolated("probe", async move {
            let _counted = CountGuard::new(&open);
            serve_connection(stream, handler).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, handler: Rc<impl Fn(&str) -> Response>) {
    let mut conn = ServerConn::new(stream, LIMITS);
    while let Ok(Some(req)) = conn.read_request().await {
        let res = handler(req.uri().path());
        if conn.write_response(res).await.is_err() {
            return;
        }
    }
}
