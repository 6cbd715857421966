//! Limits each organisation's use across the whole fleet.
//!
//! Each instance keeps one token bucket for each organisation. It charges its own
//! admitted requests immediately and those of other instances when their heartbeats
//! arrive. An instance that receives heartbeats from only part of the fleet uses only
//! that part of the rate and burst, so that all parts of a partitioned network together
//! stay within the limit. See [quotas](../../../docs/platform.md#quotas).

use crate::configuration::Quota;

/// The fraction of a request's units, or of the bucket's capacity if that is less, that
/// must be available to admit the request. The bucket goes into debt for the rest, so that
/// large requests are not starved.
const MIN_COVERED_SHARE: f64 = 0.5;
/// The longest retry delay returned for a refused request, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// A token bucket for one organisation; a negative level is debt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaBucket {
    quota: Quota,
    level: f64,
    live_share: f64,
    refilled_at_ms: f64,
    /// The units that this instance has admitted since it started, reported in heartbeats.
    admitted_total: f64,
    /// When `admitted_total` last changed.
    admitted_changed_at_ms: f64,
    /// The units that other instances admitted recently.
    remote_use: DecayingSum,
}

/// A sum that decays exponentially with the time constant [`REMOTE_USE_WINDOW_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    amount: f64,
    updated_at_ms: f64,
}

impl DecayingSum {
    fn get(&self, now_ms: f64) -> f64 {
        let elapsed = (now_ms - self.updated_at_ms).max(0.0);
        self.amount * (-elapsed / REMOTE_USE_WINDOW_MS).exp()
    }

    fn add(&mut self, amount: f64, now_ms: f64) {
        self.amount = (self.get(now_ms) + amount).max(0.0);
        self.updated_at_ms = now_ms;
    }
}

/// The time constant over which the use at other instances is averaged, in milliseconds.
/// In a fleet of a hundred instances in several zones, heartbeats from nearly all of them
/// arrive within this time.
const REMOTE_USE_WINDOW_MS: f64 = 1_000.0;

impl QuotaBucket {
    /// Creates an empty bucket, because use before the start of this process is unknown.
    pub(crate) fn new(quota: Quota, now_ms: f64) -> Self {
        Self {
            quota,
            level: 0.0,
            live_share: 1.0,
            refilled_at_ms: now_ms,
            admitted_total: 0.0,
            admitted_changed_at_ms: f64::NEG_INFINITY,
            remote_use: DecayingSum::default(),
        }
    }

