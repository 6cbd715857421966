//! Log lines and metrics of a request; each line carries the request's id.

use baobabvane_domain::Verdict;
use baobabvane_wire::WireError;

use super::{
    admission::AdmittedRequest,
    exchange::{AttemptFailure, Exchange, Response},
    failure::Failure,
};
use crate::scheduler::{Grant, Refused};

impl Exchange<'_> {
    /// Returns the request's id for logs, or `-` if it is not visible ASCII.
    pub(super) fn request_id(&self) -> &str {
        self.request.id.to_str().unwrap_or("-")
    }

    /// Writes a log line about an event of this request.
    pub(super) fn log(&self, event: &str, details: std::fmt::Arguments<'_>) {
        log::info!("event={event} request={} {details}", self.request_id());
    }

    pub(super) fn log_dispatched(&self, grant: &Grant) {
        let AdmittedRequest { route, configuration_version, pool, organisation, prompt, .. } =
            &self.request;
        let organisation = organisation.as_ref().map_or("-", |o| o.name.as_str());
        let why = &grant.why;
        log::info!(
            "event=dispatched request={} route={} organisation={organisation} pool={pool} \
             endpoint={} rank={} prompt_tokens={} answer_tokens={} of={} expected_ms={:.0} \
             cached_tokens={} waited_ms={:.0} waiting={} in_flight={} room={} \
             time_left_ms={} version={configuration_version}",
            self.request_id(),
            route.name,
            grant.id,
            self.rank(),
            prompt.tokens,
            prompt.expected_answer_tokens,
            prompt.max_answer_tokens,
            grant.expected_first_token_ms,
            grant.cached_tokens,
            why.waited_ms,
            why.waiting_in_tier,
            why.in_flight,
            why.room,
            self.time_left().as_millis(),
        );
    }

    pub(super) fn log_attempt_failed(&self, grant: &Grant, failure: &AttemptFailure) {
        let (verdict, cause) = match failure {
            AttemptFailure::NotSent => (Verdict::NotRun, "the endpoint could not be reached"),
            AttemptFailure::NotRun(cause) => (Verdict::NotRun, *cause),
            AttemptFailure::MayHaveRun(cause) => (Verdict::MayHaveRun, *cause),
            AttemptFailure::ErrorResponse(res) => {
                self.log(
                    "endpoint_error",
                    format_args!(
                        "endpoint={} status={} shared_parts={}",
                        grant.id,
                        res.status().as_u16(),
                        self.request.prompt.shared_parts
                    ),
                );
                (Verdict::Ran, "the endpoint answered with an error")
            }
            AttemptFailure::NoMemory => (Verdict::NotRun, "no memory is free for the answer"),
            AttemptFailure::NoMemoryForResponse => {
                (Verdict::Ran, "no memory was free for the answer")
            }
            AttemptFailure::Refused(_) | AttemptFailure::Stopping => return,
        };
        self.log(
            "try_failed",
            format_args!("endpoint={} verdict={verdict} cause={cause:?}", grant.id),
        );
    }

    /// Logs a broken connection. If no answer had begun, the request may have ended the endpoint;
    /// the shared parts of its prompt then tell what it has in common with others.
    pub(super) fn log_endpoint_failed(
        &self,
        endpoint_id: &str,
        has_begun: bool,
        cause: &str,
        error: &WireError,
    ) {
        self.log(
            "endpoint_failed",
            format_args!(
                "endpoint={endpoint_id} cause={cause:?} error={:?} has_begun={has_begun} shared_parts={}",
                error.to_string(),
                self.request.prompt.shared_parts,
            ),
        );
    }

    pub(super) fn log_answered(&self, res: &Response) {
        self.record_outcome("answered");
        self.log(
            "answered",
            format_args!(
                "route={} status={} ms={} tried={}",
                self.request.route.name,
                res.status().as_u16(),
                self.request.received_at.elapsed().as_millis(),
                self.attempts.get()
            ),
        );
    }

    pub(super) fn log_caller_left(&self) {
        self.record_outcome("left");
        self.log(
            "caller_left",
            format_args!(
                "route={} ms={} tried={} verdict={}",
                self.request.route.name,
                self.request.received_at.elapsed().as_millis(),
                self.attempts.get(),
                self.verdict.get()
            ),
        );
    }

    pub(super) fn log_failed(&self, failure: &Failure) {
        self.record_outcome(failure.as_str());
        if let Failure::Refused(Refused::Quota(refusal)) = failure {
            let cause = refusal.cause.as_str();
            metrics::counter!("baobabvane_gateway_quota_refused_total", "cause" => cause)
                .increment(1);
        }
        let organisation = self.request.organisation.as_ref().map_or("-", |o| o.name.as_str());
        self.log(
            "failed",
            format_args!(
                "route={} organisation={organisation} rank={} outcome={} detail=\"{failure:?}\" \
                 time_left_ms={} ms={} tried={} verdict={}",
                self.request.route.name,
                self.rank(),
                failure.as_str(),
                self.caller_time_left().as_millis(),
                self.request.received_at.elapsed().as_millis(),
                self.attempts.get(),
                self.verdict.get()
            ),
        );
    }

    /// Updates the request counter and the duration histogram of an outcome.
    pub(super) fn record_outcome(&self, outcome: &'static str) {
        metrics::counter!("baobabvane_gateway_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("baobabvane_gateway_seconds", "outcome" => outcome)
            .record(self.request.received_at.elapsed().as_secs_f64());
    }
}
