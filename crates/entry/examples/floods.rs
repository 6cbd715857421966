//! Measures fair sharing and tier priority of two instances under floods, on real sockets with
//! stand-in engines.
//!
//! `cargo run --release --example floods`
//!
//! Prints the goodput of the other organisations while one organisation floods the instances
//! with requests of the least urgent tier, and then with requests of the most urgent tier.

use std::{net::SocketAddr, path::Path, time::Duration};

use baobabvane::{Embedded, Operator, Peer, Settings};
use baobabvane_domain::{Endpoint, Spec};
use baobabvane_standin::{Caller, Engine, EngineSpeed, LogService, free_addresses};
use baobabvanectl::{Manifest, OperatorClient, Table};
use futures::future::join_all;
use monoio::time::{Instant, sleep, sleep_until};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;

const OPERATOR_TOKEN: &str = "floods-token";
const RUN_DURATION: Duration = Duration::from_secs(12);
/// Combined rate of quotes from the organisations that do not flood.
const QUOTES_PER_S: f64 = 20.0;
/// Combined rate of assessments from the organisations that do not flood.
const ASSESSMENTS_PER_S: f64 = 0.5;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Requests of one organisation for one model, with Poisson arrivals.
#[derive(Clone, Copy)]
struct Workload {
    api_key: &'static str,
    model: &'static str,
    max_tokens: u32,
    per_second: f64,
    seed: u64,
}

/// The number of requests that were answered completely, and of all that were sent.
#[derive(Clone, Copy, Default)]
struct Goodput {
    completed: usize,
    total: usize,
}

impl Goodput {
    fn share(self) -> f64 {
        self.completed as f64 / self.total.max(1) as f64
    }
}

struct Fleet {
    instances: Vec<Embedded>,
    _engines: Vec<Engine>,
    _log: LogService,
}

impl Fleet {
    async fn start() -> Self {
        let log = LogService::spawn();
        let engines: Vec<Engine> = [2_000, 4_000, 8_000]
            .map(|decode_us| Engine::spawn(EngineSpeed { prefill_us: 20, decode_us }))
            .into();
        let addresses = free_addresses(2);
        let peer = |n: usize| Peer {
            name: format!("entry-{n}"),
            zone: "zone-a".to_owned(),
            address: addresses[n],
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let instance = |n: usize| {
            let settings = Settings {
                name: format!("entry-{n}"),
                zone: "zone-a".to_owned(),
                listen: any_port,
                operator_listen: any_port,
                log: Some(log.address()),
                peer_listen: Some(addresses[n]),
                peer_secret: "floods-secret".to_owned(),
                peers: vec![peer(1 - n)],
                operators: vec![Operator::new("ann", OPERATOR_TOKEN)],
                ..Settings::default()
            };
            Embedded::spawn(settings).expect("port 0 selects a free port")
        };
        let instances: Vec<Embedded> = (0..2).map(instance).collect();
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/floods.toml");
        let manifest = Manifest::load(&file).expect("the file is valid");
        let client =
            OperatorClient::new(instances[0].operator_address(), OPERATOR_TOKEN).expect("ASCII");
        while client.get("/v1/tiers").await.is_err() {
            sleep(POLL_INTERVAL).await;
        }
        for (name, spec) in manifest.resources() {
            let spec = match (spec, name.name.strip_prefix("advice-")) {
                (Spec::Endpoint(e), Some(n)) => {
                    let n: usize = n.parse().expect("endpoints are numbered");
                    Spec::Endpoint(Endpoint { address: engines[n].address(), ..e.clone() })
                }
                (spec, _) => spec.clone(),
            };
            client.put(name, &spec, None).await.expect("the resource is valid");
        }
        for instance in &instances {
            let client =
                OperatorClient::new(instance.operator_address(), OPERATOR_TOKEN).expect("ASCII");
            while client.get("/v1/endpoints/advice-2").await.is_err() {
                sleep(POLL_INTERVAL).await;
            }
        }
        Self { instances, _engines: engines, _log: log }
    }

    async fn run_workloads(&self, workloads: &[Workload]) -> Vec<Goodput> {
        join_all(workloads.iter().map(|workload| self.run_workload(*workload))).await
    }

    async fn run_workload(&self, workload: Workload) -> Goodput {
        let mut rng = SmallRng::seed_from_u64(workload.seed);
        let start = Instant::now();
        let mut send_at = start;
        let mut calls = Vec::new();
        for n in 0.. {
            let gap: f64 = -rng.random_range(1e-9_f64..1.0).ln() / workload.per_second;
            send_at += Duration::from_secs_f64(gap);
            if send_at > start + RUN_DURATION {
                break;
            }
            let caller = Caller::new(self.instances[n % 2].caller_address(), workload.api_key);
            let body = json!({"model": workload.model, "stream": true,
                "max_tokens": workload.max_tokens,
                "messages": [{"role": "user", "content": format!("{} {n}", workload.model)}]});
            calls.push(async move {
                sleep_until(send_at).await;
                let answer = caller.post("/v1/chat/completions", &body).await;
                answer.is_ok_and(|a| a.status == 200 && a.body.ends_with(b"data: [DONE]\n\n"))
            });
        }
        let results = join_all(calls).await;
        Goodput {
            completed: results.iter().filter(|completed| **completed).count(),
            total: results.len(),
        }
    }
}

/// Returns the traffic of the organisations that do not flood.
fn baseline_workloads() -> Vec<Workload> {
    let quote = |api_key, share: f64, seed| Workload {
        api_key,
        model: "quote",
        max_tokens: 20,
        per_second: QUOTES_PER_S * share,
        seed,
    };
    let assessments = Workload {
        api_key: "large-key",
        model: "assessment",
        max_tokens: 400,
        per_second: ASSESSMENTS_PER_S,
        seed: 3,
    };
    vec![quote("large-key", 0.85, 1), quote("small-key", 0.15, 2), assessments]
}

fn main() {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime needs only a file descriptor");
    runtime.block_on(async {
        let fleet = Fleet::start().await;
        let low_tier_flood = Workload {
            api_key: "flood-key",
            model: "assessment",
            max_tokens: 400,
            per_second: 60.0,
            seed: 4,
        };
        let high_tier_flood = Workload {
            api_key: "flood-key",
            model: "quote",
            max_tokens: 20,
            per_second: 900.0,
            seed: 5,
        };
        let mut table =
            Table::new(&["RUN", "LARGE'S QUOTES", "SMALL'S QUOTES", "ASSESSMENTS", "FLOOD"]);
        for (name, flood) in [
            ("calm", None),
            ("flood-low", Some(low_tier_flood)),
            ("greedy-org", Some(high_tier_flood)),
        ] {
            let workloads: Vec<Workload> = baseline_workloads().into_iter().chain(flood).collect();
            let goodput = fleet.run_workloads(&workloads).await;
            let share =
                |n: usize| goodput.get(n).map_or("-".to_owned(), |g| format!("{:.3}", g.share()));
            table.push_row([name.to_owned(), share(0), share(1), share(2), share(3)]);
        }
        println!("{table}");
    });
}
