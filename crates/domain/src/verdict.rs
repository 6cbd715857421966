//! Whether an endpoint may have executed a request; see
//! [verdicts](../../../docs/DESIGN.md#verdicts).

use serde::{Deserialize, Serialize};

/// States whether an endpoint may have executed a request.
///
/// A caller that receives `NotRun` may safely retry the request, so the value is used
/// only if no byte of the request has been written to an endpoint, or if each endpoint
/// that received the request has answered that it did not execute it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No endpoint has executed the request.
    NotRun,
    /// An endpoint executed the request, and its complete response was received.
    Ran,
    /// An endpoint may have executed the request: part of it may have been sent, and
    /// no complete response is known or the response is a server error.
    MayHaveRun,
}

impl Verdict {
    /// Returns the name used in problem documents and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may_have_run",
        }
    }

    /// Returns whether the request may be sent to an endpoint, for the first time or as a retry.
    pub fn allows_dispatch(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::Ran => false,
            Self::MayHaveRun => idempotent,
        }
    }
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
