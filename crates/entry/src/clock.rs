//! The machine's clocks: wall-clock time and monotonic time, both in milliseconds.

use std::time::{SystemTime, UNIX_EPOCH};

use monoio::time::Instant;

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the clock is before
/// the epoch.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A monotonic clock that counts milliseconds from its start; the scheduler passes its time to the
/// decision cores (`baobabvane_decide::Core`).
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
