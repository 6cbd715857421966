//! The state that results from the configuration stream. Replicas that applied
//! the same records hold the same configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use baobabvane_domain::{
    Catalog, Change, ChangeError, Entry, Event, InForce, Operation, Snapshot, Uuid,
};

use crate::audit::{AuditEntry, AuditTrail};

/// Maximum number of change results kept for the operators that wait for them.
const MAX_CHANGE_RESULTS: usize = 1024;

/// The effect of applying a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Whether a change was accepted or a snapshot was read, so that the configuration
    /// may be different.
    pub changed: bool,
}

/// The offset up to which an instance has applied the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
struct InstanceProgress {
    zone: String,
    offset: u64,
}

/// The configuration after all records before
/// [`next_offset`](Self::next_offset) were applied or skipped.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    catalog: Catalog,
    next_offset: u64,
    last_change_offset: u64,
    last_snapshot_offset: u64,
    /// Changes that wait for a snapshot after records were skipped; `None` if no
    /// snapshot is needed.
    held_changes: Option<Vec<(u64, Change)>>,
    results: HashMap<Uuid, Result<u64, ChangeError>>,
    result_ids: VecDeque<Uuid>,
    progress: BTreeMap<String, InstanceProgress>,
    audit: AuditTrail,
}

impl Replica {
    /// Creates an empty replica that starts at the log's first record, offset 1.
    pub fn new() -> Self {
        Self { next_offset: 1, ..Self::default() }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the version of the configuration: the offset of the last accepted
    /// change, or [`Snapshot::as_of`] of a snapshot that was loaded after skipped
    /// records if that is greater. 0 if there is none.
    pub fn last_change_offset(&self) -> u64 {
        self.last_change_offset
    }

    /// Returns the offset of the last snapshot that was read; 0 if there is none.
    pub fn last_snapshot_offset(&self) -> u64 {
        self.last_snapshot_offset
    }

    /// Returns whether the configuration is known. After records were skipped, it is
    /// unknown until a snapshot is read.
    pub fn has_state(&self) -> bool {
        self.held_changes.is_none()
    }

    /// Returns the audit trail of the records that this replica applied.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Returns the offset of a change or why it was refused.
    ///
    /// `None` if the change was not applied yet, or is not among the latest 1024.
    pub fn change_result(&self, id: Uuid) -> Option<&Result<u64, ChangeError>> {
        self.results.get(&id)
    }

    /// Returns the availability zones in which at least one of `instances` has not
    /// reported that it applied the configuration up to `offset`; `instances` yields
    /// pairs of instance and zone.
    pub fn zones_missing<'a>(
        &self,
        offset: u64,
        instances: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> BTreeSet<String> {
        let behind = |instance: &str| self.progress.get(instance).is_none_or(|p| p.offset < offset);
        let missing = instances.into_iter().filter(|(instance, _)| behind(instance));
        missing.map(|(_, zone)| zone.to_owned()).collect()
    }

    /// Returns the offset up to which an instance has applied the configuration;
    /// `None` if it has reported none.
    pub fn progress(&self, instance: &str) -> Option<u64> {
        self.progress.get(instance).map(|p| p.offset)
    }

    /// Skips records before `oldest`, which the log no longer holds.
    ///
    /// Changes are then held back until a snapshot is read. Does nothing if all
    /// these records were applied.
    pub fn skip_to(&mut self, oldest: u64) {
        if oldest > self.next_offset {
            self.held_changes.get_or_insert_default();
            self.next_offset = oldest;
        }
    }

    /// Applies the entries of one record; records before
    /// [`next_offset`](Self::next_offset) are ignored.
    pub fn apply(&mut self, offset: u64, entries: &[Entry]) -> Applied {
        if offset < self.next_offset {
            return Applied::default();
        }
        self.next_offset = offset + 1;
        let change_before = self.last_change_offset;
        let snapshot_before = self.last_snapshot_offset;
        for entry in entries {
            match entry {
                Entry::Change(change) => self.apply_or_hold_change(offset, change),
                Entry::Event(event) => self.apply_event(offset, event),
                Entry::Snapshot(snapshot) => self.apply_snapshot(offset, snapshot),
                Entry::InForce(_) | Entry::Claim(_) | Entry::Outcome(_) => {}
            }
        }
        Applied {
            changed: change_before != self.last_change_offset
                || snapshot_before != self.last_snapshot_offset,
        }
    }

    /// Applies entries of the progress stream; an instance's last entry replaces its
    /// earlier ones.
    pub fn apply_progress(&mut self, entries: &[Entry]) {
        for entry in entries {
            if let Entry::InForce(in_force) = entry {
                self.record_progress(in_force);
            }
        }
    }

    fn apply_or_hold_change(&mut self, offset: u64, change: &Change) {
        match &mut self.held_changes {
            Some(held) => held.push((offset, change.clone())),
            None => self.apply_change(offset, change),
        }
    }

    fn apply_change(&mut self, offset: u64, change: &Change) {
        let before = self.catalog.get(&change.name).map(|r| r.spec.clone());
        let result = self.catalog.apply(change, offset);
        let (what, after) = match &change.operation {
            Operation::Put(spec) => ("put", Some(spec.clone())),
            Operation::Delete => ("delete", None),
        };
        if result.is_ok() {
            self.last_change_offset = offset;
        }
        self.audit.push(AuditEntry {
            offset,
            at_ms: change.at_ms,
            who: change.who.clone(),
            what: what.to_owned(),
            subject: change.name.to_string(),
            before,
            after,
            result: match &result {
                Ok(()) => "accepted".to_owned(),
                Err(e) => e.to_string(),
            },
        });
        self.record_result(change.id, result.map(|()| offset));
    }

    fn apply_snapshot(&mut self, offset: u64, snapshot: &Snapshot) {
        self.last_snapshot_offset = offset;
        let Some(held) = self.held_changes.take() else { return };
        self.catalog = snapshot.catalog.clone();
        self.last_change_offset = self.last_change_offset.max(snapshot.as_of);
        for (at, change) in held.iter().filter(|(at, _)| *at > snapshot.as_of) {
            self.apply_change(*at, change);
        }
    }

    fn record_progress(&mut self, in_force: &InForce) {
        let progress = InstanceProgress { zone: in_force.zone.clone(), offset: in_force.offset };
        self.progress.insert(in_force.instance.clone(), progress);
    }

    fn apply_event(&mut self, offset: u64, event: &Event) {
        self.audit.push(AuditEntry {
            offset,
            at_ms: event.at_ms,
            who: event.instance.clone(),
            what: event.what.clone(),
            subject: event.subject.clone(),
            before: None,
            after: None,
            result: "noted".to_owned(),
        });
    }

    fn record_result(&mut self, id: Uuid, result: Result<u64, ChangeError>) {
        if self.result_ids.len() == MAX_CHANGE_RESULTS
            && let Some(oldest) = self.result_ids.pop_front()
        {
            self.results.remove(&oldest);
        }
        self.result_ids.push_back(id);
        self.results.insert(id, result);
    }
}

#[cfg(test)]
mod tests {
    use baobabvane_domain::{ResourceName, ResourceType, Spec, Tier};

