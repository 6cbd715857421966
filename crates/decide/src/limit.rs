//! The in-flight limit of an endpoint, learned from its time to first token.

use crate::event::Millis;

/// A first token this many times later than estimated speaks for a queue inside the endpoint.
const SLOW_RATIO: f64 = 2.5;
/// Lateness below this is noise.
const SLOW_MARGIN_MS: Millis = 150.0;
/// The limit falls at most once in this time.
const FALL_INTERVAL_MS: Millis = 500.0;
const FALL_FACTOR: f64 = 0.85;
const MIN_LIMIT: f64 = 1.0;

/// Additive increase and multiplicative decrease below the configured slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    current: f64,
    max: f64,
    fell_at: Millis,
}

impl Limit {
    pub(crate) fn new(slots: u32) -> Self {
        let max = f64::from(slots.max(1));
        Self { current: max, max, fell_at: f64::NEG_INFINITY }
    }

    /// Returns how many requests may be in flight.
    pub(crate) fn get(&self) -> u32 {
        self.current as u32
    }

    pub(crate) fn set_max(&mut self, slots: u32) {
        self.max = f64::from(slots.max(1));
        self.current = self.current.min(self.max);
    }

    /// Learns from a first token that was expected after `expected` and came after `seen`.
    pub(crate) fn observe(&mut self, now: Millis, expected: Millis, seen: Millis, in_flight: u32) {
        if seen > expected * SLOW_RATIO + SLOW_MARGIN_MS {
            self.fall(now);
        } else if f64::from(in_flight) + 1.0 >= self.current {
            self.current = (self.current + 1.0 / self.current.max(1.0)).min(self.max);
        }
    }

    /// Learns from an answer whose caller had nearly stopped waiting.
    pub(crate) fn was_tight(&mut self, now: Millis) {
        self.fall(now);
    }

    fn fall(&mut self, now: Millis) {
        if now - self.fell_at < FALL_INTERVAL_MS {
            return;
        }
        self.fell_at = now;
        self.current = (self.current * FALL_FACTOR).max(MIN_LIMIT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_limit_falls_on_late_first_tokens_and_rises_again() {
        let mut limit = Limit::new(10);
        for s in 0..20 {
            limit.observe(f64::from(s) * 1000.0, 100.0, 2000.0, 10);
        }
        assert_eq!(limit.get(), 1);
        for s in 0..200 {
            limit.observe(f64::from(s) * 1000.0, 100.0, 110.0, limit.get());
        }
        assert_eq!(limit.get(), 10);
    }
}
