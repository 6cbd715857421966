//! The endpoints that have room, best first, so that a choice need not look at all.
//!
//! An endpoint's place is brought up to date when something happened at it, and
//! all places at each tick, since breakers and reports change with time.

use std::collections::BTreeSet;

use slotmap::SecondaryMap;

use crate::{
    endpoint::Endpoint,
    event::{EndpointKey, Millis},
    queue::OrderedF64,
};

/// The request by which endpoints are ordered.
const REFERENCE_PROMPT_TOKENS: u32 = 256;
const REFERENCE_ANSWER_TOKENS: f64 = 64.0;

/// What was last known of an endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointEntry {
    room: u32,
    score: Option<f64>,
}

/// Endpoints with room by the time that they would need, and the room of all.
#[derive(Debug, Default)]
pub(crate) struct ReadyEndpoints {
    by_score: BTreeSet<(OrderedF64, EndpointKey)>,
    entries: SecondaryMap<EndpointKey, EndpointEntry>,
    room: u32,
}

impl ReadyEndpoints {
    /// Brings an endpoint up to date.
    pub(crate) fn refresh(&mut self, key: EndpointKey, endpoint: &Endpoint, now: Millis) {
        let score = (endpoint.free_room(now) > 0).then(|| {
            let first_token = endpoint.first_token_ms(REFERENCE_PROMPT_TOKENS);
            first_token + REFERENCE_ANSWER_TOKENS * endpoint.decode_ms_per_token()
        });
        let entry = EndpointEntry { room: endpoint.room(now), score };
        if let Some(old) = self.entries.get(key)
            && old.score == score
            && old.room == entry.room
        {
            return;
        }
        self.remove(key);
        self.room += entry.room;
        if let Some(score) = score {
            self.by_score.insert((OrderedF64(score), key));
        }
        self.entries.insert(key, entry);
    }

    /// Forgets an endpoint.
    pub(crate) fn remove(&mut self, key: EndpointKey) {
        let Some(old) = self.entries.remove(key) else { return };
        self.room -= old.room;
        if let Some(score) = old.score {
            self.by_score.remove(&(OrderedF64(score), key));
        }
    }

    /// Returns how many requests all endpoints may have in flight.
    pub(crate) fn room(&self) -> u32 {
        self.room
    }

    /// Lists the endpoints with room, best first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = EndpointKey> {
        self.by_score.iter().map(|(_, key)| *key)
    }
}
