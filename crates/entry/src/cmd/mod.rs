//! The subcommands, one module each.

pub(crate) mod check;
pub(crate) mod serve;
