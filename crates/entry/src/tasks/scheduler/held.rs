//! The requests that a scheduler holds, for callers of this instance and for other instances.

use std::collections::HashMap;

use baobabvane_decide::{Descriptor, Ticket};
use local_sync::oneshot;

use crate::{peer::ConnId, tasks::scheduler::grant::OfferReply};

/// Identifies a pool: the endpoints of one zone that serve the same model or service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PoolKey {
    pub(super) pool: String,
    pub(super) zone: String,
}

/// The scheduler where a request waits or occupies a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SchedulerLocation {
    /// A core of this instance.
    Local,
    /// The scheduler of another instance, by the instance's name.
    Peer(String),
}

/// The origin of a request.
pub(super) enum Requester {
    /// A caller of this instance, with the channel for the reply until that is sent.
    Caller(Option<oneshot::Sender<OfferReply>>),
    /// Another instance, by connection and by that instance's ticket.
    Peer(ConnId, u64),
}

/// A request from its offer until it ends or is refused or withdrawn.
pub(super) struct HeldRequest {
    pub(super) pool: PoolKey,
    pub(super) descriptor: Descriptor,
    pub(super) failed_at: Vec<String>,
    pub(super) location: SchedulerLocation,
    pub(super) requester: Requester,
    /// The name of the granted endpoint; `None` while the request is waiting.
    pub(super) endpoint: Option<String>,
    /// Whether the request was spilled to the zone of `pool`, or was offered by another instance
    /// for a pool outside this instance's zone. Such a request is not spilled again.
    pub(super) is_spilled: bool,
}

/// Tickets for requests of other instances start here, above those for local callers.
const FIRST_PEER_TICKET: u64 = 1 << 63;

/// Requests by local ticket, and the local tickets of other instances' requests.
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

    /// Adds a request of another instance and returns its local ticket.
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

    /// Returns this instance's ticket for a request that has `peer_ticket` on a connection.
    pub(super) fn local_ticket(&self, conn: ConnId, peer_ticket: u64) -> Option<Ticket> {
        self.by_peer.get(&(conn, peer_ticket)).copied()
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<HeldRequest> {
        let held = self.by_ticket.remove(&ticket)?;
        if let Requester::Peer(conn, peer_ticket) = held.requester {
            self.by_peer.remove(&(conn, peer_ticket));
        }
        Some(held)
    }

    /// Returns the tickets of the matching requests in ascending order, which keeps the order of
    /// arrival among local and among other instances' requests.
    pub(super) fn tickets_where(&self, matches: impl Fn(&HeldRequest) -> bool) -> Vec<Ticket> {
        let matching = self.by_ticket.iter().filter(|(_, held)| matches(held));
        let mut tickets: Vec<Ticket> = matching.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        tickets
    }
}
