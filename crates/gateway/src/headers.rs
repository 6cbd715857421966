//! The names of the headers that the gateway reads and sets.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Header names that differ between deployments; an adapter fills them in.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Names one try of a caller; echoed in the answer.
    pub request_id: HeaderName,
    /// How many milliseconds the sender of a request waits for the answer.
    pub time_left: HeaderName,
    /// Tokens of the prompt and the longest answer, separated by a comma.
    pub token_usage: HeaderName,
    /// The caller's estimate of the answer's tokens.
    pub length_hint: HeaderName,
    /// Parts of the prompt in order, as comma-separated ID:TOKENS.
    pub prompt_parts: HeaderName,
    /// Names the endpoint that may run the request; another one answers 421.
    pub expected_endpoint: HeaderName,
    /// Tells an endpoint whose request it is.
    pub organisation: HeaderName,
    /// An endpoint's signature of its answer.
    pub signature: HeaderName,
    /// An endpoint's requests that run and wait, and its slots, separated by commas.
    pub load: HeaderName,
    /// An endpoint's word that it did not run the request.
    pub not_executed: HeaderName,
    /// Further headers that only the system may set.
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
            not_executed: name("baobabvane-not-executed"),
            reserved: Vec::new(),
        }
    }
}

/// The header that tells after which event a stream goes on.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Reads a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Reads a header as a number.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Reads an endpoint's word on its load: how many requests it holds.
pub(crate) fn outstanding_requests(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    let mut parts = text(headers, name)?.split(',').map(|p| p.trim().parse::<u32>());
    let running = parts.next()?.ok()?;
    let waiting = parts.next()?.ok()?;
    Some(running.saturating_add(waiting))
}

/// Writes a number as a header's value.
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
}
