//! Names and values of the headers that the gateway reads and sets.
//!
//! A header that is missing or malformed reads as `None`, never as an error.

use std::time::Duration;

use baobabvane_decide::SelfReport;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

/// Names of headers that differ between deployments; the platform's adapter supplies them.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request: identifies one request of a caller, whose own retries are separate requests. The
    /// gateway sends the same id at each of its attempts, and the response repeats it.
    pub request_id: HeaderName,
    /// Request: how long the sender waits for the response, in milliseconds.
    pub time_left: HeaderName,
    /// Request: tokens of the prompt and most tokens that the answer may have, separated by a
    /// comma.
    pub token_usage: HeaderName,
    /// Request: the caller's estimate of the answer's length, in tokens.
    pub length_hint: HeaderName,
    /// Request: the parts of the prompt in order, as comma-separated `ID:TOKENS`.
    pub prompt_parts: HeaderName,
    /// Request: the only endpoint that may run the request; another one responds with 421.
    pub expected_endpoint: HeaderName,
    /// Request: the organisation that the caller belongs to, set by the gateway.
    pub organisation: HeaderName,
    /// Response: the endpoint's signature; a 2xx response without it is not forwarded.
    pub signature: HeaderName,
    /// Response: the endpoint's running requests, waiting requests and slots, separated by commas.
    /// Some endpoints add how long work takes now, in percent of the normal time.
    pub load: HeaderName,
    /// Response: the requests per second that the endpoint takes from all instances together, a
    /// decimal number.
    pub rate_limit: HeaderName,
    /// Response: `1` if the endpoint is leaving.
    pub leaving: HeaderName,
    /// Response: present if the endpoint did not run the request.
    pub not_executed: HeaderName,
    /// Request: further headers that callers may not set; removed before forwarding.
    pub reserved: Vec<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name("baobabvane-request-id"),
            time_left: name("baobabvane-time-left-ms"),
            token_usage: name("baobabvane-token-usage"),
            length_hint: name("baobabvane-length-hint"),
            prompt_parts: name("baobabvane-prompt-parts"),
            expected_endpoint: name("baobabvane-expected-endpoint"),
            organisation: name("baobabvane-organisation"),
            signature: name("baobabvane-signature"),
            load: name("baobabvane-load"),
            rate_limit: name("baobabvane-rate-limit"),
            leaving: name("baobabvane-leaving"),
            not_executed: name("baobabvane-not-executed"),
            reserved: Vec::new(),
        }
    }
}

/// The longest time for which an endpoint may turn requests away, in seconds.
const MAX_RETRY_AFTER_S: f64 = 3_600.0;

/// The largest rate limit that is told apart, far more than an endpoint takes.
const MAX_RATE_LIMIT_PER_S: f64 = 1_000_000.0;

/// Request header with the id of the event after which a stream is resumed.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Returns whether the content type is that of an event stream.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = text(headers, &header::CONTENT_TYPE).unwrap_or_default();
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

/// Returns a header's value without surrounding whitespace, if it is visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Returns a header's value as a duration in milliseconds; a negative one is zero, and one that is too
/// large the largest.
pub(crate) fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let millis: f64 = text(headers, name)?.parse().ok().filter(|ms: &f64| !ms.is_nan())?;
    Some(Duration::try_from_secs_f64(millis.max(0.0) / 1_000.0).unwrap_or(Duration::MAX))
}

/// Returns a header's value as a number of things; one that is too large is the largest.
pub(crate) fn count(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    parse_count(text(headers, name)?)
}

/// Returns a text of decimal digits as a number; one that is too large is the largest.
pub(crate) fn parse_count(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().unwrap_or(u64::MAX))
}

/// Returns a header's value as a non-negative integer.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Returns what an endpoint says of itself in the head of an answer.
pub(crate) fn self_report(head: &http::Response<()>, names: &HeaderNames) -> SelfReport {
    let headers = head.headers();
    let is_unavailable = head.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after_s = decimal(headers, &header::RETRY_AFTER).filter(|_| is_unavailable);
    SelfReport {
        retry_after_ms: retry_after_s.map(|s| s.min(MAX_RETRY_AFTER_S) * 1_000.0),
        outstanding_requests: outstanding_requests(headers, &names.load),
        rate_limit_per_s: decimal(headers, &names.rate_limit)
            .map(|limit| limit.min(MAX_RATE_LIMIT_PER_S)),
        is_leaving: text(headers, &names.leaving) == Some("1"),
        slowdown_percent: slowdown_percent(headers, &names.load),
    }
}

