//! The checks that a request passes before it may wait for an endpoint: the caller's API key,
//! the kind of work and the timeout.
//!
//! A request that fails one of them is refused with the verdict `NotRun`.

use std::{rc::Rc, time::Duration};

use baobabvane_domain::{Problem, Protocol};
use http::{HeaderMap, header};

use crate::{
    caller::Context,
    view::{KindView, OrgView, View},
};

/// Request header with the caller's timeout in milliseconds; the kind's `deadline_ms` is its
/// maximum.
const DEADLINE_HEADER: &str = "baobabvane-deadline-ms";

/// Returns the token of an `authorization: Bearer` header.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Returns the organisation that owns the API key of the request, or a 401 problem.
pub(crate) fn organisation(cx: &Context, headers: &HeaderMap) -> Result<Rc<OrgView>, Problem> {
    let view = cx.published.get();
    let Some(key) = bearer_token(headers) else {
        let detail = "header \"authorization\" must be \"Bearer\" and an API key";
        return Err(Problem::not_run(401, "unauthorised", detail));
    };
    view.organisation_by_api_key(key)
        .ok_or_else(|| Problem::not_run(401, "unauthorised", "the API key is not known"))
}

/// Returns the kind of work called `name`, or a 404 problem if there is none or if its protocol
/// is `Model`.
pub(crate) fn plain_kind(view: &View, name: &str) -> Result<Rc<KindView>, Problem> {
    let kind = view.kind(name).ok_or_else(|| unknown_kind(name))?;
    if kind.spec.protocol == Protocol::Model {
        let detail = format!("kind {name:?} is served at /v1/chat/completions");
        return Err(Problem::not_run(404, "wrong kind", detail));
    }
    Ok(kind)
}

/// Returns the kind of work that serves `model`, or a 404 problem.
pub(crate) fn model_kind(view: &View, model: &str) -> Result<Rc<KindView>, Problem> {
    view.kind_for_model(model).ok_or_else(|| unknown_kind(model))
}

fn unknown_kind(name: &str) -> Problem {
    Problem::not_run(404, "unknown kind", format!("kind {name:?} does not exist"))
}

/// Returns how long the caller waits for a response: the kind's `deadline_ms`, or the value of
/// [`DEADLINE_HEADER`] if that is less.
///
/// A header that is not a positive number of milliseconds is a 400 problem.
pub(crate) fn timeout(kind: &KindView, headers: &HeaderMap) -> Result<Duration, Problem> {
    let max_ms = kind.spec.deadline_ms;
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(max_ms.into()));
    };
    match value.to_str().ok().and_then(|v| v.parse::<u32>().ok()) {
        Some(ms) if ms > 0 => Ok(Duration::from_millis(ms.min(max_ms).into())),
        _ => {
            let detail =
                format!("header {DEADLINE_HEADER:?} must be a number of milliseconds above 0");
            Err(Problem::not_run(400, "malformed request", detail))
        }
    }
}
