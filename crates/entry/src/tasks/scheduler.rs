//! Grants endpoints to requests, by a decision core of this instance or by asking the instance
//! that schedules the pool.
//!
//! Each pool is scheduled by one instance of its zone, which has one [`Core`] for each pool. A
//! caller's request stays on the instance that accepted it; only its descriptor is sent. When the
//! scheduling instance fails or changes, the requesting instances offer their waiting requests to
//! the next one and report the requests that are already at endpoints, so that their slots are
//! counted. See [scheduling](../../../../docs/scheduling.md).

mod configure;
mod endpoints;
mod grant;
mod held;
mod peers;
mod remote;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use baobabvane_decide::{
    Action, Choice, Core, Counts, Ending, Event, FailedAt, Policy, Refusal, Ticket, TierPolicy, Why,
};
use baobabvane_members::{Roster, SharedKey};
use baobabvane_tasks::Mailbox;
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::timeout;
use serde::Serialize;

pub(crate) use self::grant::{Grant, Offer, OfferReply, request_grant};
use self::{
    endpoints::Endpoints,
    held::{HeldRequest, HeldRequests, PoolKey, Requester, SchedulerLocation},
    peers::Peers,
};
use crate::{
    clock::MonotonicClock,
    peer::{ConnId, PeerOffer, PeerReply, PeerRequest},
    view::View,
};

/// The cores receive `Event::Tick` after this time without a message.
const TICK: Duration = Duration::from_millis(50);
/// Tokens in one block of a prompt; prefixes are matched in whole blocks.
pub(crate) const BLOCK_TOKENS: u32 = 256;
/// How many requests a core may spill to other zones between two offers. Each offer sets the
/// core's remaining number to this, or to 0 if the offered request cannot be spilled.
const SPILL_ROOM_REQUESTS: u32 = 4;

pub(crate) enum ToScheduler {
    Offer(Offer),
    Withdraw(Ticket),
    FirstToken(Ticket),
    End(Ticket, Ending),
    Configure(Rc<View>),
    Status(oneshot::Sender<Vec<PoolStatus>>),
    Roster(Rc<Roster>),
    PeerReply(String, PeerReply),
    PeerDown(String),
    PeerRequest(ConnId, PeerRequest),
    /// Another instance has opened a connection to this one.
    ConnectionOpened(ConnId, Mailbox<PeerReply>),
    ConnectionClosed(ConnId),
}

/// The state of a pool, as the operators' interface reports it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PoolStatus {
    pub(crate) zone: String,
    pub(crate) pool: String,
    /// The name of the instance that schedules the pool.
    pub(crate) scheduler: String,
    pub(crate) endpoints: usize,
    /// Counts of this instance's own core, without requests that other instances schedule.
    pub(crate) counts: Counts,
}

/// The instance on which the scheduler runs.
pub(crate) struct Identity {
    pub(crate) name: String,
    pub(crate) zone: String,
    /// Authenticates connections between instances; `None` if this instance accepts none.
    pub(crate) peer_key: Option<SharedKey>,
}

struct Scheduler {
    name: String,
    zone: String,
    clock: MonotonicClock,
    mailbox: Mailbox<ToScheduler>,
    tiers: Vec<TierPolicy>,
    cores: BTreeMap<PoolKey, Core>,
    endpoints: Endpoints,
    held: HeldRequests,
    peers: Peers,
}

/// Starts the task; `connect_timeout` applies to connections to endpoints.
pub(crate) fn spawn(identity: Identity, connect_timeout: Duration) -> Mailbox<ToScheduler> {
    let (mailbox, rx) = Mailbox::new();
    let scheduler = Scheduler {
        peers: Peers::new(identity.name.clone(), identity.peer_key),
        name: identity.name,
        zone: identity.zone,
        clock: MonotonicClock::start(),
        mailbox: mailbox.clone(),
        tiers: Vec::new(),
        cores: BTreeMap::new(),
        endpoints: Endpoints::new(connect_timeout),
        held: HeldRequests::default(),
    };
    monoio::spawn(scheduler.run(rx));
    mailbox
}

