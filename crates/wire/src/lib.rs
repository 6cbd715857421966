//! HTTP/1.1 server and client connections on `monoio`.
//!
//! Heads are decoded by `monoio-http`. This crate adds size limits, timeouts, strict framing, a
//! decoder for chunks, and an encoder that sends each chunk immediately.
//! See [the wire](../../../docs/wire.md).
//!
//! [`ServerConn`] reads whole requests and writes whole or streamed responses.
//! [`ClientConn`] sends one request at a time, so that a response is never matched to
//! another request, and returns the response body incrementally.

mod body;
mod budget;
mod chunked;
mod client;
mod decode;
mod encode;
mod error;
mod hop;
mod paced;
mod payload;
mod server;
mod socket;

pub use budget::{MemoryBudget, MemoryKind, Permit};
pub use client::{ClientConn, Connector};
pub use error::WireError;
pub use hop::remove_hop_by_hop;
pub use payload::{Body, BodyCollector};
pub use server::{Limits, ServerConn};

/// A request with its complete body.
pub type Request = http::Request<bytes::Bytes>;

/// A response with its complete body.
pub type Response = http::Response<bytes::Bytes>;
