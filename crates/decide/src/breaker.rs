//! The circuit breaker of an endpoint.
//!
//! It holds back requests while the endpoint fails or doesn't answer, for an
//! interval that doubles with each failed probe.

use crate::event::Millis;

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// Time for which the breaker allows no probe when it first opens.
const INITIAL_OPEN_MS: Millis = 1_000.0;
const MAX_OPEN_MS: Millis = 30_000.0;

/// Opens on failures without a complete answer in between or on silence, and lets one probe through
/// before it closes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Breaker {
    consecutive_failures: u32,
    times_opened: u32,
    open_until: Millis,
    is_probing: bool,
}

impl Breaker {
    pub(crate) fn new() -> Self {
        Self {
            consecutive_failures: 0,
            times_opened: 0,
            open_until: f64::NEG_INFINITY,
            is_probing: false,
        }
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn allows(&self, now: Millis) -> bool {
        if self.times_opened == 0 {
            return true;
        }
        now >= self.open_until && !self.is_probing
    }

    /// Returns whether the breaker is open, which it stays until the endpoint answers.
    pub(crate) fn is_open(&self) -> bool {
        self.times_opened > 0
    }

    /// Returns from when on the breaker allows a probe.
    pub(crate) fn opens_at(&self) -> Millis {
        if self.times_opened > 0 { self.open_until } else { Millis::NEG_INFINITY }
    }

    /// Records a dispatch; it is the probe if the breaker is open.
    pub(crate) fn record_sent(&mut self) {
        self.is_probing = self.is_open();
    }

    /// Closes the breaker because the endpoint began to answer. That does not show that it can
    /// answer to the end, so earlier failures still count.
    pub(crate) fn record_start(&mut self) {
        *self = Self { consecutive_failures: self.consecutive_failures, ..Self::new() };
    }

    /// Closes the breaker because the endpoint answered to the end.
    pub(crate) fn record_success(&mut self) {
        *self = Self::new();
    }

    /// Records a failed request and returns whether the breaker opened.
    pub(crate) fn record_failure(&mut self, now: Millis) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_OPEN && !self.is_probing {
            return false;
        }
        self.open(now);
        true
    }

    /// Opens the breaker; the time without a probe doubles each time up to a maximum.
    pub(crate) fn open(&mut self, now: Millis) {
        let doubled = INITIAL_OPEN_MS * f64::from(1 << self.times_opened.min(10));
        self.open_until = now + doubled.min(MAX_OPEN_MS);
        self.times_opened += 1;
        self.is_probing = false;
    }

    /// Ends a probe whose result doesn't tell whether the endpoint works.
    pub(crate) fn end_probe(&mut self) {
        self.is_probing = false;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_probe_is_allowed_after_the_open_interval() {
        let mut breaker = Breaker::new();
        for _ in 0..3 {
            breaker.record_failure(0.0);
        }
        assert!(!breaker.allows(999.0));
        assert!(breaker.allows(1000.0));
        breaker.record_sent();
        assert!(!breaker.allows(1000.0));
        breaker.record_success();
        assert!(breaker.allows(1000.0));
    }

    /// Guards against an endpoint that begins each answer and completes none.
    #[test]
    fn answers_that_begin_and_break_off_open_the_breaker() {
        let mut breaker = Breaker::new();
        for number in 0..3 {
            breaker.record_start();
            assert_eq!(breaker.record_failure(0.0), number == 2);
        }
        assert!(!breaker.allows(999.0) && breaker.allows(1000.0));
        breaker.record_sent();
        breaker.record_start();
        assert!(breaker.allows(1000.0));
        assert!(breaker.record_failure(1000.0));
        breaker.record_sent();
        breaker.record_start();
        breaker.record_success();
        assert!(!breaker.record_failure(3000.0));
    }

    #[test]
    fn each_failed_probe_doubles_the_open_interval() {
        let mut breaker = Breaker::new();
        for _ in 0..3 {
            breaker.record_failure(0.0);
        }
        breaker.record_sent();
        breaker.record_failure(1000.0);
        assert!(!breaker.allows(2999.0));
        assert!(breaker.allows(3000.0));
    }
}
