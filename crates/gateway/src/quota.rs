//! Limits what an organisation uses over the whole fleet.
//!
//! Each instance keeps one token bucket for each organisation and takes out of
//! it what any instance admitted: its own use at once, the others' as their
//! heartbeats tell. An instance that hears only some of the others may use only
//! its part of the bucket, so that parts of a fleet that are cut off from each
//! other stay within the limit together. See
//! [quotas](../../../docs/platform.md#quotas).

use crate::configuration::Quota;

/// The part of a request's units, or of the most that the bucket holds, that must
/// be there to admit it; the rest is owed, so that large requests are not starved.
const ADMIT_SHARE: f64 = 0.5;
/// A refused caller is told to come back after this time at most, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// The use of one organisation, as this instance knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    quota: Quota,
    level: f64,
    share: f64,
    at_ms: f64,
    /// All that this instance ever admitted, for the heartbeats.
    admitted: f64,
    /// When that changed last.
    admitted_at_ms: f64,
    /// What others admitted lately; the window forgets it exponentially.
    elsewhere: Recent,
}

/// An amount that is forgotten exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    amount: f64,
    at_ms: f64,
}

impl Recent {
    fn get(&self, now_ms: f64) -> f64 {
        let elapsed = (now_ms - self.at_ms).max(0.0);
        self.amount * (-elapsed / USE_WINDOW_MS).exp()
    }

    fn add(&mut self, amount: f64, now_ms: f64) {
        self.amount = (self.get(now_ms) + amount).max(0.0);
        self.at_ms = now_ms;
    }
}

/// The window over which the others' use is averaged, in milliseconds: some rounds of
/// heartbeats in a fleet of a hundred instances.
const USE_WINDOW_MS: f64 = 1_000.0;

impl Bucket {
    /// Makes an empty bucket: what was used before this process began is not known.
    pub(crate) fn new(quota: Quota, now_ms: f64) -> Self {
        Self {
            quota,
            level: 0.0,
            share: 1.0,
            at_ms: now_ms,
            admitted: 0.0,
            admitted_at_ms: f64::NEG_INFINITY,
            elsewhere: Recent::default(),
        }
    }

    /// Puts another limit in force; what is above it is lost.
    pub(crate) fn set_quota(&mut self, quota: Quota, now_ms: f64) {
        self.refill(now_ms);
        self.quota = quota;
        self.level = self.level.min(self.capacity());
    }

    /// Sets the part of the fleet that this instance hears, over 0 to 1.
    pub(crate) fn set_share(&mut self, share: f64, now_ms: f64) {
        self.refill(now_ms);
        if share < self.share && self.level > 0.0 {
            self.level *= share / self.share;
        }
        self.share = share;
        self.level = self.level.min(self.capacity());
    }

    /// Admits a request of so many units, or says after how many milliseconds to come back.
    ///
    /// The others' use is known up to `age_ms` ago; since then they are taken to have
    /// gone on as before.
    pub(crate) fn admit(&mut self, units: f64, now_ms: f64, age_ms: f64) -> Result<(), f64> {
        self.refill(now_ms);
        let unheard = self.elsewhere.get(now_ms) / USE_WINDOW_MS * age_ms;
        let needed = ADMIT_SHARE * units.min(self.capacity()) + unheard;
        if self.level < needed {
            let wait = (needed - self.level) / self.units_per_ms().max(f64::MIN_POSITIVE);
            return Err(wait.min(MAX_RETRY_AFTER_MS));
        }
        self.level -= units;
        self.admitted += units;
        self.admitted_at_ms = now_ms;
        Ok(())
    }

