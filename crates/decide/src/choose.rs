//! Chooses the endpoint for a request, by estimated times and predicted cached prefixes.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use slotmap::{Key, SecondaryMap};

use crate::{
    capacity::{Curve, PoolCapacity, Prediction},
    endpoint::Endpoint,
    event::{Choice, Descriptor, EndpointKey, LatencyGoal, Millis},
    long_work::LongWorkLimit,
    policy::{Placement, Policy},
    prefix::{Holder, PrefixIndex},
    ready::ReadyEndpoints,
};

/// Factor on the estimated time to the complete answer, which must then still fit before the
/// deadline; for requests without a latency goal.
const DEADLINE_MARGIN: f64 = 1.2;
/// Number of endpoints with free room that are scored for a request, best first; later ones
/// wouldn't be chosen.
const MAX_CANDIDATES: usize = 16;
/// Number of endpoints scored for a request with a latency goal, which a slow endpoint may
/// meet too.
const MAX_GOAL_CANDIDATES: usize = 128;
/// A latency goal counts as missed if the estimate exceeds this share of the time that the
/// goal leaves for the first token, or of its longest gap.
const GOAL_BUDGET_SHARE: f64 = 0.75;
/// Factor on the estimated decode time, which must then still fit before the deadline; for
/// requests with a latency goal.
const ANSWER_LENGTH_MARGIN: f64 = 2.5;
/// Penalties for an expected miss; each is larger than any score without a miss.
const MISSED_DEADLINE_PENALTY: f64 = 1e6;
const MISSED_GOAL_PENALTY: f64 = 1e5;
const LONG_GAP_PENALTY: f64 = 1e4;
/// Penalty for the relative speed of an endpoint, added to its utilization; it keeps fast
/// endpoints free for requests that need them.
const FAST_ENDPOINT_PENALTY: f64 = 0.4;
/// Penalty for an endpoint whose decoding alone is expected to exceed the gap target of an
/// interactive stream; a long prefill backlog is worse, as it delays the first event, too.
const SLOW_DECODE_PENALTY: f64 = 1e3;
/// Weight of an endpoint's decode time as a ratio of the pool's, beside its utilization; among idle
/// endpoints, the faster one is preferred for interactive streams.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Penalty for an endpoint in another availability zone, added to its utilization: its traffic
/// crosses zones, and the load of other schedulers there is known later.
const OTHER_ZONE_PENALTY: f64 = 0.2;
/// A request waits for the prefill of another one only if its own estimated time, times this
/// factor, still fits before its deadline.
const PREFIX_WAIT_MARGIN: f64 = 3.0;

/// The part of the core's state that the choice of an endpoint reads.
pub(crate) struct Chooser<'a> {
    pub(crate) policy: &'a Policy,
    pub(crate) endpoints: &'a SecondaryMap<EndpointKey, Endpoint>,
    pub(crate) prefixes: &'a PrefixIndex,
    pub(crate) long_work: &'a LongWorkLimit,
    pub(crate) ready: &'a ReadyEndpoints,
    pub(crate) now: Millis,
    /// Mean prefill time for a token over the pool's endpoints.
    pub(crate) pool_prefill_ms_per_token: Millis,
    /// Whether this scheduler has its share of the pool in flight.
    pub(crate) has_reached_share: bool,
    /// What is learned of the endpoints' capacity, for interactive streams.
    pub(crate) capacity: &'a PoolCapacity,
}

/// The chosen endpoint, with the load that the request will put on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChosenEndpoint {
    pub(crate) choice: Choice,
    pub(crate) uncached_tokens: u32,
    pub(crate) is_long_prefill: bool,
    pub(crate) is_long: bool,
    /// What is predicted of an interactive stream.
    pub(crate) prediction: Option<Prediction>,
}

