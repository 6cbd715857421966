//! HTTP/1.1 connections on `monoio`, as a server and as a client.
//!
//! The heads and chunks are decoded by `monoio-http`. This crate adds what that
//! library leaves open: limits on size and time, strict framing, and a writer
//! that sends each chunk at once. See [the wire](../../../docs/wire.md).
//!
//! [`ServerConn`] reads whole requests and writes whole or streamed responses.
//! [`ClientConn`] sends one request at a time and hands out the answer's pieces,
//! so that an answer can never be taken for another request's.

mod body;
mod client;
mod decode;
mod encode;
mod error;
mod hop;
mod server;

pub use client::{ClientConn, Connector};
pub use error::WireError;
pub use hop::remove_hop_by_hop;
pub use server::{Limits, ServerConn};

/// A request with its whole body.
pub type Request = http::Request<bytes::Bytes>;

/// A response with its whole body.
pub type Response = http::Response<bytes::Bytes>;
