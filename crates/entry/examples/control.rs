//! Measures the control-plane overhead of a fleet at several fleet sizes.
//!
//! `cargo build --release && cargo run --release --example control`
//!
//! Starts fleets of 8, 25, 50 and 100 processes in 4 zones on this machine, without caller
//! traffic, and waits until membership has converged. Then it measures CPU time, memory and peer
//! traffic over a fixed window, and how long a configuration change takes to reach every instance.

use std::{net::SocketAddr, time::Duration};

use baobabvane_domain::{ResourceName, ResourceType, Spec, Tier};
use baobabvane_standin::{LogService, Process, free_addresses};
use baobabvanectl::{OperatorClient, Table};
use clap::{Arg, value_parser};
use futures::future::join_all;
use monoio::time::{Instant, sleep};
use serde_json::Value;

const OPERATOR_TOKEN: &str = "control-token";
const ZONE_COUNT: usize = 4;
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(15);
const CHANGE_COUNT: usize = 20;

struct Fleet {
    processes: Vec<Process>,
    clients: Vec<OperatorClient>,
}

impl Fleet {
    fn spawn(count: usize, log: SocketAddr) -> Self {
        let addresses = free_addresses(count);
        let zone = |n: usize| format!("zone-{}", n % ZONE_COUNT);
        let peer = |n: usize| format!("entry-{n}={}={}", zone(n), addresses[n]);
        let all_peers: Vec<String> = (0..count).map(peer).collect();
        let spawn = |n: usize| {
            let mut other_peers = all_peers.clone();
            other_peers.remove(n);
            let flags = [
                ("--name", format!("entry-{n}")),
                ("--zone", zone(n)),
                ("--listen", "127.0.0.1:0".to_owned()),
                ("--operator-listen", "127.0.0.1:0".to_owned()),
                ("--peer-listen", addresses[n].to_string()),
                ("--peer-secret", "control-secret".to_owned()),
                ("--peers", other_peers.join(",")),
                ("--log", log.to_string()),
                ("--operator-tokens", format!("ann={OPERATOR_TOKEN}")),
            ];
            let args: Vec<String> =
                flags.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
            Process::spawn(&Process::daemon_binary(), &args)
        };
        let processes: Vec<Process> = (0..count).map(spawn).collect();
        let client =
            |p: &Process| OperatorClient::new(p.operators(), OPERATOR_TOKEN).expect("ASCII");
        let clients = processes.iter().map(client).collect();
        Self { processes, clients }
    }

    /// Waits until each instance lists all instances of its zone as live members.
    async fn wait_until_converged(&self) {
        let count = self.processes.len();
        for (n, client) in self.clients.iter().enumerate() {
            let in_zone = (0..count).filter(|m| m % ZONE_COUNT == n % ZONE_COUNT).count();
            loop {
                let status = client.get("/v1/status").await.unwrap_or_default();
                let live = status["members"]["live"].as_array().cloned().unwrap_or_default();
                let zone = &status["zone"];
                if live.iter().filter(|m| m["zone"] == *zone).count() == in_zone {
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Returns the bytes that all instances have sent to and received from peers so far.
    async fn total_peer_bytes(&self) -> u64 {
        let statuses = self.clients.iter().map(|c| async { c.get("/v1/status").await });
        let bytes = |status: Value| {
            let members = &status["members"];
            members["bytes_sent"].as_u64().unwrap_or(0)
                + members["bytes_received"].as_u64().unwrap_or(0)
        };
        join_all(statuses).await.into_iter().flatten().map(bytes).sum()
    }

    fn total_cpu_time(&self) -> Duration {
        self.processes.iter().map(Process::cpu).sum()
    }

    fn max_memory_kib(&self) -> u64 {
        self.processes.iter().map(Process::memory_kib).max().unwrap_or(0)
    }

    /// Applies a configuration change. Returns the time until the operator API answered and the
    /// time until every instance served the new version.
    async fn measure_change(&self, n: usize) -> (Duration, Duration) {
        let name = ResourceName { type_: ResourceType::Tier, name: "probe".to_owned() };
        let floor_percent = (n % 50) as u32;
        let spec = Spec::Tier(Tier { rank: 0, floor_percent });
        let start = Instant::now();
        let client = &self.clients[n % self.clients.len()];
        let answer = client.put(&name, &spec, None).await.expect("the change is valid");
        let answer_time = start.elapsed();
        let version = answer["version"].clone();
        for client in &self.clients {
            loop {
                let read = client.get("/v1/tiers/probe").await.unwrap_or_default();
                if read["version"].as_u64() >= version.as_u64() {
                    break;
                }
                sleep(Duration::from_millis(2)).await;
            }
        }
        (answer_time, start.elapsed())
    }
}

fn quantile_ms(times: &mut [Duration], q: f64) -> u128 {
    times.sort();
    times[((times.len() - 1) as f64 * q) as usize].as_millis()
}

async fn measure_fleet(count: usize, table: &mut Table) {
    let log = LogService::spawn();
    let fleet = Fleet::spawn(count, log.address());
    let start = Instant::now();
    fleet.wait_until_converged().await;
    let convergence_time = start.elapsed();
    let (cpu, bytes) = (fleet.total_cpu_time(), fleet.total_peer_bytes().await);
    let window_start = Instant::now();
    sleep(MEASUREMENT_WINDOW).await;
    let (cpu, bytes) = (fleet.total_cpu_time() - cpu, fleet.total_peer_bytes().await - bytes);
    let seconds = window_start.elapsed().as_secs_f64();
    let mut answer_times = Vec::new();
    let mut in_force_times = Vec::new();
    for n in 0..CHANGE_COUNT {
        let (answer_time, in_force_time) = fleet.measure_change(n).await;
        answer_times.push(answer_time);
        in_force_times.push(in_force_time);
    }
    let instance_seconds = count as f64 * seconds;
    table.push_row([
        count.to_string(),
        format!("{:.1}", convergence_time.as_secs_f64()),
        format!("{:.3}", cpu.as_secs_f64() / instance_seconds * 100.0),
        fleet.max_memory_kib().to_string(),
        format!("{:.0}", bytes as f64 / instance_seconds),
        quantile_ms(&mut answer_times, 0.5).to_string(),
        quantile_ms(&mut answer_times, 0.99).to_string(),
        quantile_ms(&mut in_force_times, 0.5).to_string(),
        quantile_ms(&mut in_force_times, 0.99).to_string(),
    ]);
}

fn main() {
    let args = clap::Command::new("control")
        .about("Measures what instances spend on control")
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_delimiter(',')
                .value_parser(value_parser!(usize))
                .default_value("8,25,50,100"),
        )
        .get_matches();
    let counts: Vec<usize> =
        args.get_many::<usize>("instances").expect("the argument has a default").copied().collect();
    let mut table = Table::new(&[
        "INSTANCES",
        "SETTLED S",
        "CPU % EACH",
        "LARGEST KIB",
        "BYTES/S EACH",
        "ANSWERED MS P50",
        "P99",
        "IN FORCE MS P50",
        "P99",
    ]);
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime needs only a file descriptor");
    runtime.block_on(async {
        for count in counts {
            measure_fleet(count, &mut table).await;
        }
    });
    print!("{table}");
}
