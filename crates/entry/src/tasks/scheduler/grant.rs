//! The offer of a request to the scheduler, and the grant of an endpoint in reply.
//!
//! A dropped offer or grant is reported to the scheduler, so that no slot leaks.

use std::{rc::Rc, time::Duration};

use baobabvane_decide::{Descriptor, Ending, Refusal, Ticket, Why};
use baobabvane_tasks::Mailbox;
use local_sync::oneshot;

use crate::{link::EndpointClient, tasks::scheduler::ToScheduler};

/// A request for which the scheduler is asked to grant an endpoint.
pub(crate) struct Offer {
    pub(crate) ticket: Ticket,
    pub(crate) pool: String,
    /// The scheduler sets the fields `deadline` and `failed_at`.
    pub(crate) descriptor: Descriptor,
    /// Names of the endpoints where earlier tries of the request failed.
    pub(crate) failed_at: Vec<String>,
    /// How long the caller waits, counted from the offer.
    pub(crate) patience: Duration,
    pub(crate) reply: oneshot::Sender<OfferReply>,
}

pub(crate) enum OfferReply {
    Granted(Grant),
    Refused(Refusal, Why),
}

/// An endpoint to which a granted request is sent.
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) client: EndpointClient,
}

/// The right to send one request to one endpoint.
///
/// Ending or dropping the grant frees the slot.
pub(crate) struct Grant {
    pub(crate) target: Rc<Target>,
    /// Estimated time to the first token, in milliseconds.
    pub(crate) first_token_ms: f64,
    pub(crate) cached_tokens: u32,
    pub(crate) why: Why,
    pub(super) ticket: Ticket,
    pub(super) mailbox: Mailbox<ToScheduler>,
    pub(super) is_ended: bool,
}

impl Grant {
    /// Reports to the scheduler that the first part of the response has arrived, which counts as
    /// its first token.
    pub(crate) fn report_first_token(&self) {
        self.mailbox.send(ToScheduler::FirstToken(self.ticket));
    }

    /// Reports to the scheduler how the request ended, and frees the slot.
    pub(crate) fn end(mut self, ending: Ending) {
        self.is_ended = true;
        self.mailbox.send(ToScheduler::End(self.ticket, ending));
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.is_ended {
            self.mailbox.send(ToScheduler::End(self.ticket, Ending::Cancelled));
        }
    }
}

/// Withdraws an offer if it is dropped before the reply arrives.
struct OfferGuard<'a> {
    ticket: Ticket,
    mailbox: &'a Mailbox<ToScheduler>,
    has_reply: bool,
}

impl Drop for OfferGuard<'_> {
    fn drop(&mut self) {
        if !self.has_reply {
            self.mailbox.send(ToScheduler::Withdraw(self.ticket));
        }
    }
}

/// Requests an endpoint and waits for the reply; dropping the future withdraws the offer.
/// `ticket` must be the ticket of the offer.
///
/// Returns `None` if the scheduler has stopped.
pub(crate) async fn request_grant(
    mailbox: &Mailbox<ToScheduler>,
    offer: impl FnOnce(oneshot::Sender<OfferReply>) -> Offer,
    ticket: Ticket,
) -> Option<OfferReply> {
    let mut guard = OfferGuard { ticket, mailbox, has_reply: false };
    let reply = mailbox.ask(|reply| ToScheduler::Offer(offer(reply))).await;
    guard.has_reply = true;
    reply
}
