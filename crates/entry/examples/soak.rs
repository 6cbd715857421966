//! A soak of the gateway: real processes under random faults from outside, with a count
//! of broken promises.
//!
//! `cargo build --release && cargo run --release --example soak -- --seed 1 --seeds 50`
//!
//! Logs of a seed that broke a promise are kept; the last line names their folder.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    path::Path,
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use baobabvane_standin::{
    Caller, EndpointFault, Fleet, Process, ProxyFault, Received, STREAM_EVENTS, StoreFault,
};
use baobabvane_wire::{ClientConn, WireError};
use clap::{Arg, value_parser};
use http::{Method, StatusCode};
use monoio::time::{Instant, sleep, timeout};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const GATEWAYS: u8 = 3;
const ENDPOINTS: usize = 4;
const CALLERS: usize = 8;
/// The time limit of the routes, and what an answer may take beyond it.
const TIME_LIMIT: Duration = Duration::from_secs(6);
const TIME_SLACK: Duration = Duration::from_secs(2);
/// How long the fleet may take to serve all again once nothing is wrong any more.
const RECOVERY: Duration = Duration::from_secs(12);
/// Requests that must all be served after that.
const CALM_REQUESTS: usize = 40;
const STEP: Duration = Duration::from_millis(100);

/// Kinds of requests, by path; only the first and the third may not be repeated.
const PATHS: [&str; 4] = ["/posting/", "/read/", "/stream-once/", "/stream/"];
const RUNS_ONCE: [bool; 4] = [true, false, true, false];

/// What a caller saw of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Served,
    SaidNotRun,
    Other,
}

/// What is shared by all callers of a seed.
struct Record {
    attempts: RefCell<HashMap<String, (usize, Seen)>>,
    broken: RefCell<Vec<String>>,
    stop: Cell<bool>,
    number: Cell<u64>,
    /// When a process was paused or killed last; time limits do not hold around it.
    disturbed_at: Cell<Instant>,
}

impl Record {
    fn broke(&self, promise: &str, detail: &str) {
        println!("broken promise={promise} {detail}");
        self.broken.borrow_mut().push(promise.to_owned());
    }
}

/// Something that goes wrong until it is healed.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Pause(usize),
    Stop(usize),
    Reload(usize),
    Store(StoreFault),
    StoreLink(usize, ProxyFault),
    Endpoint(usize, EndpointFault),
    EndpointLink(usize, ProxyFault),
    Drain(usize),
    Unlist(usize),
    Configure,
    ForgetHistory,
}

impl Fault {
    fn draw(rng: &mut SmallRng) -> Self {
        let gateway = rng.random_range(0..usize::from(GATEWAYS));
        let endpoint = rng.random_range(0..ENDPOINTS);
        let harm = match rng.random_range(0..4) {
            0 => ProxyFault::Delay(Duration::from_millis(rng.random_range(5..400))),
            1 => ProxyFault::Reset,
            2 => ProxyFault::Silence,
            _ => ProxyFault::NoAnswers,
        };
        match rng.random_range(0..14) {
            0 => Self::Kill(gateway),
            1 | 2 => Self::Pause(gateway),
            3 => Self::Stop(gateway),
            4 => Self::Reload(gateway),
            5 | 6 => Self::Store(match rng.random_range(0..6) {
                0 => StoreFault::Busy,
                1 => StoreFault::Reset,
                2 => StoreFault::Silent,
                3 => StoreFault::LosesAnswers,
                4 => StoreFault::NeverWakes,
                _ => StoreFault::Slow(Duration::from_millis(rng.random_range(50..1_500))),
            }),
            7 => Self::StoreLink(gateway, harm),
            8 | 9 => Self::Endpoint(
                endpoint,
                match rng.random_range(0..7) {
                    0 => EndpointFault::Sheds,
                    1 => EndpointFault::Errors,
                    2 => EndpointFault::LosesAnswers,
                    3 => EndpointFault::Hangs,
                    4 => EndpointFault::CutsStreams,
                    5 => EndpointFault::ExtraAnswers,
                    _ => EndpointFault::Garbage,
                },
            ),
            10 => Self::EndpointLink(endpoint, harm),
            11 => Self::Drain(endpoint),
            12 => Self::Unlist(endpoint),
            _ if rng.random() => Self::Configure,
            _ => Self::ForgetHistory,
        }
    }

