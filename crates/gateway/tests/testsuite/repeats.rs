//! What is sent again, what is not, and what callers are told.

use std::time::Duration;

use baobabvane_gateway::{Configuration, Semantics};
use http::Method;

use crate::{
    endpoint::{Endpoint, Script},
    stage::{Stage, block_on, route},
};

#[test]
fn a_request_that_may_have_run_is_repeated_only_if_it_is_idempotent() {
    block_on(async {
        for script in [Script::Lose, Script::Garbage, Script::Unsigned] {
            let scripts = [script.clone(), Script::Answer(200, "done")];
            let endpoint = Endpoint::spawn("e1", "desk", &scripts);
            let stage = Stage::new(&[&endpoint]).await;
            assert_eq!(stage.get("/reads/").await.body, "done", "{script:?}");
            assert_eq!(endpoint.seen().len(), 2);

            let endpoint = Endpoint::spawn("e1", "desk", &scripts);
            let stage = Stage::new(&[&endpoint]).await;
            assert_eq!(stage.post("/postings/").await.status, 502, "{script:?}");
            assert_eq!(endpoint.seen().len(), 1);
        }
    });
}

#[test]
fn a_request_that_has_not_run_goes_to_another_endpoint() {
    block_on(async {
        let scripts = [Script::NotExecuted, Script::Answer(200, "done")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let stage = Stage::new(&[&endpoint]).await;
        assert_eq!(stage.post("/postings/").await.body, "done");
        assert_eq!(endpoint.seen().len(), 2);
    });
}

#[test]
fn no_more_endpoints_are_tried_than_the_route_allows() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::NotExecuted]);
        let mut once = route("once", Semantics::NonIdempotent);
        once.max_attempts = 1;
        let configuration =
            Configuration { version: 1, routes: vec![once], ..Configuration::default() };
        let stage = Stage::with(&[&endpoint], configuration).await;
        let answer = stage.post("/once/").await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(endpoint.seen().len(), 1);
    });
}

#[test]
fn an_error_of_the_endpoint_is_passed_on_when_it_may_not_be_repeated() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(500, "no")]);
        let stage = Stage::new(&[&endpoint]).await;
        let answer = stage.post("/postings/").await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (500, "no"));
        assert_eq!(answer.headers["baobabvane-signature"], "s");
        assert_eq!(endpoint.seen().len(), 1);
        assert_eq!(stage.get("/reads/").await.status, 500);
    });
}

#[test]
fn an_endpoint_that_nothing_reached_costs_no_try() {
    block_on(async {
        let unreached = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let mut gone = unreached.clone();
        // A port that was free a moment ago and has no listener.
        let free = monoio::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        gone.sighting.address = free;
        let endpoint = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "done")]);
        let mut once = route("once", Semantics::NonIdempotent);
        once.max_attempts = 1;
        let configuration =
            Configuration { version: 1, routes: vec![once], ..Configuration::default() };
        let stage = Stage::with(&[&gone, &endpoint], configuration).await;
        for _ in 0..4 {
            assert_eq!(stage.post("/once/").await.body, "done");
        }
    });
}

#[test]
fn an_address_that_answers_for_another_endpoint_is_left() {
    block_on(async {
        let stale = Endpoint::spawn("e1", "desk", &[Script::Misdirected]);
        let endpoint = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "done")]);
        let stage = Stage::new(&[&stale, &endpoint]).await;
        for _ in 0..10 {
            assert_eq!(stage.post("/postings/").await.body, "done");
        }
        assert!(stale.seen().len() <= 1);
    });
}

#[test]
fn answers_to_other_requests_are_never_passed_on() {
    block_on(async {
        let scripts = [
            Script::ExtraFirst("one"),
            Script::ExtraBehind("two"),
            Script::Answer(200, "three"),
            Script::UntilClose("four"),
            Script::Answer(200, "five"),
        ];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let stage = Stage::new(&[&endpoint]).await;
        let mut caller = stage.caller().await;
        for expected in ["one", "two", "three", "four", "five"] {
            let answer = caller.request(Method::POST, "/postings/", &[]).await.unwrap();
            assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, expected));
        }
    });
}

#[test]
fn a_request_gets_its_final_answer_at_the_time_limit_of_its_route() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Hang]);
        let mut quick = route("quick", Semantics::NonIdempotent);
        quick.timeout_ms = 200;
        let configuration =
            Configuration { version: 1, routes: vec![quick], ..Configuration::default() };
        let stage = Stage::with(&[&endpoint], configuration).await;
        let began = monoio::time::Instant::now();
        assert_eq!(stage.post("/quick/").await.status, 504);
        assert!(began.elapsed() >= Duration::from_millis(200));
    });
}
