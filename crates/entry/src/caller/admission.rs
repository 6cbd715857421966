//! Who sends what: the checks before a request may wait for an endpoint.

use std::{rc::Rc, time::Duration};

use baobabvane_domain::{Problem, Protocol};
use http::{HeaderMap, header};

use crate::{
    caller::Context,
    view::{KindView, OrgView, View},
};

/// Lets a caller wait for less than the kind of work allows.
const DEADLINE_HEADER: &str = "baobabvane-deadline-ms";

/// Returns the token of the `authorization` header.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Finds the organisation by the API key.
pub(crate) fn organisation(cx: &Context, headers: &HeaderMap) -> Result<Rc<OrgView>, Problem> {
    let view = cx.published.get();
    let Some(key) = bearer_token(headers) else {
        let detail = "header \"authorization\" must be \"Bearer\" and an API key";
        return Err(Problem::not_run(401, "unauthorised", detail));
    };
    view.organisation_by_key(key)
        .ok_or_else(|| Problem::not_run(401, "unauthorised", "the API key is not known"))
}

/// Finds the kind of work of a plain service by its name.
pub(crate) fn plain_kind(view: &View, name: &str) -> Result<Rc<KindView>, Problem> {
    let kind = view.kind(name).ok_or_else(|| unknown_kind(name))?;
    if kind.spec.protocol == Protocol::Model {
        let detail = format!("kind {name:?} is served at /v1/chat/completions");
        return Err(Problem::not_run(404, "wrong kind", detail));
    }
    Ok(kind)
}

/// Finds the kind of work that a chat request means.
pub(crate) fn model_kind(view: &View, model: &str) -> Result<Rc<KindView>, Problem> {
    view.kind_for_model(model).ok_or_else(|| unknown_kind(model))
}

fn unknown_kind(name: &str) -> Problem {
    Problem::not_run(404, "unknown kind", format!("kind {name:?} does not exist"))
}

/// Returns how long the caller waits.
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
