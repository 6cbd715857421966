//! An in-memory version of the store of the users' platform. Each topic is a log of keyed records,
//! read from an offset or as the newest record of each key.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use baobabvane_wire::{Request, Response, ServerConn};
use base64::{Engine as _, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::StatusCode;
use monoio::time::{Instant, sleep};
use serde_json::{Value, json};

use crate::server::{Handler, ServerHandle, json_response, spawn};

/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A fault that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Answers every call normally.
    #[default]
    None,
    /// Answers every call with status 503.
    Busy,
    /// Closes connections without a response.
    Reset,
    /// Never answers.
    Silent,
    /// Executes calls, then closes the connection without a response.
    LosesAnswers,
    /// Executes and answers each call after this delay.
    Slow(Duration),
    /// Answers reads only when their wait time is over, even if there are new records.
    NeverWakes,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    /// The records as they are read: the length of the key, the key and the value.
    records: Vec<Bytes>,
    /// The oldest offset that can be read; earlier records count as deleted.
    start: usize,
}

/// The store's contents and fault, shared by its handler and the test that controls it.
#[derive(Debug, Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
    /// How many times the store came back from an older copy.
    era: u64,
    fault: StoreFault,
    calls: u64,
}

/// The contents of a store at some moment.
#[derive(Debug)]
pub struct StoreCopy(HashMap<String, Topic>);

/// A running store; dropping it stops its thread.
#[derive(Debug)]
pub struct Store {
    server: ServerHandle,
    state: Arc<Mutex<StoreState>>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn spawn() -> Self {
        let state = Arc::new(Mutex::new(StoreState::default()));
        let handler_state = Arc::clone(&state);
        let server = spawn(SocketAddr::from(([127, 0, 0, 1], 0)), move || StoreHandler {
            state: handler_state,
        });
        Self { server, state }
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the fault for calls that arrive from now on; `NeverWakes` also affects waiting reads.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Appends a record with a JSON value, as an operator or an endpoint does.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.append(topic, key.as_bytes(), value.to_string().as_bytes());
    }

    /// Appends a record with an empty value, which removes the key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.append(topic, key.as_bytes(), b"");
    }

    /// Appends a record with any key of at most 255 bytes and any value.
    pub fn append(&self, topic: &str, key: &[u8], value: &[u8]) {
        let len = u8::try_from(key.len()).expect("the key is short");
        self.append_raw(topic, &[&[len], key, value].concat());
    }

    /// Appends a record that may be malformed.
    pub fn append_raw(&self, topic: &str, record: &[u8]) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push(Bytes::copy_from_slice(record));
    }

    /// Makes all current records unreadable by offset; the newest of each key stays readable.
    pub fn compact(&self) {
        for topic in self.lock().topics.values_mut() {
            topic.start = topic.records.len();
        }
    }

    /// Returns a copy of the contents, for [`Store::restore`].
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().topics.clone())
    }

    /// Replaces the contents with an older copy and begins a new era; offsets go back.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.topics = copy.0;
        state.era += 1;
    }

    /// Returns the JSON values of all records of a key, the oldest first.
    pub fn values(&self, topic: &str, key: &str) -> Vec<Value> {
        let state = self.lock();
        let records = state.topics.get(topic).map(|topic| topic.records.as_slice());
        let values = records.unwrap_or_default().iter().filter_map(|record| split_record(record));
        let of_key = values.filter(|(record_key, _)| record_key == key);
        of_key.filter_map(|(_, value)| serde_json::from_slice(value).ok()).collect()
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl Topic {
    fn newest(&self) -> Value {
        let mut newest: BTreeMap<String, (&[u8], usize)> = BTreeMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            if let Some((key, value)) = split_record(record) {
                newest.insert(key, (value, offset));
            }
        }
        let kept = newest.into_iter().filter(|(_, (value, _))| !value.is_empty());
        let entries: Vec<Value> = kept
            .map(|(key, (value, offset))| {
                json!({"key": key, "value": BASE64_STANDARD.encode(value), "logOffset": offset})
            })
            .collect();
        json!({"entries": entries, "hasMore": false, "endOffset": self.records.len()})
    }

    fn read(&self, from: usize) -> Vec<u8> {
        let mut body = (self.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&(self.start as u64).to_be_bytes());
        for record in self.records.iter().skip(from) {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        body
    }

    /// Appends all records of `body`. If one of them is malformed, appends none of them and returns
    /// `None`.
    fn append(&mut self, mut body: &[u8]) -> Option<()> {
        let mut records = Vec::new();
        while !body.is_empty() {
            let (len, rest) = body.split_first_chunk::<4>()?;
            let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*len) as usize)?;
            split_record(record)?;
            records.push(Bytes::copy_from_slice(record));
            body = rest;
        }
        self.records.extend(records);
        Some(())
    }
}

