//! Observes a stream of server-sent events: counts the events and detects the final one.

/// The last event of a complete chat stream.
const DONE_LINE: &[u8] = b"data: [DONE]";
const DATA_FIELD: &[u8] = b"data:";

/// Counts the events of a stream that arrives in chunks of any size. It buffers at most one line,
/// cut to the length needed to recognise the last event.
#[derive(Debug, Default)]
pub(crate) struct EventCounter {
    line: Vec<u8>,
    events: u32,
    is_done: bool,
}

impl EventCounter {
    pub(crate) fn feed(&mut self, data: &[u8]) {
        for &byte in data {
            if byte == b'\n' {
                self.end_line();
            } else if self.line.len() < DONE_LINE.len() + 1 {
                self.line.push(byte);
            }
        }
    }

    /// Returns the number of events with data, which approximates the number of tokens.
    pub(crate) fn events(&self) -> u32 {
        self.events
    }

    /// Returns whether the last event of the stream has arrived.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    fn end_line(&mut self) {
        if self.line.trim_ascii_end() == DONE_LINE {
            self.is_done = true;
        } else if self.line.starts_with(DATA_FIELD) {
            self.events += 1;
        }
        self.line.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_counted_across_chunks() {
        let mut counter = EventCounter::default();
        for chunk in ["data: {\"a\"", ":1}\n\nda", "ta: {}\n\ndata: [DO", "NE]\r\n\r\n"] {
            counter.feed(chunk.as_bytes());
        }
        assert_eq!((counter.events(), counter.is_done()), (2, true));
    }
}
