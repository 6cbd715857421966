//! What endpoints say of themselves in the heads of their answers.
//!
//! See [what endpoints say of themselves](../../../docs/decisions.md#self-reports).

use rustc_hash::FxHashMap;

use crate::{Millis, ProcessId};

/// What an endpoint says of itself in the head of an answer; what it does not say is the default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// The requests that it runs or holds in its queue, from all senders.
    pub outstanding_requests: Option<u32>,
    /// The requests per second that it takes from all senders together, for as long as its answers
    /// say so; 0 or more.
    pub rate_limit_per_s: Option<f64>,
}

/// The rate limit of an endpoint, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RateLimit {
    per_s: f64,
    /// When the newest answer that names it arrived.
    observed_at: Millis,
}

/// What endpoints have said of themselves and what still holds.
#[derive(Debug, Default)]
pub struct SelfReports {
    rate_limits: FxHashMap<ProcessId, RateLimit>,
}

impl SelfReports {
    /// Records what an endpoint says in an answer that arrives at `now`, to a request that was
    /// sent at `sent_at`. Returns whether its rate limit changed.
    pub fn record(
        &mut self,
        endpoint: ProcessId,
        report: &SelfReport,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        let known = self.rate_limits.get(&endpoint).copied();
        match (report.rate_limit_per_s, known) {
            (Some(per_s), known) => {
                self.rate_limits.insert(endpoint, RateLimit { per_s, observed_at: now });
                known.is_none_or(|known| known.per_s != per_s)
            }
            // An answer without a limit can have been written before the limit began, unless its
            // request was sent after the limit was known.
            (None, Some(known)) if sent_at > known.observed_at => {
                self.rate_limits.remove(&endpoint);
                true
            }
            (None, _) => false,
        }
    }

    /// Returns the requests per second that the endpoint takes from all senders together, or
    /// `None` if it has no limit.
    pub fn rate_limit(&self, endpoint: ProcessId) -> Option<f64> {
        self.rate_limits.get(&endpoint).map(|limit| limit.per_s)
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: ProcessId) {
        self.rate_limits.remove(&endpoint);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ENDPOINT: ProcessId = ProcessId(1);

    fn limit(per_s: f64) -> SelfReport {
        SelfReport { rate_limit_per_s: Some(per_s), ..SelfReport::default() }
    }

    #[test]
    fn a_limit_ends_with_an_answer_to_a_later_request() {
        let mut reports = SelfReports::default();
        assert!(reports.record(ENDPOINT, &limit(4.0), 0.0, 100.0));
        assert!(!reports.record(ENDPOINT, &limit(4.0), 50.0, 200.0));
        // Its request was sent before the limit was known.
        assert!(!reports.record(ENDPOINT, &SelfReport::default(), 150.0, 210.0));
        assert_eq!(reports.rate_limit(ENDPOINT), Some(4.0));
        assert!(reports.record(ENDPOINT, &SelfReport::default(), 300.0, 400.0));
        assert_eq!(reports.rate_limit(ENDPOINT), None);
    }
}
