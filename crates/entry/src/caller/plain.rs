//! `/v1/kinds/{kind}/...`: requests that are passed to plain services.

use std::rc::Rc;

use baobabvane_decide::Descriptor;
use baobabvane_domain::Problem;
use baobabvane_wire::{Request as HttpRequest, ServerConn};
use http::{HeaderMap, Uri, header};

use crate::{
    caller::{Context, admission, chat, connection::Reply, keyed, run::Job},
    link::Outgoing,
    request::{Received, Request},
};

/// Headers of the caller that the endpoint gets.
const FORWARDED: [header::HeaderName; 3] =
    [header::CONTENT_TYPE, header::ACCEPT, header::ACCEPT_LANGUAGE];

/// Answers a request to a plain service.
pub(crate) async fn answer(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    req: HttpRequest,
    life: Request<Received>,
    kind: &str,
) -> Result<Reply, Problem> {
    let org = admission::organisation(cx, req.headers())?;
    let kind = admission::plain_kind(&cx.published.get(), kind)?;
    let patience = admission::patience(&kind, req.headers())?;
    let life = life.admit(patience, kind.spec.idempotent);
    let descriptor = Descriptor {
        rank: kind.rank,
        org: org.id,
        weight: org.weight,
        kind: kind.id,
        prompt_tokens: 0,
        answer_tokens: 1,
        has_length_hint: false,
        goal: None,
        prefix: Default::default(),
        deadline: 0.0,
        reports_first_token: true,
        failed_at: Default::default(),
    };
    let outgoing = Outgoing {
        method: req.method().clone(),
        uri: endpoint_uri(req.uri(), &kind.name)?,
        headers: forwarded(req.headers()),
        body: req.body().clone(),
        idempotent: kind.spec.idempotent,
    };
    let job = Job { org, kind, descriptor, outgoing };
    if job.kind.spec.idempotent {
        chat::whole(cx, conn, life, job).await
    } else {
        keyed::answer(cx, &req, life, job).await
    }
}

/// Cuts the product's part off the path.
fn endpoint_uri(uri: &Uri, kind: &str) -> Result<Uri, Problem> {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let rest = path.strip_prefix("/v1/kinds/").and_then(|p| p.strip_prefix(kind)).unwrap_or("");
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    Uri::try_from(rest)
        .map_err(|e| Problem::not_run(400, "malformed request", format!("path: {e}")))
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let pick = |name: &header::HeaderName| Some((name.clone(), headers.get(name)?.clone()));
    FORWARDED.iter().filter_map(pick).collect()
}
