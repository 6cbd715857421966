//! Generates scenarios from a seed: the engines, the arriving requests and the faults.

use baobabvane_decide::{KindId, Millis, OrgId, PrefixBlocks, Rank, TierPolicy};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::engine::{EngineSpec, StepTiming};

/// Tokens in one block of a prompt prefix.
pub(crate) const BLOCK_TOKENS: u32 = 256;

/// A request and the time when it arrives.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Millis,
    pub(crate) pool: usize,
    pub(crate) kind: &'static KindSpec,
    pub(crate) org: OrgId,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) prefix: PrefixBlocks,
    /// Whether the request belongs to the scenario's flood, not to its regular load.
    pub(crate) is_flood: bool,
}

/// A kind of request; token counts are means.
#[derive(Debug)]
pub(crate) struct KindSpec {
    pub(crate) id: KindId,
    pub(crate) name: &'static str,
    pub(crate) rank: Rank,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) deadline_ms: Millis,
}

macro_rules! kind {
    ($const:ident, $id:literal, $name:literal, $rank:literal, $prompt:literal, $answer:literal, $deadline:literal) => {
        static $const: KindSpec = KindSpec {
            id: KindId($id),
            name: $name,
            rank: $rank,
            prompt_tokens: $prompt,
            answer_tokens: $answer,
            deadline_ms: $deadline,
        };
    };
}

kind!(QUOTE, 0, "quote", 0, 200, 30, 3_000.0);
kind!(STOCK, 1, "stock-check", 0, 100, 20, 2_500.0);
kind!(BOOKING_TALK, 2, "booking-talk", 1, 600, 80, 10_000.0);
kind!(ASSESSMENT, 3, "assessment", 2, 6_000, 1_500, 180_000.0);
kind!(BALANCE, 4, "balance", 0, 150, 25, 3_000.0);
kind!(POSTING_TALK, 5, "posting-talk", 1, 400, 60, 8_000.0);
kind!(REVIEW, 6, "season-review", 2, 12_500, 400, 120_000.0);
kind!(BATCH, 7, "batch", 3, 3_000, 900, 300_000.0);

/// A fault of an engine, or its end; engines are given by index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The engine runs slower by this factor.
    SlowDown(usize, f64),
    /// The engine loses its requests and its cache, and refuses new requests.
    Crash(usize),
    /// The engine accepts requests again, with an empty cache.
    Recover(usize),
}

/// Input of one simulation run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// The engines, each with the index of its pool.
    pub(crate) engines: Vec<(usize, EngineSpec)>,
    pub(crate) pool_count: usize,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) faults: Vec<(Millis, Fault)>,
    /// Delay until an engine's load report reaches the core.
    pub(crate) report_lag_ms: Millis,
    pub(crate) tiers: Vec<TierPolicy>,
    /// Organisations with ids below this number are large.
    pub(crate) large_org_count: u64,
    /// Time when arrivals and load reports end; requests in flight still finish.
    pub(crate) end_ms: Millis,
}

/// Names of all scenarios, in the order in which they run.
pub(crate) const SCENARIO_NAMES: [&str; 13] = [
    "menders-day",
    "association-day",
    "flood-low",
    "flood-high",
    "greedy-org",
    "slow-engine",
    "stale-reports",
    "burst",
    "endpoint-loss",
    "season-reviews",
    "opening-hour",
    "neighbour",
    "design-size",
];

const SCENARIO_DURATION_MS: Millis = 60_000.0;
const FLOOD_ORG: OrgId = OrgId(1_000_000);
/// `EngineSpec::slowness` of four generations of engines, which are assigned in turn.
const SLOWNESS_BY_GENERATION: [f64; 4] = [0.7, 1.0, 1.6, 2.4];

/// A Poisson process of arrivals of one kind.
struct ArrivalProcess {
    kind: &'static KindSpec,
    per_second: f64,
    from: Millis,
    to: Millis,
}

