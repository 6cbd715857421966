//! The inputs of the latest decisions, for `baobabvanectl explain`.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use baobabvane_decide::{Refusal, Why};
use baobabvane_domain::Verdict;
use serde::Serialize;

/// The most decisions that are remembered.
const MAX_DECISIONS: usize = 2048;

/// What was decided for a request, and from what.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Decision {
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

/// One answer of the scheduler.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Attempt {
    pub(crate) endpoint: Option<String>,
    pub(crate) refusal: Option<Refusal>,
    pub(crate) expected_first_token_ms: Option<f64>,
    pub(crate) cached_tokens: Option<u32>,
    pub(crate) inputs: Why,
}

/// The latest decisions of this instance; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    ids_by_age: VecDeque<String>,
    by_id: HashMap<String, Decision>,
}

impl Journal {
    pub(crate) fn record(&self, decision: Decision) {
        let mut inner = self.inner.borrow_mut();
        if inner.ids_by_age.len() == MAX_DECISIONS
            && let Some(oldest) = inner.ids_by_age.pop_front()
        {
            inner.by_id.remove(&oldest);
        }
        inner.ids_by_age.push_back(decision.request_id.clone());
        inner.by_id.insert(decision.request_id.clone(), decision);
    }

    pub(crate) fn get(&self, request_id: &str) -> Option<Decision> {
        self.inner.borrow().by_id.get(request_id).cloned()
    }
}
