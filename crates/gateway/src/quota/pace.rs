//! Paces an organisation's use at the rate that its quota grants, for interactive configurations.
//!
//! Each instance models one token bucket of the whole fleet and admits a request with the
//! probability that makes the fleet admit what the bucket allows. It knows other zones only by the
//! rates that any of their instances reports. See [admission](../../../../docs/design/admission.md).

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::QuotaTolerance;
use crate::{configuration::Quota, peer::ZoneQuotaUse};

/// The time over which the demand is averaged, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 500.0;
/// The time over which the admitted units are averaged, in milliseconds; about the time in which
/// an instance of each other zone is heard. A longer one only delays what is known.
const ADMITTED_WINDOW_MS: f64 = 250.0;
/// The least time over which the first units of an activity are averaged, in milliseconds.
const MIN_RATE_AGE_MS: f64 = 200.0;
/// The time in which the difference between target and use of the window is made up, in
/// milliseconds; over twice the age at which use elsewhere is known, below which it would swing.
const CORRECTION_MS: f64 = 1_000.0;
/// The time in which the bucket's level is used or its debt is paid back, in milliseconds.
const LEVEL_MS: f64 = 1_500.0;
/// The time in which the level is forgotten, in milliseconds. It sums sampled rates of other zones;
/// without this, the levels of the instances would drift apart.
const LEVEL_DECAY_MS: f64 = 3_000.0;
/// The age at which use elsewhere is known, in milliseconds. While the level covers the demand of
/// this time, every request is admitted.
const LAG_MS: f64 = 400.0;
/// The part of the excess over the grant that the bucket's capacity takes up. The rest covers use
/// that becomes known late.
const CAPACITY_SHARE: f64 = 0.4;
/// The least capacity as a share of the units per window, for quotas without a tolerance.
const MIN_CAPACITY_SHARE: f64 = 0.08;
/// The most by which the rate rises to make up for use below the target, as a share.
const MAX_CORRECTION_SHARE: f64 = 0.5;
/// The share of the target from which on use counts as near to it.
const NEAR_TARGET_SHARE: f64 = 0.85;
/// The target for the use of the window, as a share of the excess over the grant.
const TARGET_EXCESS_SHARE: f64 = 0.2;
/// The time for which the use that leaves the window is told in advance, in milliseconds; about
/// the age at which the use that replaces it is known.
pub(crate) const EXPIRY_AHEAD_MS: f64 = 400.0;
/// The age at which reported rates no longer count, in milliseconds.
const MAX_REPORT_AGE_MS: f64 = 1_000.0;
/// The time for which the rate of a silent zone counts as its part, in milliseconds; longer than
/// the zone takes to notice the partition and to use only the part of its instances.
const SILENT_RATE_HOLD_MS: f64 = 4_000.0;
/// A report of less use than this share of an earlier one comes from an instance that started
/// lately; it is ignored for [`REPORT_HOLD_MS`].
const MIN_KNOWN_USE_SHARE: f64 = 0.8;
/// The time for which the report of an instance that knows more counts, in milliseconds.
const REPORT_HOLD_MS: f64 = 500.0;
/// The time after the start for which the demand is assumed to be spread evenly over the
/// instances, in milliseconds; after it, every zone's rates have arrived.
const START_MS: f64 = 1_500.0;
/// The time after a freeze for which late requests are admitted sparingly, in milliseconds.
const RESUME_MS: f64 = 300.0;
/// The demand that is admitted of the requests that arrived during a freeze, as a time.
const RESUME_DEMAND_MS: f64 = 100.0;

/// The mean time between attempts that a refused caller is told, in milliseconds.
const RETRY_SPACING_MS: f64 = 100.0;
/// The longest time until a refused caller is told to return, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 2_000.0;

/// The rates of an organisation's requests in a zone, in units for each millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct QuotaRates {
    /// All requests that the organisation sent.
    pub(crate) offered: f32,
    /// The requests that the instances of the zone admitted.
    pub(crate) admitted: f32,
    /// The use of the window that leaves it next, within [`EXPIRY_AHEAD_MS`].
    pub(crate) expiring: f32,
    /// The part of the window for which the sender has been running, 0 to 1.
    pub(crate) known_share: f32,
}

impl QuotaRates {
    /// Returns all numbers, to check them.
    pub(crate) fn numbers(&self) -> [f32; 4] {
        [self.offered, self.admitted, self.expiring, self.known_share]
    }
}

