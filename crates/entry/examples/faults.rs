//! Runs rounds of random faults against real processes and counts violations of the guarantees
//! that callers are given, such as "a booking runs at most once".
//!
//! `cargo build --release && cargo run --release --example faults -- --rounds 2000 --seed 1`
//!
//! When both commands are built with `--features without-claims`, the run must report requests
//! that were executed more than once; otherwise the check itself is broken.

use std::{collections::HashMap, net::SocketAddr, process::ExitCode, time::Duration};

use baobabvane_domain::Uuid;
use baobabvane_standin::{
    Caller, Engine, EngineFaults, EngineSpeed, LogFaults, LogService, Process, Received, Service,
    ServiceFaults, free_addresses,
};
use baobabvanectl::{Manifest, OperatorClient, Table};
use clap::{Arg, value_parser};
use futures::future::join_all;
use monoio::time::{sleep, timeout};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;

const OPERATOR_TOKEN: &str = "faults-token";
const API_KEY: &str = "naran-key";
const INSTANCE_COUNT: usize = 3;
/// Non-idempotent requests per round. Each must run at most once.
const BOOKINGS_PER_ROUND: usize = 6;
/// Streamed requests per round.
const QUOTES_PER_ROUND: usize = 3;
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);
const BOOKING_PATH: &str = "/v1/kinds/booking/orders";
/// Bounds the attempts of a caller at one booking, the first one included.
const MAX_ATTEMPTS: usize = 40;
/// Bounds how often a caller repeats a booking with the same key after a `may_have_run` verdict.
const MAX_MAY_HAVE_RUN_REPEATS: usize = 2;
/// Service time of a booking, long enough for a fault to occur during the execution.
const BOOKING_DURATION: Duration = Duration::from_millis(10);

/// A process under test with the arguments that restart it on the same addresses.
struct Instance {
    name: String,
    zone: &'static str,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    args: Vec<String>,
    process: Process,
}

impl Instance {
    fn new(name: String, zone: &'static str, args: Vec<String>) -> Self {
        let process = Process::spawn(&Process::daemon_binary(), &args);
        let (caller_address, operator_address) = (process.callers(), process.operators());
        Self { name, zone, caller_address, operator_address, args, process }
    }

    fn restart(&mut self) {
        self.process.wait();
        self.process = Process::spawn(&Process::daemon_binary(), &self.args);
    }
}

/// A fault of one round. Its `Debug` text is part of the output. The first field of a variant is
/// the index of an instance.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// SIGKILL.
    Kill(usize),
    /// SIGSTOP, and SIGCONT the given number of milliseconds after the other faults are cleared.
    Pause(usize, u64),
    /// SIGTERM, which starts a graceful stop.
    Stop(usize),
    LogDown,
    LogLosesAnswers,
    LogRefuses,
    LogSlow,
    ServiceLosesAnswers,
    ServiceSlow,
    ServiceHangs,
    /// The engine closes the connection in the middle of a stream.
    EngineCuts,
    EngineRefuses,
    /// The engine ends the body of a stream properly, but without the `[DONE]` event.
    EngineEndsEarly,
}

impl Fault {
    fn random(rng: &mut SmallRng) -> Self {
        let instance = rng.random_range(0..INSTANCE_COUNT);
        match rng.random_range(0..14) {
            0 => Self::None,
            1 => Self::Kill(instance),
            2 => Self::Pause(instance, rng.random_range(20..1_500)),
            3 => Self::Stop(instance),
            4 => Self::LogDown,
            5 => Self::LogLosesAnswers,
            6 => Self::LogRefuses,
            7 => Self::LogSlow,
            8 => Self::ServiceLosesAnswers,
            9 => Self::ServiceSlow,
            10 => Self::ServiceHangs,
            11 => Self::EngineCuts,
            12 => Self::EngineRefuses,
            _ => Self::EngineEndsEarly,
        }
    }
}

fn healthy_service() -> ServiceFaults {
    ServiceFaults { delay: BOOKING_DURATION, ..Default::default() }
}

/// Violations of each guarantee, and bookings by their outcome.
#[derive(Default)]
struct Counts {
    executed_more_than_once: usize,
    not_run_but_executed: usize,
    /// Bookings without a last answer although some attempt may have run.
    lost_without_verdict: usize,
    answers_of_other_requests: usize,
    cut_by_graceful_stop: usize,
    broken_streams_reported_complete: usize,
    answered: usize,
    not_run: usize,
    may_have_run: usize,
}

