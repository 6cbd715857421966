//! A request on its way through the scheduler, as a life cycle.
//!
//! [`Waiting`] becomes [`InFlight`] when an endpoint is granted. Whatever ends a
//! request early drops the value, which tells the scheduler.

use baobabvane_decide::{Ending, Ticket};
use baobabvane_tasks::Mailbox;

use crate::scheduler::{Grant, PlacementRequest, Refused, SchedulerMessage};

/// Withdraws the request unless it was granted or refused.
struct Waiting<'a> {
    ticket: Ticket,
    scheduler: &'a Mailbox<SchedulerMessage>,
    is_settled: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.scheduler.send(SchedulerMessage::CancelPlacement(self.ticket));
        }
    }
}

/// A request that an endpoint may be working on.
pub(super) struct InFlight {
    ticket: Ticket,
    scheduler: Mailbox<SchedulerMessage>,
    has_begun: bool,
    has_ended: bool,
}

impl InFlight {
    /// Notes that the first piece of the answer came.
    pub(super) fn first_piece(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.scheduler.send(SchedulerMessage::AnswerStarted(self.ticket));
        }
    }

    /// Notes how the request ended at the endpoint.
    pub(super) fn end(mut self, ending: Ending) {
        self.has_ended = true;
        self.scheduler.send(SchedulerMessage::RequestEnded(self.ticket, ending));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.has_ended {
            self.scheduler.send(SchedulerMessage::RequestEnded(self.ticket, Ending::Cancelled));
        }
    }
}

/// Asks for an endpoint and waits for it.
///
/// Returns `None` when the scheduler has ended, as at shutdown.
pub(super) async fn ask(
    scheduler: &Mailbox<SchedulerMessage>,
    order: PlacementRequest,
) -> Option<Result<(Grant, InFlight), Refused>> {
    let ticket = order.ticket;
    let mut waiting = Waiting { ticket, scheduler, is_settled: false };
    let result = scheduler.ask(|reply| SchedulerMessage::Place(Box::new(order), reply)).await?;
    waiting.is_settled = true;
    Some(result.map(|grant| {
        let scheduler = scheduler.clone();
        (grant, InFlight { ticket, scheduler, has_begun: false, has_ended: false })
    }))
}
