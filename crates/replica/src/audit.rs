//! The audit trail of an instance: the changes and events that it has read from
//! the configuration stream, in the order of the log.

use std::collections::VecDeque;

use baobabvane_domain::Spec;
use serde::{Deserialize, Serialize};

/// Maximum number of entries in memory; older entries remain only in the log.
const MAX_AUDIT_ENTRIES: usize = 4096;

/// A configuration change or an event in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The offset of the record in the configuration stream.
    pub offset: u64,
    /// When the change was proposed or the event occurred, in milliseconds since the
    /// Unix epoch.
    pub at_ms: u64,
    /// The operator who made the change, or the instance that wrote the event.
    pub who: String,
    /// What happened, such as `put`, `delete` or `breaker_opened`.
    pub what: String,
    /// The resource or other object that the change or event affects.
    pub subject: String,
    /// The spec before the change; `None` if the resource did not exist, and for
    /// events.
    pub before: Option<Spec>,
    /// The proposed spec, also if the change was refused; `None` for deletions and
    /// events.
    pub after: Option<Spec>,
    /// `accepted`, or why the change was refused; `noted` for events.
    pub result: String,
}

/// The latest audit entries, at most 4096.
#[derive(Clone, Debug, Default)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
}

impl AuditTrail {
    pub(crate) fn push(&mut self, entry: AuditEntry) {
        if self.entries.len() == MAX_AUDIT_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns the entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter()
    }
}