/// A rate in which the weight of units decays with their age.
#[derive(Clone, Copy, Debug)]
struct DecayedRate {
    window_ms: f64,
    units: f64,
    updated_at_ms: f64,
    active_since_ms: f64,
}

impl DecayedRate {
    fn new(window_ms: f64) -> Self {
        Self { window_ms, units: 0.0, updated_at_ms: 0.0, active_since_ms: 0.0 }
    }

    fn add(&mut self, units: f64, now_ms: f64) {
        let decayed = self.decayed(now_ms);
        if decayed < units.abs() * 1e-3 {
            self.active_since_ms = now_ms;
        }
        self.units = decayed + units;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }

    fn decayed(&self, now_ms: f64) -> f64 {
        self.units * (-(now_ms - self.updated_at_ms).max(0.0) / self.window_ms).exp()
    }

    /// Returns the rate in units for each millisecond.
    fn per_ms(&self, now_ms: f64) -> f64 {
        (self.decayed(now_ms) / self.window_ms).max(0.0)
    }

    /// Returns the rate with a smaller divisor at first, so that the demand of a new activity is
    /// not underestimated. Its mean is too high for rare requests.
    fn early_per_ms(&self, now_ms: f64) -> f64 {
        (self.decayed(now_ms) / self.early_window_ms(now_ms)).max(0.0)
    }

    /// Returns the divisor of [`Self::early_per_ms`].
    fn early_window_ms(&self, now_ms: f64) -> f64 {
        let age = (now_ms - self.active_since_ms).max(MIN_RATE_AGE_MS);
        self.window_ms * (1.0 - (-age / self.window_ms).exp())
    }
}

/// What an instance last reported of its zone.
#[derive(Clone, Copy, Debug)]
struct ZoneReport {
    zone: u32,
    units: f64,
    rates: QuotaRates,
    reported_at_ms: f64,
    /// The units of the last report that covers the whole window.
    complete_units: f64,
}

/// The instances that an instance hears, as shares of the known ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coverage {
    /// The zones without a heartbeat, with their shares of the instances.
    pub(crate) silent_zones: SmallVec<[(u32, f64); 8]>,
    /// The share of further instances that may be running but are not heard.
    pub(crate) silent_share: f64,
    /// The number of instances that may be running.
    pub(crate) known_instances: f64,
    /// The time since this process started, in milliseconds.
    pub(crate) age_ms: f64,
    /// The time since this process was last frozen and for how long it was, in milliseconds.
    pub(crate) resumed: Option<(f64, f64)>,
}

/// The use of the window in an instance's own zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneUse {
    /// The use of the window.
    pub(crate) units: f64,
    /// The part that leaves the window within [`EXPIRY_AHEAD_MS`].
    pub(crate) expiring: f64,
}

/// The decision for a request and its inputs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PaceAdmission {
    /// The probability with which the request is admitted, 0 to 1.
    pub(crate) share: f64,
    /// The demand of the fleet in units for each millisecond.
    pub(crate) demand_per_ms: f64,
    /// The use of the window in the whole fleet, as far as it is known.
    pub(crate) window_use: f64,
    /// What limits the share.
    pub(crate) cause: QuotaCause,
}

/// What limits the use of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaCause {
    /// The demand exceeds the rate at which admitted use may grow or be replaced.
    Demand,
    /// The request would exceed the units of the window.
    Window,
    /// The instance's bucket is empty; only in configurations that are not interactive.
    Bucket,
    /// This process was frozen and its knowledge of the use is out of date.
    Frozen,
    /// A part of the quota is set aside for instances that are not heard.
    SilentInstances,
}

impl QuotaCause {
    /// Returns the cause as it appears in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Demand => "demand",
            Self::Window => "window",
            Self::Bucket => "bucket",
            Self::Frozen => "frozen",
            Self::SilentInstances => "silent_instances",
        }
    }
}

