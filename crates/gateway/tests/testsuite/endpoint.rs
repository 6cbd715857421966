//! A fake endpoint that answers each request according to a script.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_gateway::DiscoveredEndpoint;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// How an endpoint handles a request.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Answers with a body after a delay.
    DelayedAnswer(Duration, &'static str),
    /// Answers 503 with the header that states that the request was not executed.
    NotExecuted,
    /// Answers like `NotExecuted`; writes the same answer once more, and then this one, when the next
    /// request arrives on the connection.
    NotExecutedAndAgain(&'static str),
    /// Answers 200 after another answer, like `NotExecuted` but without the request's id.
    AnonymousRefusalBefore(&'static str),
    /// Answers 421, as an endpoint does that took over the address of the expected one.
    Misdirected,
    /// Loses the answer: closes the connection after it received the request.
    CloseWithoutAnswer,
    /// Never answers.
    Hang,
    /// Sends the events up to this number and ends the stream properly.
    Events(u64),
    /// Sends the events up to this number and a part of another one, then closes the connection.
    BrokenEvents(u64),
    /// Sends three events, unless the prompt has the part with this id: then the head and so many
    /// events, and the connection closes, and the endpoint accepts no more connections.
    CrashOnPart(&'static str, u64),
    /// Sends the events up to this number, then keeps the connection open without sending more.
    StalledEvents(u64),
    /// Sends the events up to this number, then a byte now and then that completes no event.
    DrippedEvents(u64),
    /// Sends the events up to this number, then one event without end.
    EndlessEvent(u64),
    /// Sends two events as chunks, then this text again and again in place of the next chunk, until
    /// the gateway closes the connection; on streaming routes as a stream, on others as plain text.
    NoChunksAfterEvents(&'static str),
    /// Sends header lines without end.
    EndlessHead,
    /// Sends a chunked body without end.
    EndlessBody,
    /// Answers like `NotExecuted`, with a body that never ends.
    EndlessRefusal,
    /// Sends events at this interval, up to this number.
    SlowEvents(Duration, u64),
    /// Sends the answer to another request first, on the same connection.
    ForeignAnswerBefore(&'static str),
    /// Sends the answer to another request right after its own.
    ForeignAnswerAfter(&'static str),
    /// Sends the events up to this number and then this text, without a length or chunks; the
    /// stream ends when the connection closes.
    EventsUntilClose(u64, &'static str),
    /// Answers without a length; the body ends when the connection closes.
    UntilClose(&'static str),
    /// Writes this many bytes of an answer, in which `{id}` stands for the request's id, and closes the
    /// connection.
    Truncated(&'static str, usize),
    /// Answers 200 and names this rate limit, in requests per second.
    RateLimited(&'static str, &'static str),
    /// Answers 200 and says that the endpoint is leaving.
    Leaving(&'static str),
    /// Answers like `NotExecuted`, with this `Retry-After` in seconds.
    RetryAfter(&'static str),
    /// Answers 200 without the signature header.
    Unsigned,
    /// Sends bytes that are not HTTP.
    Garbage,
}

/// A request that an endpoint received; header names are in lower case.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) request_line: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// A running fake endpoint; clones share its state.
#[derive(Clone)]
pub(crate) struct Endpoint {
    pub(crate) entry: DiscoveredEndpoint,
    scripts: Rc<RefCell<VecDeque<Script>>>,
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    cancelled: Rc<RefCell<u32>>,
    bytes_written: Rc<RefCell<usize>>,
    has_crashed: Rc<RefCell<bool>>,
}

/// The pause between two bytes of an endpoint that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(20);
/// How long a [`Flood`] lasts if the gateway does not close the connection.
const MAX_FLOOD_TIME: Duration = Duration::from_secs(4);
/// How often an endpoint looks whether it has crashed.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The time until an endpoint crashes on a part of a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(60);
/// The time from the last event to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// The text that an endpoint repeats when its answer has no end.
const FLOOD: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

impl Endpoint {
    /// Starts an endpoint that uses one script per request and repeats the last one.
    pub(crate) fn spawn(id: &str, pool: &str, scripts: &[Script]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the OS assigns a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let endpoint = Self {
            entry: discovered_endpoint(id, pool, address),
            scripts: Rc::new(RefCell::new(scripts.iter().cloned().collect())),
            received: Rc::default(),
            cancelled: Rc::default(),
            bytes_written: Rc::default(),
            has_crashed: Rc::default(),
        };
        monoio::spawn(endpoint.clone().accept(listener));
        endpoint
    }

    /// Returns all requests received so far.
    pub(crate) fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.received.borrow().clone()
    }

    /// Returns the number of requests whose connection the gateway closed while the endpoint was
    /// still working on them.
    pub(crate) fn cancelled_requests(&self) -> u32 {
        *self.cancelled.borrow()
    }

    /// Returns whether a prompt has crashed the endpoint.
    pub(crate) fn has_crashed(&self) -> bool {
        *self.has_crashed.borrow()
    }

    /// Returns the number of bytes that answers without end have written.
    pub(crate) fn endless_bytes(&self) -> usize {
        *self.bytes_written.borrow()
    }

    async fn accept(self, listener: TcpListener) {
        while !self.has_crashed() {
            match timeout(CRASH_CHECK_INTERVAL, listener.accept()).await {
                Ok(Ok((stream, _))) => drop(monoio::spawn(self.clone().serve(stream))),
                Ok(Err(_)) => return,
                Err(_) => {}
            }
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            self.received.borrow_mut().push(request.clone());
            let script = {
                let mut scripts = self.scripts.borrow_mut();
                match scripts.len() {
                    1 => scripts[0].clone(),
                    _ => scripts.pop_front().expect("an endpoint has a script"),
                }
            };
            if !self.run_script(&mut stream, &request, script).await {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection can carry another one.
    async fn run_script(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
        script: Script,
    ) -> bool {
        let id = request.header("baobabvane-request-id").unwrap_or("-").to_owned();
        match script {
            Script::Answer(status, body) => write(stream, signed_answer(status, &id, body)).await,
            Script::DelayedAnswer(delay, body) => {
                sleep(delay).await;
                write(stream, signed_answer(200, &id, body)).await
            }
            Script::NotExecuted => write(stream, refusal(&id)).await,
            Script::NotExecutedAndAgain(body) => {
                if !write(stream, refusal(&id)).await {
                    return false;
                }
                let Some(next) = read_request(stream).await else { return false };
                let next_id = next.header("baobabvane-request-id").unwrap_or("-").to_owned();
                self.received.borrow_mut().push(next);
                write(stream, refusal(&id) + &signed_answer(200, &next_id, body)).await
            }
            Script::AnonymousRefusalBefore(body) => {
                let line = format!("baobabvane-request-id: {id}\r\n");
                let anonymous = refusal(&id).replace(&line, "");
                write(stream, anonymous + &signed_answer(200, &id, body)).await
            }
            Script::Misdirected => {
                write(stream, "HTTP/1.1 421 x\r\ncontent-length: 0\r\n\r\n".to_owned()).await
            }
            Script::CloseWithoutAnswer => false,
            Script::Hang => self.until_cancelled(stream).await,
            Script::Events(last) => {
                let events = event_stream(&id, last_event_id(request), last);
                write(stream, format!("{events}0\r\n\r\n")).await
            }
            Script::BrokenEvents(last) => {
                let events = event_stream(&id, last_event_id(request), last);
                write(stream, format!("{events}9\r\nid: 99\nda\r\n")).await;
                false
            }
            Script::CrashOnPart(part, events) => {
                let parts = request.header("baobabvane-prompt-parts").unwrap_or("");
                if parts.contains(&format!("{part}:")) {
                    sleep(PREFILL_TIME).await;
                    write(stream, event_stream(&id, 0, events)).await;
                    sleep(CRASH_DELAY).await;
                    *self.has_crashed.borrow_mut() = true;
                    return false;
                }
                write(stream, format!("{}0\r\n\r\n", event_stream(&id, 0, 3))).await
            }
            Script::StalledEvents(last) => {
                write(stream, event_stream(&id, last_event_id(request), last)).await;
                self.until_cancelled(stream).await
            }
            Script::DrippedEvents(last) => {
                write(stream, event_stream(&id, last_event_id(request), last)).await;
                self.write_until_cancelled(stream, "1\r\n:\r\n", DRIP_INTERVAL).await
            }
            Script::EndlessEvent(last) => {
                write(stream, event_stream(&id, last_event_id(request), last)).await;
                let chunk = format!("{:x}\r\n{}\r\n", FLOOD.len(), FLOOD);
                self.write_until_cancelled(stream, &chunk, Duration::ZERO).await
            }
            Script::NoChunksAfterEvents(text) => {
                let mut answer = event_stream(&id, 0, 2);
                if request.request_line.contains(" /postings/") {
                    answer = answer.replace("text/event-stream", "text/plain");
                }
                write(stream, answer).await;
                self.write_until_cancelled(stream, text, DRIP_INTERVAL).await
            }
            Script::EndlessHead => {
                write(stream, "HTTP/1.1 200 OK\r\n".to_owned()).await;
                let line = format!("x-flood: {FLOOD}\r\n");
                self.write_until_cancelled(stream, &line, Duration::ZERO).await
            }
            Script::EndlessBody => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\n\
                     baobabvane-signature: s\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                write(stream, head).await;
                let chunk = format!("{:x}\r\n{}\r\n", FLOOD.len(), FLOOD);
                self.write_until_cancelled(stream, &chunk, Duration::ZERO).await
            }
            Script::EndlessRefusal => {
                let head = "HTTP/1.1 503 x\r\nbaobabvane-not-executed: 1\r\n\
                            transfer-encoding: chunked\r\n\r\n";
                write(stream, head.to_owned()).await;
                self.write_until_cancelled(stream, "1\r\n:\r\n", DRIP_INTERVAL).await
            }
            Script::SlowEvents(interval, last) => {
                write(stream, event_stream(&id, 0, 0)).await;
                for number in last_event_id(request) + 1..=last {
                    sleep(interval).await;
                    if !write(stream, event_chunk(number)).await {
                        return false;
                    }
                }
                write(stream, "0\r\n\r\n".to_owned()).await
            }
            Script::ForeignAnswerBefore(body) => {
                let other = signed_answer(200, "another", "not yours");
                write(stream, other + &signed_answer(200, &id, body)).await
            }
            Script::ForeignAnswerAfter(body) => {
                let other = signed_answer(200, "another", "not yours");
                write(stream, signed_answer(200, &id, body) + &other).await
            }
            Script::EventsUntilClose(last, rest) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\n\
                     baobabvane-signature: s\r\ncontent-type: text/event-stream\r\n\r\n"
                );
                let events = crate::fixture::events(last_event_id(request) + 1, last);
                write(stream, head + &events + rest).await;
                false
            }
            Script::UntilClose(body) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\n\
                     baobabvane-signature: s\r\nconnection: close\r\n\r\n{body}"
                );
                write(stream, head).await;
                false
            }
            Script::Truncated(answer, len) => {
                write(stream, answer.replace("{id}", &id)[..len].to_owned()).await;
                false
            }
            Script::RateLimited(per_s, body) => {
                let header = format!("baobabvane-rate-limit: {per_s}\r\n");
                write(stream, with_header(signed_answer(200, &id, body), &header)).await
            }
            Script::Leaving(body) => {
                let answer = signed_answer(200, &id, body);
                write(stream, with_header(answer, "baobabvane-leaving: 1\r\n")).await
            }
            Script::RetryAfter(seconds) => {
                let header = format!("retry-after: {seconds}\r\n");
                write(stream, with_header(refusal(&id), &header)).await
            }
            Script::Unsigned => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\ncontent-length: 2\r\n\r\nno"
                );
                write(stream, head).await
            }
            Script::Garbage => {
                write(stream, "%%%% not an answer\r\n\r\n".to_owned()).await;
                false
            }
        }
    }

    /// Writes a text again and again until the gateway closes the connection, and counts that as
    /// a cancellation.
    async fn write_until_cancelled(
        &self,
        stream: &mut TcpStream,
        text: &str,
        interval: Duration,
    ) -> bool {
        let text = if interval.is_zero() { text.repeat(256) } else { text.to_owned() };
        while write(stream, text.clone()).await {
            *self.bytes_written.borrow_mut() += text.len();
            sleep(interval).await;
        }
        *self.cancelled.borrow_mut() += 1;
        false
    }

    /// Waits until the gateway closes the connection, and counts that as a cancellation.
    ///
    /// Returns false, as the connection cannot carry another request.
    async fn until_cancelled(&self, stream: &mut TcpStream) -> bool {
        let (result, _) = stream.read(vec![0; 1]).await;
        if matches!(result, Ok(0) | Err(_)) {
            *self.cancelled.borrow_mut() += 1;
        }
        false
    }
}

/// Returns the entry under which discovery lists an endpoint.
pub(crate) fn discovered_endpoint(id: &str, pool: &str, address: SocketAddr) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: id.to_owned(),
        pool: pool.to_owned(),
        address,
        zone: "tanta".to_owned(),
        slots: 4,
        is_draining: false,
        started_ms: 1,
        revision: None,
        version: "v1".to_owned(),
        cold_remaining_ms: 0,
    }
}

fn signed_answer(status: u16, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} x\r\nbaobabvane-request-id: {id}\r\nbaobabvane-signature: s\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns an answer that states that the request was not executed.
fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 x\r\nbaobabvane-request-id: {id}\r\nbaobabvane-not-executed: 1\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Adds a header line to an answer.
fn with_header(answer: String, line: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{line}"), 1)
}

/// Returns the number of the event after which the stream resumes; 0 for a new stream.
fn last_event_id(request: &ReceivedRequest) -> u64 {
    request.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// Returns the head of a chunked answer and its events, one per chunk, without the last chunk.
fn event_stream(id: &str, after: u64, last: u64) -> String {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\nbaobabvane-signature: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    for number in after + 1..=last {
        text += &event_chunk(number);
    }
    text
}

/// Returns a chunk that holds one event.
fn event_chunk(number: u64) -> String {
    let event = format!("id: {number}\ndata: {number}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

async fn write(stream: &mut TcpStream, text: String) -> bool {
    stream.write_all(text.into_bytes()).await.0.is_ok()
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    loop {
        if let Some(request) = parse_request(&bytes) {
            return Some(request);
        }
        let (result, buf) = stream.read(vec![0; 4096]).await;
        let len = result.ok().filter(|len| *len > 0)?;
        bytes.extend_from_slice(&buf[..len]);
    }
}

fn parse_request(bytes: &[u8]) -> Option<ReceivedRequest> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let request_line = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(": "))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
        .collect();
    let content_length = headers.iter().find(|(n, _)| n == "content-length");
    let len = content_length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let body = bytes.get(end + 4..end + 4 + len)?.to_vec();
    Some(ReceivedRequest { request_line, headers, body })
}

/// An endpoint on a thread of its own that sends bytes without end and without a pause, faster than
/// the gateway reads them.
pub(crate) struct Flood {
    pub(crate) entry: DiscoveredEndpoint,
    outcome: std::sync::mpsc::Receiver<FloodOutcome>,
}

/// How the flood that answered one request ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FloodOutcome {
    /// Whether the gateway closed the connection before the endpoint did.
    pub(crate) was_closed: bool,
    /// The bytes that were written.
    pub(crate) bytes: usize,
}

impl Flood {
    /// Starts an endpoint that answers each request with `start`, in which `{id}` stands for the
    /// request's id, and then with `repeated`, again and again.
    pub(crate) fn spawn(id: &str, pool: &str, start: &str, repeated: &[u8]) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (tx, outcome) = std::sync::mpsc::channel();
        let start = start.to_owned();
        let repeats = (64 * 1024 / repeated.len()).max(1);
        let repeated = repeated.repeat(repeats);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let Some(outcome) = flood(stream, &start, &repeated) else { continue };
                if tx.send(outcome).is_err() {
                    return;
                }
            }
        });
        Self { entry: discovered_endpoint(id, pool, address), outcome }
    }

    /// Returns how the last answer ended, once it has.
    pub(crate) fn outcome(&self) -> Option<FloodOutcome> {
        self.outcome.try_recv().ok()
    }
}

