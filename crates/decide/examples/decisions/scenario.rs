//! What happens in each scenario: engines, arrivals and faults, from a seed.

use baobabvane_decide::{KindId, Millis, OrgId, PrefixBlocks, Rank, TierPolicy};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::engine::EngineSpec;

/// Tokens in a block of a prefix.
pub(crate) const BLOCK_TOKENS: u32 = 256;

/// A request that will arrive.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Millis,
    pub(crate) pool: usize,
    pub(crate) kind: &'static KindSpec,
    pub(crate) org: OrgId,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) prefix: PrefixBlocks,
    /// Whether it is part of the flood, not of the day.
    pub(crate) flood: bool,
}

/// A kind of work.
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

/// Something that goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The engine becomes this many times slower.
    Slow(usize, f64),
    /// The engine loses everything and refuses connections.
    Die(usize),
    /// The engine is back, with an empty cache.
    Return(usize),
}

/// A whole scenario.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) name: &'static str,
    /// Engines with the pool that they belong to.
    pub(crate) engines: Vec<(usize, EngineSpec)>,
    pub(crate) pools: usize,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) faults: Vec<(Millis, Fault)>,
    pub(crate) report_lag_ms: Millis,
    pub(crate) tiers: Vec<TierPolicy>,
    /// Organisations below this number are large.
    pub(crate) large_orgs: u64,
    /// The largest organisation that belongs to the day and not to the flood.
    pub(crate) end_ms: Millis,
}

/// The scenarios' names.
pub(crate) const NAMES: [&str; 13] = [
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

const DAY_MS: Millis = 60_000.0;
const FLOOD_ORG: OrgId = OrgId(1_000_000);
const GENERATIONS: [f64; 4] = [0.7, 1.0, 1.6, 2.4];

/// Makes arrivals of a kind by a Poisson process.
struct Stream {
    kind: &'static KindSpec,
    per_second: f64,
    from: Millis,
    to: Millis,
}

struct Maker {
    rng: SmallRng,
    arrivals: Vec<Arrival>,
    next_private_block: u64,
}

impl Maker {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            arrivals: Vec::new(),
            next_private_block: 1 << 40,
        }
    }

    fn unit(&mut self) -> f64 {
        self.rng.random_range(1e-9..1.0)
    }

    /// Adds a stream; `org` draws the sender from a number between 0 and 1.
    fn stream(&mut self, stream: &Stream, org: impl Fn(f64) -> OrgId, flood: bool) {
        let mut at = stream.from;
        loop {
            at += -self.unit().ln() / stream.per_second * 1000.0;
            if at >= stream.to {
                return;
            }
            let org = org(self.unit());
            self.arrival(at, 0, stream.kind, org, flood);
        }
    }

    fn arrival(
        &mut self,
        at: Millis,
        pool: usize,
        kind: &'static KindSpec,
        org: OrgId,
        flood: bool,
    ) {
        let vary = |unit: f64, tokens: u32| ((0.5 + unit) * f64::from(tokens)).max(1.0) as u32;
        let (prompt_unit, answer_unit) = (self.unit(), self.unit());
        let prompt_tokens = vary(prompt_unit, kind.prompt_tokens);
        let answer_tokens = vary(answer_unit, kind.answer_tokens);
        let blocks = prompt_tokens / BLOCK_TOKENS;
        let prefix = (0..blocks).map(|_| self.private_block()).collect();
        self.arrivals.push(Arrival {
            at,
            pool,
            kind,
            org,
            prompt_tokens,
            answer_tokens,
            prefix,
            flood,
        });
    }

    fn private_block(&mut self) -> u64 {
        self.next_private_block += 1;
        self.next_private_block
    }

    /// Adds reviews of shared histories, drawn unevenly, with a private question at the end.
    fn reviews(&mut self, per_second: f64, histories: u64) {
        let history_blocks = u64::from(REVIEW.prompt_tokens / BLOCK_TOKENS);
        let mut at = 0.0;
        loop {
            at += -self.unit().ln() / per_second * 1000.0;
            if at >= DAY_MS {
                return;
            }
            let history = ((self.unit().powf(2.0)) * histories as f64) as u64;
            let org = OrgId(history % 5);
            self.arrival(at, 0, &REVIEW, org, false);
            let last = self.arrivals.last_mut().expect("one was just pushed");
            last.prefix = (0..history_blocks).map(|b| history * 1_000 + b).collect();
            last.prompt_tokens = history_blocks as u32 * BLOCK_TOKENS + 100;
        }
    }
}

