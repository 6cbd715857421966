//! Keeps the list of endpoints that service discovery reports.
//!
//! While the store of discovery is unreachable, entries of endpoints that still run can
//! expire. A removal that is received during such an outage is therefore delayed until its
//! end, and a removal shortly after it until [`REMOVAL_DELAY_MS`] after its end. The endpoint
//! is removed only if its entry has not returned by the end of the delay. The same holds for a
//! store that has come back from an older copy, which lacks the newest entries. Older entries in
//! that copy change nothing, as an endpoint's own start time and revision order its entries.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use baobabvane_decide::EndpointKey;

use crate::configuration::DiscoveredEndpoint;

/// How long removals are delayed after an outage of the store, in milliseconds.
///
/// The platform states that entries which expired during an outage return about two seconds
/// after its end. The delay is shorter, because it starts only when the instance notices the
/// end, some hundred milliseconds late, and because an endpoint must receive no requests two
/// seconds after its entry was removed.
const REMOVAL_DELAY_MS: f64 = 1_500.0;

/// The number of removed endpoints that are remembered.
const MAX_REMEMBERED_REMOVALS: usize = 1_024;

/// All endpoints that an instance knows, as it sends them to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointList {
    pub(crate) endpoints: Vec<DiscoveredEndpoint>,
    /// The ids of endpoints whose removal is delayed, each with the remaining milliseconds.
    #[serde(rename = "held")]
    pub(crate) pending_removals: Vec<(String, f64)>,
}

/// A change of the endpoint list that the scheduler has to apply.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EndpointChange {
    /// The endpoint is new or changed, and accepts requests.
    Joined(EndpointKey),
    /// The endpoint finishes its requests and accepts no new ones.
    Leaving(EndpointKey),
    /// The endpoint was removed.
    Gone(EndpointKey, DiscoveredEndpoint),
}

/// The known endpoints and the pending removals.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    endpoints: SlotMap<EndpointKey, DiscoveredEndpoint>,
    by_id: FxHashMap<String, EndpointKey>,
    /// Endpoints that were removed, the latest last; an older copy of the store may list them.
    removed: VecDeque<DiscoveredEndpoint>,
    /// The time at which each delayed removal takes effect, by endpoint id.
    pending_removals: FxHashMap<String, f64>,
    /// Removals that are received after an outage and before this time are delayed until then.
    removals_delayed_until_ms: f64,
    /// The time at which discovery became unreachable; `None` while it is reachable.
    unreachable_since_ms: Option<f64>,
}

impl Directory {
    pub(crate) fn get(&self, key: EndpointKey) -> Option<&DiscoveredEndpoint> {
        self.endpoints.get(key)
    }

    pub(crate) fn key_of(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (EndpointKey, &DiscoveredEndpoint)> {
        self.endpoints.iter()
    }

    /// Records that discovery is unreachable; known endpoints stay in use.
    pub(crate) fn set_discovery_unreachable(&mut self, now_ms: f64) {
        if self.unreachable_since_ms.is_none() {
            self.unreachable_since_ms = Some(now_ms);
            log::warn!("event=discovery_lost endpoints={}", self.endpoints.len());
        }
    }

    /// Records that discovery answered at `answered_at_ms`, here or at another instance.
    ///
    /// The first answer after an outage ends it and starts the removal delay. Answers to other
    /// instances count because an instance that follows them does not read discovery itself.
    pub(crate) fn record_discovery_answer(&mut self, answered_at_ms: f64) {
        let Some(since) = self.unreachable_since_ms.filter(|since| answered_at_ms > *since) else {
            return;
        };
        self.unreachable_since_ms = None;
        self.removals_delayed_until_ms = answered_at_ms + REMOVAL_DELAY_MS;
        log::info!(
            "event=discovery_regained outage_ms={:.0} pending_removals={}",
            answered_at_ms - since,
            self.pending_removals.len()
        );
    }

    /// Records that discovery has come back from an older copy, which lacks entries that endpoints
    /// will write again.
    pub(crate) fn record_restore(&mut self, now_ms: f64) {
        self.removals_delayed_until_ms = now_ms + REMOVAL_DELAY_MS;
    }

    /// Adds an endpoint or updates its entry, and cancels its pending removal. An entry that is
    /// older than what is known of the endpoint is ignored.
    pub(crate) fn upsert(&mut self, endpoint: DiscoveredEndpoint) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        if self.is_outdated(&endpoint) {
            log::info!(
                "event=entry_outdated endpoint={} revision={:?}",
                endpoint.id,
                endpoint.revision
            );
            return changes;
        }
        self.pending_removals.remove(&endpoint.id);
        if let Some(key) = self.key_of(&endpoint.id) {
            let known = &mut self.endpoints[key];
            let DiscoveredEndpoint { revision, cold_remaining_ms, .. } = endpoint;
            let unchanged = DiscoveredEndpoint {
                revision: known.revision,
                cold_remaining_ms: known.cold_remaining_ms,
                ..endpoint.clone()
            };
            if *known == unchanged {
                known.revision = revision;
                known.cold_remaining_ms = cold_remaining_ms;
                return changes;
            }
            if is_same_process(known, &endpoint) {
                let is_draining = endpoint.is_draining;
                self.endpoints[key] = endpoint;
                changes.push(joined_or_leaving(key, is_draining));
                return changes;
            }
            changes.extend(self.remove(key));
        }
        let is_draining = endpoint.is_draining;
        let id = endpoint.id.clone();
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(id, key);
        changes.push(joined_or_leaving(key, is_draining));
        changes
    }

