//! The interface through which a platform adapter passes configuration and discovery data to
//! an instance.
//!
//! It also decides which instances poll the store, so that the load on the store does not grow
//! with the fleet and every change reaches all instances within a time bound.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_members::SharedKey;
use baobabvane_rollout::{Order as RolloutOrder, Settings as RolloutSettings};
use baobabvane_tasks::Mailbox;
use monoio::time::{Instant, sleep};

use crate::{
    configuration::{Configuration, DiscoveredEndpoint},
    directory::EndpointList,
    knowledge::Knowledge,
    peer::PeersMessage,
    position::LogPosition,
    quota::QuotaTolerance,
    retry::RetryBudget,
    rollouts::{OrderState, RolloutMessage, RolloutStatus},
    scheduler::{BlockedPart, SchedulerMessage},
};

/// The longest long poll, as a share of the propagation bound, where the bound leaves time for the
/// other instances, and where it does not.
const MAX_LONG_POLL_SHARE: f64 = 0.5;
const SHORT_LONG_POLL_SHARE: f64 = 0.35;
/// The time in which a change reaches all instances after an overdue answer of the store: heartbeats,
/// the start of another instance's polls, and a fetch from a peer.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_350);
/// The share of the propagation bound by which an answer of the store may be late before another
/// instance polls as well.
const OVERDUE_SHARE: f64 = 0.15;
/// The shortest long poll, as a share of the longest one. Timeouts are drawn at random so that
/// instances do not poll at the same time.
const MIN_LONG_POLL_SHARE: f64 = 0.5;
/// The number of instances that poll the store for the whole fleet. There are two so that
/// changes are not delayed when one of them fails.
const WATCHER_COUNT: u32 = 2;
/// How often an instance that does not poll checks whether it has to.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum random delay before an instance takes over polling, so that not all instances
/// begin at once: heartbeats of those that begin first tell the rest that they need not poll.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(200);
/// The age, in propagation bounds, up to which an instance that does not poll relies on the last
/// confirmation of its configuration.
const MAX_CONFIRMATION_AGE_IN_BOUNDS: u32 = 2;
/// The share of the propagation bound after which an instance that a peer cannot bring up to date
/// reads the store itself.
const MAX_BEHIND_SHARE: f64 = 0.4;
/// How often a watcher checks for prompt parts that it has to keep in the store.
const BLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often an instance checks whether the store has come back from an older copy.
const RESTORE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often an instance checks whether the statuses of rollouts have to be read or written.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The fleet size up to which the retry delay equals that of a single instance. In larger
/// fleets the delay grows in proportion, so that the rate of calls to the store does not.
const RETRY_DELAY_BASE_FLEET_SIZE: f64 = 8.0;

/// The interface through which a platform adapter passes configuration and discovery data to
/// an instance.
///
/// Updates return without waiting and apply from the next request on.
#[derive(Clone)]
pub struct Feed {
    pub(crate) knowledge: Rc<Knowledge>,
    pub(crate) scheduler: Mailbox<SchedulerMessage>,
    pub(crate) peers: Mailbox<PeersMessage>,
}

impl Feed {
    /// Applies a configuration from the operators if it is newer than the one in force.
    pub fn configuration_changed(&self, configuration: Configuration) {
        self.knowledge.apply_configuration(configuration, "store");
    }

    /// Returns the version of the configuration in force, from the store or from a peer; 0 before the
    /// first one.
    pub fn configuration_version(&self) -> u64 {
        self.knowledge.versions().configuration
    }

    /// Records that the store holds no newer configuration than the one passed last.
    pub fn configuration_confirmed(&self) {
        let now = Some(Instant::now());
        self.knowledge.configuration_confirmed_at.set(now);
        self.knowledge.store_reads.configuration.set(now);
    }

    /// Records that this instance cannot reach the store. The next heartbeat reports it, so that
    /// another instance polls in its place.
    pub fn store_lost(&self) {
        self.knowledge.store_reads.clear();
    }