    fn begin(self, fleet: &mut Fleet, record: &Record) {
        match self {
            Self::Kill(i) => fleet.gateways[i].signal("KILL"),
            Self::Pause(i) => fleet.gateways[i].signal("STOP"),
            Self::Stop(i) => fleet.gateways[i].signal("TERM"),
            Self::Reload(i) => fleet.gateways[i].signal("HUP"),
            Self::Store(fault) => fleet.store.set_fault(fault),
            Self::StoreLink(i, harm) => fleet.gateways[i].store_link.set_fault(harm),
            Self::Endpoint(i, fault) => fleet.endpoints[i].0.set_fault(fault),
            Self::EndpointLink(i, harm) => fleet.endpoints[i].1.set_fault(harm),
            Self::Drain(i) => fleet.put_endpoint(i, "draining"),
            Self::Unlist(i) => fleet.remove_endpoint(i),
            Self::Configure => fleet.configure(&["k1", "k2"]),
            Self::ForgetHistory => fleet.store.compact(),
        }
        if matches!(self, Self::Kill(_) | Self::Pause(_)) {
            record.disturbed_at.set(Instant::now());
        }
    }

    fn heal(self, fleet: &mut Fleet, record: &Record) {
        match self {
            Self::Kill(i) | Self::Stop(i) => {
                // A pause that overlaps would hold the end up.
                if !fleet.gateways[i].has_ended() {
                    fleet.gateways[i].signal("CONT");
                }
                fleet.gateways[i].restart();
            }
            Self::Pause(i) if !fleet.gateways[i].has_ended() => fleet.gateways[i].signal("CONT"),
            Self::Store(_) => fleet.store.set_fault(StoreFault::None),
            Self::StoreLink(i, _) => fleet.gateways[i].store_link.set_fault(ProxyFault::None),
            Self::Endpoint(i, _) => fleet.endpoints[i].0.set_fault(EndpointFault::None),
            Self::EndpointLink(i, _) => fleet.endpoints[i].1.set_fault(ProxyFault::None),
            Self::Drain(i) | Self::Unlist(i) => fleet.put_endpoint(i, "ready"),
            Self::Pause(_) | Self::Reload(_) | Self::Configure | Self::ForgetHistory => {}
        }
        if matches!(self, Self::Pause(_)) {
            record.disturbed_at.set(Instant::now());
        }
    }

    /// Returns the process that is signalled, which must not have ended.
    fn gateway(self) -> Option<usize> {
        match self {
            Self::Kill(i) | Self::Pause(i) | Self::Stop(i) | Self::Reload(i) => Some(i),
            _ => None,
        }
    }
}

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let args = clap::Command::new("soak")
        .arg(number("seed", "1"))
        .arg(number("seeds", "1"))
        .arg(number("rounds", "20"))
        .get_matches();
    let get = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
    let binary = Process::binary_of_example();
    let mut failed = Vec::new();
    for seed in get("seed")..get("seed") + get("seeds") {
        let broken = run_seed(&binary, seed, get("rounds"));
        if broken > 0 {
            failed.push(seed);
        }
    }
    println!("{} passed, {} failed", get("seeds") - failed.len() as u64, failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_seed(binary: &Path, seed: u64, rounds: u64) -> usize {
    let mut fleet = Fleet::spawn(binary, GATEWAYS, ENDPOINTS);
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime needs only a descriptor");
    let record = runtime.block_on(play(&mut fleet, seed, rounds));
    check_runs(&fleet, &record);
    let broken = record.broken.borrow().len();
    let attempts = record.attempts.borrow();
    let count = |seen| attempts.values().filter(|(_, s)| *s == seen).count();
    println!(
        "seed={seed} attempts={} served={} not_run={} other={} broken={broken}",
        attempts.len(),
        count(Seen::Served),
        count(Seen::SaidNotRun),
        count(Seen::Other)
    );
    match broken {
        0 => fleet.remove_folder(),
        _ => println!("seed={seed} logs={}", fleet.folder().display()),
    }
    broken
}

async fn play(fleet: &mut Fleet, seed: u64, rounds: u64) -> Rc<Record> {
    let record = Rc::new(Record {
        attempts: RefCell::default(),
        broken: RefCell::default(),
        stop: Cell::new(false),
        number: Cell::new(0),
        disturbed_at: Cell::new(Instant::now()),
    });
    until_ready(fleet, &record).await;
    let addresses: Vec<_> = fleet.gateways.iter().map(|g| g.callers()).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(i as u64);
            monoio::spawn(call(addresses.clone(), Rc::clone(&record), seed))
        })
        .collect();
    disturb(fleet, &record, &mut SmallRng::seed_from_u64(seed), rounds).await;
    until_ready(fleet, &record).await;
    record.stop.set(true);
    for caller in callers {
        caller.await;
    }
    calm(fleet, &record).await;
    stop_gracefully(fleet, &record).await;
    record
}

