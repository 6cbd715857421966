//! Other instances: what they ask of this scheduler, and what theirs answer.

use baobabvane_decide::{Ending, Ticket};

use super::Scheduler;
use crate::{
    peer::{ConnId, PeerOffer, PeerReply, PeerRequest},
    tasks::scheduler::held::{Asker, Held, Place, PoolKey},
};

impl Scheduler {
    pub(super) fn peer_down(&mut self, name: &str) {
        if self.peers.went_down(name, self.clock.now_ms()) {
            log::warn!("event=scheduler_moved away_from={name}");
            metrics::counter!("baobabvane_schedulers_lost_total").increment(1);
        }
        let place = Place::At(name.to_owned());
        for ticket in self.held.find(|held| held.place == place) {
            self.place(ticket);
        }
    }

    pub(super) fn peer_reply(&mut self, name: &str, reply: PeerReply) {
        match reply {
            PeerReply::Granted { ticket, endpoint, first_token_ms, cached_tokens, why } => {
                let ticket = Ticket(ticket);
                if !self.is_waiting_at(ticket, name) || self.endpoints.key(&endpoint).is_none() {
                    let ask = PeerRequest::End(ticket.0, Ending::Cancelled);
                    return self.peers.ask(name, ask, &self.mailbox);
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
            PeerReply::Pong(_) => {}
        }
    }

    /// Says whether an answer of another instance is still wanted.
    fn is_waiting_at(&self, ticket: Ticket, name: &str) -> bool {
        self.held
            .get(ticket)
            .is_some_and(|held| held.endpoint.is_none() && held.place == Place::At(name.to_owned()))
    }

    pub(super) fn peer_ask(&mut self, conn: ConnId, ask: PeerRequest) {
        match ask {
            PeerRequest::Offer(offer) => self.peer_offer(conn, offer, None),
            PeerRequest::Adopt(offer, endpoint) => self.peer_offer(conn, offer, Some(endpoint)),
            PeerRequest::Withdraw(theirs) => {
                if let Some(ticket) = self.held.of_peer(conn, theirs) {
                    self.withdraw(ticket);
                }
            }
            PeerRequest::FirstToken(theirs) => {
                if let Some(ticket) = self.held.of_peer(conn, theirs) {
                    self.first_token(ticket);
                }
            }
            PeerRequest::End(theirs, ending) => {
                if let Some(ticket) = self.held.of_peer(conn, theirs) {
                    self.end(ticket, ending);
                }
            }
            PeerRequest::Ping(_) => {}
        }
    }

    fn peer_offer(&mut self, conn: ConnId, offer: PeerOffer, endpoint: Option<String>) {
        let mut descriptor = offer.descriptor;
        descriptor.deadline = self.clock.now_ms() + offer.patience_ms;
        let held = Held {
            // Work of another zone is not handed on to a third.
            spilled: offer.zone != self.zone,
            pool: PoolKey { pool: offer.pool, zone: offer.zone },
            descriptor,
            failed_at: offer.failed_at,
            place: Place::Here,
            asker: Asker::Peer(conn, offer.ticket),
            endpoint,
        };
        let ticket = self.held.insert_for_peer(conn, offer.ticket, held);
        self.place(ticket);
    }

    pub(super) fn conn_down(&mut self, conn: ConnId) {
        self.peers.disconnected(conn);
        let lost = self.held.find(|held| matches!(held.asker, Asker::Peer(c, _) if c == conn));
        for ticket in lost {
            self.withdraw(ticket);
        }
    }
}
