//! State that the connections of callers share: configuration, task mailboxes, counters, drain.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use baobabvane_decide::Ticket;
use baobabvane_tasks::Mailbox;
use baobabvane_wire::BodyBudget;

use crate::{
    drain::Drain, headers::HeaderNames, knowledge::Knowledge, links::EndpointConnections,
    scheduler::SchedulerMessage,
};

/// Shared state of an instance, handed to each caller connection.
pub(crate) struct Context {
    pub(crate) header_names: HeaderNames,
    pub(crate) knowledge: Rc<Knowledge>,
    pub(crate) scheduler: Mailbox<SchedulerMessage>,
    pub(crate) endpoint_connections: EndpointConnections,
    /// A 401 or 404 is given only if the configuration was confirmed to be the newest within this
    /// time.
    pub(crate) max_configuration_age: Duration,
    pub(crate) drain: Drain,
    /// Requests that were read and whose response is not yet written.
    pub(crate) active_requests: Cell<usize>,
    /// Open connections of callers, idle ones included.
    pub(crate) caller_connections: Cell<usize>,
    /// Memory for the bodies of requests.
    pub(crate) body_budget: Rc<BodyBudget>,
    /// Bytes of response bodies that are being read from endpoints.
    pub(crate) buffered_bytes: Cell<usize>,
    last_ticket: Cell<u64>,
    rng: RefCell<rand::rngs::SmallRng>,
}

impl Context {
    pub(crate) fn new(
        header_names: HeaderNames,
        knowledge: Rc<Knowledge>,
        scheduler: Mailbox<SchedulerMessage>,
        max_configuration_age: Duration,
        grace: Duration,
        body_budget: Rc<BodyBudget>,
    ) -> Self {
        Self {
            header_names,
            knowledge,
            scheduler,
            endpoint_connections: EndpointConnections::default(),
            max_configuration_age,
            drain: Drain::new(grace),
            active_requests: Cell::new(0),
            caller_connections: Cell::new(0),
            body_budget,
            buffered_bytes: Cell::new(0),
            last_ticket: Cell::new(0),
            rng: RefCell::new(rand::make_rng()),
        }
    }

    pub(crate) fn next_ticket(&self) -> Ticket {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        Ticket(ticket)
    }

    /// Returns a uniformly distributed random number from 0 up to, but excluding, 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        use rand::RngExt;
        self.rng.borrow_mut().random()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.knowledge.is_complete() && !self.drain.has_begun()
    }
}
