//! Summarises the result of a run.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;

use crate::{
    scenario::{Arrival, BLOCK_TOKENS, Scenario},
    sim::{RequestEnd, RequestResult, RunResult},
};

/// Figures of one run, printed as one JSON object per line.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figures {
    pub(crate) scenario: String,
    pub(crate) policy: String,
    pub(crate) seed: u64,
    /// Share of the regular requests that were answered before their deadline, by tier.
    pub(crate) tier_goodput: BTreeMap<u8, f64>,
    pub(crate) small_org_goodput: f64,
    pub(crate) large_org_goodput: f64,
    /// Regular requests answered in time during the flood, as a share of those answered in time
    /// in the same period of a run without it.
    pub(crate) kept_by_others: f64,
    /// `kept_by_others` by tier.
    pub(crate) kept_by_tier: BTreeMap<u8, f64>,
    /// Prompt tokens that engines prefilled, divided by those that they would have prefilled with
    /// an ideal cache.
    pub(crate) wasted_prefill: f64,
    /// Requests refused for load while less urgent ones were waiting, and requests queued at the
    /// same time as a more urgent one was refused for load.
    pub(crate) tier_inversions: u64,
    /// Requests refused as too late while less urgent ones were waiting.
    pub(crate) late_above_waiting: u64,
    pub(crate) ttft_p50_ms: BTreeMap<String, f64>,
    pub(crate) ttft_p95_ms: BTreeMap<String, f64>,
    pub(crate) ttft_p99_ms: BTreeMap<String, f64>,
    pub(crate) flood_goodput: f64,
    pub(crate) spilled: usize,
}

/// Summarises a run; `without_flood` is the same scenario without its flood, and its result.
pub(crate) fn summarise(
    scenario: &Scenario,
    policy: &str,
    seed: u64,
    result: &RunResult,
    without_flood: Option<(&Scenario, &RunResult)>,
) -> Figures {
    let all: Vec<(&Arrival, &RequestResult)> =
        scenario.arrivals.iter().zip(&result.requests).collect();
    let regular: Vec<_> = all.iter().filter(|(a, _)| !a.is_flood).copied().collect();
    let (kept_overall, kept_by_tier) = goodput_kept(scenario, &regular, without_flood);
    let of_orgs = |large: bool| {
        goodput(
            regular.iter().filter(|(a, _)| (a.org.0 < scenario.large_org_count) == large).copied(),
        )
    };
    Figures {
        scenario: scenario.name.to_owned(),
        policy: policy.to_owned(),
        seed,
        tier_goodput: goodput_by_tier(&regular),
        small_org_goodput: of_orgs(false),
        large_org_goodput: of_orgs(true),
        kept_by_others: kept_overall,
        kept_by_tier,
        wasted_prefill: wasted_prefill(scenario, &all),
        tier_inversions: result.tier_inversions,
        late_above_waiting: result.late_above_waiting,
        ttft_p50_ms: ttft_quantile(&regular, 0.50),
        ttft_p95_ms: ttft_quantile(&regular, 0.95),
        ttft_p99_ms: ttft_quantile(&regular, 0.99),
        flood_goodput: goodput(all.iter().filter(|(a, _)| a.is_flood).copied()),
        spilled: all.iter().filter(|(_, r)| r.end == Some(RequestEnd::Spilled)).count(),
    }
}

fn is_good(arrival: &Arrival, result: &RequestResult) -> bool {
    matches!(result.end, Some(RequestEnd::Answered { answered_ms }) if answered_ms <= arrival.kind.deadline_ms)
}

/// Returns the share of requests answered before their deadline; 1 if there are none.
///
/// Spilled requests do not count, because the neighbour zone answers them.
fn goodput<'a>(requests: impl Iterator<Item = (&'a Arrival, &'a RequestResult)>) -> f64 {
    let mut good = 0;
    let mut all = 0;
    for (arrival, result) in requests.filter(|(_, r)| r.end != Some(RequestEnd::Spilled)) {
        all += 1;
        good += u32::from(is_good(arrival, result));
    }
    if all == 0 { 1.0 } else { round_to_4_decimals(f64::from(good) / f64::from(all)) }
}

fn goodput_by_tier(requests: &[(&Arrival, &RequestResult)]) -> BTreeMap<u8, f64> {
    let ranks: BTreeSet<u8> = requests.iter().map(|(a, _)| a.kind.rank).collect();
    let of = |rank| goodput(requests.iter().filter(|(a, _)| a.kind.rank == rank).copied());
    ranks.into_iter().map(|rank| (rank, of(rank))).collect()
}

