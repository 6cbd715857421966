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

/// Number of decisions that are kept; a new one replaces the oldest.
const MAX_REQUESTS: usize = 2048;

/// A finished request, with the inputs and result of each scheduling attempt.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestDecisions {
    pub(crate) request_id: String,
    pub(crate) at_ms: u64,
    pub(crate) organisation: String,
    pub(crate) kind: String,
    pub(crate) tier: String,
    pub(crate) pool: String,
    pub(crate) deadline_ms: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) status: u16,
    pub(crate) verdict: Verdict,
}

/// One reply of the scheduler: an endpoint or a refusal, with the inputs of the decision.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Attempt {
    pub(crate) endpoint: Option<String>,
    pub(crate) refusal: Option<Refusal>,
    pub(crate) expected_first_token_ms: Option<f64>,
    pub(crate) cached_tokens: Option<u32>,
    pub(crate) inputs: Why,
}

/// The latest decisions by request id; clones share the same data.
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