/// The model of the fleet's bucket for one organisation.
#[derive(Clone, Debug)]
pub(crate) struct QuotaPace {
    grant: f64,
    units_per_window: f64,
    window_ms: f64,
    /// The nominal rate and burst, without tolerance.
    nominal_per_ms: f64,
    nominal_burst: f64,
    level: f64,
    /// The level of a bucket with the nominal rate and burst; never in debt.
    nominal_level: f64,
    updated_at_ms: f64,
    own_offered: DecayedRate,
    zone_offered: DecayedRate,
    zone_admitted: DecayedRate,
    /// Allocated when a zone reports; most of the thousands of organisations are never near a limit.
    zones: Vec<ZoneReport>,
    /// What another instance of this zone reported.
    own_zone: Option<ZoneReport>,
}

impl QuotaPace {
    /// Creates an empty bucket, because use before the start of this process is unknown.
    pub(crate) fn new(quota: Quota, tolerance: QuotaTolerance, now_ms: f64) -> Self {
        let mut pace = Self {
            grant: 0.0,
            units_per_window: 0.0,
            window_ms: tolerance.window_ms,
            nominal_per_ms: 0.0,
            nominal_burst: 0.0,
            level: 0.0,
            nominal_level: 0.0,
            updated_at_ms: now_ms,
            own_offered: DecayedRate::new(DEMAND_WINDOW_MS),
            zone_offered: DecayedRate::new(DEMAND_WINDOW_MS),
            zone_admitted: DecayedRate::new(ADMITTED_WINDOW_MS),
            zones: Vec::new(),
            own_zone: None,
        };
        pace.set_quota(quota, tolerance);
        pace
    }

    /// Replaces the quota. Returns the factor for the use before the change, which is less than 1
    /// if the limit was lowered: the use counts by the share of the limit that it was.
    pub(crate) fn set_quota(&mut self, quota: Quota, tolerance: QuotaTolerance) -> f64 {
        let before = self.units_per_window;
        self.window_ms = tolerance.window_ms;
        self.grant = tolerance.without_excess().units_per_window(&quota);
        self.units_per_window = tolerance.units_per_window(&quota);
        self.nominal_per_ms = quota.per_s / 1_000.0;
        self.nominal_burst = quota.burst;
        let factor = if before > 0.0 { (self.units_per_window / before).min(1.0) } else { 1.0 };
        self.level = (self.level * factor).min(self.capacity());
        self.nominal_level = self.nominal_level.min(self.nominal_burst);
        for zone in self.zones.iter_mut().chain(&mut self.own_zone) {
            zone.units *= factor;
            zone.complete_units *= factor;
        }
        factor
    }

    /// Records use in this instance's zone; negative numbers of units are refunds. `is_own` tells
    /// requests to this instance from those that another instance reported.
    pub(crate) fn add(&mut self, admitted: f64, offered: f64, is_own: bool, now_ms: f64) {
        if is_own && offered > 0.0 {
            self.own_offered.add(offered, now_ms);
        }
        self.zone_offered.add(offered, now_ms);
        self.zone_admitted.add(admitted, now_ms);
    }

    /// Takes units that were admitted in this zone out of the bucket.
    pub(crate) fn charge(&mut self, units: f64) {
        self.level = (self.level - units).clamp(-self.capacity(), self.capacity());
        self.nominal_level = (self.nominal_level - units).clamp(0.0, self.nominal_burst);
    }

    /// Discards the level after a freeze, during which the use elsewhere was not heard.
    pub(crate) fn resume(&mut self, now_ms: f64) {
        self.level = self.level.min(0.0);
        self.nominal_level = 0.0;
        self.updated_at_ms = now_ms;
    }

    /// Records what another instance reports of its zone.
    pub(crate) fn report(&mut self, report: &ZoneQuotaUse, zone: u32, is_own: bool, now_ms: f64) {
        let Some(rates) = report.rates else { return };
        let previous = match is_own {
            true => self.own_zone.as_ref(),
            false => self.zones.iter().find(|z| z.zone == zone),
        };
        // After a restart of the whole zone, its instances do not know the use before.
        let forgotten = previous.map_or(0.0, |z| z.complete_units);
        let unknown_share = 1.0 - f64::from(rates.known_share);
        let complete_units = if unknown_share > 0.0 { forgotten } else { report.units };
        let units = report.units + forgotten * unknown_share;
        let report = ZoneReport { zone, units, rates, reported_at_ms: now_ms, complete_units };
        let knows_more = |z: &ZoneReport| {
            report.units >= MIN_KNOWN_USE_SHARE * z.units
                || now_ms - z.reported_at_ms > REPORT_HOLD_MS
        };
        if is_own {
            if self.own_zone.as_ref().is_none_or(knows_more) {
                self.own_zone = Some(report);
            }
            return;
        }
        match self.zones.iter_mut().find(|z| z.zone == zone) {
            Some(z) if knows_more(z) => *z = report,
            Some(_) => {}
            None => self.zones.push(report),
        }
    }

