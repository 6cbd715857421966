//! Stand-ins for the users' platform, on loopback addresses and with the standard library only: the
//! store, servers, clients, and the machine that runs the gateway with the deploy file's command.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    env, fs,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Writes the record of a run; each line has the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = fs::File::create(folder.join("record.txt")).expect("the folder is writable");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:6} ms  {text}");
        println!("{ms:6} ms  {text}");
    }

    /// Writes a line to the file only.
    pub fn log(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:6} ms  {text}");
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Whether the run has the disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- HTTP ------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn id(&self) -> &str {
        self.header("x-baobabvane-attempt-id")
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.as_str())
}

/// A connection with what was read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut piece = [0; 16384];
        let len = self.stream.read(&mut piece).ok()?;
        if len == 0 {
            return None;
        }
        self.buf.extend_from_slice(&piece[..len]);
        Some(())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Some(line);
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, len: usize) -> Option<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Some(self.buf.drain(..len).collect())
    }

    fn head(&mut self) -> Option<(String, Vec<(String, String)>)> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some((first, headers));
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    fn body(&mut self, headers: &[(String, String)], ends_with_connection: bool) -> Option<Vec<u8>> {
        if header(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let len = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
                body.extend(self.exactly(len)?);
                self.line()?;
                if len == 0 {
                    return Some(body);
                }
            }
        }
        match header(headers, "content-length").parse() {
            Ok(len) => self.exactly(len),
            Err(_) if ends_with_connection => {
                while self.fill().is_some() {}
                Some(std::mem::take(&mut self.buf))
            }
            Err(_) => Some(Vec::new()),
        }
    }

    pub fn read_request(&mut self) -> Option<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let body = self.body(&headers, false)?;
        Some(Request { method, target, headers, body })
    }

    /// Returns what has arrived, or arrives within `ms`, while no request waits for an answer.
    pub fn unsolicited(&mut self, ms: u64) -> Vec<u8> {
        let before = self.stream.read_timeout().ok().flatten();
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(ms)));
        self.fill();
        let _ = self.stream.set_read_timeout(before);
        self.buf.clone()
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// What a client got.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The status, the headers and the complete body.
    Complete(u16, Vec<(String, String)>, Vec<u8>),
    /// The connection could not be established.
    NotConnected,
    /// The connection ended, or nothing came in time, before the answer was complete.
    Broken,
}

impl Answer {
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Complete(status, ..) => Some(*status),
            _ => None,
        }
    }

    pub fn header(&self, name: &str) -> &str {
        match self {
            Self::Complete(_, headers, _) => header(headers, name),
            _ => "",
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Self::Complete(status, headers, body) => {
                let signature = header(headers, "x-baobabvane-response-signature");
                format!("{status} signature={signature:?} body={} bytes", body.len())
            }
            Self::NotConnected => "not connected".to_owned(),
            Self::Broken => "connection ended without a complete answer".to_owned(),
        }
    }
}

pub fn connect(address: SocketAddr, timeout_ms: u64) -> Option<Conn> {
    // A new connection has one second to be established.
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms))).ok()?;
    Some(Conn::new(stream))
}

/// Sends a request of a client on an open connection and reads its answer.
pub fn exchange(conn: &mut Conn, req: &Request) -> Answer {
    let mut head = format!("{} {} HTTP/1.1\r\n", req.method, req.target);
    for (name, value) in &req.headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !req.body.is_empty() || req.method == "POST" {
        head += &format!("content-length: {}\r\n", req.body.len());
    }
    head += "\r\n";
    let _ = conn.write(head.as_bytes()) && conn.write(&req.body);
    let answer = (|| {
        let (first, headers) = conn.head()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        // The answer to HEAD has no body, whatever its headers say.
        let body = match req.method == "HEAD" {
            true => Vec::new(),
            false => conn.body(&headers, true)?,
        };
        Some(Answer::Complete(status, headers, body))
    })();
    answer.unwrap_or(Answer::Broken)
}

/// Sends a request of a client on a new connection.
pub fn send(address: SocketAddr, req: &Request, timeout_ms: u64) -> Answer {
    match connect(address, timeout_ms) {
        Some(mut conn) => exchange(&mut conn, req),
        None => Answer::NotConnected,
    }
}

pub const HOST: &str = "desk.example";

