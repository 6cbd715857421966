//! What callers see of routes, keys, quotas and limits.

use baobabvane_gateway::{Configuration, Quota, QuotaUnit, Semantics};
use http::Method;

use crate::{
    endpoint::{Endpoint, Script},
    stage::{Stage, block_on, eventually, organisation, route},
};

#[test]
fn a_request_passes_unchanged_but_for_what_the_system_sets() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "done")]);
        let stage = Stage::new(&[&endpoint]).await;
        let headers = [
            ("baobabvane-time-left-ms", "1500"),
            ("baobabvane-expected-endpoint", "forged"),
            ("baobabvane-organisation", "forged"),
            ("authorization", "Bearer k1"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("x-end", "2"),
        ];
        let mut caller = stage.caller().await;
        let answer = caller.request(Method::POST, "/postings/a?b=c", &headers).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "done"));
        assert_eq!(answer.headers["baobabvane-signature"], "s");
        let seen = &endpoint.seen()[0];
        assert_eq!(seen.line, "POST /postings/a?b=c HTTP/1.1");
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.header("host"), Some("desk.example"));
        assert_eq!(seen.header("baobabvane-request-id"), Some("r1"));
        assert_eq!(seen.header("baobabvane-expected-endpoint"), Some("e1"));
        assert_eq!(seen.header("baobabvane-organisation"), None);
        assert_eq!(seen.header("authorization"), None);
        assert_eq!(seen.header("x-hop"), None);
        assert_eq!(seen.header("x-end"), Some("2"));
        let left: u64 = seen.header("baobabvane-time-left-ms").unwrap().parse().unwrap();
        assert!(left < 1_500, "{left}");
    });
}

#[test]
fn an_instance_is_ready_once_it_knows_configuration_and_endpoints() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let routes = vec![route("reads", Semantics::Idempotent)];
        let configuration = Configuration { version: 1, routes, ..Configuration::default() };
        let stage = Stage::unconfigured(configuration).await;
        assert_eq!(stage.ready_status().await, 503);
        let early = stage.get("/reads/").await;
        assert_eq!(early.status, 503);
        assert!(early.headers.contains_key("retry-after"));
        stage.feed.configuration_changed(stage.configuration.clone());
        assert_eq!(stage.ready_status().await, 503);
        stage.list(&[&endpoint]);
        assert_eq!(stage.ready_status().await, 200);
        assert_eq!(stage.get("/reads/").await.status, 200);
    });
}

#[test]
fn only_a_confirmed_configuration_says_that_there_is_no_route_or_key() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let configuration = Configuration {
            version: 1,
            routes: vec![route("reads", Semantics::Idempotent)],
            organisations: vec![organisation("growers", "k1")],
            ..Configuration::default()
        };
        let stage = Stage::unconfigured(configuration).await;
        stage.feed.configuration_changed(stage.configuration.clone());
        stage.list(&[&endpoint]);
        assert_eq!(stage.get("/other/").await.status, 503);
        assert_eq!(stage.get("/reads/").await.status, 503);
        stage.feed.configuration_confirmed();
        assert_eq!(stage.get("/other/").await.status, 404);
        assert_eq!(stage.get("/reads/").await.status, 401);
        let mut caller = stage.caller().await;
        let key = [("authorization", "Bearer k1")];
        let answer = caller.request(Method::GET, "/reads/", &key).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(endpoint.seen()[0].header("baobabvane-organisation"), Some("growers"));
    });
}

#[test]
fn an_older_configuration_changes_nothing() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let stage = Stage::new(&[&endpoint]).await;
        let newer = Configuration { version: 5, ..stage.configuration.clone() };
        stage.feed.configuration_changed(newer);
        stage.feed.configuration_changed(Configuration { version: 4, ..Configuration::default() });
        assert_eq!(stage.get("/reads/").await.status, 200);
    });
}

#[test]
fn an_organisation_over_its_quota_is_told_when_to_come_back() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let mut growers = organisation("growers", "k1");
        let unit = QuotaUnit::Requests;
        growers.quota = Some(Quota { unit, per_s: 0.001, burst: 1.0 });
        let configuration = Configuration {
            version: 1,
            routes: vec![route("reads", Semantics::Idempotent)],
            organisations: vec![growers, organisation("menders", "k2")],
            ..Configuration::default()
        };
        let stage = Stage::with(&[&endpoint], configuration).await;
        let mut caller = stage.caller().await;
        let answer = caller.request(Method::GET, "/reads/", &[("authorization", "Bearer k1")]);
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, 429);
        assert!(answer.headers.contains_key("retry-after"));
        let other = caller.request(Method::GET, "/reads/", &[("authorization", "Bearer k2")]);
        assert_eq!(other.await.unwrap().status, 200);
        assert_eq!(endpoint.seen().len(), 1);
    });
}

#[test]
fn a_caller_that_leaves_cancels_its_request() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Hang]);
        let stage = Stage::new(&[&endpoint]).await;
        let mut caller = stage.caller().await;
        caller.send(Method::POST, "/postings/", &[]).await.unwrap();
        eventually(|| endpoint.seen().len() == 1).await;
        drop(caller);
        eventually(|| endpoint.cancelled() == 1).await;
    });
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    block_on(async {
        let leaving = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "old")]);
        let staying = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "new")]);
        let stage = Stage::new(&[&leaving, &staying]).await;
        let mut sighting = leaving.sighting.clone();
        sighting.is_draining = true;
        stage.feed.endpoint_updated(sighting);
        for _ in 0..10 {
            assert_eq!(stage.get("/reads/").await.body, "new");
        }
        stage.feed.endpoint_removed("e2");
        assert_eq!(stage.get("/reads/").await.status, 503);
    });
}

#[test]
fn an_instance_that_watches_the_store_asks_again_within_half_of_the_bound() {
    block_on(async {
        let stage = Stage::new(&[]).await;
        let bound = std::time::Duration::from_secs(2);
        // An instance that is alone watches, and need not wait to be told so.
        stage.feed.until_must_poll(bound).await;
        for _ in 0..1_000 {
            let wait = stage.feed.draw_long_poll_timeout(bound);
            assert!(wait <= bound / 2 && wait >= bound / 4, "{wait:?}");
        }
    });
}
