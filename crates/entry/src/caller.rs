//! The HTTP front end for callers: accepts connections, routes requests and writes responses.

mod admission;
mod chat;
mod connection;
mod context;
mod keyed;
mod plain;
mod run;
mod sse;

pub(crate) use admission::bearer_token;
pub(crate) use connection::{accept, problem_response};
pub(crate) use context::Context;
