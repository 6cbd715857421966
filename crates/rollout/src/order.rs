//! An order to move a service to another version, and its states.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

/// A time or duration in milliseconds.
pub type Millis = f64;

/// An order to move the requests of a service to the endpoints of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service whose requests move.
    pub service: String,
    /// The version to which they move.
    pub to: String,
    /// The time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// The offset of the order's record in the store.
    pub offset: u64,
}

/// Identifies an order; all instances compute the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderKey(pub u64);

impl Order {
    /// Returns the key of the order. It does not depend on the era of the store, so that an order
    /// that a restored store still has stays the same one.
    pub fn key(&self) -> OrderKey {
        let mut hasher = FxHasher::default();
        (&self.service, &self.to, self.offset).hash(&mut hasher);
        OrderKey(hasher.finish())
    }
}

/// The bounds that the operators set for rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The largest share of a service's requests that a bad version may receive, 0 to 1.
    pub exposure_fraction: f64,
    /// The number of requests that a bad version may receive in addition. Decisions do not use it;
    /// it is left for what the share does not cover.
    pub exposure_tolerance: f64,
    /// The time after which a bad version receives no more requests, in milliseconds.
    pub rollback_deadline_ms: Millis,
}

/// The endpoints of a service by version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cohort {
    /// The endpoints that served the requests before the order.
    Old,
    /// The endpoints of the ordered version.
    New,
}

/// How far an order is, as an instance knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// A small share of the requests goes to the new version.
    Canary,
    /// All requests go to the new version; the old endpoints still run.
    Promoting,
    /// The store states that the order is completed; the old endpoints stop.
    Completed,
    /// The store states that the order is reverted; the new endpoints stop.
    Reverted,
}

impl Phase {
    /// Returns whether the order's last status is in the store.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }

    /// Returns the name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Promoting => "promoting",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        }
    }
}

/// The status of an order in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The new version receives requests.
    Serving,
    /// The service has moved; the old endpoints may stop at once.
    Completed,
    /// The service stays with the old version.
    Reverted,
}
