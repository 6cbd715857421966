//! Soak test of the gateway: runs real processes under random external faults and counts
//! violations of the guarantees that callers are given.
//!
//! `cargo build --release && cargo run --release --example soak -- --seed 1 --seeds 50`
//!
//! If a seed breaks a guarantee, its logs are kept; the last line printed for the seed names their
//! folder.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    path::Path,
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use baobabvane_standin::{
    Caller, EndpointFault, Fleet, Process, ProxyFault, Received, STREAM_EVENTS, StoreCopy,
    StoreFault,
};
use baobabvane_wire::{ClientConn, WireError};
use clap::{Arg, value_parser};
use http::{Method, StatusCode};
use monoio::time::{Instant, sleep, timeout};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const GATEWAY_COUNT: u8 = 3;
const ENDPOINT_COUNT: usize = 4;
const CALLER_COUNT: usize = 8;
/// Request timeout of the configured routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time that an answer may take beyond the route timeout.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Bounds the time until a gateway is ready, at the start and after the faults have ended, and the
/// time until the fleet then serves all requests.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Consecutive requests that must be served before the fleet counts as recovered.
const RECOVERY_REQUESTS: usize = 40;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Path of each request kind. Only the first and the third kind are non-idempotent.
const REQUEST_PATHS: [&str; 4] = ["/posting/", "/read/", "/stream-once/", "/stream/"];
const RUNS_AT_MOST_ONCE: [bool; 4] = [true, false, true, false];

/// The outcome of an attempt as its caller saw it. Its `Debug` text is part of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOutcome {
    Served,
    SaidNotRun,
    Other,
}

/// State shared by all callers during the run of one seed.
struct RunState {
    /// Request kind (an index into [`REQUEST_PATHS`]) and outcome of each attempt, by its id.
    attempts: RefCell<HashMap<String, (usize, AttemptOutcome)>>,
    violations: RefCell<Vec<String>>,
    is_stopping: Cell<bool>,
    attempt_count: Cell<u64>,
    /// The last time that a process was killed, paused or resumed. Requests that begin less than
    /// 5 s after it, or were in flight then, are exempt from the time limit.
    last_disruption: Cell<Instant>,
    /// Copies of the store from when the last two faults began.
    store_copies: RefCell<VecDeque<StoreCopy>>,
}

impl RunState {
    fn record_violation(&self, guarantee: &str, detail: &str) {
        println!("broken promise={guarantee} {detail}");
        self.violations.borrow_mut().push(guarantee.to_owned());
    }
}

/// A fault. All but `Reload`, `Configure` and `ForgetHistory` last until they are cleared. Its
/// `Debug` text is part of the output. A number in a variant is the index of a gateway or an
/// endpoint.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// SIGKILL.
    Kill(usize),
    /// SIGSTOP, and SIGCONT when the fault is cleared.
    Pause(usize),
    /// SIGTERM, which starts a graceful stop.
    Stop(usize),
    /// SIGHUP.
    Reload(usize),
    Store(StoreFault),
    StoreLink(usize, ProxyFault),
    Endpoint(usize, EndpointFault),
    EndpointLink(usize, ProxyFault),
    Drain(usize),
    /// Removes the endpoint's entry from the store.
    Unlist(usize),
    /// Publishes a new version of the configuration.
    Configure,
    /// Compacts the store, so that only the newest record of each key stays readable.
    ForgetHistory,
    /// Restores the store from the oldest copy that is kept; when the fault is cleared, the
    /// operator and the endpoints write again.
    Restore,
}

impl Fault {
    fn random(rng: &mut SmallRng) -> Self {
        let gateway = rng.random_range(0..usize::from(GATEWAY_COUNT));
        let endpoint = rng.random_range(0..ENDPOINT_COUNT);
        let link_fault = match rng.random_range(0..4) {
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
            7 => Self::StoreLink(gateway, link_fault),
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
            10 => Self::EndpointLink(endpoint, link_fault),
            11 => Self::Drain(endpoint),
            12 => Self::Unlist(endpoint),
            _ if rng.random() => Self::Configure,
            _ if rng.random() => Self::ForgetHistory,
            _ => Self::Restore,
        }
    }

