//! Tests of whole instances against stand-ins.

mod fleet;
mod hostile;
mod many;
mod process;
mod serving;
mod session;
