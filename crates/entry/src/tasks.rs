//! The tasks that own what the callers' connections share.

pub(crate) mod claimant;
pub(crate) mod configurator;
pub(crate) mod members;
pub(crate) mod record;
pub(crate) mod scheduler;
