//! Counts operations in progress, such as open connections.
//!
//! Every increment is reverted when its guard is dropped, also on early returns.

use std::cell::Cell;

/// Increments a counter while the guard exists and decrements it when dropped.
pub struct CountGuard<'a> {
    count: &'a Cell<usize>,
}

impl<'a> CountGuard<'a> {
    /// Increments the counter and returns the guard that decrements it.
    pub fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self { count }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
