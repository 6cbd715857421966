//! Which instance schedules a pool, and the connections to those that do.

use std::{collections::HashMap, rc::Rc};

use baobabvane_members::{Roster, SharedKey};
use baobabvane_tasks::Mailbox;

use crate::{
    peer::{self, ConnId, PeerReply, PeerRequest},
    tasks::scheduler::{
        ToScheduler,
        held::{Place, PoolKey},
    },
};

/// An instance that could not be reached is not asked for this long.
const AVOID_MS: f64 = 1_000.0;
/// A zone that refused spilled work is not offered more for this long.
const SPILL_PAUSE_MS: f64 = 1_000.0;

/// Other instances.
pub(super) struct Peers {
    own_name: String,
    key: Option<SharedKey>,
    roster: Rc<Roster>,
    links: HashMap<String, Mailbox<PeerRequest>>,
    avoid_until: HashMap<String, f64>,
    full_until: HashMap<PoolKey, f64>,
    conns: HashMap<ConnId, Mailbox<PeerReply>>,
}

impl Peers {
    pub(super) fn new(own_name: String, key: Option<SharedKey>) -> Self {
        Self {
            own_name,
            key,
            roster: Rc::default(),
            links: HashMap::new(),
            avoid_until: HashMap::new(),
            full_until: HashMap::new(),
            conns: HashMap::new(),
        }
    }

    pub(super) fn set_roster(&mut self, roster: Rc<Roster>) {
        self.roster = roster;
    }

    /// Returns where a pool is scheduled; here when nobody else can be asked.
    pub(super) fn place(&self, pool: &PoolKey, now: f64) -> Place {
        let avoided = |name: &str| self.avoid_until.get(name).is_some_and(|until| now < *until);
        match self.roster.scheduler(&pool.pool, &pool.zone, avoided) {
            Some(member) if member.name != self.own_name => Place::At(member.name.clone()),
            _ => Place::Here,
        }
    }

    /// Sends to another instance; connects first where that is needed.
    pub(super) fn ask(&mut self, name: &str, ask: PeerRequest, scheduler: &Mailbox<ToScheduler>) {
        if let Some(link) = self.links.get(name) {
            return link.send(ask);
        }
        let (Some(key), Some(address)) = (&self.key, self.roster.address(name)) else {
            return scheduler.send(ToScheduler::PeerDown(name.to_owned()));
        };
        let link = peer::connect(name.to_owned(), address, key.clone(), scheduler.clone());
        link.send(ask);
        self.links.insert(name.to_owned(), link);
    }

    /// Notes that an instance cannot be asked; true when it was asked before.
    pub(super) fn went_down(&mut self, name: &str, now: f64) -> bool {
        self.avoid_until.insert(name.to_owned(), now + AVOID_MS);
        self.links.remove(name).is_some()
    }

    pub(super) fn connected(&mut self, conn: ConnId, mailbox: Mailbox<PeerReply>) {
        self.conns.insert(conn, mailbox);
    }

    pub(super) fn disconnected(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
    }

    pub(super) fn reply(&self, conn: ConnId, reply: PeerReply) {
        if let Some(mailbox) = self.conns.get(&conn) {
            mailbox.send(reply);
        }
    }

    /// Notes that a pool refused spilled work.
    pub(super) fn refused_spill(&mut self, pool: &PoolKey, now: f64) {
        self.full_until.insert(pool.clone(), now + SPILL_PAUSE_MS);
    }

    /// Says whether a pool may be offered spilled work.
    pub(super) fn may_spill_to(&self, pool: &PoolKey, now: f64) -> bool {
        self.full_until.get(pool).is_none_or(|until| now >= *until)
    }
}
