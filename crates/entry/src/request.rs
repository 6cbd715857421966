//! The life cycle of a caller's request, as types.
//!
//! Each stage can only move to the next, and the stage knows whether the
//! request may have run: before [`Dispatched`] no byte has been offered to an
//! endpoint, so that a refusal is `NotRun`; see
//! [verdicts](../../../docs/DESIGN.md#verdicts).

use std::time::Duration;

use baobabvane_decide::Ending;
use baobabvane_domain::{Problem, Uuid, Verdict};
use monoio::time::Instant;

use crate::{
    link::{Cause, Exchange, Failure, Outgoing},
    tasks::scheduler::Grant,
};

/// Names a request in answers, logs and explanations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RequestId(Uuid);

impl RequestId {
    pub(crate) fn new() -> Self {
        Self(Uuid::now_v7())
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.simple().fmt(f)
    }
}

/// The request was read and nothing was decided.
pub(crate) struct Received;

/// The request is allowed and waits for an endpoint.
pub(crate) struct Admitted {
    deadline: Instant,
    idempotent: bool,
    failed_at: Vec<String>,
    /// The worst that earlier attempts left behind.
    verdict: Verdict,
}

/// An endpoint was granted; nothing was sent.
pub(crate) struct Granted {
    admitted: Admitted,
    grant: Grant,
}

/// The endpoint may have seen the request.
pub(crate) struct Dispatched {
    admitted: Admitted,
    grant: Grant,
    pub(crate) exchange: Exchange,
}

/// A request at a stage of its life.
pub(crate) struct Request<S> {
    id: RequestId,
    received_at: Instant,
    pub(crate) stage: S,
}

/// Dispatches of one request, however much its deadline and budget allow.
const MAX_ATTEMPTS: usize = 4;

impl<S> Request<S> {
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    fn to<T>(self, make: impl FnOnce(S) -> T) -> Request<T> {
        Request { id: self.id, received_at: self.received_at, stage: make(self.stage) }
    }
}

impl Request<Received> {
    pub(crate) fn receive(id: RequestId) -> Self {
        Self { id, received_at: Instant::now(), stage: Received }
    }

    /// Admits the request; the caller waits for `patience` from its arrival.
    pub(crate) fn admit(self, patience: Duration, idempotent: bool) -> Request<Admitted> {
        let deadline = self.received_at + patience;
        self.to(|Received| Admitted {
            deadline,
            idempotent,
            failed_at: Vec::new(),
            verdict: Verdict::NotRun,
        })
    }
}

impl Request<Admitted> {
    /// Returns how long the caller still waits; `None` when it has stopped.
    pub(crate) fn patience(&self) -> Option<Duration> {
        self.stage.deadline.checked_duration_since(Instant::now()).filter(|d| !d.is_zero())
    }

    /// Returns where earlier dispatches failed.
    pub(crate) fn failed_at(&self) -> &[String] {
        &self.stage.failed_at
    }

    /// Returns the verdict of a request that is given up now.
    pub(crate) fn verdict(&self) -> Verdict {
        self.stage.verdict
    }

    pub(crate) fn grant(self, grant: Grant) -> Request<Granted> {
        self.to(|admitted| Granted { admitted, grant })
    }
}

impl Request<Granted> {
    /// Offers the request to the endpoint.
    pub(crate) fn dispatch(self, outgoing: Outgoing) -> Request<Dispatched> {
        self.to(|Granted { admitted, grant }| {
            let exchange = grant.target.link.begin(outgoing);
            Dispatched { admitted, grant, exchange }
        })
    }
}

impl Request<Dispatched> {
    pub(crate) fn endpoint(&self) -> &str {
        &self.stage.grant.target.name
    }

    /// Says whether the request may be sent again whatever became of it.
    pub(crate) fn may_repeat(&self) -> bool {
        self.stage.admitted.idempotent
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.stage.admitted.deadline
    }

    /// Notes that the answer has begun.
    pub(crate) fn begun(&self) {
        self.stage.grant.report_first_token();
    }

    /// Ends the life of a request whose whole answer was received.
    pub(crate) fn answered(self, answer_tokens: u32) -> Duration {
        self.stage.grant.end(Ending::Complete { answer_tokens });
        self.received_at.elapsed()
    }

    /// Gives up because the caller stopped waiting; the endpoint's work is cancelled.
    pub(crate) fn abandon(self) -> Verdict {
        self.stage.grant.end(Ending::Cancelled);
        Verdict::MayHaveRun
    }

    /// Returns to waiting when the failure allows another dispatch.
    pub(crate) fn failed(self, failure: &Failure) -> Result<Request<Admitted>, Problem> {
        let endpoint = self.endpoint().to_owned();
        let Self { id, received_at, stage: Dispatched { mut admitted, grant, exchange } } = self;
        drop(exchange);
        grant.end(match failure.cause {
            Cause::Endpoint => Ending::Failed,
            Cause::Silence => Ending::Lost,
        });
        admitted.failed_at.push(endpoint.clone());
        admitted.verdict = admitted.verdict.max(failure.verdict);
        let allowed = failure.verdict.allows_dispatch(admitted.idempotent);
        if allowed && admitted.failed_at.len() < MAX_ATTEMPTS {
            return Ok(Request { id, received_at, stage: admitted });
        }
        let detail = format!("endpoint {endpoint:?} failed: {}", failure.detail);
        Err(Problem::new(502, "endpoint failed", detail, admitted.verdict))
    }
}
