//! How a caller's request asks for an endpoint, and what it gets.

use std::{rc::Rc, time::Duration};

use baobabvane_decide::{Descriptor, Ending, Refusal, Ticket, Why};
use baobabvane_tasks::Mailbox;
use local_sync::oneshot;

use crate::{link::Link, tasks::scheduler::ToScheduler};

/// A request that asks for an endpoint.
pub(crate) struct Offer {
    pub(crate) ticket: Ticket,
    pub(crate) pool: String,
    /// Its deadline and failed endpoints are filled in by the scheduler.
    pub(crate) descriptor: Descriptor,
    /// Names of endpoints at which the request has failed.
    pub(crate) failed_at: Vec<String>,
    /// How long the caller waits from now on.
    pub(crate) patience: Duration,
    pub(crate) reply: oneshot::Sender<OfferReply>,
}

/// What the scheduler answers to an offer.
pub(crate) enum OfferReply {
    Granted(Grant),
    Refused(Refusal, Why),
}

/// An endpoint as the caller's side sees it.
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) link: Link,
}

/// The right to send one request to one endpoint.
///
/// The slot is given back when the grant ends or is dropped.
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
    /// Tells that the endpoint has begun to answer.
    pub(crate) fn report_first_token(&self) {
        self.mailbox.send(ToScheduler::FirstToken(self.ticket));
    }

    /// Tells how the request ended.
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

/// Withdraws an offer when it is dropped before its answer came.
struct OfferGuard<'a> {
    ticket: Ticket,
    mailbox: &'a Mailbox<ToScheduler>,
    is_answered: bool,
}

impl Drop for OfferGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.mailbox.send(ToScheduler::Withdraw(self.ticket));
        }
    }
}

/// Asks for an endpoint and waits; dropping the future withdraws the request.
///
/// Returns `None` when the scheduler has ended.
pub(crate) async fn request_grant(
    mailbox: &Mailbox<ToScheduler>,
    offer: impl FnOnce(oneshot::Sender<OfferReply>) -> Offer,
    ticket: Ticket,
) -> Option<OfferReply> {
    let mut guard = OfferGuard { ticket, mailbox, is_answered: false };
    let answer = mailbox.ask(|reply| ToScheduler::Offer(offer(reply))).await;
    guard.is_answered = true;
    answer
}
