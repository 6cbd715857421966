//! Ensures that each non-idempotent request runs at most once: the log's order
//! decides which claim of a key wins.
//!
//! An instance appends a claim before it sends the first byte to an endpoint,
//! reads the log up to that claim, and dispatches only if the claim is the first
//! one of its key, or the first after the key was released with the verdict
//! `NotRun`. Claims are never transferred and, unlike leases, don't expire, so a
//! paused process cannot cause a second dispatch. While the log is down, an
//! instance may dispatch a request whose key it issued itself before it appends the
//! claim, where [`LogDownPolicy`](baobabvane_domain::LogDownPolicy) allows it.
//!
//! [`Ledger`] computes the winner from the log; [`KeyAge`] tells whether the log
//! still holds all claims of a key; [`Writer`] appends claims and outcomes in
//! batches and reports which claims won. See
//! [at most once](../../../docs/claims.md).

mod age;
mod ledger;
mod writer;

pub use age::{KeyAge, KeyPolicy, issue_key, issued_at_ms};
pub use ledger::{ClaimId, KeyState, Ledger};
pub use writer::{
    AppendResult, ClaimResult, DecodedBatch, DecodedRecord, Output, Writer, WriterSettings,
};
