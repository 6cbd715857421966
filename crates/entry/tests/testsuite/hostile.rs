//! Malformed, ambiguous, oversized and truncated requests: the instance rejects them, forwards none
//! to an endpoint, and neither crashes nor hangs.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::fleet::EmbeddedFleet;

/// Number of random or mutated requests that the fuzz test sends.
const RANDOM_REQUEST_COUNT: usize = 10_000;
/// Limit for one read; long enough that only a hanging instance exceeds it.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

fn start_fleet() -> EmbeddedFleet {
    EmbeddedFleet::new()
        .service("bookings")
        .engine("advice-1", 0, 0)
        .instance_with("entry-a", "zone-a", |settings| {
            settings.head_timeout_ms = 200;
            settings.body_timeout_ms = 200;
            settings.body_bytes = 2048;
            settings.head_bytes = 2048;
        })
        .apply("basic.toml", "entry-a")
}

/// Sends `bytes` on a new connection, shuts down its write side if `closes_write_side`, and returns
/// everything read until the instance closes the connection. Panics if a read times out.
fn send_raw(address: SocketAddr, bytes: &[u8], closes_write_side: bool) -> String {
    let mut stream = TcpStream::connect(address).expect("the instance accepts");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout above zero");
    let _ = stream.write_all(bytes);
    if closes_write_side {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            panic!("the instance hangs on {:?}", String::from_utf8_lossy(bytes))
        }
        _ => String::from_utf8_lossy(&answer).into_owned(),
    }
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Returns a booking request with a valid API key and a new idempotency key. `rest` holds the
/// remaining headers and the body.
fn authorised_request(rest: &str) -> String {
    let key = baobabvane_domain::Uuid::now_v7();
    format!(
        "POST /v1/kinds/booking/orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer naran-key\r\n\
         idempotency-key: {key}\r\n{rest}"
    )
}

#[test]
fn ambiguous_and_malformed_requests_are_rejected_and_not_forwarded() {
    let fleet = start_fleet();
    let address = fleet.instances["entry-a"].caller_address();
    let cases = [
        (
            "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            "400",
        ),
        ("transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\nabc", "400"),
        ("content-length: 3\r\ncontent-length: 4\r\n\r\nabcd", "400"),
        ("content-length: 3, 3\r\n\r\nabc", "400"),
        ("content-length: -1\r\n\r\n", "400"),
        ("content-length: 0x3\r\n\r\nabc", "400"),
        ("transfer-encoding: xchunked\r\n\r\n0\r\n\r\n", "400"),
        ("transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n", "400"),
        ("transfer-encoding : chunked\r\n\r\n0\r\n\r\n", "400"),
        ("transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "400"),
        ("transfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nabc", "400"),
        // Buffered bytes count towards the chunk size limit, not the size that the chunk states.
        ("transfer-encoding: chunked\r\n\r\nfffff\r\nabc", "408"),
        ("x: 1\ncontent-length: 3\n\nabc\r\n\r\n", "400"),
        ("content-length: 999999\r\n\r\nabc", "413"),
        ("content-length: 10\r\n\r\nabc", "408"),
        ("x: y", "408"),
    ];
    for (rest, expected) in cases {
        let answer = send_raw(address, authorised_request(rest).as_bytes(), false);
        assert_eq!(status(&answer), expected, "{rest:?} got {answer:?}");
        assert!(answer.contains("\"verdict\":\"not_run\""), "{answer:?}");
    }
    assert_eq!(fleet.services["bookings"].calls(), 0);
}

#[test]
fn oversized_heads_are_rejected() {
    let fleet = start_fleet();
    let address = fleet.instances["entry-a"].caller_address();
    let long_header = format!("GET /livez HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(3000));
    assert_eq!(status(&send_raw(address, long_header.as_bytes(), false)), "431");
    let many_headers = format!("GET /livez HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    assert_eq!(status(&send_raw(address, many_headers.as_bytes(), false)), "431");
    let endless = vec![b'a'; 100_000];
    assert_eq!(status(&send_raw(address, &endless, false)), "431");
}

#[test]
fn truncated_requests_are_not_forwarded() {
    let fleet = start_fleet();
    let address = fleet.instances["entry-a"].caller_address();
    let request = authorised_request("content-length: 5\r\n\r\n{ } \n");
    for cut in 0..request.len() {
        send_raw(address, &request.as_bytes()[..cut], true);
    }
    assert_eq!(fleet.services["bookings"].calls(), 0);
}

#[test]
fn random_and_mutated_requests_neither_crash_nor_hang_an_instance() {
    let fleet = start_fleet();
    let address = fleet.instances["entry-a"].caller_address();
    let mut rng = SmallRng::seed_from_u64(7);
    let template =
        authorised_request("content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n{ } \n");
    for round in 0..RANDOM_REQUEST_COUNT {
        let bytes: Vec<u8> = if round % 2 == 0 {
            (0..rng.random_range(0..200)).map(|_| rng.random()).collect()
        } else {
            mutate_request(template.as_bytes(), &mut rng)
        };
        send_raw(address, &bytes, true);
    }
    assert_eq!(
        status(&send_raw(address, b"GET /livez HTTP/1.1\r\nconnection: close\r\n\r\n", false)),
        "200"
    );
    assert_eq!(fleet.services["bookings"].calls(), 0);
}

/// Overwrites, removes or duplicates a byte, one to three times. The result is never a valid request.
fn mutate_request(template: &[u8], rng: &mut SmallRng) -> Vec<u8> {
    let mut bytes = template.to_vec();
    for _ in 0..rng.random_range(1..4) {
        // Keeps the last 80 bytes, which contain the body and the last two headers. Those headers
        // frame the body in conflicting ways, which makes the request invalid.
        let at = rng.random_range(0..bytes.len() - 80);
        match rng.random_range(0..3) {
            0 => bytes[at] = rng.random(),
            1 => drop(bytes.remove(at)),
            _ => bytes.insert(at, bytes[at]),
        }
    }
    bytes
}
