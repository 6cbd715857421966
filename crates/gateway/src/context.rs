//! What every connection of a caller needs.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use baobabvane_decide::Ticket;

use crate::{
    headers::HeaderNames, knowledge::Knowledge, links::Links, message::Mailbox,
    scheduler::ToScheduler,
};

/// Handles of the tasks, and the instance's own state.
pub(crate) struct Context {
    pub(crate) names: HeaderNames,
    pub(crate) knowledge: Rc<Knowledge>,
    pub(crate) scheduler: Mailbox<ToScheduler>,
    pub(crate) links: Links,
    /// How old the word on the configuration may be for a refusal that rests on it.
    pub(crate) max_configuration_age: Cell<Duration>,
    /// Whether a stop was asked for.
    pub(crate) is_draining: Cell<bool>,
    /// Requests that are being answered.
    pub(crate) active: Cell<usize>,
    /// Callers' connections.
    pub(crate) connections: Cell<usize>,
    tickets: Cell<u64>,
    draw: RefCell<rand::rngs::SmallRng>,
}

impl Context {
    pub(crate) fn new(
        names: HeaderNames,
        knowledge: Rc<Knowledge>,
        scheduler: Mailbox<ToScheduler>,
        max_configuration_age: Duration,
    ) -> Self {
        Self {
            names,
            knowledge,
            scheduler,
            links: Links::default(),
            max_configuration_age: Cell::new(max_configuration_age),
            is_draining: Cell::new(false),
            active: Cell::new(0),
            connections: Cell::new(0),
            tickets: Cell::new(0),
            draw: RefCell::new(rand::make_rng()),
        }
    }

    pub(crate) fn next_ticket(&self) -> Ticket {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        Ticket(ticket)
    }

    /// Draws a number that is evenly spread over 0 to 1.
    pub(crate) fn draw(&self) -> f64 {
        use rand::RngExt;
        self.draw.borrow_mut().random()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.knowledge.is_complete() && !self.is_draining.get()
    }
}

/// Counts something for as long as it lives.
pub(crate) struct Counted<'a> {
    cell: &'a Cell<usize>,
}

impl<'a> Counted<'a> {
    pub(crate) fn new(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self { cell }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.cell.set(self.cell.get() - 1);
    }
}
