//! The configuration, computed as a pure function of the changes in the log.
//!
//! Every instance applies the same changes in the same order, so all instances
//! accept the same one of several conflicting changes by operators; see
//! [configuration](../../../docs/configuration.md).

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    record::{Change, Operation},
    resource::{Endpoint, Kind, Organisation, Resource, ResourceName, ResourceType, Spec, Tier},
};

/// Maximum rank of a tier; rank 0 is the most urgent.
pub(crate) const MAX_TIER_RANK: u8 = 15;
/// Maximum length of a resource name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;
/// Maximum number of slots (concurrent requests) of an endpoint.
pub(crate) const MAX_SLOTS: u32 = 4096;
/// Maximum `floor_percent` of a tier, its minimum share of a pool's work.
pub(crate) const MAX_FLOOR_PERCENT: u32 = 90;
/// Maximum weight of an organisation within a tier.
pub(crate) const MAX_WEIGHT: u32 = 10_000;

/// The reason why a configuration change was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeError {
    /// The resource is not at the version that the change expects.
    #[error("{name} is at version {current}, but the change expects {expected}")]
    Conflict {
        /// Type and name of the resource.
        name: String,
        /// The version that the change expects; 0 means that the resource must not exist.
        expected: u64,
        /// The current version; 0 means that the resource does not exist.
        current: u64,
    },
    /// The resource to delete does not exist.
    #[error("{name} does not exist")]
    NotFound {
        /// Type and name of the resource.
        name: String,
    },
    /// The spec is invalid: a value is out of range, is already taken by another
    /// resource, or refers to a resource that does not exist.
    #[error("{name}: {reason}")]
    Invalid {
        /// Type and name of the resource.
        name: String,
        /// The invalid field or value and why it is invalid, such as the allowed range.
        reason: String,
    },
    /// The resource cannot be deleted because another resource refers to it.
    #[error("{name} is used by {user}")]
    InUse {
        /// Type and name of the resource.
        name: String,
        /// Type and name of a resource that refers to it.
        user: String,
    },
}

/// All resources by type and name.
type Resources = BTreeMap<ResourceType, BTreeMap<String, Resource>>;

/// The current configuration: all resources, with an index of API keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Catalog {
    resources: Resources,
    /// Maps the hash of an API key to the name of the organisation that owns it.
    key_owners: HashMap<String, String>,
}

/// The serialized form of a [`Catalog`]; the API key index is rebuilt on load.
#[derive(Clone, Serialize, Deserialize)]
struct Stored {
    resources: Resources,
}

impl From<Catalog> for Stored {
    fn from(catalog: Catalog) -> Self {
        Self { resources: catalog.resources }
    }
}

impl From<Stored> for Catalog {
    fn from(stored: Stored) -> Self {
        let mut catalog = Self { resources: stored.resources, key_owners: HashMap::new() };
        let owners: Vec<(String, String)> = catalog
            .organisations()
            .flat_map(|(name, org)| org.key_hashes.iter().map(|h| (h.clone(), name.to_owned())))
            .collect();
        catalog.key_owners.extend(owners);
        catalog
    }
}

impl Catalog {
    /// Applies a change and sets the version of the resource to `offset`.
    ///
    /// # Errors
    ///
    /// The same as [`Catalog::check`]; the catalog is then unchanged.
    pub fn apply(&mut self, change: &Change, offset: u64) -> Result<(), ChangeError> {
        self.check(change)?;
        self.update_key_owners(change);
        let resources_of_type = self.resources.entry(change.name.type_).or_default();
        match &change.operation {
            Operation::Put(spec) => {
                let name = change.name.name.clone();
                resources_of_type
                    .insert(name.clone(), Resource { name, version: offset, spec: spec.clone() });
            }
            Operation::Delete => {
                resources_of_type.remove(&change.name.name);
            }
        }
        Ok(())
    }

    /// Updates `key_owners` for a change that has been checked but not yet applied.
    fn update_key_owners(&mut self, change: &Change) {
        if change.name.type_ != ResourceType::Organisation {
            return;
        }
        let current = self.get(&change.name).map(|r| r.spec.clone());
        if let Some(Spec::Organisation(org)) = current {
            for hash in &org.key_hashes {
                self.key_owners.remove(hash);
            }
        }
        if let Operation::Put(Spec::Organisation(org)) = &change.operation {
            for hash in &org.key_hashes {
                self.key_owners.insert(hash.clone(), change.name.name.clone());
            }
        }
    }

