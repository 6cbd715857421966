//! Picks the endpoint for a request.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use slotmap::{Key, SecondaryMap};

use crate::{
    endpoint::Endpoint,
    event::{Choice, Descriptor, EndpointKey, LatencyGoal, Millis},
    policy::{Placement, Policy},
    prefix::{Holder, PrefixIndex},
    ready::Ready,
    room::Room,
};

/// An endpoint must be expected to be done this much before the deadline.
const DEADLINE_MARGIN: f64 = 1.2;
/// Endpoints with room that are judged, best first; those beyond would not be chosen.
const MAX_LOOKED_AT: usize = 16;
/// A goal may be met by any endpoint, also by a slow one.
const MAX_LOOKED_AT_FOR_GOAL: usize = 128;
/// The part of the time to a goal, and of the longest pause, that an estimate may fill.
const GOAL_SHARE: f64 = 0.75;
/// An answer may be this many times as long as estimated, and has to end in time.
const LENGTH_MARGIN: f64 = 2.5;
/// What is missed counts more than any choice among endpoints that miss nothing.
const MISSED_DEADLINE: f64 = 1e6;
const MISSED_GOAL: f64 = 1e5;
const LONG_PAUSE: f64 = 1e4;
/// What a fast endpoint is spared for requests that need it, against its being full.
const SPARE_FAST: f64 = 0.4;
/// What an endpoint in another availability zone has to be emptier: its bytes cross
/// zones, and what others have there is known later.
const FAR: f64 = 0.2;
/// A request waits for another one's reading only with this much time to spare.
const WAITING_MARGIN: f64 = 3.0;

/// The part of the core's state that a choice needs.
pub(crate) struct Chooser<'a> {
    pub(crate) policy: &'a Policy,
    pub(crate) endpoints: &'a SecondaryMap<EndpointKey, Endpoint>,
    pub(crate) prefixes: &'a PrefixIndex,
    pub(crate) room: &'a Room,
    pub(crate) ready: &'a Ready,
    pub(crate) now: Millis,
    /// Time to read a token, on average over the pool.
    pub(crate) pool_prefill_ms_per_token: Millis,
    /// Whether this scheduler has its share of the pool already.
    pub(crate) has_its_share: bool,
}

/// A choice together with what the endpoint has to be told to expect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed {
    pub(crate) choice: Choice,
    pub(crate) unread_tokens: u32,
    pub(crate) long_prefill: bool,
    pub(crate) is_long: bool,
}

