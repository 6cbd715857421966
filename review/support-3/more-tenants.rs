//! With many tenants, instances no longer hear each other, and each grants all of a quota.

#[path = "kit.rs"]
mod kit;

use std::{
    net::{SocketAddr, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kit::{
    BROKEN, Connection, Folder, Gateway, HELD, NOT_RUN, Record, Store, configuration, entry,
    has_trouble, lock, loopback, new_id, response, route, serve, unix_ms,
};

const SERVICE: &str = "ledger-app";
const ENGINES: usize = 6;
const GATEWAYS: u8 = 3;
/// The tenants that send beside the one that sends too much.
const MANY_TENANTS: usize = 1_000;
const FEW_TENANTS: usize = 15;
/// Connections that send for them, and the pause between two requests of one.
const CONNECTIONS: usize = 45;
const PAUSE: Duration = Duration::from_millis(100);
/// The same for the tenant that sends too much.
const HOT_CONNECTIONS: usize = 12;
const HOT_PAUSE: Duration = Duration::from_millis(85);
const HOT_FROM: Duration = Duration::from_secs(40);
const HOT_FOR: Duration = Duration::from_secs(20);
const HOT_KEY: &str = "hot0hot0hot0hot0hot0";
/// The quota of that tenant, in tokens, and what a request without a token usage counts.
const RATE_PER_S: f64 = 10_000.0;
const BURST_SIZE: f64 = 10_000.0;
const TOKENS_OF_A_REQUEST: f64 = 500.0;
/// The bounds of the settings.
const QUOTA_INTERVAL_MS: u64 = 8_000;
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_TOLERANCE: f64 = 140_000.0;

/// Sends requests of a tenant drawn by `key` on one connection until `is_over`.
fn client(
    to: SocketAddr,
    key: impl Fn(u64) -> String,
    pause: Duration,
    is_over: &AtomicBool,
    answers: &[AtomicU32; 6],
) {
    let mut conn: Option<Connection> = None;
    let mut number = u64::from(to.port());
    while !is_over.load(Ordering::Relaxed) {
        number =
            number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let bytes = format!(
            "GET /balance/a HTTP/1.1\r\nHost: ficu95.example\r\nX-Baobabvane-Attempt-Id: {}\r\n\
             X-Baobabvane-Deadline-Remaining: 1500\r\nAuthorization: Bearer {}\r\n\r\n",
            new_id(),
            key(number >> 33)
        );
        let mut open = conn.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
            Some(Connection::new(stream))
        });
        let answer = open.as_mut().and_then(|open| {
            open.write(bytes.as_bytes()).ok()?;
            open.read_message().ok()?
        });
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        answers[usize::from(status / 100).min(5)].fetch_add(1, Ordering::Relaxed);
        conn = open.filter(|_| answer.is_some_and(|a| a.header("connection") != Some("close")));
        thread::sleep(pause);
    }
}

