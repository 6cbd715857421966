//! Errors of HTTP connections.
//!
//! Each error of the HTTP parser is converted to a [`WireError`].

use std::io;

use monoio_http::h1::codec::decoder::DecodeError;
use thiserror::Error;

/// An error after which a connection cannot be used for another exchange.
#[derive(Debug, Error)]
pub enum WireError {
    /// An I/O operation on the TCP connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The received bytes are not a valid HTTP/1.1 message.
    #[error("not a valid HTTP/1.1 message: {0}")]
    Malformed(String),
    /// The headers state the body length in a way that is ambiguous or not accepted.
    #[error("ambiguous body length: {0}")]
    Framing(&'static str),
    /// The head exceeds the size limit or has too many headers.
    #[error("head is over {limit} bytes or has too many headers")]
    HeadTooLarge {
        /// The size limit, in bytes.
        limit: usize,
    },
    /// The body or one of its chunks exceeds the size limit.
    #[error("body is over {limit} bytes")]
    BodyTooLarge {
        /// The size limit, in bytes.
        limit: usize,
    },
    /// Other requests and responses take the memory that there is for bodies.
    #[error("no memory is free for a body of {bytes} bytes")]
    NoMemoryForBody {
        /// The memory that was asked for, in bytes.
        bytes: usize,
    },
    /// Other connections take the memory that there is for heads.
    #[error("no memory is free for a head")]
    NoMemoryForHead,
    /// As many connections are open as the descriptors of the process allow.
    #[error("too many connections are open")]
    TooManyConnections,
    /// The peer reads too slowly while memory or connections are short.
    #[error("the reader is too slow while memory or connections are short")]
    Evicted,
    /// An operation exceeded its timeout.
    #[error("timed out while {operation}")]
    TimedOut {
        /// The operation that timed out, such as "reading the head".
        operation: &'static str,
    },
    /// The request was not written to its end, so that no response is read.
    #[error("the request was not written to its end")]
    RequestNotWritten,
    /// The peer closed the connection before the end of the message.
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