    fn inject(self, fleet: &mut Fleet, state: &RunState) {
        match self {
            Self::Kill(i) => fleet.gateways[i].signal("KILL"),
            Self::Pause(i) => fleet.gateways[i].signal("STOP"),
            Self::Stop(i) => fleet.gateways[i].signal("TERM"),
            Self::Reload(i) => fleet.gateways[i].signal("HUP"),
            Self::Store(fault) => fleet.store.set_fault(fault),
            Self::StoreLink(i, link_fault) => fleet.gateways[i].store_link.set_fault(link_fault),
            Self::Endpoint(i, fault) => fleet.endpoints[i].0.set_fault(fault),
            Self::EndpointLink(i, link_fault) => fleet.endpoints[i].1.set_fault(link_fault),
            Self::Drain(i) => fleet.put_endpoint(i, "draining"),
            Self::Unlist(i) => fleet.remove_endpoint(i),
            Self::Configure => fleet.configure(&["k1", "k2"]),
            Self::ForgetHistory => fleet.store.compact(),
            Self::Restore => {
                if let Some(copy) = state.store_copies.borrow_mut().pop_front() {
                    fleet.store.restore(copy);
                }
            }
        }
        if matches!(self, Self::Kill(_) | Self::Pause(_)) {
            state.last_disruption.set(Instant::now());
        }
    }

    fn clear(self, fleet: &mut Fleet, state: &RunState) {
        match self {
            Self::Kill(i) | Self::Stop(i) => {
                // A paused process acts on SIGTERM only after it is resumed.
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
            Self::Restore => {
                fleet.configure(&["k1", "k2"]);
                (0..ENDPOINT_COUNT).for_each(|i| fleet.put_endpoint(i, "ready"));
            }
            Self::Pause(_) | Self::Reload(_) | Self::Configure | Self::ForgetHistory => {}
        }
        if matches!(self, Self::Pause(_)) {
            state.last_disruption.set(Instant::now());
        }
    }

    /// Returns the gateway that the fault signals. A signal needs a live process, so a gateway has
    /// at most one such fault at a time.
    fn signalled_gateway(self) -> Option<usize> {
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
    let binary = Process::daemon_binary();
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
    let mut fleet = Fleet::spawn(binary, GATEWAY_COUNT, ENDPOINT_COUNT);
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime needs only a file descriptor");
    let state = runtime.block_on(run_workload(&mut fleet, seed, rounds));
    check_executions(&fleet, &state);
    let broken = state.violations.borrow().len();
    let attempts = state.attempts.borrow();
    let count = |outcome| attempts.values().filter(|(_, s)| *s == outcome).count();
    println!(
        "seed={seed} attempts={} served={} not_run={} other={} broken={broken}",
        attempts.len(),
        count(AttemptOutcome::Served),
        count(AttemptOutcome::SaidNotRun),
        count(AttemptOutcome::Other)
    );
    match broken {
        0 => fleet.remove_folder(),
        _ => println!("seed={seed} logs={}", fleet.folder().display()),
    }
    broken
}

async fn run_workload(fleet: &mut Fleet, seed: u64, rounds: u64) -> Rc<RunState> {
    let state = Rc::new(RunState {
        attempts: RefCell::default(),
        violations: RefCell::default(),
        is_stopping: Cell::new(false),
        attempt_count: Cell::new(0),
        last_disruption: Cell::new(Instant::now()),
        store_copies: RefCell::default(),
    });
    wait_until_ready(fleet, &state).await;
    let addresses: Vec<_> = fleet.gateways.iter().map(|g| g.callers()).collect();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|i| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(i as u64);
            monoio::spawn(run_caller(addresses.clone(), Rc::clone(&state), seed))
        })
        .collect();
    inject_faults(fleet, &state, &mut SmallRng::seed_from_u64(seed), rounds).await;
    wait_until_ready(fleet, &state).await;
    state.is_stopping.set(true);
    for caller in callers {
        caller.await;
    }
    check_recovery(fleet, &state).await;
    check_graceful_stop(fleet, &state).await;
    state
}