struct ArrivalGenerator {
    rng: SmallRng,
    arrivals: Vec<Arrival>,
    next_private_block: u64,
}

impl ArrivalGenerator {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            arrivals: Vec::new(),
            next_private_block: 1 << 40,
        }
    }

    fn random_unit(&mut self) -> f64 {
        self.rng.random_range(1e-9..1.0)
    }

    /// Adds the arrivals of a process; `draw_org` maps a uniform random number from 0 to 1 to
    /// the organisation that sends the request.
    fn add_process(
        &mut self,
        process: &ArrivalProcess,
        draw_org: impl Fn(f64) -> OrgId,
        is_flood: bool,
    ) {
        let mut at = process.from;
        loop {
            at += -self.random_unit().ln() / process.per_second * 1000.0;
            if at >= process.to {
                return;
            }
            let org = draw_org(self.random_unit());
            self.add_arrival(at, 0, process.kind, org, is_flood);
        }
    }

    /// Adds a request with 0.5 to 1.5 times its kind's mean token counts and a prefix that no
    /// other request shares.
    fn add_arrival(
        &mut self,
        at: Millis,
        pool: usize,
        kind: &'static KindSpec,
        org: OrgId,
        is_flood: bool,
    ) {
        let vary = |unit: f64, tokens: u32| ((0.5 + unit) * f64::from(tokens)).max(1.0) as u32;
        let (prompt_unit, answer_unit) = (self.random_unit(), self.random_unit());
        let prompt_tokens = vary(prompt_unit, kind.prompt_tokens);
        let answer_tokens = vary(answer_unit, kind.answer_tokens);
        let blocks = prompt_tokens / BLOCK_TOKENS;
        let prefix = (0..blocks).map(|_| self.new_private_block()).collect();
        self.arrivals.push(Arrival {
            at,
            pool,
            kind,
            org,
            prompt_tokens,
            answer_tokens,
            prefix,
            is_flood,
        });
    }

    fn new_private_block(&mut self) -> u64 {
        self.next_private_block += 1;
        self.next_private_block
    }

    /// Adds review requests. Their prompts start with one of `prefix_count` shared prefixes, some
    /// of which are much more frequent than others, and end with a question of their own.
    fn add_reviews(&mut self, per_second: f64, prefix_count: u64) {
        let shared_blocks = u64::from(REVIEW.prompt_tokens / BLOCK_TOKENS);
        let mut at = 0.0;
        loop {
            at += -self.random_unit().ln() / per_second * 1000.0;
            if at >= SCENARIO_DURATION_MS {
                return;
            }
            let prefix_index = ((self.random_unit().powf(2.0)) * prefix_count as f64) as u64;
            let org = OrgId(prefix_index % 5);
            self.add_arrival(at, 0, &REVIEW, org, false);
            let last = self.arrivals.last_mut().expect("one was just pushed");
            last.prefix = (0..shared_blocks).map(|b| prefix_index * 1_000 + b).collect();
            last.prompt_tokens = shared_blocks as u32 * BLOCK_TOKENS + 100;
        }
    }
}

/// Returns one of two large organisations, which send 84 % of requests, or of three small ones.
fn draw_one_of_five_orgs(unit: f64) -> OrgId {
    OrgId(match unit {
        u if u < 0.42 => 0,
        u if u < 0.84 => 1,
        u if u < 0.90 => 2,
        u if u < 0.95 => 3,
        _ => 4,
    })
}

fn engines(count: usize, max_batch: usize, cache_blocks: usize) -> Vec<(usize, EngineSpec)> {
    let spec = |n: usize| EngineSpec {
        slowness: SLOWNESS_BY_GENERATION[n % 4],
        max_batch,
        cache_blocks,
        timing: StepTiming::default(),
    };
    (0..count).map(|n| (0, spec(n))).collect()
}

fn tiers_with_floors(shares: &[f64]) -> Vec<TierPolicy> {
    shares.iter().map(|floor| TierPolicy { floor: *floor }).collect()
}

