//! The endpoints of the configuration, each with the client that sends requests to it.

use std::{collections::HashMap, rc::Rc, time::Duration};

use baobabvane_decide::EndpointKey;
use baobabvane_domain::{Catalog, Endpoint};
use slotmap::SlotMap;

use crate::{
    link::EndpointClient,
    tasks::scheduler::{grant::Target, held::PoolKey},
};

pub(super) struct ConfiguredEndpoint {
    pub(super) spec: Endpoint,
    pub(super) pool: PoolKey,
    pub(super) target: Rc<Target>,
}

pub(super) struct Endpoints {
    connect_timeout: Duration,
    arena: SlotMap<EndpointKey, ConfiguredEndpoint>,
    by_name: HashMap<String, EndpointKey>,
}

impl Endpoints {
    pub(super) fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout, arena: SlotMap::with_key(), by_name: HashMap::new() }
    }

    pub(super) fn get(&self, key: EndpointKey) -> Option<&ConfiguredEndpoint> {
        self.arena.get(key)
    }

    pub(super) fn key_of(&self, name: &str) -> Option<EndpointKey> {
        self.by_name.get(name).copied()
    }

    pub(super) fn target_of(&self, name: &str) -> Option<Rc<Target>> {
        Some(Rc::clone(&self.arena.get(self.key_of(name)?)?.target))
    }

    /// Returns whether a pool has an endpoint that is not leaving.
    pub(super) fn has_available(&self, pool: &PoolKey) -> bool {
        self.arena.values().any(|e| e.pool == *pool && !e.spec.leaving)
    }

    pub(super) fn count(&self, pool: &PoolKey) -> usize {
        self.arena.values().filter(|e| e.pool == *pool).count()
    }

    /// Returns the pools of the same name in other zones that have an endpoint that is not
    /// leaving, sorted by zone.
    pub(super) fn other_zones(&self, pool: &PoolKey) -> Vec<PoolKey> {
        let others = self
            .arena
            .values()
            .filter(|e| e.pool.pool == pool.pool && e.pool.zone != pool.zone && !e.spec.leaving);
        let mut zones: Vec<PoolKey> = others.map(|e| e.pool.clone()).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Removes and returns the endpoints that the configuration no longer contains, or contains
    /// with another address, pool or zone.
    pub(super) fn remove_stale(&mut self, catalog: &Catalog) -> Vec<(EndpointKey, PoolKey)> {
        let is_unchanged = |endpoint: &ConfiguredEndpoint| {
            catalog.endpoints().any(|(name, spec)| {
                name == endpoint.target.name
                    && spec.address == endpoint.spec.address
                    && spec.pool == endpoint.spec.pool
                    && spec.zone == endpoint.spec.zone
            })
        };
        let stale: Vec<EndpointKey> = self
            .arena
            .iter()
            .filter(|(_, endpoint)| !is_unchanged(endpoint))
            .map(|(key, _)| key)
            .collect();
        let mut removed = Vec::new();
        for key in stale {
            let Some(endpoint) = self.arena.remove(key) else { continue };
            self.by_name.remove(&endpoint.target.name);
            log::info!("event=endpoint_gone endpoint={}", endpoint.target.name);
            removed.push((key, endpoint.pool));
        }
        removed
    }

    /// Adds an endpoint or updates its spec.
    pub(super) fn upsert(&mut self, name: &str, spec: &Endpoint) -> EndpointKey {
        let Some(key) = self.key_of(name) else { return self.add(name, spec) };
        if let Some(endpoint) = self.arena.get_mut(key) {
            if spec.leaving && !endpoint.spec.leaving {
                log::info!("event=endpoint_leaving endpoint={name}");
            }
            endpoint.spec = spec.clone();
        }
        key
    }

    fn add(&mut self, name: &str, spec: &Endpoint) -> EndpointKey {
        let client = EndpointClient::spawn(spec.address, self.connect_timeout);
        let target = Rc::new(Target { name: name.to_owned(), client });
        let pool = PoolKey { pool: spec.pool.clone(), zone: spec.zone.clone() };
        log::info!("event=endpoint_joined endpoint={name} pool={} zone={}", pool.pool, pool.zone);
        let key = self.arena.insert(ConfiguredEndpoint { spec: spec.clone(), pool, target });
        self.by_name.insert(name.to_owned(), key);
        key
    }
}