/// Returns the key and the value of a record, unless it is malformed.
fn split_record(record: &[u8]) -> Option<(String, &[u8])> {
    let (key_len, content) = record.split_first()?;
    let (key, value) = content.split_at_checked(usize::from(*key_len))?;
    Some((String::from_utf8_lossy(key).into_owned(), value))
}

struct StoreHandler {
    state: Arc<Mutex<StoreState>>,
}

impl StoreHandler {
    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    async fn answer(&self, req: &Request) -> Response {
        let query: HashMap<&str, &str> = req
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let topic = query.get("topicName").copied().unwrap_or_default();
        let query_number = |name: &str| query.get(name).and_then(|v| v.parse::<usize>().ok());
        match req.uri().path() {
            "/log-newest" => {
                let mut state = self.lock();
                let newest = state.topics.entry(topic.to_owned()).or_default().newest();
                json_response(200, newest.to_string())
            }
            "/log-append" => {
                let mut state = self.lock();
                let topic = state.topics.entry(topic.to_owned()).or_default();
                if query_number("at").is_some_and(|at| at != topic.records.len()) {
                    let end = json!({"endOffset": topic.records.len()});
                    return json_response(412, end.to_string());
                }
                match topic.append(req.body()) {
                    Some(()) => json_response(200, "{}".to_owned()),
                    None => json_response(400, "{}".to_owned()),
                }
            }
            "/log-read" => {
                let wait = query_number("waitTimeoutMs").unwrap_or_default() as u64;
                self.read(topic, query_number("from").unwrap_or_default(), wait).await
            }
            _ => json_response(404, "{}".to_owned()),
        }
    }

    async fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Response {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let mut state = self.lock();
                let never_wakes = state.fault == StoreFault::NeverWakes;
                let topic = state.topics.entry(topic.to_owned()).or_default();
                if from < topic.start || from > topic.records.len() {
                    let start = json!({"startOffset": topic.start});
                    return json_response(410, start.to_string());
                }
                let has_timed_out = Instant::now() >= deadline;
                if has_timed_out || (topic.records.len() > from && !never_wakes) {
                    return Response::new(topic.read(from).into());
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Handler for StoreHandler {
    async fn handle(&self, conn: &mut ServerConn, req: Request) -> bool {
        let fault = {
            let mut state = self.lock();
            state.calls += 1;
            state.fault
        };
        match fault {
            StoreFault::Reset => return false,
            StoreFault::Silent => {
                conn.peer_closed().await;
                return false;
            }
            StoreFault::Busy => {
                let mut res = Response::new(Bytes::new());
                *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                return conn.write_response(res).await.is_ok();
            }
            StoreFault::Slow(delay) => sleep(delay).await,
            StoreFault::None | StoreFault::LosesAnswers | StoreFault::NeverWakes => {}
        }
        let mut res = self.answer(&req).await;
        res.headers_mut().insert("store-era", self.lock().era.into());
        if fault == StoreFault::LosesAnswers {
            return false;
        }
        conn.write_response(res).await.is_ok()
    }
}
