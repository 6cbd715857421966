//! What every connection of a caller needs.

use std::{cell::Cell, rc::Rc};

use baobabvane_decide::Ticket;
use baobabvane_tasks::Mailbox;

use crate::{
    journal::Journal,
    settings::Settings,
    tasks::{claimant::ToClaimant, scheduler::ToScheduler},
    view::CurrentView,
};

/// Handles of the tasks, and the instance's own state.
pub(crate) struct Context {
    pub(crate) settings: Rc<Settings>,
    pub(crate) published: CurrentView,
    pub(crate) scheduler: Mailbox<ToScheduler>,
    pub(crate) claimant: Mailbox<ToClaimant>,
    pub(crate) journal: Journal,
    /// Whether the configuration is known.
    pub(crate) has_configuration: Rc<Cell<bool>>,
    /// Whether a stop was asked for.
    pub(crate) draining: Cell<bool>,
    /// Requests that are being answered.
    pub(crate) active: Cell<usize>,
    /// Callers' connections.
    pub(crate) connections: Cell<usize>,
    pub(crate) tickets: Cell<u64>,
}

impl Context {
    pub(crate) fn next_ticket(&self) -> Ticket {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        Ticket(ticket)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.has_configuration.get() && !self.draining.get()
    }
}
