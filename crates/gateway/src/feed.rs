//! The port through which an instance learns what the platform says.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_members::SharedKey;
use baobabvane_tasks::Mailbox;
use monoio::time::{Instant, sleep};

use crate::{
    configuration::{Configuration, DiscoveredEndpoint},
    directory::EndpointList,
    knowledge::Knowledge,
    peer::ToPeers,
    retry::RetryBudget,
    scheduler::SchedulerMessage,
};

/// The part of a bound that a wait for news may take; the rest is for the way to
/// the other instances.
const WAIT_SHARE: f64 = 0.5;
/// Waits are drawn from this part of the longest one on, so that instances do not
/// ask all at the same time.
const MIN_WAIT_SHARE: f64 = 0.5;
/// Instances that ask within the bound; the others learn from them. Two, so that
/// news are not late when one of them fails.
const WATCHERS: u32 = 2;
/// How often an instance that does not ask looks whether it has to.
const LISTEN: Duration = Duration::from_millis(50);
/// Instances that have to ask after all do not all begin at once; this fits between
/// heartbeats that tell that one of them has.
const TAKE_OVER: Duration = Duration::from_millis(200);
/// The word of others counts for this many bounds.
const TRUSTED_BOUNDS: u32 = 2;
/// In a fleet of this size, an instance whose call failed waits as long as if it were
/// alone; in larger ones longer, so that the store is not asked more often.
const ASKING_TOGETHER: f64 = 8.0;

/// The port through which an adapter tells an instance what the platform says.
///
/// Nothing here waits; what is told is in force for the next request.
#[derive(Clone)]
pub struct Feed {
    pub(crate) knowledge: Rc<Knowledge>,
    pub(crate) scheduler: Mailbox<SchedulerMessage>,
    pub(crate) peers: Mailbox<ToPeers>,
}

impl Feed {
    /// The operators put a configuration in force.
    pub fn configured(&self, configuration: Configuration) {
        self.knowledge.configure(configuration, "store");
    }

    /// The source of the configuration has nothing newer than what it said before.
    pub fn configuration_confirmed(&self) {
        let now = Some(Instant::now());
        self.knowledge.confirmed_at.set(now);
        self.knowledge.reached.configuration.set(now);
    }

    /// This instance does not reach the store any more; others are told at once, so that
    /// they ask in its place.
    pub fn store_lost(&self) {
        self.knowledge.reached.lose();
    }

    /// Discovery lists an endpoint, or its entry changed.
    pub fn endpoint_seen(&self, sighting: DiscoveredEndpoint) {
        self.scheduler.send(SchedulerMessage::UpsertEndpoint(sighting));
    }

    /// Discovery does not list an endpoint any more.
    pub fn endpoint_gone(&self, id: &str) {
        self.scheduler.send(SchedulerMessage::RemoveEndpoint(id.to_owned()));
    }

    /// Discovery lists these endpoints and no others; `version` is how far it was read.
    pub fn endpoints_listed(&self, endpoints: Vec<DiscoveredEndpoint>, version: u64) {
        self.knowledge.list(EndpointList { endpoints, pending_removals: Vec::new() }, version);
    }

    /// Discovery was read so far.
    pub fn endpoints_read(&self, version: u64) {
        self.knowledge.read_up_to(version);
    }

    /// How far discovery was read, by this instance or by the peer that it learned from.
    pub fn endpoints_version(&self) -> u64 {
        self.knowledge.endpoints_version.get()
    }

    /// Discovery cannot be asked; what is known stays in force.
    ///
    /// Entries can have lapsed only when no instance reached the store for long enough.
    pub fn discovery_lost(&self) {
        if !self.knowledge.is_confirmed_within(self.knowledge.lapse) {
            self.scheduler.send(SchedulerMessage::DiscoveryUnreachable);
        }
    }

    /// Discovery answered.
    pub fn discovery_answers(&self) {
        self.knowledge.reached.endpoints.set(Some(Instant::now()));
        self.scheduler.send(SchedulerMessage::DiscoveryReachable);
    }

    /// Draws how long a read of the store may wait for news, so that the fleet learns
    /// of them within `bound`.
    ///
    /// A store may not wake a read that waits, and a connection may fall silent.
    pub fn wait_for_news(&self, bound: Duration) -> Duration {
        bound.mul_f64(WAIT_SHARE * rand::random_range(MIN_WAIT_SHARE..1.0))
    }

    /// Resolves when this instance has to ask the store.
    ///
    /// A few instances that reach it watch it; the others learn from them, as long as
    /// these say within some bounds that they have the newest.
    pub async fn has_to_ask(&self, bound: Duration) {
        if self.must_ask(bound) {
            return;
        }
        loop {
            sleep(LISTEN).await;
            if self.must_ask(bound) {
                sleep(TAKE_OVER.mul_f64(rand::random())).await;
                if self.must_ask(bound) {
                    return;
                }
            }
        }
    }

    /// Draws how long to wait after a call that failed, by the pause of an instance
    /// that is alone.
    pub fn pause_after_failure(&self, alone: Duration) -> Duration {
        let together = f64::from(self.knowledge.heard.get()) / ASKING_TOGETHER;
        alone.mul_f64(together.max(1.0) * rand::random_range(0.5..1.5))
    }

    fn must_ask(&self, bound: Duration) -> bool {
        let is_watcher = self.knowledge.rank.get() < WATCHERS;
        is_watcher || !self.knowledge.is_confirmed_within(bound * TRUSTED_BOUNDS)
    }

    /// Other instances may be at these addresses.
    pub fn peers_known(&self, peers: Vec<SocketAddr>) {
        self.peers.send(ToPeers::Known(peers));
    }

    /// These are all instances that ever registered.
    pub fn peers_registered(&self, peers: Vec<SocketAddr>) {
        self.peers.send(ToPeers::Registered(peers));
    }

    /// The secret that all instances of the fleet share.
    pub fn fleet_secret(&self, secret: &str) {
        self.peers.send(ToPeers::Key(SharedKey::new(secret)));
    }

    /// The fleet's budget of repeats for each pool.
    pub fn retry_budget(&self, budget: RetryBudget) {
        self.scheduler.send(SchedulerMessage::SetRetryBudget(budget));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_instance_reaches_the_store_when_it_reads_all_topics() {
        let (scheduler, _scheduler_rx) = Mailbox::new();
        let (peers, _peers_rx) = Mailbox::new();
        let knowledge = Rc::new(Knowledge::new(scheduler.clone(), Duration::from_secs(4)));
        let feed = Feed { knowledge: Rc::clone(&knowledge), scheduler, peers };
        feed.configuration_confirmed();
        assert_eq!(knowledge.reached_age_ms(), None);
        feed.discovery_answers();
        assert!(knowledge.reached_age_ms().is_some());
        // After an outage one topic can be back long before the other.
        feed.store_lost();
        feed.configuration_confirmed();
        assert_eq!(knowledge.reached_age_ms(), None);
    }
}