fn main() {
    let record = Record::create(Path::new("target/review-3/more-tenants.txt"));
    let folder = Folder::create("review-14");
    let store = Store::start();
    // When the engines ran requests of the tenant that sends too much.
    let hot_runs = Arc::new(Mutex::new(Vec::<u64>::new()));
    for i in 0..ENGINES {
        let hot_runs = Arc::clone(&hot_runs);
        let engine = serve(loopback(), move |mut conn| {
            while let Ok(Some(req)) = conn.read_message() {
                if req.header("x-baobabvane-tenant-name") == Some("hot") {
                    lock(&hot_runs).push(unix_ms());
                }
                let id = req.header("x-baobabvane-attempt-id").unwrap_or("").to_owned();
                let headers = [
                    ("X-Baobabvane-Attempt-Id", id.as_str()),
                    ("X-Baobabvane-Response-Signature", "s"),
                ];
                if conn.write(&response(200, &headers, b"balance")).is_err() {
                    return;
                }
            }
        });
        let zone = ["tanta", "mansoura", "zagazig"][i % 3];
        let text = entry(SERVICE, engine, zone, 20, "ready", unix_ms(), 1);
        store.put("keyed.servers", &format!("i-{i}"), &text);
    }
    let tenant = |name: &str, key: &str, rate: f64, burst: f64| {
        format!(
            r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1,"billingUnit":"tokens","uncachedTokens":{TOKENS_OF_A_REQUEST},"ratePerS":{rate},"burstSize":{burst}}}"#
        )
    };
    let tenants = if has_trouble() { MANY_TENANTS } else { FEW_TENANTS };
    let key_of = |n: usize| format!("k{n:019}");
    let mut list: Vec<String> =
        (0..tenants).map(|n| tenant(&format!("t{n}"), &key_of(n), 200_000.0, 200_000.0)).collect();
    list.push(tenant("hot", HOT_KEY, RATE_PER_S, BURST_SIZE));
    let routes = [route("balance-read", "/balance/", "idempotent", SERVICE, 1_500)];
    let config = configuration(7, &routes, &[SERVICE], &list.join(","));
    record.line(format!("{} tenants, a configuration of {} bytes", list.len(), config.len()));
    store.put("keyed.op", "config", &config);
    let gateways: Vec<Gateway> =
        (0..GATEWAYS).map(|n| Gateway::start(&folder.0, n, store.address, &[])).collect();
    if !gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        record.line("a gateway did not become ready");
        exit(NOT_RUN);
    }
    let began = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<[AtomicU32; 6]> = Arc::default();
    let hot_answers: Arc<[AtomicU32; 6]> = Arc::default();
    let mut clients = Vec::new();
    for n in 0..CONNECTIONS {
        let (to, is_over, answers) =
            (gateways[n % gateways.len()].frontend, Arc::clone(&is_over), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(7 * n as u64));
            let key = |draw: u64| key_of((draw as usize).wrapping_add(n * 7_919) % tenants);
            client(to, key, PAUSE, &is_over, &answers);
        }));
    }
    thread::sleep(HOT_FROM);
    record.line("the tenant \"hot\" begins to send");
    for n in 0..HOT_CONNECTIONS {
        let (to, is_over, answers) =
            (gateways[n % gateways.len()].frontend, Arc::clone(&is_over), Arc::clone(&hot_answers));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(6 * n as u64));
            client(to, |_| HOT_KEY.to_owned(), HOT_PAUSE, &is_over, &answers);
        }));
    }
    thread::sleep(HOT_FOR);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut runs = lock(&hot_runs).clone();
    runs.sort_unstable();
    let most = (0..runs.len())
        .map(|first| runs[first..].partition_point(|at| *at < runs[first] + QUOTA_INTERVAL_MS))
        .max()
        .unwrap_or(0);
    let used = most as f64 * TOKENS_OF_A_REQUEST;
    let allowed = (RATE_PER_S * QUOTA_INTERVAL_MS as f64 / 1_000.0 + BURST_SIZE)
        * (1.0 + QUOTA_OVERSHOOT)
        + QUOTA_TOLERANCE;
    let count = |answers: &[AtomicU32; 6]| {
        let counts: Vec<u32> = answers.iter().map(|n| n.load(Ordering::Relaxed)).collect();
        format!(
            "{} served, {} refused with 4xx, {} with 5xx, {} without an answer",
            counts[2], counts[4], counts[5], counts[0]
        )
    };
    record.line(format!(
        "other tenants in {:.0} s: {}",
        began.elapsed().as_secs_f64(),
        count(&answers)
    ));
    record.line(format!("hot: {}", count(&hot_answers)));
    for gateway in &gateways {
        let log = gateway.log();
        let known = log.lines().filter(|line| line.contains("event=peers_changed")).last();
        record.line(format!("{}: {}", gateway.name, known.unwrap_or("no peers")));
    }
    record.line(format!(
        "in some {QUOTA_INTERVAL_MS} ms, {used} tokens of hot were sent and run; allowed {allowed}"
    ));
    drop((gateways, folder));
    if hot_answers[2].load(Ordering::Relaxed) == 0 {
        record.line("nothing of hot was served");
        exit(NOT_RUN);
    }
    let is_broken = used > allowed;
    record.line(if is_broken { "QUOTA is broken" } else { "QUOTA holds" });
    exit(if is_broken { BROKEN } else { HELD });
}
