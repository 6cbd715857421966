//! The configuration, indexed for the lookups that each request needs.
//!
//! A published [`View`] does not change; each change of the configuration publishes a new one.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use baobabvane_decide::{KindId, OrgId, Rank};
use baobabvane_domain::{Catalog, Kind, Protocol};

/// A kind of request with its id in the decision cores and the rank of its tier.
#[derive(Clone, Debug)]
pub(crate) struct KindView {
    pub(crate) id: KindId,
    pub(crate) name: String,
    pub(crate) rank: Rank,
    pub(crate) spec: Kind,
}

/// An organisation with its id in the decision cores.
#[derive(Clone, Debug)]
pub(crate) struct OrgView {
    pub(crate) id: OrgId,
    pub(crate) name: String,
    /// Fair-share weight within a tier.
    pub(crate) weight: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) catalog: Catalog,
    /// Log offset of the last change in the configuration, or of the last record in the snapshot it
    /// was loaded from; 0 if there is none.
    pub(crate) version: u64,
    kinds: HashMap<String, Rc<KindView>>,
    orgs_by_key_hash: HashMap<String, Rc<OrgView>>,
}

impl View {
    /// Builds the lookups; kinds whose tier is missing from the catalog are left out.
    pub(crate) fn new(catalog: &Catalog, version: u64) -> Self {
        let mut view = Self { catalog: catalog.clone(), version, ..Self::default() };
        for (name, kind) in catalog.kinds() {
            let Some(tier) = catalog.tier(&kind.tier) else { continue };
            let id = KindId(hash_name(name) as u32);
            let kind = KindView { id, name: name.to_owned(), rank: tier.rank, spec: kind.clone() };
            view.kinds.insert(name.to_owned(), Rc::new(kind));
        }
        for (name, org) in catalog.organisations() {
            let id = OrgId(hash_name(name));
            let org_view = Rc::new(OrgView { id, name: name.to_owned(), weight: org.weight });
            for hash in &org.key_hashes {
                view.orgs_by_key_hash.insert(hash.clone(), Rc::clone(&org_view));
            }
        }
        view
    }

    pub(crate) fn organisation_by_api_key(&self, api_key: &str) -> Option<Rc<OrgView>> {
        self.orgs_by_key_hash.get(&baobabvane_domain::hash_api_key(api_key)).cloned()
    }

    pub(crate) fn kind(&self, name: &str) -> Option<Rc<KindView>> {
        self.kinds.get(name).cloned()
    }

    /// Returns the kind for the `model` of a chat request: the kind with that name, or else the
    /// least urgent kind (largest rank) whose pool has that name. Only kinds with
    /// [`Protocol::Model`] are considered.
    pub(crate) fn kind_for_model(&self, model: &str) -> Option<Rc<KindView>> {
        let is_model = |k: &&Rc<KindView>| k.spec.protocol == Protocol::Model;
        let by_name = self.kinds.get(model).filter(is_model);
        let by_pool = || {
            let candidates = self.kinds.values().filter(is_model).filter(|k| k.spec.pool == model);
            candidates.max_by_key(|k| (k.rank, k.name.clone()))
        };
        by_name.or_else(by_pool).cloned()
    }

    pub(crate) fn kinds(&self) -> impl Iterator<Item = &Rc<KindView>> {
        self.kinds.values()
    }
}

/// Derives an id from a name; it must be the same on all instances, because their schedulers
/// exchange ids.
fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(*hash.as_bytes().first_chunk().expect("a hash has 32 bytes"))
}

/// Shared reference to the current [`View`]; clones see every update.
#[derive(Clone, Debug, Default)]
pub(crate) struct CurrentView {
    current: Rc<RefCell<Rc<View>>>,
}

impl CurrentView {
    pub(crate) fn get(&self) -> Rc<View> {
        Rc::clone(&self.current.borrow())
    }

    pub(crate) fn set(&self, view: Rc<View>) {
        *self.current.borrow_mut() = view;
    }
}
