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
    /// Its `deadline` and `failed_at` have a meaning only in the sender's process; the receiver
    /// derives them from `patience_ms` and from `failed_at` below.
    pub(crate) descriptor: Descriptor,
    /// Time from the sending of the message to the caller's deadline.
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
    /// The sender no longer needs an endpoint for the request; a grant is cancelled.
    Withdraw(u64),
    /// The endpoint has started to respond to the request.
    FirstToken(u64),
    /// The grant is no longer used; states how the request ended at the endpoint.
    End(u64, Ending),
    /// Asks for a `Pong` with the same number.
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
