//! Applies a new configuration to the decision cores and the list of endpoints.

use baobabvane_decide::{EndpointSpec, Event, TierPolicy};
use baobabvane_domain::{Catalog, Endpoint};

use super::Scheduler;
use crate::tasks::scheduler::{BLOCK_TOKENS, held::PoolKey};

impl Scheduler {
    pub(super) fn configure(&mut self, catalog: &Catalog) {
        self.set_tiers(catalog);
        for (key, pool) in self.endpoints.remove_stale(catalog) {
            self.handle_event(&pool, Event::EndpointGone(key));
        }
        for (name, spec) in catalog.endpoints() {
            self.upsert_endpoint(name, spec);
        }
    }

    fn set_tiers(&mut self, catalog: &Catalog) {
        let rank_count = catalog.tiers().map(|(_, t)| usize::from(t.rank) + 1).max().unwrap_or(0);
        let mut tiers = vec![TierPolicy::default(); rank_count];
        for (_, tier) in catalog.tiers() {
            tiers[usize::from(tier.rank)].floor = f64::from(tier.floor_percent) / 100.0;
        }
        for core in self.cores.values_mut() {
            core.set_tiers(tiers.clone());
        }
        self.tiers = tiers;
    }

    fn upsert_endpoint(&mut self, name: &str, spec: &Endpoint) {
        let key = self.endpoints.upsert(name, spec);
        let pool = PoolKey { pool: spec.pool.clone(), zone: spec.zone.clone() };
        self.core_or_insert(&pool);
        let cache_blocks = spec.cache_tokens / BLOCK_TOKENS;
        let core_spec = EndpointSpec { slots: spec.slots, cache_blocks, is_in_other_zone: false };
        self.handle_event(&pool, Event::EndpointJoined(key, core_spec));
        if spec.leaving {
            self.handle_event(&pool, Event::EndpointLeaving(key));
        }
    }
}
