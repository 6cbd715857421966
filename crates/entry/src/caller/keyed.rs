//! Requests that must run at most once.
//!
//! Each carries an idempotency key, which is claimed in the platform's log before the request is
//! sent to an endpoint. With `LogDownPolicy::Issued`, a key that this instance issued since its
//! start can be claimed while the log is unavailable. A repeated request gets the stored response
//! of the first one. "Log" means the platform's log here, and "answer" a stored response.
//! See [at most once](../../../../docs/claims.md).

use std::{rc::Rc, time::Duration};

use baobabvane_claims::{ClaimId, ClaimResult, KeyState};
use baobabvane_domain::{Answer, Incarnation, LogDownPolicy, Problem, RequestKey, Uuid, Verdict};
use baobabvane_tasks::CountGuard;
use baobabvane_wire::{Request as HttpRequest, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use local_sync::oneshot;
use monoio::time::sleep;

use crate::{
    caller::{
        Context, admission,
        connection::{Reply, add_verdict},
        run::{self, DecisionRecorder, PreparedRequest},
    },
    request::{Admitted, Request},
    tasks::claimant::{ClaimOutcome, ClaimRequest, KeyLookup, MAX_STORED_ANSWER_BYTES, ToClaimant},
};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Response header with a key that this instance issued for the caller's next request, which saves
/// the caller a round trip to get one.
const NEXT_KEY_HEADER: &str = "baobabvane-next-key";
/// Fencing token sent to the endpoint: the claim's offset in the log, larger for later claims, or
/// 0 if the log was unavailable.
const FENCE_HEADER: &str = "baobabvane-fence";
/// Response header that marks the stored response of an earlier request.
const REPLAYED_HEADER: &str = "baobabvane-replayed";
/// How often a request polls for the outcome of an earlier one that holds the same key.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Claims the request's key and runs the request, or returns the response of the first request
/// with the key.
pub(crate) async fn handle(
    cx: &Rc<Context>,
    http_request: &HttpRequest,
    request: Request<Admitted>,
    prepared: PreparedRequest,
) -> Result<Reply, Problem> {
    let key = RequestKey {
        organisation: prepared.org.name.clone(),
        kind: prepared.kind.name.clone(),
        key: idempotency_key(http_request.headers())?,
    };
    let log_down = prepared.kind.spec.log_down;
    let body_hash = hash_request(http_request);
    let result = match claim(cx, &request, &key, body_hash, log_down).await? {
        ClaimDecision::Won { claim_id, fence } => {
            let claimed =
                ClaimedRequest { cx: Rc::clone(cx), key, claim_id, fence, request, prepared };
            claimed.run_detached().await
        }
        ClaimDecision::AlreadyEnded(answer) => replay(&answer),
    };
    let mut res = result?;
    if log_down == LogDownPolicy::Issued
        && let Some(next) = cx.claimant.ask(ToClaimant::IssueKey).await
    {
        let value =
            HeaderValue::try_from(next.to_string()).expect("a UUID is a valid header value");
        res.headers_mut().insert(NEXT_KEY_HEADER, value);
    }
    Ok(Reply::Buffered(res))
}

/// Returns the stored response of the request with the key, for `/v1/requests/{key}` with any
/// method.
///
/// A key without a stored response is a problem that states what is known about the request.
pub(crate) async fn outcome(
    cx: &Rc<Context>,
    http_request: &HttpRequest,
    key: &str,
) -> Result<Reply, Problem> {
    let org = admission::organisation(cx, http_request.headers())?;
    let key = parse_key(key)?;
    let keys = cx
        .published
        .get()
        .kinds()
        .filter(|kind| !kind.spec.idempotent)
        .map(|kind| RequestKey { organisation: org.name.clone(), kind: kind.name.clone(), key })
        .collect();
    let lookup = cx.claimant.ask(|reply| ToClaimant::Lookup { keys, reply }).await;
    match lookup.unwrap_or(KeyLookup::Unknown) {
        KeyLookup::Unclaimed => {
            Err(Problem::not_run(404, "unknown key", "no request with this key was sent on"))
        }
        KeyLookup::Unknown => {
            let detail = "the log cannot tell now what became of this key";
            let problem = Problem::new(503, "outcome unknown", detail, Verdict::MayHaveRun);
            Err(problem.retry_after(2))
        }
        KeyLookup::Found(KeyState::Claimed { .. }) => {
            let detail = "the request is in progress, or the instance that ran it has died";
            Err(Problem::new(409, "in progress", detail, Verdict::MayHaveRun))
        }
        KeyLookup::Found(state) => Ok(Reply::Buffered(replay(&state)?)),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Uuid, Problem> {
    match headers.get(IDEMPOTENCY_KEY_HEADER).map(HeaderValue::to_str) {
        Some(Ok(text)) => parse_key(text.trim_matches('"')),
        Some(Err(_)) => Err(invalid_key("it is not text")),
        None => Err(invalid_key("it is missing")),
    }
}

fn parse_key(text: &str) -> Result<Uuid, Problem> {
    Uuid::parse_str(text).map_err(|e| invalid_key(&e.to_string()))
}

fn invalid_key(why: &str) -> Problem {
    let detail = format!("header {IDEMPOTENCY_KEY_HEADER:?} must be a version 7 UUID: {why}");
    Problem::not_run(400, "idempotency key needed", detail)
}

/// Returns the first 8 bytes of a hash of method, URI and body; requests with the same key must
/// agree in all three.
fn hash_request(http_request: &HttpRequest) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(http_request.method().as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(http_request.uri().to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(http_request.body());
    let mut first_bytes = [0; 8];
    hasher.finalize_xof().fill(&mut first_bytes);
    u64::from_le_bytes(first_bytes)
}

/// The result of claiming a key.
enum ClaimDecision {
    /// The claim was won, so this request may run.
    Won { claim_id: ClaimId, fence: u64 },
    /// An earlier request with the key has ended.
    AlreadyEnded(KeyState),
}

/// Claims the key. If an earlier request has claimed it, tries again until that request has ended
/// or this request's deadline has passed.
async fn claim(
    cx: &Context,
    request: &Request<Admitted>,
    key: &RequestKey,
    body_hash: u64,
    log_down: LogDownPolicy,
) -> Result<ClaimDecision, Problem> {
    // Lets every request run, so that the fault tests can be shown to detect repeated runs.
    if cfg!(feature = "without-claims") {
        let incarnation = Incarnation(Uuid::new_v4());
        return Ok(ClaimDecision::Won { claim_id: ClaimId { incarnation, attempt: 0 }, fence: 0 });
    }
    loop {
        let command = |reply| {
            ToClaimant::Claim(ClaimRequest { key: key.clone(), body_hash, log_down, reply })
        };
        let state = match cx.claimant.ask(command).await {
            Some(ClaimResult::Won { claim_id, fence }) => {
                return Ok(ClaimDecision::Won { claim_id, fence });
            }
            Some(ClaimResult::Lost(state)) => state,
            Some(ClaimResult::HistoryUnknown) => {
                let detail = "what became of this key is not known any more";
                return Err(Problem::new(409, "key too old", detail, Verdict::MayHaveRun));
            }
            Some(ClaimResult::Invalid) => {
                return Err(invalid_key("it states no valid time of issue"));
            }
            Some(ClaimResult::LogDown(why)) => {
                return Err(Problem::not_run(503, "log unavailable", why).retry_after(2));
            }
            None => return Err(Problem::not_run(503, "stopping", "the instance is stopping")),
        };
        if state.body_hash() != body_hash {
            let detail = "the key was used for another request";
            return Err(Problem::not_run(422, "key reused", detail));
        }
        if matches!(state, KeyState::Ended { .. }) {
            return Ok(ClaimDecision::AlreadyEnded(state));
        }
        if request.time_left().is_none() {
            let detail = "an earlier request with this key has not ended";
            return Err(Problem::new(409, "in progress", detail, Verdict::MayHaveRun));
        }
        sleep(CLAIM_POLL_INTERVAL).await;
    }
}

/// Returns the stored response of the first request with the key, or a 409 problem if none is
/// stored.
fn replay(state: &KeyState) -> Result<Response, Problem> {
    let KeyState::Ended { verdict, answer: Some(answer), .. } = state else {
        let verdict = match state {
            KeyState::Ended { verdict, .. } => *verdict,
            KeyState::Claimed { .. } => Verdict::MayHaveRun,
        };
        let detail = "the request with this key has ended, but its answer is not held";
        return Err(Problem::new(409, "answer not held", detail, verdict));
    };
    let mut res = Response::new(Bytes::from(answer.body.clone()));
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or_default();
    if let Ok(value) = HeaderValue::try_from(&answer.content_type) {
        res.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    res.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    add_verdict(res.headers_mut(), *verdict);
    Ok(res)
}

/// A request whose claim was won. It runs to completion even if the caller disconnects, so that
/// its outcome is recorded.
struct ClaimedRequest {
    cx: Rc<Context>,
    key: RequestKey,
    claim_id: ClaimId,
    fence: u64,
    request: Request<Admitted>,
    prepared: PreparedRequest,
}

impl ClaimedRequest {
    async fn run_detached(self) -> Result<Response, Problem> {
        let (tx, rx) = oneshot::channel();
        monoio::spawn(async move {
            let _ = tx.send(self.run_and_record().await);
        });
        rx.await.unwrap_or_else(|_| {
            let detail = "the instance is stopping";
            Err(Problem::new(503, "stopping", detail, Verdict::MayHaveRun))
        })
    }

    async fn run_and_record(mut self) -> Result<Response, Problem> {
        let _active = CountGuard::new(&self.cx.active_requests);
        let headers = &mut self.prepared.outgoing.headers;
        let key = self.key.key.to_string();
        headers.insert(
            IDEMPOTENCY_KEY_HEADER,
            HeaderValue::try_from(key).expect("a UUID is a valid header value"),
        );
        headers.insert(FENCE_HEADER, self.fence.into());
        let time_left = self.request.time_left().unwrap_or_default();
        let mut recorder = DecisionRecorder::new(self.request.id(), &self.prepared, time_left);
        let result =
            run::fetch_response(&self.cx, self.request, &self.prepared, &mut recorder).await;
        let (status, verdict, stored_answer) = match &result {
            Ok(res) => (res.status().as_u16(), run::verdict_of(res.status()), storable_answer(res)),
            Err(problem) => (problem.status, problem.verdict, None),
        };
        recorder.finish(&self.cx, status, verdict);
        let (key, claim_id) = (self.key, self.claim_id);
        self.cx.claimant.send(ToClaimant::RecordOutcome(ClaimOutcome {
            key,
            claim_id,
            verdict,
            answer: stored_answer,
        }));
        result.map(|mut res| {
            *res.headers_mut() = run::end_to_end_headers(res.headers());
            add_verdict(res.headers_mut(), verdict);
            res
        })
    }
}

/// Returns the response in the form stored in the log; `None` if it is not UTF-8 or too large.
fn storable_answer(res: &Response) -> Option<Answer> {
    if res.body().len() > MAX_STORED_ANSWER_BYTES {
        return None;
    }
    let body = std::str::from_utf8(res.body()).ok()?.to_owned();
    let content_type = match res.headers().get(header::CONTENT_TYPE) {
        Some(value) => value.to_str().ok()?.to_owned(),
        None => "application/octet-stream".to_owned(),
    };
    Some(Answer { status: res.status().as_u16(), content_type, body })
}
