//! Gateway processes against a stand-in for the users' platform: configuration from the store,
//! outages of the store, and updates from peers.

use std::{path::Path, time::Duration};

use baobabvane_standin::{
    Caller, Endpoint, Fleet, GatewayProcess, Proxy, ProxyFault, Received, Store, StoreFault,
    route_document,
};
use http::{Method, StatusCode};
use monoio::time::{Instant, sleep};
use serde_json::json;

use crate::fleet::block_on;

/// Limit for an expected state to be reached, also on a busy machine.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts gateways that serve two endpoints.
fn spawn_fleet(gateways: u8) -> Fleet {
    Fleet::spawn(Path::new(env!("CARGO_BIN_EXE_baobabvane")), gateways, 2)
}

/// Sends an attempt with the id `a1`, which the stand-in endpoint repeats in its answer.
async fn request(gateway: &GatewayProcess, key: &str, path: &str) -> Option<Received> {
    let caller = Caller::for_attempt(gateway.callers(), key, "a1", 5_000);
    caller.send(Method::POST, path, "body").await.ok()
}

async fn status(gateway: &GatewayProcess, key: &str, path: &str) -> Option<StatusCode> {
    Some(request(gateway, key, path).await?.status)
}

async fn wait_for_status(gateway: &GatewayProcess, key: &str, path: &str, expected: StatusCode) {
    let began = Instant::now();
    loop {
        let seen = status(gateway, key, path).await;
        if seen == Some(expected) {
            return;
        }
        assert!(
            began.elapsed() < CONVERGENCE_TIMEOUT,
            "{path}: {seen:?}, not {expected}\n{}",
            gateway.log()
        );
        sleep(Duration::from_millis(50)).await;
    }
}

async fn wait_for_status_on_all(fleet: &Fleet, key: &str, path: &str, expected: StatusCode) {
    for gateway in &fleet.gateways {
        wait_for_status(gateway, key, path, expected).await;
    }
}

