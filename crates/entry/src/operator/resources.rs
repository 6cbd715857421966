//! Lists, reads, creates, replaces and deletes resources.
//!
//! Reads use the current view. Changes go through the configurator, and `If-Match` or
//! `If-None-Match: *` makes them conditional on the version of the resource.

use baobabvane_domain::{
    ChangeError, Operation, Problem, Resource, ResourceName, ResourceType, Spec, Verdict,
};
use baobabvane_wire::{Request as HttpRequest, Response};
use http::{HeaderValue, header};
use serde_json::{Value, json};

use crate::{
    operator::{
        OperatorContext,
        connection::{json_response, stopping_problem},
    },
    settings::Operator,
    tasks::configurator::{ProposalOutcome, ToConfigurator, new_change},
};

pub(crate) fn list(cx: &OperatorContext, type_: ResourceType) -> Result<Response, Problem> {
    let view = cx.caller.published.get();
    let items: Vec<Value> = view.catalog.list(type_).map(|r| resource_json(type_, r)).collect();
    Ok(json_response(200, &json!({ "version": view.version, "items": items })))
}

/// Returns one resource, with its version as `ETag`.
pub(crate) fn read(
    cx: &OperatorContext,
    type_: ResourceType,
    name: &str,
) -> Result<Response, Problem> {
    let name = ResourceName { type_, name: name.to_owned() };
    let view = cx.caller.published.get();
    let resource = view
        .catalog
        .get(&name)
        .ok_or_else(|| Problem::not_run(404, "not found", format!("{name} does not exist")))?;
    Ok(with_etag(json_response(200, &resource_json(type_, resource)), resource.version))
}

/// Creates a resource; refused with a conflict if it exists.
pub(crate) async fn create(
    cx: &OperatorContext,
    type_: ResourceType,
    req: &HttpRequest,
    operator: &Operator,
) -> Result<Response, Problem> {
    let body = parse_body(req)?;
    let Some(name) = body.get("name").and_then(Value::as_str).map(str::to_owned) else {
        return Err(malformed_request("member \"name\" must be a string"));
    };
    let spec = parse_spec(type_, &name, body)?;
    propose(cx, operator, ResourceName { type_, name }, Some(0), Operation::Put(spec)).await
}

/// Creates a resource or replaces its spec, subject to the expected version in the headers.
pub(crate) async fn put(
    cx: &OperatorContext,
    type_: ResourceType,
    name: &str,
    req: &HttpRequest,
    operator: &Operator,
) -> Result<Response, Problem> {
    let expected = expected_version(req)?;
    let spec = parse_spec(type_, name, parse_body(req)?)?;
    let name = ResourceName { type_, name: name.to_owned() };
    propose(cx, operator, name, expected, Operation::Put(spec)).await
}

/// Deletes a resource, subject to the expected version in the headers.
pub(crate) async fn delete(
    cx: &OperatorContext,
    type_: ResourceType,
    name: &str,
    req: &HttpRequest,
    operator: &Operator,
) -> Result<Response, Problem> {
    let expected = expected_version(req)?;
    let name = ResourceName { type_, name: name.to_owned() };
    propose(cx, operator, name, expected, Operation::Delete).await
}

/// Proposes a change and waits for its outcome.
///
/// `expected` is the version that the resource must have: 0 if it must not exist, `None` for any.
async fn propose(
    cx: &OperatorContext,
    operator: &Operator,
    name: ResourceName,
    expected: Option<u64>,
    operation: Operation,
) -> Result<Response, Problem> {
    let change = new_change(operator.name.clone(), name.clone(), expected, operation);
    let proposed = cx
        .configurator
        .ask(|reply| ToConfigurator::Propose(change, reply))
        .await
        .ok_or_else(stopping_problem)?;
    match proposed {
        ProposalOutcome::Applied { version, zones_missing } => {
            Ok(applied_response(&name, version, &zones_missing))
        }
        ProposalOutcome::Refused(error) => Err(refusal_problem(&error)),
        ProposalOutcome::NotAppended(why) => {
            Err(Problem::not_run(503, "log unavailable", why).retry_after(2))
        }
        ProposalOutcome::Unsettled(why) => {
            Err(Problem::new(504, "change unsettled", why, Verdict::MayHaveRun))
        }
    }
}

/// Returns the response to an applied change.
///
/// `zones_missing` lists the zones where at least one instance has not confirmed the change yet.
fn applied_response(name: &ResourceName, version: u64, zones_missing: &[String]) -> Response {
    let state = if zones_missing.is_empty() { "accepted" } else { "pending" };
    log::info!("event=change_{state} resource={:?} version={version}", name.to_string());
    let body = json!({
        "type": name.type_,
        "name": name.name,
        "version": version,
        "state": state,
        "zones_missing": zones_missing,
    });
    let status = if zones_missing.is_empty() { 200 } else { 202 };
    with_etag(json_response(status, &body), version)
}

fn refusal_problem(error: &ChangeError) -> Problem {
    let (status, title) = match error {
        ChangeError::Conflict { .. } => (409, "conflict"),
        ChangeError::NotFound { .. } => (404, "not found"),
        ChangeError::Invalid { .. } => (422, "invalid resource"),
        ChangeError::InUse { .. } => (409, "in use"),
    };
    Problem::not_run(status, title, error.to_string())
}

/// Returns the version that the headers require of the resource, as for [`propose`].
fn expected_version(req: &HttpRequest) -> Result<Option<u64>, Problem> {
    let header_text = |name| req.headers().get(name).and_then(|v: &HeaderValue| v.to_str().ok());
    if header_text(header::IF_NONE_MATCH) == Some("*") {
        return Ok(Some(0));
    }
    match header_text(header::IF_MATCH) {
        None | Some("*") => Ok(None),
        Some(tag) => match tag.trim_matches('"').parse() {
            Ok(version) => Ok(Some(version)),
            Err(_) => Err(malformed_request("header \"if-match\" must be a resource's version")),
        },
    }
}

fn parse_body(req: &HttpRequest) -> Result<Value, Problem> {
    serde_json::from_slice(req.body())
        .map_err(|e| malformed_request(&format!("body is not JSON: {e}")))
}

fn malformed_request(detail: &str) -> Problem {
    Problem::not_run(400, "malformed request", detail)
}

fn parse_spec(type_: ResourceType, name: &str, mut body: Value) -> Result<Spec, Problem> {
    let Some(spec) = body.get_mut("spec").map(Value::take) else {
        return Err(malformed_request("member \"spec\" is missing"));
    };
    Spec::from_json(type_, spec)
        .map_err(|e| Problem::not_run(422, "invalid resource", format!("{type_} {name:?}: {e}")))
}

/// Returns a resource as JSON for operators, with `type` beside the spec instead of inside it.
pub(crate) fn resource_json(type_: ResourceType, resource: &Resource) -> Value {
    let mut spec = serde_json::to_value(&resource.spec)
        .expect("serialisation fails only for maps whose keys are not strings");
    if let Some(members) = spec.as_object_mut() {
        members.remove("type");
    }
    json!({
        "type": type_,
        "name": resource.name,
        "version": resource.version,
        "spec": spec,
    })
}

fn with_etag(mut res: Response, version: u64) -> Response {
    let tag = HeaderValue::try_from(format!("\"{version}\""))
        .expect("digits in quotes are a valid header value");
    res.headers_mut().insert(header::ETAG, tag);
    res
}
