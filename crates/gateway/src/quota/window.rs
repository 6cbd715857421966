//! Sums an organisation's use over the last window.
//!
//! In a large fleet, an instance hears each instance of another availability zone only every
//! few seconds, so its token bucket lags behind the use there. Each heartbeat therefore also
//! tells the use that its sender knows of its own zone, and any instance of a zone can speak
//! for it. See [quotas](../../../../docs/platform.md#quotas).

//!
//! While much of the limit is left, every request is admitted. Near the limit, instances admit
//! at random only the part of the demand that brings the use slowly up to the limit. Otherwise
//! all of them would use the same units before they hear of each other.

use std::collections::VecDeque;

use smallvec::SmallVec;

/// The number of intervals into which the window is divided for counting.
const INTERVALS_PER_WINDOW: f64 = 64.0;
/// The number of intervals over which the demand is averaged.
const DEMAND_INTERVALS: f64 = 4.0;
/// The time for which the highest report of a zone counts, in milliseconds. Instances that
/// started lately know only a part of their zone's use.
const REPORT_HOLD_MS: f64 = 500.0;
/// The age at which a zone's report no longer counts, in milliseconds.
const MAX_REPORT_AGE_MS: f64 = 1_000.0;
/// The time in which the use may grow to the limit, as a multiple of the age at which instances
/// hear of each other's use. With less, the use would swing around the limit.
const APPROACH_LAGS: f64 = 4.0;
/// The least age at which instances hear of each other's use, in milliseconds.
const MIN_LAG_MS: f64 = 50.0;

/// An organisation's use in the last window, by this instance's zone and as other zones report it.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuotaWindow {
    intervals: VecDeque<Interval>,
    zones: SmallVec<[ZoneUse; 8]>,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    start_ms: f64,
    admitted: f64,
    offered: f64,
}

/// The use that instances of a zone report for the last window.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ZoneUse {
    /// The hash of the zone's name.
    zone: u32,
    units: f64,
    /// When an instance reported these units.
    units_reported_at_ms: f64,
    /// When an instance of the zone last reported any units.
    heard_at_ms: f64,
}

/// A decision of [`QuotaWindow::admission`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    /// The share of requests to admit now, 0 to 1.
    pub(crate) share: f64,
    /// The time after which a refused request has a new chance, in milliseconds.
    pub(crate) retry_after_ms: f64,
}

/// The inputs of a decision of [`QuotaWindow::admission`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowLimit {
    /// The length of the window in milliseconds.
    pub(crate) window_ms: f64,
    /// The number of units that the fleet may admit in any window, less what is assumed for zones
    /// without a report.
    pub(crate) units: f64,
    /// The hash of the name of this instance's zone.
    pub(crate) own_zone: u32,
    /// The zone's share of the known instances; greater than 0 and at most 1.
    pub(crate) own_zone_share: f64,
    /// The mean age of the heartbeats of other instances of this zone, in milliseconds.
    pub(crate) zone_age_ms: f64,
}

impl QuotaWindow {
    /// Adds use in this instance's zone; negative numbers of units are refunds.
    pub(crate) fn add(&mut self, admitted: f64, offered: f64, window_ms: f64, now_ms: f64) {
        self.expire(window_ms, now_ms);
        let interval_ms = window_ms / INTERVALS_PER_WINDOW;
        match self.intervals.back_mut() {
            Some(last) if now_ms - last.start_ms < interval_ms => {
                last.admitted += admitted;
                last.offered += offered;
            }
            _ => self.intervals.push_back(Interval { start_ms: now_ms, admitted, offered }),
        }
    }

    /// Returns the use in this instance's zone that leaves the window within `ahead_ms`.
    pub(crate) fn expiring_use(&self, window_ms: f64, ahead_ms: f64, now_ms: f64) -> f64 {
        let until = now_ms + ahead_ms - window_ms - window_ms / INTERVALS_PER_WINDOW;
        let expiring = self.intervals.iter().take_while(|i| i.start_ms < until);
        expiring.map(|i| i.admitted).sum::<f64>().max(0.0)
    }

    /// Multiplies the recorded use, after the limit was lowered by the same factor.
    pub(crate) fn scale_use(&mut self, factor: f64) {
        for interval in &mut self.intervals {
            interval.admitted *= factor;
        }
    }

    /// Records the use that an instance of another zone, or of this one, knows of its zone.
    pub(crate) fn report(&mut self, zone: u32, units: f64, now_ms: f64) {
        let reported = ZoneUse { zone, units, units_reported_at_ms: now_ms, heard_at_ms: now_ms };
        match self.zones.iter_mut().find(|z| z.zone == zone) {
            Some(z) if units >= z.units || now_ms - z.units_reported_at_ms > REPORT_HOLD_MS => {
                *z = reported;
            }
            Some(z) => z.heard_at_ms = now_ms,
            None => self.zones.push(reported),
        }
    }

