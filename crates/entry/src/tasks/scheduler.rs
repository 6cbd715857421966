//! The task that owns the decision cores, or asks the instance that owns them.
//!
//! Each pool has one scheduler in its zone. Callers' requests stay with the
//! instance that accepted them; only a descriptor travels. When a scheduler
//! goes, its askers offer what waits again elsewhere and tell the next one what
//! is at endpoints already. See [scheduling](../../../../docs/scheduling.md).

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

pub(crate) use self::grant::{Answer, Grant, Offer, ask};
use self::{
    endpoints::Endpoints,
    held::{Asker, Held, HeldRequests, Place, PoolKey},
    peers::Peers,
};
use crate::{
    clock::MonotonicClock,
    peer::{ConnId, PeerOffer, PeerReply, PeerRequest},
    view::View,
};

/// How often the cores are told that time has passed.
const TICK: Duration = Duration::from_millis(50);
/// Tokens in one block of a prefix, as prompts are cut.
pub(crate) const BLOCK_TOKENS: u32 = 256;
/// Requests that a core may hand to other zones at once.
const SPILL_ROOM: u32 = 4;

/// What the scheduler is told.
pub(crate) enum ToScheduler {
    Offer(Offer),
    Withdraw(Ticket),
    FirstToken(Ticket),
    End(Ticket, Ending),
    Configure(Rc<View>),
    Status(oneshot::Sender<Vec<PoolStatus>>),
    Roster(Rc<Roster>),
    FromPeer(String, PeerReply),
    PeerDown(String),
    PeerAsk(ConnId, PeerRequest),
    ConnUp(ConnId, Mailbox<PeerReply>),
    ConnDown(ConnId),
}

/// A pool's numbers, for the operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PoolStatus {
    pub(crate) zone: String,
    pub(crate) pool: String,
    /// The instance that schedules it.
    pub(crate) scheduler: String,
    pub(crate) endpoints: usize,
    /// What this instance's own core holds.
    pub(crate) counts: Counts,
}

/// Who the scheduler is.
pub(crate) struct Identity {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) peer_key: Option<SharedKey>,
}

/// The state of the task.
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