/// Injects random faults with random durations, which may overlap, and clears all of them at the
/// end.
async fn inject_faults(fleet: &mut Fleet, state: &RunState, rng: &mut SmallRng, rounds: u64) {
    let mut active: Vec<(Instant, Fault)> = Vec::new();
    for _ in 0..rounds {
        let fault = Fault::random(rng);
        let duration = Duration::from_millis(rng.random_range(100..2_500));
        let has_active_fault = |i| active.iter().any(|(_, f)| f.signalled_gateway() == Some(i));
        if !fault.signalled_gateway().is_some_and(has_active_fault) {
            println!("fault={fault:?} ms={}", duration.as_millis());
            fault.inject(fleet, state);
            let mut copies = state.store_copies.borrow_mut();
            copies.push_back(fleet.store.copy());
            if copies.len() > 2 {
                copies.pop_front();
            }
            active.push((Instant::now() + duration, fault));
        }
        for _ in 0..rng.random_range(1..8) {
            sleep(POLL_INTERVAL).await;
            let now = Instant::now();
            let (expired, remaining): (Vec<_>, Vec<_>) =
                active.into_iter().partition(|(t, _)| *t <= now);
            expired.into_iter().for_each(|(_, fault)| fault.clear(fleet, state));
            active = remaining;
        }
    }
    active.into_iter().for_each(|(_, fault)| fault.clear(fleet, state));
}

