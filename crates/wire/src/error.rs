//! What can go wrong on a connection.

use std::io;

use monoio_http::h1::codec::decoder::DecodeError;
use thiserror::Error;

/// Why a connection cannot go on.
#[derive(Debug, Error)]
pub enum WireError {
    /// The transport failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The bytes are not HTTP/1.1.
    #[error("not a valid HTTP/1.1 message: {0}")]
    Malformed(String),
    /// The length of the body is stated in a way that others could read differently.
    #[error("ambiguous body length: {0}")]
    Framing(&'static str),
    /// The head is over its limit.
    #[error("head is over {limit} bytes or has too many headers")]
    HeadTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body is over its limit.
    #[error("body is over {limit} bytes")]
    BodyTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer was too slow.
    #[error("timed out while {operation}")]
    TimedOut {
        /// What was waited for.
        operation: &'static str,
    },
    /// The peer closed before the proper end.
    #[error("connection closed before the end of the message")]
    UnexpectedEof,
}

impl From<DecodeError> for WireError {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Io(e) => Self::Io(e),
            DecodeError::UnexpectedEof => Self::UnexpectedEof,
            other => Self::Malformed(other.to_string()),
        }
    }
}