/// Returns a header's value as a finite, non-negative decimal number.
fn decimal(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let number: f64 = text(headers, name)?.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Returns how many requests an endpoint reports as running or waiting in its load header.
fn outstanding_requests(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    let mut parts = text(headers, name)?.split(',').map(|p| p.trim().parse::<u32>());
    let running = parts.next()?.ok()?;
    let waiting = parts.next()?.ok()?;
    Some(running.saturating_add(waiting))
}

/// Returns the optional fourth value of the load header; the slots before it are not used.
fn slowdown_percent(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    text(headers, name)?.split(',').nth(3)?.trim().parse().ok()
}

pub(crate) fn from_number(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn outstanding_requests_are_running_plus_waiting() {
        let name = HeaderNames::default().load;
        let mut headers = HeaderMap::new();
        headers.insert(&name, HeaderValue::from_static("3, 4,8"));
        assert_eq!(outstanding_requests(&headers, &name), Some(7));
        headers.insert(&name, HeaderValue::from_static("3"));
        assert_eq!(outstanding_requests(&headers, &name), None);
    }

    /// Guards against a fourth value that makes the others unreadable, and the other way round.
    #[test]
    fn the_fourth_value_of_the_load_is_optional() {
        let names = HeaderNames::default();
        for (value, outstanding, slowdown) in [
            ("3,4,8", Some(7), None),
            ("3,4,8,250", Some(7), Some(250)),
            ("3, 4, 8, 100", Some(7), Some(100)),
            ("3,4,8,", Some(7), None),
            ("3,4,8,-5", Some(7), None),
            ("3,4,8,1.5", Some(7), None),
            ("x,4,8,250", None, Some(250)),
        ] {
            let mut head = http::Response::new(());
            head.headers_mut().insert(&names.load, HeaderValue::from_static(value));
            let report = self_report(&head, &names);
            assert_eq!(report.outstanding_requests, outstanding, "{value}");
            assert_eq!(report.slowdown_percent, slowdown, "{value}");
        }
    }

    /// Guards against a caller's time that is not a whole number and counts as none, so that endpoints
    /// are given the route's timeout.
    #[test]
    fn time_left_may_be_any_number() {
        let name = HeaderNames::default().time_left;
        let mut headers = HeaderMap::new();
        for (value, ms) in [
            ("1500", Some(1_500)),
            ("1500.0", Some(1_500)),
            ("1499.5", Some(1_499)),
            ("-3", Some(0)),
            ("soon", None),
            ("nan", None),
        ] {
            headers.insert(&name, HeaderValue::from_static(value));
            assert_eq!(millis(&headers, &name).map(|d| d.as_millis()), ms, "{value}");
        }
        headers.insert(&name, HeaderValue::from_static("1e300"));
        assert_eq!(millis(&headers, &name), Some(Duration::MAX));
    }

    #[test]
    fn a_rate_limit_is_a_non_negative_decimal_number() {
        let names = HeaderNames::default();
        for (value, limit) in [
            ("4", Some(4.0)),
            (" 1.8 ", Some(1.8)),
            ("0", Some(0.0)),
            ("-1", None),
            ("nan", None),
            ("inf", None),
            ("many", None),
        ] {
            let mut head = http::Response::new(());
            head.headers_mut().insert(&names.rate_limit, HeaderValue::from_static(value));
            assert_eq!(self_report(&head, &names).rate_limit_per_s, limit, "{value}");
        }
    }

    #[test]
    fn retry_after_counts_with_status_503_and_is_bounded() {
        let names = HeaderNames::default();
        for (status, value, ms) in [
            (503, "2.5", Some(2_500.0)),
            (503, "1e300", Some(MAX_RETRY_AFTER_S * 1_000.0)),
            (503, "Wed, 21 Oct 2015 07:28:00 GMT", None),
            (429, "2", None),
            (200, "2", None),
        ] {
            let mut head = http::Response::new(());
            *head.status_mut() = StatusCode::from_u16(status).unwrap();
            head.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(value));
            assert_eq!(self_report(&head, &names).retry_after_ms, ms, "{status} {value}");
        }
    }
}
