//! Which instance schedules a pool, and the connections to those that do.

use std::{collections::HashMap, rc::Rc};

use baobabvane_members::{Roster, SharedKey};
use baobabvane_tasks::Mailbox;

use crate::{
    peer::{self, ConnId, PeerAsk, PeerReply},
    tasks::scheduler::{
        ToScheduler,
        held::{PoolKey, SchedulerLocation},
    },
};

/// An instance that could not be reached is not asked for this long.
const UNREACHABLE_PAUSE_MS: f64 = 1_000.0;
/// A zone that refused spilled work is not offered more for this long.
const SPILL_PAUSE_MS: f64 = 1_000.0;

/// Other instances.
pub(super) struct Peers {
    own_name: String,
    auth_key: Option<SharedKey>,
    roster: Rc<Roster>,
    outgoing: HashMap<String, Mailbox<PeerAsk>>,
    unreachable_until_ms: HashMap<String, f64>,
    spill_paused_until_ms: HashMap<PoolKey, f64>,
    incoming: HashMap<ConnId, Mailbox<PeerReply>>,
}

impl Peers {
    pub(super) fn new(own_name: String, auth_key: Option<SharedKey>) -> Self {
        Self {
            own_name,
            auth_key,
            roster: Rc::default(),
            outgoing: HashMap::new(),
            unreachable_until_ms: HashMap::new(),
            spill_paused_until_ms: HashMap::new(),
            incoming: HashMap::new(),
        }
    }

    pub(super) fn set_roster(&mut self, roster: Rc<Roster>) {
        self.roster = roster;
    }

    /// Returns where a pool is scheduled; here when nobody else can be asked.
    pub(super) fn locate_scheduler(&self, pool: &PoolKey, now_ms: f64) -> SchedulerLocation {
        let is_excluded = |name: &str| {
            self.unreachable_until_ms.get(name).is_some_and(|until_ms| now_ms < *until_ms)
        };
        match self.roster.scheduler(&pool.pool, &pool.zone, is_excluded) {
            Some(member) if member.name != self.own_name => {
                SchedulerLocation::Peer(member.name.clone())
            }
            _ => SchedulerLocation::Local,
        }
    }

    /// Sends to another instance; connects first where that is needed.
    pub(super) fn send(&mut self, name: &str, ask: PeerAsk, scheduler: &Mailbox<ToScheduler>) {
        if let Some(link) = self.outgoing.get(name) {
            return link.send(ask);
        }
        let (Some(key), Some(address)) = (&self.auth_key, self.roster.address(name)) else {
            return scheduler.send(ToScheduler::PeerDown(name.to_owned()));
        };
        let link = peer::connect(name.to_owned(), address, key.clone(), scheduler.clone());
        link.send(ask);
        self.outgoing.insert(name.to_owned(), link);
    }

    /// Notes that an instance cannot be asked; true when it was asked before.
    pub(super) fn mark_unreachable(&mut self, name: &str, now_ms: f64) -> bool {
        self.unreachable_until_ms.insert(name.to_owned(), now_ms + UNREACHABLE_PAUSE_MS);
        self.outgoing.remove(name).is_some()
    }

    pub(super) fn add_connection(&mut self, conn: ConnId, mailbox: Mailbox<PeerReply>) {
        self.incoming.insert(conn, mailbox);
    }

    pub(super) fn remove_connection(&mut self, conn: ConnId) {
        self.incoming.remove(&conn);
    }

    pub(super) fn reply(&self, conn: ConnId, reply: PeerReply) {
        if let Some(mailbox) = self.incoming.get(&conn) {
            mailbox.send(reply);
        }
    }

    /// Notes that a pool refused spilled work.
    pub(super) fn pause_spilling(&mut self, pool: &PoolKey, now_ms: f64) {
        self.spill_paused_until_ms.insert(pool.clone(), now_ms + SPILL_PAUSE_MS);
    }

    /// Says whether a pool may be offered spilled work.
    pub(super) fn can_spill_to(&self, pool: &PoolKey, now_ms: f64) -> bool {
        self.spill_paused_until_ms.get(pool).is_none_or(|until_ms| now_ms >= *until_ms)
    }
}
