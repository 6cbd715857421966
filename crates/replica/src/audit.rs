//! Who changed what, when, from what to what, and with what result.

use std::collections::VecDeque;

use baobabvane_domain::Spec;
use serde::{Deserialize, Serialize};

/// The most entries that an instance holds; the log keeps the rest.
const MAX_AUDIT_ENTRIES: usize = 4096;

/// One line of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The offset of the record.
    pub offset: u64,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The operator, or the instance that decided.
    pub who: String,
    /// What happened, such as `put`, `delete` or `breaker_opened`.
    pub what: String,
    /// The thing that it happened to.
    pub subject: String,
    /// The spec before the change.
    pub before: Option<Spec>,
    /// The spec after the change.
    pub after: Option<Spec>,
    /// `accepted`, or why the change was refused.
    pub result: String,
}

/// The latest entries.
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

    /// Lists the entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter()
    }
}
