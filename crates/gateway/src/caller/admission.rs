//! Checks a request against the configuration before anything is done for it.

use std::{rc::Rc, time::Duration};

use baobabvane_wire::{Request, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use monoio::time::Instant;

use super::reply::Reply;
use crate::{
    configuration::{Organisation, Route, Semantics},
    context::Context,
    headers::{self, LAST_EVENT_ID},
    prompt::Prompt,
    routing::{Identity, pick_target},
};

/// A caller that finds an instance without configuration comes back after this time.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);

/// A caller that finds a stopping instance finds another one at once.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// A request that the configuration allows.
pub(super) struct Incoming {
    pub(super) id: HeaderValue,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers for the endpoint, but for those that depend on the try.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) route: Rc<Route>,
    pub(super) organisation: Option<Rc<Organisation>>,
    /// The version of the configuration that allowed it.
    pub(super) version: u64,
    pub(super) pool: Rc<str>,
    pub(super) prompt: Prompt,
    pub(super) last_event_id: Option<u64>,
    pub(super) began: Instant,
    /// How long after its beginning the caller stops waiting.
    pub(super) patience: Duration,
}

/// An answer that the configuration decides; the request has not run.
pub(super) struct Refusal {
    status: StatusCode,
    reason: &'static str,
    id: Option<HeaderValue>,
    /// What the decision rests on.
    inputs: String,
    retry_after: Option<Duration>,
}

impl Refusal {
    pub(super) fn log(&self) {
        let id = self.id.as_ref().and_then(|v| v.to_str().ok()).unwrap_or("-");
        metrics::counter!("baobabvane_gateway_refused_total", "reason" => self.reason).increment(1);
        log::info!(
            "event=refused request={id} status={} reason={:?} {}",
            self.status.as_u16(),
            self.reason,
            self.inputs
        );
    }

    pub(super) fn into_response(self) -> Response {
        Reply::new(self.status, self.reason).retry_after(self.retry_after).build()
    }
}

/// Finds route and organisation of a request and prepares it for the endpoint.
pub(super) fn admit(cx: &Context, req: Request, began: Instant) -> Result<Incoming, Refusal> {
    let table = cx.knowledge.table();
    let (parts, body) = req.into_parts();
    let id = parts.headers.get(&cx.names.request_id).cloned();
    let age = cx.knowledge.confirmed_age_ms();
    let refusal = |status, reason| Refusal {
        status,
        reason,
        id: id.clone(),
        inputs: format!("path={:?} version={} age_ms={age:?}", parts.uri.path(), table.version),
        retry_after: None,
    };
    // A refusal that the caller must not repeat needs a configuration that is surely in force.
    let final_refusal =
        |status, reason| match cx.knowledge.is_confirmed_within(cx.max_configuration_age) {
            true => refusal(status, reason),
            false => Refusal {
                retry_after: Some(UNCONFIGURED_RETRY),
                ..refusal(StatusCode::SERVICE_UNAVAILABLE, "the configuration may be out of date")
            },
        };
    if cx.drain.refuses_new() {
        return Err(Refusal {
            retry_after: Some(STOPPING_RETRY),
            ..refusal(StatusCode::SERVICE_UNAVAILABLE, "stopping")
        });
    }
    if !cx.knowledge.is_complete() {
        return Err(Refusal {
            retry_after: Some(UNCONFIGURED_RETRY),
            ..refusal(StatusCode::SERVICE_UNAVAILABLE, "not configured yet")
        });
    }
    let host = parts.uri.host().or_else(|| headers::text(&parts.headers, &header::HOST));
    let Some(route) = host.and_then(|host| table.route(host, parts.uri.path())) else {
        return Err(final_refusal(StatusCode::NOT_FOUND, "no route"));
    };
    let key = headers::text(&parts.headers, &header::AUTHORIZATION).and_then(bearer);
    let organisation = match table.identify(route, key) {
        Identity::Anonymous => None,
        Identity::Organisation(organisation) => Some(organisation),
        Identity::Unauthenticated => {
            return Err(final_refusal(StatusCode::UNAUTHORIZED, "unknown key"));
        }
    };
    let Some(id) = id.clone() else {
        return Err(refusal(StatusCode::BAD_REQUEST, "no request id"));
    };
    let Some(target) = pick_target(&route.targets, cx.draw()) else {
        return Err(refusal(StatusCode::SERVICE_UNAVAILABLE, "the route has no pool"));
    };
    let timeout = Duration::from_millis(route.timeout_ms);
    let stated = headers::number(&parts.headers, &cx.names.time_left).map(Duration::from_millis);
    let prompt = match route.semantics {
        Semantics::Stream => Prompt::read(&parts.headers, &cx.names),
        Semantics::Idempotent | Semantics::NonIdempotent => Prompt::default(),
    };
    Ok(Incoming {
        prompt,
        last_event_id: headers::number(&parts.headers, &LAST_EVENT_ID),
        headers: endpoint_headers(cx, parts.headers, organisation.as_deref()),
        id,
        method: parts.method,
        uri: parts.uri,
        body,
        route: Rc::clone(route),
        organisation,
        version: table.version,
        pool: Rc::from(target.pool.as_str()),
        began,
        patience: stated.map_or(timeout, |s| s.min(timeout)),
    })
}

fn bearer(authorization: &str) -> Option<&str> {
    let (scheme, key) = authorization.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Removes what only concerns the caller's connection or is the system's to set.
fn endpoint_headers(
    cx: &Context,
    mut headers: HeaderMap,
    organisation: Option<&Organisation>,
) -> HeaderMap {
    baobabvane_wire::remove_hop_by_hop(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(&cx.names.expected_endpoint);
    headers.remove(&cx.names.organisation);
    for name in &cx.names.reserved {
        headers.remove(name);
    }
    if let Some(name) = organisation.and_then(|o| HeaderValue::from_str(&o.name).ok()) {
        headers.insert(&cx.names.organisation, name);
    }
    headers
}