    /// Records that discovery added an endpoint or changed its entry.
    pub fn endpoint_updated(&self, endpoint: DiscoveredEndpoint) {
        self.scheduler.send(SchedulerMessage::UpsertEndpoint(endpoint));
    }

    /// Records that discovery removed the endpoint `id`.
    pub fn endpoint_removed(&self, id: &str) {
        self.scheduler.send(SchedulerMessage::RemoveEndpoint(id.to_owned()));
    }

    /// Replaces the endpoint list; `version` is the position up to which the discovery topic was
    /// read.
    pub fn endpoints_listed(&self, endpoints: Vec<DiscoveredEndpoint>, version: LogPosition) {
        self.knowledge
            .replace_endpoints(EndpointList { endpoints, pending_removals: Vec::new() }, version);
    }

    /// Records the position up to which the discovery topic was read; an earlier one than before is
    /// ignored.
    pub fn endpoints_read_up_to(&self, version: LogPosition) {
        self.knowledge.advance_endpoints_version(version);
    }

    /// Returns the position up to which the discovery topic was read, by this instance or by the
    /// peer from which it fetched the list.
    pub fn endpoints_version(&self) -> LogPosition {
        self.knowledge.endpoints_version.get()
    }

    /// Waits until the store is known to have begun an era after `era`; what the instances had
    /// written since its copy was made is then gone.
    ///
    /// A random time passes before it returns, so that a large fleet does not call the store at
    /// once.
    pub async fn until_store_restored_after(&self, era: u64) {
        while self.endpoints_version().era <= era {
            sleep(RESTORE_CHECK_INTERVAL).await;
        }
        sleep(self.draw_retry_delay(RESTORE_CHECK_INTERVAL)).await;
    }

    /// Records that discovery is unreachable; the known endpoints stay in use.
    ///
    /// The call has no effect if the configuration was confirmed within the endpoint expiry: some
    /// instance then reached the store, and an outage makes endpoint entries expire only if no
    /// instance reaches the store.
    pub fn discovery_lost(&self) {
        if !self.knowledge.is_confirmed_within(self.knowledge.endpoint_expiry) {
            self.scheduler.send(SchedulerMessage::DiscoveryUnreachable);
        }
    }

    /// Records a successful read of discovery.
    pub fn discovery_answered(&self) {
        self.knowledge.store_reads.endpoints.set(Some(Instant::now()));
        self.scheduler.send(SchedulerMessage::DiscoveryReachable);
    }

    /// Returns a random timeout for a long poll of the store, a share of `propagation_bound`, so that
    /// changes of the polled topic reach the fleet within `propagation_bound`.
    ///
    /// The timeout is needed because a store may fail to wake a waiting read and a connection may
    /// hang without an error.
    pub fn draw_long_poll_timeout(&self, propagation_bound: Duration) -> Duration {
        let longest =
            propagation_bound.mul_f64(1.0 - OVERDUE_SHARE).saturating_sub(TAKEOVER_TIME).clamp(
                propagation_bound.mul_f64(SHORT_LONG_POLL_SHARE),
                propagation_bound.mul_f64(MAX_LONG_POLL_SHARE),
            );
        longest.mul_f64(rand::random_range(MIN_LONG_POLL_SHARE..1.0))
    }

    /// Awaits a read of the store, for which the store may wait up to `max_wait`.
    ///
    /// If the answer is overdue, other instances learn that this one may not reach the store, so that
    /// one of them polls in its place, and the read goes on.
    pub async fn read<T>(
        &self,
        propagation_bound: Duration,
        max_wait: Duration,
        read: impl Future<Output = T>,
    ) -> T {
        let mut read = std::pin::pin!(read);
        let overdue_after = max_wait + propagation_bound.mul_f64(OVERDUE_SHARE);
        monoio::select! {
            result = &mut read => return result,
            () = sleep(overdue_after) => {}
        }
        log::info!("event=store_overdue ms={}", overdue_after.as_millis());
        self.store_lost();
        read.await
    }

