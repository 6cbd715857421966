//! Tasks that own the state shared by all connections of an instance.
//!
//! Each task handles the messages of its mailbox one at a time, so its state needs no locks.

pub(crate) mod claimant;
pub(crate) mod configurator;
pub(crate) mod members;
pub(crate) mod record;
pub(crate) mod scheduler;