impl Scheduler {
    async fn run(mut self, mut rx: unbounded::Rx<ToScheduler>) {
        loop {
            match timeout(TICK, rx.recv()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(_) => self.tick(),
            }
        }
    }

    fn handle_message(&mut self, message: ToScheduler) {
        match message {
            ToScheduler::Offer(offer) => self.offer(offer),
            ToScheduler::Withdraw(ticket) => self.withdraw(ticket),
            ToScheduler::FirstToken(ticket) => self.first_token(ticket),
            ToScheduler::End(ticket, ending) => self.end(ticket, ending),
            ToScheduler::Configure(view) => self.configure(&view.catalog),
            ToScheduler::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ToScheduler::Roster(roster) => {
                self.peers.set_roster(roster);
                self.resubmit_moved_requests();
            }
            ToScheduler::PeerReply(name, reply) => self.handle_peer_reply(&name, reply),
            ToScheduler::PeerDown(name) => self.handle_peer_down(&name),
            ToScheduler::PeerRequest(conn, request) => self.handle_peer_request(conn, request),
            ToScheduler::ConnectionOpened(conn, mailbox) => {
                self.peers.add_connection(conn, mailbox)
            }
            ToScheduler::ConnectionClosed(conn) => self.handle_connection_closed(conn),
        }
    }

    fn offer(&mut self, offer: Offer) {
        let Offer { ticket, pool, mut descriptor, failed_at, patience, reply } = offer;
        descriptor.deadline = self.clock.now_ms() + patience.as_secs_f64() * 1000.0;
        let held = HeldRequest {
            pool: self.select_pool(pool),
            descriptor,
            failed_at,
            location: SchedulerLocation::Local,
            requester: Requester::Caller(Some(reply)),
            endpoint: None,
            is_spilled: false,
        };
        self.held.insert(ticket, held);
        self.submit(ticket);
    }

    /// Returns the pool in this zone, or the same pool in another zone if only that one has
    /// available endpoints.
    fn select_pool(&self, pool: String) -> PoolKey {
        let local = PoolKey { pool, zone: self.zone.clone() };
        if self.endpoints.has_available(&local) {
            return local;
        }
        self.pool_in_other_zone(&local).unwrap_or(local)
    }

    /// Returns the same pool in another zone that has available endpoints and did not recently
    /// refuse a spilled request.
    fn pool_in_other_zone(&self, pool: &PoolKey) -> Option<PoolKey> {
        let now_ms = self.clock.now_ms();
        self.endpoints.other_zones(pool).into_iter().find(|p| self.peers.can_spill_to(p, now_ms))
    }

    /// Sends a request to the scheduler of its pool: offers it if it is waiting, or reports it as
    /// in progress if it was already granted an endpoint.
    fn submit(&mut self, ticket: Ticket) {
        let now_ms = self.clock.now_ms();
        let Some(held) = self.held.get_mut(ticket) else { return };
        held.location = match held.requester {
            Requester::Caller(_) => self.peers.locate_scheduler(&held.pool, now_ms),
            // Requests of other instances are never forwarded, which rules out loops.
            Requester::Peer(..) => SchedulerLocation::Local,
        };
        match held.location.clone() {
            SchedulerLocation::Local => self.submit_locally(ticket),
            SchedulerLocation::Peer(name) => {
                let offer = PeerOffer {
                    ticket: ticket.0,
                    pool: held.pool.pool.clone(),
                    zone: held.pool.zone.clone(),
                    descriptor: held.descriptor.clone(),
                    patience_ms: held.descriptor.deadline - now_ms,
                    failed_at: held.failed_at.clone(),
                };
                let request = match held.endpoint.clone() {
                    Some(endpoint) => PeerRequest::Adopt(offer, endpoint),
                    None => PeerRequest::Offer(offer),
                };
                self.peers.send(&name, request, &self.mailbox);
            }
        }
    }