    /// Removes an endpoint. A removal during an outage is delayed until its end, one shortly
    /// after it for the rest of [`REMOVAL_DELAY_MS`].
    pub(crate) fn remove_or_delay(&mut self, id: &str, now_ms: f64) -> Option<EndpointChange> {
        let key = self.key_of(id)?;
        if self.unreachable_since_ms.is_some() || now_ms < self.removals_delayed_until_ms {
            let due = self.removals_delayed_until_ms.max(now_ms);
            if !self.pending_removals.contains_key(id) {
                self.pending_removals.insert(id.to_owned(), due);
                log::info!(
                    "event=removal_delayed endpoint={id} is_discovery_lost={} delay_ms={:.0}",
                    self.unreachable_since_ms.is_some(),
                    due - now_ms
                );
            }
            return None;
        }
        self.remove(key)
    }

    /// Returns whether the entry is older than the known one, or than the one of the endpoint's
    /// process that was removed.
    fn is_outdated(&self, entry: &DiscoveredEndpoint) -> bool {
        if let Some(known) = self.key_of(&entry.id).map(|key| &self.endpoints[key]) {
            let is_older =
                entry.revision.zip(known.revision).is_some_and(|(new, known)| new < known);
            return is_of_earlier_process(entry, known)
                || entry.started_ms == known.started_ms && is_older;
        }
        let removed = self.removed.iter().find(|removed| removed.id == entry.id);
        removed.is_some_and(|removed| {
            let has_no_news =
                entry.revision.zip(removed.revision).is_some_and(|(new, last)| new <= last);
            is_of_earlier_process(entry, removed)
                || entry.started_ms == removed.started_ms && has_no_news
        })
    }

    /// Replaces the list of endpoints and removes those it omits; removals that the list marks
    /// as pending stay pending.
    pub(crate) fn replace_all(&mut self, list: EndpointList, now_ms: f64) -> Vec<EndpointChange> {
        let EndpointList { endpoints, pending_removals } = list;
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| endpoints.iter().all(|e| e.id != **id))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for id in missing {
            match pending_removals.iter().find(|(pending, _)| *pending == id) {
                Some((_, remaining_ms)) => {
                    self.pending_removals.entry(id).or_insert(now_ms + remaining_ms);
                }
                None => changes.extend(self.remove_or_delay(&id, now_ms)),
            }
        }
        changes.extend(endpoints.into_iter().flat_map(|e| self.upsert(e)));
        changes
    }

    /// Returns all endpoints. Those whose removal is pending are listed separately, so that a
    /// peer does not add them as new endpoints.
    pub(crate) fn snapshot(&self, now_ms: f64) -> EndpointList {
        let listed = self.endpoints.values().filter(|e| !self.pending_removals.contains_key(&e.id));
        let pending =
            self.pending_removals.iter().map(|(id, due)| (id.clone(), (due - now_ms).max(0.0)));
        EndpointList { endpoints: listed.cloned().collect(), pending_removals: pending.collect() }
    }

    /// Removes an endpoint whose address is now used by another one.
    pub(crate) fn remove_misdirected(&mut self, key: EndpointKey) -> Option<EndpointChange> {
        self.remove(key)
    }

    /// Applies the delayed removals that are due; none is due during an outage.
    pub(crate) fn apply_due_removals(&mut self, now_ms: f64) -> Vec<EndpointChange> {
        if self.unreachable_since_ms.is_some() {
            return Vec::new();
        }
        let due: Vec<String> = self
            .pending_removals
            .iter()
            .filter(|(_, at)| now_ms >= **at)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter()
            .filter_map(|id| {
                self.pending_removals.remove(id);
                self.key_of(id).and_then(|key| self.remove(key))
            })
            .collect()
    }

    fn remove(&mut self, key: EndpointKey) -> Option<EndpointChange> {
        let endpoint = self.endpoints.remove(key)?;
        self.pending_removals.remove(&endpoint.id);
        self.by_id.remove(&endpoint.id);
        self.removed.retain(|removed| removed.id != endpoint.id);
        if self.removed.len() >= MAX_REMEMBERED_REMOVALS {
            self.removed.pop_front();
        }
        self.removed.push_back(endpoint.clone());
        Some(EndpointChange::Gone(key, endpoint))
    }
}

