//! An in-memory version of the platform's log service that simulates its limits and outages.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use baobabvane_log::{Appended, Batch, LogRecord};
use baobabvane_wire::{Request, ServerConn};
use http::Method;
use local_sync::oneshot;
use monoio::time::{Instant, sleep, timeout};

use crate::server::{Handler, ServerHandle, json_response, spawn};

/// Maximum number of records that one read returns.
const MAX_BATCH_RECORDS: usize = 1024;
/// Interval at which a waiting read checks whether `down` is set.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Faults and limits that the log service simulates; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// Closes every connection without a response.
    pub down: bool,
    /// Stores appended records, then closes the connection without a response.
    pub lose_answers: bool,
    /// Answers appends with status 503 and does not store them.
    pub refuse: bool,
    /// Delay before each append is stored.
    pub delay: Duration,
    /// Number of newest records that each stream keeps; 0 keeps all.
    pub retention: usize,
    /// Maximum appends in one second over all streams; others get status 429. 0 sets no limit.
    pub appends_per_second: u32,
}

/// A running log service; dropping it stops its thread.
#[derive(Debug)]
pub struct LogService {
    server: ServerHandle,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    faults: LogFaults,
    streams: HashMap<String, Vec<LogRecord>>,
    /// Number of records that retention has removed from each stream.
    dropped: HashMap<String, u64>,
    appends: u64,
    /// The Unix second of the latest append and the number of appends in it, including those
    /// answered with 429.
    appends_in_second: (u64, u32),
}

impl LogService {
    /// Starts an empty log service on a free port.
    pub fn spawn() -> Self {
        Self::spawn_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts an empty log service at an address.
    pub fn spawn_at(address: SocketAddr) -> Self {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let handler_shared = Arc::clone(&shared);
        let server = spawn(address, move || LogHandler {
            shared: handler_shared,
            waiting_reads: RefCell::new(Vec::new()),
        });
        Self { server, shared }
    }

    /// Returns the address on which the log service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults from now on; `down` also ends reads that wait for a record.
    pub fn set_faults(&self, faults: LogFaults) {
        self.shared.lock().expect("the lock is not poisoned").faults = faults;
    }

    /// Returns how many records were appended to all streams, including those dropped since.
    pub fn appends(&self) -> u64 {
        self.shared.lock().expect("the lock is not poisoned").appends
    }

    /// Returns the records that a stream still keeps, oldest first.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        let shared = self.shared.lock().expect("the lock is not poisoned");
        shared.streams.get(stream).cloned().unwrap_or_default()
    }
}

impl Shared {
    /// Counts an append in the current second and returns whether it is within the limit.
    fn count_and_check_rate(&mut self) -> bool {
        let second = unix_ms() / 1_000;
        if self.appends_in_second.0 != second {
            self.appends_in_second = (second, 0);
        }
        self.appends_in_second.1 += 1;
        let rate = self.faults.appends_per_second;
        rate == 0 || self.appends_in_second.1 <= rate
    }

    fn append(&mut self, stream: &str, data: String) -> u64 {
        self.appends += 1;
        let records = self.streams.entry(stream.to_owned()).or_default();
        let dropped = self.dropped.entry(stream.to_owned()).or_default();
        let offset = *dropped + records.len() as u64 + 1;
        records.push(LogRecord { offset, at_ms: unix_ms(), data });
        let over = records.len().saturating_sub(self.faults.retention);
        if self.faults.retention > 0 && over > 0 {
            records.drain(..over);
            *dropped += over as u64;
        }
        offset
    }

    /// Returns the offset that the next appended record gets.
    fn end(&self, stream: &str) -> u64 {
        let kept = self.streams.get(stream).map_or(0, Vec::len) as u64;
        self.oldest(stream) + kept
    }

    /// Returns the offset of the oldest record that the stream keeps, or [`Shared::end`] when it
    /// keeps none.
    fn oldest(&self, stream: &str) -> u64 {
        self.dropped.get(stream).copied().unwrap_or(0) + 1
    }

    fn batch(&self, stream: &str, from: u64) -> Batch {
        let oldest = self.oldest(stream);
        let start = from.max(oldest);
        let records: Vec<LogRecord> = self
            .streams
            .get(stream)
            .into_iter()
            .flatten()
            .skip((start - oldest) as usize)
            .take(MAX_BATCH_RECORDS)
            .cloned()
            .collect();
        let next = start + records.len() as u64;
        Batch { records, next, oldest, end: self.end(stream) }
    }
}

struct LogHandler {
    shared: Arc<Mutex<Shared>>,
    /// Wakes the reads that wait for a new record.
    waiting_reads: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Handler for LogHandler {
    async fn handle(&self, conn: &mut ServerConn, req: Request) -> bool {
        let faults = self.faults();
        if faults.down {
            return false;
        }
        let path = req.uri().path().to_owned();
        let Some(stream) =
            path.strip_prefix("/v1/streams/").and_then(|p| p.strip_suffix("/records"))
        else {
            return conn.write_response(json_response(404, "{}".to_owned())).await.is_ok();
        };
        match *req.method() {
            Method::POST => self.append(conn, stream, &req, faults).await,
            _ => self.read(conn, stream, &req).await,
        }
    }
}

impl LogHandler {
    fn faults(&self) -> LogFaults {
        self.shared.lock().expect("the lock is not poisoned").faults
    }

    async fn append(
        &self,
        conn: &mut ServerConn,
        stream: &str,
        req: &Request,
        faults: LogFaults,
    ) -> bool {
        if faults.refuse {
            return conn.write_response(json_response(503, "{}".to_owned())).await.is_ok();
        }
        if !self.shared.lock().expect("the lock is not poisoned").count_and_check_rate() {
            return conn.write_response(json_response(429, "{}".to_owned())).await.is_ok();
        }
        if !faults.delay.is_zero() {
            sleep(faults.delay).await;
        }
        let data = String::from_utf8_lossy(req.body()).into_owned();
        let offset = self.shared.lock().expect("the lock is not poisoned").append(stream, data);
        for read in self.waiting_reads.borrow_mut().drain(..) {
            let _ = read.send(());
        }
        if faults.lose_answers {
            return false;
        }
        let answer = serde_json::to_string(&Appended { offset }).unwrap_or_default();
        conn.write_response(json_response(200, answer)).await.is_ok()
    }

    async fn read(&self, conn: &mut ServerConn, stream: &str, req: &Request) -> bool {
        let query_number = |name: &str| {
            let query = req.uri().query().unwrap_or_default();
            let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|v| v.parse::<u64>().ok())
        };
        let from = query_number("from").unwrap_or(1);
        let deadline = Instant::now() + Duration::from_millis(query_number("wait_ms").unwrap_or(0));
        while self.shared.lock().expect("the lock is not poisoned").end(stream) <= from
            && Instant::now() < deadline
            && !self.faults().down
        {
            let (tx, rx) = oneshot::channel();
            self.waiting_reads.borrow_mut().push(tx);
            // Another thread can set `down` without waking this read, so the wait is bounded.
            let _ = timeout(OUTAGE_POLL_INTERVAL, rx).await;
        }
        if self.faults().down {
            return false;
        }
        let batch = self.shared.lock().expect("the lock is not poisoned").batch(stream, from);
        let answer = serde_json::to_string(&batch).unwrap_or_default();
        conn.write_response(json_response(200, answer)).await.is_ok()
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
