//! Bounds how many repeats a pool gets from the whole fleet.
//!
//! Each instance spends at most its part: the ratio of the requests that it took
//! itself, and an equal part of the allowance. The parts add up to no more than
//! the fleet's budget, without a message between instances.

use std::collections::VecDeque;

/// Parts of the window that are counted as one.
const STEPS: f64 = 20.0;
/// The part of the budget that is used; the rest covers requests on their way.
const USED_SHARE: f64 = 0.8;

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
    steps: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    since_ms: f64,
    requests: u32,
    repeats: u32,
}

impl RetryWindow {
    /// Counts a request that a caller sent.
    pub(crate) fn request(&mut self, budget: &RetryBudget, now_ms: f64) {
        self.step(budget, now_ms).requests += 1;
    }

    /// Counts a repeat and says true, or says false when this instance's part is spent.
    pub(crate) fn repeat(&mut self, budget: &RetryBudget, instances: u32, now_ms: f64) -> bool {
        self.step(budget, now_ms);
        let requests: u32 = self.steps.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.steps.iter().map(|s| s.repeats).sum();
        let allowance = budget.allowance / f64::from(instances.max(1));
        let most = USED_SHARE * (budget.ratio * f64::from(requests) + allowance);
        if f64::from(repeats + 1) > most {
            return false;
        }
        self.step(budget, now_ms).repeats += 1;
        true
    }

    fn step(&mut self, budget: &RetryBudget, now_ms: f64) -> &mut Step {
        let length = budget.window_ms / STEPS;
        // One step more than the window, so that no repeat leaves it early.
        let oldest = now_ms - budget.window_ms - length;
        while self.steps.front().is_some_and(|s| s.since_ms < oldest) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| now_ms - s.since_ms >= length) {
            self.steps.push_back(Step { since_ms: now_ms, requests: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("a step was pushed")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_window_holds_more_repeats_than_the_budget() {
        let budget = RetryBudget { ratio: 0.2, window_ms: 1_000.0, allowance: 8.0 };
        let mut window = RetryWindow::default();
        let mut repeats = Vec::new();
        for ms in 0..5_000 {
            let now = f64::from(ms);
            if ms % 10 == 0 {
                window.request(&budget, now);
            }
            if window.repeat(&budget, 4, now) {
                repeats.push(now);
            }
        }
        let most = 0.2 * 100.0 + 8.0 / 4.0;
        for (i, start) in repeats.iter().enumerate() {
            let inside = repeats[i..].iter().take_while(|t| **t < start + 1_000.0).count();
            assert!(inside as f64 <= most, "{inside} repeats from {start} on");
        }
        assert!(repeats.len() > 50, "{}", repeats.len());
    }
}
