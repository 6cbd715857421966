//! Limits the retries that the whole fleet sends to a pool.
//!
//! Each instance uses at most its share: `ratio` retries for each request that it accepted
//! itself, plus an equal part of the allowance. The shares add up to no more than the
//! fleet's budget, without communication between instances.

use std::collections::VecDeque;

/// The number of intervals into which the window is divided for counting.
const INTERVALS_PER_WINDOW: f64 = 20.0;
/// The fraction of the budget that is used; the rest covers requests in transit.
const BUDGET_SHARE_USED: f64 = 0.8;

/// The fleet's retry budget for one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// The number of retries allowed for each request; 0.1 by default.
    pub ratio: f64,
    /// The length of the sliding window in which the budget holds, in milliseconds; 10 s by
    /// default.
    pub window_ms: f64,
    /// The number of retries allowed in each window in addition to the ratio; 10 by default.
    pub allowance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { ratio: 0.1, window_ms: 10_000.0, allowance: 10.0 }
    }
}

/// The requests and retries of the last window at this instance.
#[derive(Debug, Default)]
pub(crate) struct RetryWindow {
    intervals: VecDeque<Interval>,
}

#[derive(Debug)]
struct Interval {
    start_ms: f64,
    requests: u32,
    retries: u32,
}

impl RetryWindow {
    /// Counts a caller's request.
    pub(crate) fn record_request(&mut self, budget: &RetryBudget, now_ms: f64) {
        self.current_interval(budget, now_ms).requests += 1;
    }

    /// Counts a retry and returns true, or returns false if this instance's share of the
    /// budget is used up. `instances` is the number of known instances.
    pub(crate) fn try_record_retry(
        &mut self,
        budget: &RetryBudget,
        instances: u32,
        now_ms: f64,
    ) -> bool {
        self.current_interval(budget, now_ms);
        let requests: u32 = self.intervals.iter().map(|i| i.requests).sum();
        let retries: u32 = self.intervals.iter().map(|i| i.retries).sum();
        let allowance = budget.allowance / f64::from(instances.max(1));
        let limit = BUDGET_SHARE_USED * (budget.ratio * f64::from(requests) + allowance);
        if f64::from(retries + 1) > limit {
            return false;
        }
        self.current_interval(budget, now_ms).retries += 1;
        true
    }

    fn current_interval(&mut self, budget: &RetryBudget, now_ms: f64) -> &mut Interval {
        let interval_ms = budget.window_ms / INTERVALS_PER_WINDOW;
        // One interval more than the window is kept, so that each retry counts for the whole
        // window.
        let oldest = now_ms - budget.window_ms - interval_ms;
        while self.intervals.front().is_some_and(|i| i.start_ms < oldest) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|i| now_ms - i.start_ms >= interval_ms) {
            self.intervals.push_back(Interval { start_ms: now_ms, requests: 0, retries: 0 });
        }
        self.intervals.back_mut().expect("an interval was pushed")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_window_holds_more_retries_than_the_budget() {
        let budget = RetryBudget { ratio: 0.2, window_ms: 1_000.0, allowance: 8.0 };
        let mut window = RetryWindow::default();
        let mut retries = Vec::new();
        for ms in 0..5_000 {
            let now = f64::from(ms);
            if ms % 10 == 0 {
                window.record_request(&budget, now);
            }
            if window.try_record_retry(&budget, 4, now) {
                retries.push(now);
            }
        }
        let limit = 0.2 * 100.0 + 8.0 / 4.0;
        for (i, start) in retries.iter().enumerate() {
            let inside = retries[i..].iter().take_while(|t| **t < start + 1_000.0).count();
            assert!(inside as f64 <= limit, "{inside} retries from {start} on");
        }
        assert!(retries.len() > 50, "{}", retries.len());
    }
}
