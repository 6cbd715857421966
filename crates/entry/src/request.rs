//! The life cycle of a caller's request as a typestate.
//!
//! A request moves through its stages in order and returns to [`Admitted`] only for a retry. A
//! request that was never [`Dispatched`] has not been sent to an endpoint, so its verdict is
//! `NotRun`. See [verdicts](../../../docs/DESIGN.md#verdicts).

use std::time::Duration;

use baobabvane_decide::Ending;
use baobabvane_domain::{Problem, Uuid, Verdict};
use monoio::time::Instant;

use crate::{
    link::{Exchange, Failure, FailureCause, OutgoingRequest},
    tasks::scheduler::Grant,
};

/// Identifies a request in responses, log lines and `baobabvanectl explain`.
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

/// The request was read and not yet checked.
pub(crate) struct Received;

/// The request passed all checks and waits for an endpoint.
pub(crate) struct Admitted {
    deadline: Instant,
    is_idempotent: bool,
    /// One name per failed dispatch.
    failed_endpoints: Vec<String>,
    /// The worst verdict of the attempts so far: `MayHaveRun` if any of them may have run.
    verdict: Verdict,
}

/// An endpoint was granted, and nothing has been sent to it.
pub(crate) struct Granted {
    admitted: Admitted,
    grant: Grant,
}

/// The request was handed to the endpoint's client; the endpoint may have received it.
pub(crate) struct Dispatched {
    admitted: Admitted,
    grant: Grant,
    pub(crate) exchange: Exchange,
}

/// A request at stage `S` of its life cycle.
pub(crate) struct Request<S> {
    id: RequestId,
    received_at: Instant,
    pub(crate) stage: S,
}

/// The most dispatches of one request, even if its deadline and the retry budget allow more.
const MAX_ATTEMPTS: usize = 4;

impl<S> Request<S> {
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    fn into_stage<T>(self, make_stage: impl FnOnce(S) -> T) -> Request<T> {
        Request { id: self.id, received_at: self.received_at, stage: make_stage(self.stage) }
    }
}

impl Request<Received> {
    pub(crate) fn receive(id: RequestId) -> Self {
        Self { id, received_at: Instant::now(), stage: Received }
    }

    /// Admits the request with a deadline of `timeout` after its arrival.
    pub(crate) fn admit(self, timeout: Duration, is_idempotent: bool) -> Request<Admitted> {
        let deadline = self.received_at + timeout;
        self.into_stage(|Received| Admitted {
            deadline,
            is_idempotent,
            failed_endpoints: Vec::new(),
            verdict: Verdict::NotRun,
        })
    }
}

impl Request<Admitted> {
    /// Returns the time until the deadline; `None` if it has passed.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        self.stage.deadline.checked_duration_since(Instant::now()).filter(|d| !d.is_zero())
    }

    /// Returns the names of the endpoints at which earlier dispatches failed.
    pub(crate) fn failed_endpoints(&self) -> &[String] {
        &self.stage.failed_endpoints
    }

    /// Returns the verdict on the dispatches so far, which is final if no other follows.
    pub(crate) fn verdict(&self) -> Verdict {
        self.stage.verdict
    }

    pub(crate) fn grant(self, grant: Grant) -> Request<Granted> {
        self.into_stage(|admitted| Granted { admitted, grant })
    }
}

impl Request<Granted> {
    /// Sends the request to the granted endpoint.
    pub(crate) fn dispatch(self, outgoing: OutgoingRequest) -> Request<Dispatched> {
        self.into_stage(|Granted { admitted, grant }| {
            let exchange = grant.target.client.start_exchange(outgoing);
            Dispatched { admitted, grant, exchange }
        })
    }
}

impl Request<Dispatched> {
    pub(crate) fn endpoint(&self) -> &str {
        &self.stage.grant.target.name
    }

    /// Returns whether the request may be sent again although an endpoint may have run it.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.stage.admitted.is_idempotent
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.stage.admitted.deadline
    }

    /// Reports to the scheduler that the endpoint has started to respond.
    pub(crate) fn report_first_token(&self) {
        self.stage.grant.report_first_token();
    }

    /// Releases the grant after a complete response and returns the time since the request's
    /// arrival.
    pub(crate) fn complete(self, answer_tokens: u32) -> Duration {
        self.stage.grant.end(Ending::Complete { answer_tokens });
        self.received_at.elapsed()
    }

    /// Cancels the work at the endpoint by closing the connection to it, and releases the grant,
    /// because the caller disconnected or the deadline passed. Returns the verdict `MayHaveRun`.
    pub(crate) fn cancel(self) -> Verdict {
        self.stage.grant.end(Ending::Cancelled);
        Verdict::MayHaveRun
    }

    /// Releases the grant after a failure, and returns the request to waiting for an endpoint if
    /// another dispatch is allowed. Otherwise the error is the problem for the caller.
    pub(crate) fn retry_or_fail(self, failure: &Failure) -> Result<Request<Admitted>, Problem> {
        let endpoint = self.endpoint().to_owned();
        let Self { id, received_at, stage: Dispatched { mut admitted, grant, exchange } } = self;
        drop(exchange);
        grant.end(match failure.cause {
            FailureCause::Endpoint => Ending::Failed,
            FailureCause::Timeout => Ending::Lost,
        });
        admitted.failed_endpoints.push(endpoint.clone());
        admitted.verdict = admitted.verdict.max(failure.verdict);
        let is_retry_allowed = failure.verdict.allows_dispatch(admitted.is_idempotent);
        if is_retry_allowed && admitted.failed_endpoints.len() < MAX_ATTEMPTS {
            return Ok(Request { id, received_at, stage: admitted });
        }
        let detail = format!("endpoint {endpoint:?} failed: {}", failure.detail);
        Err(Problem::new(502, "endpoint failed", detail, admitted.verdict))
    }
}
