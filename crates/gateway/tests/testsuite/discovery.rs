//! Tests of endpoint lists that instances fetch from each other.

use std::time::Duration;

use baobabvane_gateway::{Configuration, LogPosition, Semantics};
use http::StatusCode;
use monoio::time::{Instant, sleep};

use crate::{
    endpoint::{Endpoint, Script},
    fixture::{GatewayFixture, WAIT_TIMEOUT, block_on, route},
};

/// Requests that are enough for both of two endpoints to get some.
const PROBES: usize = 20;

async fn wait_until_only_used(endpoint: &'static str, gateway: &GatewayFixture) {
    let started_at = Instant::now();
    loop {
        let mut others = 0;
        for _ in 0..PROBES {
            others += usize::from(gateway.get("/reads/").await.body != endpoint);
        }
        if others == 0 {
            return;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{others} of {PROBES} went elsewhere");
        sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn removal_that_a_peer_learned_of_after_an_outage_takes_effect() {
    block_on(async {
        let left = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "left")]);
        let stays = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "stays")]);
        let routes = vec![route("reads", Semantics::Idempotent)];
        let configuration = Configuration { version: 1, routes, ..Configuration::default() };
        let reader = GatewayFixture::start_unconfigured(configuration.clone()).await;
        let follower = GatewayFixture::start_unconfigured(configuration).await;
        for gateway in [&reader, &follower] {
            gateway.feed.configuration_changed(gateway.configuration.clone());
            gateway.list_endpoints(&[&left, &stays]);
            gateway.feed.discovery_lost();
            gateway.feed.set_fleet_secret("secret");
        }
        // The answers show that both schedulers have recorded the beginning of the outage.
        for gateway in [&reader, &follower] {
            assert_eq!(gateway.get("/reads/").await.status, StatusCode::OK);
        }
        follower.feed.add_seed_peers(vec![reader.peer_address]);

        reader.feed.configuration_confirmed();
        reader.feed.discovery_answered();
        reader.feed.endpoint_removed("e1");
        reader.feed.endpoints_read_up_to(LogPosition { era: 0, offset: 2 });

        wait_until_only_used("stays", &reader).await;
        wait_until_only_used("stays", &follower).await;
    });
}