/// Starts the task.
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
                Ok(Some(message)) => self.take(message),
                Ok(None) => return,
                Err(_) => self.tick(),
            }
        }
    }

    fn take(&mut self, message: ToScheduler) {
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
                self.move_requests();
            }
            ToScheduler::FromPeer(name, reply) => self.peer_reply(&name, reply),
            ToScheduler::PeerDown(name) => self.peer_down(&name),
            ToScheduler::PeerAsk(conn, ask) => self.peer_ask(conn, ask),
            ToScheduler::ConnUp(conn, mailbox) => self.peers.connected(conn, mailbox),
            ToScheduler::ConnDown(conn) => self.conn_down(conn),
        }
    }

    fn offer(&mut self, offer: Offer) {
        let Offer { ticket, pool, mut descriptor, failed_at, patience, reply } = offer;
        descriptor.deadline = self.clock.now_ms() + patience.as_secs_f64() * 1000.0;
        let held = Held {
            pool: self.home_of(pool),
            descriptor,
            failed_at,
            place: Place::Here,
            asker: Asker::Caller(Some(reply)),
            endpoint: None,
            spilled: false,
        };
        self.held.insert(ticket, held);
        self.place(ticket);
    }

    /// Returns the pool of this zone, or of another one when this zone has none.
    fn home_of(&self, pool: String) -> PoolKey {
        let home = PoolKey { pool, zone: self.zone.clone() };
        if self.endpoints.serve(&home) {
            return home;
        }
        self.other_zone(&home).unwrap_or(home)
    }

    /// Returns the same pool of another zone that may be offered work.
    fn other_zone(&self, pool: &PoolKey) -> Option<PoolKey> {
        let now = self.clock.now_ms();
        self.endpoints.other_zones(pool).into_iter().find(|p| self.peers.may_spill_to(p, now))
    }

    /// Puts a request where its pool is scheduled: what waits is offered, what is
    /// at an endpoint is told of.
    fn place(&mut self, ticket: Ticket) {
        let now = self.clock.now_ms();
        let Some(held) = self.held.get_mut(ticket) else { return };
        held.place = match held.asker {
            Asker::Caller(_) => self.peers.place(&held.pool, now),
            // Never passed on, so that no request travels in circles.
            Asker::Peer(..) => Place::Here,
        };
        match held.place.clone() {
            Place::Here => self.place_here(ticket),
            Place::At(name) => {
                let offer = PeerOffer {
                    ticket: ticket.0,
                    pool: held.pool.pool.clone(),
                    zone: held.pool.zone.clone(),
                    descriptor: held.descriptor.clone(),
                    patience_ms: held.descriptor.deadline - now,
                    failed_at: held.failed_at.clone(),
                };
                let ask = match held.endpoint.clone() {
                    Some(endpoint) => PeerRequest::Adopt(offer, endpoint),
                    None => PeerRequest::Offer(offer),
                };
                self.peers.ask(&name, ask, &self.mailbox);
            }
        }
    }

    fn place_here(&mut self, ticket: Ticket) {
        let Some(held) = self.held.get(ticket) else { return };
        let pool = held.pool.clone();
        let mut descriptor = held.descriptor.clone();
        let keys = held.failed_at.iter().filter_map(|name| self.endpoints.key(name));
        descriptor.failed_at = keys.collect::<FailedAt>();
        let endpoint = held.endpoint.as_ref().map(|name| self.endpoints.key(name));
        let may_spill = !held.spilled && self.other_zone(&pool).is_some();
        self.core(&pool);
        match endpoint {
            Some(Some(key)) => self.handle(&pool, Event::Adopt(ticket, key, descriptor)),
            // The endpoint is not known here any more; nothing is left to count.
            Some(None) => {}
            None => {
                let room = if may_spill { SPILL_ROOM } else { 0 };
                self.handle(&pool, Event::NeighbourRoomUpdated(room));
                self.handle(&pool, Event::Offer(ticket, descriptor));
            }
        }
    }

    fn withdraw(&mut self, ticket: Ticket) {
        let Some(held) = self.held.remove(ticket) else { return };
        match held.place {
            Place::Here if held.endpoint.is_none() => {
                self.handle(&held.pool, Event::Withdraw(ticket));
            }
            Place::Here => self.handle(&held.pool, Event::End(ticket, Ending::Cancelled)),
            Place::At(name) => {
                self.peers.ask(&name, PeerRequest::Withdraw(ticket.0), &self.mailbox);
            }
        }
    }

    fn first_token(&mut self, ticket: Ticket) {
        let Some(held) = self.held.get(ticket) else { return };
        match held.place.clone() {
            Place::Here => {
                let pool = held.pool.clone();
                self.handle(&pool, Event::FirstToken(ticket));
            }
            Place::At(name) => {
                self.peers.ask(&name, PeerRequest::FirstToken(ticket.0), &self.mailbox);
            }
        }
    }

    fn end(&mut self, ticket: Ticket, ending: Ending) {
        let Some(held) = self.held.remove(ticket) else { return };
        match held.place {
            Place::Here => self.handle(&held.pool, Event::End(ticket, ending)),
            Place::At(name) => {
                self.peers.ask(&name, PeerRequest::End(ticket.0, ending), &self.mailbox);
            }
        }
    }

    /// Moves callers' requests whose pool is scheduled elsewhere now.
    fn move_requests(&mut self) {
        let now = self.clock.now_ms();
        let moved = self.held.find(|held| {
            matches!(held.asker, Asker::Caller(_))
                && held.place != self.peers.place(&held.pool, now)
        });
        for ticket in moved {
            self.take_back(ticket);
            self.place(ticket);
        }
    }

    /// Takes a request out of its scheduler without an answer to who asked.
    fn take_back(&mut self, ticket: Ticket) {
        let Some(held) = self.held.get(ticket) else { return };
        match (held.place.clone(), held.endpoint.is_some()) {
            (Place::Here, false) => {
                let pool = held.pool.clone();
                self.handle(&pool, Event::Withdraw(ticket));
            }
            (Place::Here, true) => {
                let pool = held.pool.clone();
                self.handle(&pool, Event::End(ticket, Ending::Cancelled));
            }
            (Place::At(name), _) => {
                self.peers.ask(&name, PeerRequest::Withdraw(ticket.0), &self.mailbox);
            }
        }
    }

    fn core(&mut self, pool: &PoolKey) -> &mut Core {
        let tiers = &self.tiers;
        self.cores.entry(pool.clone()).or_insert_with(|| {
            Core::new(Policy {
                tiers: tiers.clone(),
                block_tokens: BLOCK_TOKENS,
                ..Policy::default()
            })
        })
    }

    fn handle(&mut self, pool: &PoolKey, event: Event) {
        let now = self.clock.now_ms();
        let Some(core) = self.cores.get_mut(pool) else { return };
        core.handle(now, event);
        while let Some(action) = self.cores.get_mut(pool).and_then(Core::next_action) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Dispatch(ticket, choice, why) => self.dispatch(ticket, choice, why),
            Action::Refuse(ticket, refusal, why) => self.refuse(ticket, refusal, why),
            Action::Spill(ticket, why) => self.spill(ticket, why),
        }
    }

    fn dispatch(&mut self, ticket: Ticket, choice: Choice, why: Why) {
        let Some(known) = self.endpoints.get(choice.endpoint) else { return };
        let name = known.target.name.clone();
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
        let target = self.endpoints.target(endpoint);
        let Some(held) = self.held.get_mut(ticket) else { return };
        held.endpoint = Some(endpoint.to_owned());
        match &mut held.asker {
            Asker::Caller(reply) => {
                let (Some(reply), Some(target)) = (reply.take(), target) else { return };
                let mailbox = self.mailbox.clone();
                let grant = Grant {
                    target,
                    first_token_ms,
                    cached_tokens,
                    why,
                    ticket,
                    mailbox,
                    ended: false,
                };
                // A caller that went away drops the grant, which gives the slot back.
                let _ = reply.send(Answer::Granted(grant));
            }
            Asker::Peer(conn, theirs) => {
                let (ticket, endpoint) = (*theirs, endpoint.to_owned());
                let reply =
                    PeerReply::Granted { ticket, endpoint, first_token_ms, cached_tokens, why };
                self.peers.reply(*conn, reply);
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal, why: Why) {
        let Some(held) = self.held.remove(ticket) else { return };
        if held.spilled {
            self.peers.refused_spill(&held.pool, self.clock.now_ms());
        }
        match held.asker {
            Asker::Caller(Some(reply)) => {
                let _ = reply.send(Answer::Refused(refusal, why));
            }
            Asker::Caller(None) => {}
            Asker::Peer(conn, ticket) => {
                self.peers.reply(conn, PeerReply::Refused { ticket, refusal, why });
            }
        }
    }

    /// Offers a request to another zone; refuses it for load when none may take it.
    fn spill(&mut self, ticket: Ticket, why: Why) {
        let Some(held) = self.held.get(ticket) else { return };
        if let Asker::Peer(conn, theirs) = held.asker {
            self.held.remove(ticket);
            return self.peers.reply(conn, PeerReply::Spill { ticket: theirs, why });
        }
        let to = self.other_zone(&held.pool).filter(|_| !held.spilled);
        let Some(to) = to else { return self.refuse(ticket, Refusal::Load, why) };
        metrics::counter!("baobabvane_spilled_total").increment(1);
        if let Some(held) = self.held.get_mut(ticket) {
            held.pool = to;
            held.spilled = true;
        }
        self.place(ticket);
    }

    fn tick(&mut self) {
        let pools: Vec<PoolKey> = self.cores.keys().cloned().collect();
        for pool in pools {
            self.handle(&pool, Event::Tick);
        }
        // An instance that was avoided may be asked again.
        self.move_requests();
    }

    fn status(&self) -> Vec<PoolStatus> {
        let now = self.clock.now_ms();
        let status = |(key, core): (&PoolKey, &Core)| PoolStatus {
            zone: key.zone.clone(),
            pool: key.pool.clone(),
            scheduler: match self.peers.place(key, now) {
                Place::Here => self.name.clone(),
                Place::At(name) => name,
            },
            endpoints: self.endpoints.count(key),
            counts: core.counts(),
        };
        self.cores.iter().map(status).collect()
    }
}
