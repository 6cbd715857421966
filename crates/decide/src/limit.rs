//! Adapts the in-flight limit of an endpoint to its time to first token.
//!
//! The limit stays between one and the configured slots.

use crate::event::Millis;

/// A first token that takes this many times the estimate indicates a queue inside the endpoint.
const LATE_FIRST_TOKEN_RATIO: f64 = 2.5;
/// Added to the late threshold, since smaller delays are noise.
const LATE_FIRST_TOKEN_MARGIN_MS: Millis = 150.0;
/// The limit decreases at most once in this interval.
const MIN_DECREASE_INTERVAL_MS: Millis = 500.0;
const DECREASE_FACTOR: f64 = 0.85;
const MIN_LIMIT: f64 = 1.0;

/// An in-flight limit with additive increase and multiplicative decrease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightLimit {
    current: f64,
    max: f64,
    decreased_at: Millis,
}

impl InFlightLimit {
    pub(crate) fn new(slots: u32) -> Self {
        let max = f64::from(slots.max(1));
        Self { current: max, max, decreased_at: f64::NEG_INFINITY }
    }

    /// Returns how many requests may be in flight.
    pub(crate) fn get(&self) -> u32 {
        self.current as u32
    }

    pub(crate) fn set_max(&mut self, slots: u32) {
        self.max = f64::from(slots.max(1));
        self.current = self.current.min(self.max);
    }

    /// Decreases the limit after a late first token; otherwise increases it if it is in use.
    pub(crate) fn observe_first_token(
        &mut self,
        now: Millis,
        expected_ms: Millis,
        elapsed_ms: Millis,
        in_flight: u32,
    ) {
        if elapsed_ms > expected_ms * LATE_FIRST_TOKEN_RATIO + LATE_FIRST_TOKEN_MARGIN_MS {
            self.decrease(now);
        } else if f64::from(in_flight) + 1.0 >= self.current {
            self.current = (self.current + 1.0 / self.current.max(1.0)).min(self.max);
        }
    }

    /// Decreases the limit after an answer that used up most of the caller's time.
    pub(crate) fn observe_near_deadline(&mut self, now: Millis) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: Millis) {
        if now - self.decreased_at < MIN_DECREASE_INTERVAL_MS {
            return;
        }
        self.decreased_at = now;
        self.current = (self.current * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limit_decreases_on_late_first_tokens_and_recovers() {
        let mut limit = InFlightLimit::new(10);
        for s in 0..20 {
            limit.observe_first_token(f64::from(s) * 1000.0, 100.0, 2000.0, 10);
        }
        assert_eq!(limit.get(), 1);
        for s in 0..200 {
            limit.observe_first_token(f64::from(s) * 1000.0, 100.0, 110.0, limit.get());
        }
        assert_eq!(limit.get(), 10);
    }
}
