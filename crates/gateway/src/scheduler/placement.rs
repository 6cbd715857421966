//! Defines the request for an endpoint and the scheduler's two answers, [`Grant`] and
//! [`Refused`].

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
};

use baobabvane_decide::{Block, Descriptor, EndpointKey, ProcessId, Refusal, Ticket, Why};
use rustc_hash::FxHasher;

use crate::{
    configuration::{DiscoveredEndpoint, Organisation},
    prompt::SharedParts,
    quota::QuotaCause,
};

/// A request for an endpoint on behalf of a caller.
#[derive(Debug)]
pub(crate) struct PlacementRequest {
    /// Identifies one attempt of the caller's request.
    pub(crate) ticket: Ticket,
    /// The pool that was picked from the route's targets.
    pub(crate) pool: Rc<str>,
    /// The input of the core's decision; its deadline and goal are in milliseconds after the
    /// scheduler receives this request.
    pub(crate) descriptor: Descriptor,
    /// The parts of the prompt that other requests may have too.
    pub(crate) shared_parts: SharedParts,
    /// The quota units to charge; `None` if nothing is charged.
    pub(crate) quota_charge: Option<QuotaCharge>,
    /// Whether the request was already sent to an endpoint.
    pub(crate) is_retry: bool,
    /// Whether an endpoint may have run the request at an earlier try.
    pub(crate) may_have_run: bool,
}

/// A charge to an organisation's quota.
#[derive(Clone, Debug)]
pub(crate) struct QuotaCharge {
    /// The organisation whose quota is charged.
    pub(crate) organisation: Rc<Organisation>,
    /// The number of units, counted as the quota's `unit` defines.
    pub(crate) units: f64,
}

/// The endpoint that the core chose; the request counts as dispatched and can be sent
/// immediately.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) endpoint: EndpointKey,
    /// The endpoint's id in service discovery.
    pub(crate) id: String,
    /// The address that accepts requests.
    pub(crate) address: SocketAddr,
    /// The estimated time to the first token or byte of the answer, in milliseconds.
    pub(crate) expected_first_token_ms: f64,
    /// The estimated number of prompt tokens in the endpoint's prefix cache.
    pub(crate) cached_tokens: u32,
    /// The inputs of the core's decision, for log lines.
    pub(crate) why: Why,
    /// Whether the request counts for a rollout, so that the scheduler is told of its progress.
    pub(crate) is_counted: bool,
}

/// Why a quota does not admit a request, with the inputs of the decision for log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaRefusal {
    /// The estimated time until the quota admits the request, in milliseconds.
    pub(crate) retry_after_ms: f64,
    /// The units of the request.
    pub(crate) units: f64,
    /// The units in this instance's bucket; negative if it is in debt.
    pub(crate) level: f64,
    /// The known use of the last window in the whole fleet.
    pub(crate) window_use: f64,
    /// The number of units that the fleet may admit in any window.
    pub(crate) units_per_window: f64,
    /// The share of requests that the window admits at present, 0 to 1.
    pub(crate) admission_share: f64,
    /// The mean age of the heartbeats from this zone, in milliseconds.
    pub(crate) report_age_ms: f64,
    /// The known demand of the whole fleet in units per second; 0 unless the configuration is
    /// interactive.
    pub(crate) demand_per_s: f64,
    /// The share of the instances that are not heard, for which a part of the limit is set aside.
    pub(crate) silent_share: f64,
    /// What limits the use.
    pub(crate) cause: QuotaCause,
}

/// Why a request was assigned no endpoint; the request was not sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Refused {
    /// The organisation has exceeded its quota.
    Quota(QuotaRefusal),
    /// This instance's share of the retry budget is used up.
    RetryBudget,
    /// The request is a retry, and all endpoints of its pool fail at present.
    AllFailing,
    /// Prompts with a part of this one have crashed endpoints.
    Quarantined(Block),
    /// The decision core refused the request; `why` states the inputs of its decision.
    Core { refusal: Refusal, why: Why },
}

impl Refused {
    /// Returns the reason as it appears in log lines, metrics and responses.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Quota(_) => "quota",
            Self::RetryBudget => "retry_budget",
            Self::AllFailing => "all_failing",
            Self::Quarantined(_) => "quarantined",
            Self::Core { refusal, .. } => match refusal {
                Refusal::Load => "load",
                Refusal::Late => "late",
                Refusal::NoEndpoint => "no_endpoint",
                Refusal::RetryBudget => "retry_budget",
            },
        }
    }
}

/// Returns a 32-bit hash of an endpoint id, organisation, route or zone; all instances
/// compute the same value.
pub(crate) fn id_hash(id: &str) -> u32 {
    short_hash(id)
}

/// Returns a 32-bit hash of an instance's address; all instances compute the same value.
pub(crate) fn peer_hash(peer: SocketAddr) -> u32 {
    short_hash(peer)
}

/// Returns the id of the endpoint's process; all instances compute the same one.
pub(crate) fn process_id(endpoint: &DiscoveredEndpoint) -> ProcessId {
    ProcessId(short_hash((endpoint.id.as_str(), endpoint.started_ms)))
}

fn short_hash(value: impl Hash) -> u32 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    let hash = hasher.finish();
    (hash ^ (hash >> 32)) as u32
}
