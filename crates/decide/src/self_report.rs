//! What endpoints say of themselves in the heads of their answers.
//!
//! See [what endpoints say of themselves](../../../docs/decisions.md#self-reports).

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::{Millis, ProcessId};

/// What an endpoint says of itself in the head of an answer; what it does not say is the default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// The requests that it runs or holds in its queue, from all senders.
    pub outstanding_requests: Option<u32>,
    /// The requests per second that it takes from all senders together, for as long as its answers
    /// say so; 0 or more.
    pub rate_limit_per_s: Option<f64>,
    /// Whether it is leaving: it finishes its requests and accepts no new ones.
    pub is_leaving: bool,
    /// For how long it wants no request of this instance, in milliseconds.
    pub retry_after_ms: Option<Millis>,
    /// How long work takes now, in percent of the normal time; it changes many times a second.
    pub slowdown_percent: Option<u32>,
}

/// What a report changes for the requests that follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelfReportChanges {
    /// Whether the endpoint's rate limit began, changed or ended.
    pub rate_limit: bool,
    /// Whether the endpoint says for the first time that it is leaving.
    pub leaves: bool,
}

/// The time for which the end of a limit is reported, in milliseconds. Every instance of the
/// largest fleets gets a heartbeat in it.
const END_REPORTED_MS: Millis = 10_000.0;
/// The number of limits in one [`SelfReports::rate_limits`]; the others follow in rotation.
const MAX_REPORTED_LIMITS: usize = 24;

/// What an instance knows of the rate limit of an endpoint, for the other instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// The endpoint.
    pub endpoint: ProcessId,
    /// The requests per second that it takes from all senders; `None` after the end of the limit.
    pub per_s: Option<f32>,
    /// Increases with each change that an instance sees in an answer of the endpoint.
    pub generation: u32,
}

/// The rate limit of an endpoint, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RateLimit {
    /// The requests per second; `None` after the end of the limit.
    per_s: Option<f32>,
    generation: u32,
    /// When this instance changed it last.
    changed_at: Millis,
    /// When an answer or another instance named it last.
    named_at: Millis,
}

impl RateLimit {
    /// Returns whether a report is newer than what is known; of two that are equally new, the one
    /// with the lower limit is.
    fn is_older_than(&self, report: &RateLimitReport) -> bool {
        let limit = |per_s: Option<f32>| per_s.unwrap_or(f32::INFINITY);
        report.generation > self.generation
            || report.generation == self.generation && limit(report.per_s) < limit(self.per_s)
    }
}

/// What endpoints have said of themselves and what still holds.
///
/// An instance that sends an endpoint nothing learns from the others that its limit has begun or
/// ended. What they say is ordered by a generation, not by age: reports are passed on, and each
/// time their age would miss the time that the heartbeat took. No limit ends by age either, as the
/// instances that have a part of it go on asking.
#[derive(Debug, Default)]
pub struct SelfReports {
    /// The endpoints that discovery lists; of others nothing is kept.
    endpoints: FxHashSet<ProcessId>,
    rate_limits: FxHashMap<ProcessId, RateLimit>,
    leaving: FxHashSet<ProcessId>,
    /// Counts calls of [`SelfReports::rate_limits`], to select the limits whose turn it is.
    report_count: usize,
}

impl SelfReports {
    /// Adds an endpoint.
    pub fn join(&mut self, endpoint: ProcessId) {
        self.endpoints.insert(endpoint);
    }

    /// Records what an endpoint says in an answer that arrives at `now`, to a request that was
    /// sent at `sent_at`.
    pub fn record(
        &mut self,
        endpoint: ProcessId,
        report: &SelfReport,
        sent_at: Millis,
        now: Millis,
    ) -> SelfReportChanges {
        SelfReportChanges {
            rate_limit: self.record_rate_limit(endpoint, report, sent_at, now),
            leaves: report.is_leaving && self.leaving.insert(endpoint),
        }
    }

    /// Returns whether the rate limit changed.
    fn record_rate_limit(
        &mut self,
        endpoint: ProcessId,
        report: &SelfReport,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        let known = self.rate_limits.get(&endpoint).copied().unwrap_or_default();
        let per_s = report.rate_limit_per_s.map(|per_s| per_s as f32);
        // An answer without a limit can have been written before the limit began, unless its
        // request was sent after the limit was known.
        if per_s.is_none() && (known.per_s.is_none() || sent_at <= known.named_at) {
            return false;
        }
        let has_changed = per_s != known.per_s;
        let generation = known.generation.saturating_add(u32::from(has_changed));
        let changed_at = if has_changed { now } else { known.changed_at };
        let limit = RateLimit { per_s, generation, changed_at, named_at: now };
        self.rate_limits.insert(endpoint, limit);
        has_changed
    }

    /// Adds what another instance knows, and returns the endpoints whose limit changed.
    ///
    /// Limits of endpoints that are not listed here are left out; otherwise instances would
    /// tell each other of an endpoint that is gone for ever.
    pub fn merge(&mut self, reports: &[RateLimitReport], now: Millis) -> Vec<ProcessId> {
        let mut changed = Vec::new();
        for report in reports.iter().filter(|report| self.endpoints.contains(&report.endpoint)) {
            let known = self.rate_limits.entry(report.endpoint).or_default();
            if known.is_older_than(report) {
                if known.per_s != report.per_s {
                    changed.push(report.endpoint);
                }
                let RateLimitReport { per_s, generation, .. } = *report;
                *known = RateLimit { per_s, generation, changed_at: now, named_at: now };
            }
        }
        changed
    }