/// Two large organisations send most, three small ones the rest.
fn five_orgs(unit: f64) -> OrgId {
    OrgId(match unit {
        u if u < 0.42 => 0,
        u if u < 0.84 => 1,
        u if u < 0.90 => 2,
        u if u < 0.95 => 3,
        _ => 4,
    })
}

fn engines(count: usize, batch: usize, cache_blocks: usize) -> Vec<(usize, EngineSpec)> {
    let spec = |n: usize| EngineSpec { slowness: GENERATIONS[n % 4], batch, cache_blocks };
    (0..count).map(|n| (0, spec(n))).collect()
}

fn floors(shares: &[f64]) -> Vec<TierPolicy> {
    shares.iter().map(|floor| TierPolicy { floor: *floor }).collect()
}

fn plan(name: &'static str, engines: Vec<(usize, EngineSpec)>) -> Plan {
    Plan {
        name,
        engines,
        pools: 1,
        arrivals: Vec::new(),
        faults: Vec::new(),
        report_lag_ms: 2_000.0,
        tiers: floors(&[0.0, 0.15, 0.35]),
        large_orgs: 2,
        end_ms: DAY_MS,
    }
}

fn day(maker: &mut Maker, share: f64) {
    for (kind, per_second) in
        [(&QUOTE, 60.0), (&STOCK, 30.0), (&BOOKING_TALK, 10.0), (&ASSESSMENT, 1.2)]
    {
        let per_second = per_second * share;
        maker.stream(&Stream { kind, per_second, from: 0.0, to: DAY_MS }, five_orgs, false);
    }
}

/// The menders' engines and their day.
fn menders(name: &'static str, maker: &mut Maker) -> Plan {
    day(maker, 1.0);
    plan(name, engines(20, 32, 2_000))
}

fn flood(maker: &mut Maker, kind: &'static KindSpec, per_second: f64, from: Millis, to: Millis) {
    maker.stream(&Stream { kind, per_second, from, to }, |_| FLOOD_ORG, true);
}

/// Rates at which one kind alone takes all of the menders' engines.
const QUOTE_CAPACITY: f64 = 250.0;
const ASSESSMENT_CAPACITY: f64 = 6.0;