impl Chooser<'_> {
    /// Picks the endpoint that would be done with the request soonest.
    ///
    /// Returns `None` when every endpoint is at its limit, so that the request
    /// stays queued; see [routing](../../../docs/decisions.md#choice-of-endpoint).
    pub(crate) fn choose(&self, req: &Descriptor, answer_tokens: f64) -> Option<Placed> {
        let holders = match self.policy.prefix_aware {
            true => self.prefixes.holders(&req.prefix),
            false => Default::default(),
        };
        if holders.iter().any(|h| h.is_reading && self.is_worth_waiting(req, h, answer_tokens)) {
            return None;
        }
        let near = holders.iter().map(|h| h.endpoint);
        let others = self.ready.iter().filter(|key| holders.iter().all(|h| h.endpoint != *key));
        let mut best: Option<(f64, Placed)> = None;
        let mut looked_at = 0;
        let most = if req.goal.is_some() { MAX_LOOKED_AT_FOR_GOAL } else { MAX_LOOKED_AT };
        for key in near.chain(others) {
            let Some(endpoint) = self.endpoints.get(key) else { continue };
            let free = match self.has_its_share {
                true => endpoint.claimable(self.now),
                false => endpoint.free(self.now),
            };
            if free == 0 || self.is_avoided(req, key) {
                continue;
            }
            let blocks = holders.iter().find(|h| h.endpoint == key).map_or(0, |h| h.blocks);
            let Some((score, placed)) = self.judge(req, key, endpoint, blocks, answer_tokens)
            else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, placed));
            }
            looked_at += 1;
            if looked_at == most {
                break;
            }
        }
        best.map(|(_, placed)| placed)
    }

    /// Scores an endpoint for a request; the least score is the best. `None` when
    /// it may not be given the request.
    fn judge(
        &self,
        req: &Descriptor,
        key: EndpointKey,
        endpoint: &Endpoint,
        held_blocks: u32,
        answer_tokens: f64,
    ) -> Option<(f64, Placed)> {
        let cached_tokens = (held_blocks * self.policy.block_tokens).min(req.prompt_tokens);
        let unread_tokens = req.prompt_tokens - cached_tokens;
        let prefill = f64::from(unread_tokens) * endpoint.prefill_ms_per_token();
        let write = answer_tokens * endpoint.decode_ms_per_token();
        let long_prefill = prefill > self.policy.long_prefill_ms;
        let is_long = prefill + write > self.policy.long_service_ms;
        let is_holder = 2 * cached_tokens > req.prompt_tokens;
        if req.goal.is_none()
            && !self.room.allows(endpoint, key, long_prefill, is_long && !is_holder)
        {
            return None;
        }
        let first_token_ms = endpoint.first_token_ms(unread_tokens);
        if let Some(goal) = req.goal {
            // Where it could not end in time even if the estimates hold, it had better wait.
            let is_late = self.now + first_token_ms + write > req.deadline
                || self.now + first_token_ms > goal.caller_leaves_at;
            if is_late && endpoint.in_flight() > 0 {
                return None;
            }
            let score = self.goal_score(req, goal, endpoint, unread_tokens, write);
            let choice = Choice { endpoint: key, first_token_ms, cached_tokens };
            return Some((score, Placed { choice, unread_tokens, long_prefill, is_long }));
        }
        if !self.is_in_time(req, endpoint, first_token_ms + write) {
            return None;
        }
        let lost = self.lost_prefill_ms(req, key, endpoint, held_blocks, long_prefill);
        let score = first_token_ms + self.policy.prefill_price * (prefill + lost) + write;
        let choice = Choice { endpoint: key, first_token_ms, cached_tokens };
        Some((score, Placed { choice, unread_tokens, long_prefill, is_long }))
    }

    /// Scores an endpoint by what would be missed there; among endpoints at which
    /// nothing is, emptier and slower ones come first, so that fast ones are free for
    /// long prompts.
    fn goal_score(
        &self,
        req: &Descriptor,
        goal: LatencyGoal,
        endpoint: &Endpoint,
        unread_tokens: u32,
        write_ms: Millis,
    ) -> f64 {
        let first_token_ms = endpoint.first_token_ms(unread_tokens);
        let mut score = 0.0;
        if self.now + first_token_ms + write_ms * LENGTH_MARGIN > req.deadline {
            score += MISSED_DEADLINE + first_token_ms + write_ms;
        }
        if first_token_ms > (goal.first_token_by - self.now) * GOAL_SHARE {
            score += MISSED_GOAL + first_token_ms;
        }
        // Reading holds up the answers that are being written beside it.
        let reading_ms = endpoint.backlog_ms(unread_tokens);
        if reading_ms > goal.max_gap_ms * GOAL_SHARE {
            score += LONG_PAUSE + reading_ms;
        }
        let relative_speed =
            self.pool_prefill_ms_per_token / endpoint.prefill_ms_per_token().max(f64::MIN_POSITIVE);
        let far = if endpoint.is_in_other_zone() { FAR } else { 0.0 };
        score + endpoint.fullness() + SPARE_FAST * relative_speed + far
    }

    /// Says whether a repeat has to go elsewhere, where there is an elsewhere.
    fn is_avoided(&self, req: &Descriptor, key: EndpointKey) -> bool {
        req.failed_at.contains(&key)
            && self.endpoints.iter().any(|(k, e)| !e.leaving && !req.failed_at.contains(&k))
    }

    /// Says whether a request should wait until an endpoint has read the start of
    /// its prompt for another one: sent earlier, it would be read twice.
    fn is_worth_waiting(&self, req: &Descriptor, holder: &Holder, answer_tokens: f64) -> bool {
        let Some(endpoint) = self.endpoints.get(holder.endpoint) else { return false };
        let shared = holder.blocks * self.policy.block_tokens;
        let saved = f64::from(shared) * endpoint.prefill_ms_per_token();
        let needed = endpoint.first_token_ms(0) + answer_tokens * endpoint.decode_ms_per_token();
        saved > self.policy.long_prefill_ms
            && endpoint.free(self.now) > 0
            && self.now + needed * WAITING_MARGIN <= req.deadline
    }

    /// Estimates the reading that will be repeated because the endpoint's cache
    /// has to drop blocks for this prompt.
    fn lost_prefill_ms(
        &self,
        req: &Descriptor,
        key: EndpointKey,
        endpoint: &Endpoint,
        held_blocks: u32,
        long_prefill: bool,
    ) -> Millis {
        if !self.policy.spare_hot_blocks || !long_prefill {
            return 0.0;
        }
        let new = (req.prefix.len() as u32).saturating_sub(held_blocks);
        let tokens = self.prefixes.loss(key, new) * f64::from(self.policy.block_tokens);
        tokens * endpoint.prefill_ms_per_token()
    }

    /// Says whether the endpoint would answer before the caller stops waiting.
    ///
    /// An idle endpoint always may try, so that a wrong estimate can be unlearned.
    fn is_in_time(&self, req: &Descriptor, endpoint: &Endpoint, needed_ms: Millis) -> bool {
        if !self.policy.deadline_aware || endpoint.in_flight() == 0 {
            return true;
        }
        self.now + needed_ms * DEADLINE_MARGIN <= req.deadline
    }

    /// Picks an endpoint as a baseline of the bench does, full or not.
    pub(crate) fn baseline(&self, req: &Descriptor, draw: &mut Draw) -> Option<Placed> {
        let usable: Vec<EndpointKey> =
            self.endpoints.iter().filter(|(_, e)| !e.leaving).map(|(key, _)| key).collect();
        let load = |key: &EndpointKey| self.endpoints[*key].reported();
        let key = match self.policy.placement {
            Placement::Estimate => return self.choose(req, req.answer_tokens.into()),
            Placement::LeastOutstanding => {
                *usable.iter().min_by_key(|k| self.endpoints[**k].in_flight())?
            }
            Placement::RoundRobin => *usable.get(draw.round_robin(usable.len())?)?,
            Placement::TwoChoices => {
                let (a, b) = (
                    usable.get(draw.below(usable.len())?)?,
                    usable.get(draw.below(usable.len())?)?,
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
        let unread_tokens = req.prompt_tokens;
        Some(Placed { choice, unread_tokens, long_prefill: false, is_long: false })
    }
}

/// The seeded draws.
#[derive(Debug)]
pub(crate) struct Draw {
    rng: SmallRng,
    turn: usize,
}

impl Draw {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), turn: 0 }
    }

    /// Draws a number out of 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.rng.random()
    }

    fn below(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.rng.random_range(0..len))
    }

    fn round_robin(&mut self, len: usize) -> Option<usize> {
        self.turn = self.turn.wrapping_add(1);
        (len > 0).then(|| self.turn % len)
    }
}

/// Weighs an endpoint for a subject; the endpoint with the largest weight owns it.
fn rendezvous_weight(subject: u64, endpoint: EndpointKey) -> u64 {
    let mut hasher = DefaultHasher::new();
    (subject, endpoint.data().as_ffi()).hash(&mut hasher);
    hasher.finish()
}
