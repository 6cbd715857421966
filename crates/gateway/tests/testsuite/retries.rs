//! Tests of which requests are retried and what callers receive otherwise.

use std::time::Duration;

use baobabvane_gateway::{Configuration, Semantics};
use http::Method;
use monoio::time::timeout;

use crate::{
    endpoint::{Endpoint, Script},
    fixture::{GatewayFixture, MAX_ENDLESS_BYTES, block_on, eventually, route},
};

#[test]
fn request_that_may_have_run_is_retried_only_if_idempotent() {
    block_on(async {
        for script in [Script::CloseWithoutAnswer, Script::Garbage, Script::Unsigned] {
            let scripts = [script.clone(), Script::Answer(200, "done")];
            let endpoint = Endpoint::spawn("e1", "desk", &scripts);
            let gateway = GatewayFixture::start(&[&endpoint]).await;
            assert_eq!(gateway.get("/reads/").await.body, "done", "{script:?}");
            assert_eq!(endpoint.received_requests().len(), 2);

            let endpoint = Endpoint::spawn("e1", "desk", &scripts);
            let gateway = GatewayFixture::start(&[&endpoint]).await;
            assert_eq!(gateway.post("/postings/").await.status, 502, "{script:?}");
            assert_eq!(endpoint.received_requests().len(), 1);
        }
    });
}

#[test]
fn request_that_was_not_executed_is_retried() {
    block_on(async {
        let scripts = [Script::NotExecuted, Script::Answer(200, "done")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(gateway.post("/postings/").await.body, "done");
        assert_eq!(endpoint.received_requests().len(), 2);
    });
}

#[test]
fn attempts_are_limited_by_the_route() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::NotExecuted]);
        let mut single_attempt_route = route("once", Semantics::NonIdempotent);
        single_attempt_route.max_attempts = 1;
        let configuration = Configuration {
            version: 1,
            routes: vec![single_attempt_route],
            ..Configuration::default()
        };
        let gateway = GatewayFixture::start_with(&[&endpoint], configuration).await;
        let answer = gateway.post("/once/").await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(endpoint.received_requests().len(), 1);
    });
}

#[test]
fn endpoint_error_is_forwarded_if_the_request_may_not_be_retried() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(500, "no")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let answer = gateway.post("/postings/").await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (500, "no"));
        assert_eq!(answer.headers["baobabvane-signature"], "s");
        assert_eq!(endpoint.received_requests().len(), 1);
        assert_eq!(gateway.get("/reads/").await.status, 500);
    });
}

#[test]
fn failed_connection_does_not_count_as_an_attempt() {
    block_on(async {
        let reachable = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let mut unreachable = reachable.clone();
        // The listener is dropped at once, so connections to its address are refused.
        let unused_address =
            monoio::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        unreachable.entry.address = unused_address;
        let endpoint = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "done")]);
        let mut single_attempt_route = route("once", Semantics::NonIdempotent);
        single_attempt_route.max_attempts = 1;
        let configuration = Configuration {
            version: 1,
            routes: vec![single_attempt_route],
            ..Configuration::default()
        };
        let gateway = GatewayFixture::start_with(&[&unreachable, &endpoint], configuration).await;
        for _ in 0..4 {
            assert_eq!(gateway.post("/once/").await.body, "done");
        }
    });
}

#[test]
fn endpoint_that_answers_421_gets_no_more_requests() {
    block_on(async {
        let misdirecting = Endpoint::spawn("e1", "desk", &[Script::Misdirected]);
        let endpoint = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "done")]);
        let gateway = GatewayFixture::start(&[&misdirecting, &endpoint]).await;
        for _ in 0..10 {
            assert_eq!(gateway.post("/postings/").await.body, "done");
        }
        assert!(misdirecting.received_requests().len() <= 1);
    });
}

#[test]
fn answers_to_other_requests_are_never_forwarded() {
    block_on(async {
        let scripts = [
            Script::ForeignAnswerBefore("one"),
            Script::ForeignAnswerAfter("two"),
            Script::Answer(200, "three"),
            Script::UntilClose("four"),
            Script::Answer(200, "five"),
        ];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let mut caller = gateway.connect_caller().await;
        for expected in ["one", "two", "three", "four", "five"] {
            let answer = caller.request(Method::POST, "/postings/", &[]).await.unwrap();
            assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, expected));
        }
    });
}

#[test]
fn request_times_out_with_504_at_the_timeout_of_its_route() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Hang]);
        let mut short_route = route("quick", Semantics::NonIdempotent);
        short_route.timeout_ms = 200;
        let configuration =
            Configuration { version: 1, routes: vec![short_route], ..Configuration::default() };
        let gateway = GatewayFixture::start_with(&[&endpoint], configuration).await;
        let started_at = monoio::time::Instant::now();
        assert_eq!(gateway.post("/quick/").await.status, 504);
        assert!(started_at.elapsed() >= Duration::from_millis(200));
    });
}

