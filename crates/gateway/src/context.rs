//! What every connection of a caller needs.

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
    headers::HeaderNames, knowledge::Knowledge, links::EndpointConnections, scheduler::ToScheduler,
};

/// Handles of the tasks, and the instance's own state.
pub(crate) struct Context {
    pub(crate) header_names: HeaderNames,
    pub(crate) knowledge: Rc<Knowledge>,
    pub(crate) scheduler: Mailbox<ToScheduler>,
    pub(crate) endpoint_connections: EndpointConnections,
    /// How old the word on the configuration may be for a refusal that rests on it.
    pub(crate) max_configuration_age: Duration,
    /// The request to stop, once it was made.
    pub(crate) drain: Drain,
    /// Requests that are being answered.
    pub(crate) active_requests: Cell<usize>,
    /// Callers' connections.
    pub(crate) caller_connections: Cell<usize>,
    last_ticket: Cell<u64>,
    rng: RefCell<rand::rngs::SmallRng>,
}

impl Context {
    pub(crate) fn new(
        header_names: HeaderNames,
        knowledge: Rc<Knowledge>,
        scheduler: Mailbox<ToScheduler>,
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
            last_ticket: Cell::new(0),
            rng: RefCell::new(rand::make_rng()),
        }
    }

    pub(crate) fn next_ticket(&self) -> Ticket {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        Ticket(ticket)
    }

    /// Draws a number that is evenly spread over 0 to 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        use rand::RngExt;
        self.rng.borrow_mut().random()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.knowledge.is_complete() && !self.drain.has_begun()
    }
}

/// The way of an instance from the request to stop to its end.
///
/// New requests are served for a while, since the balancer needs some probes to see
/// that the instance is leaving, and then told to come back elsewhere, so that
/// whatever was taken can be finished.
pub(crate) struct Drain {
    began_at: Cell<Option<Instant>>,
    begin_tx: RefCell<Option<oneshot::Sender<()>>>,
    begun_rx: Shared<oneshot::Receiver<()>>,
}

/// How long new requests are still served after the request to stop; two probes of
/// the balancer, one a second, fit.
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
            // Nobody may be waiting.
            let _ = tx.send(());
        }
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Says whether requests that come now are told to come back elsewhere.
    pub(crate) fn is_refusing_new_requests(&self) -> bool {
        self.began_at.get().is_some_and(|began_at| began_at.elapsed() > DRAIN_ACCEPT_PERIOD)
    }

    /// Resolves when the stop is asked for.
    pub(crate) async fn begun(&self) {
        let _ = self.begun_rx.clone().await;
    }
}