/// Reads a request and floods its connection; `None` if no request comes.
fn flood(mut stream: std::net::TcpStream, start: &str, repeated: &[u8]) -> Option<FloodOutcome> {
    use std::io::{Read, Write};

    let mut bytes = Vec::new();
    let request = loop {
        if let Some(request) = parse_request(&bytes) {
            break request;
        }
        let mut buf = [0; 4096];
        let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
        bytes.extend_from_slice(&buf[..len]);
    };
    let id = request.header("baobabvane-request-id").unwrap_or("-");
    let started_at = std::time::Instant::now();
    let mut was_closed = stream.write_all(start.replace("{id}", id).as_bytes()).is_err();
    let mut written = 0;
    while !was_closed && started_at.elapsed() < MAX_FLOOD_TIME {
        was_closed = stream.write_all(repeated).is_err();
        written += repeated.len();
    }
    Some(FloodOutcome { was_closed, bytes: written })
}

/// An endpoint on a thread of its own that answers before it has read a request, and resets the
/// connection.
pub(crate) struct EarlyAnswer {
    pub(crate) entry: DiscoveredEndpoint,
}

impl EarlyAnswer {
    /// Starts an endpoint that reads a request's head and `read_bytes` of its body, writes `start`, in
    /// which `{id}` stands for the request's id, and resets the connection after `delay`.
    pub(crate) fn spawn(
        id: &str,
        pool: &str,
        start: &str,
        read_bytes: usize,
        delay: Duration,
    ) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let start = start.to_owned();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                answer_early(stream, &start, read_bytes, delay);
            }
        });
        Self { entry: discovered_endpoint(id, pool, address) }
    }
}

fn answer_early(mut stream: std::net::TcpStream, start: &str, read_bytes: usize, delay: Duration) {
    use std::io::{Read, Write};

    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        let mut buf = [0; 1024];
        let Some(len) = stream.read(&mut buf).ok().filter(|len| *len > 0) else { return };
        bytes.extend_from_slice(&buf[..len]);
    };
    let mut rest = vec![0; read_bytes.saturating_sub(bytes.len() - head_end)];
    let _ = stream.read_exact(&mut rest);
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let id = head.lines().find_map(|line| line.strip_prefix("baobabvane-request-id: "));
    let _ = stream.write_all(start.replace("{id}", id.unwrap_or("-")).as_bytes());
    std::thread::sleep(delay);
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