/// Begins faults one after the other; they last and overlap as drawn.
async fn disturb(fleet: &mut Fleet, record: &Record, rng: &mut SmallRng, rounds: u64) {
    let mut active: Vec<(Instant, Fault)> = Vec::new();
    for _ in 0..rounds {
        let fault = Fault::draw(rng);
        let lasts = Duration::from_millis(rng.random_range(100..2_500));
        let is_taken = |i| active.iter().any(|(_, f)| f.gateway() == Some(i));
        if !fault.gateway().is_some_and(is_taken) {
            println!("fault={fault:?} ms={}", lasts.as_millis());
            fault.begin(fleet, record);
            active.push((Instant::now() + lasts, fault));
        }
        for _ in 0..rng.random_range(1..8) {
            sleep(STEP).await;
            let now = Instant::now();
            let (over, on): (Vec<_>, Vec<_>) = active.into_iter().partition(|(t, _)| *t <= now);
            over.into_iter().for_each(|(_, fault)| fault.heal(fleet, record));
            active = on;
        }
    }
    active.into_iter().for_each(|(_, fault)| fault.heal(fleet, record));
}

async fn until_ready(fleet: &Fleet, record: &Record) {
    for gateway in &fleet.gateways {
        let probe = Caller::new(gateway.ready(), "-");
        let began = Instant::now();
        loop {
            let answer = timeout(Duration::from_secs(1), probe.get("/readyz")).await;
            if matches!(answer, Ok(Ok(ref res)) if res.status == StatusCode::OK) {
                break;
            }
            if began.elapsed() > RECOVERY {
                record.broke("ready_again", &format!("gateway={}", gateway.callers()));
                break;
            }
            sleep(STEP).await;
        }
    }
}

