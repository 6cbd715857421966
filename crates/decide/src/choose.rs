//! Picks the endpoint for a request.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use slotmap::{Key, SecondaryMap};

use crate::{
    endpoint::Endpoint,
    event::{Choice, Descriptor, EndpointKey, Millis},
    policy::{Placement, Policy},
    prefix::PrefixIndex,
};

/// How much of the time to write the answer counts against the time to its first token.
const DECODE_SHARE: f64 = 0.25;

/// The part of the core's state that a choice needs.
pub(crate) struct Chooser<'a> {
    pub(crate) policy: &'a Policy,
    pub(crate) endpoints: &'a SecondaryMap<EndpointKey, Endpoint>,
    pub(crate) prefixes: &'a PrefixIndex,
    pub(crate) now: Millis,
}

/// A choice together with what the endpoint has to be told to expect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed {
    pub(crate) choice: Choice,
    pub(crate) unread_tokens: u32,
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
        let may_be_long = self.policy.room_for_short && self.long_allowed();
        let mut best: Option<(f64, Placed)> = None;
        for (key, endpoint) in self.endpoints {
            if endpoint.free(self.now) == 0 {
                continue;
            }
            let blocks = match holders.iter().find(|h| h.endpoint == key) {
                Some(holder) => holder.blocks,
                None => 0,
            };
            let cached_tokens = (blocks * self.policy.block_tokens).min(req.prompt_tokens);
            let unread_tokens = req.prompt_tokens - cached_tokens;
            let prefill = f64::from(unread_tokens) * endpoint.prefill_ms();
            let is_long = prefill > self.policy.long_prefill_ms;
            if self.policy.room_for_short && is_long && self.blocks_long(endpoint, may_be_long) {
                continue;
            }
            let first_token_ms = endpoint.first_token_ms(unread_tokens);
            let decode = answer_tokens * endpoint.decode_ms() * DECODE_SHARE;
            let score = first_token_ms + self.policy.prefill_price * prefill + decode;
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let choice = Choice { endpoint: key, first_token_ms, cached_tokens };
                best = Some((score, Placed { choice, unread_tokens, is_long }));
            }
        }
        best.map(|(_, placed)| placed)
    }

    /// Says whether one more endpoint may be given a long prompt to read.
    ///
    /// A quarter of the endpoints stays free of them, so that short work never
    /// has to wait behind a long prompt everywhere.
    fn long_allowed(&self) -> bool {
        let busy = self.endpoints.values().filter(|e| e.has_long_prefill()).count();
        let usable = self.endpoints.values().filter(|e| !e.leaving).count();
        busy < (usable * 3 / 4).max(1)
    }

    fn blocks_long(&self, endpoint: &Endpoint, may_be_long: bool) -> bool {
        endpoint.has_long_prefill() || !may_be_long
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
                let subject = req.prefix.first().copied().unwrap_or(u64::from(req.org.0));
                *usable.iter().max_by_key(|k| rendezvous_weight(subject, **k))?
            }
        };
        let endpoint = &self.endpoints[key];
        let first_token_ms = endpoint.first_token_ms(req.prompt_tokens);
        let choice = Choice { endpoint: key, first_token_ms, cached_tokens: 0 };
        Some(Placed { choice, unread_tokens: req.prompt_tokens, is_long: false })
    }
}

/// The seeded draws of the baselines.
#[derive(Debug)]
pub(crate) struct Draw {
    rng: SmallRng,
    turn: usize,
}

impl Draw {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), turn: 0 }
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