    /// Returns whether another instance of this zone knows much more of the zone's use, as this
    /// one started lately.
    pub(crate) fn knows_less(&self, zone_units: f64, now_ms: f64) -> bool {
        self.own_zone.is_some_and(|z| {
            now_ms - z.reported_at_ms < MAX_REPORT_AGE_MS
                && zone_units < MIN_KNOWN_USE_SHARE * z.units
        })
    }

    /// Returns the rates in this instance's zone, for its heartbeats. `expiring_use` leaves the
    /// window within [`EXPIRY_AHEAD_MS`].
    pub(crate) fn zone_rates(&self, expiring_use: f64, age_ms: f64, now_ms: f64) -> QuotaRates {
        QuotaRates {
            known_share: (age_ms / self.window_ms).min(1.0) as f32,
            expiring: (expiring_use / EXPIRY_AHEAD_MS) as f32,
            offered: self.zone_offered.early_per_ms(now_ms) as f32,
            admitted: self.zone_admitted.per_ms(now_ms) as f32,
        }
    }

    /// Returns the rate that the fleet is granted, in units for each millisecond.
    pub(crate) fn granted_per_ms(&self) -> f64 {
        let most = self.units_per_window * (1.0 - MIN_CAPACITY_SHARE);
        self.grant.min(most) / self.window_ms
    }

    fn capacity(&self) -> f64 {
        let excess = self.units_per_window - self.granted_per_ms() * self.window_ms;
        let share = if self.grant < self.units_per_window { CAPACITY_SHARE } else { 1.0 };
        excess * share
    }

    /// Returns the units left in the bucket; negative if it is in debt.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether the nominal rate and burst cover the request; larger ones count as the
    /// burst.
    pub(crate) fn is_within_nominal(&self, units: f64) -> bool {
        self.nominal_level >= 0.5 * units.min(self.nominal_burst)
    }

    /// Returns the rate that is set aside for instances that are not heard, which may use it.
    fn set_aside_per_ms(&self, coverage: &Coverage, now_ms: f64) -> f64 {
        let granted = self.granted_per_ms();
        let of_zone = |(zone, share): &(u32, f64)| {
            let last = self.zones.iter().find(|z| z.zone == *zone);
            let held = last.filter(|z| now_ms - z.reported_at_ms < SILENT_RATE_HOLD_MS);
            let admitted = held.map_or(0.0, |z| f64::from(z.rates.admitted));
            admitted.max(granted * share)
        };
        let zones: f64 = coverage.silent_zones.iter().map(of_zone).sum();
        (zones + granted * coverage.silent_share).min(granted)
    }

