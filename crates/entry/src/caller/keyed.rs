//! Requests that must run at most once: by key, claimed before they are sent.
//!
//! See [at most once](../../../../docs/claims.md).

use std::{rc::Rc, time::Duration};

use baobabvane_claims::{ClaimResult, KeyState, Owner};
use baobabvane_domain::{Answer, Incarnation, LogDown, Problem, RequestKey, Uuid, Verdict};
use baobabvane_tasks::Counted;
use baobabvane_wire::{Request as HttpRequest, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use local_sync::oneshot;
use monoio::time::sleep;

use crate::{
    caller::{
        Context, admission,
        connection::{Reply, add_verdict},
        run::{self, Job, Trace},
    },
    request::{Admitted, Request},
    tasks::claimant::{Ask, Ended, Looked, MAX_KEPT_ANSWER_BYTES, ToClaimant},
};

const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Hands the caller a key for its next request, so that it needs no round trip for one.
const NEXT_KEY: &str = "baobabvane-next-key";
/// Tells the endpoint the claim's place in the log; a later claim has a larger one.
const FENCE: &str = "baobabvane-fence";
/// Says that the answer was given before.
const REPLAYED: &str = "baobabvane-replayed";
/// How often the outcome of a request in progress is looked up.
const LOOKUP_PAUSE: Duration = Duration::from_millis(20);

/// Answers a request that must run at most once.
pub(crate) async fn answer(
    cx: &Rc<Context>,
    req: &HttpRequest,
    life: Request<Admitted>,
    job: Job,
) -> Result<Reply, Problem> {
    let key = RequestKey {
        organisation: job.org.name.clone(),
        kind: job.kind.name.clone(),
        key: idempotency_key(req.headers())?,
    };
    let log_down = job.kind.spec.log_down;
    let body_hash = hash_request(req);
    let answered = match claim(cx, &life, &key, body_hash, log_down).await? {
        Claim::Won { owner, fence } => {
            let run = Run { cx: Rc::clone(cx), key, owner, fence, life, job };
            run.detached().await
        }
        Claim::Replayed(answer) => replay(&answer),
    };
    let mut res = answered?;
    if log_down == LogDown::Issued
        && let Some(next) = cx.claimant.ask(ToClaimant::Issue).await
    {
        let value = HeaderValue::try_from(next.to_string()).expect("a UUID is a header value");
        res.headers_mut().insert(NEXT_KEY, value);
    }
    Ok(Reply::Whole(res))
}

/// Answers `GET /v1/requests/{key}`.
pub(crate) async fn outcome(
    cx: &Rc<Context>,
    req: &HttpRequest,
    key: &str,
) -> Result<Reply, Problem> {
    let org = admission::organisation(cx, req.headers())?;
    let key = parse_key(key)?;
    let keys = cx
        .published
        .get()
        .kinds()
        .filter(|kind| !kind.spec.idempotent)
        .map(|kind| RequestKey { organisation: org.name.clone(), kind: kind.name.clone(), key })
        .collect();
    let looked = cx.claimant.ask(|reply| ToClaimant::Lookup { keys, reply }).await;
    match looked.unwrap_or(Looked::Unknown) {
        Looked::Unclaimed => {
            Err(Problem::not_run(404, "unknown key", "no request with this key was sent on"))
        }
        Looked::Unknown => {
            let detail = "the log cannot tell now what became of this key";
            let problem = Problem::new(503, "outcome unknown", detail, Verdict::MayHaveRun);
            Err(problem.retry_after(2))
        }
        Looked::Found(KeyState::Claimed { .. }) => {
            let detail = "the request is in progress, or the instance that ran it has died";
            Err(Problem::new(409, "in progress", detail, Verdict::MayHaveRun))
        }
        Looked::Found(state) => Ok(Reply::Whole(replay(&state)?)),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Uuid, Problem> {
    match headers.get(IDEMPOTENCY_KEY).map(HeaderValue::to_str) {
        Some(Ok(text)) => parse_key(text.trim_matches('"')),
        Some(Err(_)) => Err(wrong_key("it is not text")),
        None => Err(wrong_key("it is missing")),
    }
}

fn parse_key(text: &str) -> Result<Uuid, Problem> {
    Uuid::parse_str(text).map_err(|e| wrong_key(&e.to_string()))
}

fn wrong_key(why: &str) -> Problem {
    let detail = format!("header {IDEMPOTENCY_KEY:?} must be a version 7 UUID: {why}");
    Problem::not_run(400, "idempotency key needed", detail)
}

/// Hashes what makes two requests the same.
fn hash_request(req: &HttpRequest) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(req.method().as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(req.uri().to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(req.body());
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}

/// Whose request with the key it is.
enum Claim {
    /// This one may run.
    Won { owner: Owner, fence: u64 },
    /// An earlier one has ended.
    Replayed(KeyState),
}

/// Claims the key, or waits for the request that holds it.
async fn claim(
    cx: &Context,
    life: &Request<Admitted>,
    key: &RequestKey,
    body_hash: u64,
    log_down: LogDown,
) -> Result<Claim, Problem> {
    if cfg!(feature = "without-claims") {
        let incarnation = Incarnation(Uuid::new_v4());
        return Ok(Claim::Won { owner: Owner { incarnation, attempt: 0 }, fence: 0 });
    }
    loop {
        let claim = |reply| ToClaimant::Claim(Ask { key: key.clone(), body_hash, log_down, reply });
        let state = match cx.claimant.ask(claim).await {
            Some(ClaimResult::Won { owner, fence }) => return Ok(Claim::Won { owner, fence }),
            Some(ClaimResult::Lost(state)) => state,
            Some(ClaimResult::TooOld) => {
                let detail = "what became of this key is not known any more";
                return Err(Problem::new(409, "key too old", detail, Verdict::MayHaveRun));
            }
            Some(ClaimResult::Invalid) => {
                return Err(wrong_key("it states no valid time of issue"));
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
            return Ok(Claim::Replayed(state));
        }
        if life.patience().is_none() {
            let detail = "an earlier request with this key has not ended";
            return Err(Problem::new(409, "in progress", detail, Verdict::MayHaveRun));
        }
        sleep(LOOKUP_PAUSE).await;
    }
}

/// Gives the answer of the first request with the key again.
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
    res.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    add_verdict(res.headers_mut(), *verdict);
    Ok(res)
}

/// A claimed request; it runs to its end even when the caller goes away.
struct Run {
    cx: Rc<Context>,
    key: RequestKey,
    owner: Owner,
    fence: u64,
    life: Request<Admitted>,
    job: Job,
}

impl Run {
    async fn detached(self) -> Result<Response, Problem> {
        let (tx, rx) = oneshot::channel();
        monoio::spawn(async move {
            let _ = tx.send(self.finish().await);
        });
        rx.await.unwrap_or_else(|_| {
            let detail = "the instance is stopping";
            Err(Problem::new(503, "stopping", detail, Verdict::MayHaveRun))
        })
    }

    async fn finish(mut self) -> Result<Response, Problem> {
        let _active = Counted::new(&self.cx.active);
        let headers = &mut self.job.outgoing.headers;
        let key = self.key.key.to_string();
        headers.insert(IDEMPOTENCY_KEY, HeaderValue::try_from(key).expect("a UUID is a value"));
        headers.insert(FENCE, self.fence.into());
        let patience = self.life.patience().unwrap_or_default();
        let mut trace = Trace::new(self.life.id(), &self.job, patience);
        let result = run::whole(&self.cx, self.life, &self.job, &mut trace).await;
        let (status, verdict, kept) = match &result {
            Ok(res) => (res.status().as_u16(), run::verdict_of(res.status()), keep(res)),
            Err(problem) => (problem.status, problem.verdict, None),
        };
        trace.finish(&self.cx, status, verdict);
        let (key, owner) = (self.key, self.owner);
        self.cx.claimant.send(ToClaimant::End(Ended { key, owner, verdict, answer: kept }));
        result.map(|mut res| {
            *res.headers_mut() = run::end_to_end(res.headers());
            add_verdict(res.headers_mut(), verdict);
            res
        })
    }
}

/// Keeps an answer in text that is small enough for the log.
fn keep(res: &Response) -> Option<Answer> {
    if res.body().len() > MAX_KEPT_ANSWER_BYTES {
        return None;
    }
    let body = std::str::from_utf8(res.body()).ok()?.to_owned();
    let content_type = match res.headers().get(header::CONTENT_TYPE) {
        Some(value) => value.to_str().ok()?.to_owned(),
        None => "application/octet-stream".to_owned(),
    };
    Some(Answer { status: res.status().as_u16(), content_type, body })
}
