//! A request on its way through the scheduler, as a life cycle.
//!
//! [`Waiting`] becomes [`InFlight`] when an endpoint is granted. Whatever ends a
//! request early drops the value, which tells the scheduler.

use baobabvane_decide::{Ending, Ticket};
use baobabvane_tasks::Mailbox;

use crate::scheduler::{Grant, Order, Refused, ToScheduler};

/// Withdraws the request unless it was granted or refused.
struct QueuedRequest<'a> {
    ticket: Ticket,
    scheduler: &'a Mailbox<ToScheduler>,
    is_resolved: bool,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if !self.is_resolved {
            self.scheduler.send(ToScheduler::Withdraw(self.ticket));
        }
    }
}

/// A request that an endpoint may be working on.
pub(super) struct InFlightRequest {
    ticket: Ticket,
    scheduler: Mailbox<ToScheduler>,
    has_response_started: bool,
    has_ended: bool,
}

impl InFlightRequest {
    /// Notes that the first piece of the answer came.
    pub(super) fn record_response_start(&mut self) {
        if !std::mem::replace(&mut self.has_response_started, true) {
            self.scheduler.send(ToScheduler::FirstPiece(self.ticket));
        }
    }

    /// Notes how the request ended at the endpoint.
    pub(super) fn end(mut self, ending: Ending) {
        self.has_ended = true;
        self.scheduler.send(ToScheduler::End(self.ticket, ending));
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.has_ended {
            self.scheduler.send(ToScheduler::End(self.ticket, Ending::Cancelled));
        }
    }
}

/// Asks for an endpoint and waits for it.
///
/// Returns `None` when the scheduler has ended, as at shutdown.
pub(super) async fn request_endpoint(
    scheduler: &Mailbox<ToScheduler>,
    order: Order,
) -> Option<Result<(Grant, InFlightRequest), Refused>> {
    let ticket = order.ticket;
    let mut queued = QueuedRequest { ticket, scheduler, is_resolved: false };
    let result = scheduler.ask(|reply| ToScheduler::Offer(Box::new(order), reply)).await?;
    queued.is_resolved = true;
    Some(result.map(|grant| {
        let scheduler = scheduler.clone();
        (
            grant,
            InFlightRequest { ticket, scheduler, has_response_started: false, has_ended: false },
        )
    }))
}
