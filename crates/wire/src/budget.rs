//! Bounds the memory that the bodies of requests take, over all connections.

use std::{cell::Cell, rc::Rc};

/// The memory for bodies of requests that the connections of a process share.
#[derive(Debug)]
pub struct BodyBudget {
    total_bytes: usize,
    free_bytes: Cell<usize>,
}

impl BodyBudget {
    /// Creates a budget of this many bytes.
    pub fn new(total_bytes: usize) -> Rc<Self> {
        Rc::new(Self { total_bytes, free_bytes: Cell::new(total_bytes) })
    }

    /// Reserves memory for a body, before any of it is read, so that a body that was begun can be
    /// read to its end; one that is larger than the budget takes all of it.
    ///
    /// Returns `None` if too little is free.
    pub(crate) fn reserve(self: &Rc<Self>, bytes: usize) -> Option<BodyPermit> {
        let bytes = bytes.min(self.total_bytes);
        self.free_bytes.set(self.free_bytes.get().checked_sub(bytes)?);
        Some(BodyPermit { budget: Rc::clone(self), bytes })
    }
}

/// Reserved memory, which is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct BodyPermit {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

impl BodyPermit {
    /// Frees what the body did not take.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let unused = self.bytes.saturating_sub(bytes);
        self.bytes -= unused;
        self.budget.free_bytes.set(self.budget.free_bytes.get() + unused);
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn permits_never_exceed_the_budget_and_return_what_they_took() {
        let budget = BodyBudget::new(100);
        let mut first = budget.reserve(60).expect("all is free");
        assert!(budget.reserve(41).is_none());
        first.shrink_to(10);
        let second = budget.reserve(90).expect("the rest is free");
        assert!(budget.reserve(1).is_none());
        drop((first, second));
        assert_eq!(budget.free_bytes.get(), 100);
        assert!(budget.reserve(1_000).is_some());
    }
}
