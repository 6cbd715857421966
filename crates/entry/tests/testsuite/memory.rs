//! Clients outside the documented limits: the gateway process stays alive, within its memory and its
//! descriptors, and serves an ordinary request afterwards.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    path::Path,
    sync::{Mutex, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use baobabvane_standin::{Caller, Fleet, Received};
use http::{Method, StatusCode};
use socket2::SockRef;

use crate::fleet::block_on;

/// Memory limit of the process under test; VmHWM has to stay below it.
const MEMORY_LIMIT_MB: u64 = 64;
/// Descriptor limit of the process under test, and how many of these are reserved for files.
const FILE_DESCRIPTORS: usize = 700;
const FILE_RESERVE: usize = 200;
/// How long the clients of a load stay.
const LOAD_DURATION: Duration = Duration::from_secs(6);
const TICK: Duration = Duration::from_millis(50);
/// Limit for the ordinary request to be answered; long enough that only a hanging process exceeds it.
const SERVED_TIMEOUT: Duration = Duration::from_secs(30);
/// Length of the long responses.
const LONG_BYTES: usize = 8 << 20;
/// Receive buffer of the clients, so that the kernel reads little on their behalf.
const CLIENT_BUFFER_BYTES: usize = 16 * 1024;

/// One at a time, as the clients and the endpoints of each test take much memory themselves.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn start_fleet(memory_limit_mb: u64) -> Fleet {
    let settings = format!(
        "limits.memoryLimitMb={memory_limit_mb}\nlimits.fileDescriptors={FILE_DESCRIPTORS}\n"
    );
    let fleet = Fleet::spawn_with(Path::new(env!("CARGO_BIN_EXE_baobabvane")), 1, 2, &settings);
    wait_until_served(&fleet);
    fleet
}

fn get(fleet: &Fleet, path: &str) -> Option<Received> {
    let caller = Caller::for_attempt(fleet.gateways[0].callers(), "k1", "a1", 5_000);
    block_on(caller.send(Method::GET, path, "")).ok()
}

fn wait_until_served(fleet: &Fleet) {
    let began = Instant::now();
    while get(fleet, "/read/1").is_none_or(|res| res.status != StatusCode::OK) {
        let log = fleet.gateways[0].log();
        assert!(began.elapsed() < SERVED_TIMEOUT, "no ordinary request is served\n{log}");
        sleep(TICK);
    }
}

fn head(method: &str, path: &str, more: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer k1\r\n\
         x-baobabvane-attempt-id: a1\r\nx-baobabvane-deadline-remaining: 5000\r\n{more}"
    )
    .into_bytes()
}

fn request(path: &str) -> Vec<u8> {
    head("GET", path, "\r\n")
}

/// A client connection that never blocks.
struct Client {
    stream: TcpStream,
    /// What is not written yet.
    unsent: Vec<u8>,
}

impl Client {
    fn connect(address: SocketAddr, first: &[u8]) -> Option<Self> {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
        socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES).ok()?;
        socket.connect_timeout(&address.into(), Duration::from_secs(5)).ok()?;
        socket.set_nonblocking(true).ok()?;
        let mut client = Self { stream: socket.into(), unsent: Vec::new() };
        client.send(first);
        Some(client)
    }

    /// Writes as much as the connection takes; the rest is written by the next call.
    fn send(&mut self, bytes: &[u8]) {
        self.unsent.extend_from_slice(bytes);
        while let Ok(len @ 1..) = self.stream.write(&self.unsent) {
            self.unsent.drain(..len);
        }
    }

    /// Sends `bytes` again as soon as all earlier ones are written.
    fn repeat(&mut self, bytes: &[u8]) {
        if self.unsent.is_empty() {
            self.send(bytes);
        } else {
            self.send(&[]);
        }
    }

    fn read_at_most(&mut self, len: usize) {
        let _ = self.stream.read(&mut vec![0; len]);
    }

    /// Closes the connection with a reset.
    fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Runs `count` clients that send `first` and then act once a tick, and checks the process.
fn run_load(count: usize, first: &[u8], act: impl Fn(&mut Client, usize)) {
    run_clients(|address| {
        let mut clients: Vec<_> =
            (0..count).filter_map(|_| Client::connect(address, first)).collect();
        move |tick| clients.iter_mut().for_each(|client| act(client, tick))
    });
}

