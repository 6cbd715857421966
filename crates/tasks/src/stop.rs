//! Asks a process to stop.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Asks a daemon to stop, from any thread or signal handler.
#[derive(Clone, Debug, Default)]
pub struct StopHandle {
    stop_requested: Arc<AtomicBool>,
}

impl StopHandle {
    /// Asks for a graceful stop.
    pub fn stop(&self) {
        self.stop_requested.store(true, Ordering::Relaxed);
    }

    /// Returns the flag that a signal handler may set.
    pub fn flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stop_requested)
    }

    /// Says whether a stop was asked for.
    pub fn is_stop_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }
}