impl Chooser<'_> {
    /// Returns the endpoint with the best score for the request.
    ///
    /// Returns `None` if no endpoint may take it now, so that it stays queued; see
    /// [routing](../../../docs/decisions.md#choice-of-endpoint).
    pub(crate) fn choose(&self, req: &Descriptor, answer_tokens: f64) -> Option<ChosenEndpoint> {
        let holders = match self.policy.prefix_aware {
            true => self.prefixes.holders(&req.prefix),
            false => Default::default(),
        };
        if holders
            .iter()
            .any(|h| h.is_prefilling && self.should_wait_for_prefix(req, h, answer_tokens))
        {
            return None;
        }
        let holder_keys = holders.iter().map(|h| h.endpoint);
        let others = self.ready.iter().filter(|key| holders.iter().all(|h| h.endpoint != *key));
        let mut best: Option<(f64, ChosenEndpoint)> = None;
        let mut candidates = 0;
        let max_candidates = if req.goal.is_some() { MAX_GOAL_CANDIDATES } else { MAX_CANDIDATES };
        for key in holder_keys.chain(others) {
            let Some(endpoint) = self.endpoints.get(key) else { continue };
            let free = match self.has_reached_share {
                true => endpoint.free_beyond_share(self.now),
                false => endpoint.free_room(self.now),
            };
            if free == 0 || self.is_excluded_for_retry(req, key) {
                continue;
            }
            let blocks = holders.iter().find(|h| h.endpoint == key).map_or(0, |h| h.blocks);
            let Some((score, chosen)) =
                self.score_endpoint(req, key, endpoint, blocks, answer_tokens)
            else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, chosen));
            }
            candidates += 1;
            if candidates == max_candidates {
                break;
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Scores an endpoint for a request; the lowest score is the best. Returns `None` if the
    /// endpoint may not take the request.
    fn score_endpoint(
        &self,
        req: &Descriptor,
        key: EndpointKey,
        endpoint: &Endpoint,
        held_blocks: u32,
        answer_tokens: f64,
    ) -> Option<(f64, ChosenEndpoint)> {
        let cached_tokens = (held_blocks * self.policy.block_tokens).min(req.prompt_tokens);
        let uncached_tokens = req.prompt_tokens - cached_tokens;
        let prefill = f64::from(uncached_tokens) * endpoint.prefill_ms_per_token();
        let decode = answer_tokens * endpoint.decode_ms_per_token();
        let is_long_prefill = prefill > self.policy.long_prefill_ms;
        let is_long = prefill + decode > self.policy.long_service_ms;
        let holds_most_of_prompt = 2 * cached_tokens > req.prompt_tokens;
        if req.goal.is_none()
            && !self.long_work.allows(
                endpoint,
                key,
                is_long_prefill,
                is_long && !holds_most_of_prompt,
            )
        {
            return None;
        }
        let first_token_ms = endpoint.first_token_ms(uncached_tokens);
        if let Some(goal) = req.goal {
            // An endpoint at which the estimates already miss the deadline is skipped unless it is
            // idle; if all are skipped, the request waits in the queue.
            let is_late = self.now + first_token_ms + decode > req.deadline
                || self.now + first_token_ms > goal.caller_leaves_at;
            if is_late && endpoint.in_flight() > 0 {
                return None;
            }
            let score = self.goal_score(req, goal, endpoint, uncached_tokens, decode);
            let choice = Choice { endpoint: key, first_token_ms, cached_tokens };
            return Some((
                score,
                ChosenEndpoint {
                    choice,
                    uncached_tokens,
                    is_long_prefill,
                    is_long,
                    prediction: self.predict(goal, endpoint, uncached_tokens),
                },
            ));
        }
        if !self.is_in_time(req, endpoint, first_token_ms + decode) {
            return None;
        }
        let evicted_prefill =
            self.evicted_prefill_ms(req, key, endpoint, held_blocks, is_long_prefill);
        let score =
            first_token_ms + self.policy.prefill_price * (prefill + evicted_prefill) + decode;
        let choice = Choice { endpoint: key, first_token_ms, cached_tokens };
        let chosen =
            ChosenEndpoint { choice, uncached_tokens, is_long_prefill, is_long, prediction: None };
        Some((score, chosen))
    }

    /// Scores an endpoint by the deadlines and goals that the request would miss there. Among
    /// endpoints without a miss, less utilized and slower ones come first, which keeps fast
    /// endpoints free for long prompts.
    fn goal_score(
        &self,
        req: &Descriptor,
        goal: LatencyGoal,
        endpoint: &Endpoint,
        uncached_tokens: u32,
        decode_ms: Millis,
    ) -> f64 {
        let first_token_ms = endpoint.first_token_ms(uncached_tokens);
        let mut score = 0.0;
        if self.now + first_token_ms + decode_ms * ANSWER_LENGTH_MARGIN > req.deadline {
            score += MISSED_DEADLINE_PENALTY + first_token_ms + decode_ms;
        }
        if first_token_ms > (goal.first_token_by - self.now) * GOAL_BUDGET_SHARE {
            score += MISSED_GOAL_PENALTY + first_token_ms;
        }
        // Prefill delays the answers that the endpoint is decoding at the same time.
        let prefill_backlog_ms = endpoint.backlog_ms(uncached_tokens);
        if prefill_backlog_ms > goal.max_gap_ms * GOAL_BUDGET_SHARE {
            score += LONG_GAP_PENALTY + prefill_backlog_ms;
        }
        score += if endpoint.is_in_other_zone() { OTHER_ZONE_PENALTY } else { 0.0 };
        if let Some((curve, pool)) = self.learned_curves(goal, endpoint) {
            let in_flight = f64::from(endpoint.total_in_flight() + 1);
            let gap_ms = self.capacity.longest_gap_ms(curve, in_flight);
            if gap_ms > goal.max_gap_ms * GOAL_BUDGET_SHARE {
                score += SLOW_DECODE_PENALTY + gap_ms;
            }
            let slowness =
                curve.decode_ms(in_flight) / pool.decode_ms(in_flight).max(f64::MIN_POSITIVE);
            return score + endpoint.utilization() * slowness.sqrt() + SLOWNESS_WEIGHT * slowness;
        }
        let relative_speed =
            self.pool_prefill_ms_per_token / endpoint.prefill_ms_per_token().max(f64::MIN_POSITIVE);
        score + endpoint.utilization() + FAST_ENDPOINT_PENALTY * relative_speed
    }

    /// Returns the curve of the endpoint and that of the pool, by which an interactive stream is
    /// placed; `None` for other requests and before enough is learned.
    fn learned_curves<'e>(
        &'e self,
        goal: LatencyGoal,
        endpoint: &'e Endpoint,
    ) -> Option<(&'e Curve, &'e Curve)> {
        if !self.policy.endpoint_capacity || !goal.is_interactive() {
            return None;
        }
        Some((endpoint.samples.curve()?, self.capacity.curve()?))
    }

    /// Predicts an interactive stream at the endpoint.
    fn predict(
        &self,
        goal: LatencyGoal,
        endpoint: &Endpoint,
        uncached_tokens: u32,
    ) -> Option<Prediction> {
        let (curve, _) = self.learned_curves(goal, endpoint)?;
        let in_flight = f64::from(endpoint.total_in_flight() + 1);
        let first_event_ms = endpoint.first_token_ms(uncached_tokens);
        let longest_gap_ms = self.capacity.longest_gap_ms(curve, in_flight);
        Some(Prediction {
            first_event_ms,
            longest_gap_ms,
            is_on_time: self.now + first_event_ms <= goal.first_token_by
                && longest_gap_ms <= goal.max_gap_ms,
            prefill_tokens: f64::from(endpoint.unfinished_prefill_tokens())
                + f64::from(uncached_tokens),
            event_ms: self.capacity.tokens_per_event() * curve.decode_ms(in_flight),
        })
    }

    /// Returns whether the request has failed at this endpoint while another one is available.
    fn is_excluded_for_retry(&self, req: &Descriptor, key: EndpointKey) -> bool {
        req.failed_at.contains(&key)
            && self.endpoints.iter().any(|(k, e)| !e.is_leaving && !req.failed_at.contains(&k))
    }

    /// Returns whether the request should wait until an endpoint has finished the prefill of
    /// another prompt with the same start; dispatched earlier, it would repeat that prefill.
    fn should_wait_for_prefix(
        &self,
        req: &Descriptor,
        holder: &Holder,
        answer_tokens: f64,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get(holder.endpoint) else { return false };
        let shared = holder.blocks * self.policy.block_tokens;
        let saved = f64::from(shared) * endpoint.prefill_ms_per_token();
        let needed = endpoint.first_token_ms(0) + answer_tokens * endpoint.decode_ms_per_token();
        saved > self.policy.long_prefill_ms
            && endpoint.free_room(self.now) > 0
            && self.now + needed * PREFIX_WAIT_MARGIN <= req.deadline
    }

    /// Estimates the prefill time that will be repeated because the endpoint's cache has to
    /// evict blocks for this prompt.
    fn evicted_prefill_ms(
        &self,
        req: &Descriptor,
        key: EndpointKey,
        endpoint: &Endpoint,
        held_blocks: u32,
        is_long_prefill: bool,
    ) -> Millis {
        if !self.policy.spare_hot_blocks || !is_long_prefill {
            return 0.0;
        }
        let new = (req.prefix.len() as u32).saturating_sub(held_blocks);
        let tokens =
            self.prefixes.expected_reuse_loss(key, new) * f64::from(self.policy.block_tokens);
        tokens * endpoint.prefill_ms_per_token()
    }

    /// Returns whether the endpoint is expected to answer before the deadline.
    ///
    /// An idle endpoint always qualifies, so that new samples can correct a wrong estimate.
    fn is_in_time(&self, req: &Descriptor, endpoint: &Endpoint, needed_ms: Millis) -> bool {
        if !self.policy.deadline_aware || endpoint.in_flight() == 0 {
            return true;
        }
        self.now + needed_ms * DEADLINE_MARGIN <= req.deadline
    }

    /// Returns the endpoint that the policy's placement rule chooses for a core without a queue;
    /// all rules but `Estimate` may choose a full one.
    pub(crate) fn baseline(
        &self,
        req: &Descriptor,
        random: &mut RandomSource,
    ) -> Option<ChosenEndpoint> {
        let usable: Vec<EndpointKey> =
            self.endpoints.iter().filter(|(_, e)| !e.is_leaving).map(|(key, _)| key).collect();
        let load = |key: &EndpointKey| self.endpoints[*key].reported_requests();
        let key = match self.policy.placement {
            Placement::Estimate => return self.choose(req, req.answer_tokens.into()),
            Placement::LeastOutstanding => {
                *usable.iter().min_by_key(|k| self.endpoints[**k].in_flight())?
            }
            Placement::RoundRobin => *usable.get(random.round_robin(usable.len())?)?,
            Placement::TwoChoices => {
                let (a, b) = (
                    usable.get(random.index_below(usable.len())?)?,
                    usable.get(random.index_below(usable.len())?)?,
                );
                *[a, b].into_iter().min_by_key(|k| load(k))?
            }
            Placement::Owner => {
                let subject = req.prefix.first().copied().unwrap_or(req.org.0);
                *usable.iter().max_by_key(|k| rendezvous_weight(subject, **k))?
            }
        };
        let endpoint = &self.endpoints[key];
        let first_token_ms = endpoint.first_token_ms(req.prompt_tokens);
        let choice = Choice { endpoint: key, first_token_ms, cached_tokens: 0 };
        let uncached_tokens = req.prompt_tokens;
        Some(ChosenEndpoint {
            choice,
            uncached_tokens,
            is_long_prefill: false,
            is_long: false,
            prediction: None,
        })
    }
}

/// A seeded random generator, and the position of the round-robin placement.
#[derive(Debug)]
pub(crate) struct RandomSource {
    rng: SmallRng,
    round_robin_index: usize,
}

impl RandomSource {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), round_robin_index: 0 }
    }

    /// Returns a random number in the range 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.rng.random()
    }

    fn index_below(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.rng.random_range(0..len))
    }

    fn round_robin(&mut self, len: usize) -> Option<usize> {
        self.round_robin_index = self.round_robin_index.wrapping_add(1);
        (len > 0).then(|| self.round_robin_index % len)
    }
}

/// Returns the rendezvous weight of an endpoint for a subject; the endpoint with the largest
/// weight owns the subject.
fn rendezvous_weight(subject: u64, endpoint: EndpointKey) -> u64 {
    let mut hasher = DefaultHasher::new();
    (subject, endpoint.data().as_ffi()).hash(&mut hasher);
    hasher.finish()
}
