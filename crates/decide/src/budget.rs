//! Limits retries to a share of first dispatches, so that failures cannot multiply load.

/// Retries that each first dispatch adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest burst of retries, such as after an endpoint dies with all its requests.
const MAX_SAVED_RETRIES: f64 = 64.0;

/// A token bucket that first dispatches fill and retries drain.
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

    /// Takes one retry from the budget, or returns false when it is exhausted.
    pub(crate) fn spend(&mut self) -> bool {
        if self.saved_retries < 1.0 {
            return false;
        }
        self.saved_retries -= 1.0;
        true
    }
}
