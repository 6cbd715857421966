//! The load that availability zones report to each other, where the configuration is interactive.
//!
//! Heartbeats to other zones have no loads by instance. Instead, any instance of a zone tells what all
//! of its zone has in flight at the receiver's endpoints, and what all zones but the receiver's have in
//! flight at its own. Together with the full heartbeats of its own zone, the receiver knows the load
//! of each endpoint and counts nothing twice.

use baobabvane_decide::EndpointLoad;
use rustc_hash::FxHashMap;

use crate::peer::ZoneLoads;

/// The age from which on a reported load no longer counts, in milliseconds.
const MAX_AGE_MS: f64 = 1_000.0;
/// The age of this instance from which on it reports loads, in milliseconds; before, it may not
/// have heard all instances of its zone.
const MIN_UPTIME_MS: f64 = 1_000.0;
/// The number of endpoints of the own zone in one report; the others follow in rotation. In the
/// largest fleets, a zone of 86 endpoints is then told 2 times a second to each instance.
const MAX_OWN_ENDPOINTS: usize = 16;
/// The number of endpoints of the receiver's zone in one report.
const MAX_OTHER_ENDPOINTS: usize = 64;

/// The sum of loads for each endpoint, by the hash of its id.
pub(super) type LoadSums = FxHashMap<u32, EndpointLoad>;

/// What the other zones reported.
#[derive(Debug, Default)]
pub(super) struct ZoneLoadTable {
    zones: FxHashMap<u32, ZoneReport>,
    /// Counts the reports, to select the endpoints whose turn it is.
    report_count: usize,
}

#[derive(Debug, Default)]
struct ZoneReport {
    /// What the zone has in flight at endpoints of this instance's zone, all of it, and when this
    /// was reported.
    here: Vec<(u32, EndpointLoad)>,
    here_at: f64,
    /// What all zones but this instance's have in flight at the endpoints of the zone, each with the
    /// time of the report.
    there: FxHashMap<u32, (EndpointLoad, f64)>,
}

impl ZoneReport {
    fn here(&self, now: f64) -> &[(u32, EndpointLoad)] {
        if now - self.here_at < MAX_AGE_MS { &self.here } else { &[] }
    }
}

impl ZoneLoadTable {
    /// Stores what an instance of another zone reported.
    pub(super) fn record(&mut self, loads: ZoneLoads, now: f64) {
        let report = self.zones.entry(loads.zone).or_default();
        report.here = loads.theirs;
        report.here_at = now;
        report.there.retain(|_, (_, at)| now - *at < MAX_AGE_MS);
        report.there.extend(loads.ours.into_iter().map(|(endpoint, load)| (endpoint, (load, now))));
    }

    /// Removes what is too old, and returns whether there was any.
    pub(super) fn expire(&mut self, now: f64) -> bool {
        let mut has_expired = false;
        for report in self.zones.values_mut() {
            let before = report.here.len() + report.there.len();
            if now - report.here_at >= MAX_AGE_MS {
                report.here.clear();
            }
            report.there.retain(|_, (_, at)| now - *at < MAX_AGE_MS);
            has_expired |= report.here.len() + report.there.len() < before;
        }
        has_expired
    }

    /// Adds the load that other zones put on endpoints.
    pub(super) fn add_to(&self, sums: &mut LoadSums, now: f64) {
        for report in self.zones.values() {
            for (endpoint, load) in report.here(now) {
                add(sums, *endpoint, load);
            }
            for (endpoint, (load, at)) in &report.there {
                if now - at < MAX_AGE_MS {
                    add(sums, *endpoint, load);
                }
            }
        }
    }

    /// Returns the reports for instances of each of the `other_zones`. `endpoints` are the hashes of
    /// all endpoints with those of their zones, and `zone_sums` the load of this instance and its
    /// zone.
    pub(super) fn report(
        &mut self,
        zone: u32,
        other_zones: &[u32],
        endpoints: &[(u32, u32)],
        zone_sums: &LoadSums,
        now: f64,
    ) -> Vec<ZoneLoads> {
        if now < MIN_UPTIME_MS {
            return Vec::new();
        }
        let own: Vec<u32> = endpoints.iter().filter(|(_, z)| *z == zone).map(|(e, _)| *e).collect();
        let first = self.report_count * MAX_OWN_ENDPOINTS;
        self.report_count = (self.report_count + 1) % u16::MAX as usize;
        let count = own.len().min(MAX_OWN_ENDPOINTS);
        let turn: Vec<u32> = (0..count).map(|i| own[(first + i) % own.len()]).collect();
        let report_for = |receiver: u32| {
            let mut ours: LoadSums = LoadSums::default();
            for endpoint in &turn {
                add(&mut ours, *endpoint, &zone_sums.get(endpoint).copied().unwrap_or_default());
            }
            for (_, report) in self.zones.iter().filter(|(z, _)| **z != receiver) {
                for (endpoint, load) in report.here(now) {
                    if let Some(sum) = ours.get_mut(endpoint) {
                        *sum = plus(sum, load);
                    }
                }
            }
            let there = endpoints.iter().filter(|(_, z)| *z == receiver).map(|(e, _)| *e);
            let theirs = there.filter_map(|e| Some((e, *zone_sums.get(&e)?)));
            ZoneLoads {
                zone: receiver,
                theirs: theirs.filter(|(_, l)| l.requests > 0).take(MAX_OTHER_ENDPOINTS).collect(),
                ours: ours.into_iter().collect(),
            }
        };
        other_zones.iter().map(|receiver| report_for(*receiver)).collect()
    }
}