    fn heard_zones<'a>(
        &'a self,
        coverage: &'a Coverage,
        now_ms: f64,
    ) -> impl Iterator<Item = &'a ZoneReport> {
        self.zones.iter().filter(move |z| {
            let is_silent = coverage.silent_zones.iter().any(|(zone, _)| *zone == z.zone);
            !is_silent && now_ms - z.reported_at_ms < MAX_REPORT_AGE_MS
        })
    }

    /// Fills the bucket and takes out what other zones admitted meanwhile.
    fn advance(&mut self, coverage: &Coverage, now_ms: f64) {
        let elapsed = (now_ms - self.updated_at_ms).max(0.0);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        let heard = self.heard_zones(coverage, now_ms).map(|z| f64::from(z.rates.admitted));
        let elsewhere = heard.sum::<f64>() + self.set_aside_per_ms(coverage, now_ms);
        let kept = (-elapsed / LEVEL_DECAY_MS).exp();
        let level = self.level * kept + elapsed * (self.granted_per_ms() - elsewhere);
        // The use before the start is not known, so that nothing is saved for a burst at first.
        let known_share = (coverage.age_ms / self.window_ms).min(1.0);
        self.level = level.clamp(-self.capacity(), self.capacity() * known_share);
        let nominal = self.nominal_level + elapsed * (self.nominal_per_ms - elsewhere);
        self.nominal_level = nominal.clamp(0.0, self.nominal_burst);
    }

    /// Returns the probability with which a request of `units` is admitted now. `zone_use` is the
    /// use in this instance's zone.
    pub(crate) fn admission(
        &mut self,
        units: f64,
        zone_use: ZoneUse,
        coverage: &Coverage,
        now_ms: f64,
    ) -> PaceAdmission {
        self.advance(coverage, now_ms);
        let reported = self.zones.iter().filter(|z| now_ms - z.reported_at_ms < self.window_ms);
        let zone_use = match self.own_zone.filter(|_| self.knows_less(zone_use.units, now_ms)) {
            Some(z) => {
                ZoneUse { units: z.units, expiring: f64::from(z.rates.expiring) * EXPIRY_AHEAD_MS }
            }
            None => zone_use,
        };
        let window_use = zone_use.units + reported.map(|z| z.units).sum::<f64>();
        let elsewhere: f64 =
            self.heard_zones(coverage, now_ms).map(|z| f64::from(z.rates.offered)).sum();
        let mut demand = self.zone_offered.early_per_ms(now_ms) + elsewhere;
        if coverage.age_ms < START_MS {
            // The request itself is left out: with it, the few requests that an instance gets at
            // first would each make the demand of the fleet seem as high as its own.
            let own = self.own_offered.early_per_ms(now_ms)
                - units / self.own_offered.early_window_ms(now_ms);
            demand = demand.max(own.max(0.0) * coverage.known_instances);
        }
        let decision =
            |share: f64, cause| PaceAdmission { share, demand_per_ms: demand, window_use, cause };
        let granted = self.granted_per_ms();
        let set_aside = self.set_aside_per_ms(coverage, now_ms);
        let nominal = granted * self.window_ms;
        let target = nominal + TARGET_EXCESS_SHARE * (self.units_per_window - nominal);
        let is_used = window_use > 0.0;
        if is_used && window_use + units + granted * LAG_MS > self.units_per_window {
            return decision(0.0, QuotaCause::Window);
        }
        // A single request is no sign of a high demand, however large it is.
        let other_demand = (demand - units / self.zone_offered.early_window_ms(now_ms)).max(0.0);
        let needed = units.min(self.capacity()) + other_demand * LAG_MS;
        if self.level >= needed && (!is_used || window_use + units <= target) {
            return decision(1.0, QuotaCause::Demand);
        }
        // Near the target, admitted requests replace the use that leaves the window. Far below it,
        // as after a restart or a pause, use may have been forgotten, and the bucket bounds bursts.
        let rate = match window_use > NEAR_TARGET_SHARE * target {
            true => {
                let expiring = self.heard_zones(coverage, now_ms).map(|z| z.rates.expiring);
                let expiring =
                    f64::from(expiring.sum::<f32>()) + zone_use.expiring / EXPIRY_AHEAD_MS;
                let correction = (target - window_use) / CORRECTION_MS;
                expiring + correction.min(MAX_CORRECTION_SHARE * granted)
            }
            false => granted + self.level / LEVEL_MS,
        };
        let rate = (rate - set_aside).max(0.0);
        let share = (rate / demand.max(f64::MIN_POSITIVE)).min(1.0);
        match coverage.resumed {
            Some((ago_ms, frozen_ms)) if ago_ms < RESUME_MS => {
                decision(share * (RESUME_DEMAND_MS / frozen_ms).min(1.0), QuotaCause::Frozen)
            }
            _ if set_aside > 0.0 => decision(share, QuotaCause::SilentInstances),
            _ => decision(share, QuotaCause::Demand),
        }
    }

    /// Returns when a refused request has a new chance, in milliseconds: when the debt is paid
    /// back, and later the more requests compete.
    pub(crate) fn retry_after_ms(&self, admission: &PaceAdmission) -> f64 {
        let debt_ms = (-self.level / self.granted_per_ms().max(f64::MIN_POSITIVE)).max(0.0);
        let attempts = 1.0 / admission.share.max(RETRY_SPACING_MS / MAX_RETRY_AFTER_MS);
        (debt_ms + attempts * RETRY_SPACING_MS).min(MAX_RETRY_AFTER_MS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configuration::QuotaUnit;

    const QUOTA: Quota =
        Quota { unit: QuotaUnit::Tokens { default: 1 }, per_s: 1_000.0, burst: 2_000.0 };
    const TOLERANCE: QuotaTolerance =
        QuotaTolerance { window_ms: 8_000.0, overshoot: 0.1, units: 4_000.0 };

    fn share(pace: &mut QuotaPace, units: f64, coverage: &Coverage, now_ms: f64) -> f64 {
        pace.add(0.0, units, true, now_ms);
        let own = ZoneUse { units: 0.0, expiring: 0.0 };
        pace.admission(units, own, coverage, now_ms).share
    }

    fn coverage() -> Coverage {
        Coverage { known_instances: 4.0, age_ms: 20_000.0, ..Coverage::default() }
    }

    /// Guards against a restart of the whole fleet after which all of the limit is used again.
    #[test]
    fn rate_and_capacity_stay_within_the_bound_across_a_restart() {
        let pace = QuotaPace::new(QUOTA, TOLERANCE, 0.0);
        let most = pace.capacity() + 8_000.0 * pace.granted_per_ms();
        assert!(most <= TOLERANCE.units_per_window(&QUOTA), "{most}");
        assert!(pace.granted_per_ms() * 8_000.0 >= 0.95 * 10_000.0);
        let strict = QuotaPace::new(QUOTA, TOLERANCE.without_excess(), 0.0);
        assert!(strict.capacity() > 0.0);
    }

    /// Guards against the first request of an organisation that is refused, as its rate is unknown.
    #[test]
    fn a_request_after_a_pause_is_admitted() {
        let mut pace = QuotaPace::new(QUOTA, TOLERANCE, 0.0);
        for (n, units) in [200.0, 1_000.0, 50_000.0].into_iter().enumerate() {
            let now = 20_000.0 * (n + 1) as f64;
            assert_eq!(share(&mut pace, units, &coverage(), now), 1.0, "{units}");
        }
    }

    /// Guards against a part of the fleet that uses more than its part of the limit.
    #[test]
    fn a_part_of_the_rate_is_set_aside_for_silent_zones() {
        let mut pace = QuotaPace::new(QUOTA, TOLERANCE, 0.0);
        let mut cut = coverage();
        cut.silent_zones.push((2, 0.75));
        let granted = pace.granted_per_ms();
        assert_eq!(pace.set_aside_per_ms(&cut, 20_000.0), 0.75 * granted);
        // What the zone admitted last counts if it is more, until it has noticed the partition.
        let rates = QuotaRates {
            admitted: granted as f32 * 0.875,
            known_share: 1.0,
            ..QuotaRates::default()
        };
        let report = ZoneQuotaUse { organisation: 1, units: 8_000.0, rates: Some(rates) };
        pace.report(&report, 2, false, 20_000.0);
        let aside = pace.set_aside_per_ms(&cut, 21_500.0) / granted;
        assert!((aside - 0.875).abs() < 1e-6, "{aside}");
        assert_eq!(pace.set_aside_per_ms(&cut, 25_000.0), 0.75 * granted);
    }

    /// Guards against the requests that arrived during a freeze, which others have replaced.
    #[test]
    fn late_requests_of_a_frozen_process_are_admitted_sparingly() {
        let shares = [None, Some((50.0, 4_000.0))].map(|resumed| {
            let mut pace = QuotaPace::new(QUOTA, TOLERANCE, 20_000.0);
            pace.resume(20_000.0);
            let frozen = Coverage { resumed, ..coverage() };
            (0..20).map(|_| share(&mut pace, 1_000.0, &frozen, 20_010.0)).last().unwrap()
        });
        assert!(shares[1] <= shares[0] / 40.0 + 1e-9, "{shares:?}");
    }

    /// Guards against an instance that started lately and reports less use than its zone has.
    #[test]
    fn an_instance_that_knows_less_of_its_zone_relies_on_the_others() {
        let mut pace = QuotaPace::new(QUOTA, TOLERANCE, 0.0);
        let rates = QuotaRates { known_share: 1.0, ..QuotaRates::default() };
        let report = ZoneQuotaUse { organisation: 1, units: 9_900.0, rates: Some(rates) };
        pace.report(&report, 1, true, 100.0);
        assert!(pace.knows_less(100.0, 200.0) && !pace.knows_less(9_000.0, 200.0));
        let own = ZoneUse { units: 100.0, expiring: 0.0 };
        assert_eq!(pace.admission(1.0, own, &coverage(), 200.0).window_use, 9_900.0);
    }
}
