//! Tests of whole instances against stand-ins.

mod fleet;
mod hostile;
mod process;
mod serving;
mod session;