    /// Checks whether a change can be applied to the current configuration.
    ///
    /// # Errors
    ///
    /// When the expected version does not match, the spec is invalid, or the
    /// resource to delete does not exist or is in use.
    pub fn check(&self, change: &Change) -> Result<(), ChangeError> {
        self.check_version(change)?;
        match &change.operation {
            Operation::Put(spec) => self.check_spec(&change.name, spec),
            Operation::Delete => self.check_unused(&change.name),
        }
    }

    /// Returns a resource by type and name, or `None` if it does not exist.
    pub fn get(&self, name: &ResourceName) -> Option<&Resource> {
        self.resources.get(&name.type_)?.get(&name.name)
    }

    /// Lists the resources of a type in the order of their names.
    pub fn list(&self, type_: ResourceType) -> impl Iterator<Item = &Resource> {
        self.resources.get(&type_).into_iter().flat_map(BTreeMap::values)
    }

    /// Returns a tier by name.
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        match &self.resources.get(&ResourceType::Tier)?.get(name)?.spec {
            Spec::Tier(tier) => Some(tier),
            _ => None,
        }
    }

    /// Returns a kind by name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        match &self.resources.get(&ResourceType::Kind)?.get(name)?.spec {
            Spec::Kind(kind) => Some(kind),
            _ => None,
        }
    }

    /// Lists the tiers with their names, in the order of the names.
    pub fn tiers(&self) -> impl Iterator<Item = (&str, &Tier)> {
        self.list(ResourceType::Tier).filter_map(|r| match &r.spec {
            Spec::Tier(tier) => Some((r.name.as_str(), tier)),
            _ => None,
        })
    }

    /// Lists the organisations with their names, in the order of the names.
    pub fn organisations(&self) -> impl Iterator<Item = (&str, &Organisation)> {
        self.list(ResourceType::Organisation).filter_map(|r| match &r.spec {
            Spec::Organisation(org) => Some((r.name.as_str(), org)),
            _ => None,
        })
    }

    /// Lists the endpoints with their names, in the order of the names.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        self.list(ResourceType::Endpoint).filter_map(|r| match &r.spec {
            Spec::Endpoint(endpoint) => Some((r.name.as_str(), endpoint)),
            _ => None,
        })
    }

    /// Lists the kinds with their names, in the order of the names.
    pub fn kinds(&self) -> impl Iterator<Item = (&str, &Kind)> {
        self.list(ResourceType::Kind).filter_map(|r| match &r.spec {
            Spec::Kind(kind) => Some((r.name.as_str(), kind)),
            _ => None,
        })
    }

    fn check_version(&self, change: &Change) -> Result<(), ChangeError> {
        let current = self.get(&change.name).map_or(0, |r| r.version);
        if current == 0 && matches!(change.operation, Operation::Delete) {
            return Err(ChangeError::NotFound { name: change.name.to_string() });
        }
        match change.expected_version {
            Some(expected) if expected != current => {
                Err(ChangeError::Conflict { name: change.name.to_string(), expected, current })
            }
            _ => Ok(()),
        }
    }

    fn check_spec(&self, name: &ResourceName, spec: &Spec) -> Result<(), ChangeError> {
        let invalid = |reason: String| ChangeError::Invalid { name: name.to_string(), reason };
        if spec.resource_type() != name.type_ {
            return Err(invalid(format!("spec is of type {}", spec.resource_type())));
        }
        check_name(&name.name).map_err(&invalid)?;
        match spec {
            Spec::Tier(tier) => self.check_tier(&name.name, tier),
            Spec::Kind(kind) => self.check_kind(kind),
            Spec::Organisation(org) => self.check_organisation(&name.name, org),
            Spec::Endpoint(endpoint) => check_endpoint(endpoint),
        }
        .map_err(invalid)
    }

    fn check_tier(&self, name: &str, tier: &Tier) -> Result<(), String> {
        check_range("rank", tier.rank.into(), 0, MAX_TIER_RANK.into())?;
        check_range("floor_percent", tier.floor_percent, 0, MAX_FLOOR_PERCENT)?;
        let other = self
            .list(ResourceType::Tier)
            .find(|r| matches!(&r.spec, Spec::Tier(t) if t.rank == tier.rank && r.name != name));
        match other {
            Some(other) => Err(format!("rank {} is taken by tier {:?}", tier.rank, other.name)),
            None => Ok(()),
        }
    }

    fn check_kind(&self, kind: &Kind) -> Result<(), String> {
        if self.tier(&kind.tier).is_none() {
            return Err(format!("tier {:?} does not exist", kind.tier));
        }
        check_name(&kind.pool)?;
        check_range("deadline_ms", kind.deadline_ms, 1, 86_400_000)?;
        check_range("answer_tokens", kind.answer_tokens, 1, 10_000_000)
    }

    fn check_organisation(&self, name: &str, org: &Organisation) -> Result<(), String> {
        check_range("weight", org.weight, 1, MAX_WEIGHT)?;
        for hash in &org.key_hashes {
            let is_valid = hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
            if !is_valid {
                return Err("key_hashes: expected 64 hexadecimal digits each".to_owned());
            }
            if let Some(other) = self.key_owners.get(hash).filter(|owner| *owner != name) {
                return Err(format!("key_hashes: one is taken by organisation {other:?}"));
            }
        }
        Ok(())
    }

    fn check_unused(&self, name: &ResourceName) -> Result<(), ChangeError> {
        if name.type_ != ResourceType::Tier {
            return Ok(());
        }
        match self.kinds().find(|(_, kind)| kind.tier == name.name) {
            Some((user, _)) => {
                Err(ChangeError::InUse { name: name.to_string(), user: format!("kind {user:?}") })
            }
            None => Ok(()),
        }
    }
}

