//! Keeps work from an endpoint that fails or has stopped answering.

use crate::event::Millis;

/// This many failures in a row open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
const FIRST_OPEN_MS: Millis = 1_000.0;
const MAX_OPEN_MS: Millis = 30_000.0;

/// Opens on failures in a row and on silence; lets one request through to close.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Breaker {
    failures: u32,
    opened: u32,
    open_until: Millis,
    probing: bool,
}

impl Breaker {
    pub(crate) fn new() -> Self {
        Self { failures: 0, opened: 0, open_until: f64::NEG_INFINITY, probing: false }
    }

    /// Says whether a request may be sent now.
    pub(crate) fn allows(&self, now: Millis) -> bool {
        if self.opened == 0 {
            return true;
        }
        now >= self.open_until && !self.probing
    }

    pub(crate) fn is_open(&self) -> bool {
        self.opened > 0
    }

    /// Says whether no request may be sent before a time.
    pub(crate) fn is_open_until(&self, time: Millis) -> bool {
        self.opened > 0 && self.open_until > time
    }

    /// Notes that a request was sent.
    pub(crate) fn sent(&mut self) {
        self.probing = self.is_open();
    }

    /// Notes that the endpoint answered.
    pub(crate) fn succeeded(&mut self) {
        *self = Self::new();
    }

    /// Notes that the endpoint failed; returns whether the breaker opened.
    pub(crate) fn failed(&mut self, now: Millis) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_TO_OPEN && !self.probing {
            return false;
        }
        self.open(now);
        true
    }

    /// Opens the breaker because the endpoint has gone silent.
    pub(crate) fn open(&mut self, now: Millis) {
        let doubled = FIRST_OPEN_MS * f64::from(1 << self.opened.min(10));
        self.open_until = now + doubled.min(MAX_OPEN_MS);
        self.opened += 1;
        self.probing = false;
    }

    /// Notes that the probing request ended without a word on the endpoint.
    pub(crate) fn probe_ended(&mut self) {
        self.probing = false;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_probe_passes_after_the_pause() {
        let mut breaker = Breaker::new();
        for _ in 0..3 {
            breaker.failed(0.0);
        }
        assert!(!breaker.allows(999.0));
        assert!(breaker.allows(1000.0));
        breaker.sent();
        assert!(!breaker.allows(1000.0));
        breaker.succeeded();
        assert!(breaker.allows(1000.0));
    }

    #[test]
    fn each_failed_probe_doubles_the_pause() {
        let mut breaker = Breaker::new();
        for _ in 0..3 {
            breaker.failed(0.0);
        }
        breaker.sent();
        breaker.failed(1000.0);
        assert!(!breaker.allows(2999.0));
        assert!(breaker.allows(3000.0));
    }
}
