//! Limits each organisation's use across the whole fleet.
//!
//! Each instance keeps one token bucket for each organisation. It charges its own
//! admitted requests immediately and those of other instances when their heartbeats
//! arrive. An instance that receives heartbeats from only part of the fleet uses only
//! that part of the rate and burst, so that all parts of a partitioned network together
//! stay within the limit. See [quotas](../../../docs/platform.md#quotas).
//!
//! `window` sums the use of the last window, as a second limit for fleets in which reports
//! are slow. In interactive configurations, `pace` decides instead of both.

mod pace;
mod window;

pub(crate) use self::{
    pace::{Coverage, EXPIRY_AHEAD_MS, QuotaCause, QuotaPace, QuotaRates, ZoneUse},
    window::{QuotaWindow, WindowLimit},
};
use serde::{Deserialize, Serialize};

use crate::configuration::Quota;

/// How far an organisation's use may exceed its quota in a window.
///
/// The whole fleet may admit `(per_s * window + burst) * (1 + overshoot) + units` in any
/// window. A request that this formula allows is not refused for the quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The length of the sliding window in which use is counted, in milliseconds; 8 s by default.
    pub window_ms: f64,
    /// The allowed excess as a share of rate and burst; 0 by default.
    pub overshoot: f64,
    /// The allowed excess in units; 0 by default.
    pub units: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self { window_ms: 8_000.0, overshoot: 0.0, units: 0.0 }
    }
}

impl QuotaTolerance {
    /// Returns the tolerance with the same window that allows no excess.
    pub(crate) fn without_excess(self) -> Self {
        Self { overshoot: 0.0, units: 0.0, ..self }
    }

    /// Returns the number of units that the fleet may admit in any window.
    pub(crate) fn units_per_window(&self, quota: &Quota) -> f64 {
        let nominal = quota.per_s * self.window_ms / 1_000.0 + quota.burst;
        nominal * (1.0 + self.overshoot) + self.units
    }
}

/// The capacity of a bucket as a share of the units per window; the rest of the window's units
/// is the rate. A larger share admits longer bursts at the cost of sustained use.
const CAPACITY_SHARE: f64 = 0.15;
/// The fraction of a request's units, or of the bucket's capacity if that is less, that
/// must be available to admit the request. The bucket goes into debt for the rest, so that
/// large requests are not starved.
const MIN_COVERED_SHARE: f64 = 0.5;
/// The longest retry delay returned for a refused request, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// How long after a change an organisation's totals are sent to other instances, in
/// milliseconds. In the largest fleets, every peer receives a heartbeat in this time.
const ACTIVITY_MS: f64 = 5_000.0;

/// The quota units of an organisation since the start of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct QuotaTotals {
    /// The hash of the organisation's name.
    pub(crate) organisation: u32,
    /// The units of the requests that the instance admitted.
    pub(crate) admitted: f64,
    /// The same before the organisation's present activity, which follows a pause in which the
    /// totals were not sent.
    pub(crate) admitted_before: f64,
    /// The units of all requests that the organisation sent to the instance.
    pub(crate) offered: f64,
    /// The same before the organisation's present activity.
    pub(crate) offered_before: f64,
}

/// A token bucket for one organisation; a negative level is debt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaBucket {
    quota: Quota,
    tolerance: QuotaTolerance,
    level: f64,
    live_share: f64,
    refilled_at_ms: f64,
    /// The units that this instance has admitted since it started, reported in heartbeats.
    admitted_total: f64,
    /// The units of the requests that this instance was asked to admit since it started.
    offered_total: f64,
    /// The totals when the organisation began to send requests after a pause.
    before_activity: (f64, f64),
    /// When a total last changed.
    totals_changed_at_ms: f64,
}

impl QuotaBucket {
    /// Creates an empty bucket, because use before the start of this process is unknown.
    pub(crate) fn new(quota: Quota, tolerance: QuotaTolerance, now_ms: f64) -> Self {
        Self {
            quota,
            tolerance,
            level: 0.0,
            live_share: 1.0,
            refilled_at_ms: now_ms,
            admitted_total: 0.0,
            offered_total: 0.0,
            before_activity: (0.0, 0.0),
            totals_changed_at_ms: f64::NEG_INFINITY,
        }
    }