fn check_endpoint(endpoint: &Endpoint) -> Result<(), String> {
    check_name(&endpoint.zone)?;
    check_name(&endpoint.pool)?;
    check_range("slots", endpoint.slots, 1, MAX_SLOTS)
}

fn check_range(field: &str, value: u32, min: u32, max: u32) -> Result<(), String> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(format!("{field} {value} is out of range, allowed: {min} to {max}"))
}

fn check_name(name: &str) -> Result<(), String> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(format!("name {name:?} must have 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(name: &str, spec: Spec, expected_version: Option<u64>) -> Change {
        let name = ResourceName { type_: spec.resource_type(), name: name.to_owned() };
        Change {
            id: uuid::Uuid::nil(),
            who: "test".to_owned(),
            at_ms: 0,
            name,
            expected_version,
            operation: Operation::Put(spec),
        }
    }

    fn tier(rank: u8) -> Spec {
        Spec::Tier(Tier { rank, floor_percent: 5 })
    }

    #[test]
    fn the_second_of_two_racing_changes_conflicts() {
        let mut catalog = Catalog::default();
        catalog.apply(&put("urgent", tier(0), Some(0)), 1).unwrap();
        catalog.apply(&put("urgent", tier(1), Some(1)), 2).unwrap();
        let err = catalog.apply(&put("urgent", tier(2), Some(1)), 3).unwrap_err();
        assert_eq!(err.to_string(), "tier \"urgent\" is at version 2, but the change expects 1");
        assert_eq!(catalog.tier("urgent").unwrap().rank, 1);
    }

    #[test]
    fn a_tier_in_use_cannot_be_deleted() {
        let mut catalog = Catalog::default();
        catalog.apply(&put("urgent", tier(0), None), 1).unwrap();
        let kind = serde_json::json!({
            "tier": "urgent", "pool": "p", "protocol": "plain", "idempotent": true
        });
        let kind = Spec::from_json(ResourceType::Kind, kind).unwrap();
        catalog.apply(&put("quote", kind, None), 2).unwrap();
        let mut delete = put("urgent", tier(0), None);
        delete.operation = Operation::Delete;
        let err = catalog.apply(&delete, 3).unwrap_err();
        assert_eq!(err.to_string(), "tier \"urgent\" is used by kind \"quote\"");
    }

    #[test]
    fn an_api_key_belongs_to_one_organisation_also_after_a_snapshot() {
        let org = |key: &str| {
            let key_hashes = vec![crate::hash_api_key(key)];
            Spec::Organisation(Organisation { key_hashes, weight: 1 })
        };
        let mut catalog = Catalog::default();
        catalog.apply(&put("naran", org("k1"), None), 1).unwrap();
        let text = serde_json::to_string(&catalog).unwrap();
        let mut catalog: Catalog = serde_json::from_str(&text).unwrap();
        let err = catalog.apply(&put("delta", org("k1"), None), 2).unwrap_err();
        assert!(err.to_string().contains("taken by organisation \"naran\""), "{err}");
        catalog.apply(&put("naran", org("k2"), None), 3).unwrap();
        catalog.apply(&put("delta", org("k1"), None), 4).unwrap();
    }

    #[test]
    fn an_error_names_the_field_and_the_range() {
        let err = Catalog::default().apply(&put("slow", tier(16), None), 1).unwrap_err();
        assert_eq!(err.to_string(), "tier \"slow\": rank 16 is out of range, allowed: 0 to 15");
    }
}
