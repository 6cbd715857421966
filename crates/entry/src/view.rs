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

/// Numbers names; a name keeps its number while the process runs.
#[derive(Debug, Default)]
pub(crate) struct Names {
    numbers: HashMap<String, u32>,
}

impl Names {
    fn number(&mut self, name: &str) -> u32 {
        let next = self.numbers.len() as u32;
        *self.numbers.entry(name.to_owned()).or_insert(next)
    }
}

/// The numbers that the views of this process have given.
#[derive(Debug, Default)]
pub(crate) struct ViewMaker {
    orgs: Names,
    kinds: Names,
}

impl ViewMaker {
    pub(crate) fn make(&mut self, catalog: &Catalog, version: u64) -> View {
        let mut view = View { catalog: catalog.clone(), version, ..View::default() };
        for (name, kind) in catalog.kinds() {
            let Some(tier) = catalog.tier(&kind.tier) else { continue };
            let id = KindId(self.kinds.number(name) as u16);
            let kind = KindView { id, name: name.to_owned(), rank: tier.rank, spec: kind.clone() };
            view.kinds.insert(name.to_owned(), Rc::new(kind));
        }
        for (name, org) in catalog.organisations() {
            let id = OrgId(self.orgs.number(name));
            let shared = Rc::new(OrgView { id, name: name.to_owned(), weight: org.weight });
            for hash in &org.key_hashes {
                view.orgs_by_key_hash.insert(hash.clone(), Rc::clone(&shared));
            }
        }
        view
    }
}

impl View {
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

/// The newest view; clones see the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Published {
    newest: Rc<RefCell<Rc<View>>>,
}

impl Published {
    pub(crate) fn get(&self) -> Rc<View> {
        Rc::clone(&self.newest.borrow())
    }

    pub(crate) fn set(&self, view: Rc<View>) {
        *self.newest.borrow_mut() = view;
    }
}
