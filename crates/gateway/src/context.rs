//! State that the connections of callers share: configuration, task mailboxes, counters, drain.
//!
//! While an instance drains, requests that it has accepted run to their end unless the platform's
//! grace period for stopping an instance is over first.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use baobabvane_decide::Ticket;
use baobabvane_tasks::Mailbox;
use futures::{FutureExt, channel::oneshot, future::Shared};
use monoio::time::Instant;

use crate::{
    headers::HeaderNames, knowledge::Knowledge, links::EndpointConnections,
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
    ) -> Self {
        Self {
            header_names,
            knowledge,
            scheduler,
            endpoint_connections: EndpointConnections::default(),
            max_configuration_age,
            drain: Drain::default(),
            active_requests: Cell::new(0),
            caller_connections: Cell::new(0),
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

/// Drain state of an instance, from the stop request to the end of the process.
///
/// New requests are still served at first, as the load balancer needs a few probes to see that
/// the instance is not ready. Later ones are rejected, so that accepted requests can finish.
pub(crate) struct Drain {
    began_at: Cell<Option<Instant>>,
    begin_tx: RefCell<Option<oneshot::Sender<()>>>,
    begun_rx: Shared<oneshot::Receiver<()>>,
}

/// How long new requests are still served after the stop request. A load balancer that probes once
/// a second needs two probes to detect that the instance is not ready, and both fit in this time.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(2_500);

impl Default for Drain {
    fn default() -> Self {
        let (tx, rx) = oneshot::channel();
        Self { began_at: Cell::new(None), begin_tx: RefCell::new(Some(tx)), begun_rx: rx.shared() }
    }
}

impl Drain {
    pub(crate) fn begin(&self) {
        self.began_at.set(Some(Instant::now()));
        if let Some(tx) = self.begin_tx.borrow_mut().take() {
            // This cannot fail, as `begun_rx` keeps the receiver.
            let _ = tx.send(());
        }
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Returns whether a request that arrives now is rejected, so that the caller retries it at
    /// another instance.
    pub(crate) fn is_rejecting_new_requests(&self) -> bool {
        self.began_at.get().is_some_and(|began_at| began_at.elapsed() > DRAIN_ACCEPT_PERIOD)
    }

    /// Resolves once the drain has begun.
    pub(crate) async fn begun(&self) {
        let _ = self.begun_rx.clone().await;
    }
}