/// A request of a client with the key `k1`; each has an id of its own.
pub fn client_request(method: &str, target: &str, deadline_ms: u64) -> Request {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let id = format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed) + 0x1000);
    let headers = [
        ("host", HOST.to_owned()),
        ("authorization", "Bearer k1".to_owned()),
        ("x-baobabvane-attempt-id", id),
        ("x-baobabvane-deadline-remaining", deadline_ms.to_string()),
    ];
    let headers = headers.into_iter().map(|(n, v)| (n.to_owned(), v)).collect();
    Request { method: method.to_owned(), target: target.to_owned(), headers, body: Vec::new() }
}

impl Request {
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

// ---- Store -----------------------------------------------------------------------------------

#[derive(Default)]
struct Topic {
    records: Vec<(Vec<u8>, Vec<u8>)>,
}

type Topics = Arc<(Mutex<HashMap<String, Topic>>, Condvar)>;

/// The platform's store: a log of keyed records.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Topics,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self { address: listener.local_addr().unwrap(), topics: Topics::default() };
        let topics = Arc::clone(&store.topics);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let topics = Arc::clone(&topics);
                thread::spawn(move || serve_store(Conn::new(stream), &topics));
            }
        });
        store
    }

    /// Writes a record, as the operator and the servers do; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        changed.notify_all();
    }
}

