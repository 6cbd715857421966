//! Splits a `text/event-stream` body into its events.
//!
//! Only complete events are forwarded, and at the proper end of the stream the bytes after them.
//! Events with an id that is not larger than the last forwarded one are dropped, so that a resumed
//! stream repeats none of them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monoio::time::Instant;

/// Parser for the events of one response, which may come from several endpoints in turn.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    partial: BytesMut,
    last_event_id: Option<u64>,
    forwarded_events: u32,
    timing: EventTiming,
}

/// When the forwarded events of a response arrived, over all endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventTiming {
    last_event_at: Option<Instant>,
    pub(crate) first_event_at: Option<Instant>,
    /// Longest time between two consecutive forwarded events.
    pub(crate) longest_gap: Duration,
}

impl EventTiming {
    fn record_event(&mut self, now: Instant) {
        self.first_event_at = self.first_event_at.or(Some(now));
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        }
    }
}

impl EventParser {
    /// Creates a parser that drops events up to the given id.
    pub(crate) fn resume_after(last_event_id: Option<u64>) -> Self {
        Self { last_event_id, ..Self::default() }
    }

    /// Appends received data and returns the new events that it completes.
    pub(crate) fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let mut forwarded = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if id.is_some_and(|id| self.last_event_id.is_some_and(|last| id <= last)) {
                continue;
            }
            self.last_event_id = id.or(self.last_event_id);
            self.forwarded_events += 1;
            self.timing.record_event(Instant::now());
            forwarded.unsplit(event);
        }
        forwarded.freeze()
    }

    /// Takes the bytes after the last complete event; call it only if the stream ended properly.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards an incomplete event, before the stream is resumed at another endpoint.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last forwarded event that has one, or the id to resume after.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    pub(crate) fn timing(&self) -> EventTiming {
        self.timing
    }

    /// Returns how many events were forwarded, over all endpoints.
    pub(crate) fn forwarded_events(&self) -> u32 {
        self.forwarded_events
    }
}

/// Returns the length of the first event with the blank line that ends it, if it is complete.
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
    fn only_complete_events_are_forwarded() {
        let mut events = EventParser::default();
        assert_eq!(events.push(b"id: 1\ndata: a\n"), "");
        assert_eq!(events.push(b"\nid: 2\nda"), "id: 1\ndata: a\n\n");
        assert_eq!(events.last_event_id(), Some(1));
        assert_eq!(events.push(b"ta: b\n\n"), "id: 2\ndata: b\n\n");
        assert_eq!((events.last_event_id(), events.forwarded_events()), (Some(2), 2));
    }

    #[test]
    fn resumed_stream_does_not_repeat_events() {
        let mut events = EventParser::default();
        events.push(b"id: 1\ndata: a\n\nid: 2\nda");
        events.discard_partial();
        let forwarded = events.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assert_eq!(forwarded, "id: 2\ndata: b\n\n");
    }

    #[test]
    fn trailing_bytes_are_forwarded_only_at_the_end() {
        let mut events = EventParser::default();
        assert_eq!(events.push(b"\r\ntail"), "\r\n");
        assert_eq!(events.finish(), "tail");
        assert_eq!(events.finish(), "");
    }
}