fn goodput_kept(
    scenario: &Scenario,
    regular: &[(&Arrival, &RequestResult)],
    without_flood: Option<(&Scenario, &RunResult)>,
) -> (f64, BTreeMap<u8, f64>) {
    let Some((scenario_without_flood, without_flood)) = without_flood else {
        return (1.0, BTreeMap::new());
    };
    let flood = scenario.arrivals.iter().filter(|a| a.is_flood).map(|a| a.at);
    let (from, to) = flood.fold((f64::MAX, 0.0_f64), |(lo, hi), at| (lo.min(at), hi.max(at)));
    let during = |a: &Arrival| a.at >= from && a.at <= to;
    let with: Vec<_> = regular.iter().filter(|(a, _)| during(a)).copied().collect();
    let without: Vec<_> = scenario_without_flood
        .arrivals
        .iter()
        .zip(&without_flood.requests)
        .filter(|(a, _)| during(a))
        .collect();
    let good = |requests: &[(&Arrival, &RequestResult)], rank: Option<u8>| {
        let of_rank = |a: &Arrival| rank.is_none_or(|r| r == a.kind.rank);
        requests.iter().filter(|(a, r)| of_rank(a) && is_good(a, r)).count() as f64
    };
    let ratio = |rank| round_to_4_decimals(good(&with, rank) / good(&without, rank).max(1.0));
    let ranks: BTreeSet<u8> = with.iter().map(|(a, _)| a.kind.rank).collect();
    (ratio(None), ranks.into_iter().map(|rank| (rank, ratio(Some(rank)))).collect())
}

/// Returns the prompt tokens that engines prefilled, divided by those that they would have
/// prefilled with one cache of the same total size per pool and optimal eviction.
fn wasted_prefill(scenario: &Scenario, all: &[(&Arrival, &RequestResult)]) -> f64 {
    let mut read_tokens = 0.0;
    let mut min_tokens = 0.0;
    for pool in 0..scenario.pool_count {
        let engines = scenario.engines.iter().filter(|(p, _)| *p == pool);
        let capacity = engines.map(|(_, e)| e.cache_blocks).sum();
        let served: Vec<_> =
            all.iter().filter(|(a, r)| a.pool == pool && r.prefilled_tokens > 0).copied().collect();
        read_tokens += served.iter().map(|(_, r)| f64::from(r.prefilled_tokens)).sum::<f64>();
        let prefixes: Vec<&[u64]> = served.iter().map(|(a, _)| a.prefix.as_slice()).collect();
        let hits = optimal_cache_hits(&prefixes, capacity) as f64 * f64::from(BLOCK_TOKENS);
        min_tokens += served.iter().map(|(a, _)| f64::from(a.prompt_tokens)).sum::<f64>() - hits;
    }
    if min_tokens == 0.0 { 1.0 } else { round_to_4_decimals(read_tokens / min_tokens) }
}

/// Counts the hits of a cache that evicts the block whose next use is furthest away (Belady's
/// algorithm).
fn optimal_cache_hits(prefixes: &[&[u64]], capacity: usize) -> usize {
    let mut next_use: Vec<Vec<usize>> = Vec::with_capacity(prefixes.len());
    let mut seen: HashMap<u64, usize> = HashMap::new();
    for (n, prefix) in prefixes.iter().enumerate().rev() {
        next_use.push(prefix.iter().map(|b| seen.insert(*b, n).unwrap_or(usize::MAX)).collect());
    }
    next_use.reverse();
    let mut cached: HashMap<u64, usize> = HashMap::new();
    let mut by_next: BTreeSet<(usize, u64)> = BTreeSet::new();
    let mut hits = 0;
    for (prefix, next) in prefixes.iter().zip(&next_use) {
        for (block, next) in prefix.iter().zip(next) {
            if let Some(old) = cached.remove(block) {
                by_next.remove(&(old, *block));
                hits += 1;
            }
            if *next == usize::MAX {
                continue;
            }
            cached.insert(*block, *next);
            by_next.insert((*next, *block));
            if cached.len() > capacity
                && let Some((_, dropped)) = by_next.pop_last()
            {
                cached.remove(&dropped);
            }
        }
    }
    hits
}

/// Returns a quantile of the time to first token by kind of request, in milliseconds.
fn ttft_quantile(regular: &[(&Arrival, &RequestResult)], quantile: f64) -> BTreeMap<String, f64> {
    let mut by_kind: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (arrival, result) in regular {
        if let Some(ms) = result.first_token_ms {
            by_kind.entry(arrival.kind.name).or_default().push(ms);
        }
    }
    let pick = |mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        let index = ((times.len() - 1) as f64 * quantile).round() as usize;
        round_to_4_decimals(times[index])
    };
    by_kind.into_iter().map(|(kind, times)| (kind.to_owned(), pick(times))).collect()
}

fn round_to_4_decimals(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