#[test]
fn answers_without_end_are_cut_and_the_request_is_retried() {
    for script in [Script::EndlessHead, Script::EndlessBody, Script::EndlessRefusal] {
        block_on(async {
            let endpoint =
                Endpoint::spawn("e1", "desk", &[script.clone(), Script::Answer(200, "done")]);
            let gateway = GatewayFixture::start(&[&endpoint]).await;
            let answer = timeout(Duration::from_secs(10), gateway.get("/reads/")).await;
            let answer = answer.unwrap_or_else(|_| panic!("{script:?} is not cut"));
            assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "done"), "{script:?}");
            eventually(|| endpoint.cancelled_requests() == 1).await;
            let bytes = endpoint.endless_bytes();
            assert!(bytes < MAX_ENDLESS_BYTES, "{script:?}: {bytes}");
        });
    }
}

#[test]
fn many_answers_without_end_at_once_are_all_cut() {
    block_on(async {
        let endpoints: Vec<Endpoint> = (0..6)
            .map(|i| Endpoint::spawn(&format!("e{i}"), "desk", &[Script::EndlessBody]))
            .collect();
        let gateway = GatewayFixture::start(&endpoints.iter().collect::<Vec<_>>()).await;
        let requests = (0..6).map(|_| gateway.post("/postings/"));
        for answer in futures::future::join_all(requests).await {
            assert_eq!(answer.status, 502);
        }
        let cancelled = || endpoints.iter().map(Endpoint::cancelled_requests).sum::<u32>();
        eventually(|| cancelled() == 6).await;
    });
}

#[test]
fn an_earlier_refusal_that_is_written_again_does_not_make_a_request_run_twice() {
    block_on(async {
        let scripts = [Script::NotExecutedAndAgain("first"), Script::Answer(200, "second")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let answer = gateway.post("/postings/").await;
        assert_eq!(answer.status.as_u16(), 200);
        // One was refused, one ran.
        assert_eq!(endpoint.received_requests().len(), 2);
    });
}

#[test]
fn a_refusal_without_an_id_on_a_kept_connection_says_nothing_of_the_request() {
    block_on(async {
        let scripts = [Script::Answer(200, "first"), Script::AnonymousRefusalBefore("second")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(gateway.post("/postings/").await.body, "first");
        // The request runs, so the caller must not be told that it has not, nor may it run again.
        assert_eq!(gateway.post("/postings/").await.status.as_u16(), 502);
        assert_eq!(endpoint.received_requests().len(), 2);
    });
}

/// The head of a signed answer up to the headers that state the length of its body.
macro_rules! head {
    ($content_type:literal, $rest:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nbaobabvane-request-id: {id}\r\nbaobabvane-signature: s\r\n",
            "content-type: ",
            $content_type,
            "\r\n",
            $rest
        )
    };
}

/// Returns the length of an answer up to which a cut shows, for a request with the id `r1`.
fn shortest_complete(answer: &str) -> usize {
    let answer = answer.replace("{id}", "r1");
    let head_len = answer.find("\r\n\r\n").expect("the head has an end") + 4;
    // Without a length, the first byte of the body may be all of it.
    if answer.contains("content-length") || answer.contains("chunked") {
        answer.len()
    } else if answer.contains("event-stream") {
        answer.find("\n\n").expect("the stream has an event").max(head_len) + 2
    } else {
        head_len + 1
    }
}

/// Guards against an endpoint that stops in the middle of its answer and whose caller gets a part of
/// it, or nothing, as a whole answer.
#[test]
fn an_answer_that_is_cut_anywhere_never_looks_complete() {
    let answers = [
        ("/postings/", head!("text/plain", "content-length: 4\r\n\r\ndone")),
        (
            "/postings/",
            head!("text/plain", "transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"),
        ),
        ("/postings/", head!("text/plain", "connection: close\r\n\r\ndone")),
        ("/quotes/", head!("text/event-stream", "content-length: 16\r\n\r\nid: 1\ndata: 1\n\n\n")),
        (
            "/quotes/",
            head!(
                "text/event-stream",
                "transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n"
            ),
        ),
        ("/quotes/", head!("text/event-stream", "\r\nid: 1\ndata: 1\n\n")),
    ];
    for (path, answer) in answers {
        let complete = shortest_complete(answer);
        // Each of the last bytes, and some of those before.
        let lens = (0..=complete).filter(|len| len % 9 == 0 || complete - len < 24);
        for (len, is_kept) in lens.flat_map(|len| [(len, false), (len, true)]) {
            block_on(async {
                let mut scripts = vec![Script::Truncated(answer, len)];
                if is_kept {
                    scripts.insert(0, Script::Answer(404, "first"));
                }
                let endpoint = Endpoint::spawn("e1", "desk", &scripts);
                let gateway = GatewayFixture::start(&[&endpoint]).await;
                if is_kept {
                    assert_eq!(gateway.post(path).await.status, 404);
                }
                let mut caller = gateway.connect_caller().await;
                let result = caller.request(Method::POST, path, &[]).await;
                let looks_complete = result.is_ok_and(|answer| answer.status.is_success());
                assert_eq!(looks_complete, len == complete, "{answer:?} cut at {len}");
            });
        }
    }
}
