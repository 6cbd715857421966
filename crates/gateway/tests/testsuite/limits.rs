//! Tests of what endpoints say of themselves in their answers.

use std::time::Duration;

use baobabvane_gateway::DiscoveredEndpoint;
use http::StatusCode;
use monoio::time::{Instant, sleep};

use crate::{
    endpoint::{Endpoint, Script},
    fixture::{GatewayFixture, WAIT_TIMEOUT, block_on},
};

/// Enough for an endpoint without a limit to get far more than [`MAX_LIMITED`].
const REQUESTS: usize = 200;
/// The users' bound on the requests in 4 s for a limit of 2 a second.
const MAX_LIMITED: usize = 3 * 4 + 5;

async fn start(endpoints: &[&Endpoint]) -> GatewayFixture {
    let gateway = GatewayFixture::start(endpoints).await;
    // No other instances exist, so the whole limit is this one's.
    gateway.feed.peers_registered(vec![]);
    gateway
}

#[test]
fn an_endpoint_gets_no_more_requests_than_the_rate_that_it_names() {
    block_on(async {
        let limited = Endpoint::spawn("e1", "desk", &[Script::RateLimited("2", "limited")]);
        let other = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "other")]);
        let gateway = start(&[&limited, &other]).await;
        let began_at = Instant::now();
        for _ in 0..REQUESTS {
            let answer = gateway.get("/reads/").await;
            assert_eq!(answer.status, StatusCode::OK);
            assert!(!answer.headers.contains_key("baobabvane-rate-limit"));
        }
        // On a slow machine the requests can take several times the bound's 4 s.
        let windows = 1 + began_at.elapsed().as_secs() as usize / 4;
        let received = limited.received_requests().len();
        assert!((1..=MAX_LIMITED * windows).contains(&received), "{received} requests");
    });
}

#[test]
fn a_rate_limit_ends_when_answers_no_longer_name_it() {
    block_on(async {
        let scripts = [Script::RateLimited("2", "limited"), Script::Answer(200, "free")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = start(&[&endpoint]).await;
        assert_eq!(gateway.get("/reads/").await.body, "limited");
        let began_at = Instant::now();
        while endpoint.received_requests().len() < REQUESTS {
            gateway.get("/reads/").await;
            assert!(began_at.elapsed() < WAIT_TIMEOUT, "the limit does not end");
            sleep(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn an_endpoint_that_says_it_is_leaving_gets_no_more_requests() {
    block_on(async {
        let leaving = Endpoint::spawn("e1", "desk", &[Script::Leaving("leaving")]);
        let stays = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "stays")]);
        let gateway = start(&[&leaving, &stays]).await;
        for _ in 0..REQUESTS {
            assert!(!gateway.get("/reads/").await.headers.contains_key("baobabvane-leaving"));
        }
        assert_eq!(leaving.received_requests().len(), 1);
        // Discovery does not know it yet; its entry changes in another respect.
        let entry = DiscoveredEndpoint { slots: 9, ..leaving.entry.clone() };
        gateway.feed.endpoint_updated(entry.clone());
        for _ in 0..REQUESTS {
            gateway.get("/reads/").await;
        }
        assert_eq!(leaving.received_requests().len(), 1);
        // A process that starts under the same id has said nothing.
        gateway.feed.endpoint_updated(DiscoveredEndpoint { started_ms: 2, ..entry });
        for _ in 0..REQUESTS {
            gateway.get("/reads/").await;
        }
        assert_eq!(leaving.received_requests().len(), 2);
    });
}

#[test]
fn an_endpoint_that_names_a_retry_after_gets_no_request_until_then() {
    block_on(async {
        let scripts = [Script::RetryAfter("2.5"), Script::Answer(200, "free")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = start(&[&endpoint]).await;
        let began_at = Instant::now();
        let free_at = loop {
            let answer = gateway.get("/reads/").await;
            if answer.status == StatusCode::OK {
                break began_at.elapsed();
            }
            assert_eq!(endpoint.received_requests().len(), 1);
            assert!(began_at.elapsed() < WAIT_TIMEOUT, "it gets no more requests");
            sleep(Duration::from_millis(5)).await;
        };
        assert!(free_at >= Duration::from_millis(2_500), "{free_at:?}");
    });
}

#[test]
fn callers_are_told_at_once_when_to_come_back_if_no_endpoint_wants_requests() {
    block_on(async {
        let full = Endpoint::spawn("e1", "desk", &[Script::RetryAfter("8")]);
        let gateway = start(&[&full]).await;
        gateway.get("/reads/").await;
        let answer = gateway.get("/reads/").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after = answer.headers["retry-after"].to_str().expect("a number");
        let seconds: f64 = retry_after.parse().expect("a number");
        assert!(seconds > 2.0 && seconds <= 8.0, "{seconds}");
        assert_eq!(full.received_requests().len(), 1);
    });
}