    /// Returns what is known of limits, for the other instances.
    pub fn rate_limits(&mut self, now: Millis) -> Vec<RateLimitReport> {
        let known = self.rate_limits.iter();
        let reported = known
            .filter(|(_, limit)| limit.per_s.is_some() || now - limit.changed_at < END_REPORTED_MS);
        let mut reports: Vec<RateLimitReport> = reported
            .map(|(endpoint, limit)| RateLimitReport {
                endpoint: *endpoint,
                per_s: limit.per_s,
                generation: limit.generation,
            })
            .collect();
        reports.sort_unstable_by_key(|report| report.endpoint);
        if reports.len() > MAX_REPORTED_LIMITS {
            let first = self.report_count * MAX_REPORTED_LIMITS % reports.len();
            reports.rotate_left(first);
            reports.truncate(MAX_REPORTED_LIMITS);
            self.report_count = self.report_count.wrapping_add(1);
        }
        reports
    }

    /// Returns the requests per second that the endpoint takes from all senders together, or
    /// `None` if it has no limit.
    pub fn rate_limit(&self, endpoint: ProcessId) -> Option<f64> {
        self.rate_limits.get(&endpoint)?.per_s.map(f64::from)
    }

    /// Returns whether the endpoint has said that it is leaving.
    pub fn is_leaving(&self, endpoint: ProcessId) -> bool {
        self.leaving.contains(&endpoint)
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: ProcessId) {
        self.endpoints.remove(&endpoint);
        self.rate_limits.remove(&endpoint);
        self.leaving.remove(&endpoint);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ENDPOINT: ProcessId = ProcessId(1);

    fn limit(per_s: f64) -> SelfReport {
        SelfReport { rate_limit_per_s: Some(per_s), ..SelfReport::default() }
    }

    fn reports() -> SelfReports {
        let mut reports = SelfReports::default();
        reports.join(ENDPOINT);
        reports
    }

    #[test]
    fn a_limit_ends_with_an_answer_to_a_later_request() {
        let mut reports = SelfReports::default();
        assert!(reports.record(ENDPOINT, &limit(4.0), 0.0, 100.0).rate_limit);
        assert!(!reports.record(ENDPOINT, &limit(4.0), 50.0, 200.0).rate_limit);
        // Its request was sent before the limit was known.
        assert!(!reports.record(ENDPOINT, &SelfReport::default(), 150.0, 210.0).rate_limit);
        assert_eq!(reports.rate_limit(ENDPOINT), Some(4.0));
        assert!(reports.record(ENDPOINT, &SelfReport::default(), 300.0, 400.0).rate_limit);
        assert_eq!(reports.rate_limit(ENDPOINT), None);
    }

    #[test]
    fn instances_that_are_not_told_learn_of_a_limit_and_of_its_end() {
        let (mut told, mut other) = (reports(), reports());
        told.record(ENDPOINT, &limit(4.0), 0.0, 100.0);
        let named = told.rate_limits(150.0);
        assert_eq!(other.merge(&named, 1_000.0), [ENDPOINT]);
        assert_eq!(other.rate_limit(ENDPOINT), Some(4.0));
        told.record(ENDPOINT, &SelfReport::default(), 300.0, 400.0);
        // An earlier report that arrives late changes nothing.
        assert_eq!(told.merge(&named, 600.0), []);
        assert_eq!(told.rate_limit(ENDPOINT), None);
        assert_eq!(other.merge(&told.rate_limits(450.0), 1_300.0), [ENDPOINT]);
        assert_eq!(other.rate_limit(ENDPOINT), None);
    }

    #[test]
    fn the_lower_of_two_limits_that_are_equally_new_holds() {
        let (mut a, mut b) = (reports(), reports());
        a.record(ENDPOINT, &limit(4.0), 0.0, 100.0);
        b.record(ENDPOINT, &limit(3.0), 0.0, 100.0);
        assert_eq!(b.merge(&a.rate_limits(100.0), 100.0), []);
        assert_eq!(a.merge(&b.rate_limits(100.0), 100.0), [ENDPOINT]);
        assert_eq!((a.rate_limit(ENDPOINT), b.rate_limit(ENDPOINT)), (Some(3.0), Some(3.0)));
    }

    #[test]
    fn all_limits_are_reported_in_turn() {
        let mut reports = SelfReports::default();
        for endpoint in 0..100 {
            reports.record(ProcessId(endpoint), &limit(4.0), 0.0, 100.0);
        }
        let mut seen: Vec<ProcessId> = Vec::new();
        for _ in 0..5 {
            seen.extend(reports.rate_limits(200.0).iter().map(|report| report.endpoint));
        }
        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen.len(), 100);
    }

    #[test]
    fn an_endpoint_leaves_once_until_it_is_gone() {
        let mut reports = SelfReports::default();
        let leaving = SelfReport { is_leaving: true, ..SelfReport::default() };
        assert!(reports.record(ENDPOINT, &leaving, 0.0, 100.0).leaves);
        assert!(!reports.record(ENDPOINT, &leaving, 0.0, 100.0).leaves);
        // An answer that was written before comes later.
        assert!(!reports.record(ENDPOINT, &SelfReport::default(), 0.0, 200.0).leaves);
        assert!(reports.is_leaving(ENDPOINT));
        reports.forget(ENDPOINT);
        assert!(!reports.is_leaving(ENDPOINT));
    }

    #[test]
    fn a_limit_of_an_endpoint_that_is_gone_does_not_come_back() {
        let (mut a, mut b) = (reports(), reports());
        a.record(ENDPOINT, &limit(4.0), 0.0, 100.0);
        b.merge(&a.rate_limits(100.0), 100.0);
        a.forget(ENDPOINT);
        assert_eq!(a.merge(&b.rate_limits(200.0), 200.0), []);
        assert_eq!(a.rate_limits(200.0), []);
    }
}
