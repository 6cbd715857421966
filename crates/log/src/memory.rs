//! A log in this process's memory, with the interface of the service's client.
//! Records are lost when the process ends.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use monoio::time::{sleep, timeout};

use crate::{Batch, LogRecord, Stream};

/// Maximum number of records that one read returns.
const MAX_BATCH_RECORDS: usize = 1024;
/// How often a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Keeps all records in memory until the process ends; clones share the records.
#[derive(Clone, Debug, Default)]
pub struct MemoryLog {
    streams: Rc<RefCell<HashMap<Stream, Vec<LogRecord>>>>,
}

impl MemoryLog {
    pub(crate) fn append(&self, stream: Stream, data: String) -> u64 {
        let mut streams = self.streams.borrow_mut();
        let records = streams.entry(stream).or_default();
        let offset = records.len() as u64 + 1;
        records.push(LogRecord { offset, at_ms: unix_ms(), data });
        offset
    }

    pub(crate) async fn read(&self, stream: Stream, from: u64, max_wait: Duration) -> Batch {
        let record_arrives = async {
            while self.end_offset(stream) <= from.max(1) {
                sleep(POLL_INTERVAL).await;
            }
        };
        let _ = timeout(max_wait, record_arrives).await;
        self.batch(stream, from)
    }

    fn end_offset(&self, stream: Stream) -> u64 {
        self.streams.borrow().get(&stream).map_or(0, Vec::len) as u64 + 1
    }

    fn batch(&self, stream: Stream, from: u64) -> Batch {
        let streams = self.streams.borrow();
        let from = from.max(1);
        let records: Vec<LogRecord> = streams
            .get(&stream)
            .and_then(|records| records.get(from as usize - 1..))
            .map(|rest| rest.iter().take(MAX_BATCH_RECORDS).cloned().collect())
            .unwrap_or_default();
        let next = from + records.len() as u64;
        let end = streams.get(&stream).map_or(0, Vec::len) as u64 + 1;
        Batch { records, next, oldest: 1, end }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
