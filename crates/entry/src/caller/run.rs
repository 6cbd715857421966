//! Runs an admitted request: asks for an endpoint, sends it, and repeats what may be repeated.

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
    journal::{Attempt, Decision},
    link::{Cause, Failure, Outgoing, Piece},
    request::{Admitted, Dispatched, Granted, Request, RequestId},
    tasks::scheduler::{self, Grant, Offer, OfferReply},
    view::{KindView, OrgView},
};

/// The largest answer that is collected, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A request in the form that the scheduler and the endpoints need.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) org: Rc<OrgView>,
    pub(crate) kind: Rc<KindView>,
    pub(crate) descriptor: Descriptor,
    pub(crate) outgoing: Outgoing,
}

/// Gathers the decisions on a request, for explanations and metrics.
pub(crate) struct Trace {
    decision: Decision,
}

impl Trace {
    pub(crate) fn new(id: RequestId, job: &Job, patience: std::time::Duration) -> Self {
        let decision = Decision {
            request_id: id.to_string(),
            at_ms: unix_ms(),
            organisation: job.org.name.clone(),
            kind: job.kind.name.clone(),
            tier: job.kind.spec.tier.clone(),
            pool: job.kind.spec.pool.clone(),
            deadline_ms: patience.as_millis() as u64,
            prompt_tokens: job.descriptor.prompt_tokens,
            attempts: Vec::new(),
            status: 0,
            verdict: Verdict::NotRun,
        };
        Self { decision }
    }

    fn granted(&mut self, grant: &Grant) {
        self.decision.attempts.push(Attempt {
            endpoint: Some(grant.target.name.clone()),
            refusal: None,
            expected_first_token_ms: Some(grant.first_token_ms),
            cached_tokens: Some(grant.cached_tokens),
            inputs: grant.why,
        });
    }

    fn refused(&mut self, refusal: Refusal, why: Why) {
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

    /// Notes how the request ended.
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

/// Waits until the scheduler grants an endpoint.
pub(crate) async fn grant(
    cx: &Context,
    life: Request<Admitted>,
    job: &Job,
    trace: &mut Trace,
) -> Result<Request<Granted>, Problem> {
    let Some(patience) = life.patience() else { return Err(too_late(&life)) };
    let ticket = cx.next_ticket();
    let offer = |reply| Offer {
        ticket,
        pool: job.kind.spec.pool.clone(),
        descriptor: job.descriptor.clone(),
        failed_at: life.failed_at().to_vec(),
        patience,
        reply,
    };
    let answer = scheduler::request_grant(&cx.scheduler, offer, ticket).await;
    match answer {
        Some(OfferReply::Granted(grant)) => {
            trace.granted(&grant);
            Ok(life.grant(grant))
        }
        Some(OfferReply::Refused(refusal, why)) => {
            trace.refused(refusal, why);
            Err(refused(&life, refusal, why))
        }
        None => Err(Problem::new(503, "stopping", "the instance is stopping", life.verdict())),
    }
}

fn too_late(life: &Request<Admitted>) -> Problem {
    let detail = "the time that the caller allowed has passed";
    Problem::new(504, "deadline passed", detail, life.verdict())
}

fn refused(life: &Request<Admitted>, refusal: Refusal, why: Why) -> Problem {
    let (title, detail) = match refusal {
        Refusal::Load => ("overloaded", "more urgent or earlier work takes all there is"),
        Refusal::Late => ("too late", "the answer cannot come before the deadline any more"),
        Refusal::NoEndpoint => ("no endpoint", "no endpoint serves this kind of work now"),
        Refusal::RetryBudget => ("endpoint failed", "the pool's retries are spent"),
    };
    let wait_s = (why.tier_wait_ms / 1000.0).ceil().clamp(1.0, 60.0) as u32;
    Problem::new(503, title, detail, life.verdict()).retry_after(wait_s)
}

/// Runs a request until a whole answer has come.
pub(crate) async fn whole(
    cx: &Context,
    mut life: Request<Admitted>,
    job: &Job,
    trace: &mut Trace,
) -> Result<Response, Problem> {
    loop {
        let mut sent = grant(cx, life, job, trace).await?.dispatch(job.outgoing.clone());
        let answer = match timeout_at(sent.deadline(), collect(&mut sent, job)).await {
            Ok(answer) => answer,
            Err(_) => {
                let detail = format!("endpoint {:?} did not answer in time", sent.endpoint());
                return Err(Problem::new(504, "deadline passed", detail, sent.abandon()));
            }
        };
        match answer {
            Ok(res) => {
                sent.answered(answer_tokens(&res));
                return Ok(res);
            }
            Err(failure) => life = sent.failed(&failure)?,
        }
    }
}

async fn collect(sent: &mut Request<Dispatched>, job: &Job) -> Result<Response, Failure> {
    let head = first_head(sent).await?;
    if job.descriptor.reports_first_token {
        sent.begun();
    }
    let mut body = BytesMut::new();
    loop {
        match sent.stage.exchange.next().await {
            Piece::Data(data) if body.len() + data.len() <= MAX_ANSWER_BYTES => {
                body.extend_from_slice(&data);
            }
            Piece::End => return Ok(head.map(|()| body.freeze())),
            Piece::Failed(failure) => return Err(failure),
            Piece::Data(_) => return Err(broken("the answer is too large")),
            Piece::Head(_) => return Err(broken("a second head came")),
        }
    }
}

/// Waits for the head of the answer; an endpoint that says that it cannot serve has failed.
pub(crate) async fn first_head(
    sent: &mut Request<Dispatched>,
) -> Result<http::Response<()>, Failure> {
    match sent.stage.exchange.next().await {
        Piece::Head(head) if sent.may_repeat() && cannot_serve(head.status()) => {
            Err(broken(&format!("the endpoint answered {}", head.status())))
        }
        Piece::Head(head) => Ok(head),
        Piece::Failed(failure) => Err(failure),
        Piece::Data(_) | Piece::End => Err(broken("the answer has no head")),
    }
}

fn cannot_serve(status: StatusCode) -> bool {
    matches!(status.as_u16(), 502..=504)
}

pub(crate) fn broken(detail: &str) -> Failure {
    Failure { verdict: Verdict::MayHaveRun, cause: Cause::Endpoint, detail: detail.to_owned() }
}

/// Reads the answer's length from its usage, or estimates it by its size.
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

/// Returns the verdict that an endpoint's whole answer stands for.
pub(crate) fn verdict_of(status: StatusCode) -> Verdict {
    if status.is_server_error() { Verdict::MayHaveRun } else { Verdict::Ran }
}

/// Returns the headers of an answer that the caller may see.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    baobabvane_wire::remove_hop_by_hop(&mut headers);
    headers
}
