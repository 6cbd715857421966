//! Handles requests from other instances, the replies of their schedulers and lost connections.

use baobabvane_decide::{Ending, Ticket};

use super::Scheduler;
use crate::{
    peer::{ConnId, PeerOffer, PeerReply, PeerRequest},
    tasks::scheduler::held::{HeldRequest, PoolKey, Requester, SchedulerLocation},
};

impl Scheduler {
    pub(super) fn handle_peer_down(&mut self, name: &str) {
        if self.peers.mark_unreachable(name, self.clock.now_ms()) {
            log::warn!("event=scheduler_moved away_from={name}");
            metrics::counter!("baobabvane_schedulers_lost_total").increment(1);
        }
        let location = SchedulerLocation::Peer(name.to_owned());
        for ticket in self.held.tickets_where(|held| held.location == location) {
            self.submit(ticket);
        }
    }

    pub(super) fn handle_peer_reply(&mut self, name: &str, reply: PeerReply) {
        match reply {
            PeerReply::Granted { ticket, endpoint, first_token_ms, cached_tokens, why } => {
                let ticket = Ticket(ticket);
                if !self.is_waiting_at(ticket, name) || self.endpoints.key_of(&endpoint).is_none() {
                    let request = PeerRequest::End(ticket.0, Ending::Cancelled);
                    return self.peers.send(name, request, &self.mailbox);
                }
                self.grant(ticket, &endpoint, first_token_ms, cached_tokens, why);
            }
            PeerReply::Refused { ticket, refusal, why } => {
                if self.is_waiting_at(Ticket(ticket), name) {
                    self.refuse(Ticket(ticket), refusal, why);
                }
            }
            PeerReply::Spill { ticket, why } => {
                if self.is_waiting_at(Ticket(ticket), name) {
                    self.spill(Ticket(ticket), why);
                }
            }
            // Handled by the connection's own task.
            PeerReply::Pong(_) => {}
        }
    }

    /// Returns whether a request still waits for a reply of the instance `name`.
    fn is_waiting_at(&self, ticket: Ticket, name: &str) -> bool {
        self.held.get(ticket).is_some_and(|held| {
            held.endpoint.is_none() && held.location == SchedulerLocation::Peer(name.to_owned())
        })
    }

    pub(super) fn handle_peer_request(&mut self, conn: ConnId, request: PeerRequest) {
        match request {
            PeerRequest::Offer(offer) => self.accept_peer_offer(conn, offer, None),
            PeerRequest::Adopt(offer, endpoint) => {
                self.accept_peer_offer(conn, offer, Some(endpoint))
            }
            PeerRequest::Withdraw(peer_ticket) => {
                if let Some(ticket) = self.held.local_ticket(conn, peer_ticket) {
                    self.withdraw(ticket);
                }
            }
            PeerRequest::FirstToken(peer_ticket) => {
                if let Some(ticket) = self.held.local_ticket(conn, peer_ticket) {
                    self.first_token(ticket);
                }
            }
            PeerRequest::End(peer_ticket, ending) => {
                if let Some(ticket) = self.held.local_ticket(conn, peer_ticket) {
                    self.end(ticket, ending);
                }
            }
            // Answered by the connection's own task.
            PeerRequest::Ping(_) => {}
        }
    }

    /// Holds and submits another instance's request; `endpoint` is the one that the request already
    /// occupies, if any.
    fn accept_peer_offer(&mut self, conn: ConnId, offer: PeerOffer, endpoint: Option<String>) {
        let mut descriptor = offer.descriptor;
        descriptor.deadline = self.clock.now_ms() + offer.patience_ms;
        let held = HeldRequest {
            // A pool of another zone means that the offer is already outside its own zone, so it is
            // not spilled. Other instances normally send only offers for pools of this zone.
            is_spilled: offer.zone != self.zone,
            pool: PoolKey { pool: offer.pool, zone: offer.zone },
            descriptor,
            failed_at: offer.failed_at,
            location: SchedulerLocation::Local,
            requester: Requester::Peer(conn, offer.ticket),
            endpoint,
        };
        let ticket = self.held.insert_for_peer(conn, offer.ticket, held);
        self.submit(ticket);
    }

    pub(super) fn handle_connection_closed(&mut self, conn: ConnId) {
        self.peers.remove_connection(conn);
        let lost = self
            .held
            .tickets_where(|held| matches!(held.requester, Requester::Peer(c, _) if c == conn));
        for ticket in lost {
            self.withdraw(ticket);
        }
    }
}
