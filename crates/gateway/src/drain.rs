//! What a stopping instance owes each request, from the stop request to the end of the process.
//!
//! - Until [`Drain::accepts_requests`] turns false, requests are served as ever: the load balancer
//!   needs a few probes to see that the instance is not ready.
//! - From then on, new requests are refused, and so are those that wait for an endpoint
//!   ([`Drain::until_waiting_ends`]), unless their own timeout ends before the last answers: no
//!   request is passed on whose answer the instance could not wait for. What endpoints already
//!   work on runs to its end.
//! - At [`Drain::until_last_answers`], each request that is left gets its final answer, which says
//!   whether it may have run; streams are cut, so that they do not look complete.
//!
//! See [the guide](../../../guide/gateway.md#ready-stopping).

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use futures::{FutureExt, channel::oneshot, future::Shared};
use monoio::time::{Instant, sleep};

/// How long new requests are still served after the stop request. A load balancer that probes once
/// a second needs two probes to detect that the instance is not ready, and both fit in this time.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_500);
/// The longest such time as a share of the grace period, so that requests of a short one are
/// answered as well.
const MAX_ACCEPT_SHARE: f64 = 0.5;
/// The minimum time from the stop request to the exit. A load balancer that probes once a
/// second needs two probes to detect that an instance is not ready; until then, it still
/// routes callers to this instance.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// How long before the end of the grace period the last answers are given.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(400);
/// How long before the end of the grace period the process ends, whether or not callers have taken
/// their answers.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// Drain state of an instance.
pub(crate) struct Drain {
    /// The time from the stop request until the platform kills the process.
    grace: Duration,
    began_at: Cell<Option<Instant>>,
    begin_tx: RefCell<Option<oneshot::Sender<()>>>,
    begun_rx: Shared<oneshot::Receiver<()>>,
}

impl Drain {
    pub(crate) fn new(grace: Duration) -> Self {
        let (tx, rx) = oneshot::channel();
        Self {
            grace,
            began_at: Cell::new(None),
            begin_tx: RefCell::new(Some(tx)),
            begun_rx: rx.shared(),
        }
    }

    pub(crate) fn begin(&self) {
        self.began_at.set(Some(Instant::now()));
        if let Some(tx) = self.begin_tx.borrow_mut().take() {
            // This cannot fail, as `begun_rx` keeps the receiver.
            let _ = tx.send(());
        }
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Returns whether a request that arrives now is served; otherwise it is refused, so that the
    /// caller retries it at another instance.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.began_at.get().is_none_or(|began_at| began_at.elapsed() <= self.accept_period())
    }

    /// Resolves once the drain has begun.
    pub(crate) async fn begun(&self) {
        let _ = self.begun_rx.clone().await;
    }

    /// Resolves when a request that waits for an endpoint has to be refused; never if its timeout,
    /// of which `time_left` is left, ends before the last answers.
    pub(crate) async fn until_waiting_ends(&self, time_left: Duration) {
        let timeout_at = Instant::now() + time_left;
        self.until_after_begin(self.accept_period()).await;
        let last_answers_at = self.began_at.get().map(|at| at + self.answer_period());
        if last_answers_at.is_some_and(|at| timeout_at <= at) {
            std::future::pending::<()>().await;
        }
    }

    /// Resolves when each request that is left has to get its final answer.
    pub(crate) async fn until_last_answers(&self) {
        self.until_after_begin(self.answer_period()).await;
    }

    /// Returns whether the process may end, `active_requests` being the requests without an answer.
    pub(crate) fn is_over(&self, active_requests: usize) -> bool {
        self.began_at.get().is_some_and(|began_at| match active_requests {
            0 => began_at.elapsed() >= MIN_DRAIN_TIME.min(self.exit_period()),
            _ => began_at.elapsed() >= self.exit_period(),
        })
    }

    async fn until_after_begin(&self, period: Duration) {
        self.begun().await;
        if let Some(began_at) = self.began_at.get() {
            sleep(period.saturating_sub(began_at.elapsed())).await;
        }
    }

    fn accept_period(&self) -> Duration {
        ACCEPT_PERIOD.min(self.grace.mul_f64(MAX_ACCEPT_SHARE))
    }

    fn answer_period(&self) -> Duration {
        self.grace.saturating_sub(LAST_ANSWERS_MARGIN)
    }

    fn exit_period(&self) -> Duration {
        self.grace.saturating_sub(EXIT_MARGIN)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_of_any_grace_period_are_refused_before_the_last_answers() {
        for grace_ms in [900, 2_000, 5_000, 8_000, 30_000] {
            let drain = Drain::new(Duration::from_millis(grace_ms));
            assert!(drain.accept_period() < drain.answer_period(), "{grace_ms}");
            assert!(drain.answer_period() < drain.exit_period(), "{grace_ms}");
            assert!(drain.exit_period() < drain.grace, "{grace_ms}");
        }
    }
}