/// Sends one request after the other on kept connections until it is told to stop.
async fn call(addresses: Vec<std::net::SocketAddr>, record: Rc<Record>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut conns: HashMap<usize, ClientConn> = HashMap::new();
    while !record.stop.get() {
        let gateway = rng.random_range(0..addresses.len());
        let kind = rng.random_range(0..PATHS.len());
        send(addresses[gateway], conns.remove(&gateway), &record, kind)
            .await
            .map(|conn| conns.insert(gateway, conn));
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Sends one request and judges its answer; returns the connection if it can go on.
async fn send(
    address: std::net::SocketAddr,
    conn: Option<ClientConn>,
    record: &Record,
    kind: usize,
) -> Option<ClientConn> {
    record.number.set(record.number.get() + 1);
    let id = format!("a{}", record.number.get());
    let caller = Caller::for_attempt(address, "k1", &id, 8_000);
    let began = Instant::now();
    let exchange = async {
        let mut conn = match conn.filter(ClientConn::is_reusable) {
            Some(conn) => conn,
            None => caller.connect().await?,
        };
        let res = caller.send_on(&mut conn, Method::POST, PATHS[kind], id.clone()).await?;
        Ok::<_, WireError>((conn, res))
    };
    let result = timeout(TIME_LIMIT + TIME_SLACK, exchange).await;
    let is_disturbed = record.disturbed_at.get() + Duration::from_secs(5) > began;
    let seen = match &result {
        Ok(Ok((_, res))) => judge(record, &id, kind, res),
        Ok(Err(_)) => Seen::Other,
        Err(_) => {
            if !is_disturbed {
                record.broke("answer_in_time", &format!("request={id} path={}", PATHS[kind]));
            }
            Seen::Other
        }
    };
    record.attempts.borrow_mut().insert(id, (kind, seen));
    result.ok()?.ok().map(|(conn, _)| conn)
}

fn judge(record: &Record, id: &str, kind: usize, res: &Received) -> Seen {
    let body = String::from_utf8_lossy(&res.body);
    match res.status.as_u16() {
        200 => {
            let events = |n| format!("id: {n}\ndata: {id}\n\n");
            let expected = match kind {
                0 | 1 => format!("answer {id}"),
                _ => (1..=STREAM_EVENTS).map(events).collect(),
            };
            if body != expected {
                record.broke("whole_own_answer", &format!("request={id} body={body:?}"));
            }
            Seen::Served
        }
        429 | 503 => Seen::SaidNotRun,
        500 | 502 | 504 => Seen::Other,
        status => {
            record.broke("proper_requests_are_not_denied", &format!("request={id} {status}"));
            Seen::Other
        }
    }
}

/// Once nothing is wrong any more, all requests are served.
async fn calm(fleet: &Fleet, record: &Record) {
    let began = Instant::now();
    let mut in_a_row = 0;
    while in_a_row < CALM_REQUESTS {
        let gateway = &fleet.gateways[in_a_row % fleet.gateways.len()];
        send(gateway.callers(), None, record, in_a_row % PATHS.len()).await;
        let id = format!("a{}", record.number.get());
        let served = record.attempts.borrow().get(&id).is_some_and(|(_, s)| *s == Seen::Served);
        in_a_row = if served { in_a_row + 1 } else { 0 };
        if began.elapsed() > RECOVERY {
            return record.broke("recovery", &format!("in_a_row={in_a_row}"));
        }
    }
}

/// A stop cuts off nothing that runs, and the process ends in time.
async fn stop_gracefully(fleet: &mut Fleet, record: &Rc<Record>) {
    let address = fleet.gateways[0].callers();
    let running: Vec<_> = (0..PATHS.len())
        .map(|kind| {
            let record = Rc::clone(record);
            monoio::spawn(async move {
                send(address, None, &record, kind).await;
            })
        })
        .collect();
    sleep(Duration::from_millis(30)).await;
    let first = record.number.get() - PATHS.len() as u64;
    fleet.gateways[0].signal("TERM");
    for task in running {
        task.await;
    }
    for number in first + 1..=record.number.get() {
        let id = format!("a{number}");
        let seen = record.attempts.borrow().get(&id).map(|(_, s)| *s);
        if seen != Some(Seen::Served) {
            record.broke("graceful_stop", &format!("request={id} seen={seen:?}"));
        }
    }
    let began = Instant::now();
    while !fleet.gateways[0].has_ended() {
        if began.elapsed() > Duration::from_secs(8) {
            return record.broke("end_in_grace_period", "");
        }
        sleep(STEP).await;
    }
}

/// Compares what callers were told with what endpoints ran.
fn check_runs(fleet: &Fleet, record: &Record) {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for (endpoint, _) in &fleet.endpoints {
        for (id, count) in endpoint.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    for (id, (kind, seen)) in record.attempts.borrow().iter() {
        let count = runs.get(id).copied().unwrap_or_default();
        if RUNS_ONCE[*kind] && count > 1 {
            record.broke("at_most_once", &format!("request={id} runs={count}"));
        }
        if RUNS_ONCE[*kind] && *seen == Seen::SaidNotRun && count > 0 {
            record.broke("not_run_is_true", &format!("request={id} runs={count}"));
        }
        if *seen == Seen::Served && count == 0 {
            record.broke("served_was_run", &format!("request={id}"));
        }
    }
    let attempts = record.attempts.borrow();
    for id in runs.keys().filter(|id| !attempts.contains_key(*id)) {
        record.broke("only_sent_requests_run", &format!("request={id}"));
    }
}