fn joined_or_leaving(key: EndpointKey, is_draining: bool) -> EndpointChange {
    if is_draining { EndpointChange::Leaving(key) } else { EndpointChange::Joined(key) }
}

/// Returns whether an entry is of a process that started before that of another entry with the
/// same id.
fn is_of_earlier_process(entry: &DiscoveredEndpoint, other: &DiscoveredEndpoint) -> bool {
    entry.started_ms < other.started_ms
}

/// Returns whether two entries with the same id describe the same process.
fn is_same_process(a: &DiscoveredEndpoint, b: &DiscoveredEndpoint) -> bool {
    a.address == b.address && a.pool == b.pool && a.started_ms == b.started_ms
}

#[cfg(test)]
mod tests {
    use super::*;

    fn endpoint(id: &str) -> DiscoveredEndpoint {
        DiscoveredEndpoint {
            id: id.to_owned(),
            pool: "desk".to_owned(),
            address: ([127, 0, 0, 1], 9000).into(),
            zone: "tanta".to_owned(),
            slots: 6,
            is_draining: false,
            started_ms: 1,
            revision: None,
            version: "v1".to_owned(),
            cold_remaining_ms: 0,
        }
    }

    /// Guards against an endpoint that joins anew with each entry that it writes after its start.
    #[test]
    fn an_endpoint_that_warms_up_does_not_change() {
        let mut directory = Directory::default();
        directory.upsert(DiscoveredEndpoint { cold_remaining_ms: 900, ..endpoint("a") });
        let later = DiscoveredEndpoint { cold_remaining_ms: 300, ..endpoint("a") };
        assert_eq!(directory.upsert(later), []);
        let key = directory.key_of("a").unwrap();
        assert_eq!(directory.get(key).unwrap().cold_remaining_ms, 300);
    }

    #[test]
    fn a_removal_takes_effect_at_once_while_discovery_is_reachable() {
        let mut directory = Directory::default();
        let changes = directory.upsert(endpoint("a"));
        assert!(matches!(changes[..], [EndpointChange::Joined(_)]));
        assert!(matches!(directory.remove_or_delay("a", 10.0), Some(EndpointChange::Gone(..))));
        assert_eq!(directory.key_of("a"), None);
    }

    #[test]
    fn an_entry_that_expired_during_an_outage_may_return() {
        let mut directory = Directory::default();
        directory.upsert(endpoint("a"));
        directory.upsert(endpoint("b"));
        directory.set_discovery_unreachable(0.0);
        directory.record_discovery_answer(1_000.0);
        assert_eq!(directory.remove_or_delay("a", 1_001.0), None);
        assert_eq!(directory.remove_or_delay("b", 1_002.0), None);
        assert_eq!(directory.apply_due_removals(1_900.0), []);
        assert_eq!(directory.upsert(endpoint("a")), []);
        let changes = directory.apply_due_removals(3_000.0);
        assert!(matches!(&changes[..], [EndpointChange::Gone(_, e)] if e.id == "b"), "{changes:?}");
        assert!(directory.key_of("a").is_some());
    }

