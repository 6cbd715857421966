//! The state that all connections of callers share.

use std::{cell::Cell, rc::Rc};

use baobabvane_decide::Ticket;
use baobabvane_tasks::Mailbox;

use crate::{
    journal::Journal,
    settings::Settings,
    tasks::{claimant::ToClaimant, scheduler::ToScheduler},
    view::CurrentView,
};

/// Handles to the tasks, and the instance's readiness, counters and settings.
pub(crate) struct Context {
    pub(crate) settings: Rc<Settings>,
    /// The configuration in force.
    pub(crate) published: CurrentView,
    pub(crate) scheduler: Mailbox<ToScheduler>,
    /// The task that claims idempotency keys in the platform's log.
    pub(crate) claimant: Mailbox<ToClaimant>,
    /// The latest scheduling decisions, for `baobabvanectl explain`.
    pub(crate) journal: Journal,
    /// Whether the instance has loaded a configuration.
    pub(crate) has_configuration: Rc<Cell<bool>>,
    /// Whether a stop was requested; new requests are refused.
    pub(crate) is_draining: Cell<bool>,
    /// Requests in progress; an at-most-once request counts once for its caller's connection and
    /// once for the task that runs it.
    pub(crate) active_requests: Cell<usize>,
    /// Open connections of callers.
    pub(crate) connections: Cell<usize>,
    /// The ticket given out last; tickets identify requests to the scheduler.
    pub(crate) last_ticket: Cell<u64>,
}

impl Context {
    pub(crate) fn next_ticket(&self) -> Ticket {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        Ticket(ticket)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.has_configuration.get() && !self.is_draining.get()
    }
}