    /// Waits until this instance has to poll the store.
    ///
    /// Only a few instances that reach the store poll it, the watchers. The others learn of newer
    /// versions from heartbeats, fetch them from peers, and poll only when peers are too slow with
    /// that, or when the configuration has not been confirmed for twice `propagation_bound`.
    pub async fn until_must_poll(&self, propagation_bound: Duration) {
        if self.must_poll(propagation_bound) {
            return;
        }
        loop {
            sleep(WATCHER_CHECK_INTERVAL).await;
            if self.must_poll(propagation_bound) {
                sleep(MAX_TAKEOVER_DELAY.mul_f64(rand::random())).await;
                if self.must_poll(propagation_bound) {
                    log::info!(
                        "event=store_polling_begun watchers_before={} confirmed_age_ms={:?}",
                        self.knowledge.watcher_rank.get(),
                        self.knowledge.configuration_confirmed_age_ms()
                    );
                    return;
                }
            }
        }
    }

    /// Returns a random delay before a failed call is retried. It is between half and one and a
    /// half times `single_instance_delay`, and proportionally longer in large fleets.
    pub fn draw_retry_delay(&self, single_instance_delay: Duration) -> Duration {
        let delay_factor =
            f64::from(self.knowledge.live_instances.get()) / RETRY_DELAY_BASE_FLEET_SIZE;
        single_instance_delay.mul_f64(delay_factor.max(1.0) * rand::random_range(0.5..1.5))
    }

    /// Blocks prompt parts that were found to crash endpoints before this instance began.
    pub fn restore_blocked_parts(&self, blocked: Vec<BlockedPart>) {
        self.scheduler.send(SchedulerMessage::RestoreBlockedParts(blocked));
    }

    /// Waits until prompt parts are blocked that are not in `kept` and that this instance has to
    /// keep in the store for instances that begin to run, and returns them.
    pub async fn next_blocked_parts(&self, kept: &[u32]) -> Vec<BlockedPart> {
        loop {
            sleep(BLOCK_CHECK_INTERVAL).await;
            if self.knowledge.watcher_rank.get() >= WATCHER_COUNT {
                continue;
            }
            let blocked = self.scheduler.ask(SchedulerMessage::ListBlockedParts).await;
            let mut new = blocked.unwrap_or_default();
            new.retain(|block| !kept.contains(&block.part));
            if !new.is_empty() {
                return new;
            }
        }
    }

    fn must_poll(&self, propagation_bound: Duration) -> bool {
        let is_watcher = self.knowledge.watcher_rank.get() < WATCHER_COUNT;
        let behind_since = self.knowledge.behind_since.get();
        let is_behind = behind_since
            .is_some_and(|at| at.elapsed() > propagation_bound.mul_f64(MAX_BEHIND_SHARE));
        is_watcher
            || is_behind
            || !self
                .knowledge
                .is_confirmed_within(propagation_bound * MAX_CONFIRMATION_AGE_IN_BOUNDS)
    }

    /// Adds addresses at which other instances may be listening.
    pub fn add_seed_peers(&self, peers: Vec<SocketAddr>) {
        self.peers.send(PeersMessage::Seeds(peers));
    }

    /// Adds the addresses of all instances that ever registered in the store, which ends the
    /// assumption of a minimum fleet size.
    pub fn peers_registered(&self, peers: Vec<SocketAddr>) {
        self.peers.send(PeersMessage::Registered(peers));
    }

    /// Sets the secret from which the fleet's key is derived; peers are not contacted before.
    pub fn set_fleet_secret(&self, secret: &str) {
        self.peers.send(PeersMessage::FleetKey(SharedKey::new(secret)));
    }

    /// Sets the fleet's retry budget; each pool has its own budget of this size.
    pub fn set_retry_budget(&self, budget: RetryBudget) {
        self.scheduler.send(SchedulerMessage::SetRetryBudget(budget));
    }

    /// Sets how far the use of organisations may exceed their quotas.
    pub fn set_quota_tolerance(&self, tolerance: QuotaTolerance) {
        self.scheduler.send(SchedulerMessage::SetQuotaTolerance(tolerance));
    }

