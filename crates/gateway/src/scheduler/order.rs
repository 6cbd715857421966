//! What a request asks the scheduler for, and what it gets.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
};

use baobabvane_decide::{Descriptor, EndpointKey, Refusal, Ticket, Why};
use rustc_hash::FxHasher;

use crate::configuration::Organisation;

/// A request that needs an endpoint.
#[derive(Debug)]
pub(crate) struct PlacementRequest {
    /// Names this try of the request.
    pub(crate) ticket: Ticket,
    /// The pool that the route picked.
    pub(crate) pool: Rc<str>,
    /// What the core decides by; the deadline counts from the offer.
    pub(crate) descriptor: Descriptor,
    /// What it uses of a quota.
    pub(crate) quota_charge: Option<QuotaCharge>,
    /// Whether the request was sent to an endpoint before.
    pub(crate) is_retry: bool,
}

/// What a request uses of its organisation's quota.
#[derive(Clone, Debug)]
pub(crate) struct QuotaCharge {
    /// Whose quota it is.
    pub(crate) organisation: Rc<Organisation>,
    /// Units of the quota.
    pub(crate) units: f64,
}

/// An endpoint to which a request may be sent now.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) endpoint: EndpointKey,
    /// The endpoint's own id.
    pub(crate) id: String,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The estimated time to the first piece of the answer, in milliseconds.
    pub(crate) expected_first_token_ms: f64,
    /// Prompt tokens that it is expected to hold.
    pub(crate) cached_tokens: u32,
    pub(crate) why: Why,
}

/// Why a request got no endpoint; it has not run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Refused {
    /// The organisation is over its quota.
    Quota {
        /// After how many milliseconds the quota allows the request.
        retry_after_ms: f64,
    },
    /// The fleet's budget of repeats is spent.
    RetryBudget,
    /// The core refused it.
    Core { refusal: Refusal, why: Why },
}

impl Refused {
    /// Returns the name that logs and metrics carry.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Quota { .. } => "quota",
            Self::RetryBudget => "retry_budget",
            Self::Core { refusal, .. } => match refusal {
                Refusal::Load => "load",
                Refusal::Late => "late",
                Refusal::NoEndpoint => "no_endpoint",
                Refusal::RetryBudget => "retry_budget",
            },
        }
    }
}

/// Names an endpoint or an organisation in few bytes, the same in all instances.
pub(crate) fn id_hash(id: &str) -> u32 {
    let mut hasher = FxHasher::default();
    id.hash(&mut hasher);
    let hash = hasher.finish();
    (hash ^ (hash >> 32)) as u32
}