/// Adds a load to the sum of an endpoint.
pub(super) fn add(sums: &mut LoadSums, endpoint: u32, load: &EndpointLoad) {
    let sum = sums.entry(endpoint).or_default();
    *sum = plus(sum, load);
}

fn plus(a: &EndpointLoad, b: &EndpointLoad) -> EndpointLoad {
    EndpointLoad {
        requests: a.requests.saturating_add(b.requests),
        pending_prefill_tokens: a.pending_prefill_tokens.saturating_add(b.pending_prefill_tokens),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Three zones, each with two endpoints, whose hashes are 10 times the zone and one more.
    const ENDPOINTS: [(u32, u32); 6] = [(10, 1), (11, 1), (20, 2), (21, 2), (30, 3), (31, 3)];
    const ZONES: [u32; 3] = [1, 2, 3];

    fn load(requests: u32) -> EndpointLoad {
        EndpointLoad { requests, pending_prefill_tokens: 0 }
    }

    /// Exchanges reports between instances of each zone, of which `zone_sums` is the load.
    fn exchange(tables: &mut [ZoneLoadTable; 3], zone_sums: &[LoadSums; 3], now: f64) {
        let mut sent = Vec::new();
        for (from, table) in tables.iter_mut().enumerate() {
            let others: Vec<u32> = ZONES.into_iter().filter(|z| *z != ZONES[from]).collect();
            for loads in table.report(ZONES[from], &others, &ENDPOINTS, &zone_sums[from], now) {
                sent.push((ZONES[from], loads));
            }
        }
        for (from, loads) in sent {
            let to = loads.zone as usize - 1;
            tables[to].record(ZoneLoads { zone: from, ..loads }, now);
        }
    }

    /// Guards against endpoints of other zones that look idle while they are full, and against load
    /// that is counted twice.
    #[test]
    fn each_zone_learns_the_whole_load_of_each_endpoint() {
        let mut tables: [ZoneLoadTable; 3] = Default::default();
        let zone_sums: [LoadSums; 3] = [1, 2, 3].map(|zone| {
            ENDPOINTS.iter().map(|(e, z)| (*e, load(if *z == zone { 4 } else { zone }))).collect()
        });
        for round in 0..3 {
            exchange(&mut tables, &zone_sums, 2_000.0 + f64::from(round) * 100.0);
        }
        for (table, own) in tables.iter().zip(&zone_sums) {
            let mut sums = own.clone();
            table.add_to(&mut sums, 2_300.0);
            for (endpoint, zone) in ENDPOINTS {
                let expected = 4 + (1 + 2 + 3) - zone;
                assert_eq!(sums[&endpoint], load(expected), "endpoint {endpoint}");
            }
            // After a cut, only the load of the own zone is known.
            let mut sums = own.clone();
            table.add_to(&mut sums, 3_300.0);
            assert_eq!(&sums, own);
        }
    }

    #[test]
    fn ended_load_is_reported_and_all_endpoints_have_their_turn() {
        let endpoints: Vec<(u32, u32)> = (0..40).map(|e| (e, 1)).collect();
        let mut table = ZoneLoadTable::default();
        assert!(table.report(1, &[2], &endpoints, &LoadSums::default(), 500.0).is_empty());
        let mut receiver = ZoneLoadTable::default();
        let busy: LoadSums = endpoints.iter().map(|(e, _)| (*e, load(3))).collect();
        for (zone_sums, requests) in [(busy, 3), (LoadSums::default(), 0)] {
            for _ in 0..3 {
                let reports = table.report(1, &[2], &endpoints, &zone_sums, 2_000.0);
                receiver.record(ZoneLoads { zone: 1, ..reports[0].clone() }, 2_000.0);
            }
            let mut sums = LoadSums::default();
            receiver.add_to(&mut sums, 2_000.0);
            assert!(sums.len() == 40 && sums.values().all(|l| *l == load(requests)), "{sums:?}");
        }
    }
}
