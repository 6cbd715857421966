//! The requests that a scheduler holds: its callers' and those of other instances.

use std::collections::HashMap;

use baobabvane_decide::{Descriptor, Ticket};
use local_sync::oneshot;

use crate::{peer::ConnId, tasks::scheduler::grant::Answer};

/// Names a pool: the endpoints of a zone that serve one model or service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PoolKey {
    pub(super) pool: String,
    pub(super) zone: String,
}

/// Where a request waits or is counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// In a core of this instance.
    Here,
    /// At the scheduler of another instance.
    At(String),
}

/// Who asked for an endpoint.
pub(super) enum Asker {
    /// A caller of this instance, until it is answered.
    Caller(Option<oneshot::Sender<Answer>>),
    /// Another instance, by its own ticket.
    Peer(ConnId, u64),
}

/// A request from its offer to its end.
pub(super) struct Held {
    pub(super) pool: PoolKey,
    pub(super) descriptor: Descriptor,
    pub(super) failed_at: Vec<String>,
    pub(super) place: Place,
    pub(super) asker: Asker,
    /// The endpoint that it was granted.
    pub(super) endpoint: Option<String>,
    /// Whether it came from another zone's pool.
    pub(super) spilled: bool,
}

/// Tickets of other instances' requests begin here.
const FIRST_PEER_TICKET: u64 = 1 << 63;

/// All requests, and other instances' tickets for theirs.
#[derive(Default)]
pub(super) struct HeldRequests {
    by_ticket: HashMap<Ticket, Held>,
    by_peer: HashMap<(ConnId, u64), Ticket>,
    peer_tickets: u64,
}

impl HeldRequests {
    pub(super) fn insert(&mut self, ticket: Ticket, held: Held) {
        self.by_ticket.insert(ticket, held);
    }

    /// Adds a request of another instance and gives it a ticket here.
    pub(super) fn insert_for_peer(&mut self, conn: ConnId, theirs: u64, held: Held) -> Ticket {
        self.peer_tickets += 1;
        let ticket = Ticket(FIRST_PEER_TICKET + self.peer_tickets);
        self.by_peer.insert((conn, theirs), ticket);
        self.by_ticket.insert(ticket, held);
        ticket
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&Held> {
        self.by_ticket.get(&ticket)
    }

    pub(super) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Held> {
        self.by_ticket.get_mut(&ticket)
    }

    pub(super) fn of_peer(&self, conn: ConnId, theirs: u64) -> Option<Ticket> {
        self.by_peer.get(&(conn, theirs)).copied()
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Held> {
        let held = self.by_ticket.remove(&ticket)?;
        if let Asker::Peer(conn, theirs) = held.asker {
            self.by_peer.remove(&(conn, theirs));
        }
        Some(held)
    }

    /// Lists the tickets of requests that fit, in the order in which they came.
    pub(super) fn find(&self, fits: impl Fn(&Held) -> bool) -> Vec<Ticket> {
        let fitting = self.by_ticket.iter().filter(|(_, held)| fits(held));
        let mut tickets: Vec<Ticket> = fitting.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        tickets
    }
}