    /// Removes the reports of zones that no longer send any.
    pub(crate) fn expire_reports(&mut self, now_ms: f64) {
        self.zones.retain(|z| now_ms - z.heard_at_ms < MAX_REPORT_AGE_MS);
    }

    /// Returns whether an instance of the zone reported its use lately.
    pub(crate) fn has_report(&self, zone: u32) -> bool {
        self.zones.iter().any(|z| z.zone == zone)
    }

    /// Returns the use of the last window in this instance's zone, as far as it is known.
    pub(crate) fn own_zone_use(&mut self, window_ms: f64, now_ms: f64) -> f64 {
        self.expire(window_ms, now_ms);
        self.intervals.iter().map(|i| i.admitted).sum::<f64>().max(0.0)
    }

    /// Returns the use of the last window in all zones, as far as it is known.
    pub(crate) fn fleet_use(&mut self, own_zone: u32, window_ms: f64, now_ms: f64) -> f64 {
        let reported =
            |is_own: bool| self.zones.iter().filter(move |z| (z.zone == own_zone) == is_own);
        let reported_own: f64 = reported(true).map(|z| z.units).sum();
        let others: f64 = reported(false).map(|z| z.units).sum();
        self.own_zone_use(window_ms, now_ms).max(reported_own) + others
    }

    /// Returns the share of requests of `units` to admit now.
    pub(crate) fn admission(&mut self, units: f64, limit: &WindowLimit, now_ms: f64) -> Admission {
        let WindowLimit { window_ms, own_zone, zone_age_ms, .. } = *limit;
        let own = self.own_zone_use(window_ms, now_ms);
        let fleet = self.fleet_use(own_zone, window_ms, now_ms);
        let others = self.zones.iter().filter(|z| z.zone != own_zone);
        let ages: SmallVec<[f64; 8]> = others.map(|z| now_ms - z.heard_at_ms).collect();
        // A zone's report is as old as the heartbeats that it was made from, and its own way here.
        let lag_ms = match ages.len() {
            0 => zone_age_ms,
            count => 2.0 * zone_age_ms + ages.iter().sum::<f64>() / count as f64,
        }
        .max(MIN_LAG_MS);
        // Use is a poor measure of a zone's part of the demand while the zone has used little, as
        // after a restart; then an even spread over the instances is assumed.
        let fleet_per_own = (fleet / own.max(f64::MIN_POSITIVE)).min(1.0 / limit.own_zone_share);
        let demand = self.peak_demand(window_ms) * fleet_per_own;
        let left = limit.units - fleet;
        if demand * lag_ms + units <= left || fleet == 0.0 {
            return Admission { share: 1.0, retry_after_ms: 0.0 };
        }
        let approach_ms = APPROACH_LAGS * lag_ms;
        let rate = (left - units).max(0.0) / approach_ms;
        let share = (rate / demand.max(f64::MIN_POSITIVE)).min(1.0);
        // On average, a request is admitted at its attempt number 1 / share.
        let retry_after_ms = (approach_ms / share.max(f64::MIN_POSITIVE)).min(window_ms / 4.0);
        Admission { share, retry_after_ms }
    }

    /// Returns the highest demand of the last window in this instance's zone, averaged over
    /// [`DEMAND_INTERVALS`], in units for each millisecond.
    fn peak_demand(&self, window_ms: f64) -> f64 {
        let span_ms = DEMAND_INTERVALS * window_ms / INTERVALS_PER_WINDOW;
        let demand_from = |i: usize| -> f64 {
            let from = self.intervals[i].start_ms;
            let span = self.intervals.range(i..).take_while(|x| x.start_ms - from < span_ms);
            span.map(|x| x.offered).sum()
        };
        (0..self.intervals.len()).map(demand_from).fold(0.0, f64::max) / span_ms
    }

    fn expire(&mut self, window_ms: f64, now_ms: f64) {
        let interval_ms = window_ms / INTERVALS_PER_WINDOW;
        // An interval is kept until its end leaves the window.
        let oldest = now_ms - window_ms - interval_ms;
        while self.intervals.front().is_some_and(|i| i.start_ms < oldest) {
            self.intervals.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn zone_that_has_used_little_does_not_overestimate_the_demand() {
        let mut window = QuotaWindow::default();
        let window_ms = 8_000.0;
        // This zone admitted one small request of many, and another zone reports much use.
        window.report(2, 30_000.0, 1_000.0);
        window.add(200.0, 200.0, window_ms, 1_000.0);
        for _ in 0..5 {
            window.add(0.0, 3_000.0, window_ms, 1_000.0);
        }
        let limit = WindowLimit {
            window_ms,
            units: 400_000.0,
            own_zone: 1,
            own_zone_share: 0.5,
            zone_age_ms: 100.0,
        };
        assert_eq!(window.admission(3_000.0, &limit, 1_000.0).share, 1.0);
    }
}
