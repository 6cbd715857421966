//! Stand-ins for the scripts of this review, with the standard library alone: the platform's store, engines,
//! clients, and the gateway processes that the deploy file starts.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit codes of a script: the rule was broken, it held, or the case could not run.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Writes what happened to `record.txt`, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the folder of the case can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.began.elapsed().as_secs_f64(), text.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A message of HTTP/1.1.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The start line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection that reads messages.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 * 1024];
        let len = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..len]);
        Ok(len > 0)
    }

    /// Reads a head; `None` if the peer closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { start, headers, body: Vec::new() }));
            }
            if !self.fill()? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if let Some(len) = message.header("content-length") {
            let len = len.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.take(len)?;
        } else if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
        }
        Ok(())
    }

    /// Reads a chunk; `None` after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.take_line()?;
        let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let chunk = self.take(len)?;
        self.take_line()?;
        Ok((len > 0).then_some(chunk))
    }

    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Returns a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A server that handles each connection in a thread, until its process ends.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Connection) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("the address is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || handle(Connection::new(stream)));
        }
    });
    address
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn free_ports<const N: usize>() -> [u16; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind(loopback()).expect("a free port"));
    listeners.map(|l| l.local_addr().expect("a bound socket has an address").port())
}

#[derive(Clone, Default)]
struct Topic {
    /// Records as they are read: the length of the key, the key and the value.
    records: Vec<Vec<u8>>,
}

/// Contents of the store.
#[derive(Default)]
pub struct StoreState {
    topics: HashMap<String, Topic>,
}

/// The platform's store, as the page on the protocol tells.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

impl Store {
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(StoreState::default()));
        let shared = Arc::clone(&state);
        let address = serve(loopback(), move |conn| serve_store(conn, &shared));
        Self { address, state }
    }

    /// Appends a record, as the operator or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        lock(&self.state).topics.entry(topic.to_owned()).or_default().records.push(record);
    }

    /// Returns the newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let state = lock(&self.state);
        let records = state.topics.get(topic)?.records.iter().rev();
        let mut values = records.filter_map(|record| split_record(record));
        let (_, value) = values.find(|(found, _)| *found == key.as_bytes())?;
        Some(String::from_utf8_lossy(value).into_owned())
    }
}

fn split_record(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (len, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*len))
}