impl Counts {
    fn violations_by_guarantee(&self) -> [(&'static str, usize); 6] {
        [
            ("executed more than once", self.executed_more_than_once),
            ("told \"not run\" but executed", self.not_run_but_executed),
            ("lost without a verdict", self.lost_without_verdict),
            ("answer of another request", self.answers_of_other_requests),
            ("running request cut by a graceful stop", self.cut_by_graceful_stop),
            ("broken stream passed off as whole", self.broken_streams_reported_complete),
        ]
    }

    fn violations(&self) -> usize {
        self.violations_by_guarantee().iter().map(|(_, count)| count).sum()
    }
}

/// The processes under test with their stand-in log, engine and service.
struct TestBed {
    log: LogService,
    engine: Engine,
    service: Service,
    instances: Vec<Instance>,
    counts: Counts,
    round: u64,
}

/// The result of all attempts of a caller with one idempotency key.
struct Booking {
    key: String,
    all_not_run: bool,
    /// The last answer received, unless its verdict is `not_run`.
    last_answer: Option<Received>,
    /// Unique text in the body, which the service echoes.
    marker: String,
}

impl TestBed {
    fn new() -> Self {
        let log = LogService::spawn();
        let addresses = free_addresses(3 * INSTANCE_COUNT);
        let peer = |n: usize| {
            let zone = if n + 1 < INSTANCE_COUNT { "zone-a" } else { "zone-b" };
            format!("entry-{n}={zone}={}", addresses[3 * n + 2])
        };
        let instance = |n: usize| {
            let listen = [addresses[3 * n], addresses[3 * n + 1], addresses[3 * n + 2]];
            let zone = if n + 1 < INSTANCE_COUNT { "zone-a" } else { "zone-b" };
            let peers: Vec<String> = (0..INSTANCE_COUNT).filter(|m| *m != n).map(peer).collect();
            let flags = [
                ("--name", format!("entry-{n}")),
                ("--zone", zone.to_owned()),
                ("--listen", listen[0].to_string()),
                ("--operator-listen", listen[1].to_string()),
                ("--peer-listen", listen[2].to_string()),
                ("--peer-secret", "faults-secret".to_owned()),
                ("--peers", peers.join(",")),
                ("--log", log.address().to_string()),
                ("--log-timeout-ms", "300".to_owned()),
                ("--operator-tokens", format!("ann={OPERATOR_TOKEN}")),
            ];
            let args = flags.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]);
            Instance::new(format!("entry-{n}"), zone, args.collect())
        };
        let instances: Vec<Instance> = (0..INSTANCE_COUNT).map(instance).collect();
        Self {
            log,
            engine: Engine::spawn(EngineSpeed { prefill_us: 0, decode_us: 1_000 }),
            service: Service::spawn(),
            instances,
            counts: Counts::default(),
            round: 0,
        }
    }

    async fn configure(&self) {
        self.service.set_faults(healthy_service());
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/basic.toml");
        let manifest = Manifest::load(file.as_ref()).expect("the file is valid");
        let client =
            OperatorClient::new(self.instances[0].operator_address, OPERATOR_TOKEN).expect("ASCII");
        while client.get("/v1/tiers").await.is_err() {
            sleep(Duration::from_millis(10)).await;
        }
        for (name, spec) in manifest.resources() {
            let mut spec = spec.clone();
            if let baobabvane_domain::Spec::Endpoint(endpoint) = &mut spec {
                endpoint.address = match name.name.as_str() {
                    "bookings" => self.service.address(),
                    _ => self.engine.address(),
                };
            }
            client.put(name, &spec, None).await.expect("the resource is valid");
        }
        for n in 0..INSTANCE_COUNT {
            while !self.is_ready(n).await {
                sleep(Duration::from_millis(5)).await;
            }
        }
    }

    /// Returns whether an instance is running, is not draining and has loaded a configuration.
    async fn is_ready(&self, n: usize) -> bool {
        let client =
            OperatorClient::new(self.instances[n].operator_address, OPERATOR_TOKEN).expect("ASCII");
        let status = client.get("/v1/status").await.unwrap_or_default();
        status["ready"] == true && status["configuration"]["version"].as_u64() > Some(0)
    }

    fn caller(&self, n: usize) -> Caller {
        Caller::new(self.instances[n].caller_address, API_KEY)
    }

    async fn run_round(&mut self, rng: &mut SmallRng) {
        let faults = [
            Fault::random(rng),
            if rng.random_ratio(1, 3) { Fault::random(rng) } else { Fault::None },
        ];
        let mut bookings = Vec::new();
        for _ in 0..BOOKINGS_PER_ROUND {
            let targets: Vec<usize> =
                (0..MAX_ATTEMPTS).map(|_| rng.random_range(0..INSTANCE_COUNT)).collect();
            bookings.push((Duration::from_millis(rng.random_range(0..30)), targets));
        }
        let quotes: Vec<(usize, u64)> = (0..QUOTES_PER_ROUND)
            .map(|_| (rng.random_range(0..INSTANCE_COUNT), rng.random_range(0..30)))
            .collect();
        let fault_at = Duration::from_millis(rng.random_range(0..25));
        let clear_after = Duration::from_millis(rng.random_range(20..120));
        let (bookings, quotes) = {
            let test_bed = &*self;
            let bookings =
                join_all(bookings.into_iter().map(|(d, targets)| test_bed.book(d, targets)));
            let quotes =
                join_all(quotes.iter().map(|(target, delay)| test_bed.quote(*target, *delay)));
            let fault_injection = test_bed.inject_faults(faults, fault_at, clear_after);
            let (bookings, quotes, ()) = futures::join!(bookings, quotes, fault_injection);
            (bookings, quotes)
        };
        self.restart_ended_instances().await;
        self.check_answers(bookings, quotes, faults);
    }

    /// Sends a booking with one idempotency key to the target instances in turn, until an answer is
    /// successful or more than [`MAX_MAY_HAVE_RUN_REPEATS`] answers have the verdict
    /// `may_have_run`.
    async fn book(&self, delay: Duration, targets: Vec<usize>) -> Booking {
        sleep(delay).await;
        let key = Uuid::now_v7().to_string();
        let marker = Uuid::new_v4().to_string();
        let mut all_not_run = true;
        let mut last_answer = None;
        let mut may_have_run_answers = 0;
        let mut pause = Duration::from_millis(10);
        for target in targets {
            let caller = self.caller(target).with("idempotency-key", &key);
            let body = json!({ "marker": marker }).to_string();
            let Ok(mut conn) = caller.connect().await else {
                // No request was sent, so this attempt cannot have run.
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let call = caller.send_on(&mut conn, http::Method::POST, BOOKING_PATH, body);
            let answer = timeout(CALLER_TIMEOUT, call).await;
            let Ok(Ok(answer)) = answer else {
                // Without an answer, the booking may have run. The next attempt repeats it with the
                // same key.
                all_not_run = false;
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let verdict = answer.verdict().to_owned();
            all_not_run &= verdict == "not_run";
            may_have_run_answers += usize::from(verdict == "may_have_run");
            let is_final =
                answer.status.is_success() || may_have_run_answers > MAX_MAY_HAVE_RUN_REPEATS;
            last_answer = (verdict != "not_run").then_some(answer);
            if is_final {
                break;
            }
            pause += Duration::from_millis(10);
            sleep(pause).await;
        }
        Booking { key, all_not_run, last_answer, marker }
    }

    /// Requests a streamed quote. Returns its subject and, if one arrived in time, the answer.
    async fn quote(&self, target: usize, delay_ms: u64) -> (String, Option<Received>) {
        sleep(Duration::from_millis(delay_ms)).await;
        let subject = Uuid::new_v4().simple().to_string();
        let body = json!({"model": "quote", "stream": true, "max_tokens": 8,
            "messages": [{"role": "user", "content": subject}]});
        let call = self.caller(target);
        let call = call.post("/v1/chat/completions", &body);
        (subject, timeout(CALLER_TIMEOUT, call).await.ok().and_then(Result::ok))
    }

    async fn inject_faults(&self, faults: [Fault; 2], at: Duration, clear_after: Duration) {
        sleep(at).await;
        let mut pauses = Vec::new();
        for fault in faults {
            match fault {
                Fault::None => {}
                Fault::Kill(n) => self.instances[n].process.signal("KILL"),
                Fault::Stop(n) => self.instances[n].process.signal("TERM"),
                Fault::Pause(n, ms) => {
                    self.instances[n].process.signal("STOP");
                    pauses.push((n, ms));
                }
                Fault::LogDown => {
                    self.log.set_faults(LogFaults { down: true, ..Default::default() })
                }
                Fault::LogLosesAnswers => {
                    self.log.set_faults(LogFaults { lose_answers: true, ..Default::default() });
                }
                Fault::LogRefuses => {
                    self.log.set_faults(LogFaults { refuse: true, ..Default::default() });
                }
                Fault::LogSlow => {
                    let delay = Duration::from_millis(400);
                    self.log.set_faults(LogFaults { delay, ..Default::default() });
                }
                Fault::ServiceLosesAnswers => {
                    let faults = ServiceFaults { lose_answers: true, ..healthy_service() };
                    self.service.set_faults(faults);
                }
                Fault::ServiceSlow => {
                    let delay = Duration::from_millis(60);
                    self.service.set_faults(ServiceFaults { delay, ..Default::default() });
                }
                Fault::ServiceHangs => {
                    self.service.set_faults(ServiceFaults { hang: true, ..Default::default() });
                }
                Fault::EngineCuts => {
                    let faults = EngineFaults { cut_after: Some(3), ..Default::default() };
                    self.engine.set_faults(faults);
                }
                Fault::EngineRefuses => {
                    self.engine.set_faults(EngineFaults { refuse: true, ..Default::default() });
                }
                Fault::EngineEndsEarly => {
                    let faults = EngineFaults { end_after: Some(3), ..Default::default() };
                    self.engine.set_faults(faults);
                }
            }
        }
        sleep(clear_after).await;
        self.log.set_faults(LogFaults::default());
        self.service.set_faults(healthy_service());
        self.engine.set_faults(EngineFaults::default());
        for (n, ms) in pauses {
            sleep(Duration::from_millis(ms)).await;
            self.instances[n].process.signal("CONT");
        }
    }

    async fn restart_ended_instances(&mut self) {
        for n in 0..INSTANCE_COUNT {
            // A stopping instance can exit between two polls, so each poll checks again.
            while !self.is_ready(n).await {
                if self.instances[n].process.has_ended() {
                    self.instances[n].restart();
                }
                sleep(Duration::from_millis(5)).await;
            }
        }
    }

    fn check_answers(
        &mut self,
        bookings: Vec<Booking>,
        quotes: Vec<(String, Option<Received>)>,
        faults: [Fault; 2],
    ) {
        let executions = self.service.executions();
        let before = self.counts.violations();
        for booking in &bookings {
            self.check_booking(booking, &executions);
        }
        // A graceful stop lets active streams finish. Only a killed instance or a faulty engine may
        // cut one off.
        let may_cut_streams = faults
            .iter()
            .any(|f| matches!(f, Fault::Kill(_) | Fault::EngineCuts | Fault::EngineEndsEarly));
        let has_graceful_stop = faults.iter().any(|f| matches!(f, Fault::Stop(_)));
        for (subject, answer) in &quotes {
            match answer {
                Some(answer) if answer.status.is_success() => {
                    let text = String::from_utf8_lossy(&answer.body);
                    let is_complete = text.ends_with("data: [DONE]\n\n");
                    self.counts.broken_streams_reported_complete += usize::from(!is_complete);
                    let is_own_answer = text.contains(&format!("about {subject}"));
                    self.counts.answers_of_other_requests += usize::from(!is_own_answer);
                }
                Some(_) => {}
                // A request that never reached the engine was not running, so the stop did not cut
                // it off.
                None if has_graceful_stop && !may_cut_streams && self.was_started(subject) => {
                    self.counts.cut_by_graceful_stop += 1;
                }
                None => {}
            }
        }
        if self.counts.violations() > before {
            println!(
                "broken in round {} under {faults:?}: {:?}",
                self.round,
                self.counts.violations_by_guarantee()
            );
        }
    }

    fn was_started(&self, subject: &str) -> bool {
        self.engine.was_started(subject)
    }

    fn check_booking(&mut self, booking: &Booking, executions: &HashMap<String, u32>) {
        let executed = executions.get(&booking.key).copied().unwrap_or(0);
        self.counts.executed_more_than_once += usize::from(executed > 1);
        self.counts.not_run_but_executed += usize::from(booking.all_not_run && executed > 0);
        match &booking.last_answer {
            None if booking.all_not_run => self.counts.not_run += 1,
            None => self.counts.lost_without_verdict += 1,
            Some(answer) if answer.status.is_success() => {
                self.counts.answered += 1;
                let is_own_answer =
                    answer.json()["echo"].as_str().is_some_and(|e| e.contains(&booking.marker));
                self.counts.answers_of_other_requests += usize::from(!is_own_answer);
            }
            Some(_) => self.counts.may_have_run += 1,
        }
    }
}

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default)
    };
    let args = clap::Command::new("faults")
        .about("Rounds of random faults against real processes")
        .args([number("rounds", "100"), number("seed", "1"), number("first", "0")])
        .get_matches();
    let rounds = *args.get_one::<u64>("rounds").expect("the argument has a default");
    let first = *args.get_one::<u64>("first").expect("the argument has a default");
    let seed = *args.get_one::<u64>("seed").expect("the argument has a default");
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime needs only a file descriptor");
    let counts = runtime.block_on(async {
        let mut test_bed = TestBed::new();
        test_bed.configure().await;
        for round in first..first + rounds {
            test_bed.round = round;
            let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000_003) + round);
            test_bed.run_round(&mut rng).await;
        }
        let names: Vec<String> =
            test_bed.instances.iter().map(|i| format!("{} in {}", i.name, i.zone)).collect();
        println!("{rounds} rounds, seed {seed}, instances: {}", names.join(", "));
        std::mem::take(&mut test_bed.counts)
    });
    let mut table = Table::new(&["PROMISE", "BROKEN"]);
    for (guarantee, count) in counts.violations_by_guarantee() {
        table.push_row([guarantee.to_owned(), count.to_string()]);
    }
    println!("{table}");
    println!(
        "bookings: {} answered, {} may have run, {} not run",
        counts.answered, counts.may_have_run, counts.not_run
    );
    if counts.violations() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
