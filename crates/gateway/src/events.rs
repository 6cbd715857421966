//! Splits a `text/event-stream` body into its events.
//!
//! Only complete events are forwarded. A stream that ends inside an event has been broken off.
//! Blank lines and comments between events are forwarded, too, but are no events.
//! Events with an id that is not larger than the last forwarded one are dropped, so that a resumed
//! stream repeats none of them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monoio::time::Instant;

/// The longest event with the blank lines and comments before it, in bytes. An endpoint that sends
/// more without ending an event is faulty.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An endpoint sent more than [`MAX_EVENT_BYTES`] without ending an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// The stream ended inside an event, so it has been broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndedInsideEvent;

/// Parser for the events of one response, which may come from several endpoints in turn.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    partial: BytesMut,
    /// Where the last line of `partial` begins.
    line_start: usize,
    /// Up to where `partial` has been searched for the end of the event.
    searched: usize,
    /// The bytes of blank lines and comments since the last event.
    bytes_since_event: usize,
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

    /// Returns the bytes that are held until their event is complete.
    pub(crate) fn held_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Appends received data and returns the new events that it completes, with the blank lines and
    /// comments between them.
    ///
    /// # Errors
    ///
    /// Returns an error if no event ends within [`MAX_EVENT_BYTES`].
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial.extend_from_slice(data);
        let mut forwarded = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.partial.split_to(end);
            self.restart_search();
            if !is_event(&event) {
                self.bytes_since_event += event.len();
                forwarded.unsplit(event);
                continue;
            }
            self.bytes_since_event = 0;
            let id = event_id(&event);
            if id.is_some_and(|id| self.last_event_id.is_some_and(|last| id <= last)) {
                continue;
            }
            self.last_event_id = id.or(self.last_event_id);
            self.forwarded_events += 1;
            self.timing.record_event(Instant::now());
            forwarded.unsplit(event);
        }
        match self.bytes_since_event + self.partial.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(forwarded.freeze()),
        }
    }

    /// Returns the length of the first event with the blank line that ends it, if it is complete.
    fn find_event_end(&mut self) -> Option<usize> {
        for (i, byte) in self.partial.iter().enumerate().skip(self.searched) {
            if *byte != b'\n' {
                continue;
            }
            let line = &self.partial[self.line_start..i];
            if line.is_empty() || line == b"\r" {
                return Some(i + 1);
            }
            self.line_start = i + 1;
        }
        self.searched = self.partial.len();
        None
    }

    fn restart_search(&mut self) {
        self.line_start = 0;
        self.searched = 0;
    }

    /// Takes the blank bytes after the last event at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if other bytes are left.
    pub(crate) fn finish(&mut self) -> Result<Bytes, EndedInsideEvent> {
        if !self.partial.trim_ascii().is_empty() {
            return Err(EndedInsideEvent);
        }
        self.restart_search();
        Ok(self.partial.split().freeze())
    }

    /// Discards an incomplete event, before the stream is resumed at another endpoint.
    pub(crate) fn discard_partial(&mut self) {
        self.restart_search();
        self.bytes_since_event = 0;
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

/// Returns whether a block up to a blank line has a field, as opposed to comments only.
fn is_event(block: &[u8]) -> bool {
    block.split(|b| *b == b'\n').any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
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
        assert_eq!(events.push(b"id: 1\ndata: a\n").unwrap(), "");
        assert_eq!(events.push(b"\nid: 2\nda").unwrap(), "id: 1\ndata: a\n\n");
        assert_eq!(events.last_event_id(), Some(1));
        assert_eq!(events.push(b"ta: b\n\n").unwrap(), "id: 2\ndata: b\n\n");
        assert_eq!((events.last_event_id(), events.forwarded_events()), (Some(2), 2));
    }

    #[test]
    fn resumed_stream_does_not_repeat_events() {
        let mut events = EventParser::default();
        events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
        events.discard_partial();
        let forwarded = events.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n").unwrap();
        assert_eq!(forwarded, "id: 2\ndata: b\n\n");
    }

    #[test]
    fn stream_that_ends_inside_an_event_is_not_finished() {
        let mut events = EventParser::default();
        assert_eq!(events.push(b"\r\ntail").unwrap(), "\r\n");
        assert_eq!(events.finish(), Err(EndedInsideEvent));
        events.discard_partial();
        assert_eq!(events.push(b"id: 1\ndata: a\n\n\r").unwrap(), "id: 1\ndata: a\n\n");
        assert_eq!(events.finish().unwrap(), "\r");
        assert_eq!(events.finish().unwrap(), "");
    }

    #[test]
    fn events_are_the_same_however_the_bytes_arrive() {
        let text = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n:\n\nid: 3\ndata: c\n\n";
        for size in 1..text.len() {
            let mut events = EventParser::default();
            let pieces = text.chunks(size).map(|piece| events.push(piece).unwrap());
            assert_eq!(pieces.collect::<Vec<_>>().concat(), text, "pieces of {size}");
            assert_eq!(events.last_event_id(), Some(3));
        }
    }

    #[test]
    fn bytes_of_a_long_line_are_searched_once() {
        let mut events = EventParser::default();
        for pieces in 1..100 {
            events.push(b"data: a line without end").unwrap();
            assert_eq!(events.searched, pieces * 24);
        }
    }

    #[test]
    fn event_without_end_is_an_error() {
        let mut events = EventParser::default();
        let line = [b"data: ".as_slice(), &[b'x'; 9_993], b"\n"].concat();
        let results: Vec<_> = (0..200).map(|_| events.push(&line)).collect();
        assert!(results[..100].iter().all(Result::is_ok));
        assert_eq!(results[199], Err(EventTooLong));
    }

    #[test]
    fn blank_lines_and_comments_are_forwarded_but_are_no_events() {
        let mut events = EventParser::default();
        let text = "\n\r\n: a comment\n\nid: 1\ndata: a\n\n\n:\n:\n\n";
        assert_eq!(events.push(text.as_bytes()).unwrap(), text);
        assert_eq!((events.forwarded_events(), events.last_event_id()), (1, Some(1)));
    }

    #[test]
    fn blank_lines_without_end_are_an_error() {
        for text in ["\n", "\r\n", ":\n\n"] {
            let mut events = EventParser::default();
            let piece = text.repeat(MAX_EVENT_BYTES / 4 / text.len());
            let results: Vec<_> = (0..6).map(|_| events.push(piece.as_bytes())).collect();
            assert!(results[..3].iter().all(Result::is_ok), "{text:?}");
            assert_eq!(results[5], Err(EventTooLong), "{text:?}");
        }
    }
}
