//! Checks a request against the configuration in force before it is scheduled.
//!
//! A rejected request has not been sent to any endpoint. A 401 or 404, which the caller should
//! not retry, is given only if the configuration was recently confirmed to be current.

use std::{rc::Rc, time::Duration};

use baobabvane_wire::{Request, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use monoio::time::Instant;

use super::reply::{LocalReply, NO_MEMORY_RETRY_AFTER};
use crate::{
    configuration::{Organisation, Route, Semantics},
    context::Context,
    headers::{self, LAST_EVENT_ID},
    prompt::{NoMemoryForPrompt, Prompt},
    routing::{Identity, pick_target},
};

/// `Retry-After` in responses of an instance whose configuration is missing or may be out of date.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of a draining instance; short, as the retry goes to another instance.
pub(super) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request that passed admission, prepared for an endpoint.
pub(super) struct AdmittedRequest {
    pub(super) id: HeaderValue,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers for the endpoint, without those that differ between attempts.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) route: Rc<Route>,
    pub(super) organisation: Option<Rc<Organisation>>,
    /// Version of the configuration that the request was checked against.
    pub(super) configuration_version: u64,
    pub(super) pool: Rc<str>,
    pub(super) prompt: Prompt,
    pub(super) last_event_id: Option<u64>,
    /// When the first byte of the request arrived.
    pub(super) received_at: Instant,
    /// Counts from `received_at`; the route's timeout, or the caller's if that is shorter.
    pub(super) timeout: Duration,
}

/// Why a request failed admission; holds the contents of its response and log line.
pub(super) struct Rejection {
    status: StatusCode,
    reason: &'static str,
    request_id: Option<HeaderValue>,
    /// Inputs of the decision as `key=value` pairs for the log line.
    details: String,
    retry_after: Option<Duration>,
}

impl Rejection {
    pub(super) fn log(&self) {
        let id = self.request_id.as_ref().and_then(|v| v.to_str().ok()).unwrap_or("-");
        metrics::counter!("baobabvane_gateway_refused_total", "reason" => self.reason).increment(1);
        log::info!(
            "event=refused request={id} status={} reason={:?} {}",
            self.status.as_u16(),
            self.reason,
            self.details
        );
    }

    pub(super) fn into_response(self) -> Response {
        LocalReply::new(self.status, self.reason).retry_after(self.retry_after).build()
    }
}

/// Finds the route, pool and organisation of a request and builds its endpoint headers.
pub(super) fn admit(
    cx: &Context,
    req: Request,
    received_at: Instant,
) -> Result<AdmittedRequest, Rejection> {
    let table = cx.knowledge.route_table();
    let (parts, body) = req.into_parts();
    let id = parts.headers.get(&cx.header_names.request_id).cloned();
    let age = cx.knowledge.configuration_confirmed_age_ms();
    let reject = |status, reason| Rejection {
        status,
        reason,
        request_id: id.clone(),
        details: format!("path={:?} version={} age_ms={age:?}", parts.uri.path(), table.version),
        retry_after: None,
    };
    // A caller does not retry these statuses, so an outdated configuration must not cause them.
    let reject_permanently =
        |status, reason| match cx.knowledge.is_confirmed_within(cx.max_configuration_age) {
            true => reject(status, reason),
            false => Rejection {
                retry_after: Some(UNCONFIGURED_RETRY_AFTER),
                ..reject(StatusCode::SERVICE_UNAVAILABLE, "the configuration may be out of date")
            },
        };
    if !cx.drain.accepts_requests() {
        return Err(Rejection {
            retry_after: Some(STOPPING_RETRY_AFTER),
            ..reject(StatusCode::SERVICE_UNAVAILABLE, "stopping")
        });
    }
    if !cx.knowledge.is_complete() {
        return Err(Rejection {
            retry_after: Some(UNCONFIGURED_RETRY_AFTER),
            ..reject(StatusCode::SERVICE_UNAVAILABLE, "not configured yet")
        });
    }
    let host = parts.uri.host().or_else(|| headers::text(&parts.headers, &header::HOST));
    let Some(route) = host.and_then(|host| table.route(host, parts.uri.path())) else {
        return Err(reject_permanently(StatusCode::NOT_FOUND, "no route"));
    };
    let key = headers::text(&parts.headers, &header::AUTHORIZATION).and_then(bearer_token);
    let organisation = match table.identify(route, key) {
        Identity::Anonymous => None,
        Identity::Organisation(organisation) => Some(organisation),
        Identity::Unauthenticated => {
            return Err(reject_permanently(StatusCode::UNAUTHORIZED, "unknown key"));
        }
    };
    let Some(id) = id.clone() else {
        return Err(reject(StatusCode::BAD_REQUEST, "no request id"));
    };
    let Some(target) = pick_target(&route.targets, cx.random_fraction()) else {
        return Err(reject(StatusCode::SERVICE_UNAVAILABLE, "the route has no pool"));
    };
    let timeout = Duration::from_millis(route.timeout_ms);
    let caller_timeout = headers::millis(&parts.headers, &cx.header_names.time_left);
    let prompt = match route.semantics {
        Semantics::Stream => {
            let engine = cx.knowledge.configuration().engine(&target.pool);
            Prompt::from_headers(&parts.headers, &cx.header_names, engine, &cx.memory)
        }
        Semantics::Idempotent | Semantics::NonIdempotent => Ok(Prompt::default()),
    };
    let prompt = prompt.map_err(|NoMemoryForPrompt| Rejection {
        retry_after: Some(NO_MEMORY_RETRY_AFTER),
        ..reject(StatusCode::SERVICE_UNAVAILABLE, "no memory is free for the prompt")
    })?;
    Ok(AdmittedRequest {
        prompt,
        last_event_id: headers::number(&parts.headers, &LAST_EVENT_ID),
        headers: endpoint_headers(cx, parts.headers, organisation.as_deref()),
        id,
        method: parts.method,
        uri: parts.uri,
        body,
        route: Rc::clone(route),
        organisation,
        configuration_version: table.version,
        pool: Rc::from(target.pool.as_str()),
        received_at,
        timeout: caller_timeout.map_or(timeout, |caller_timeout| caller_timeout.min(timeout)),
    })
}

fn bearer_token(authorization: &str) -> Option<&str> {
    let (scheme, key) = authorization.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Removes headers of the caller's connection, the caller's credentials and headers that only
/// the gateway may set, and adds the organisation's name.
fn endpoint_headers(
    cx: &Context,
    mut headers: HeaderMap,
    organisation: Option<&Organisation>,
) -> HeaderMap {
    baobabvane_wire::remove_hop_by_hop(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(&cx.header_names.expected_endpoint);
    headers.remove(&cx.header_names.organisation);
    for name in &cx.header_names.reserved {
        headers.remove(name);
    }
    if let Some(name) = organisation.and_then(|o| HeaderValue::from_str(&o.name).ok()) {
        headers.insert(&cx.header_names.organisation, name);
    }
    headers
}
