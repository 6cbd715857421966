//! Tests of what ends an answer and which status lines an endpoint may send.

use std::time::Duration;

use baobabvane_gateway::{Configuration, Route, Semantics, Target};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};

use crate::{
    endpoint::{EarlyAnswer, Endpoint, Script},
    fixture::{Answer, GatewayFixture, HOST, block_on, route},
};

/// Starts a gateway with a route for bookings and one for streams that may not be resumed.
async fn start_gateway(endpoint: &EarlyAnswer) -> GatewayFixture {
    let routes = [("postings", Semantics::NonIdempotent), ("quotes", Semantics::Stream)];
    let routes = routes.map(|(name, semantics)| route(name, semantics)).to_vec();
    let configuration = Configuration { version: 1, routes, ..Configuration::default() };
    let gateway = GatewayFixture::start_with(&[], configuration).await;
    gateway.list_entries(vec![endpoint.entry.clone()]);
    gateway
}

/// Sends a body; returns `None` if the answer breaks off.
async fn upload(gateway: &GatewayFixture, path: &str, len: usize) -> Option<Answer> {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static(HOST));
    headers.insert("baobabvane-request-id", HeaderValue::from_static("r1"));
    let mut caller = gateway.connect_caller().await;
    let body = Bytes::from(vec![b'x'; len]);
    caller.send_body(Method::POST, path, &headers, body).await.ok()?;
    caller.read_answer(&Method::POST).await.ok()
}

/// Guards against a part of an answer without length that is taken for all of it when its endpoint
/// resets the connection while the request is still being written (MIXED).
#[test]
fn an_answer_without_length_that_is_reset_during_an_upload_never_looks_complete() {
    let plain =
        "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\nbaobabvane-signature: s\r\n\r\npart";
    let stream = "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\nbaobabvane-signature: s\r\n\
                  content-type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n";
    for (path, start) in [("/postings/", plain), ("/quotes/", stream)] {
        for upload_bytes in [20_000, 400_000, 3_000_000] {
            for (read_bytes, delay_ms) in
                [(0, 0), (0, 20), (0, 100), (upload_bytes / 2, 0), (upload_bytes / 2, 50)]
            {
                block_on(async {
                    let delay = Duration::from_millis(delay_ms);
                    let endpoint = EarlyAnswer::spawn("e1", "desk", start, read_bytes, delay);
                    let gateway = start_gateway(&endpoint).await;
                    let answer = upload(&gateway, path, upload_bytes).await;
                    let form = (path, upload_bytes, read_bytes, delay_ms);
                    assert!(answer.is_none_or(|a| a.status == StatusCode::BAD_GATEWAY), "{form:?}");
                });
            }
        }
    }
}

/// Guards against statuses that are none in HTTP and reach the caller as such (MIXED).
#[test]
fn answers_whose_status_is_none_become_502() {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 00 OK",
        "HTTP/1.1 007 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 101 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 799 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 1000 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 1e2 OK",
        "HTTP/1.1 0x2 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1",
        "HTTP/2.0 200 OK",
        "200 OK",
    ];
    for line in lines {
        for path in ["/postings/", "/quotes/"] {
            block_on(async {
                let start = format!(
                    "{line}\r\nbaobabvane-request-id: {{id}}\r\nbaobabvane-signature: s\r\n\
                     content-length: 4\r\n\r\ndone"
                );
                let wait = Duration::from_millis(200);
                let endpoint = EarlyAnswer::spawn("e1", "desk", &start, 4, wait);
                let gateway = start_gateway(&endpoint).await;
                let answer = upload(&gateway, path, 4).await.expect("an answer");
                assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{line}");
            });
        }
    }
}

/// Guards against a body behind an answer to HEAD, which the caller takes for the beginning of its next
/// answer (MIXED, review/10).
#[test]
fn no_bytes_follow_an_answer_to_head() {
    block_on(async {
        let routes = [
            ("postings", Semantics::NonIdempotent, "desk"),
            ("quotes", Semantics::Stream, "streams"),
            ("empty", Semantics::NonIdempotent, "none"),
        ];
        let routes = routes.map(|(name, semantics, pool)| Route {
            targets: vec![Target { pool: pool.to_owned(), weight: 1.0 }],
            ..route(name, semantics)
        });
        let configuration =
            Configuration { version: 1, routes: routes.to_vec(), ..Configuration::default() };
        let desk = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "done")]);
        let streams = Endpoint::spawn("e2", "streams", &[Script::Events(3)]);
        let gateway = GatewayFixture::start_with(&[&desk, &streams], configuration).await;
        let mut caller = gateway.connect_caller().await;
        for (path, status) in
            [("/none/", 404), ("/empty/", 503), ("/postings/", 200), ("/quotes/", 200)]
        {
            let head = caller.request(Method::HEAD, path, &[]).await.expect("an answer");
            assert_eq!((head.status.as_u16(), head.body.as_str()), (status, ""), "{path}");
            let next = caller.request(Method::GET, "/postings/", &[]).await.expect("an answer");
            assert_eq!((next.status.as_u16(), next.body.as_str()), (200, "done"), "{path}");
        }
    });
}

/// Guards against a status that promises that a request has not run, from an endpoint that ran it and does
/// not say otherwise; its caller would send the request again (REFUSED, more-refused).
#[test]
fn a_status_that_promises_that_a_request_has_not_run_is_not_forwarded_if_it_has() {
    for status in [408, 429, 503] {
        for semantics in [Semantics::NonIdempotent, Semantics::Idempotent, Semantics::Stream] {
            block_on(async {
                let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(status, "away")]);
                let configuration = Configuration {
                    version: 1,
                    routes: vec![route("orders", semantics)],
                    ..Configuration::default()
                };
                let gateway = GatewayFixture::start_with(&[&endpoint], configuration).await;
                let answer = gateway.post("/orders/").await;
                assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status} {semantics:?}");
                assert!(!answer.headers.contains_key("baobabvane-signature"));
                let runs = endpoint.received_requests().len();
                assert_eq!(runs == 1, semantics != Semantics::Idempotent, "{runs} runs");
            });
        }
    }
}

/// Guards against numbers that an endpoint states about itself and that no sum or clock can hold: the
/// request's task, or the scheduler, ended (LOST).
#[test]
fn any_number_that_an_endpoint_states_of_itself_is_borne() {
    for line in [
        "keep-alive: timeout=18446744073709551615",
        "keep-alive: timeout=9223372036854775808",
        "baobabvane-rate-limit: 1e300",
        "baobabvane-rate-limit: 4294967295",
        "baobabvane-load: 4294967295,4294967295,4294967295,4294967295",
        "retry-after: 1e300",
    ] {
        block_on(async {
            let start = format!(
                "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {{id}}\r\nbaobabvane-signature: s\r\n\
                 {line}\r\ncontent-length: 4\r\n\r\ndone"
            );
            let wait = Duration::from_millis(100);
            let endpoint = EarlyAnswer::spawn("e1", "desk", &start, 4, wait);
            let gateway = start_gateway(&endpoint).await;
            for _ in 0..3 {
                let answer = upload(&gateway, "/postings/", 4).await;
                assert!(answer.is_some_and(|a| a.status == StatusCode::OK), "{line}");
                monoio::time::sleep(2 * wait).await;
            }
        });
    }
}