    /// Replaces the quota and lowers the level to the new capacity if it is higher.
    pub(crate) fn set_quota(&mut self, quota: Quota, tolerance: QuotaTolerance, now_ms: f64) {
        self.refill(now_ms);
        self.quota = quota;
        self.tolerance = tolerance;
        self.level = self.level.min(self.capacity());
    }

    /// Sets the fraction of the known instances that are live, this one included; greater
    /// than 0 and at most 1.
    pub(crate) fn set_live_share(&mut self, share: f64, now_ms: f64) {
        self.refill(now_ms);
        if share < self.live_share && self.level > 0.0 {
            self.level *= share / self.live_share;
        }
        self.live_share = share;
        self.level = self.level.min(self.capacity());
    }

    /// Records a request that the organisation sent, admitted or not.
    pub(crate) fn record_offer(&mut self, units: f64, now_ms: f64) {
        if !self.is_active(now_ms) {
            self.before_activity = (self.admitted_total, self.offered_total);
        }
        self.offered_total += units;
        self.totals_changed_at_ms = now_ms;
    }

    /// Admits a request and charges its units, or returns the delay before a retry in
    /// milliseconds.
    pub(crate) fn admit(&mut self, units: f64, now_ms: f64) -> Result<(), f64> {
        self.refill(now_ms);
        let needed = MIN_COVERED_SHARE * units.min(self.capacity());
        if self.level < needed {
            let wait = (needed - self.level) / self.units_per_ms().max(f64::MIN_POSITIVE);
            return Err(wait.min(MAX_RETRY_AFTER_MS));
        }
        self.level -= units;
        self.admitted_total += units;
        self.totals_changed_at_ms = now_ms;
        Ok(())
    }

    /// Charges a request that [`QuotaPace`] admitted, which this bucket does not limit.
    pub(crate) fn record_admitted(&mut self, units: f64, now_ms: f64) {
        self.admitted_total += units;
        self.totals_changed_at_ms = now_ms;
    }

