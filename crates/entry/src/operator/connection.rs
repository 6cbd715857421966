//! Reads requests from an operator's connection, checks the token and routes them.
//!
//! `/metrics`, `/livez` and `/readyz` need no token.

use std::rc::Rc;

use baobabvane_domain::{Problem, ResourceType};
use baobabvane_tasks::Turn;
use baobabvane_wire::{Request as HttpRequest, Response, ServerConn};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use monoio::net::{TcpListener, TcpStream};
use serde::Serialize;

use crate::{
    caller::{bearer_token, problem_response},
    operator::{OperatorContext, resources, watch},
    request::RequestId,
    settings::Operator,
    tasks::{
        claimant::{ClaimStatus, ToClaimant},
        configurator::{ConfigStatus, ToConfigurator},
        members::ToMembers,
        scheduler::{PoolStatus, ToScheduler},
    },
};

/// Accepts connections and serves each in its own task.
pub(crate) async fn accept(listener: TcpListener, cx: Rc<OperatorContext>) {
    let mut turn = Turn::default();
    loop {
        turn.pause_if_spent().await;
        turn.spend(0);
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve_connection(stream, Rc::clone(&cx)));
            }
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, cx: Rc<OperatorContext>) {
    let mut conn = ServerConn::new(stream, cx.caller.settings.wire_limits());
    while let Ok(Some(req)) = conn.read_request().await {
        let id = RequestId::new();
        if req.uri().path() == "/v1/watch" && authorise(&cx, &req).is_ok() {
            return watch::stream(&cx, &mut conn, &req).await;
        }
        let res = route(&cx, req).await.unwrap_or_else(|problem| problem_response(problem, id));
        if conn.write_response(res).await.is_err() || !conn.is_keep_alive() {
            return;
        }
    }
}

async fn route(cx: &OperatorContext, req: HttpRequest) -> Result<Response, Problem> {
    let path = req.uri().path().to_owned();
    match path.as_str() {
        "/metrics" => return Ok(text_response(200, cx.metrics.render())),
        "/livez" => return Ok(text_response(200, "live\n")),
        "/readyz" if cx.caller.is_ready() => return Ok(text_response(200, "ready\n")),
        "/readyz" => return Ok(text_response(503, "not ready\n")),
        _ => {}
    }
    let operator = authorise(cx, &req)?;
    match path.as_str() {
        "/v1/status" => status(cx).await,
        "/v1/audit" => audit(cx).await,
        "/v1/drain" => drain(cx, &req, &operator),
        _ => match path.strip_prefix("/v1/explain/") {
            Some(id) => explain(cx, id),
            None => handle_resource(cx, &req, &operator, &path).await,
        },
    }
}

fn authorise(cx: &OperatorContext, req: &HttpRequest) -> Result<Operator, Problem> {
    let hash = bearer_token(req.headers()).map(baobabvane_domain::hash_api_key);
    let operator =
        cx.caller.settings.operators.iter().find(|o| Some(&o.token_hash) == hash.as_ref());
    operator
        .cloned()
        .ok_or_else(|| Problem::not_run(401, "unauthorised", "an operator's token is needed"))
}

async fn handle_resource(
    cx: &OperatorContext,
    req: &HttpRequest,
    operator: &Operator,
    path: &str,
) -> Result<Response, Problem> {
    let not_found = || Problem::not_run(404, "not found", format!("path {path:?} does not exist"));
    let rest = path.strip_prefix("/v1/").ok_or_else(not_found)?;
    let (type_, name) = rest.split_once('/').unwrap_or((rest, ""));
    let type_ = ResourceType::parse(type_).ok_or_else(not_found)?;
    match (req.method(), name) {
        (&Method::GET, "") => resources::list(cx, type_),
        (&Method::GET, name) => resources::read(cx, type_, name),
        (&Method::POST, "") => resources::create(cx, type_, req, operator).await,
        (&Method::PUT, name) if !name.is_empty() => {
            resources::put(cx, type_, name, req, operator).await
        }
        (&Method::DELETE, name) if !name.is_empty() => {
            resources::delete(cx, type_, name, req, operator).await
        }
        _ => Err(Problem::not_run(405, "method not allowed", "allowed: GET, POST, PUT, DELETE")),
    }
}

