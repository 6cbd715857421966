//! Selects the instance that schedules a pool and keeps the connections to other instances.

use std::{collections::HashMap, rc::Rc};

use baobabvane_members::{Roster, SharedKey};
use baobabvane_tasks::Mailbox;

use crate::{
    peer::{self, ConnId, PeerReply, PeerRequest},
    tasks::scheduler::{
        ToScheduler,
        held::{PoolKey, SchedulerLocation},
    },
};

/// How long an instance is skipped after it could not be reached, in milliseconds.
const UNREACHABLE_PAUSE_MS: f64 = 1_000.0;
/// How long a pool is offered no spilled requests after it refused one, in milliseconds.
const SPILL_PAUSE_MS: f64 = 1_000.0;

pub(super) struct Peers {
    own_name: String,
    peer_key: Option<SharedKey>,
    roster: Rc<Roster>,
    /// Connections that this instance opened, by the name of the other instance.
    outgoing: HashMap<String, Mailbox<PeerRequest>>,
    unreachable_until_ms: HashMap<String, f64>,
    spill_paused_until_ms: HashMap<PoolKey, f64>,
    /// Connections that other instances opened.
    incoming: HashMap<ConnId, Mailbox<PeerReply>>,
}

impl Peers {
    pub(super) fn new(own_name: String, peer_key: Option<SharedKey>) -> Self {
        Self {
            own_name,
            peer_key,
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

    /// Returns the scheduler of a pool, or the local one if the pool's zone has no live instance
    /// or all of them are stopping or could not be reached recently.
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

    /// Sends a message to another instance and connects first if there is no connection.
    ///
    /// If the instance's address or the shared key is unknown, reports the instance as down to the
    /// local scheduler.
    pub(super) fn send(
        &mut self,
        name: &str,
        request: PeerRequest,
        scheduler: &Mailbox<ToScheduler>,
    ) {
        if let Some(connection) = self.outgoing.get(name) {
            return connection.send(request);
        }
        let (Some(key), Some(address)) = (&self.peer_key, self.roster.address(name)) else {
            return scheduler.send(ToScheduler::PeerDown(name.to_owned()));
        };
        let connection = peer::connect(name.to_owned(), address, key.clone(), scheduler.clone());
        connection.send(request);
        self.outgoing.insert(name.to_owned(), connection);
    }

    /// Excludes an instance for a while; returns whether there was a connection to it.
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

    /// Stops spilling to a pool for a while, after it refused a spilled request.
    pub(super) fn pause_spilling(&mut self, pool: &PoolKey, now_ms: f64) {
        self.spill_paused_until_ms.insert(pool.clone(), now_ms + SPILL_PAUSE_MS);
    }

    pub(super) fn can_spill_to(&self, pool: &PoolKey, now_ms: f64) -> bool {
        self.spill_paused_until_ms.get(pool).is_none_or(|until_ms| now_ms >= *until_ms)
    }
}