    #[test]
    fn an_outage_ends_only_with_an_answer_after_its_beginning() {
        let mut directory = Directory::default();
        directory.upsert(endpoint("a"));
        directory.set_discovery_unreachable(1_000.0);
        directory.record_discovery_answer(900.0);
        assert_eq!(directory.remove_or_delay("a", 1_100.0), None);
        assert_eq!(directory.apply_due_removals(9_000.0), []);
        directory.record_discovery_answer(9_000.0);
        assert_eq!(directory.apply_due_removals(9_100.0).len(), 1);
    }

    #[test]
    fn a_restart_under_the_same_id_is_a_new_endpoint() {
        let mut directory = Directory::default();
        directory.upsert(endpoint("a"));
        let old = directory.key_of("a").unwrap();
        let changes = directory.upsert(DiscoveredEndpoint { started_ms: 2, ..endpoint("a") });
        assert!(
            matches!(changes[..], [EndpointChange::Gone(key, _), EndpointChange::Joined(_)] if key == old)
        );
    }

    #[test]
    fn a_full_list_removes_endpoints_it_omits() {
        let mut directory = Directory::default();
        directory.upsert(endpoint("a"));
        let list = EndpointList { endpoints: vec![endpoint("b")], pending_removals: vec![] };
        let changes = directory.replace_all(list, 0.0);
        assert!(
            matches!(&changes[..], [EndpointChange::Gone(_, e), EndpointChange::Joined(_)] if e.id == "a")
        );
    }

    #[test]
    fn a_pending_removal_is_not_a_new_endpoint_to_a_peer() {
        let (mut delaying, mut after_removal) = (Directory::default(), Directory::default());
        delaying.upsert(endpoint("a"));
        delaying.set_discovery_unreachable(0.0);
        delaying.record_discovery_answer(1_000.0);
        delaying.remove_or_delay("a", 1_001.0);
        // A peer that has already removed the endpoint does not add it again.
        assert_eq!(after_removal.replace_all(delaying.snapshot(1_001.0), 1_001.0), []);
        // A peer that still lists the endpoint removes it at the same time.
        let mut behind = Directory::default();
        behind.upsert(endpoint("a"));
        assert_eq!(behind.replace_all(delaying.snapshot(1_001.0), 1_001.0), []);
        assert_eq!(behind.apply_due_removals(2_400.0), []);
        assert_eq!(behind.apply_due_removals(2_500.0).len(), 1);
    }

    #[test]
    fn entries_that_a_restored_store_lacks_may_return() {
        let mut directory = Directory::default();
        directory.upsert(endpoint("a"));
        directory.upsert(endpoint("b"));
        directory.record_restore(1_000.0);
        let older = EndpointList { endpoints: vec![], pending_removals: vec![] };
        assert_eq!(directory.replace_all(older, 1_001.0), []);
        assert_eq!(directory.upsert(endpoint("a")), []);
        let changes = directory.apply_due_removals(3_000.0);
        assert!(matches!(&changes[..], [EndpointChange::Gone(_, e)] if e.id == "b"), "{changes:?}");
    }

    #[test]
    fn older_entries_of_a_restored_store_do_not_undo_newer_ones() {
        let entry = |revision, is_draining| DiscoveredEndpoint {
            revision: Some(revision),
            is_draining,
            ..endpoint("a")
        };
        let mut directory = Directory::default();
        directory.upsert(entry(5, false));
        let changes = directory.upsert(entry(8, true));
        assert!(matches!(changes[..], [EndpointChange::Leaving(_)]));
        assert_eq!(directory.upsert(entry(5, false)), []);
        assert!(matches!(directory.remove_or_delay("a", 10.0), Some(EndpointChange::Gone(..))));
        assert_eq!(directory.upsert(entry(5, false)), []);
        assert_eq!(directory.upsert(entry(8, true)), []);
        // An entry that had only expired is written again with a higher revision.
        assert!(matches!(directory.upsert(entry(9, false))[..], [EndpointChange::Joined(_)]));
        // So is one of a process that started later.
        let restarted = DiscoveredEndpoint { started_ms: 2, ..entry(1, false) };
        assert!(matches!(
            directory.upsert(restarted)[..],
            [EndpointChange::Gone(..), EndpointChange::Joined(_)]
        ));
        assert_eq!(directory.upsert(entry(10, false)), []);
    }
}
