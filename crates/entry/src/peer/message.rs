//! What an instance asks another one's scheduler, and what that answers.

use baobabvane_decide::{Descriptor, Ending, Refusal, Why};
use serde::{Deserialize, Serialize};

/// A request that asks for an endpoint of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PeerOffer {
    /// Unique on the connection.
    pub(crate) ticket: u64,
    pub(crate) pool: String,
    pub(crate) zone: String,
    /// Its deadline and failed endpoints mean nothing to others.
    pub(crate) descriptor: Descriptor,
    /// How long the caller waits from now on, in milliseconds.
    pub(crate) patience_ms: f64,
    /// Names of endpoints at which the request has failed.
    pub(crate) failed_at: Vec<String>,
}

/// What a scheduler is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    Offer(PeerOffer),
    /// The request is at the endpoint already; count it.
    Adopt(PeerOffer, String),
    Withdraw(u64),
    FirstToken(u64),
    End(u64, Ending),
    Ping(u64),
}

/// What a scheduler answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Granted {
        ticket: u64,
        endpoint: String,
        first_token_ms: f64,
        cached_tokens: u32,
        why: Why,
    },
    Refused {
        ticket: u64,
        refusal: Refusal,
        why: Why,
    },
    /// The zone has no room; another one may.
    Spill {
        ticket: u64,
        why: Why,
    },
    Pong(u64),
}