/// Calls what `start` returns once a tick, and checks the process.
fn run_clients<F: FnMut(usize)>(start: impl FnOnce(SocketAddr) -> F) {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = start_fleet(MEMORY_LIMIT_MB);
    let began = Instant::now();
    let mut most_descriptors = 0;
    {
        let mut act = start(fleet.gateways[0].callers());
        for tick in 0.. {
            act(tick);
            most_descriptors = most_descriptors.max(fleet.gateways[0].descriptor_count());
            if began.elapsed() >= LOAD_DURATION {
                break;
            }
            sleep(TICK);
        }
    }
    wait_until_served(&fleet);
    check_process(&mut fleet, MEMORY_LIMIT_MB);
    assert!(most_descriptors <= FILE_DESCRIPTORS - FILE_RESERVE, "{most_descriptors} descriptors");
    fleet.remove_folder();
}

fn check_process(fleet: &mut Fleet, memory_limit_mb: u64) {
    let gateway = &mut fleet.gateways[0];
    assert!(!gateway.has_ended(), "{}", gateway.log());
    let peak_kib: u64 = gateway.status("VmHWM").parse().expect("the process runs");
    println!("peak memory: {peak_kib} KiB");
    assert!(peak_kib * 1024 < memory_limit_mb * 1_000_000, "peak memory: {peak_kib} KiB");
    assert_eq!(gateway.log().matches("event=task_panicked").count(), 0, "{}", gateway.log());
}

/// Guards against responses that wait for slow readers (4 KB/s each) without a bound on all of them.
#[test]
fn slow_readers_of_long_responses() {
    run_load(40, &request(&format!("/read/bytes-{LONG_BYTES}")), |c, _| c.read_at_most(200));
}

/// Guards against responses that wait for readers that have stopped.
#[test]
fn stopped_readers_of_long_responses() {
    run_load(40, &request(&format!("/read/bytes-{LONG_BYTES}")), |_, _| {});
}

/// Guards against responses without a stated length that wait for readers that have stopped.
#[test]
fn stopped_readers_of_long_chunked_responses() {
    run_load(40, &request(&format!("/posting/chunks-{LONG_BYTES}")), |_, _| {});
}

/// Guards against readers that make progress, but next to none.
#[test]
fn readers_of_one_byte_a_second() {
    run_load(100, &request("/read/bytes-1048576"), |client, tick| {
        if tick % 20 == 0 {
            client.read_at_most(1);
        }
    });
}

/// Guards against streams whose events wait for readers that have stopped.
#[test]
fn stopped_readers_of_streams() {
    run_load(100, &request("/stream/events-20000"), |_, _| {});
}

/// Guards against requests that are read ahead while their caller takes no response.
#[test]
fn pipelined_requests_without_reading() {
    let requests = request("/read/bytes-262144").repeat(50);
    run_load(100, &requests, |client, _| client.repeat(&requests));
}

/// Guards against heads that grow up to their limit on all connections, and beyond it.
#[test]
fn heads_without_end() {
    let line = format!("x: {}\r\n", "y".repeat(1_000));
    run_load(450, &head("GET", "/read/1", ""), |client, _| client.repeat(line.as_bytes()));
}

/// Guards against heads just within the limit whose last byte never comes.
#[test]
fn heads_without_their_last_byte() {
    let lines = format!("x: {}\r\n", "y".repeat(1_000)).repeat(15);
    run_load(450, &head("GET", "/read/1", &lines), |_, _| {});
}

/// Guards against bodies whose stated length never arrives.
#[test]
fn bodies_without_end() {
    let mut first = head("POST", "/posting/1", "content-length: 4194304\r\n\r\n");
    first.resize(first.len() + (1 << 20), b'x');
    run_load(60, &first, |client, _| client.repeat(b"x"));
}

/// Guards against many bodies that are too small for the budget of large ones.
#[test]
fn small_bodies_without_their_last_byte() {
    let mut first = head("POST", "/posting/1", "content-length: 16000\r\n\r\n");
    first.resize(first.len() + 15_999, b'x');
    run_load(450, &first, |_, _| {});
}

/// Guards against chunked bodies that never end.
#[test]
fn chunked_bodies_without_end() {
    let first = head("POST", "/posting/1", "transfer-encoding: chunked\r\n\r\n");
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    run_load(60, &first, |client, _| client.repeat(chunk.as_bytes()));
}

