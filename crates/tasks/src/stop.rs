//! A shared flag that requests a graceful stop of the process.
//!
//! The flag is atomic, so that a signal handler or another thread may set it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Requests the process to stop, from any thread or signal handler; clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct StopHandle {
    stop_requested: Arc<AtomicBool>,
}

impl StopHandle {
    /// Requests a graceful stop; the process polls the flag.
    pub fn stop(&self) {
        self.stop_requested.store(true, Ordering::Relaxed);
    }

    /// Returns the flag, for signal handlers that set it directly.
    pub fn flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stop_requested)
    }

    /// Returns whether a stop has been requested.
    pub fn is_stop_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }
}
