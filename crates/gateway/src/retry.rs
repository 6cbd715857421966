//! Limits the retries that the whole fleet sends to a pool.
//!
//! Each instance uses at most its share: `ratio` retries for each request that it accepted
//! itself, plus an equal part of the allowance. The shares add up to no more than the
//! fleet's budget, without communication between instances.

use std::collections::VecDeque;

use baobabvane_decide::EndpointKey;
use rustc_hash::FxHashMap;

/// The number of intervals into which the window is divided for counting.
const INTERVALS_PER_WINDOW: f64 = 20.0;
/// The fraction of the budget that is used; the rest covers requests in transit.
const BUDGET_SHARE_USED: f64 = 0.8;

/// The same for a retry after a try that ran at no endpoint, in interactive configurations. As
/// requests are spread unevenly, some instances need more than their share while others need none.
const UNRUN_BUDGET_SHARE_USED: f64 = 0.95;
/// The number of failures at an endpoint, without an answer in between, after which it counts as
/// failing.
const MIN_FAILURES: u32 = 2;
/// The time after which a failure no longer counts, in milliseconds.
const MAX_FAILURE_AGE_MS: f64 = 2_000.0;

/// The endpoints of a pool that answer no requests at present.
///
/// While all of them fail, a retry has no chance and only takes from the budget; first attempts
/// find out when one recovers.
#[derive(Debug, Default)]
pub(crate) struct FailingEndpoints {
    /// The number of failures in a row and the time of the last one.
    failures: FxHashMap<EndpointKey, (u32, f64)>,
}

impl FailingEndpoints {
    /// Counts a failure of the endpoint.
    pub(crate) fn record_failure(&mut self, endpoint: EndpointKey, now_ms: f64) {
        self.failures.retain(|_, (_, at)| now_ms - *at < MAX_FAILURE_AGE_MS);
        let (count, at) = self.failures.entry(endpoint).or_insert((0, now_ms));
        *count += 1;
        *at = now_ms;
    }

    /// Records that the endpoint answered a request.
    pub(crate) fn record_answer(&mut self, endpoint: EndpointKey) {
        self.failures.remove(&endpoint);
    }

    /// Returns whether all the endpoints of the pool fail.
    pub(crate) fn are_all(
        &self,
        mut endpoints: impl Iterator<Item = EndpointKey>,
        now_ms: f64,
    ) -> bool {
        let is_failing =
            |(count, at): &(u32, f64)| *count >= MIN_FAILURES && now_ms - *at < MAX_FAILURE_AGE_MS;
        !self.failures.is_empty()
            && endpoints.all(|key| self.failures.get(&key).is_some_and(is_failing))
    }
}

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
        self.try_record(BUDGET_SHARE_USED, budget, instances, now_ms)
    }

    /// Does the same for a retry after tries that ran at no endpoint, which may use more of the
    /// share.
    pub(crate) fn try_record_unrun_retry(
        &mut self,
        budget: &RetryBudget,
        instances: u32,
        now_ms: f64,
    ) -> bool {
        self.try_record(UNRUN_BUDGET_SHARE_USED, budget, instances, now_ms)
    }

    fn try_record(
        &mut self,
        share_used: f64,
        budget: &RetryBudget,
        instances: u32,
        now_ms: f64,
    ) -> bool {
        self.current_interval(budget, now_ms);
        let requests: u32 = self.intervals.iter().map(|i| i.requests).sum();
        let retries: u32 = self.intervals.iter().map(|i| i.retries).sum();
        let allowance = budget.allowance / f64::from(instances.max(1));
        let limit = share_used * (budget.ratio * f64::from(requests) + allowance);
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

    /// Guards against retries that a failing pool cannot serve, and against a pool that is left
    /// alone after one of its endpoints has recovered.
    #[test]
    fn nothing_is_retried_while_all_endpoints_fail() {
        let mut arena: slotmap::SlotMap<EndpointKey, ()> = slotmap::SlotMap::with_key();
        let keys = [arena.insert(()), arena.insert(())];
        let all = || keys.into_iter();
        let mut failing = FailingEndpoints::default();
        assert!(!failing.are_all(all(), 0.0));
        for ms in [0.0, 10.0] {
            failing.record_failure(keys[0], ms);
        }
        assert!(!failing.are_all(all(), 10.0));
        for ms in [20.0, 30.0] {
            failing.record_failure(keys[1], ms);
        }
        assert!(failing.are_all(all(), 30.0));
        assert!(!failing.are_all(all(), 30.0 + MAX_FAILURE_AGE_MS));
        failing.record_answer(keys[0]);
        assert!(!failing.are_all(all(), 30.0));
    }

    /// Guards against a request that ran nowhere and is refused although the budget has room.
    #[test]
    fn a_try_that_ran_nowhere_may_use_the_rest_of_the_budget() {
        let budget = RetryBudget { ratio: 0.2, window_ms: 1_000.0, allowance: 0.0 };
        let mut window = RetryWindow::default();
        (0..100).for_each(|_| window.record_request(&budget, 0.0));
        let usual = (0..100).filter(|_| window.try_record_retry(&budget, 4, 1.0)).count();
        let unrun = (0..100).filter(|_| window.try_record_unrun_retry(&budget, 4, 1.0)).count();
        assert_eq!((usual, unrun), (16, 3));
    }
}