#[test]
fn a_gateway_serves_the_configuration_from_the_store() {
    let fleet = spawn_fleet(1);
    block_on(async {
        let gateway = &fleet.gateways[0];
        wait_for_status(gateway, "k1", "/posting/1", StatusCode::OK).await;
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

/// Guards against one route with a rank, or another number, beyond the usual that keeps a dropped key and
/// all later changes out of force (CONFIG, review/9).
#[test]
fn an_unusual_number_in_one_route_does_not_keep_a_configuration_out_of_force() {
    block_on(async {
        let mut fleet = spawn_fleet(2);
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        for (round, (field, number)) in [
            ("priority", json!(300)),
            ("priority", json!(-1)),
            ("maxAttempts", json!(1e12)),
            ("timeoutMs", json!(1e300)),
        ]
        .into_iter()
        .enumerate()
        {
            let key = format!("k{}", round + 2);
            fleet.configure_with(&[&key], |config| {
                let mut added = route_document("/added/", "idempotent", false);
                added[field] = number;
                config["routes"].as_array_mut().expect("a list of routes").push(added);
            });
            wait_for_status_on_all(&fleet, &key, "/read/1", StatusCode::OK).await;
            wait_for_status_on_all(&fleet, &key, "/added/1", StatusCode::OK).await;
            let dropped = format!("k{}", round + 1);
            wait_for_status_on_all(&fleet, &dropped, "/read/1", StatusCode::UNAUTHORIZED).await;
        }
        fleet.remove_folder();
    });
}

#[test]
fn a_store_outage_does_not_interrupt_serving() {
    let mut fleet = spawn_fleet(2);
    block_on(async {
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        for fault in [StoreFault::Reset, StoreFault::Busy, StoreFault::Silent] {
            fleet.store.set_fault(fault);
            sleep(Duration::from_millis(300)).await;
            wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        }
        fleet.store.set_fault(StoreFault::None);
        fleet.store.compact();
        fleet.configure(&["k2"]);
        wait_for_status_on_all(&fleet, "k2", "/read/1", StatusCode::OK).await;
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::UNAUTHORIZED).await;
    });
    fleet.remove_folder();
}

#[test]
fn gateways_cut_off_from_the_store_learn_changes_from_peers() {
    let mut fleet = spawn_fleet(3);
    block_on(async {
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        wait_for_peers(&fleet).await;
        for gateway in &fleet.gateways[..2] {
            gateway.store_link.set_fault(ProxyFault::Reset);
        }
        fleet.configure(&["k2"]);
        fleet.remove_endpoint(0);
        wait_for_status_on_all(&fleet, "k2", "/read/1", StatusCode::OK).await;
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::UNAUTHORIZED).await;
        let began = Instant::now();
        let has_removed_endpoint =
            |g: &GatewayProcess| g.log().contains("event=endpoint_gone endpoint=e-0");
        while !fleet.gateways.iter().all(has_removed_endpoint) {
            assert!(began.elapsed() < CONVERGENCE_TIMEOUT, "{}", fleet.gateways[0].log());
            sleep(Duration::from_millis(50)).await;
        }
    });
    fleet.remove_folder();
}

/// Appends more records to the operators' topic than a reader takes at once.
fn append_many_changes(fleet: &Fleet) {
    let value = vec![b'x'; 250_000];
    for _ in 0..40 {
        fleet.store.append("keyed.op", b"other", &value);
    }
}

/// Waits until each gateway hears all others; until then it may read the store itself. `heard` includes
/// the gateway that logs it.
async fn wait_for_peers(fleet: &Fleet) {
    let heard = format!("heard={}", fleet.gateways.len());
    let began = Instant::now();
    while !fleet.gateways.iter().all(|g| g.log().contains(&heard)) {
        assert!(began.elapsed() < CONVERGENCE_TIMEOUT, "{}", fleet.gateways[0].log());
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an instance that begins to read the store where it stopped long ago.
#[test]
fn a_gateway_that_takes_over_reading_the_store_needs_no_old_records() {
    let mut fleet = spawn_fleet(3);
    block_on(async {
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        wait_for_peers(&fleet).await;
        fleet.configure(&["k1", "k2"]);
        wait_for_status_on_all(&fleet, "k2", "/read/1", StatusCode::OK).await;
        append_many_changes(&fleet);
        // The gateways with the lowest addresses read the store for the others.
        for gateway in &mut fleet.gateways[..2] {
            gateway.signal("KILL");
            gateway.wait();
        }
        fleet.configure(&["k3"]);
        let last = &fleet.gateways[2];
        wait_for_status(last, "k3", "/read/1", StatusCode::OK).await;
        wait_for_status(last, "k1", "/read/1", StatusCode::UNAUTHORIZED).await;
        assert!(!last.log().contains("event=store_lost"), "{}", last.log());
    });
    fleet.remove_folder();
}

/// Guards against a read whose answer is rejected for its size and that is repeated for ever.
#[test]
fn a_gateway_that_missed_more_than_it_can_read_at_once_starts_from_the_newest_records() {
    let mut fleet = spawn_fleet(1);
    block_on(async {
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        fleet.gateways[0].store_link.set_fault(ProxyFault::Reset);
        append_many_changes(&fleet);
        fleet.configure(&["k2"]);
        fleet.gateways[0].store_link.set_fault(ProxyFault::None);
        let gateway = &fleet.gateways[0];
        wait_for_status(gateway, "k2", "/read/1", StatusCode::OK).await;
        wait_for_status(gateway, "k1", "/read/1", StatusCode::UNAUTHORIZED).await;
    });
    fleet.remove_folder();
}

/// Guards against a reader that looks for a configuration, which the store no longer has, without a
/// pause.
#[test]
fn a_store_that_comes_back_empty_is_read_as_often_as_before() {
    const MAX_CALLS: u64 = 50;
    let mut fleet = spawn_fleet(3);
    block_on(async {
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        wait_for_peers(&fleet).await;
        // The last gateway's own read has ended by then, and it learns of this configuration from
        // the others.
        sleep(Duration::from_millis(1_500)).await;
        fleet.configure(&["k2"]);
        wait_for_status_on_all(&fleet, "k2", "/read/1", StatusCode::OK).await;
        fleet.store.restore(Store::spawn().copy());
        for gateway in &mut fleet.gateways[..2] {
            gateway.signal("KILL");
            gateway.wait();
        }
        sleep(Duration::from_secs(2)).await;
        let calls = fleet.store.calls();
        sleep(Duration::from_secs(2)).await;
        let calls = fleet.store.calls() - calls;
        assert!(calls < MAX_CALLS, "{calls} calls in 2 s");
    });
    fleet.remove_folder();
}

#[test]
fn a_gateway_that_starts_without_the_store_is_not_ready() {
    let mut fleet = spawn_fleet(1);
    block_on(async {
        wait_for_status(&fleet.gateways[0], "k1", "/read/1", StatusCode::OK).await;
        fleet.store.set_fault(StoreFault::Busy);
        fleet.gateways[0].signal("KILL");
        fleet.gateways[0].restart();
        wait_for_status(&fleet.gateways[0], "k1", "/read/1", StatusCode::SERVICE_UNAVAILABLE).await;
        fleet.store.set_fault(StoreFault::None);
        wait_for_status(&fleet.gateways[0], "k1", "/read/1", StatusCode::OK).await;
    });
    fleet.remove_folder();
}

/// Waits until all gateways have logged `line`.
async fn wait_for_line_on_all(fleet: &Fleet, line: &str) {
    let began = Instant::now();
    while !fleet.gateways.iter().all(|gateway| gateway.log().contains(line)) {
        assert!(began.elapsed() < CONVERGENCE_TIMEOUT, "{line}\n{}", fleet.gateways[0].log());
        sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn endpoint_changes_after_a_restore_of_the_store_take_effect() {
    let fleet = spawn_fleet(3);
    block_on(async {
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        let copy = fleet.store.copy();
        for _ in 0..3 {
            fleet.put_endpoint(0, "ready");
            fleet.put_endpoint(1, "ready");
        }
        sleep(Duration::from_millis(500)).await;
        fleet.store.set_fault(StoreFault::Reset);
        sleep(Duration::from_millis(300)).await;
        fleet.store.restore(copy);
        fleet.store.set_fault(StoreFault::None);
        fleet.remove_endpoint(0);
        wait_for_line_on_all(&fleet, "event=endpoint_gone endpoint=e-0").await;
    });
    fleet.remove_folder();
}

#[test]
fn a_configuration_at_an_offset_that_is_given_out_again_is_in_force() {
    let mut fleet = spawn_fleet(1);
    block_on(async {
        let copy = fleet.store.copy();
        fleet.configure(&["k2"]);
        wait_for_status_on_all(&fleet, "k2", "/read/1", StatusCode::OK).await;
        fleet.store.set_fault(StoreFault::Reset);
        sleep(Duration::from_millis(300)).await;
        fleet.store.restore(copy);
        // The record has the offset of the one that the gateway read last.
        fleet.configure(&["k3"]);
        fleet.store.set_fault(StoreFault::None);
        wait_for_status_on_all(&fleet, "k3", "/read/1", StatusCode::OK).await;
    });
    fleet.remove_folder();
}

#[test]
fn the_fleet_keeps_its_secret_when_the_store_forgets_it() {
    let mut fleet = spawn_fleet(2);
    block_on(async {
        let copy = fleet.store.copy();
        wait_for_line_on_all(&fleet, "heard=2").await;
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        fleet.store.set_fault(StoreFault::Reset);
        sleep(Duration::from_millis(300)).await;
        fleet.store.restore(copy);
        fleet.store.set_fault(StoreFault::None);
        sleep(Duration::from_millis(3_000)).await;
        // An instance that starts now has to find the others.
        fleet.gateways[1].signal("KILL");
        fleet.gateways[1].restart();
        wait_for_status(&fleet.gateways[1], "k1", "/read/1", StatusCode::OK).await;
        let began = Instant::now();
        while fleet.gateways[1].log().matches("heard=2").count() < 2 {
            let log = fleet.gateways[1].log();
            assert!(began.elapsed() < CONVERGENCE_TIMEOUT, "it does not hear the others\n{log}");
            sleep(Duration::from_millis(50)).await;
        }
    });
    fleet.remove_folder();
}

/// Guards against a request that runs at another service, which now has the address of an endpoint
/// that is still listed.
#[test]
fn an_address_that_another_service_reuses_runs_no_request() {
    let mut fleet = spawn_fleet(1);
    block_on(async {
        wait_for_status(&fleet.gateways[0], "k1", "/read/1", StatusCode::OK).await;
        // The retry budget is a share of the requests, and a request that reaches the wrong process is
        // sent again.
        for _ in 0..60 {
            wait_for_status(&fleet.gateways[0], "k1", "/read/1", StatusCode::OK).await;
        }
        // The entry of the first endpoint now leads to a process that answers 421 to its requests.
        let other = Endpoint::spawn("other-service-0");
        let proxy = Proxy::spawn(other.address());
        fleet.endpoints[0] = (other, proxy);
        fleet.put_endpoint(0, "ready");
        let address = fleet.endpoints[0].1.address();
        wait_for_line_on_all(&fleet, &format!("endpoint=e-0 pool=desk address={address}")).await;
        for number in 0..20 {
            let gateway = &fleet.gateways[0];
            let path = ["/posting/1", "/read/1", "/stream/1"][number % 3];
            let id = format!("reused-{number}");
            let caller = Caller::for_attempt(gateway.callers(), "k1", &id, 5_000);
            let answer = caller.send(Method::POST, path, "body").await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "{path}\n{}", gateway.log());
            assert_eq!(fleet.endpoints[1].0.runs().get(&id), Some(&1), "{path}");
        }
        assert!(fleet.endpoints[0].0.runs().is_empty());
        let log = fleet.gateways[0].log();
        assert!(log.contains("another endpoint has the address"), "{log}");
    });
    fleet.remove_folder();
}

#[test]
fn odd_entries_among_the_endpoints_change_nothing_else() {
    let fleet = spawn_fleet(1);
    block_on(async {
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        let topic = "keyed.servers";
        let deep = "[".repeat(100_000);
        let entry = |slots: &str, port: &str, more: &str| {
            format!(
                r#"{{"service":"desk","address":"127.0.0.1:{port}","availabilityZone":"tanta",
                "slotCount":{slots},"lifecycleState":"ready","born":1{more}}}"#
            )
        };
        let odd = [
            deep.clone(),
            entry("16", "9", &format!(r#","x":{deep}"#)),
            entry(&deep, "9", ""),
            entry("1e999", "9", ""),
            entry("4294967295", "9", ""),
            entry("4294967294", "9", ""),
            entry("18446744073709551616", "9", ""),
            entry("16", "9", r#","sequenceNumber":1e999"#),
            entry("16", "65536", ""),
            entry("16", "0", ""),
            "\u{0}\u{1}".to_owned(),
        ];
        for (number, value) in odd.iter().enumerate() {
            fleet.store.append(topic, format!("odd-{number}").as_bytes(), value.as_bytes());
        }
        fleet.store.append(topic, b"", b"");
        fleet.store.append(topic, b"\xff\xfe", b"{}");
        // A record without even the length of its key, and one whose key is longer than it.
        fleet.store.append_raw(topic, b"");
        fleet.store.append_raw(topic, b"\x09a");
        fleet.remove_endpoint(0);
        wait_for_line_on_all(&fleet, "event=endpoint_gone endpoint=e-0").await;
        assert!(!fleet.gateways[0].log().contains("endpoint_joined endpoint=odd"));
        wait_for_status_on_all(&fleet, "k1", "/read/1", StatusCode::OK).await;
        assert_eq!(fleet.gateways[0].log().matches("event=started").count(), 1);
    });
    fleet.remove_folder();
}