    /// Gives back what was admitted and then not sent to any endpoint.
    pub(crate) fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.capacity());
        self.admitted -= units;
        self.admitted_at_ms = self.at_ms;
    }

    /// Takes out what another instance admitted.
    pub(crate) fn used_elsewhere(&mut self, units: f64, now_ms: f64) {
        self.refill(now_ms);
        self.level = (self.level - units).min(self.capacity());
        self.elsewhere.add(units, now_ms);
    }

    /// Returns all that this instance ever admitted.
    pub(crate) fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Says whether the total changed within a time.
    pub(crate) fn is_fresh(&self, within_ms: f64, now_ms: f64) -> bool {
        now_ms - self.admitted_at_ms < within_ms
    }

    fn refill(&mut self, now_ms: f64) {
        let elapsed = (now_ms - self.at_ms).max(0.0);
        self.at_ms = self.at_ms.max(now_ms);
        self.level = (self.level + elapsed * self.units_per_ms()).min(self.capacity());
    }

    fn units_per_ms(&self) -> f64 {
        self.quota.per_s * self.share / 1_000.0
    }

    fn capacity(&self) -> f64 {
        self.quota.burst * self.share
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configuration::QuotaUnit;

    fn bucket() -> Bucket {
        Bucket::new(Quota { unit: QuotaUnit::Requests, per_s: 100.0, burst: 50.0 }, 0.0)
    }

    /// Sends one request each millisecond and counts those that are admitted.
    fn admitted(bucket: &mut Bucket, from_ms: u32, to_ms: u32) -> u32 {
        (from_ms..to_ms).map(|ms| u32::from(bucket.admit(1.0, f64::from(ms), 0.0).is_ok())).sum()
    }

    #[test]
    fn use_stays_within_rate_and_burst() {
        let mut bucket = bucket();
        let total = admitted(&mut bucket, 1_000, 11_000);
        assert!((1_000..=1_051).contains(&total), "{total}");
    }

    #[test]
    fn a_process_that_begins_has_nothing_saved() {
        let mut bucket = bucket();
        let wait = bucket.admit(1.0, 0.0, 0.0).unwrap_err();
        assert!(wait > 0.0 && wait <= 10.0, "{wait}");
    }

    #[test]
    fn use_elsewhere_counts() {
        let mut bucket = bucket();
        bucket.used_elsewhere(40.0, 1_000.0);
        assert_eq!(admitted(&mut bucket, 1_000, 1_005), 5);
        bucket.used_elsewhere(100.0, 1_005.0);
        assert!(bucket.admit(1.0, 1_006.0, 0.0).is_err());
    }

    #[test]
    fn halves_of_a_cut_fleet_stay_within_the_limit_together() {
        let mut halves = [bucket(), bucket()];
        let mut total = 0;
        for half in &mut halves {
            half.set_share(0.5, 1_000.0);
            total += admitted(half, 1_000, 11_000);
        }
        assert!(total <= 1_052, "{total}");
    }

    /// Lets instances of a large fleet, which hear each other every 600 ms, take requests
    /// of an organisation that sends `demand` times its limit; returns the most that was
    /// admitted in 8 s.
    fn spend_with_late_news(demand: f64, units: f64, age_ms: f64) -> f64 {
        const INSTANCES: usize = 68;
        let unit = QuotaUnit::Tokens { default: 1 };
        let quota = Quota { unit, per_s: 400_000.0, burst: 400_000.0 };
        let mut buckets = vec![Bucket::new(quota, 0.0); INSTANCES];
        let mut heard = vec![vec![0.0; INSTANCES]; INSTANCES];
        let per_step = demand * quota.per_s / 1_000.0 / units;
        let (mut due, mut taken) = (0.0, Vec::new());
        for ms in 0..11_000_u32 {
            let now = 2_000.0 + f64::from(ms);
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                // Uneven and without order, but the same in each run.
                let at = (ms as usize * 7_919 + taken.len() * 104_729) % INSTANCES;
                if buckets[at].admit(units, now, age_ms).is_ok() {
                    taken.push(now);
                }
            }
            // Each instance hears one of the others at a time, in turn.
            if ms % 9 == 0 {
                for i in 0..INSTANCES {
                    let from = (ms as usize / 9 + i) % INSTANCES;
                    let news = buckets[from].admitted() - heard[i][from];
                    heard[i][from] += news;
                    if from != i {
                        buckets[i].used_elsewhere(news, now);
                    }
                }
            }
        }
        let in_window =
            |from: f64| taken.iter().filter(move |t| (from..from + 8_000.0).contains(*t));
        taken.iter().map(|t| in_window(*t).count()).max().unwrap_or(0) as f64 * units
    }

    #[test]
    fn late_news_of_others_do_not_overspend_the_limit() {
        let allowed = (400_000.0 * 8.0 + 400_000.0) * 1.1 + 140_000.0;
        for demand in [1.5, 6.0] {
            for units in [3_000.0, 20_000.0] {
                let spent = spend_with_late_news(demand, units, 306.0);
                assert!(spent <= allowed, "{demand} {units}: {spent} of {allowed}");
                assert!(spent >= 400_000.0 * 8.0 * 0.9, "{demand} {units}: {spent} is too little");
            }
        }
    }

    #[test]
    fn an_organisation_below_its_limit_is_not_held_up() {
        for units in [3_000.0, 20_000.0] {
            let spent = spend_with_late_news(0.8, units, 306.0);
            assert!(spent >= 0.8 * 400_000.0 * 8.0 * 0.98, "{units}: {spent}");
        }
    }

    #[test]
    fn a_fleet_that_begins_anew_stays_within_the_limit() {
        // None has heard of another yet, for a second.
        let mut total = 0;
        for _ in 0..68 {
            let mut bucket = bucket();
            bucket.set_share(crate::peer::ASSUMED_FLEET_SHARE, 0.0);
            total += admitted(&mut bucket, 0, 1_000);
        }
        assert!(total <= 50 + 100 + 68, "{total}");
    }

    #[test]
    fn what_was_not_sent_is_given_back() {
        let mut bucket = bucket();
        bucket.admit(50.0, 1_000.0, 0.0).unwrap();
        assert!(bucket.admit(50.0, 1_001.0, 0.0).is_err());
        bucket.give_back(50.0);
        assert!(bucket.admit(50.0, 1_002.0, 0.0).is_ok());
    }
}
