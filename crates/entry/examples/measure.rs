//! Measures the latency and throughput cost of an instance on real sockets, compared with direct
//! calls to the stand-in service.
//!
//! `cargo build --release && cargo run --release --example measure`
//!
//! The instance runs as a separate process from the release binary.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use baobabvane_domain::{
    Endpoint, Kind, LogDownPolicy, Organisation, Protocol, ResourceName, Spec, Tier,
};
use baobabvane_standin::{Caller, Engine, EngineSpeed, LogService, Process, Service};
use baobabvanectl::{OperatorClient, Table};
use hdrhistogram::Histogram;
use monoio::time::{Instant, sleep, sleep_until};
use serde_json::json;

const OPERATOR_TOKEN: &str = "measure-token";
const API_KEY: &str = "measure-key";
const RUN_DURATION: Duration = Duration::from_secs(4);
/// Number of threads that generate load.
const LOAD_THREADS: usize = 3;
const IDLE_CONNECTIONS: usize = 10_000;
/// Peak request rate of a deployment of the size that the design targets.
const PEAK_REQUESTS_PER_S: u64 = 850;

fn runtime() -> monoio::Runtime<monoio::time::TimeDriver<monoio::LegacyDriver>> {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime needs only a file descriptor")
}

async fn apply_configuration(instance: &Process, engine: SocketAddr, service: SocketAddr) {
    let client =
        OperatorClient::new(instance.operators(), OPERATOR_TOKEN).expect("the token is ASCII");
    while client.get("/v1/tiers").await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    let kind = |pool: &str, protocol, idempotent| {
        Spec::Kind(Kind {
            tier: "urgent".to_owned(),
            pool: pool.to_owned(),
            protocol,
            idempotent,
            deadline_ms: 60_000,
            answer_tokens: 64,
            log_down: LogDownPolicy::Refuse,
        })
    };
    let endpoint = |address, pool: &str, protocol| {
        Spec::Endpoint(Endpoint {
            address,
            zone: "zone-1".to_owned(),
            pool: pool.to_owned(),
            protocol,
            slots: 4096,
            cache_tokens: 0,
            leaving: false,
        })
    };
    let org =
        Organisation { key_hashes: vec![baobabvane_domain::hash_api_key(API_KEY)], weight: 1 };
    let resources = [
        ("urgent", Spec::Tier(Tier { rank: 0, floor_percent: 0 })),
        ("stock", kind("stock", Protocol::Plain, true)),
        ("booking", kind("stock", Protocol::Plain, false)),
        ("quote", kind("advice", Protocol::Model, true)),
        ("measure", Spec::Organisation(org)),
        ("stock", endpoint(service, "stock", Protocol::Plain)),
        ("advice", endpoint(engine, "advice", Protocol::Model)),
    ];
    for (name, spec) in resources {
        let name = ResourceName { type_: spec.resource_type(), name: name.to_owned() };
        client.put(&name, &spec, None).await.expect("the resource is valid");
    }
}

/// Latencies in microseconds and the request rate of one load run.
struct LoadResult {
    latency: Histogram<u64>,
    per_second: f64,
}

impl LoadResult {
    fn quantile_us(&self, q: f64) -> u64 {
        self.latency.value_at_quantile(q)
    }
}

