//! Finds the route of a request and the organisation that its API key belongs to.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::configuration::{CallerLimits, Configuration, Organisation, Route, Target};

/// Indexes one configuration version by host and by API key.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    pub(crate) version: u64,
    pub(crate) limits: CallerLimits,
    /// The routes of each lowercase host, sorted by descending length of the path prefix.
    by_host: FxHashMap<String, Vec<Rc<Route>>>,
    by_api_key: FxHashMap<String, Rc<Organisation>>,
    requires_api_key: bool,
}

/// The result of authenticating a request.
#[derive(Debug, PartialEq)]
pub(crate) enum Identity {
    /// The request needs no API key.
    Anonymous,
    /// The API key belongs to this organisation.
    Organisation(Rc<Organisation>),
    /// The API key is required, but missing or unknown.
    Unauthenticated,
}

impl RouteTable {
    pub(crate) fn new(configuration: &Configuration) -> Self {
        let mut by_host: FxHashMap<String, Vec<Rc<Route>>> = FxHashMap::default();
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let mut by_api_key = FxHashMap::default();
        for org in &configuration.organisations {
            let shared = Rc::new(org.clone());
            by_api_key.extend(org.api_keys.iter().map(|key| (key.clone(), Rc::clone(&shared))));
        }
        Self {
            version: configuration.version,
            limits: configuration.limits,
            by_host,
            by_api_key,
            requires_api_key: !configuration.organisations.is_empty(),
        }
    }

    /// Returns the host's route with the longest matching path prefix.
    ///
    /// A port in `host` is ignored unless a route names it.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let lower = host.to_ascii_lowercase();
        let routes = self.by_host.get(&lower).or_else(|| {
            let (name, _port) = lower.rsplit_once(':')?;
            self.by_host.get(name)
        })?;
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Authenticates a request by its API key; a public route also accepts requests without a
    /// known key.
    pub(crate) fn identify(&self, route: &Route, key: Option<&str>) -> Identity {
        if !self.requires_api_key {
            return Identity::Anonymous;
        }
        match key.and_then(|k| self.by_api_key.get(k)) {
            Some(org) => Identity::Organisation(Rc::clone(org)),
            None if route.is_public => Identity::Anonymous,
            None => Identity::Unauthenticated,
        }
    }
}

/// Picks a target with probability proportional to its weight; `draw` is uniformly
/// distributed over 0 to 1.
pub(crate) fn pick_target(targets: &[Target], draw: f64) -> Option<&Target> {
    let mut weighted = targets.iter().filter(|t| t.weight > 0.0);
    let total: f64 = weighted.clone().map(|t| t.weight).sum();
    let mut remaining = draw * total;
    for target in weighted.clone() {
        remaining -= target.weight;
        if remaining < 0.0 {
            return Some(target);
        }
    }
    weighted.next_back()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{configuration, organisation, route};

    #[test]
    fn the_longest_prefix_of_the_host_wins() {
        let table = RouteTable::new(&configuration(vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ]));
        let name = |host, path| table.route(host, path).map(|r| r.name.clone());
        assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
        assert_eq!(name("A.example:8080", "/x/q").as_deref(), Some("short"));
        assert_eq!(name("a.example", "/x"), None);
        assert_eq!(name("c.example", "/x/y/"), None);
    }

    #[test]
    fn a_key_identifies_its_organisation_and_public_routes_need_no_key() {
        let mut open = route("open", "a.example", "/open/");
        open.is_public = true;
        let closed = route("closed", "a.example", "/closed/");
        let mut config = configuration(vec![open.clone(), closed.clone()]);
        config.organisations = vec![organisation("growers", "k1")];
        let table = RouteTable::new(&config);
        let growers = Identity::Organisation(Rc::new(config.organisations[0].clone()));
        assert_eq!(table.identify(&closed, Some("k1")), growers);
        assert_eq!(table.identify(&closed, Some("k2")), Identity::Unauthenticated);
        assert_eq!(table.identify(&closed, None), Identity::Unauthenticated);
        assert_eq!(table.identify(&open, None), Identity::Anonymous);
    }

    #[test]
    fn targets_are_picked_by_weight() {
        let target = |pool: &str, weight| Target { pool: pool.to_owned(), weight };
        let targets = [target("a", 90.0), target("b", 0.0), target("c", 10.0)];
        let pool = |draw| pick_target(&targets, draw).map(|t| t.pool.clone());
        assert_eq!(pool(0.0).as_deref(), Some("a"));
        assert_eq!(pool(0.899).as_deref(), Some("a"));
        assert_eq!(pool(0.9).as_deref(), Some("c"));
        assert_eq!(pool(1.0).as_deref(), Some("c"));
        assert_eq!(pick_target(&[], 0.5), None);
    }

    /// Guards against fractions that are rounded to no weight at all (CONFIG, more-split).
    #[test]
    fn targets_are_picked_by_fractions() {
        let target = |pool: &str, weight| Target { pool: pool.to_owned(), weight };
        for (weights, at_half) in [([0.4, 0.35, 0.25], "b"), ([0.9, 0.1, 0.0], "a")] {
            let pools = ["a", "b", "c"].into_iter().zip(weights);
            let targets: Vec<Target> = pools.map(|(pool, weight)| target(pool, weight)).collect();
            let count = |pool: &str| {
                let draws = (0..1_000).map(|i| f64::from(i) / 1_000.0);
                draws.filter(|d| pick_target(&targets, *d).is_some_and(|t| t.pool == pool)).count()
            };
            for (pool, weight) in ["a", "b", "c"].into_iter().zip(weights) {
                assert!(count(pool).abs_diff((weight * 1_000.0) as usize) <= 1, "{pool}");
            }
            assert_eq!(pick_target(&targets, 0.5).map(|t| t.pool.as_str()), Some(at_half));
        }
    }
}
