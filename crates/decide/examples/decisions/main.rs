//! Benchmark of the decision core: simulates scenarios with fake engines in virtual time and
//! compares scheduling policies.
//!
//! `cargo run --release --example decisions -- --help`

mod engine;
mod report;
mod scenario;
mod sim;

use baobabvane_decide::{Placement, Policy};
use clap::{Arg, ArgAction, Command, value_parser};

use crate::{
    report::{Figures, summarise},
    scenario::{SCENARIO_NAMES, Scenario},
};

/// Returns the default policy, the baselines, and variants of the default that each lack one
/// mechanism.
fn policies() -> Vec<(&'static str, Policy)> {
    let d = Policy::default;
    vec![
        ("default", d()),
        ("two-choices", Policy::baseline(Placement::TwoChoices)),
        ("least-outstanding", Policy::baseline(Placement::LeastOutstanding)),
        ("round-robin", Policy::baseline(Placement::RoundRobin)),
        ("owner", Policy::baseline(Placement::Owner)),
        ("no-fair-share", Policy { fair_share: false, ..d() }),
        ("no-floors", Policy { floors: false, ..d() }),
        ("no-room-for-short", Policy { room_for_short: false, ..d() }),
        ("no-adaptive-limit", Policy { adaptive_limit: false, ..d() }),
        ("no-breaker", Policy { breaker: false, ..d() }),
        ("no-deadline-aware", Policy { deadline_aware: false, ..d() }),
        ("no-spare-hot", Policy { spare_hot_blocks: false, ..d() }),
        ("no-prefix", Policy { prefix_aware: false, ..d() }),
        ("no-drop-late", Policy { drop_late: false, ..d() }),
        ("no-shedding", Policy { shedding: false, ..d() }),
    ]
}

fn create_command() -> Command {
    let repeatable_arg = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").action(ArgAction::Append).help(help)
    };
    Command::new("decisions")
        .about("Measures the decision core against fake engines in virtual time")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("First seed"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Number of consecutive seeds to run"),
        )
        .arg(repeatable_arg("scenario", "Only this scenario; may be given again"))
        .arg(repeatable_arg(
            "policy",
            "Only this policy; may be given again; \"all\" takes every one",
        ))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints one JSON object per run"),
        )
        .arg(Arg::new("list").long("list").action(ArgAction::SetTrue).help("Lists the names"))
}

fn main() {
    let args = create_command().get_matches();
    let policies = policies();
    if args.get_flag("list") {
        println!("scenarios: {}", SCENARIO_NAMES.join(" "));
        println!("policies: {}", policies.iter().map(|p| p.0).collect::<Vec<_>>().join(" "));
        return;
    }
    let values_of = |name: &str| -> Vec<&String> {
        args.get_many::<String>(name).into_iter().flatten().collect()
    };
    let (scenarios, requested) = (values_of("scenario"), values_of("policy"));
    let default_policies = ["default", "two-choices", "least-outstanding", "round-robin", "owner"];
    let is_requested = |name: &str| match requested.as_slice() {
        [] => default_policies.contains(&name),
        requested => requested.iter().any(|w| *w == name || *w == "all"),
    };
    let first = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let seeds = args.get_one::<u64>("seeds").copied().unwrap_or(1);
    for name in
        SCENARIO_NAMES.iter().filter(|n| scenarios.is_empty() || scenarios.iter().any(|s| s == *n))
    {
        for (policy_name, policy) in policies.iter().filter(|(name, _)| is_requested(name)) {
            for seed in first..first + seeds {
                let figures = measure(name, policy_name, policy, seed);
                if args.get_flag("json") {
                    println!("{}", serde_json::to_string(&figures).expect("keys are strings"));
                } else {
                    print_figures(&figures);
                }
            }
        }
    }
}

/// Runs a scenario; one with a flood also runs without it, for comparison.
fn measure(scenario_name: &str, policy_name: &str, policy: &Policy, seed: u64) -> Figures {
    let scenario = Scenario::generate(scenario_name, seed).expect("the name is from the list");
    let result = sim::run(&scenario, policy, seed);
    if !scenario.has_flood() {
        return summarise(&scenario, policy_name, seed, &result, None);
    }
    let scenario_without_flood = scenario.without_flood();
    let without_flood = sim::run(&scenario_without_flood, policy, seed);
    summarise(
        &scenario,
        policy_name,
        seed,
        &result,
        Some((&scenario_without_flood, &without_flood)),
    )
}

fn print_figures(f: &Figures) {
    println!("{} policy={} seed={}", f.scenario, f.policy, f.seed);
    println!(
        "  goodput by tier {:?}, small organisations {}, large {}",
        f.tier_goodput, f.small_org_goodput, f.large_org_goodput
    );
    println!(
        "  kept by others {} {:?}, flood's goodput {}, spilled {}",
        f.kept_by_others, f.kept_by_tier, f.flood_goodput, f.spilled
    );
    println!(
        "  wasted prefill {}, inversions {}, late above waiting {}",
        f.wasted_prefill, f.tier_inversions, f.late_above_waiting
    );
    for (kind, p95) in &f.ttft_p95_ms {
        println!(
            "  first token {kind}: p50 {} ms, p95 {p95} ms, p99 {} ms",
            f.ttft_p50_ms[kind], f.ttft_p99_ms[kind]
        );
    }
}
