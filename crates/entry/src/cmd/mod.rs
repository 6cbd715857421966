//! The subcommands, one module each.

pub(crate) mod check;
pub(crate) mod gateway;
pub(crate) mod serve;
