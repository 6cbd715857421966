//! Runs an admitted request: waits for an endpoint, dispatches the request and retries after
//! failures that allow it.

use std::rc::Rc;

use baobabvane_decide::{Descriptor, Refusal, Why};
use baobabvane_domain::{Problem, Verdict};
use baobabvane_wire::Response;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use monoio::time::timeout_at;

use crate::{
    caller::Context,
    clock::unix_ms,
    journal::{Attempt, RequestDecisions},
    link::{ExchangeEvent, Failure, FailureCause, OutgoingRequest},
    request::{Admitted, Dispatched, Granted, Request, RequestId},
    tasks::scheduler::{self, Grant, Offer, OfferReply},
    view::{KindView, OrgView},
};

/// A response that is not streamed may have a body of at most this size, as it is held in memory.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A request in the form that the scheduler (`descriptor`) and the endpoints (`outgoing`) need.
#[derive(Clone)]
pub(crate) struct PreparedRequest {
    pub(crate) org: Rc<OrgView>,
    pub(crate) kind: Rc<KindView>,
    pub(crate) descriptor: Descriptor,
    pub(crate) outgoing: OutgoingRequest,
}

/// Collects the scheduling decisions on one request, refusals included, for the metrics,
/// log lines and `baobabvanectl explain`.
pub(crate) struct DecisionRecorder {
    decision: RequestDecisions,
}

impl DecisionRecorder {
    pub(crate) fn new(
        id: RequestId,
        prepared: &PreparedRequest,
        time_left: std::time::Duration,
    ) -> Self {
        let decision = RequestDecisions {
            request_id: id.to_string(),
            at_ms: unix_ms(),
            organisation: prepared.org.name.clone(),
            kind: prepared.kind.name.clone(),
            tier: prepared.kind.spec.tier.clone(),
            pool: prepared.kind.spec.pool.clone(),
            deadline_ms: time_left.as_millis() as u64,
            prompt_tokens: prepared.descriptor.prompt_tokens,
            attempts: Vec::new(),
            status: 0,
            verdict: Verdict::NotRun,
        };
        Self { decision }
    }

    fn record_grant(&mut self, grant: &Grant) {
        self.decision.attempts.push(Attempt {
            endpoint: Some(grant.target.name.clone()),
            refusal: None,
            expected_first_token_ms: Some(grant.first_token_ms),
            cached_tokens: Some(grant.cached_tokens),
            inputs: grant.why,
        });
    }

    fn record_refusal(&mut self, refusal: Refusal, why: Why) {
        self.decision.attempts.push(Attempt {
            endpoint: None,
            refusal: Some(refusal),
            expected_first_token_ms: None,
            cached_tokens: None,
            inputs: why,
        });
        let labels = [
            ("tier", self.decision.tier.clone()),
            ("reason", format!("{refusal:?}").to_lowercase()),
        ];
        metrics::counter!("baobabvane_refusals_total", &labels).increment(1);
    }

    /// Records the outcome in the metrics, a log line and the journal.
    pub(crate) fn finish(mut self, cx: &Context, status: u16, verdict: Verdict) {
        self.decision.status = status;
        self.decision.verdict = verdict;
        let labels = [
            ("tier", self.decision.tier.clone()),
            ("kind", self.decision.kind.clone()),
            ("status", status.to_string()),
        ];
        metrics::counter!("baobabvane_requests_total", &labels).increment(1);
        let d = &self.decision;
        log::info!(
            "event=request_ended request_id={} organisation={} kind={} endpoint={} attempts={} status={status} verdict={verdict}",
            d.request_id,
            d.organisation,
            d.kind,
            d.attempts.last().and_then(|a| a.endpoint.as_deref()).unwrap_or("-"),
            d.attempts.len(),
        );
        cx.journal.record(self.decision);
    }
}

/// Waits until the scheduler grants an endpoint; a refusal is returned as a problem.
pub(crate) async fn wait_for_grant(
    cx: &Context,
    request: Request<Admitted>,
    prepared: &PreparedRequest,
    recorder: &mut DecisionRecorder,
) -> Result<Request<Granted>, Problem> {
    let Some(time_left) = request.time_left() else { return Err(deadline_problem(&request)) };
    let ticket = cx.next_ticket();
    let offer = |reply| Offer {
        ticket,
        pool: prepared.kind.spec.pool.clone(),
        descriptor: prepared.descriptor.clone(),
        failed_at: request.failed_endpoints().to_vec(),
        patience: time_left,
        reply,
    };
    let reply = scheduler::request_grant(&cx.scheduler, offer, ticket).await;
    match reply {
        Some(OfferReply::Granted(grant)) => {
            recorder.record_grant(&grant);
            Ok(request.grant(grant))
        }
        Some(OfferReply::Refused(refusal, why)) => {
            recorder.record_refusal(refusal, why);
            Err(refusal_problem(&request, refusal, why))
        }
        None => Err(Problem::new(503, "stopping", "the instance is stopping", request.verdict())),
    }
}

