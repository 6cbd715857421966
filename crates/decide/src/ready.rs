//! Orders the endpoints with free room, best first, so that a choice only looks at a few.
//!
//! The entry of an endpoint is updated after each event that concerns it. All entries are
//! updated at each tick, since breakers and load reports change with time.

use std::collections::BTreeSet;

use slotmap::SecondaryMap;

use crate::{
    endpoint::Endpoint,
    event::{EndpointKey, Millis},
    queue::OrderedF64,
};

/// Size of the request whose estimated time orders the endpoints.
const REFERENCE_PROMPT_TOKENS: u32 = 256;
const REFERENCE_ANSWER_TOKENS: f64 = 64.0;

/// Limits and score of an endpoint at its last update; no score if it has no free room.
#[derive(Clone, Copy, Debug)]
struct EndpointEntry {
    room: u32,
    shared_limit: u32,
    score: Option<f64>,
}

/// Endpoints with free room by estimated time, and the summed limits of all endpoints.
#[derive(Debug, Default)]
pub(crate) struct ReadyEndpoints {
    by_score: BTreeSet<(OrderedF64, EndpointKey)>,
    entries: SecondaryMap<EndpointKey, EndpointEntry>,
    room: u32,
    shared_limit: u32,
}

impl ReadyEndpoints {
    /// Updates the entry of an endpoint.
    pub(crate) fn refresh(&mut self, key: EndpointKey, endpoint: &Endpoint, now: Millis) {
        let score = (endpoint.free_room(now) > 0).then(|| {
            let first_token = endpoint.first_token_ms(REFERENCE_PROMPT_TOKENS);
            first_token + REFERENCE_ANSWER_TOKENS * endpoint.decode_ms_per_token()
        });
        let shared_limit = endpoint.shared_limit();
        let entry = EndpointEntry { room: endpoint.room(now), shared_limit, score };
        if let Some(old) = self.entries.get(key)
            && old.score == score
            && old.room == entry.room
            && old.shared_limit == shared_limit
        {
            return;
        }
        self.remove(key);
        self.room += entry.room;
        self.shared_limit += shared_limit;
        if let Some(score) = score {
            self.by_score.insert((OrderedF64(score), key));
        }
        self.entries.insert(key, entry);
    }

    pub(crate) fn remove(&mut self, key: EndpointKey) {
        let Some(old) = self.entries.remove(key) else { return };
        self.room -= old.room;
        self.shared_limit -= old.shared_limit;
        if let Some(score) = old.score {
            self.by_score.remove(&(OrderedF64(score), key));
        }
    }

    /// Returns how many requests of this scheduler may be in flight at once at all endpoints
    /// together.
    pub(crate) fn room(&self) -> u32 {
        self.room
    }

    /// Returns how many requests of all schedulers may be in flight at once at all endpoints
    /// together.
    pub(crate) fn shared_limit(&self) -> u32 {
        self.shared_limit
    }

    /// Returns the endpoints with free room, best first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = EndpointKey> {
        self.by_score.iter().map(|(_, key)| *key)
    }
}
