//! Runs each non-idempotent request at most once: the log's order decides which
//! claim of a key wins.
//!
//! An instance appends a claim before it sends the first byte to an endpoint,
//! reads the log up to that claim, and dispatches only if the claim is the first
//! one of its key. Claims are never transferred, so neither a paused process nor
//! an expired lease can cause a second dispatch. [`Ledger`] computes the winner
//! from the log; [`KeyAge`] tells whether the log still holds all claims of a
//! key; [`Writer`] appends claims and outcomes in batches and reports which
//! claims won. See [at most once](../../../docs/claims.md).

mod age;
mod ledger;
mod writer;

pub use age::{KeyAge, KeyPolicy, issue_key, issued_at_ms};
pub use ledger::{ClaimId, KeyState, Ledger};
pub use writer::{
    AppendResult, ClaimResult, Output, ReadBatch, ReadRecord, Writer, WriterSettings,
};