fn deadline_problem(request: &Request<Admitted>) -> Problem {
    let detail = "the time that the caller allowed has passed";
    Problem::new(504, "deadline passed", detail, request.verdict())
}

fn refusal_problem(request: &Request<Admitted>, refusal: Refusal, why: Why) -> Problem {
    let (title, detail) = match refusal {
        Refusal::Load => ("overloaded", "more urgent or earlier work takes all there is"),
        Refusal::Late => ("too late", "the answer cannot come before the deadline any more"),
        Refusal::NoEndpoint => ("no endpoint", "no endpoint serves this kind of work now"),
        Refusal::RetryBudget => ("endpoint failed", "the pool's retries are spent"),
    };
    let wait_s = (why.tier_wait_ms / 1000.0).ceil().clamp(1.0, 60.0) as u32;
    Problem::new(503, title, detail, request.verdict()).retry_after(wait_s)
}

/// Dispatches the request, again after each failure that allows a retry, until a complete response
/// has been received.
pub(crate) async fn fetch_response(
    cx: &Context,
    mut request: Request<Admitted>,
    prepared: &PreparedRequest,
    recorder: &mut DecisionRecorder,
) -> Result<Response, Problem> {
    loop {
        let mut dispatched = wait_for_grant(cx, request, prepared, recorder)
            .await?
            .dispatch(prepared.outgoing.clone());
        let result =
            match timeout_at(dispatched.deadline(), receive_response(&mut dispatched, prepared))
                .await
            {
                Ok(result) => result,
                Err(_) => {
                    let detail =
                        format!("endpoint {:?} did not answer in time", dispatched.endpoint());
                    return Err(Problem::new(504, "deadline passed", detail, dispatched.cancel()));
                }
            };
        match result {
            Ok(res) => {
                dispatched.complete(answer_tokens(&res));
                return Ok(res);
            }
            Err(failure) => request = dispatched.retry_or_fail(&failure)?,
        }
    }
}

async fn receive_response(
    dispatched: &mut Request<Dispatched>,
    prepared: &PreparedRequest,
) -> Result<Response, Failure> {
    let head = receive_head(dispatched).await?;
    if prepared.descriptor.reports_first_token {
        dispatched.report_first_token();
    }
    let mut body = BytesMut::new();
    loop {
        match dispatched.stage.exchange.next().await {
            ExchangeEvent::Data(data) if body.len() + data.len() <= MAX_RESPONSE_BYTES => {
                body.extend_from_slice(&data);
            }
            ExchangeEvent::End => return Ok(head.map(|()| body.freeze())),
            ExchangeEvent::Failed(failure) => return Err(failure),
            ExchangeEvent::Data(_) => return Err(endpoint_failure("the answer is too large")),
            ExchangeEvent::Head(_) => return Err(endpoint_failure("a second head came")),
        }
    }
}

/// Waits for the response head. For an idempotent request, a status of 502 to 504 counts as a
/// failure of the endpoint, so that the request can be retried elsewhere.
pub(crate) async fn receive_head(
    dispatched: &mut Request<Dispatched>,
) -> Result<http::Response<()>, Failure> {
    match dispatched.stage.exchange.next().await {
        ExchangeEvent::Head(head)
            if dispatched.is_idempotent() && is_unavailable(head.status()) =>
        {
            Err(endpoint_failure(&format!("the endpoint answered {}", head.status())))
        }
        ExchangeEvent::Head(head) => Ok(head),
        ExchangeEvent::Failed(failure) => Err(failure),
        ExchangeEvent::Data(_) | ExchangeEvent::End => {
            Err(endpoint_failure("the answer has no head"))
        }
    }
}

fn is_unavailable(status: StatusCode) -> bool {
    matches!(status.as_u16(), 502..=504)
}

pub(crate) fn endpoint_failure(detail: &str) -> Failure {
    Failure {
        verdict: Verdict::MayHaveRun,
        cause: FailureCause::Endpoint,
        detail: detail.to_owned(),
    }
}

/// Returns `usage.completion_tokens` of a JSON response, or 1 if it is missing.
fn answer_tokens(res: &Response) -> u32 {
    let is_json = |v: &http::HeaderValue| v.as_bytes().starts_with(b"application/json");
    if !res.headers().get(http::header::CONTENT_TYPE).is_some_and(is_json) {
        return 1;
    }
    let usage = |body: &Bytes| {
        let value: serde_json::Value = serde_json::from_slice(body).ok()?;
        value.get("usage")?.get("completion_tokens")?.as_u64()
    };
    usage(res.body()).map_or(1, |tokens| tokens as u32)
}

/// Returns the verdict for a complete response; after a server error the request may have run.
pub(crate) fn verdict_of(status: StatusCode) -> Verdict {
    if status.is_server_error() { Verdict::MayHaveRun } else { Verdict::Ran }
}

/// Returns the headers without the hop-by-hop ones, which must not be forwarded.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    baobabvane_wire::remove_hop_by_hop(&mut headers);
    headers
}
