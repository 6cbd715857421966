//! The configuration in the form that the caller's side reads for each request.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use baobabvane_decide::{KindId, OrgId, Rank};
use baobabvane_domain::{Catalog, Kind, Protocol};

/// A kind of work with what it refers to.
#[derive(Clone, Debug)]
pub(crate) struct KindView {
    pub(crate) id: KindId,
    pub(crate) name: String,
    pub(crate) rank: Rank,
    pub(crate) spec: Kind,
}

/// An organisation with its number for the decision cores.
#[derive(Clone, Debug)]
pub(crate) struct OrgView {
    pub(crate) id: OrgId,
    pub(crate) name: String,
    pub(crate) weight: u32,
}

/// A state of the configuration; a new one is made after each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) catalog: Catalog,
    /// The offset of the last change.
    pub(crate) version: u64,
    kinds: HashMap<String, Rc<KindView>>,
    orgs_by_key_hash: HashMap<String, Rc<OrgView>>,
}

impl View {
    /// Makes the view of a configuration.
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

    pub(crate) fn organisation_by_key(&self, api_key: &str) -> Option<Rc<OrgView>> {
        self.orgs_by_key_hash.get(&baobabvane_domain::hash_api_key(api_key)).cloned()
    }

    pub(crate) fn kind(&self, name: &str) -> Option<Rc<KindView>> {
        self.kinds.get(name).cloned()
    }

    /// Finds the kind that a chat request means by its `model`: the kind of that
    /// name, or else the least urgent kind that the model serves.
    pub(crate) fn kind_for_model(&self, model: &str) -> Option<Rc<KindView>> {
        let is_model = |k: &&Rc<KindView>| k.spec.protocol == Protocol::Model;
        let by_name = self.kinds.get(model).filter(is_model);
        let by_pool = || {
            let served = self.kinds.values().filter(is_model).filter(|k| k.spec.pool == model);
            served.max_by_key(|k| (k.rank, k.name.clone()))
        };
        by_name.or_else(by_pool).cloned()
    }

    pub(crate) fn kinds(&self) -> impl Iterator<Item = &Rc<KindView>> {
        self.kinds.values()
    }
}

/// Numbers a name alike in all instances, so that their schedulers can be asked by any.
fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(*hash.as_bytes().first_chunk().expect("a hash has 32 bytes"))
}

/// The current view; clones see the same one.
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
