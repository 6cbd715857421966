//! Gateways as processes on the stand-in of the users' platform.

use std::{path::Path, time::Duration};

use baobabvane_standin::{Caller, Fleet, GatewayProcess, ProxyFault, Received, StoreFault};
use http::{Method, StatusCode};
use monoio::time::{Instant, sleep};

use crate::fleet::block_on;

/// What should happen has happened after this time, even on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

fn fleet(gateways: u8) -> Fleet {
    Fleet::spawn(Path::new(env!("CARGO_BIN_EXE_baobabvane")), gateways, 2)
}

async fn request(gateway: &GatewayProcess, key: &str, path: &str) -> Option<Received> {
    let caller = Caller::for_attempt(gateway.callers(), key, "a1", 5_000);
    caller.send(Method::POST, path, "body").await.ok()
}

async fn status(gateway: &GatewayProcess, key: &str, path: &str) -> Option<StatusCode> {
    Some(request(gateway, key, path).await?.status)
}

async fn until_status(gateway: &GatewayProcess, key: &str, path: &str, expected: StatusCode) {
    let began = Instant::now();
    loop {
        let seen = status(gateway, key, path).await;
        if seen == Some(expected) {
            return;
        }
        assert!(began.elapsed() < PATIENCE, "{path}: {seen:?}, not {expected}\n{}", gateway.log());
        sleep(Duration::from_millis(50)).await;
    }
}

async fn all_until_status(fleet: &Fleet, key: &str, path: &str, expected: StatusCode) {
    for gateway in &fleet.gateways {
        until_status(gateway, key, path, expected).await;
    }
}

#[test]
fn a_gateway_serves_what_the_store_tells() {
    let fleet = fleet(1);
    block_on(async {
        let gateway = &fleet.gateways[0];
        until_status(gateway, "k1", "/posting/1", StatusCode::OK).await;
        let answer = request(gateway, "k1", "/read/1").await.expect("an answer");
        assert_eq!(&answer.body[..], b"answer a1");
        assert_eq!(answer.signature(), "s");
        let stream = request(gateway, "k1", "/stream/1").await.expect("an answer");
        assert!(stream.body.ends_with(b"id: 12\ndata: a1\n\n"), "{:?}", stream.body);
        assert_eq!(status(gateway, "k1", "/none/1").await, Some(StatusCode::NOT_FOUND));
        assert_eq!(status(gateway, "k9", "/read/1").await, Some(StatusCode::UNAUTHORIZED));
    });
    fleet.remove_folder();
}

#[test]
fn a_store_that_is_away_stops_nobody() {
    let mut fleet = fleet(2);
    block_on(async {
        all_until_status(&fleet, "k1", "/read/1", StatusCode::OK).await;
        for fault in [StoreFault::Reset, StoreFault::Busy, StoreFault::Silent] {
            fleet.store.set_fault(fault);
            sleep(Duration::from_millis(300)).await;
            all_until_status(&fleet, "k1", "/read/1", StatusCode::OK).await;
        }
        fleet.store.set_fault(StoreFault::None);
        fleet.store.compact();
        fleet.configure(&["k2"]);
        all_until_status(&fleet, "k2", "/read/1", StatusCode::OK).await;
        all_until_status(&fleet, "k1", "/read/1", StatusCode::UNAUTHORIZED).await;
    });
    fleet.remove_folder();
}

#[test]
fn instances_that_the_store_turns_away_learn_from_the_others() {
    let mut fleet = fleet(3);
    block_on(async {
        all_until_status(&fleet, "k1", "/read/1", StatusCode::OK).await;
        // Until all hear each other, each asks for itself.
        let began = Instant::now();
        while !fleet.gateways.iter().all(|g| g.log().contains("heard=3")) {
            assert!(began.elapsed() < PATIENCE, "{}", fleet.gateways[0].log());
            sleep(Duration::from_millis(50)).await;
        }
        for gateway in &fleet.gateways[..2] {
            gateway.store_link.set_fault(ProxyFault::Reset);
        }
        fleet.configure(&["k2"]);
        fleet.remove_endpoint(0);
        all_until_status(&fleet, "k2", "/read/1", StatusCode::OK).await;
        all_until_status(&fleet, "k1", "/read/1", StatusCode::UNAUTHORIZED).await;
        let began = Instant::now();
        let knows = |g: &GatewayProcess| g.log().contains("event=endpoint_gone endpoint=e-0");
        while !fleet.gateways.iter().all(knows) {
            assert!(began.elapsed() < PATIENCE, "{}", fleet.gateways[0].log());
            sleep(Duration::from_millis(50)).await;
        }
    });
    fleet.remove_folder();
}

#[test]
fn an_instance_that_starts_without_the_store_is_not_ready() {
    let mut fleet = fleet(1);
    block_on(async {
        until_status(&fleet.gateways[0], "k1", "/read/1", StatusCode::OK).await;
        fleet.store.set_fault(StoreFault::Busy);
        fleet.gateways[0].signal("KILL");
        fleet.gateways[0].restart();
        until_status(&fleet.gateways[0], "k1", "/read/1", StatusCode::SERVICE_UNAVAILABLE).await;
        fleet.store.set_fault(StoreFault::None);
        until_status(&fleet.gateways[0], "k1", "/read/1", StatusCode::OK).await;
    });
    fleet.remove_folder();
}
