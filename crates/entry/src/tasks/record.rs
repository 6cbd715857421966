//! Follows a stream of the log, and encodes and decodes its records.

use std::time::Duration;

use baobabvane_domain::Entry;
use baobabvane_log::{Batch, LogClient, Stream};
use monoio::time::sleep;

/// How long one read at the end of the log waits for new records.
const MAX_READ_WAIT: Duration = Duration::from_secs(5);
/// Pause before the log is read again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads a stream endlessly from its first record and calls `on_read` with each batch, or with
/// `None` after a failed read.
///
/// Skips records that the log no longer keeps.
pub(crate) async fn follow(log: LogClient, stream: Stream, on_read: impl Fn(Option<Batch>)) {
    let mut next = 1;
    let mut wait = Duration::ZERO;
    loop {
        match log.read(stream, next, wait).await {
            Ok(batch) => {
                next = batch.next.max(batch.oldest);
                wait = if next < batch.end { Duration::ZERO } else { MAX_READ_WAIT };
                on_read(Some(batch));
            }
            Err(_) => {
                on_read(None);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Encodes entries as the JSON text of one record.
pub(crate) fn encode(entries: &[Entry]) -> String {
    serde_json::to_string(entries).expect("entries have string keys only")
}

/// Decodes the entries of a record.
///
/// Skips entries that cannot be decoded, because a newer release may have written them, and logs
/// their number. A record that is not a JSON array yields no entries and is logged as 0 skipped.
pub(crate) fn decode(data: &str) -> Vec<Entry> {
    if let Ok(entries) = serde_json::from_str(data) {
        return entries;
    }
    let values: Vec<serde_json::Value> = serde_json::from_str(data).unwrap_or_default();
    let entries: Vec<Entry> =
        values.iter().filter_map(|v| serde_json::from_value(v.clone()).ok()).collect();
    let skipped = values.len() - entries.len();
    log::error!("event=entries_unreadable skipped={skipped} read={}", entries.len());
    entries
}
