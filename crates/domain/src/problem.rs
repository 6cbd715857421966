//! Error answers as problem documents (RFC 9457) that carry a verdict.

use serde::{Deserialize, Serialize};

use crate::Verdict;

/// The media type of a problem document.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// An error answer; `verdict` tells whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// The HTTP status code, repeated in the body as the RFC asks.
    pub status: u16,
    /// A short name of the problem, stable across releases.
    pub title: String,
    /// What went wrong with this request, naming the thing.
    pub detail: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// After how many seconds a repeat makes sense.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
    /// The request's id, for `baobabvanectl explain`.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request_id: String,
}

impl Problem {
    /// Makes a problem of a request that no endpoint has seen.
    pub fn not_run(status: u16, title: impl Into<String>, detail: impl Into<String>) -> Self {
        Self::new(status, title, detail, Verdict::NotRun)
    }

    /// Makes a problem with an explicit verdict.
    pub fn new(
        status: u16,
        title: impl Into<String>,
        detail: impl Into<String>,
        verdict: Verdict,
    ) -> Self {
        Self {
            status,
            title: title.into(),
            detail: detail.into(),
            verdict,
            retry_after_s: None,
            request_id: String::new(),
        }
    }

    /// Adds the time after which a repeat makes sense, in seconds.
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}