    /// Replaces the quota and lowers the level to the new capacity if it is higher.
    pub(crate) fn set_quota(&mut self, quota: Quota, now_ms: f64) {
        self.refill(now_ms);
        self.quota = quota;
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

    /// Admits a request and charges its units, or returns the delay before a retry in
    /// milliseconds.
    ///
    /// Reports from other instances are `age_ms` old on average; their use since then is
    /// estimated from their recent rate.
    pub(crate) fn admit(&mut self, units: f64, now_ms: f64, age_ms: f64) -> Result<(), f64> {
        self.refill(now_ms);
        let unreported = self.remote_use.get(now_ms) / REMOTE_USE_WINDOW_MS * age_ms;
        let needed = MIN_COVERED_SHARE * units.min(self.capacity()) + unreported;
        if self.level < needed {
            let wait = (needed - self.level) / self.units_per_ms().max(f64::MIN_POSITIVE);
            return Err(wait.min(MAX_RETRY_AFTER_MS));
        }
        self.level -= units;
        self.admitted_total += units;
        self.admitted_changed_at_ms = now_ms;
        Ok(())
    }

    /// Refunds the units of a request that was admitted but not sent to any endpoint.
    pub(crate) fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.capacity());
        self.admitted_total -= units;
        // The time of the latest refill stands in for the current time.
        self.admitted_changed_at_ms = self.refilled_at_ms;
    }

    /// Charges units that another instance admitted; a negative amount is a refund there.
    pub(crate) fn charge_remote_use(&mut self, units: f64, now_ms: f64) {
        self.refill(now_ms);
        self.level = (self.level - units).min(self.capacity());
        self.remote_use.add(units, now_ms);
    }

    /// Returns the units that this instance has admitted since it started.
    pub(crate) fn admitted_total(&self) -> f64 {
        self.admitted_total
    }

    /// Returns whether the admitted total changed in the last `within_ms` milliseconds.
    pub(crate) fn has_changed_within(&self, within_ms: f64, now_ms: f64) -> bool {
        now_ms - self.admitted_changed_at_ms < within_ms
    }

    fn refill(&mut self, now_ms: f64) {
        let elapsed = (now_ms - self.refilled_at_ms).max(0.0);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        self.level = (self.level + elapsed * self.units_per_ms()).min(self.capacity());
    }

    fn units_per_ms(&self) -> f64 {
        self.quota.per_s * self.live_share / 1_000.0
    }

    fn capacity(&self) -> f64 {
        self.quota.burst * self.live_share
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configuration::QuotaUnit;

    fn bucket() -> QuotaBucket {
        QuotaBucket::new(Quota { unit: QuotaUnit::Requests, per_s: 100.0, burst: 50.0 }, 0.0)
    }

    /// Sends one request each millisecond and returns the number that is admitted.
    fn count_admitted(bucket: &mut QuotaBucket, from_ms: u32, to_ms: u32) -> u32 {
        (from_ms..to_ms).map(|ms| u32::from(bucket.admit(1.0, f64::from(ms), 0.0).is_ok())).sum()
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
        let wait = bucket.admit(1.0, 0.0, 0.0).unwrap_err();
        assert!(wait > 0.0 && wait <= 10.0, "{wait}");
    }

    #[test]
    fn use_at_other_instances_is_charged() {
        let mut bucket = bucket();
        bucket.charge_remote_use(40.0, 1_000.0);
        assert_eq!(count_admitted(&mut bucket, 1_000, 1_005), 5);
        bucket.charge_remote_use(100.0, 1_005.0);
        assert!(bucket.admit(1.0, 1_006.0, 0.0).is_err());
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

    /// Simulates a large fleet whose instances receive each other's reports about every
    /// 600 ms, under a load of `demand` times the organisation's limit. Returns the maximum
    /// number of units admitted in any 8 s.
    fn admit_with_delayed_reports(demand: f64, units: f64, age_ms: f64) -> f64 {
        const INSTANCES: usize = 68;
        let unit = QuotaUnit::Tokens { default: 1 };
        let quota = Quota { unit, per_s: 400_000.0, burst: 400_000.0 };
        let mut buckets = vec![QuotaBucket::new(quota, 0.0); INSTANCES];
        let mut received_totals = vec![vec![0.0; INSTANCES]; INSTANCES];
        let per_step = demand * quota.per_s / 1_000.0 / units;
        let (mut due, mut admission_times) = (0.0, Vec::new());
        for ms in 0..11_000_u32 {
            let now = 2_000.0 + f64::from(ms);
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                // Spreads the requests unevenly over the instances, the same way in each run.
                let at = (ms as usize * 7_919 + admission_times.len() * 104_729) % INSTANCES;
                if buckets[at].admit(units, now, age_ms).is_ok() {
                    admission_times.push(now);
                }
            }
            // Each instance receives the report of one other instance, in rotation.
            if ms % 9 == 0 {
                for i in 0..INSTANCES {
                    let from = (ms as usize / 9 + i) % INSTANCES;
                    let unreported_units =
                        buckets[from].admitted_total() - received_totals[i][from];
                    received_totals[i][from] += unreported_units;
                    if from != i {
                        buckets[i].charge_remote_use(unreported_units, now);
                    }
                }
            }
        }
        let in_window =
            |from: f64| admission_times.iter().filter(move |t| (from..from + 8_000.0).contains(*t));
        admission_times.iter().map(|t| in_window(*t).count()).max().unwrap_or(0) as f64 * units
    }

    #[test]
    fn delayed_reports_of_other_instances_do_not_exceed_the_limit() {
        let allowed = (400_000.0 * 8.0 + 400_000.0) * 1.1 + 140_000.0;
        for demand in [1.5, 6.0] {
            for units in [3_000.0, 20_000.0] {
                let admitted = admit_with_delayed_reports(demand, units, 306.0);
                assert!(admitted <= allowed, "{demand} {units}: {admitted} of {allowed}");
                assert!(
                    admitted >= 400_000.0 * 8.0 * 0.9,
                    "{demand} {units}: {admitted} is too little"
                );
            }
        }
    }

    #[test]
    fn an_organisation_below_its_limit_is_not_throttled() {
        for units in [3_000.0, 20_000.0] {
            let admitted = admit_with_delayed_reports(0.8, units, 306.0);
            assert!(admitted >= 0.8 * 400_000.0 * 8.0 * 0.98, "{units}: {admitted}");
        }
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
    fn units_of_an_unsent_request_are_refunded() {
        let mut bucket = bucket();
        bucket.admit(50.0, 1_000.0, 0.0).unwrap();
        assert!(bucket.admit(50.0, 1_001.0, 0.0).is_err());
        bucket.refund(50.0);
        assert!(bucket.admit(50.0, 1_002.0, 0.0).is_ok());
    }
}
