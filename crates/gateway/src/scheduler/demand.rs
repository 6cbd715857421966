//! Measures the rate at which callers send requests to this instance.

/// The time over which the rate is averaged, in milliseconds.
const WINDOW_MS: f64 = 3_000.0;

/// An average rate in which the weight of a request decays with its age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// The decayed number of requests as of `updated_at_ms`.
    requests: f64,
    updated_at_ms: f64,
}

impl Demand {
    /// Counts a request that arrives now.
    pub(super) fn record(&mut self, now_ms: f64) {
        self.requests = self.decayed(now_ms) + 1.0;
        self.updated_at_ms = now_ms;
    }

    /// Returns the rate in requests per second.
    pub(super) fn per_s(&self, now_ms: f64) -> f64 {
        self.decayed(now_ms) / WINDOW_MS * 1_000.0
    }

    fn decayed(&self, now_ms: f64) -> f64 {
        self.requests * (-(now_ms - self.updated_at_ms).max(0.0) / WINDOW_MS).exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn demand_follows_the_rate_of_requests() {
        let mut demand = Demand::default();
        for request in 0..400 {
            demand.record(f64::from(request) * 50.0);
        }
        assert!((demand.per_s(20_000.0) - 20.0).abs() < 1.0, "{}", demand.per_s(20_000.0));
        assert!(demand.per_s(40_000.0) < 0.1);
    }
}
