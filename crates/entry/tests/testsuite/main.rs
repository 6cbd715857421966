//! Tests of whole instances against stand-ins.

mod fleet;
mod hostile;
mod many;
mod platform;
mod process;
mod serving;
mod session;