    /// Refunds the units of a request that was admitted but not sent to any endpoint.
    pub(crate) fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.capacity());
        self.admitted_total -= units;
        // The time of the latest refill stands in for the current time.
        self.totals_changed_at_ms = self.refilled_at_ms;
    }

    /// Charges units that another instance admitted; a negative amount is a refund there.
    pub(crate) fn charge_remote_use(&mut self, units: f64, now_ms: f64) {
        self.refill(now_ms);
        self.level = (self.level - units).min(self.capacity());
    }

    /// Limits the debt to none, for a bucket that does not count what the tolerance admits.
    pub(crate) fn forgive_debt(&mut self) {
        self.level = self.level.max(0.0);
    }

    /// Returns this instance's totals, to be sent to other instances.
    pub(crate) fn totals(&self, organisation: u32) -> QuotaTotals {
        let (admitted_before, offered_before) = self.before_activity;
        QuotaTotals {
            organisation,
            admitted: self.admitted_total,
            admitted_before,
            offered: self.offered_total,
            offered_before,
        }
    }

    /// Returns whether the totals changed lately, so that other instances may not have them.
    pub(crate) fn is_active(&self, now_ms: f64) -> bool {
        now_ms - self.totals_changed_at_ms < ACTIVITY_MS
    }

    /// Returns the units left in the bucket, for log lines.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    fn refill(&mut self, now_ms: f64) {
        let elapsed = (now_ms - self.refilled_at_ms).max(0.0);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        self.level = (self.level + elapsed * self.units_per_ms()).min(self.capacity());
    }

    fn units_per_ms(&self) -> f64 {
        self.fleet_units_per_ms() * self.live_share
    }

    fn capacity(&self) -> f64 {
        self.fleet_capacity() * self.live_share
    }

    /// Returns the rate of the whole fleet. With a capacity of the remaining units per window,
    /// no window exceeds its units, also if it spans a restart, after which the bucket is empty.
    fn fleet_units_per_ms(&self) -> f64 {
        let nominal = self.quota.per_s / 1_000.0;
        nominal.max(self.units_per_window() * (1.0 - CAPACITY_SHARE) / self.tolerance.window_ms)
    }

    fn fleet_capacity(&self) -> f64 {
        self.units_per_window() - self.fleet_units_per_ms() * self.tolerance.window_ms
    }

    fn units_per_window(&self) -> f64 {
        self.tolerance.units_per_window(&self.quota)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configuration::QuotaUnit;

    fn bucket() -> QuotaBucket {
        let quota = Quota { unit: QuotaUnit::Requests, per_s: 100.0, burst: 50.0 };
        QuotaBucket::new(quota, QuotaTolerance::default(), 0.0)
    }

    /// Sends one request each millisecond and returns the number that is admitted.
    fn count_admitted(bucket: &mut QuotaBucket, from_ms: u32, to_ms: u32) -> u32 {
        (from_ms..to_ms).map(|ms| u32::from(bucket.admit(1.0, f64::from(ms)).is_ok())).sum()
    }

    #[test]
    fn use_stays_within_rate_and_burst() {
        let mut bucket = bucket();
        let total = count_admitted(&mut bucket, 1_000, 11_000);
        assert!((1_000..=1_051).contains(&total), "{total}");
    }

    #[test]
    fn a_new_bucket_is_empty() {
        let mut bucket = bucket();
        let wait = bucket.admit(1.0, 0.0).unwrap_err();
        assert!(wait > 0.0 && wait <= 10.0, "{wait}");
    }

    #[test]
    fn use_at_other_instances_is_charged() {
        let mut bucket = bucket();
        bucket.charge_remote_use(40.0, 1_000.0);
        assert_eq!(count_admitted(&mut bucket, 1_000, 1_005), 5);
        bucket.charge_remote_use(100.0, 1_005.0);
        assert!(bucket.admit(1.0, 1_006.0).is_err());
    }

    #[test]
    fn partitions_of_a_fleet_stay_within_the_limit_together() {
        let mut partitions = [bucket(), bucket()];
        let mut total = 0;
        for partition in &mut partitions {
            partition.set_live_share(0.5, 1_000.0);
            total += count_admitted(partition, 1_000, 11_000);
        }
        assert!(total <= 1_052, "{total}");
    }

    #[test]
    fn a_restarted_fleet_stays_within_the_limit() {
        // For the first second, no instance has received a heartbeat from another. The limit is
        // the burst, the rate for one second and one unit for each instance.
        let mut total = 0;
        for _ in 0..68 {
            let mut bucket = bucket();
            bucket.set_live_share(crate::peer::ASSUMED_FLEET_SHARE, 0.0);
            total += count_admitted(&mut bucket, 0, 1_000);
        }
        assert!(total <= 50 + 100 + 68, "{total}");
    }

    #[test]
    fn no_window_exceeds_the_tolerance_across_a_restart() {
        let quota = Quota { unit: QuotaUnit::Requests, per_s: 100.0, burst: 50.0 };
        let tolerance = QuotaTolerance { window_ms: 8_000.0, overshoot: 0.1, units: 200.0 };
        for restart_at_ms in [500, 2_000, 5_000] {
            let mut bucket = QuotaBucket::new(quota, tolerance, -8_000.0);
            let before = count_admitted(&mut bucket, 0, restart_at_ms);
            let mut bucket = QuotaBucket::new(quota, tolerance, f64::from(restart_at_ms));
            let total = before + count_admitted(&mut bucket, restart_at_ms, 8_000);
            let allowed = tolerance.units_per_window(&quota);
            assert!(f64::from(total) <= allowed, "{restart_at_ms}: {total} of {allowed}");
            assert!(f64::from(total) >= 850.0, "{restart_at_ms}: {total} is too little");
        }
    }

    #[test]
    fn units_of_an_unsent_request_are_refunded() {
        let mut bucket = bucket();
        bucket.admit(50.0, 1_000.0).unwrap();
        assert!(bucket.admit(50.0, 1_001.0).is_err());
        bucket.refund(50.0);
        assert!(bucket.admit(50.0, 1_002.0).is_ok());
    }
}