    /// Enables rollouts. Without this call, versions of endpoints are ignored.
    pub fn set_rollout_settings(&self, settings: RolloutSettings) {
        self.scheduler.send(SchedulerMessage::Rollout(RolloutMessage::Configure(settings)));
    }

    /// Replaces the orders of rollouts by those that the store has. They may be old, so that their
    /// statuses are read, too. `end` is the position up to which the topic was read.
    pub fn rollouts_listed(&self, orders: Vec<RolloutOrder>, end: LogPosition) {
        let known = self.knowledge.versions().orders;
        if end < known {
            return;
        }
        let newest = orders.iter().map(|order| order.offset + 1).max().unwrap_or_default();
        let mut version = LogPosition { era: end.era, offset: newest };
        if version.era == known.era {
            version = version.max(known);
        }
        if !orders.is_empty() {
            self.knowledge.await_statuses();
        }
        let orders = orders.into_iter().map(|order| OrderState::from_store(order, false));
        self.knowledge.replace_orders(orders.collect(), version);
    }

    /// Records that an order was written in this era of the store: now if `was_seen_written`, or at an
    /// unknown time before.
    pub fn rollout_ordered(&self, order: RolloutOrder, era: u64, was_seen_written: bool) {
        let version = LogPosition { era, offset: order.offset + 1 };
        let message = RolloutMessage::Order(OrderState::from_store(order, was_seen_written));
        self.knowledge.apply_order(message, version);
    }

    /// Records that the order of a service was removed by a record before `version`.
    pub fn rollout_removed(&self, service: &str, version: LogPosition) {
        let message = RolloutMessage::RemoveOrder(service.to_owned());
        self.knowledge.apply_order(message, version);
    }

    /// Waits until the statuses of rollouts in the store have to be read.
    pub async fn until_statuses_needed(&self) {
        loop {
            // Without an order, there is nothing to ask for.
            if self.knowledge.versions().orders.offset > 0 {
                let needs = |reply| SchedulerMessage::Rollout(RolloutMessage::NeedsStatuses(reply));
                if self.scheduler.ask(needs).await == Some(true) {
                    return;
                }
                self.knowledge.statuses_known();
            }
            sleep(STATUS_CHECK_INTERVAL).await;
        }
    }

    /// Records the statuses that the store has, and returns those that this instance has to write
    /// if the store has no others by then.
    pub async fn statuses_read(&self, statuses: Vec<RolloutStatus>) -> Vec<RolloutStatus> {
        let read = |reply| SchedulerMessage::Rollout(RolloutMessage::StatusesRead(statuses, reply));
        let due = self.scheduler.ask(read).await.unwrap_or_default();
        self.knowledge.statuses_known();
        due
    }

    /// Records that the store has taken a status.
    pub fn status_written(&self, status: RolloutStatus) {
        self.scheduler.send(SchedulerMessage::Rollout(RolloutMessage::StatusWritten(status)));
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
        // After an outage of the store, the configuration can become readable long before the
        // discovery data, so one successful read must not make the age known.
        feed.store_lost();
        feed.configuration_confirmed();
        assert_eq!(knowledge.store_read_age_ms(), None);
    }

    /// Guards against an instance that waits for peers that cannot send it the configuration.
    #[test]
    fn an_instance_that_stays_behind_polls_the_store_itself() {
        let (scheduler, _scheduler_rx) = Mailbox::new();
        let (peers, _peers_rx) = Mailbox::new();
        let knowledge = Rc::new(Knowledge::new(scheduler.clone(), Duration::from_secs(4)));
        let feed = Feed { knowledge: Rc::clone(&knowledge), scheduler, peers };
        let bound = Duration::from_secs(10);
        feed.configuration_confirmed();
        knowledge.watcher_rank.set(WATCHER_COUNT);
        knowledge.behind_since.set(Some(Instant::now()));
        assert!(!feed.must_poll(bound));
        knowledge.behind_since.set(Instant::now().checked_sub(bound / 2));
        assert!(feed.must_poll(bound));
        knowledge.behind_since.set(None);
        assert!(!feed.must_poll(bound));
    }
}
