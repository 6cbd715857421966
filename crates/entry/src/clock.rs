//! Reads the clocks of the machine.

use std::time::{SystemTime, UNIX_EPOCH};

use monoio::time::Instant;

/// Returns milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Counts milliseconds for the decision cores, without steps back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub(crate) fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }
}
