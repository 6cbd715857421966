//! The messages between an instance and another instance's scheduler.
//!
//! They are encoded by position (postcard): a change to the order of fields or variants needs a new
//! protocol version.

use baobabvane_decide::{Descriptor, Ending, Refusal, Why};
use serde::{Deserialize, Serialize};

/// A request that needs an endpoint of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PeerOffer {
    /// Identifies the request on this connection.
    pub(crate) ticket: u64,
    pub(crate) pool: String,
    pub(crate) zone: String,
    /// The receiver replaces its deadline and failed endpoints, which are valid only in the sender.
    pub(crate) descriptor: Descriptor,
    /// How long the caller still waits when the message is sent.
    pub(crate) patience_ms: f64,
    /// Names of the endpoints at which the request has failed.
    pub(crate) failed_at: Vec<String>,
}

/// A request to another instance's scheduler; the numbers are tickets, except in `Ping`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    Offer(PeerOffer),
    /// The request was already dispatched to the named endpoint and counts against its capacity.
    Adopt(PeerOffer, String),
    Withdraw(u64),
    FirstToken(u64),
    End(u64, Ending),
    Ping(u64),
}

/// A scheduler's reply.
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
    /// The zone has no capacity; the sender may try another zone.
    Spill {
        ticket: u64,
        why: Why,
    },
    Pong(u64),
}
