//! Whether a request may have run; see [verdicts](../../../docs/DESIGN.md#verdicts).

use serde::{Deserialize, Serialize};

/// Says whether an endpoint may have executed a request.
///
/// A caller that is told `NotRun` may safely send the request again, so the
/// value is only used while no byte has been offered to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No endpoint has seen the request.
    NotRun,
    /// An endpoint executed the request and its whole answer was received.
    Ran,
    /// An endpoint saw at least one byte and its whole answer is not known.
    MayHaveRun,
}

impl Verdict {
    /// Returns the name that problem documents and logs carry.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may_have_run",
        }
    }

    /// Says whether the same request may be sent to an endpoint (again).
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
