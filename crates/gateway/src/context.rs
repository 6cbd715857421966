//! State that the connections of callers share: configuration, task mailboxes, counters, drain.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use baobabvane_decide::Ticket;
use baobabvane_tasks::Mailbox;
use baobabvane_wire::MemoryBudget;

use crate::{
    caller::CallerConnections, drain::Drain, headers::HeaderNames, knowledge::Knowledge,
    links::EndpointConnections, scheduler::SchedulerMessage,
};

/// Descriptors that are for files and whatever else is no connection.
const FILE_RESERVE: usize = 200;

/// How many connections of each kind the descriptors of a process allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DescriptorLimits {
    pub(crate) caller_connections: usize,
    pub(crate) endpoint_connections: usize,
    /// For probes and metrics, each.
    pub(crate) probe_connections: usize,
}

impl DescriptorLimits {
    /// Divides the descriptors. Callers get the most, as many of their connections are idle; the
    /// eighth that is left is for probes, metrics, the store and other instances.
    pub(crate) fn new(file_descriptors: usize) -> Self {
        let usable = file_descriptors.saturating_sub(FILE_RESERVE).max(MIN_CONNECTIONS);
        Self {
            caller_connections: usable * 5 / 8,
            endpoint_connections: usable / 4,
            probe_connections: usable / 32,
        }
    }
}

/// Connections that are possible however few descriptors are stated.
const MIN_CONNECTIONS: usize = 64;

/// Connections of callers that were closed because memory or descriptors were short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClosedCounts {
    /// Connections without a request.
    pub(crate) idle: u64,
    /// Connections whose request did not arrive.
    pub(crate) incomplete_requests: u64,
    /// Connections whose response was not read.
    pub(crate) slow_readers: u64,
    /// New connections for which no other one could be closed.
    pub(crate) new: u64,
}

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
    /// Memory for what the instance holds for others.
    pub(crate) memory: Rc<MemoryBudget>,
    /// Open connections of callers, idle ones included.
    pub(crate) caller_connections: Rc<CallerConnections>,
    /// The most connections of callers.
    pub(crate) max_caller_connections: usize,
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
        memory: Rc<MemoryBudget>,
        limits: DescriptorLimits,
    ) -> Self {
        Self {
            header_names,
            knowledge,
            scheduler,
            endpoint_connections: EndpointConnections::new(limits.endpoint_connections),
            max_configuration_age,
            drain: Drain::new(grace),
            active_requests: Cell::new(0),
            memory,
            caller_connections: Rc::default(),
            max_caller_connections: limits.caller_connections,
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

    pub(crate) fn closed_counts(&self) -> ClosedCounts {
        ClosedCounts {
            slow_readers: self.memory.evicted_readers(),
            ..self.caller_connections.closed_counts()
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.knowledge.is_complete() && !self.drain.has_begun()
    }
}
