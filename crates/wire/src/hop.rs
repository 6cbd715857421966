//! Removes hop-by-hop headers, which apply to one connection and must not be forwarded.

use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop headers that are removed even if `Connection` does not list them.
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

/// Removes all hop-by-hop headers, including those that the `Connection` header lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&connection_options) {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests {
    use http::HeaderValue;

    use super::*;

    #[test]
    fn hop_by_hop_headers_are_removed() {
        let mut headers = HeaderMap::new();
        for (name, value) in [("connection", "close, X-Hop"), ("x-hop", "1"), ("x-end", "2")] {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        remove_hop_by_hop(&mut headers);
        assert_eq!(headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-end"]);
    }
}
