//! Cuts a stream into its events, so that only whole ones are passed on.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monoio::time::Instant;

/// Follows the events of one answer over one or several streams.
#[derive(Debug, Default)]
pub(crate) struct EventStream {
    partial: BytesMut,
    last_id: Option<u64>,
    passed: u32,
    pace: Pace,
}

/// How timely the events of an answer were.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// When the last event came.
    last_at: Option<Instant>,
    /// When the first event came.
    pub(crate) first_at: Option<Instant>,
    /// The longest time between two events.
    pub(crate) longest_gap: Duration,
}

impl Pace {
    fn event(&mut self, now: Instant) {
        self.first_at = self.first_at.or(Some(now));
        if let Some(last) = self.last_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        }
    }
}

impl EventStream {
    /// Starts after an event, or at the beginning.
    pub(crate) fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Takes what arrived and returns the whole events that are new.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Bytes {
        self.partial.extend_from_slice(piece);
        let mut passed = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if id.is_some_and(|id| self.last_id.is_some_and(|last| id <= last)) {
                continue;
            }
            self.last_id = id.or(self.last_id);
            self.passed += 1;
            self.pace.event(Instant::now());
            passed.unsplit(event);
        }
        passed.freeze()
    }

    /// Returns what follows the last whole event, at the proper end of a stream.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Forgets an event that broke off, before the stream goes on elsewhere.
    pub(crate) fn break_off(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns how timely the events were.
    pub(crate) fn pace(&self) -> Pace {
        self.pace
    }

    /// Returns how many events were passed on.
    pub(crate) fn passed(&self) -> u32 {
        self.passed
    }
}

/// Returns where the first event ends, after its blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..i];
        if line.is_empty() || line == b"\r" {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_whole_events_pass() {
        let mut events = EventStream::default();
        assert_eq!(events.push(b"id: 1\ndata: a\n"), "");
        assert_eq!(events.push(b"\nid: 2\nda"), "id: 1\ndata: a\n\n");
        assert_eq!(events.last_id(), Some(1));
        assert_eq!(events.push(b"ta: b\n\n"), "id: 2\ndata: b\n\n");
        assert_eq!((events.last_id(), events.passed()), (Some(2), 2));
    }

    #[test]
    fn a_stream_that_goes_on_elsewhere_repeats_nothing() {
        let mut events = EventStream::default();
        events.push(b"id: 1\ndata: a\n\nid: 2\nda");
        events.break_off();
        let passed = events.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assert_eq!(passed, "id: 2\ndata: b\n\n");
    }

    #[test]
    fn what_follows_the_last_event_passes_at_the_end_only() {
        let mut events = EventStream::default();
        assert_eq!(events.push(b"\r\ntail"), "\r\n");
        assert_eq!(events.finish(), "tail");
        assert_eq!(events.finish(), "");
    }
}
