//! The requests that a scheduler holds: its callers' and those of other instances.

use std::collections::HashMap;

use baobabvane_decide::{Descriptor, Ticket};
use local_sync::oneshot;

use crate::{peer::ConnId, tasks::scheduler::grant::OfferReply};

/// Names a pool: the endpoints of a zone that serve one model or service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PoolKey {
    pub(super) pool: String,
    pub(super) zone: String,
}

/// Where a request waits or is counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SchedulerLocation {
    /// In a core of this instance.
    Local,
    /// At the scheduler of another instance.
    Peer(String),
}

/// Who asked for an endpoint.
pub(super) enum Requester {
    /// A caller of this instance, until it is answered.
    Caller(Option<oneshot::Sender<OfferReply>>),
    /// Another instance, by its own ticket.
    Peer(ConnId, u64),
}

/// A request from its offer to its end.
pub(super) struct HeldRequest {
    pub(super) pool: PoolKey,
    pub(super) descriptor: Descriptor,
    pub(super) failed_at: Vec<String>,
    pub(super) location: SchedulerLocation,
    pub(super) requester: Requester,
    /// The endpoint that it was granted.
    pub(super) endpoint: Option<String>,
    /// Whether it came from another zone's pool.
    pub(super) is_spilled: bool,
}

/// Tickets of other instances' requests begin here.
const FIRST_PEER_TICKET: u64 = 1 << 63;

/// All requests, and other instances' tickets for theirs.
#[derive(Default)]
pub(super) struct HeldRequests {
    by_ticket: HashMap<Ticket, HeldRequest>,
    by_peer: HashMap<(ConnId, u64), Ticket>,
    peer_ticket_count: u64,
}

impl HeldRequests {
    pub(super) fn insert(&mut self, ticket: Ticket, held: HeldRequest) {
        self.by_ticket.insert(ticket, held);
    }

    /// Adds a request of another instance and gives it a ticket here.
    pub(super) fn insert_for_peer(
        &mut self,
        conn: ConnId,
        peer_ticket: u64,
        held: HeldRequest,
    ) -> Ticket {
        self.peer_ticket_count += 1;
        let ticket = Ticket(FIRST_PEER_TICKET + self.peer_ticket_count);
        self.by_peer.insert((conn, peer_ticket), ticket);
        self.by_ticket.insert(ticket, held);
        ticket
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&HeldRequest> {
        self.by_ticket.get(&ticket)
    }

    pub(super) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut HeldRequest> {
        self.by_ticket.get_mut(&ticket)
    }

    pub(super) fn ticket_of_peer(&self, conn: ConnId, peer_ticket: u64) -> Option<Ticket> {
        self.by_peer.get(&(conn, peer_ticket)).copied()
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<HeldRequest> {
        let held = self.by_ticket.remove(&ticket)?;
        if let Requester::Peer(conn, peer_ticket) = held.requester {
            self.by_peer.remove(&(conn, peer_ticket));
        }
        Some(held)
    }

    /// Lists the tickets of requests that fit, in the order in which they came.
    pub(super) fn tickets_where(&self, matches: impl Fn(&HeldRequest) -> bool) -> Vec<Ticket> {
        let matching = self.by_ticket.iter().filter(|(_, held)| matches(held));
        let mut tickets: Vec<Ticket> = matching.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        tickets
    }
}
