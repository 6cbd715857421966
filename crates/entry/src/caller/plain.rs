//! `/v1/kinds/{kind}/...`: requests that are proxied to services other than models.

use std::rc::Rc;

use baobabvane_decide::Descriptor;
use baobabvane_domain::Problem;
use baobabvane_wire::{Request as HttpRequest, ServerConn};
use http::{HeaderMap, Uri, header};

use crate::{
    caller::{Context, admission, chat, connection::Reply, keyed, run::PreparedRequest},
    link::OutgoingRequest,
    request::{Received, Request},
};

/// Headers of the caller's request that are forwarded to the endpoint.
const FORWARDED_HEADERS: [header::HeaderName; 3] =
    [header::CONTENT_TYPE, header::ACCEPT, header::ACCEPT_LANGUAGE];

pub(crate) async fn handle(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    http_request: HttpRequest,
    request: Request<Received>,
    kind: &str,
) -> Result<Reply, Problem> {
    let org = admission::organisation(cx, http_request.headers())?;
    let kind = admission::plain_kind(&cx.published.get(), kind)?;
    let timeout = admission::timeout(&kind, http_request.headers())?;
    let request = request.admit(timeout, kind.spec.idempotent);
    let descriptor = Descriptor {
        rank: kind.rank,
        org: org.id,
        weight: org.weight,
        kind: kind.id,
        prompt_tokens: 0,
        // The expected length is one token, as no model generates the response.
        answer_tokens: 1,
        has_length_hint: false,
        goal: None,
        prefix: Default::default(),
        // The scheduler sets `deadline` and `failed_at`.
        deadline: 0.0,
        // The response head is reported as the first token.
        reports_first_token: true,
        failed_at: Default::default(),
    };
    let outgoing = OutgoingRequest {
        method: http_request.method().clone(),
        uri: endpoint_uri(http_request.uri(), &kind.name)?,
        headers: forwarded_headers(http_request.headers()),
        body: http_request.body().clone(),
        is_idempotent: kind.spec.idempotent,
    };
    let prepared = PreparedRequest { org, kind, descriptor, outgoing };
    if prepared.kind.spec.idempotent {
        chat::handle_buffered(cx, conn, request, prepared).await
    } else {
        keyed::handle(cx, &http_request, request, prepared).await
    }
}

/// Strips `/v1/kinds/{kind}` from the path; what remains is the URI sent to the endpoint.
fn endpoint_uri(uri: &Uri, kind: &str) -> Result<Uri, Problem> {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let rest = path.strip_prefix("/v1/kinds/").and_then(|p| p.strip_prefix(kind)).unwrap_or("");
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    Uri::try_from(rest)
        .map_err(|e| Problem::not_run(400, "malformed request", format!("path: {e}")))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let pick = |name: &header::HeaderName| Some((name.clone(), headers.get(name)?.clone()));
    FORWARDED_HEADERS.iter().filter_map(pick).collect()
}
