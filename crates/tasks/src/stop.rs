//! Asks a process to stop.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Asks a daemon to stop, from any thread or signal handler.
#[derive(Clone, Debug, Default)]
pub struct StopHandle {
    flag: Arc<AtomicBool>,
}

impl StopHandle {
    /// Asks for a graceful stop.
    pub fn stop(&self) {
        self.flag.store(true, Ordering::Relaxed);
    }

    /// Returns the flag that a signal handler may set.
    pub fn flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.flag)
    }

    /// Says whether a stop was asked for.
    pub fn is_stop_requested(&self) -> bool {
        self.flag.load(Ordering::Relaxed)
    }
}
