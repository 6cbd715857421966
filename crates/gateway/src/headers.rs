//! The names of the headers that the gateway reads and sets.

use http::{HeaderMap, HeaderName, HeaderValue, header};

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

/// Headers of a message that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that concern one connection only.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}

/// Reads a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Reads a header as a number.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Reads an endpoint's word on its load: how many requests it holds.
pub(crate) fn load(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
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
    fn headers_of_one_connection_are_removed() {
        let mut headers = HeaderMap::new();
        for (name, value) in [("connection", "close, X-Hop"), ("x-hop", "1"), ("x-end", "2")] {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        remove_hop_by_hop(&mut headers);
        assert_eq!(headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-end"]);
    }

    #[test]
    fn a_load_counts_what_runs_and_what_waits() {
        let name = HeaderNames::default().load;
        let mut headers = HeaderMap::new();
        headers.insert(&name, HeaderValue::from_static("3, 4,8"));
        assert_eq!(load(&headers, &name), Some(7));
        headers.insert(&name, HeaderValue::from_static("3"));
        assert_eq!(load(&headers, &name), None);
    }
}