async fn wait_until_ready(fleet: &Fleet, state: &RunState) {
    for gateway in &fleet.gateways {
        let probe = Caller::new(gateway.ready(), "-");
        let started_at = Instant::now();
        loop {
            let answer = timeout(Duration::from_secs(1), probe.get("/readyz")).await;
            if matches!(answer, Ok(Ok(ref res)) if res.status == StatusCode::OK) {
                break;
            }
            if started_at.elapsed() > MAX_RECOVERY_TIME {
                state.record_violation("ready_again", &format!("gateway={}", gateway.callers()));
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Sends requests one at a time over persistent connections until the run is stopping.
async fn run_caller(addresses: Vec<std::net::SocketAddr>, state: Rc<RunState>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut conns: HashMap<usize, ClientConn> = HashMap::new();
    while !state.is_stopping.get() {
        let gateway = rng.random_range(0..addresses.len());
        let kind = rng.random_range(0..REQUEST_PATHS.len());
        send_and_check(addresses[gateway], conns.remove(&gateway), &state, kind)
            .await
            .map(|conn| conns.insert(gateway, conn));
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Sends one request and checks its answer. Returns the connection if the exchange completed.
async fn send_and_check(
    address: std::net::SocketAddr,
    conn: Option<ClientConn>,
    state: &RunState,
    kind: usize,
) -> Option<ClientConn> {
    state.attempt_count.set(state.attempt_count.get() + 1);
    let id = format!("a{}", state.attempt_count.get());
    let caller = Caller::for_attempt(address, "k1", &id, 8_000);
    let started_at = Instant::now();
    let exchange = async {
        let mut conn = match conn.filter(ClientConn::is_reusable) {
            Some(conn) => conn,
            None => caller.connect().await?,
        };
        let res = caller.send_on(&mut conn, Method::POST, REQUEST_PATHS[kind], id.clone()).await?;
        Ok::<_, WireError>((conn, res))
    };
    let result = timeout(ROUTE_TIMEOUT + TIMEOUT_MARGIN, exchange).await;
    let is_near_disruption = state.last_disruption.get() + Duration::from_secs(5) > started_at;
    let outcome = match &result {
        Ok(Ok((_, res))) => check_answer(state, &id, kind, res),
        Ok(Err(_)) => AttemptOutcome::Other,
        Err(_) => {
            if !is_near_disruption {
                state.record_violation(
                    "answer_in_time",
                    &format!("request={id} path={}", REQUEST_PATHS[kind]),
                );
            }
            AttemptOutcome::Other
        }
    };
    state.attempts.borrow_mut().insert(id, (kind, outcome));
    result.ok()?.ok().map(|(conn, _)| conn)
}

fn check_answer(state: &RunState, id: &str, kind: usize, res: &Received) -> AttemptOutcome {
    let body = String::from_utf8_lossy(&res.body);
    match res.status.as_u16() {
        200 => {
            let events = |n| format!("id: {n}\ndata: {id}\n\n");
            let expected = match kind {
                0 | 1 => format!("answer {id}"),
                _ => (1..=STREAM_EVENTS).map(events).collect(),
            };
            if body != expected {
                state.record_violation("whole_own_answer", &format!("request={id} body={body:?}"));
            }
            AttemptOutcome::Served
        }
        429 | 503 => AttemptOutcome::SaidNotRun,
        500 | 502 | 504 => AttemptOutcome::Other,
        status => {
            state.record_violation(
                "proper_requests_are_not_denied",
                &format!("request={id} {status}"),
            );
            AttemptOutcome::Other
        }
    }
}

/// Checks that all requests are served again after the faults have ended.
async fn check_recovery(fleet: &Fleet, state: &RunState) {
    let started_at = Instant::now();
    let mut in_a_row = 0;
    while in_a_row < RECOVERY_REQUESTS {
        let gateway = &fleet.gateways[in_a_row % fleet.gateways.len()];
        send_and_check(gateway.callers(), None, state, in_a_row % REQUEST_PATHS.len()).await;
        let id = format!("a{}", state.attempt_count.get());
        let served =
            state.attempts.borrow().get(&id).is_some_and(|(_, s)| *s == AttemptOutcome::Served);
        in_a_row = if served { in_a_row + 1 } else { 0 };
        if started_at.elapsed() > MAX_RECOVERY_TIME {
            return state.record_violation("recovery", &format!("in_a_row={in_a_row}"));
        }
    }
}

/// Checks that a graceful stop lets active requests finish and that the process exits in time.
async fn check_graceful_stop(fleet: &mut Fleet, state: &Rc<RunState>) {
    let address = fleet.gateways[0].callers();
    let running: Vec<_> = (0..REQUEST_PATHS.len())
        .map(|kind| {
            let state = Rc::clone(state);
            monoio::spawn(async move {
                send_and_check(address, None, &state, kind).await;
            })
        })
        .collect();
    sleep(Duration::from_millis(30)).await;
    let last_before = state.attempt_count.get() - REQUEST_PATHS.len() as u64;
    fleet.gateways[0].signal("TERM");
    for task in running {
        task.await;
    }
    for number in last_before + 1..=state.attempt_count.get() {
        let id = format!("a{number}");
        let outcome = state.attempts.borrow().get(&id).map(|(_, s)| *s);
        if outcome != Some(AttemptOutcome::Served) {
            state.record_violation("graceful_stop", &format!("request={id} seen={outcome:?}"));
        }
    }
    let started_at = Instant::now();
    while !fleet.gateways[0].has_ended() {
        if started_at.elapsed() > Duration::from_secs(8) {
            return state.record_violation("end_in_grace_period", "");
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Compares the outcomes reported to callers with the executions recorded by the endpoints.
fn check_executions(fleet: &Fleet, state: &RunState) {
    let mut executions: HashMap<String, u32> = HashMap::new();
    for (endpoint, _) in &fleet.endpoints {
        for (id, count) in endpoint.runs() {
            *executions.entry(id).or_default() += count;
        }
    }
    for (id, (kind, outcome)) in state.attempts.borrow().iter() {
        let count = executions.get(id).copied().unwrap_or_default();
        if RUNS_AT_MOST_ONCE[*kind] && count > 1 {
            state.record_violation("at_most_once", &format!("request={id} runs={count}"));
        }
        if RUNS_AT_MOST_ONCE[*kind] && *outcome == AttemptOutcome::SaidNotRun && count > 0 {
            state.record_violation("not_run_is_true", &format!("request={id} runs={count}"));
        }
        if *outcome == AttemptOutcome::Served && count == 0 {
            state.record_violation("served_was_run", &format!("request={id}"));
        }
    }
    let attempts = state.attempts.borrow();
    for id in executions.keys().filter(|id| !attempts.contains_key(*id)) {
        state.record_violation("only_sent_requests_run", &format!("request={id}"));
    }
}