/// Guards against connections that take descriptors and never send a request.
#[test]
fn idle_half_open_and_reset_connections() {
    run_clients(|address| {
        let mut clients = Vec::new();
        move |tick| {
            if tick < 20 {
                clients.extend((0..50).filter_map(|_| Client::connect(address, b"")));
            }
            for client in clients.iter().skip(tick % 3).step_by(3).take(20) {
                let _ = client.stream.shutdown(Shutdown::Write);
            }
            let reset_count = clients.len().min(10);
            clients.drain(..reset_count).for_each(Client::reset);
        }
    });
}

/// Guards against connections that leave something behind when they are dropped.
#[test]
fn connections_opened_and_dropped() {
    run_clients(|address| {
        move |tick| {
            let first =
                if tick % 2 == 0 { request("/read/bytes-65536") } else { b"GET /".to_vec() };
            let clients: Vec<_> =
                (0..100).filter_map(|_| Client::connect(address, &first)).collect();
            clients.into_iter().skip(tick % 2).step_by(2).for_each(Client::reset);
        }
    });
}

/// Guards against requests that keep memory when their caller leaves at any stage.
#[test]
fn requests_cancelled_at_each_stage() {
    let long = request(&format!("/read/bytes-{LONG_BYTES}"));
    let stream = request("/stream/events-20000");
    let mut body = head("POST", "/posting/1", "content-length: 4194304\r\n\r\n");
    body.resize(body.len() + (1 << 20), b'x');
    let firsts = [long[..20].to_vec(), long, stream, body];
    run_clients(|address| {
        let mut clients = Vec::new();
        move |tick| {
            let stage = tick % 16;
            if stage == 0 {
                let firsts = firsts.iter().cycle().take(40);
                clients = firsts.filter_map(|first| Client::connect(address, first)).collect();
            }
            let leaving = clients.len().min(3);
            clients.drain(..leaving).enumerate().for_each(|(number, mut client)| {
                client.read_at_most(stage * 1_000);
                if number % 2 == 0 {
                    client.reset();
                }
            });
        }
    });
}

/// Guards against bounds that hold for each kind of client, but not for all of them together.
#[test]
fn a_mixture_of_clients() {
    let long = request(&format!("/read/bytes-{LONG_BYTES}"));
    let mut body = head("POST", "/posting/1", "content-length: 4194304\r\n\r\n");
    body.resize(body.len() + (1 << 20), b'x');
    let loads = [
        (20, long.clone()),
        (20, request(&format!("/read/chunks-{LONG_BYTES}"))),
        (40, request("/stream/events-20000")),
        (20, request("/read/bytes-262144").repeat(50)),
        (100, head("GET", "/read/1", &format!("x: {}\r\n", "y".repeat(15_000)))),
        (20, body),
        (20, head("POST", "/posting/1", "transfer-encoding: chunked\r\n\r\nfffff\r\n")),
        (400, Vec::new()),
    ];
    run_clients(|address| {
        let mut clients: Vec<_> = loads
            .iter()
            .flat_map(|(count, first)| std::iter::repeat_n(first, *count))
            .filter_map(|first| Client::connect(address, first))
            .collect();
        move |tick| {
            let slow_readers = clients.iter_mut().step_by(2);
            slow_readers.for_each(|client| client.read_at_most(200));
            if tick % 10 == 0 {
                clients.extend(Client::connect(address, &long));
            }
        }
    });
}

/// Guards against a budget that has no room for the longest response on the smallest machine.
#[test]
fn one_response_of_the_longest_kind_is_served_on_the_smallest_machine() {
    const SMALLEST_MACHINE_MB: u64 = 88;
    const LONGEST_BYTES: usize = 16 << 20;
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = start_fleet(SMALLEST_MACHINE_MB);
    for kind in ["bytes", "chunks"] {
        let res = get(&fleet, &format!("/read/{kind}-{LONGEST_BYTES}")).expect("an answer");
        assert_eq!((res.status, res.body.len()), (StatusCode::OK, LONGEST_BYTES), "{kind}");
    }
    check_process(&mut fleet, SMALLEST_MACHINE_MB);
    fleet.remove_folder();
}

