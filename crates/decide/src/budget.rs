//! Bounds repeats, so that failures cannot multiply load.

/// Repeats allowed for each first dispatch.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Repeats that may come at once, as when an endpoint dies with all its requests.
const MAX_SAVED_RETRIES: f64 = 64.0;

/// A bucket that first dispatches fill and repeats empty.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    saved_retries: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self { saved_retries: MAX_SAVED_RETRIES }
    }

    pub(crate) fn earn(&mut self) {
        self.saved_retries = (self.saved_retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one repeat; false when the budget is spent.
    pub(crate) fn spend(&mut self) -> bool {
        if self.saved_retries < 1.0 {
            return false;
        }
        self.saved_retries -= 1.0;
        true
    }
}
