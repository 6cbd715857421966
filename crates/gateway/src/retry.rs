//! Bounds how many repeats a pool gets from the whole fleet.
//!
//! Each instance spends at most its part: the ratio of the requests that it took
//! itself, and an equal part of the allowance. The parts add up to no more than
//! the fleet's budget, without a message between instances.

use std::collections::VecDeque;

/// Parts of the window that are counted as one.
const INTERVALS_PER_WINDOW: f64 = 20.0;
/// The part of the budget that is used; the rest covers requests on their way.
const BUDGET_SHARE_USED: f64 = 0.8;

/// The fleet's budget for one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Any span of this length has to keep the budget, in milliseconds.
    pub window_ms: f64,
    /// Repeats allowed in each window beyond the ratio.
    pub allowance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { ratio: 0.1, window_ms: 10_000.0, allowance: 10.0 }
    }
}

/// Requests and repeats of the last window.
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
    /// Counts a request that a caller sent.
    pub(crate) fn record_request(&mut self, budget: &RetryBudget, now_ms: f64) {
        self.current_interval(budget, now_ms).requests += 1;
    }

    /// Counts a repeat and says true, or says false when this instance's part is spent.
    pub(crate) fn try_record_retry(
        &mut self,
        budget: &RetryBudget,
        instances: u32,
        now_ms: f64,
    ) -> bool {
        self.current_interval(budget, now_ms);
        let requests: u32 = self.intervals.iter().map(|s| s.requests).sum();
        let retries: u32 = self.intervals.iter().map(|s| s.retries).sum();
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
        // One step more than the window, so that no repeat leaves it early.
        let oldest = now_ms - budget.window_ms - interval_ms;
        while self.intervals.front().is_some_and(|s| s.start_ms < oldest) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|s| now_ms - s.start_ms >= interval_ms) {
            self.intervals.push_back(Interval { start_ms: now_ms, requests: 0, retries: 0 });
        }
        self.intervals.back_mut().expect("a step was pushed")
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