/// Sends requests over the given number of connections for [`RUN_DURATION`]. `rate` is the total
/// rate per second; without it, each connection sends its next request after the last answer.
fn run_load(
    address: SocketAddr,
    path: &'static str,
    connections: usize,
    rate: Option<u64>,
) -> LoadResult {
    let merged = Arc::new(Mutex::new(Histogram::<u64>::new(3).expect("3 digits are valid")));
    let threads: Vec<_> = (0..LOAD_THREADS.min(connections))
        .map(|t| {
            let merged = Arc::clone(&merged);
            let threads = LOAD_THREADS.min(connections);
            let own_connections = connections / threads + usize::from(t < connections % threads);
            thread::spawn(move || {
                runtime().block_on(async move {
                    let start = Instant::now();
                    let interval = rate.map(|r| Duration::from_secs(connections as u64) / r as u32);
                    let tasks: Vec<_> = (0..own_connections)
                        .map(|n| {
                            // Spreads the first requests evenly over one interval, to avoid bursts.
                            let connection_number = (t + n * threads) as u32;
                            let initial_delay = interval
                                .map(|interval| interval * connection_number / connections as u32);
                            monoio::spawn(run_connection(
                                address,
                                path,
                                start,
                                interval,
                                initial_delay,
                            ))
                        })
                        .collect();
                    for task in tasks {
                        let latency = task.await;
                        merged
                            .lock()
                            .expect("no thread panics while it holds the lock")
                            .add(latency)
                            .expect("both histograms have the same range");
                    }
                });
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("a load thread does not panic");
    }
    let latency = merged.lock().expect("no thread panics while it holds the lock").clone();
    let per_second = latency.len() as f64 / RUN_DURATION.as_secs_f64();
    LoadResult { latency, per_second }
}

async fn run_connection(
    address: SocketAddr,
    path: &'static str,
    start: Instant,
    interval: Option<Duration>,
    initial_delay: Option<Duration>,
) -> Histogram<u64> {
    let caller = Caller::new(address, API_KEY);
    let mut latency = Histogram::new(3).expect("3 digits are valid");
    let mut conn = caller.connect().await.expect("the address accepts");
    let mut next_send = start + initial_delay.unwrap_or_default();
    while start.elapsed() < RUN_DURATION {
        if let Some(interval) = interval {
            sleep_until(next_send).await;
            next_send += interval;
        }
        let sent = Instant::now();
        let answer = caller.send_on(&mut conn, http::Method::GET, path, "").await;
        assert_eq!(answer.expect("the request is answered").status, 200);
        latency
            .record(sent.elapsed().as_micros() as u64)
            .expect("the latency is within the histogram's range");
    }
    latency
}

fn measure_latency(instance: &Process, service: SocketAddr) {
    let mut table = Table::new(&[
        "CONNECTIONS",
        "RATE",
        "DIRECT P50 US",
        "P99",
        "THROUGH P50 US",
        "P99",
        "ADDED P50",
        "P99",
        "DIRECT R/S",
        "THROUGH R/S",
        "RATIO",
    ]);
    for (connections, rate) in [(64, Some(PEAK_REQUESTS_PER_S)), (1, None), (64, None), (512, None)]
    {
        let direct = run_load(service, "/items", connections, rate);
        let through = run_load(instance.callers(), "/v1/kinds/stock/items", connections, rate);
        let q = |load: &LoadResult, q| load.quantile_us(q);
        table.push_row([
            connections.to_string(),
            rate.map_or("most".to_owned(), |r| r.to_string()),
            q(&direct, 0.5).to_string(),
            q(&direct, 0.99).to_string(),
            q(&through, 0.5).to_string(),
            q(&through, 0.99).to_string(),
            (q(&through, 0.5).saturating_sub(q(&direct, 0.5))).to_string(),
            (q(&through, 0.99).saturating_sub(q(&direct, 0.99))).to_string(),
            format!("{:.0}", direct.per_second),
            format!("{:.0}", through.per_second),
            format!("{:.2}", through.per_second / direct.per_second),
        ]);
    }
    println!("{table}");
}

/// Streams long answers and prints how many tokens the instance forwards per second of its CPU
/// time.
async fn measure_token_throughput(instance: &Process) {
    const STREAM_COUNT: usize = 64;
    const TOKENS_PER_STREAM: usize = 4_000;
    let caller = Caller::new(instance.callers(), API_KEY);
    let body = json!({"model": "quote", "stream": true, "max_tokens": TOKENS_PER_STREAM,
        "messages": [{"role": "user", "content": "seam"}]});
    let cpu = instance.cpu();
    let start = Instant::now();
    let streams = (0..STREAM_COUNT).map(|_| caller.post("/v1/chat/completions", &body));
    for answer in futures::future::join_all(streams).await {
        let text = answer.expect("the answer is complete").body;
        assert!(text.ends_with(b"data: [DONE]\n\n"));
    }
    let total_tokens = (STREAM_COUNT * TOKENS_PER_STREAM) as f64;
    let cpu_seconds = (instance.cpu() - cpu).as_secs_f64();
    println!(
        "streamed {total_tokens} tokens in {:.2} s, {:.2} s of the instance's core: {:.0} tokens a second on one core",
        start.elapsed().as_secs_f64(),
        cpu_seconds,
        total_tokens / cpu_seconds
    );
}

/// Measures booking latency at several rates. Appends sent directly to the log give the baseline.
async fn measure_booking_latency(instance: &Process, log: &LogService) {
    let log_caller = Caller::new(log.address(), "");
    let mut append_latency = Histogram::<u64>::new(3).expect("3 digits are valid");
    for _ in 0..300 {
        let sent = Instant::now();
        log_caller
            .send(http::Method::POST, "/v1/streams/yardstick/records", "x")
            .await
            .expect("up");
        append_latency
            .record(sent.elapsed().as_micros() as u64)
            .expect("the latency is within the histogram's range");
    }
    println!(
        "append of the log alone: p50 {} us, p99 {} us",
        append_latency.value_at_quantile(0.5),
        append_latency.value_at_quantile(0.99)
    );
    for rate in [10_u64, 100, 850] {
        let appends = log.appends();
        let count = rate * 4;
        let start = Instant::now();
        let book = |n: u64| async move {
            sleep_until(start + Duration::from_micros(1_000_000 * n / rate)).await;
            let key = baobabvane_domain::Uuid::now_v7().to_string();
            let caller = Caller::new(instance.callers(), API_KEY).with("idempotency-key", &key);
            let answer = caller.send(http::Method::POST, "/v1/kinds/booking/orders", "{}").await;
            let answer = answer.expect("the request is answered");
            assert_eq!(answer.status, 200);
            answer.whole.as_micros() as u64
        };
        let mut latency = Histogram::<u64>::new(3).expect("3 digits are valid");
        for micros in futures::future::join_all((0..count).map(book)).await {
            latency.record(micros).expect("the latency is within the histogram's range");
        }
        let seconds = start.elapsed().as_secs_f64();
        println!(
            "{rate} bookings a second: p50 {} us, p99 {} us, {:.0} appends a second",
            latency.value_at_quantile(0.5),
            latency.value_at_quantile(0.99),
            (log.appends() - appends) as f64 / seconds
        );
    }
}

fn measure_idle_memory(instance: &Process) {
    let before_kib = instance.memory_kib();
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .map(|_| TcpStream::connect(instance.callers()).expect("the instance accepts"))
        .collect();
    thread::sleep(Duration::from_secs(1));
    println!(
        "memory: {before_kib} KiB before, {} KiB with {} idle connections",
        instance.memory_kib(),
        idle.len()
    );
}

fn main() {
    let log = LogService::spawn();
    let engine = Engine::spawn(EngineSpeed { prefill_us: 0, decode_us: 0 });
    let service = Service::spawn();
    let log_address = log.address().to_string();
    let tokens_arg = format!("ann={OPERATOR_TOKEN}");
    let args = [
        "--listen",
        "127.0.0.1:0",
        "--operator-listen",
        "127.0.0.1:0",
        "--log",
        &log_address,
        "--operator-tokens",
        &tokens_arg,
    ];
    let instance = Process::spawn(&Process::daemon_binary(), &args);
    runtime().block_on(apply_configuration(&instance, engine.address(), service.address()));
    println!("memory at rest: {} KiB", instance.memory_kib());
    measure_latency(&instance, service.address());
    runtime().block_on(measure_token_throughput(&instance));
    runtime().block_on(measure_booking_latency(&instance, &log));
    measure_idle_memory(&instance);
}
