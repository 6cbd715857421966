//! A caller's connection: reads one request at a time, routes it and writes the response.
//!
//! Every response carries the request's id, and every problem document a verdict, which says
//! whether the request ran.

use std::rc::Rc;

use baobabvane_domain::{PROBLEM_MEDIA_TYPE, Problem, Verdict};
use baobabvane_tasks::{CountGuard, Turn};
use baobabvane_wire::{Request as HttpRequest, Response, ServerConn, WireError};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use monoio::net::{TcpListener, TcpStream};

use crate::{
    caller::{Context, chat, keyed, plain},
    request::{Received, Request, RequestId},
};

/// Response header with the request's id.
pub(crate) const REQUEST_ID_HEADER: &str = "baobabvane-request-id";
/// Response header with the verdict: whether the request ran, did not run or may have run.
pub(crate) const VERDICT_HEADER: &str = "baobabvane-verdict";

/// The result of handling a request, which determines what is still to be written.
pub(crate) enum Reply {
    /// A buffered response that has yet to be written.
    Buffered(Response),
    /// The response was streamed to the caller in full.
    Streamed,
    /// The response cannot be completed; the connection must be closed.
    Aborted,
}

/// Accepts callers' connections, up to `max_connections` at once. It never returns; the task ends
/// with the process.
pub(crate) async fn accept(listener: TcpListener, cx: Rc<Context>) {
    let mut turn = Turn::default();
    loop {
        turn.pause_if_spent().await;
        turn.spend(0);
        match listener.accept().await {
            Ok((stream, _)) if cx.connections.get() < cx.settings.max_connections => {
                monoio::spawn(serve(stream, Rc::clone(&cx)));
            }
            Ok((stream, _)) => {
                drop(stream);
                metrics::counter!("baobabvane_connections_refused_total").increment(1);
            }
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, cx: Rc<Context>) {
    let _counted = CountGuard::new(&cx.connections);
    let mut conn = ServerConn::new(stream, cx.settings.wire_limits());
    loop {
        let http_request = match conn.read_request().await {
            Ok(Some(http_request)) => http_request,
            Ok(None) => return,
            Err(e) => return refuse_unreadable(conn, &e).await,
        };
        let _active = CountGuard::new(&cx.active_requests);
        if cx.is_draining.get() {
            conn.close_after_response();
        }
        // Boxed, so that an idle connection does not reserve memory for a request's state.
        let is_written = match Box::pin(handle(&cx, &mut conn, http_request)).await {
            Reply::Buffered(res) => conn.write_response(res).await.is_ok(),
            Reply::Streamed => true,
            Reply::Aborted => false,
        };
        if !is_written {
            return;
        }
        if !conn.is_keep_alive() {
            return conn.lingering_close().await;
        }
    }
}

async fn refuse_unreadable(mut conn: ServerConn, error: &WireError) {
    let (status, title) = match error {
        WireError::HeadTooLarge { .. } => (431, "head too large"),
        WireError::BodyTooLarge { .. } => (413, "body too large"),
        WireError::NoMemoryForBody { .. } => (503, "too many large requests"),
        WireError::NoMemoryForHead => (503, "too many connections"),
        WireError::TimedOut { .. } => (408, "request too slow"),
        WireError::Malformed(_) | WireError::Framing(_) => (400, "malformed request"),
        WireError::Io(_)
        | WireError::RequestNotWritten
        | WireError::UnexpectedEof
        | WireError::TooManyConnections
        | WireError::Evicted => return,
    };
    let id = RequestId::new();
    log::info!(
        "event=request_unreadable request_id={id} status={status} error={:?}",
        error.to_string()
    );
    conn.close_after_response();
    let problem = Problem::not_run(status, title, error.to_string());
    if conn.write_response(problem_response(problem, id)).await.is_ok() {
        conn.lingering_close().await;
    }
}

async fn handle(cx: &Rc<Context>, conn: &mut ServerConn, http_request: HttpRequest) -> Reply {
    let request = Request::receive(RequestId::new());
    let id = request.id();
    match route(cx, conn, http_request, request).await {
        Ok(Reply::Buffered(mut res)) => {
            add_request_id(&mut res, id);
            Reply::Buffered(res)
        }
        Ok(other) => other,
        Err(problem) => {
            let (status, verdict) = (problem.status, problem.verdict);
            log::info!(
                "event=request_failed request_id={id} status={status} verdict={verdict} title={:?} detail={:?}",
                problem.title,
                problem.detail
            );
            count_problem(&problem);
            Reply::Buffered(problem_response(problem, id))
        }
    }
}

async fn route(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    http_request: HttpRequest,
    request: Request<Received>,
) -> Result<Reply, Problem> {
    let path = http_request.uri().path().to_owned();
    match path.as_str() {
        "/livez" => return Ok(Reply::Buffered(text_response(200, "live\n"))),
        "/readyz" if cx.is_ready() => return Ok(Reply::Buffered(text_response(200, "ready\n"))),
        "/readyz" => return Ok(Reply::Buffered(text_response(503, "not ready\n"))),
        _ => {}
    }
    if cx.is_draining.get() {
        return Err(Problem::not_run(503, "draining", "the instance is stopping").retry_after(1));
    }
    if !cx.has_configuration.get() {
        let detail = "the instance does not know the configuration yet";
        return Err(Problem::not_run(503, "not ready", detail).retry_after(1));
    }
    if path == "/v1/chat/completions" {
        return match *http_request.method() {
            Method::POST => chat::handle(cx, conn, http_request, request).await,
            _ => Err(Problem::not_run(405, "method not allowed", "allowed: POST")),
        };
    }
    if let Some(rest) = path.strip_prefix("/v1/kinds/") {
        let (kind, _) = rest.split_once('/').unwrap_or((rest, ""));
        return plain::handle(cx, conn, http_request, request, kind).await;
    }
    if let Some(key) = path.strip_prefix("/v1/requests/") {
        return keyed::outcome(cx, &http_request, key).await;
    }
    let detail = format!("path {path:?} does not exist");
    Err(Problem::not_run(404, "not found", detail))
}

fn count_problem(problem: &Problem) {
    let labels = [("status", problem.status.to_string()), ("verdict", problem.verdict.to_string())];
    metrics::counter!("baobabvane_problems_total", &labels).increment(1);
}

fn add_request_id(res: &mut Response, id: RequestId) {
    let id = HeaderValue::try_from(id.to_string()).expect("an id is hexadecimal");
    res.headers_mut().insert(REQUEST_ID_HEADER, id);
}

pub(crate) fn add_verdict(res: &mut http::HeaderMap, verdict: Verdict) {
    res.insert(VERDICT_HEADER, HeaderValue::from_static(verdict.as_str()));
}

/// Returns the response for `problem`, with its status, verdict and `retry-after`.
pub(crate) fn problem_response(mut problem: Problem, id: RequestId) -> Response {
    problem.request_id = id.to_string();
    let body = serde_json::to_vec(&problem).expect("a problem has string keys only");
    let mut res = Response::new(Bytes::from(body));
    *res.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_MEDIA_TYPE));
    if let Some(seconds) = problem.retry_after_s {
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    add_verdict(headers, problem.verdict);
    add_request_id(&mut res, id);
    res
}

fn text_response(status: u16, body: &'static str) -> Response {
    let mut res = Response::new(Bytes::from_static(body.as_bytes()));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    res
}