fn serve_store(mut conn: Connection, state: &Mutex<StoreState>) {
    while let Ok(Some(req)) = conn.read_message() {
        let (path, query) = req.path().split_once('?').unwrap_or((req.path(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let name = query.get("topicName").copied().unwrap_or("").to_owned();
        let number = |key: &str| query.get(key).and_then(|v| v.parse::<usize>().ok());
        let (status, body) = match path {
            "/log-newest" => {
                let after = query.get("after").map(|key| percent_decode(key));
                let mut state = lock(state);
                (200, newest(&state.topics.entry(name).or_default().records, after.as_deref()))
            }
            "/log-append" => append(state, &name, number("at"), &req.body),
            "/log-read" => {
                let wait = Duration::from_millis(number("waitTimeoutMs").unwrap_or(0) as u64);
                let limit = number("fetchLimit").unwrap_or(1_024);
                read(state, &name, number("from").unwrap_or(0), limit, wait)
            }
            _ => (404, Vec::new()),
        };
        if conn.write(&response(status, &[("Store-Era", "0")], &body)).is_err() {
            return;
        }
    }
}

/// A page has at most so many records, or so many bytes of them.
const MAX_PAGE_RECORDS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

fn newest(records: &[Vec<u8>], after: Option<&[u8]>) -> Vec<u8> {
    let mut newest: BTreeMap<&[u8], (&[u8], usize)> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        if let Some((key, value)) = split_record(record) {
            newest.insert(key, (value, offset));
        }
    }
    newest.retain(|key, (value, _)| !value.is_empty() && after.is_none_or(|after| *key > after));
    let (mut entries, mut bytes) = (Vec::new(), 0);
    for (key, (value, offset)) in &newest {
        let key = String::from_utf8_lossy(key);
        let entry =
            format!(r#"{{"key":"{key}","value":"{}","logOffset":{offset}}}"#, base64(value));
        if entries.len() == MAX_PAGE_RECORDS
            || !entries.is_empty() && bytes + entry.len() > MAX_PAGE_BYTES
        {
            break;
        }
        bytes += entry.len();
        entries.push(entry);
    }
    let (end, has_more) = (records.len(), entries.len() < newest.len());
    format!(r#"{{"entries":[{}],"hasMore":{has_more},"endOffset":{end}}}"#, entries.join(","))
        .into_bytes()
}

fn percent_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = after
            .get(..2)
            .and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn append(state: &Mutex<StoreState>, name: &str, at: Option<usize>, body: &[u8]) -> (u16, Vec<u8>) {
    let mut state = lock(state);
    let topic = state.topics.entry(name.to_owned()).or_default();
    let end = topic.records.len();
    if at.is_some_and(|at| at != end) {
        return (412, format!(r#"{{"endOffset":{end}}}"#).into_bytes());
    }
    let (mut rest, mut records) = (body, Vec::new());
    while let Some((len, after)) = rest.split_first_chunk::<4>() {
        let Some((record, after)) = after.split_at_checked(u32::from_be_bytes(*len) as usize)
        else {
            return (400, Vec::new());
        };
        records.push(record.to_vec());
        rest = after;
    }
    topic.records.extend(records);
    let body = format!(r#"{{"logOffset":{end},"endOffset":{}}}"#, topic.records.len());
    (200, body.into_bytes())
}

fn read(
    state: &Mutex<StoreState>,
    name: &str,
    from: usize,
    limit: usize,
    wait: Duration,
) -> (u16, Vec<u8>) {
    let deadline = Instant::now() + wait;
    loop {
        {
            let mut state = lock(state);
            let topic = state.topics.entry(name.to_owned()).or_default();
            if from > topic.records.len() {
                return (410, br#"{"startOffset":0}"#.to_vec());
            }
            if topic.records.len() > from || Instant::now() >= deadline {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in topic.records.iter().skip(from).take(limit) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// A gateway process as the deploy file starts it.
pub struct Gateway {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    metrics_port: u16,
    child: Child,
}

impl Gateway {
    /// Starts a gateway on its own loopback address. `more` holds further lines of the settings, which
    /// replace those of the small deployment.
    pub fn start(folder: &Path, number: u8, store: SocketAddr, more: &[(&str, &str)]) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 3, 10 + number));
        let [frontend, ready, control, internal, metrics_port] = free_ports();
        let zone = ["tanta", "mansoura", "zagazig"][usize::from(number) % 3];
        let name = format!("edge-{zone}-{number}");
        let (frontend, ready) = (SocketAddr::new(ip, frontend), SocketAddr::new(ip, ready));
        let last = internal;
        let mut lines: Vec<(String, String)> = include_str!("small.conf")
            .lines()
            .filter_map(|line| line.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        let own = [
            ("nodeName", name.clone()),
            ("ipAddress", ip.to_string()),
            ("availabilityZone", zone.to_owned()),
            ("listenAddresses.frontend", frontend.to_string()),
            ("listenAddresses.ready", ready.to_string()),
            ("listenAddresses.controlPlane", SocketAddr::new(ip, control).to_string()),
            ("internalPortRange", format!("{internal},{last}")),
            ("platform.address", store.to_string()),
        ];
        lines.extend(own.map(|(key, value)| (key.to_owned(), value)));
        for (key, value) in more {
            lines.retain(|(known, _)| known != key);
            lines.push(((*key).to_owned(), (*value).to_owned()));
        }
        let text: String = lines.iter().map(|(key, value)| format!("{key}={value}\n")).collect();
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the temporary folder can be written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log, metrics_port);
        Self { name, frontend, ready, settings, log, metrics_port, child }
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, &self.log, self.metrics_port);
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut conn = Connection::new(stream);
        if conn.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").is_err() {
            return false;
        }
        matches!(conn.read_head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path, metrics_port: u16) -> Child {
    let out = fs::OpenOptions::new().create(true).append(true).open(log);
    Command::new("target/release/baobabvane")
        .arg("gateway")
        .env("BAOBABVANE_SETTINGS", settings)
        .env("BAOBABVANE_METRICS_PORT", metrics_port.to_string())
        .env_remove("RUST_LOG")
        .stdin(Stdio::null())
        .stdout(Stdio::from(out.expect("the temporary folder can be written")))
        .spawn()
        .expect("the build of the deploy file has run")
}

/// A temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder for temporary files can be written");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a route as the operator writes it.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"ficu95.example","pathPrefix":"{prefix}","routeKind":"{kind}",
        "timeoutMs":{timeout_ms},"targetLatencyMs":500,"priority":0,"service":"{service}","maxAttempts":2,
        "public":false,"sessionAffinity":false,"streamResumption":false,"gapTargetMs":500}}"#
    )
}

/// Returns a configuration with one tenant.
pub fn configuration(version: u64, routes: &[String], services: &[&str], tenants: &str) -> String {
    let services: Vec<String> =
        services.iter().map(|name| format!(r#"{{"name":"{name}"}}"#)).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,
        "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Returns an engine's entry.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    born: u64,
    sequence: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","availabilityZone":"{zone}","version":"v1",
        "slotCount":{slots},"lifecycleState":"{state}","coldRemainingMs":0,"sequenceNumber":{sequence},"born":{born}}}"#
    )
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id for a client attempt.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// Returns the head and the body of a request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Baobabvane-Attempt-Id: {id}\r\n\
         X-Baobabvane-Deadline-Remaining: {deadline_ms}\r\nAuthorization: Bearer k1\r\n{more}"
    );
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own and reads the whole answer.
pub fn send(to: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut conn = Connection::new(stream);
    conn.write(bytes)?;
    conn.read_message()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
