//! Counts what is going on.

use std::cell::Cell;

/// Counts something for as long as it lives.
pub struct CountGuard<'a> {
    cell: &'a Cell<usize>,
}

impl<'a> CountGuard<'a> {
    /// Adds one to the count.
    pub fn new(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self { cell }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.cell.set(self.cell.get() - 1);
    }
}
