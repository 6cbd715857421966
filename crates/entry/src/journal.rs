//! Stores the latest scheduling decisions of this instance with their inputs, for
//! `baobabvanectl explain`.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use baobabvane_decide::{Refusal, Why};
use baobabvane_domain::Verdict;
use serde::Serialize;

/// Number of finished requests that are kept; a new one replaces the oldest.
const MAX_REQUESTS: usize = 2048;

/// The scheduling decisions on a finished request, one per attempt.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestDecisions {
    pub(crate) request_id: String,
    /// When the recording started, after the request was admitted; milliseconds since the Unix
    /// epoch.
    pub(crate) at_ms: u64,
    pub(crate) organisation: String,
    pub(crate) kind: String,
    pub(crate) tier: String,
    pub(crate) pool: String,
    /// Time left until the request's deadline at `at_ms`.
    pub(crate) deadline_ms: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) status: u16,
    pub(crate) verdict: Verdict,
}

/// One decision of the scheduler on a request: an endpoint or a refusal, and the inputs.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Attempt {
    pub(crate) endpoint: Option<String>,
    pub(crate) refusal: Option<Refusal>,
    /// Estimated time to first token.
    pub(crate) expected_first_token_ms: Option<f64>,
    /// Prompt tokens expected to be in the endpoint's cache.
    pub(crate) cached_tokens: Option<u32>,
    /// Waiting times, queue lengths and capacity on which the decision was based.
    pub(crate) inputs: Why,
}

/// The decisions on the latest finished requests by request id; clones share the same data.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    ids_by_age: VecDeque<String>,
    by_id: HashMap<String, RequestDecisions>,
}

impl Journal {
    pub(crate) fn record(&self, decision: RequestDecisions) {
        let mut inner = self.inner.borrow_mut();
        if inner.ids_by_age.len() == MAX_REQUESTS
            && let Some(oldest) = inner.ids_by_age.pop_front()
        {
            inner.by_id.remove(&oldest);
        }
        inner.ids_by_age.push_back(decision.request_id.clone());
        inner.by_id.insert(decision.request_id.clone(), decision);
    }

    pub(crate) fn get(&self, request_id: &str) -> Option<RequestDecisions> {
        self.inner.borrow().by_id.get(request_id).cloned()
    }
}