fn new_scenario(name: &'static str, engines: Vec<(usize, EngineSpec)>) -> Scenario {
    Scenario {
        name,
        engines,
        pool_count: 1,
        arrivals: Vec::new(),
        faults: Vec::new(),
        report_lag_ms: 2_000.0,
        tiers: tiers_with_floors(&[0.0, 0.15, 0.35]),
        large_org_count: 2,
        end_ms: SCENARIO_DURATION_MS,
    }
}

fn add_regular_load(generator: &mut ArrivalGenerator, load_factor: f64) {
    for (kind, per_second) in
        [(&QUOTE, 60.0), (&STOCK, 30.0), (&BOOKING_TALK, 10.0), (&ASSESSMENT, 1.2)]
    {
        let per_second = per_second * load_factor;
        generator.add_process(
            &ArrivalProcess { kind, per_second, from: 0.0, to: SCENARIO_DURATION_MS },
            draw_one_of_five_orgs,
            false,
        );
    }
}

/// 20 engines under the regular load of two large and three small organisations. Most other
/// scenarios are variations of it.
fn menders_day(name: &'static str, generator: &mut ArrivalGenerator) -> Scenario {
    add_regular_load(generator, 1.0);
    new_scenario(name, engines(20, 32, 2_000))
}

fn add_flood(
    generator: &mut ArrivalGenerator,
    kind: &'static KindSpec,
    per_second: f64,
    from: Millis,
    to: Millis,
) {
    generator.add_process(&ArrivalProcess { kind, per_second, from, to }, |_| FLOOD_ORG, true);
}

/// Rates at which requests of one kind alone saturate the engines of `menders_day`.
const QUOTE_CAPACITY_PER_S: f64 = 250.0;
const ASSESSMENT_CAPACITY_PER_S: f64 = 6.0;

impl Scenario {
    /// Generates the scenario with this name; returns `None` if the name is unknown.
    pub(crate) fn generate(name: &str, seed: u64) -> Option<Self> {
        let name = SCENARIO_NAMES.into_iter().find(|n| *n == name)?;
        let mut generator = ArrivalGenerator::new(seed);
        let g = &mut generator;
        let mut scenario = match name {
            "menders-day" => menders_day(name, g),
            "association-day" => association_day(name, g),
            "flood-low" => {
                add_flood(g, &ASSESSMENT, ASSESSMENT_CAPACITY_PER_S * 10.0, 10_000.0, 40_000.0);
                menders_day(name, g)
            }
            "flood-high" => {
                add_flood(g, &QUOTE, QUOTE_CAPACITY_PER_S * 10.0, 10_000.0, 40_000.0);
                menders_day(name, g)
            }
            "greedy-org" => {
                // 50 times the quotes of a large organisation, which sends 42 % of 60 per second.
                add_flood(g, &QUOTE, 60.0 * 0.42 * 50.0, 10_000.0, 50_000.0);
                menders_day(name, g)
            }
            "slow-engine" => {
                let mut scenario = menders_day(name, g);
                scenario.faults.push((15_000.0, Fault::SlowDown(0, 4.0)));
                scenario
            }
            "stale-reports" => Self { report_lag_ms: 10_000.0, ..menders_day(name, g) },
            "burst" => {
                for at in [15_000.0, 30_000.0, 45_000.0] {
                    let per_second = QUOTE_CAPACITY_PER_S * 2.0;
                    g.add_process(
                        &ArrivalProcess { kind: &QUOTE, per_second, from: at, to: at + 1_500.0 },
                        draw_one_of_five_orgs,
                        false,
                    );
                }
                menders_day(name, g)
            }
            "endpoint-loss" => {
                let mut scenario = menders_day(name, g);
                for engine in [1, 6, 11] {
                    scenario.faults.push((20_000.0, Fault::Crash(engine)));
                    scenario.faults.push((40_000.0, Fault::Recover(engine)));
                }
                scenario
            }
            "season-reviews" => season_reviews(name, g),
            "opening-hour" => {
                add_flood(g, &ASSESSMENT, ASSESSMENT_CAPACITY_PER_S * 10.0, 5_000.0, 30_000.0);
                add_flood(g, &QUOTE, QUOTE_CAPACITY_PER_S * 10.0, 20_000.0, 45_000.0);
                let mut scenario = menders_day(name, g);
                scenario.faults.push((10_000.0, Fault::SlowDown(1, 4.0)));
                scenario
            }
            "neighbour" => neighbour(name, g),
            _ => design_size(name, g),
        };
        scenario.arrivals = generator.arrivals;
        scenario.arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
        Some(scenario)
    }

