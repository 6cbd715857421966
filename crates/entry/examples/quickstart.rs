//! Runs two instances with a stand-in log, engines and service on this machine, sends requests of
//! each tier, and prints the answers.
//!
//! `cargo run --release --example quickstart`

use std::{collections::BTreeMap, error::Error, net::SocketAddr, path::Path, time::Duration};

use baobabvane::{Embedded, Operator, Settings};
use baobabvane_domain::{Endpoint, Spec, Uuid};
use baobabvane_standin::{Caller, Engine, EngineSpeed, LogService, Received, Service};
use baobabvanectl::{Manifest, OperatorClient, Table};
use futures::future::join_all;
use monoio::time::sleep;
use serde_json::json;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const API_KEY: &str = "naran-market-key";
const OPERATOR_TOKEN: &str = "quickstart-token";
const QUOTE_COUNT: usize = 40;

/// An embedded entry instance with its configured name.
struct Instance {
    name: &'static str,
    embedded: Embedded,
}

impl Instance {
    fn spawn(name: &'static str, zone: &str, log: SocketAddr) -> Result<Self> {
        let settings = Settings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            operator_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            log: Some(log),
            operators: vec![Operator::new("ann", OPERATOR_TOKEN)],
            ..Settings::default()
        };
        Ok(Self { name, embedded: Embedded::spawn(settings)? })
    }
}

fn runtime() -> monoio::Runtime<monoio::time::TimeDriver<monoio::LegacyDriver>> {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime needs only a file descriptor")
}

fn main() -> Result<()> {
    let _guard = std::env::var_os("RUST_LOG").map(|_| baobabvane::install_logger());
    let log = LogService::spawn();
    let fast = Engine::spawn(EngineSpeed { prefill_us: 50, decode_us: 4_000 });
    let slow = Engine::spawn(EngineSpeed { prefill_us: 200, decode_us: 12_000 });
    let bookings = Service::spawn();
    let instances = [
        Instance::spawn("entry-a", "zone-a", log.address())?,
        Instance::spawn("entry-b", "zone-b", log.address())?,
    ];
    let endpoints = [
        ("advice-fast", fast.address()),
        ("advice-slow", slow.address()),
        ("bookings", bookings.address()),
    ];
    runtime().block_on(async {
        apply_configuration(&instances, &endpoints).await?;
        send_requests(&instances, &bookings).await
    })?;
    println!("log: {} appends; bookings executed: {}", log.appends(), bookings.calls());
    for instance in instances {
        let cut = instance.embedded.stop();
        println!("{} stopped, {cut} requests cut off", instance.name);
    }
    Ok(())
}

/// Applies the configuration file through the operator API of the first instance, and waits until
/// the second instance has it too.
async fn apply_configuration(
    instances: &[Instance],
    endpoints: &[(&str, SocketAddr)],
) -> Result<()> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/quickstart.toml");
    let manifest = Manifest::load(&file)?;
    let client = OperatorClient::new(instances[0].embedded.operator_address(), OPERATOR_TOKEN)?;
    while client.get("/readyz").await.is_err_and(|e| e.to_string().contains("not ready")) {
        sleep(Duration::from_millis(10)).await;
    }
    let mut table = Table::new(&["RESOURCE", "VERSION", "STATE"]);
    for (name, spec) in manifest.resources() {
        let address = endpoints.iter().find(|(n, _)| *n == name.name).map(|(_, a)| *a);
        let spec = match (spec, address) {
            (Spec::Endpoint(e), Some(address)) => Spec::Endpoint(Endpoint { address, ..e.clone() }),
            (spec, _) => spec.clone(),
        };
        let answer = client.put(name, &spec, None).await?;
        let state = answer["state"].as_str().unwrap_or("?").to_owned();
        table.push_row([name.to_string(), answer["version"].to_string(), state]);
    }
    println!("configuration applied through {}:\n{table}", instances[0].name);
    // The second instance reads the same records from the log.
    let second_client =
        OperatorClient::new(instances[1].embedded.operator_address(), OPERATOR_TOKEN)?;
    while second_client.get("/v1/endpoints/bookings").await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Successful and total requests by tier.