    fn submit_locally(&mut self, ticket: Ticket) {
        let Some(held) = self.held.get(ticket) else { return };
        let pool = held.pool.clone();
        let mut descriptor = held.descriptor.clone();
        let keys = held.failed_at.iter().filter_map(|name| self.endpoints.key_of(name));
        descriptor.failed_at = keys.collect::<FailedAt>();
        let endpoint = held.endpoint.as_ref().map(|name| self.endpoints.key_of(name));
        let may_spill = !held.is_spilled && self.pool_in_other_zone(&pool).is_some();
        self.core_or_insert(&pool);
        match endpoint {
            Some(Some(key)) => self.handle_event(&pool, Event::Adopt(ticket, key, descriptor)),
            // The endpoint was removed from the configuration, so its slots are not counted.
            Some(None) => {}
            None => {
                let room = if may_spill { SPILL_ROOM_REQUESTS } else { 0 };
                self.handle_event(&pool, Event::NeighbourRoomUpdated(room));
                self.handle_event(&pool, Event::Offer(ticket, descriptor));
            }
        }
    }

    fn withdraw(&mut self, ticket: Ticket) {
        let Some(held) = self.held.remove(ticket) else { return };
        match held.location {
            SchedulerLocation::Local if held.endpoint.is_none() => {
                self.handle_event(&held.pool, Event::Withdraw(ticket));
            }
            SchedulerLocation::Local => {
                self.handle_event(&held.pool, Event::End(ticket, Ending::Cancelled))
            }
            SchedulerLocation::Peer(name) => {
                self.peers.send(&name, PeerRequest::Withdraw(ticket.0), &self.mailbox);
            }
        }
    }

    fn first_token(&mut self, ticket: Ticket) {
        let Some(held) = self.held.get(ticket) else { return };
        match held.location.clone() {
            SchedulerLocation::Local => {
                let pool = held.pool.clone();
                self.handle_event(&pool, Event::FirstToken(ticket));
            }
            SchedulerLocation::Peer(name) => {
                self.peers.send(&name, PeerRequest::FirstToken(ticket.0), &self.mailbox);
            }
        }
    }

    fn end(&mut self, ticket: Ticket, ending: Ending) {
        let Some(held) = self.held.remove(ticket) else { return };
        match held.location {
            SchedulerLocation::Local => self.handle_event(&held.pool, Event::End(ticket, ending)),
            SchedulerLocation::Peer(name) => {
                self.peers.send(&name, PeerRequest::End(ticket.0, ending), &self.mailbox);
            }
        }
    }

    /// Submits callers' requests again if another instance now schedules their pool.
    fn resubmit_moved_requests(&mut self) {
        let now_ms = self.clock.now_ms();
        let moved = self.held.tickets_where(|held| {
            matches!(held.requester, Requester::Caller(_))
                && held.location != self.peers.locate_scheduler(&held.pool, now_ms)
        });
        for ticket in moved {
            self.detach(ticket);
            self.submit(ticket);
        }
    }

    /// Removes a request from its current scheduler without replying to the requester.
    fn detach(&mut self, ticket: Ticket) {
        let Some(held) = self.held.get(ticket) else { return };
        match (held.location.clone(), held.endpoint.is_some()) {
            (SchedulerLocation::Local, false) => {
                let pool = held.pool.clone();
                self.handle_event(&pool, Event::Withdraw(ticket));
            }
            (SchedulerLocation::Local, true) => {
                let pool = held.pool.clone();
                self.handle_event(&pool, Event::End(ticket, Ending::Cancelled));
            }
            (SchedulerLocation::Peer(name), _) => {
                self.peers.send(&name, PeerRequest::Withdraw(ticket.0), &self.mailbox);
            }
        }
    }

    fn core_or_insert(&mut self, pool: &PoolKey) -> &mut Core {
        let tiers = &self.tiers;
        self.cores.entry(pool.clone()).or_insert_with(|| {
            Core::new(Policy {
                tiers: tiers.clone(),
                block_tokens: BLOCK_TOKENS,
                ..Policy::default()
            })
        })
    }

