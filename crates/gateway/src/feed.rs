//! The port through which an instance learns what the platform says.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_members::SharedKey;
use baobabvane_tasks::Mailbox;
use monoio::time::{Instant, sleep};

use crate::{
    configuration::{Configuration, Sighting},
    directory::EndpointList,
    knowledge::Knowledge,
    peer::ToPeers,
    retry::RetryBudget,
    scheduler::ToScheduler,
};

/// The part of a bound that a wait for news may take; the rest is for the way to
/// the other instances.
const MAX_LONG_POLL_SHARE: f64 = 0.5;
/// Waits are drawn from this part of the longest one on, so that instances do not
/// ask all at the same time.
const MIN_LONG_POLL_SHARE: f64 = 0.5;
/// Instances that ask within the bound; the others learn from them. Two, so that
/// news are not late when one of them fails.
const WATCHER_COUNT: u32 = 2;
/// How often an instance that does not ask looks whether it has to.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Instances that have to ask after all do not all begin at once; this fits between
/// heartbeats that tell that one of them has.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(200);
/// The word of others counts for this many bounds.
const MAX_PEER_CONFIRMATION_BOUNDS: u32 = 2;
/// In a fleet of this size, an instance whose call failed waits as long as if it were
/// alone; in larger ones longer, so that the store is not asked more often.
const FLEET_SIZE_PER_RETRY_DELAY: f64 = 8.0;

/// The port through which an adapter tells an instance what the platform says.
///
/// Nothing here waits; what is told is in force for the next request.
#[derive(Clone)]
pub struct Feed {
    pub(crate) knowledge: Rc<Knowledge>,
    pub(crate) scheduler: Mailbox<ToScheduler>,
    pub(crate) peers: Mailbox<ToPeers>,
}

impl Feed {
    /// The operators put a configuration in force.
    pub fn configuration_changed(&self, configuration: Configuration) {
        self.knowledge.apply_configuration(configuration, "store");
    }

    /// The source of the configuration has nothing newer than what it said before.
    pub fn configuration_confirmed(&self) {
        let now = Some(Instant::now());
        self.knowledge.configuration_confirmed_at.set(now);
        self.knowledge.store_reads.configuration.set(now);
    }

    /// This instance does not reach the store any more; others are told at once, so that
    /// they ask in its place.
    pub fn store_lost(&self) {
        self.knowledge.store_reads.clear();
    }

    /// Discovery lists an endpoint, or its entry changed.
    pub fn endpoint_updated(&self, sighting: Sighting) {
        self.scheduler.send(ToScheduler::Seen(sighting));
    }

    /// Discovery does not list an endpoint any more.
    pub fn endpoint_removed(&self, id: &str) {
        self.scheduler.send(ToScheduler::Gone(id.to_owned()));
    }

    /// Discovery lists these endpoints and no others; `version` is how far it was read.
    pub fn endpoints_listed(&self, endpoints: Vec<Sighting>, version: u64) {
        self.knowledge.replace_endpoints(EndpointList { endpoints, held: Vec::new() }, version);
    }

    /// Discovery was read so far.
    pub fn endpoints_read_up_to(&self, version: u64) {
        self.knowledge.advance_endpoints_version(version);
    }

    /// How far discovery was read, by this instance or by the peer that it learned from.
    pub fn endpoints_version(&self) -> u64 {
        self.knowledge.endpoints_version.get()
    }

    /// Discovery cannot be asked; what is known stays in force.
    ///
    /// Entries can have lapsed only when no instance reached the store for long enough.
    pub fn discovery_lost(&self) {
        if !self.knowledge.is_confirmed_within(self.knowledge.endpoint_expiry) {
            self.scheduler.send(ToScheduler::SourceLost);
        }
    }

    /// Discovery answered.
    pub fn discovery_answered(&self) {
        self.knowledge.store_reads.endpoints.set(Some(Instant::now()));
        self.scheduler.send(ToScheduler::SourceAnswers);
    }

    /// Draws how long a read of the store may wait for news, so that the fleet learns
    /// of them within `bound`.
    ///
    /// A store may not wake a read that waits, and a connection may fall silent.
    pub fn draw_long_poll_timeout(&self, bound: Duration) -> Duration {
        bound.mul_f64(MAX_LONG_POLL_SHARE * rand::random_range(MIN_LONG_POLL_SHARE..1.0))
    }

    /// Resolves when this instance has to ask the store.
    ///
    /// A few instances that reach it watch it; the others learn from them, as long as
    /// these say within some bounds that they have the newest.
    pub async fn until_must_poll(&self, bound: Duration) {
        if self.must_poll(bound) {
            return;
        }
        loop {
            sleep(WATCHER_CHECK_INTERVAL).await;
            if self.must_poll(bound) {
                sleep(MAX_TAKEOVER_DELAY.mul_f64(rand::random())).await;
                if self.must_poll(bound) {
                    return;
                }
            }
        }
    }

    /// Draws how long to wait after a call that failed, by the pause of an instance
    /// that is alone.
    pub fn draw_retry_delay(&self, single_instance_delay: Duration) -> Duration {
        let delay_factor =
            f64::from(self.knowledge.live_instances.get()) / FLEET_SIZE_PER_RETRY_DELAY;
        single_instance_delay.mul_f64(delay_factor.max(1.0) * rand::random_range(0.5..1.5))
    }

    fn must_poll(&self, bound: Duration) -> bool {
        let is_watcher = self.knowledge.watcher_rank.get() < WATCHER_COUNT;
        is_watcher || !self.knowledge.is_confirmed_within(bound * MAX_PEER_CONFIRMATION_BOUNDS)
    }

    /// Other instances may be at these addresses.
    pub fn add_seed_peers(&self, peers: Vec<SocketAddr>) {
        self.peers.send(ToPeers::Seeds(peers));
    }

    /// These are all instances that ever registered.
    pub fn peers_registered(&self, peers: Vec<SocketAddr>) {
        self.peers.send(ToPeers::Registered(peers));
    }

    /// The secret that all instances of the fleet share.
    pub fn set_fleet_secret(&self, secret: &str) {
        self.peers.send(ToPeers::FleetKey(SharedKey::new(secret)));
    }

    /// The fleet's budget of repeats for each pool.
    pub fn set_retry_budget(&self, budget: RetryBudget) {
        self.scheduler.send(ToScheduler::Budget(budget));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn store_read_age_is_known_only_after_all_topics_were_read() {
        let (scheduler, _scheduler_rx) = Mailbox::new();
        let (peers, _peers_rx) = Mailbox::new();
        let knowledge = Rc::new(Knowledge::new(scheduler.clone(), Duration::from_secs(4)));
        let feed = Feed { knowledge: Rc::clone(&knowledge), scheduler, peers };
        feed.configuration_confirmed();
        assert_eq!(knowledge.store_read_age_ms(), None);
        feed.discovery_answered();
        assert!(knowledge.store_read_age_ms().is_some());
        // After an outage one topic can be back long before the other.
        feed.store_lost();
        feed.configuration_confirmed();
        assert_eq!(knowledge.store_read_age_ms(), None);
    }
}
