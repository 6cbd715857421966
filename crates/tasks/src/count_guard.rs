//! Counts what is going on.

use std::cell::Cell;

/// Counts something for as long as it lives.
pub struct CountGuard<'a> {
    count: &'a Cell<usize>,
}

impl<'a> CountGuard<'a> {
    /// Adds one to the count.
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