#[derive(Default)]
struct Goodput {
    by_tier: BTreeMap<&'static str, (usize, usize)>,
}

impl Goodput {
    fn record(&mut self, tier: &'static str, received: &Received) {
        let (successes, total) = self.by_tier.entry(tier).or_default();
        *total += 1;
        *successes += usize::from(received.status.is_success());
    }

    fn print(&self) {
        let mut table = Table::new(&["TIER", "ANSWERED IN TIME", "OF"]);
        for (tier, (successes, total)) in &self.by_tier {
            table.push_row([(*tier).to_owned(), successes.to_string(), total.to_string()]);
        }
        println!("goodput by tier:\n{table}");
    }
}

async fn send_requests(instances: &[Instance], bookings: &Service) -> Result<()> {
    let [a, b] = [0, 1].map(|n| Caller::new(instances[n].embedded.caller_address(), API_KEY));
    let mut goodput = Goodput::default();

    let assessment = json!({"model": "assessment", "max_tokens": 400,
        "messages": [{"role": "user", "content": "Seam damage on an awning. ".repeat(400)}]});
    let assessment_answer = a.post("/v1/chat/completions", &assessment);
    let quote_request = |n: usize| {
        json!({"model": "quote", "max_tokens": 20,
            "messages": [{"role": "user", "content": format!("Quote for awning {n}")}]})
    };
    let quote_answers = join_all((0..QUOTE_COUNT).map(|n| {
        let caller = if n % 2 == 0 { a.clone() } else { b.clone() };
        let body = quote_request(n);
        async move { caller.post("/v1/chat/completions", &body).await }
    }));
    let (assessment_answer, quote_answers) = futures::join!(assessment_answer, quote_answers);
    let assessment_answer = assessment_answer?;
    println!(
        "assessment: {} after {:?}, {}",
        assessment_answer.status,
        assessment_answer.whole,
        assessment_answer.verdict()
    );
    goodput.record("patient", &assessment_answer);
    let mut slowest = Duration::ZERO;
    for (n, result) in quote_answers.into_iter().enumerate() {
        let answer = result?;
        let text = answer.json()["choices"][0]["message"]["content"].to_string();
        assert!(text.contains(&format!("awning {n}")), "answer of another request: {text}");
        slowest = slowest.max(answer.whole);
        goodput.record("urgent", &answer);
    }
    println!("quotes: {QUOTE_COUNT} answered, each its own; the slowest took {slowest:?}");

    let mut streamed = quote_request(QUOTE_COUNT);
    streamed["stream"] = json!(true);
    let streamed = b.post("/v1/chat/completions", &streamed).await?;
    let events = String::from_utf8_lossy(&streamed.body).matches("data:").count();
    println!(
        "streamed quote: {events} events, the first after {:?}, the last after {:?}",
        streamed.first_byte, streamed.whole
    );
    goodput.record("urgent", &streamed);
    book_and_repeat(&a, &b, &mut goodput).await?;
    println!("executions by key: {:?}\n", bookings.executions().values().collect::<Vec<_>>());
    goodput.print();
    Ok(())
}

/// Sends a booking, then repeats it with the same idempotency key through the same instance and
/// through another one.
async fn book_and_repeat(a: &Caller, b: &Caller, goodput: &mut Goodput) -> Result<()> {
    let key = Uuid::now_v7().to_string();
    let order = json!({"stall": 12, "day": "Thursday"});
    for (name, caller) in
        [("first", a), ("repeat, same instance", a), ("repeat, other instance", b)]
    {
        let caller = caller.clone().with("idempotency-key", &key);
        let booked = caller.post("/v1/kinds/booking/orders", &order).await?;
        let replayed = booked.header("baobabvane-replayed");
        println!(
            "booking ({name}): {} number {}, verdict {}, replayed {:?}, request {}",
            booked.status,
            booked.json()["number"],
            booked.verdict(),
            replayed,
            booked.header("baobabvane-request-id"),
        );
        goodput.record("normal", &booked);
    }
    Ok(())
}
