//! Builds local replies: plain-text responses that the gateway itself generates.

use std::time::Duration;

use baobabvane_wire::{Response, WireError};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode, header};

/// `Retry-After` when other requests and responses take the memory.
pub(super) const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Builder of a response that does not come from an endpoint.
pub(super) struct LocalReply {
    res: Response,
}

impl LocalReply {
    pub(super) fn new(status: StatusCode, reason: &'static str) -> Self {
        let mut res = Response::new(Bytes::from_static(reason.as_bytes()));
        *res.status_mut() = status;
        res.headers_mut()
            .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        Self { res }
    }

    /// Sets `Retry-After` in seconds with two decimals, if a delay is given.
    pub(super) fn retry_after(mut self, after: Option<Duration>) -> Self {
        let Some(after) = after else { return self };
        let seconds = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            self.res.headers_mut().insert(header::RETRY_AFTER, value);
        }
        self
    }

    pub(super) fn header(mut self, name: &HeaderName, value: &HeaderValue) -> Self {
        self.res.headers_mut().insert(name, value.clone());
        self
    }

    pub(super) fn build(self) -> Response {
        self.res
    }
}

/// Returns the reason in metrics for which a request could not be read.
pub(super) fn reason(error: &WireError) -> &'static str {
    match error {
        WireError::NoMemoryForBody { .. } => "no memory for body",
        WireError::NoMemoryForHead => "no memory for head",
        WireError::HeadTooLarge { .. } | WireError::BodyTooLarge { .. } => "too large",
        WireError::TimedOut { .. } => "too slow",
        WireError::Malformed(_) | WireError::Framing(_) => "malformed",
        _ => "connection failed",
    }
}

/// Returns the response to a request that could not be read, or `None` when the connection
/// itself failed.
pub(super) fn for_unreadable_request(error: &WireError) -> Option<Response> {
    let (status, reason) = match error {
        WireError::Io(_)
        | WireError::RequestNotWritten
        | WireError::UnexpectedEof
        | WireError::TooManyConnections
        | WireError::Evicted => return None,
        WireError::Malformed(_) | WireError::Framing(_) => {
            (StatusCode::BAD_REQUEST, "not a valid request")
        }
        WireError::HeadTooLarge { .. } => {
            (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        }
        WireError::BodyTooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        WireError::NoMemoryForBody { .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, "too many large requests at a time")
        }
        WireError::NoMemoryForHead => {
            (StatusCode::SERVICE_UNAVAILABLE, "too many connections at a time")
        }
        WireError::TimedOut { .. } => {
            (StatusCode::REQUEST_TIMEOUT, "the request took too long to arrive")
        }
    };
    let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(NO_MEMORY_RETRY_AFTER);
    Some(LocalReply::new(status, reason).retry_after(retry_after).build())
}