/// Guards against a response that cannot be held and looks as if the request had not run, or is asked
/// for again at another endpoint.
#[test]
fn a_request_whose_response_cannot_be_held_gets_502_and_runs_once() {
    const TOO_LITTLE_MEMORY_MB: u64 = 30;
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = start_fleet(TOO_LITTLE_MEMORY_MB);
    let runs = || -> u32 {
        fleet.endpoints.iter().map(|(endpoint, _)| endpoint.runs().values().sum::<u32>()).sum()
    };
    for kind in ["bytes", "chunks"] {
        let runs_before = runs();
        let res = get(&fleet, &format!("/read/{kind}-{LONG_BYTES}")).expect("an answer");
        assert_eq!((res.status, runs() - runs_before), (StatusCode::BAD_GATEWAY, 1), "{kind}");
    }
    wait_until_served(&fleet);
    check_process(&mut fleet, TOO_LITTLE_MEMORY_MB);
    fleet.remove_folder();
}

/// Guards against a response that is cut for want of memory and looks complete.
#[test]
fn the_response_of_an_evicted_reader_is_cut() {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = start_fleet(MEMORY_LIMIT_MB);
    let address = fleet.gateways[0].callers();
    let long = request(&format!("/read/bytes-{LONG_BYTES}"));
    let mut clients: Vec<_> = (0..4).filter_map(|_| Client::connect(address, &long)).collect();
    sleep(LOAD_DURATION);
    let are_cut = clients.iter_mut().map(|client| {
        client.stream.set_nonblocking(false).expect("the socket is open");
        let mut received = Vec::new();
        // An evicted reader sees a reset.
        let _ = client.stream.read_to_end(&mut received);
        let text = String::from_utf8_lossy(&received[..received.len().min(64)]).into_owned();
        text.starts_with("HTTP/1.1 200 OK") && received.len() < LONG_BYTES
    });
    let cut = are_cut.filter(|is_cut| *is_cut).count();
    assert!(cut > 0, "no reader was evicted\n{}", fleet.gateways[0].log());
    assert!(fleet.gateways[0].log().contains("too slow"), "{}", fleet.gateways[0].log());
    wait_until_served(&fleet);
    check_process(&mut fleet, MEMORY_LIMIT_MB);
    fleet.remove_folder();
}

/// Returns a request for a stream whose prompt has a part of `tokens` tokens.
fn prompt(tokens: u64) -> Vec<u8> {
    let lines = format!(
        "x-baobabvane-token-usage: {tokens},80\r\n\
         x-baobabvane-prompt-prefix: 5000:60,aa{tokens:x}:{tokens},ff:500\r\n\r\n"
    );
    head("POST", "/stream/1", &lines)
}

/// Runs clients whose prompts state each of these numbers of tokens, and checks the process.
fn run_prompts(engine: Option<serde_json::Value>, tokens: &[u64]) {
    let _lock = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = start_fleet(MEMORY_LIMIT_MB);
    if let Some(engine) = engine {
        fleet.set_engine(engine);
    }
    fleet.configure(&["k1"]);
    sleep(Duration::from_secs(1));
    for tokens in tokens {
        let address = fleet.gateways[0].callers();
        let clients: Vec<_> =
            (0..10).filter_map(|i| Client::connect(address, &prompt(tokens - i))).collect();
        sleep(Duration::from_millis(300));
        drop(clients);
    }
    wait_until_served(&fleet);
    check_process(&mut fleet, MEMORY_LIMIT_MB);
    fleet.remove_folder();
}

const TOKEN_COUNTS: [u64; 7] = [
    1_000_000,
    20_000_000,
    100_000_000,
    1_000_000_000,
    u32::MAX as u64,
    u32::MAX as u64 + 1_000,
    u64::MAX,
];

/// Guards against memory that grows with the tokens that a prompt states: the process was killed with
/// all requests in flight (LOST, review/6).
#[test]
fn prompts_that_state_any_number_of_tokens() {
    run_prompts(None, &TOKEN_COUNTS);
}

/// Guards against the same where the prefix caches of the endpoints are predicted, however large these
/// are said to be.
#[test]
fn prompts_that_state_any_number_of_tokens_to_engines() {
    run_prompts(Some(serde_json::json!({"kvCacheTokens": 554_218})), &TOKEN_COUNTS);
    run_prompts(Some(serde_json::json!({"kvCacheTokens": 9e15 as u64})), &TOKEN_COUNTS);
}