    /// Returns this scenario without the requests of its flood.
    pub(crate) fn without_flood(&self) -> Self {
        let mut scenario = self.clone();
        scenario.arrivals.retain(|a| !a.is_flood);
        scenario
    }

    pub(crate) fn has_flood(&self) -> bool {
        self.arrivals.iter().any(|a| a.is_flood)
    }
}

/// 12 engines under a regular load that includes reviews with shared prefixes.
fn association_day(name: &'static str, generator: &mut ArrivalGenerator) -> Scenario {
    for (kind, per_second) in [(&BALANCE, 45.0), (&POSTING_TALK, 8.0)] {
        generator.add_process(
            &ArrivalProcess { kind, per_second, from: 0.0, to: SCENARIO_DURATION_MS },
            draw_one_of_five_orgs,
            false,
        );
    }
    generator.add_reviews(1.0, 120);
    new_scenario(name, engines(12, 32, 500))
}

/// Reviews whose shared prefixes are three times as large as all caches together.
fn season_reviews(name: &'static str, generator: &mut ArrivalGenerator) -> Scenario {
    generator.add_process(
        &ArrivalProcess { kind: &BALANCE, per_second: 20.0, from: 0.0, to: SCENARIO_DURATION_MS },
        draw_one_of_five_orgs,
        false,
    );
    generator.add_reviews(3.0, 96);
    // All caches together hold 32 prefixes of 48 blocks each.
    new_scenario(name, engines(12, 32, 32 * 48 / 12))
}

/// An overloaded pool that may spill requests to the same pool in a neighbour zone.
fn neighbour(name: &'static str, generator: &mut ArrivalGenerator) -> Scenario {
    add_regular_load(generator, 2.2);
    new_scenario(name, engines(20, 32, 2_000))
}

/// One of seven zones at the size that the system is designed for: 86 engines, 16 pools (one
/// per model), 4 tiers and 12,000 organisations.
fn design_size(name: &'static str, generator: &mut ArrivalGenerator) -> Scenario {
    const POOL_COUNT: usize = 16;
    const ORG_COUNT: f64 = 12_000.0;
    let kinds = [(&QUOTE, 50.0), (&BOOKING_TALK, 40.0), (&ASSESSMENT, 16.0), (&BATCH, 15.0)];
    for (kind, per_second) in kinds {
        let mut at = 0.0;
        loop {
            at += -generator.random_unit().ln() / per_second * 1000.0;
            if at >= SCENARIO_DURATION_MS {
                break;
            }
            // The cube makes a few organisations send much more than the others.
            let org = OrgId((generator.random_unit().powi(3) * ORG_COUNT) as u64);
            let pool = (generator.random_unit() * POOL_COUNT as f64) as usize;
            generator.add_arrival(at, pool, kind, org, false);
        }
    }
    let mut scenario = new_scenario(name, engines(86, 48, 2_000));
    for (n, (pool, _)) in scenario.engines.iter_mut().enumerate() {
        *pool = n % POOL_COUNT;
    }
    scenario.pool_count = POOL_COUNT;
    scenario.tiers = tiers_with_floors(&[0.0, 0.15, 0.25, 0.1]);
    scenario.large_org_count = 120;
    scenario
}
