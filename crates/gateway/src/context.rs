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
    headers::HeaderNames, knowledge::Knowledge, links::Links, scheduler::SchedulerMessage,
};

/// Handles of the tasks, and the instance's own state.
pub(crate) struct Context {
    pub(crate) names: HeaderNames,
    pub(crate) knowledge: Rc<Knowledge>,
    pub(crate) scheduler: Mailbox<SchedulerMessage>,
    pub(crate) links: Links,
    /// How old the word on the configuration may be for a refusal that rests on it.
    pub(crate) max_configuration_age: Duration,
    /// The request to stop, once it was made.
    pub(crate) drain: Drain,
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
        scheduler: Mailbox<SchedulerMessage>,
        max_configuration_age: Duration,
    ) -> Self {
        Self {
            names,
            knowledge,
            scheduler,
            links: Links::default(),
            max_configuration_age,
            drain: Drain::default(),
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
        self.knowledge.is_complete() && !self.drain.has_begun()
    }
}

/// The way of an instance from the request to stop to its end.
///
/// New requests are served for a while, since the balancer needs some probes to see
/// that the instance is leaving, and then told to come back elsewhere, so that
/// whatever was taken can be finished.
pub(crate) struct Drain {
    since: Cell<Option<Instant>>,
    begin: RefCell<Option<oneshot::Sender<()>>>,
    begun: Shared<oneshot::Receiver<()>>,
}

/// How long new requests are still served after the request to stop; two probes of
/// the balancer, one a second, fit.
const SERVE_NEW: Duration = Duration::from_millis(2_500);

impl Default for Drain {
    fn default() -> Self {
        let (tx, rx) = oneshot::channel();
        Self { since: Cell::new(None), begin: RefCell::new(Some(tx)), begun: rx.shared() }
    }
}

impl Drain {
    pub(crate) fn begin(&self) {
        self.since.set(Some(Instant::now()));
        if let Some(tx) = self.begin.borrow_mut().take() {
            // Nobody may be waiting.
            let _ = tx.send(());
        }
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.since.get().is_some()
    }

    /// Says whether requests that come now are told to come back elsewhere.
    pub(crate) fn refuses_new(&self) -> bool {
        self.since.get().is_some_and(|since| since.elapsed() > SERVE_NEW)
    }

    /// Resolves when the stop is asked for.
    pub(crate) async fn begun(&self) {
        let _ = self.begun.clone().await;
    }
}
