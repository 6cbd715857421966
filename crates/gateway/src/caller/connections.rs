//! Bounds the connections of callers.
//!
//! At the bound, a new connection closes the one that has been idle for longest, then the one whose
//! request has been incomplete for longest, then the slowest reader. Ordinary callers keep theirs.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use futures::channel::oneshot;
use monoio::time::Instant;

use crate::context::ClosedCounts;

/// A request may take this long to arrive before its connection can be closed for a new one.
const MIN_RECEIVING_TIME: Duration = Duration::from_secs(2);

/// What a connection waits for, if it can be closed for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request.
    Receiving,
    /// The response; such a connection is closed only as a slow reader.
    Serving,
}

/// The open connections of callers.
#[derive(Default)]
pub(crate) struct CallerConnections {
    open: Cell<usize>,
    next_number: Cell<u64>,
    /// By a number that grows with time, so that the first one has been in its phase for longest.
    idle: RefCell<BTreeMap<u64, Waiting>>,
    receiving: RefCell<BTreeMap<u64, Waiting>>,
    closed: Cell<ClosedCounts>,
}

struct Waiting {
    since: Instant,
    close_tx: oneshot::Sender<()>,
}

/// An open connection; it is no longer counted once this is dropped.
pub(super) struct CallerConnection {
    connections: Rc<CallerConnections>,
    phase: Phase,
    number: u64,
}

impl CallerConnections {
    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns how many connections were closed for others, without slow readers.
    pub(crate) fn closed_counts(&self) -> ClosedCounts {
        self.closed.get()
    }

    /// Counts a new connection that is closed, as no other one could be.
    pub(super) fn count_refused(&self) {
        let closed = self.closed.get();
        self.closed.set(ClosedCounts { new: closed.new + 1, ..closed });
    }

    pub(super) fn add(self: &Rc<Self>) -> CallerConnection {
        self.open.set(self.open.get() + 1);
        CallerConnection { connections: Rc::clone(self), phase: Phase::Serving, number: 0 }
    }

    /// Asks a connection that is idle, or whose request does not arrive, to close; returns whether
    /// there was one.
    pub(super) fn close_one(&self, now: Instant) -> bool {
        let closed = self.closed.get();
        if let Some((_, waiting)) = self.idle.borrow_mut().pop_first() {
            // An error means that the connection is being closed already.
            let _ = waiting.close_tx.send(());
            self.closed.set(ClosedCounts { idle: closed.idle + 1, ..closed });
            return true;
        }
        let mut receiving = self.receiving.borrow_mut();
        let Some(oldest) = receiving.first_entry() else { return false };
        if now.saturating_duration_since(oldest.get().since) < MIN_RECEIVING_TIME {
            return false;
        }
        let _ = oldest.remove().close_tx.send(());
        let incomplete_requests = closed.incomplete_requests + 1;
        self.closed.set(ClosedCounts { incomplete_requests, ..closed });
        true
    }
}

impl CallerConnection {
    /// Enters a phase; the result resolves when the connection has to be closed for a new one.
    pub(super) fn enter(&mut self, phase: Phase, now: Instant) -> oneshot::Receiver<()> {
        self.leave_phase();
        let (close_tx, close_rx) = oneshot::channel();
        let number = self.connections.next_number.get() + 1;
        self.connections.next_number.set(number);
        (self.phase, self.number) = (phase, number);
        if let Some(waiting) = self.waiting() {
            waiting.borrow_mut().insert(number, Waiting { since: now, close_tx });
        }
        close_rx
    }

    /// Enters the phase in which a request is served.
    pub(super) fn serve(&mut self) {
        self.leave_phase();
        self.phase = Phase::Serving;
    }

    fn waiting(&self) -> Option<&RefCell<BTreeMap<u64, Waiting>>> {
        match self.phase {
            Phase::Idle => Some(&self.connections.idle),
            Phase::Receiving => Some(&self.connections.receiving),
            Phase::Serving => None,
        }
    }

    fn leave_phase(&mut self) {
        if let Some(waiting) = self.waiting() {
            waiting.borrow_mut().remove(&self.number);
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.leave_phase();
        self.connections.open.set(self.connections.open.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use futures::FutureExt;

    use super::*;

    #[test]
    fn idle_connections_are_closed_before_incomplete_requests_and_the_oldest_first() {
        let connections = Rc::new(CallerConnections::default());
        let now = Instant::now();
        let mut added: Vec<_> = (0..5).map(|_| connections.add()).collect();
        let phases = [Phase::Receiving, Phase::Idle, Phase::Serving, Phase::Idle, Phase::Receiving];
        let mut closed: Vec<_> =
            added.iter_mut().zip(phases).map(|(c, phase)| c.enter(phase, now)).collect();
        assert!(connections.close_one(now));
        assert!((&mut closed[1]).now_or_never().is_some());
        assert!(connections.close_one(now));
        assert!(!connections.close_one(now), "requests get some time to arrive");
        drop(added.pop());
        assert!(connections.close_one(now + MIN_RECEIVING_TIME));
        assert!((&mut closed[0]).now_or_never().is_some());
        assert!(!connections.close_one(now + MIN_RECEIVING_TIME));
        let closed = ClosedCounts { idle: 2, incomplete_requests: 1, ..Default::default() };
        assert_eq!(connections.closed_counts(), closed);
        assert_eq!(connections.open(), 4);
        drop(added);
        assert_eq!(connections.open(), 0);
    }
}
