//! What the logs and metrics say of a request.

use baobabvane_domain::Verdict;
use baobabvane_wire::Response;

use super::{
    admission::Incoming,
    exchange::{Exchange, Missed},
    failure::Failure,
};
use crate::scheduler::Grant;

impl Exchange<'_> {
    /// Returns the request's id for logs.
    pub(super) fn id(&self) -> &str {
        self.incoming.id.to_str().unwrap_or("-")
    }

    /// Writes one line on a decision about this request.
    pub(super) fn log(&self, event: &str, details: std::fmt::Arguments<'_>) {
        log::info!("event={event} request={} {details}", self.id());
    }

    pub(super) fn log_dispatched(&self, grant: &Grant) {
        let Incoming { route, version, pool, organisation, prompt, .. } = &self.incoming;
        let organisation = organisation.as_ref().map_or("-", |o| o.name.as_str());
        let why = &grant.why;
        log::info!(
            "event=dispatched request={} route={} organisation={organisation} pool={pool} \
             endpoint={} rank={} prompt_tokens={} answer_tokens={} of={} expected_ms={:.0} \
             cached_tokens={} waited_ms={:.0} waiting={} in_flight={} room={} \
             time_left_ms={} version={version}",
            self.id(),
            route.name,
            grant.id,
            self.rank(),
            prompt.tokens,
            prompt.answer_tokens,
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

    pub(super) fn log_missed(&self, grant: &Grant, missed: &Missed) {
        let (verdict, cause) = match missed {
            Missed::Unreached => (Verdict::NotRun, "the endpoint could not be reached"),
            Missed::NotRun(cause) => (Verdict::NotRun, *cause),
            Missed::MayHaveRun(cause) => (Verdict::MayHaveRun, *cause),
            Missed::Failed(_) => (Verdict::Ran, "the endpoint answered with an error"),
            Missed::Refused(_) | Missed::Stopping => return,
        };
        self.log(
            "try_failed",
            format_args!("endpoint={} verdict={verdict} cause={cause:?}", grant.id),
        );
    }

    pub(super) fn log_answered(&self, res: &Response) {
        self.record("answered");
        self.log(
            "answered",
            format_args!(
                "route={} status={} ms={} tried={}",
                self.incoming.route.name,
                res.status().as_u16(),
                self.incoming.began.elapsed().as_millis(),
                self.sent.get()
            ),
        );
    }

    pub(super) fn log_left(&self) {
        self.record("left");
        self.log(
            "caller_left",
            format_args!(
                "route={} ms={} tried={} verdict={}",
                self.incoming.route.name,
                self.incoming.began.elapsed().as_millis(),
                self.sent.get(),
                self.verdict.get()
            ),
        );
    }

    pub(super) fn log_failed(&self, failure: &Failure) {
        self.record(failure.as_str());
        self.log(
            "failed",
            format_args!(
                "route={} outcome={} detail=\"{failure:?}\" ms={} tried={} verdict={}",
                self.incoming.route.name,
                failure.as_str(),
                self.incoming.began.elapsed().as_millis(),
                self.sent.get(),
                self.verdict.get()
            ),
        );
    }

    /// Counts an outcome and its time.
    pub(super) fn record(&self, outcome: &'static str) {
        metrics::counter!("baobabvane_gateway_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("baobabvane_gateway_seconds", "outcome" => outcome)
            .record(self.incoming.began.elapsed().as_secs_f64());
    }
}