    use super::*;

    fn put(id: u128, rank: u8) -> Entry {
        let name = ResourceName { type_: ResourceType::Tier, name: format!("t{rank}") };
        Entry::Change(Change {
            id: Uuid::from_u128(id),
            who: "test".to_owned(),
            at_ms: 0,
            name,
            expected_version: None,
            operation: Operation::Put(Spec::Tier(Tier { rank, floor_percent: 5 })),
        })
    }

    #[test]
    fn a_replica_that_starts_after_a_gap_equals_one_that_read_all() {
        let mut whole = Replica::new();
        whole.apply(1, &[put(1, 1)]);
        whole.apply(2, &[put(2, 2)]);
        let snapshot = Snapshot { as_of: 2, catalog: whole.catalog().clone() };
        let rest = [(3, put(3, 3)), (4, Entry::Snapshot(snapshot)), (5, put(5, 5))];

        let mut late = Replica::new();
        late.skip_to(3);
        assert!(!late.has_state());
        for (offset, entry) in &rest {
            whole.apply(*offset, std::slice::from_ref(entry));
            late.apply(*offset, std::slice::from_ref(entry));
        }
        assert!(late.has_state());
        assert_eq!(late.catalog(), whole.catalog());
        assert_eq!(late.last_change_offset(), 5);
    }

    #[test]
    fn a_record_before_next_offset_is_ignored() {
        let mut replica = Replica::new();
        replica.apply(1, &[put(1, 1)]);
        replica.apply(2, &[put(2, 2)]);
        assert_eq!(replica.apply(1, &[put(9, 9)]), Applied::default());
        assert!(replica.catalog().tier("t9").is_none());
    }
}