impl Plan {
    /// Makes a scenario from a seed; `None` when its name is not known.
    pub(crate) fn make(name: &str, seed: u64) -> Option<Self> {
        let name = NAMES.into_iter().find(|n| *n == name)?;
        let mut maker = Maker::new(seed);
        let m = &mut maker;
        let mut plan = match name {
            "menders-day" => menders(name, m),
            "association-day" => association(name, m),
            "flood-low" => {
                flood(m, &ASSESSMENT, ASSESSMENT_CAPACITY * 10.0, 10_000.0, 40_000.0);
                menders(name, m)
            }
            "flood-high" => {
                flood(m, &QUOTE, QUOTE_CAPACITY * 10.0, 10_000.0, 40_000.0);
                menders(name, m)
            }
            "greedy-org" => {
                flood(m, &QUOTE, 60.0 * 0.42 * 50.0, 10_000.0, 50_000.0);
                menders(name, m)
            }
            "slow-engine" => {
                let mut plan = menders(name, m);
                plan.faults.push((15_000.0, Fault::Slow(0, 4.0)));
                plan
            }
            "stale-reports" => Self { report_lag_ms: 10_000.0, ..menders(name, m) },
            "burst" => {
                for at in [15_000.0, 30_000.0, 45_000.0] {
                    let per_second = QUOTE_CAPACITY * 2.0;
                    m.stream(
                        &Stream { kind: &QUOTE, per_second, from: at, to: at + 1_500.0 },
                        five_orgs,
                        false,
                    );
                }
                menders(name, m)
            }
            "endpoint-loss" => {
                let mut plan = menders(name, m);
                for engine in [1, 6, 11] {
                    plan.faults.push((20_000.0, Fault::Die(engine)));
                    plan.faults.push((40_000.0, Fault::Return(engine)));
                }
                plan
            }
            "season-reviews" => season_reviews(name, m),
            "opening-hour" => {
                flood(m, &ASSESSMENT, ASSESSMENT_CAPACITY * 10.0, 5_000.0, 30_000.0);
                flood(m, &QUOTE, QUOTE_CAPACITY * 10.0, 20_000.0, 45_000.0);
                let mut plan = menders(name, m);
                plan.faults.push((10_000.0, Fault::Slow(1, 4.0)));
                plan
            }
            "neighbour" => neighbour(name, m),
            _ => design_size(name, m),
        };
        plan.arrivals = maker.arrivals;
        plan.arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
        Some(plan)
    }

    /// Returns the same scenario without its flood.
    pub(crate) fn without_flood(&self) -> Self {
        let mut calm = self.clone();
        calm.arrivals.retain(|a| !a.flood);
        calm
    }

    pub(crate) fn has_flood(&self) -> bool {
        self.arrivals.iter().any(|a| a.flood)
    }
}

fn association(name: &'static str, maker: &mut Maker) -> Plan {
    for (kind, per_second) in [(&BALANCE, 45.0), (&POSTING_TALK, 8.0)] {
        maker.stream(&Stream { kind, per_second, from: 0.0, to: DAY_MS }, five_orgs, false);
    }
    maker.reviews(1.0, 120);
    plan(name, engines(12, 32, 500))
}

/// Histories three times as large as all caches.
fn season_reviews(name: &'static str, maker: &mut Maker) -> Plan {
    maker.stream(
        &Stream { kind: &BALANCE, per_second: 20.0, from: 0.0, to: DAY_MS },
        five_orgs,
        false,
    );
    maker.reviews(3.0, 96);
    // All caches together hold 32 histories of 48 blocks each.
    plan(name, engines(12, 32, 32 * 48 / 12))
}

/// One pool is overloaded, and the same pool of another zone has room.
fn neighbour(name: &'static str, maker: &mut Maker) -> Plan {
    day(maker, 2.2);
    plan(name, engines(20, 32, 2_000))
}

/// One of seven zones: 86 engines for 16 models, 4 tiers, 12,000 organisations.
fn design_size(name: &'static str, maker: &mut Maker) -> Plan {
    const POOLS: usize = 16;
    const ORGS: f64 = 12_000.0;
    let kinds = [(&QUOTE, 50.0), (&BOOKING_TALK, 40.0), (&ASSESSMENT, 16.0), (&BATCH, 15.0)];
    for (kind, per_second) in kinds {
        let mut at = 0.0;
        loop {
            at += -maker.unit().ln() / per_second * 1000.0;
            if at >= DAY_MS {
                break;
            }
            // A few organisations send much more than the others.
            let org = OrgId((maker.unit().powi(3) * ORGS) as u64);
            let pool = (maker.unit() * POOLS as f64) as usize;
            maker.arrival(at, pool, kind, org, false);
        }
    }
    let mut plan = plan(name, engines(86, 48, 2_000));
    for (n, (pool, _)) in plan.engines.iter_mut().enumerate() {
        *pool = n % POOLS;
    }
    plan.pools = POOLS;
    plan.tiers = floors(&[0.0, 0.15, 0.25, 0.1]);
    plan.large_orgs = 120;
    plan
}