    fn handle_event(&mut self, pool: &PoolKey, event: Event) {
        let now_ms = self.clock.now_ms();
        let Some(core) = self.cores.get_mut(pool) else { return };
        core.handle(now_ms, event);
        while let Some(action) = self.cores.get_mut(pool).and_then(Core::next_action) {
            self.run_action(action);
        }
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::Dispatch(ticket, choice, why) => self.dispatch(ticket, choice, why),
            Action::Refuse(ticket, refusal, why) => self.refuse(ticket, refusal, why),
            Action::Spill(ticket, why) => self.spill(ticket, why),
        }
    }

    fn dispatch(&mut self, ticket: Ticket, choice: Choice, why: Why) {
        let Some(endpoint) = self.endpoints.get(choice.endpoint) else { return };
        let name = endpoint.target.name.clone();
        self.grant(ticket, &name, choice.first_token_ms, choice.cached_tokens, why);
    }

    fn grant(
        &mut self,
        ticket: Ticket,
        endpoint: &str,
        first_token_ms: f64,
        cached_tokens: u32,
        why: Why,
    ) {
        let target = self.endpoints.target_of(endpoint);
        let Some(held) = self.held.get_mut(ticket) else { return };
        held.endpoint = Some(endpoint.to_owned());
        match &mut held.requester {
            Requester::Caller(reply) => {
                let (Some(reply), Some(target)) = (reply.take(), target) else { return };
                let mailbox = self.mailbox.clone();
                let grant = Grant {
                    target,
                    first_token_ms,
                    cached_tokens,
                    why,
                    ticket,
                    mailbox,
                    is_ended: false,
                };
                // If the caller has gone away, the grant is dropped, which frees the slot.
                let _ = reply.send(OfferReply::Granted(grant));
            }
            Requester::Peer(conn, peer_ticket) => {
                let (ticket, endpoint) = (*peer_ticket, endpoint.to_owned());
                let reply =
                    PeerReply::Granted { ticket, endpoint, first_token_ms, cached_tokens, why };
                self.peers.reply(*conn, reply);
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal, why: Why) {
        let Some(held) = self.held.remove(ticket) else { return };
        if held.is_spilled {
            self.peers.pause_spilling(&held.pool, self.clock.now_ms());
        }
        match held.requester {
            Requester::Caller(Some(reply)) => {
                let _ = reply.send(OfferReply::Refused(refusal, why));
            }
            Requester::Caller(None) => {}
            Requester::Peer(conn, ticket) => {
                self.peers.reply(conn, PeerReply::Refused { ticket, refusal, why });
            }
        }
    }

    /// Offers a request to another zone. Refuses it with `Refusal::Load` if it was spilled before
    /// or [`Self::pool_in_other_zone`] finds no zone.
    ///
    /// Another instance's request is returned to that instance, which selects the zone.
    fn spill(&mut self, ticket: Ticket, why: Why) {
        let Some(held) = self.held.get(ticket) else { return };
        if let Requester::Peer(conn, peer_ticket) = held.requester {
            self.held.remove(ticket);
            return self.peers.reply(conn, PeerReply::Spill { ticket: peer_ticket, why });
        }
        let target = self.pool_in_other_zone(&held.pool).filter(|_| !held.is_spilled);
        let Some(target) = target else { return self.refuse(ticket, Refusal::Load, why) };
        metrics::counter!("baobabvane_spilled_total").increment(1);
        if let Some(held) = self.held.get_mut(ticket) {
            held.pool = target;
            held.is_spilled = true;
        }
        self.submit(ticket);
    }

    fn tick(&mut self) {
        let pools: Vec<PoolKey> = self.cores.keys().cloned().collect();
        for pool in pools {
            self.handle_event(&pool, Event::Tick);
        }
        // Moves requests back to instances whose pause after a failure has ended.
        self.resubmit_moved_requests();
    }

    fn status(&self) -> Vec<PoolStatus> {
        let now_ms = self.clock.now_ms();
        let status = |(key, core): (&PoolKey, &Core)| PoolStatus {
            zone: key.zone.clone(),
            pool: key.pool.clone(),
            scheduler: match self.peers.locate_scheduler(key, now_ms) {
                SchedulerLocation::Local => self.name.clone(),
                SchedulerLocation::Peer(name) => name,
            },
            endpoints: self.endpoints.count(key),
            counts: core.counts(),
        };
        self.cores.iter().map(status).collect()
    }
}