fn serve_store(mut conn: Conn, topics: &Topics) {
    while let Some(req) = conn.read_request() {
        let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let name = query.get("topicName").copied().unwrap_or_default();
        let number = |key: &str| query.get(key).and_then(|v| v.parse::<u64>().ok());
        let (status, body) = match path {
            "/log-newest" => newest(topics, name),
            "/log-read" => {
                let wait = number("waitTimeoutMs").unwrap_or(0);
                read(topics, name, number("from").unwrap_or(0) as usize, wait)
            }
            "/log-append" => append(topics, name, number("at"), &req.body),
            _ => (404, b"{}".to_vec()),
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nstore-era: 0\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if !conn.write(&[head.as_bytes(), &body].concat()) {
            return;
        }
    }
}

fn newest(topics: &Topics, name: &str) -> (u16, Vec<u8>) {
    let mut topics = topics.0.lock().unwrap();
    let records = &topics.entry(name.to_owned()).or_default().records;
    let mut newest: HashMap<&[u8], (usize, &[u8])> = HashMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    let entries: Vec<String> = newest
        .iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| {
            let (key, value) = (String::from_utf8_lossy(key), base64(value));
            format!(r#"{{"key":"{key}","value":"{value}","logOffset":{offset}}}"#)
        })
        .collect();
    let body = format!(
        r#"{{"entries":[{}],"hasMore":false,"endOffset":{}}}"#,
        entries.join(","),
        records.len()
    );
    (200, body.into_bytes())
}

fn read(topics: &Topics, name: &str, from: usize, wait_ms: u64) -> (u16, Vec<u8>) {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let (topics, changed) = &**topics;
    let mut topics = topics.lock().unwrap();
    loop {
        let records = &topics.entry(name.to_owned()).or_default().records;
        if from > records.len() {
            return (410, br#"{"startOffset":0}"#.to_vec());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend(0_u64.to_be_bytes());
            for (key, value) in records.iter().skip(from).take(1_024) {
                body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend(key);
                body.extend(value);
            }
            return (200, body);
        }
        topics = changed.wait_timeout(topics, left).unwrap().0;
    }
}

fn append(topics: &Topics, name: &str, at: Option<u64>, mut body: &[u8]) -> (u16, Vec<u8>) {
    let (topics, changed) = &**topics;
    let mut topics = topics.lock().unwrap();
    let records = &mut topics.entry(name.to_owned()).or_default().records;
    let first = records.len();
    if at.is_some_and(|at| at != first as u64) {
        return (412, format!(r#"{{"endOffset":{first}}}"#).into_bytes());
    }
    while body.len() >= 5 {
        let len = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
        let (record, rest) = body[4..].split_at(len);
        let (key, value) = record[1..].split_at(record[0] as usize);
        records.push((key.to_vec(), value.to_vec()));
        body = rest;
    }
    changed.notify_all();
    (200, format!(r#"{{"logOffset":{first},"endOffset":{}}}"#, records.len()).into_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = (0..3).fold(0, |bits, i| bits << 8 | u32::from(*group.get(i).unwrap_or(&0)));
        for i in 0..4 {
            match i <= group.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * i) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

// ---- Configuration ---------------------------------------------------------------------------

/// A route of the operator's configuration for the host [`HOST`].
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
}

impl Route {
    fn json(&self, priority: u64) -> String {
        let Self { prefix, kind, service, timeout_ms, target_ms, attempts } = self;
        let is_stream = *kind == "streaming";
        format!(
            r#"{{"name":"r{}","hostname":"{HOST}","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":{target_ms},"priority":{priority},"service":"{service}","maxAttempts":{attempts},"public":false,"sessionAffinity":{is_stream},"streamResumption":false,"gapTargetMs":500}}"#,
            prefix.replace('/', "-")
        )
    }
}

/// Returns the configuration with this version, in the format of the pages' example.
pub fn config(version: u64, routes: &[Route], max_body_bytes: u64) -> String {
    let routes: Vec<(&Route, u64)> = routes.iter().map(|route| (route, 1)).collect();
    config_with(version, &routes, max_body_bytes, &["k1"])
}

/// Like [`config`], with the priority of each route and the keys of the tenant.
pub fn config_with(version: u64, routes: &[(&Route, u64)], max_body_bytes: u64, keys: &[&str]) -> String {
    let routes: Vec<String> = routes.iter().map(|(route, p)| route.json(*p)).collect();
    let keys: Vec<String> = keys.iter().map(|key| format!("{key:?}")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"vane-pool","healthCheckPath":"/healthz","connectionLimit":360,"protocol":"h1","tlsEnabled":false,"inferenceEngine":{{"slotCount":11,"kvCacheTokens":438005,"kvTokenBytes":163840,"bandwidthMbps":550000.0,"migrations":true,"replicas":true,"stepSize":6,"most":12,"pinDurationMs":4000.0,"holdDurationMs":2000.0,"handleTtlS":5.0,"modelList":[{{"name":"m"}}]}}}},{{"name":"ledger-app","healthCheckPath":"/healthz","connectionLimit":96,"protocol":"h1","tlsEnabled":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{max_body_bytes},"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"growers","apiKeys":[{}],"priority":1}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

// ---- Servers ---------------------------------------------------------------------------------

/// What a server did with a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    pub has_run: bool,
}

/// What a server knows, for its handler.
pub struct ServerState {
    pub id: String,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub record: Record,
    /// Unix milliseconds of the start of its present process.
    born: AtomicU64,
    /// Until when it is down after a crash, in Unix milliseconds.
    down_until: AtomicU64,
    conns: Mutex<Vec<TcpStream>>,
}

impl ServerState {
    /// Ends the process: all its connections close, and it starts again after `down_ms` under the
    /// same id.
    pub fn crash(&self, down_ms: u64) {
        if self.is_down() {
            return;
        }
        let until = unix_ms() + down_ms;
        self.down_until.store(until, Ordering::Relaxed);
        self.born.store(until, Ordering::Relaxed);
        for conn in self.conns.lock().unwrap().drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }

    pub fn is_down(&self) -> bool {
        unix_ms() < self.down_until.load(Ordering::Relaxed)
    }

    pub fn note(&self, req: &Request, has_run: bool) {
        let arrival = Arrival { at_ms: self.record.ms(), id: req.id().to_owned(), has_run };
        self.arrivals.lock().unwrap().push(arrival);
        let what = if has_run { "runs" } else { "does not run" };
        self.record.log(&format!("server {} {what} {}", self.id, req.id()));
    }

    /// Returns how often an attempt ran here.
    pub fn runs_of(&self, id: &str) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|a| a.has_run && a.id == id).count()
    }

    /// Writes a complete answer with the attempt's id; a signature shows that the server ran it.
    pub fn answer(&self, conn: &mut Conn, req: &Request, status: u16, more: &str, body: &str) -> bool {
        let head = format!(
            "HTTP/1.1 {status} X\r\nx-baobabvane-attempt-id: {}\r\n{more}content-length: {}\r\n\r\n",
            req.id(),
            body.len()
        );
        conn.write(&[head.as_bytes(), body.as_bytes()].concat())
    }
}

pub const SIGNED: &str = "x-baobabvane-response-signature: 3e1b.07\r\n";
pub const NOT_RUN: &str = "x-baobabvane-not-executed: 1\r\n";

/// A server that registers in the store and keeps its entry fresh.
pub struct Server {
    pub address: SocketAddr,
    pub state: Arc<ServerState>,
    /// Whether its heartbeats reach the store.
    pub reaches_store: Arc<AtomicBool>,
}

/// How often servers write their entries, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_200;

impl Server {
    /// Starts a server; `handler` answers each request that expects it, and returns whether the
    /// connection stays open.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: u32,
        store: &Store,
        record: &Record,
        handler: impl Fn(&ServerState, &mut Conn, &Request) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(ServerState {
            id: id.to_owned(),
            arrivals: Mutex::default(),
            record: record.clone(),
            born: AtomicU64::new(unix_ms()),
            down_until: AtomicU64::new(0),
            conns: Mutex::default(),
        });
        let (handler, handler_state) = (Arc::new(handler), Arc::clone(&state));
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if handler_state.is_down() {
                    // A port with no listener resets the connection.
                    listener = None;
                    sleep_ms(2);
                    continue;
                }
                let Some(open) = &listener else {
                    listener = TcpListener::bind(address).ok();
                    continue;
                };
                let _ = open.set_nonblocking(true);
                let Ok((stream, _)) = open.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (handler, state) = (Arc::clone(&handler), Arc::clone(&handler_state));
                if let Ok(conn) = stream.try_clone() {
                    state.conns.lock().unwrap().push(conn);
                }
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Some(req) = conn.read_request() {
                        let expected = req.header("x-baobabvane-expected-instance");
                        let keeps = match expected.is_empty() || expected == state.id {
                            true => handler(&state, &mut conn, &req),
                            false => state.answer(&mut conn, &req, 421, "", ""),
                        };
                        if !keeps {
                            return;
                        }
                    }
                });
            }
        });
        let reaches_store = Arc::new(AtomicBool::new(true));
        let entry = {
            let (id, store, state) = (id.to_owned(), store.clone(), Arc::clone(&state));
            move |sequence: u64| {
                let born = state.born.load(Ordering::Relaxed);
                let entry = format!(
                    r#"{{"service":"{service}","address":"{address}","availabilityZone":"{zone}","version":"v1","slotCount":{slots},"lifecycleState":"ready","coldRemainingMs":0,"born":{born},"sequenceNumber":{sequence}}}"#
                );
                store.put("keyed.servers", &id, &entry);
            }
        };
        entry(1);
        let (reaches, id, store) = (Arc::clone(&reaches_store), id.to_owned(), store.clone());
        let (record, beat_state) = (record.clone(), Arc::clone(&state));
        thread::spawn(move || {
            // The store removes an entry after three heartbeat intervals of silence.
            let mut silent_beats = 0;
            let mut sequence = 1;
            loop {
                sleep_ms(HEARTBEAT_MS);
                if beat_state.is_down() {
                    // Its process writes at once when it is back; its counts start anew.
                    while beat_state.is_down() {
                        sleep_ms(5);
                    }
                    sequence = 0;
                }
                sequence += 1;
                if reaches.load(Ordering::Relaxed) {
                    if silent_beats >= 3 {
                        record.line(&format!("server {id}: its entry is back in the store"));
                    }
                    silent_beats = 0;
                    entry(sequence);
                    continue;
                }
                silent_beats += 1;
                if silent_beats == 3 {
                    record.line(&format!("store: the entry of {id} expired"));
                    store.put("keyed.servers", &id, "");
                }
            }
        });
        Self { address, state, reaches_store }
    }
}

