//! Tests of endpoints that send bytes without end: each answer is bounded in bytes and in time, and
//! other requests are served meanwhile.

use std::time::Duration;

use baobabvane_gateway::{Configuration, Semantics, Target};
use monoio::time::{sleep, timeout};

use crate::{
    endpoint::{Endpoint, Flood, FloodOutcome, Script},
    fixture::{GatewayFixture, MAX_ENDLESS_BYTES, block_on, route},
};

/// The timeout of the flooded routes, which ends what stays below the bounds in bytes.
const TIMEOUT_MS: u64 = 1_500;
/// How long a request may take that has nothing to do with the flood.
const SOUND_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a gateway whose pool `flood` has the flooding endpoint, and `desk` a sound one.
async fn start_gateway(flood: &Flood, sound: &Endpoint) -> GatewayFixture {
    let routes = [
        ("postings", Semantics::NonIdempotent, "flood"),
        ("quotes", Semantics::Stream, "flood"),
        ("reads", Semantics::NonIdempotent, "desk"),
    ];
    let routes = routes.map(|(name, semantics, pool)| {
        let mut route = route(name, semantics);
        route.timeout_ms = TIMEOUT_MS;
        route.targets = vec![Target { pool: pool.to_owned(), weight: 1.0 }];
        route
    });
    let configuration =
        Configuration { version: 1, routes: routes.to_vec(), ..Configuration::default() };
    let gateway = GatewayFixture::start_with(&[], configuration).await;
    gateway.list_entries(vec![flood.entry.clone(), sound.entry.clone()]);
    gateway
}

/// Sends a request that the endpoint answers with a flood; checks that the gateway ends it and
/// serves other requests meanwhile.
async fn check_flood(path: &str, start: &str, repeated: &[u8]) {
    let case = format!("{path} {start:?} {:?}", String::from_utf8_lossy(repeated));
    let flood = Flood::spawn("e1", "flood", start, repeated);
    let sound = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "done")]);
    let gateway = start_gateway(&flood, &sound).await;
    let mut caller = gateway.connect_caller().await;
    caller.send(http::Method::POST, path, &[]).await.expect("the gateway reads");
    let outcome: FloodOutcome = loop {
        if let Some(outcome) = flood.outcome() {
            break outcome;
        }
        let answer = timeout(SOUND_REQUEST_TIMEOUT, gateway.post("/reads/")).await;
        assert_eq!(answer.expect("sound requests are served").body, "done", "{case}");
        sleep(Duration::from_millis(5)).await;
    };
    assert!(outcome.was_closed, "{case}: {outcome:?}");
    assert!(outcome.bytes < MAX_ENDLESS_BYTES, "{case}: {outcome:?}");
    if let Ok(answer) = caller.read_answer(&http::Method::POST).await {
        assert!(!answer.status.is_success(), "{case}: {answer:?} looks complete");
    }
}

/// Guards against interim responses that are read for ever, while nothing else runs.
#[test]
fn informational_responses_without_end_are_cut() {
    block_on(async {
        for path in ["/postings/", "/quotes/"] {
            check_flood(path, "", b"HTTP/1.1 100 \r\n\r\n").await;
        }
    });
}

/// Guards against bytes in place of a head, or of a part of it, that are all kept in memory.
#[test]
fn bytes_without_end_in_place_of_a_head_are_cut() {
    block_on(async {
        let forms: [(&str, &[u8]); 8] = [
            ("", b"\r\n"),
            ("", b"\n"),
            ("", b"\0"),
            ("", b"HTTP/1.1 200 OK"),
            ("\r\n", b"HTTP/1.1 200 OK\r\n"),
            ("HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
            ("HTTP/1.1 200 OK\r\nx: ", b"y"),
            ("HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\n", b"\r"),
        ];
        for (start, repeated) in forms {
            check_flood("/postings/", start, repeated).await;
        }
    });
}

const CHUNKED_STREAM: &str = "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\n\
     baobabvane-signature: s\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\n";
const STREAM_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\n\
     baobabvane-signature: s\r\ncontent-type: text/event-stream\r\n\r\n";

/// Guards against bodies whose bytes are handled without a pause, so that nothing else runs.
#[test]
fn bytes_without_end_in_place_of_events_are_cut() {
    let lines_in_chunk = format!("{:x}\r\n{}\r\n", 16_384, "\n".repeat(16_384));
    block_on(async {
        let forms: [(&str, &[u8]); 9] = [
            (CHUNKED_STREAM, lines_in_chunk.as_bytes()),
            (CHUNKED_STREAM, b"1\r\n\n\r\n"),
            (CHUNKED_STREAM, b"3\r\n:\n\n\r\n"),
            (CHUNKED_STREAM, b"0"),
            (CHUNKED_STREAM, b"\r\n"),
            (STREAM_UNTIL_CLOSE, b"\n"),
            (STREAM_UNTIL_CLOSE, b"\r\n"),
            (STREAM_UNTIL_CLOSE, b": x\n\n"),
            (STREAM_UNTIL_CLOSE, b"x"),
        ];
        for (start, repeated) in forms {
            check_flood("/quotes/", start, repeated).await;
        }
    });
}

/// Guards against answers whose bytes are all in order, but too many.
#[test]
fn bodies_without_end_are_cut() {
    let chunked = CHUNKED_STREAM.replace("event-stream", "plain");
    let with_length = chunked.replace("transfer-encoding: chunked", "content-length: 99999999999");
    let until_close = STREAM_UNTIL_CLOSE.replace("event-stream", "plain");
    block_on(async {
        let forms: [(&str, &[u8]); 5] = [
            (&chunked, b"1\r\nx\r\n"),
            (&chunked, b"400\r\n"),
            (&with_length, b"x"),
            (&until_close, b"x"),
            (&until_close, b"\r\n"),
        ];
        for (start, repeated) in forms {
            check_flood("/postings/", start, repeated).await;
        }
    });
}
