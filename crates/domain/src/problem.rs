//! Error responses as problem documents (RFC 9457) that carry a verdict.

use serde::{Deserialize, Serialize};

use crate::Verdict;

/// The media type of a problem document.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// The body of an error response, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// The HTTP status code; RFC 9457 repeats it in the body.
    pub status: u16,
    /// A short name of the problem type, stable across releases.
    pub title: String,
    /// The cause of this error, including the name of the affected resource or value.
    pub detail: String,
    /// Whether an endpoint may have executed the request.
    pub verdict: Verdict,
    /// The delay after which the caller should retry, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
    /// The request ID, for `baobabvanectl explain`; empty if the request has none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request_id: String,
}

impl Problem {
    /// Creates a problem for a request that was not sent to any endpoint.
    pub fn not_run(status: u16, title: impl Into<String>, detail: impl Into<String>) -> Self {
        Self::new(status, title, detail, Verdict::NotRun)
    }

    /// Creates a problem with the given verdict.
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

    /// Sets the delay after which the caller should retry, in seconds.
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}
