//! At most once: which claim of a key wins, as a function of the log's order.
//!
//! An instance appends a claim before the first byte goes to an endpoint, reads
//! the log up to it, and dispatches only when its claim was the first of the
//! key. No claim is handed over, so that neither a pause nor a lapsed lease can
//! double a dispatch. [`Ledger`] is that function; [`KeyAge`] says for which
//! keys the log still knows enough; [`Writer`] writes claims and outcomes in
//! batches and settles them. See [at most once](../../../docs/claims.md).

mod age;
mod ledger;
mod writer;

pub use age::{KeyAge, KeyPolicy, issue_key, issued_at_ms};
pub use ledger::{KeyState, Ledger, Owner};
pub use writer::{
    AppendResult, ClaimResult, Output, ReadBatch, ReadRecord, Writer, WriterSettings,
};