#[derive(Serialize)]
struct Status<'a> {
    instance: &'a str,
    zone: &'a str,
    ready: bool,
    draining: bool,
    active_requests: usize,
    connections: usize,
    configuration: ConfigStatus,
    claims: ClaimStatus,
    members: Option<Members>,
    pools: Vec<PoolStatus>,
}

/// The live instances and the counters of membership datagrams.
#[derive(Serialize)]
struct Members {
    live: Vec<LiveInstance>,
    datagrams_sent: u64,
    bytes_sent: u64,
    /// Without the dropped datagrams.
    datagrams_received: u64,
    /// With the bytes of dropped datagrams.
    bytes_received: u64,
    forged: u64,
    replayed: u64,
    broken: u64,
}

#[derive(Serialize)]
struct LiveInstance {
    name: String,
    zone: String,
    leaving: bool,
}

async fn member_status(cx: &OperatorContext) -> Option<Members> {
    let status = cx.members.as_ref()?.ask(ToMembers::Status).await?;
    let live = status.roster.members().map(|m| LiveInstance {
        name: m.name.clone(),
        zone: m.zone.clone(),
        leaving: m.is_leaving,
    });
    Some(Members {
        live: live.collect(),
        datagrams_sent: status.counts.sent,
        bytes_sent: status.counts.sent_bytes,
        datagrams_received: status.counts.accepted,
        bytes_received: status.counts.received_bytes,
        forged: status.counts.forged,
        replayed: status.counts.replayed,
        broken: status.counts.malformed,
    })
}

async fn status(cx: &OperatorContext) -> Result<Response, Problem> {
    let configuration =
        cx.configurator.ask(ToConfigurator::Status).await.ok_or_else(stopping_problem)?;
    let claims = cx.caller.claimant.ask(ToClaimant::Status).await.ok_or_else(stopping_problem)?;
    let pools = cx.caller.scheduler.ask(ToScheduler::Status).await.ok_or_else(stopping_problem)?;
    let status = Status {
        instance: &cx.caller.settings.name,
        zone: &cx.caller.settings.zone,
        ready: cx.caller.is_ready(),
        draining: cx.caller.is_draining.get(),
        active_requests: cx.caller.active_requests.get(),
        connections: cx.caller.connections.get(),
        configuration,
        claims,
        members: member_status(cx).await,
        pools,
    };
    Ok(json_response(200, &status))
}

async fn audit(cx: &OperatorContext) -> Result<Response, Problem> {
    let entries = cx.configurator.ask(ToConfigurator::Audit).await.ok_or_else(stopping_problem)?;
    Ok(json_response(200, &serde_json::json!({ "items": entries })))
}

fn drain(
    cx: &OperatorContext,
    req: &HttpRequest,
    operator: &Operator,
) -> Result<Response, Problem> {
    if req.method() != Method::POST {
        return Err(Problem::not_run(405, "method not allowed", "allowed: POST"));
    }
    log::info!("event=drain_requested operator={}", operator.name);
    cx.stop_requested.set(true);
    Ok(json_response(202, &serde_json::json!({ "draining": true })))
}

fn explain(cx: &OperatorContext, id: &str) -> Result<Response, Problem> {
    match cx.caller.journal.get(id) {
        Some(decision) => Ok(json_response(200, &decision)),
        None => {
            let detail = format!("request {id:?} is not among the latest of this instance");
            Err(Problem::not_run(404, "unknown request", detail))
        }
    }
}

pub(crate) fn stopping_problem() -> Problem {
    Problem::not_run(503, "stopping", "the instance is stopping")
}

pub(crate) fn json_response(status: u16, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value)
        .expect("serialisation fails only for maps whose keys are not strings");
    response_with_type(status, "application/json", body.into())
}

/// Returns a plain-text response; `version` in its type is that of the Prometheus text format.
fn text_response(status: u16, body: impl Into<Bytes>) -> Response {
    response_with_type(status, "text/plain; version=0.0.4", body.into())
}

fn response_with_type(status: u16, content_type: &'static str, body: Bytes) -> Response {
    let mut res = Response::new(body);
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
