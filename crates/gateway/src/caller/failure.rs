//! Failures of a request for which no endpoint's response can be forwarded, and the response that
//! the gateway sends for each.
//!
//! Only a request that has not run gets status 429 or 503, which a caller may always retry.

use std::time::Duration;

use baobabvane_decide::Refusal;
use baobabvane_domain::Verdict;
use baobabvane_wire::Response;
use http::{HeaderValue, StatusCode};

use super::{
    admission::STOPPING_RETRY_AFTER,
    reply::{LocalReply, NO_MEMORY_RETRY_AFTER},
};
use crate::{context::Context, scheduler::Refused};

/// Bounds of `Retry-After` after a refusal for load. The lower one holds for all refusals.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// The least of the former in an interactive configuration, where a refused caller may have only
/// some tenths of a second left.
const MIN_INTERACTIVE_RETRY_AFTER: Duration = Duration::from_millis(30);
/// The part of a caller's remaining time after which it is told to return at the latest; callers
/// wait no longer than that.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Why no endpoint's response can be forwarded to the caller.
#[derive(Debug)]
pub(super) enum Failure {
    /// The scheduler granted no endpoint; the request has not run.
    Refused(Refused),
    /// No endpoint was reached, or each one reported that it did not run the request.
    NotRun(&'static str),
    /// An endpoint may have run the request.
    MayHaveRun(&'static str),
    /// The request's timeout elapsed; the verdict states whether an endpoint may have run it.
    TimedOut(Verdict),
    /// The instance is stopping; the verdict states whether an endpoint may have run the request.
    Stopping(Verdict),
    /// No memory was free for the request or its response; the request has not run.
    NoMemory,
    /// No memory was free for the response; the request has run.
    NoMemoryForResponse,
}

impl Failure {
    /// Returns the value of `outcome` in logs and metrics.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::Refused(refused) => refused.as_str(),
            Self::NotRun(_) => "not_run",
            Self::MayHaveRun(_) => "may_have_run",
            Self::TimedOut(_) => "timed_out",
            Self::Stopping(_) => "stopping",
            Self::NoMemory => "no_memory",
            Self::NoMemoryForResponse => "no_memory_for_response",
        }
    }

    /// Builds the response for the caller, with the request's id.
    ///
    /// `time_left` is how long the caller waits for its answer yet.
    pub(super) fn into_response(
        self,
        request_id: &HeaderValue,
        cx: &Context,
        time_left: Duration,
    ) -> Response {
        let is_interactive = cx.knowledge.configuration().is_interactive();
        let interactive = |after| spread_retry_after(after, time_left, cx.random_fraction());
        let reply = match self {
            Self::Refused(Refused::Quota(refusal)) => {
                let after = Duration::from_secs_f64(refusal.retry_after_ms / 1_000.0);
                let after = match is_interactive {
                    true => interactive(after),
                    false => after.max(MIN_RETRY_AFTER),
                };
                LocalReply::new(StatusCode::TOO_MANY_REQUESTS, "over the quota")
                    .retry_after(Some(after))
            }
            Self::Refused(Refused::Quarantined(block)) => {
                let after = Duration::from_secs_f64(block.remaining_ms / 1_000.0);
                LocalReply::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "prompts with a part of this one have crashed endpoints",
                )
                .retry_after(Some(after))
            }
            Self::Refused(refused) => {
                let is_load =
                    matches!(refused, Refused::Core { refusal: Refusal::Load | Refusal::Late, .. });
                let after = match is_interactive && is_load {
                    true => interactive(refused.retry_after()),
                    false => refused.retry_after(),
                };
                LocalReply::new(StatusCode::SERVICE_UNAVAILABLE, refused.as_str())
                    .retry_after(Some(after))
            }
            Self::NotRun(cause) => LocalReply::new(StatusCode::SERVICE_UNAVAILABLE, cause)
                .retry_after(Some(MIN_RETRY_AFTER)),
            Self::MayHaveRun(cause) => LocalReply::new(StatusCode::BAD_GATEWAY, cause),
            Self::TimedOut(Verdict::NotRun) => {
                LocalReply::new(StatusCode::SERVICE_UNAVAILABLE, "no endpoint in time")
            }
            Self::TimedOut(_) => LocalReply::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            Self::Stopping(Verdict::NotRun) => {
                LocalReply::new(StatusCode::SERVICE_UNAVAILABLE, "stopping")
                    .retry_after(Some(STOPPING_RETRY_AFTER))
            }
            Self::Stopping(_) => {
                LocalReply::new(StatusCode::BAD_GATEWAY, "stopping before the answer came")
            }
            Self::NoMemory => {
                LocalReply::new(StatusCode::SERVICE_UNAVAILABLE, "no memory is free for the answer")
                    .retry_after(Some(NO_MEMORY_RETRY_AFTER))
            }
            Self::NoMemoryForResponse => {
                LocalReply::new(StatusCode::BAD_GATEWAY, "no memory was free for the answer")
            }
        };
        reply.header(&cx.header_names.request_id, request_id).build()
    }
}

impl Refused {
    /// Returns the delay after which a retry may succeed: after a refusal for load, the estimated
    /// wait in the request's tier; if no endpoint lets requests through, the time until one does;
    /// otherwise the minimum.
    fn retry_after(self) -> Duration {
        let (wait_ms, max) = match self {
            Self::Core { refusal: Refusal::Load, why } => (why.tier_wait_ms, MAX_RETRY_AFTER),
            Self::Core { refusal: Refusal::NoEndpoint, why } => {
                (why.endpoint_wait_ms, Duration::MAX)
            }
            _ => (0.0, MAX_RETRY_AFTER),
        };
        Duration::from_secs_f64(wait_ms.max(0.0) / 1_000.0).clamp(MIN_RETRY_AFTER, max)
    }
}

/// Limits a delay to a part of the time for which the caller waits yet, and spreads it by `draw`
/// in `0.0..1.0`, so that callers refused at the same time do not return together.
fn spread_retry_after(after: Duration, time_left: Duration, draw: f64) -> Duration {
    let most = time_left.mul_f64(MAX_RETRY_AFTER_SHARE);
    after.max(MIN_INTERACTIVE_RETRY_AFTER).min(most).mul_f64(0.5 + draw / 2.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against callers that are told to return when they have given up, and against those
    /// that return together.
    #[test]
    fn callers_return_within_a_third_of_their_time_and_not_together() {
        let [second, left] = [1_000, 240].map(Duration::from_millis);
        let at = |draw| spread_retry_after(second, left, draw);
        assert_eq!(at(0.999_999).as_millis(), 79);
        assert_eq!(at(0.0).as_millis(), 40);
        assert_eq!(spread_retry_after(Duration::ZERO, left, 0.0).as_millis(), 15);
        assert_eq!(spread_retry_after(second, Duration::ZERO, 0.5), Duration::ZERO);
    }
}