// ---- Machines --------------------------------------------------------------------------------

/// A machine that runs the gateway with the command of the deploy file.
pub struct Machine {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub name: String,
    child: Child,
    settings_path: PathBuf,
    log_path: PathBuf,
    metrics_port: u16,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The processes that run now, for [`give_up`].
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, as the case cannot run.
fn give_up(cause: &str) -> ! {
    println!("{cause}; the case cannot run");
    for pid in RUNNING.lock().unwrap().iter() {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(*pid as i32, SIGKILL) };
    }
    std::process::exit(2)
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGHUP: i32 = 1;

/// Returns the root of the repository; the cases run in it.
fn root() -> PathBuf {
    PathBuf::from(env::var("REVIEW_ROOT").expect("run.sh sets REVIEW_ROOT"))
}

/// Returns a temporary folder, which is removed when [`Machines`] is dropped.
fn temporary_folder() -> PathBuf {
    let folder = env::temp_dir().join(format!("baobabvane-review-2-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// The machines of a case; dropping them ends their processes and removes their files.
pub struct Machines {
    pub all: Vec<Machine>,
    folder: PathBuf,
}

impl Machines {
    /// Starts `count` machines, with settings like those of the page's example.
    pub fn start(count: u8, store: &Store, memory_limit_mb: u64) -> Self {
        let folder = temporary_folder();
        let all = (0..count).map(|n| start_machine(n, store, memory_limit_mb, &folder)).collect();
        Self { all, folder }
    }

    /// Waits until each machine says that it is ready.
    pub fn wait_until_ready(&self) {
        self.all.iter().for_each(Machine::wait_until_ready);
        // Some heartbeats, so that the machines know of each other.
        sleep_ms(1_500);
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        for machine in &mut self.all {
            let _ = machine.child.kill();
            let _ = machine.child.wait();
        }
        match env::var("KEEP_LOGS").is_ok() {
            true => println!("logs: {}", self.folder.display()),
            false => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

fn start_machine(n: u8, store: &Store, memory_limit_mb: u64, folder: &Path) -> Machine {
    // An address of its own, as the port for other machines is the same on all of them.
    let pid = std::process::id();
    let ip = IpAddr::V4(Ipv4Addr::new(127, (pid >> 8 & 127) as u8 + 1, pid as u8, n + 10));
    let port = || TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port();
    let (callers, ready, peers) = (port(), port(), port());
    let (callers, ready) = (SocketAddr::new(ip, callers), SocketAddr::new(ip, ready));
    let zone = ["tanta", "mansoura", "zagazig"][usize::from(n) % 3];
    let name = format!("edge-{zone}-{n}");
    let settings = format!(
        "nodeName={name}\nrole=entry\nmachineClass=edge\nipAddress={ip}\navailabilityZone={zone}\n\
         region=nile-delta\nlistenAddresses.frontend={callers}\nlistenAddresses.ready={ready}\n\
         internalPortRange={peers},{peers}\nseedNodes=\nbootstrap=true\n\
         limits.memoryLimitMb={memory_limit_mb}\nlimits.fileDescriptors=4100\n\
         heartbeatIntervalMs={HEARTBEAT_MS}\ncontractBounds.connectivityMs=3000\n\
         contractBounds.drainTimeoutMs=2000\ncontractBounds.gracePeriodS=8\n\
         contractBounds.configApplyMs=2000\ncontractBounds.retryBudgetRatio=0.2\n\
         contractBounds.retryWindowS=10\ncontractBounds.retryAllowance=52\n\
         contractBounds.quotaIntervalS=8\ncontractBounds.quotaOvershoot=0.1\n\
         contractBounds.quotaTolerance=140000\nplatform.address={}\nplatform.form=log\n",
        store.address
    );
    let settings_path = folder.join(format!("{name}.conf"));
    fs::write(&settings_path, settings).unwrap();
    let metrics_port = port();
    let log_path = folder.join(format!("{name}.log"));
    let child = spawn_gateway(&settings_path, &log_path, metrics_port);
    Machine { callers, ready, child, name, settings_path, log_path, metrics_port }
}

fn spawn_gateway(settings: &Path, log: &Path, metrics_port: u16) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    let child = Command::new(root().join("target/release/baobabvane"))
        .arg("gateway")
        .current_dir(root())
        .env_clear()
        .env("PATH", env::var("PATH").unwrap_or_default())
        .env("BAOBABVANE_SETTINGS", settings)
        .env("BAOBABVANE_METRICS_PORT", metrics_port.to_string())
        .stdout(Stdio::from(log.try_clone().unwrap()))
        .stderr(Stdio::from(log))
        .spawn();
    let child = child.unwrap_or_else(|_| give_up("target/release/baobabvane does not run"));
    RUNNING.lock().unwrap().push(child.id());
    child
}

impl Machine {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end and starts it again, as the platform does.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id());
        self.child = spawn_gateway(&self.settings_path, &self.log_path, self.metrics_port);
    }

    /// Returns whether the machine answers its readiness probe with 200.
    pub fn is_ready(&self) -> bool {
        let probe = Request {
            method: "GET".to_owned(),
            target: "/readyz".to_owned(),
            headers: vec![("host".to_owned(), "m".to_owned())],
            body: Vec::new(),
        };
        send(self.ready, &probe, 1_000).status() == Some(200)
    }

    /// Waits until the machine is ready; without that, the case cannot run.
    pub fn wait_until_ready(&self) {
        let began = Instant::now();
        while !self.is_ready() {
            if began.elapsed() > Duration::from_secs(20) {
                give_up(&format!("{} is not ready", self.name));
            }
            sleep_ms(50);
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the peak memory of the process, in MB of a million bytes; 0 once it has ended.
    pub fn memory_mb(&self) -> u64 {
        memory_mb(self.child.id())
    }
}

/// Returns the peak memory of a process, in MB of a million bytes; 0 once it has ended.
pub fn memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0);
    kib * 1_024 / 1_000_000
}
