//! Fleets of several instances: one scheduler per pool, its replacement when it stops, and changes
//! that take effect in every zone.

use std::{cell::Cell, time::Duration};

use futures::future::join_all;
use monoio::time::sleep;
use serde_json::Value;

use crate::fleet::{EmbeddedFleet, block_on, chat, wait_until};

const ZONE_A_INSTANCES: [(&str, &str); 3] =
    [("entry-a1", "zone-a"), ("entry-a2", "zone-a"), ("entry-a3", "zone-a")];

fn single_zone_fleet() -> EmbeddedFleet {
    EmbeddedFleet::new()
        .engine("advice-1", 0, 1_000)
        .service("bookings")
        .instances(&ZONE_A_INSTANCES)
        .apply("basic.toml", "entry-a1")
}

async fn status(fleet: &EmbeddedFleet, instance: &str) -> Value {
    fleet.operator(instance).get("/v1/status").await.unwrap_or_default()
}

async fn scheduler_of(fleet: &EmbeddedFleet, instance: &str, pool: &str) -> String {
    let status = status(fleet, instance).await;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let found = pools.iter().find(|p| p["pool"] == pool && p["zone"] == "zone-a");
    found.and_then(|p| p["scheduler"].as_str()).unwrap_or_default().to_owned()
}

#[test]
fn a_pool_has_one_scheduler_that_keeps_an_endpoint_within_its_slots() {
    let fleet = single_zone_fleet();
    block_on(async {
        let initial_scheduler = scheduler_of(&fleet, "entry-a1", "advice").await;
        for (name, _) in ZONE_A_INSTANCES {
            assert_eq!(scheduler_of(&fleet, name, "advice").await, initial_scheduler);
        }
        let calls = (0..60).map(|n| {
            let caller = fleet.caller(ZONE_A_INSTANCES[n % 3].0);
            async move {
                let body = chat("quote", &format!("awning {n:02}"), 10, n % 2 == 0);
                caller.post("/v1/chat/completions", &body).await.expect("an answer")
            }
        });
        for answer in join_all(calls).await {
            assert_eq!(answer.status, 200, "{:?}", answer.body);
        }
        assert_eq!(fleet.engines["advice-1"].peak_running(), 4, "the endpoint has 4 slots");
    });
}

#[test]
fn stopping_the_scheduler_loses_no_request_of_other_instances() {
    let mut fleet = single_zone_fleet();
    let initial_scheduler = block_on(scheduler_of(&fleet, "entry-a1", "advice"));
    // Removed from the fleet so that only the other instances get requests.
    let stopping_instance = fleet
        .instances
        .remove(&initial_scheduler)
        .expect("the scheduler is an instance of the fleet");
    block_on(async {
        let others: Vec<_> = fleet.instances.keys().map(|name| fleet.caller(name)).collect();
        let answered = Cell::new(0);
        let calls = (0..80).map(|n| {
            let (caller, answered) = (others[n % 2].clone(), &answered);
            async move {
                sleep(Duration::from_millis(n as u64 * 10)).await;
                let body = chat("quote", &format!("awning {n:02}"), 20, true);
                let answer = caller.post("/v1/chat/completions", &body).await;
                let answer = answer.expect("a whole answer");
                assert_eq!(answer.status, 200, "{:?}", answer.body);
                answered.set(answered.get() + 1);
            }
        });
        let stop = async {
            wait_until(|| async { answered.get() > 10 }).await;
            stopping_instance.begin_stop();
        };
        futures::join!(join_all(calls), stop);
        for name in fleet.instances.keys() {
            wait_until(|| async {
                scheduler_of(&fleet, name, "advice").await != initial_scheduler
            })
            .await;
        }
    });
}

#[test]
fn a_change_is_accepted_once_every_zone_has_it_in_force() {
    let members = [
        ("entry-a1", "zone-a"),
        ("entry-b1", "zone-b"),
        ("entry-c1", "zone-c"),
        ("entry-d1", "zone-d"),
    ];
    let fleet = EmbeddedFleet::new().instances(&members).apply("basic.toml", "entry-b1");
    block_on(async {
        let client = fleet.operator("entry-c1");
        let name = baobabvane_domain::ResourceName {
            type_: baobabvane_domain::ResourceType::Tier,
            name: "batch".to_owned(),
        };
        let spec =
            baobabvane_domain::Spec::Tier(baobabvane_domain::Tier { rank: 9, floor_percent: 1 });
        let answer = client.put(&name, &spec, Some(0)).await.expect("the change is valid");
        assert_eq!(answer["state"], "accepted", "{answer}");
        for (member, _) in members {
            let read =
                fleet.operator(member).get("/v1/tiers/batch").await.expect("the tier is in force");
            assert_eq!(read["version"], answer["version"]);
        }
    });
}

#[test]
fn a_zone_without_endpoints_uses_another_zones_scheduler() {
    let members = [("entry-a1", "zone-a"), ("entry-a2", "zone-a"), ("entry-b1", "zone-b")];
    let fleet = EmbeddedFleet::new()
        .engine("advice-1", 0, 1_000)
        .instances(&members)
        .apply("basic.toml", "entry-b1");
    block_on(async {
        let calls = (0..30).map(|n| {
            let caller = fleet.caller(members[n % 3].0);
            async move {
                let body = chat("quote", &format!("awning {n:02}"), 10, false);
                caller.post("/v1/chat/completions", &body).await.expect("an answer")
            }
        });
        for answer in join_all(calls).await {
            assert_eq!(answer.status, 200, "{:?}", answer.body);
        }
        assert_eq!(fleet.engines["advice-1"].peak_running(), 4, "the endpoint has 4 slots");
    });
}

#[test]
fn a_leaving_endpoint_gets_no_new_request_once_the_change_is_accepted() {
    let fleet = EmbeddedFleet::new()
        .engine("advice-1", 0, 1_000)
        .engine("advice-2", 0, 1_000)
        .instances(&ZONE_A_INSTANCES)
        .apply("two-engines.toml", "entry-a1");
    block_on(async {
        let call = |n: usize| {
            let caller = fleet.caller(ZONE_A_INSTANCES[n % 3].0);
            async move {
                let body = chat("quote", &format!("awning {n:02}"), 5, true);
                caller.post("/v1/chat/completions", &body).await.expect("an answer").status
            }
        };
        let before = join_all((0..12).map(call)).await;
        assert!(before.iter().all(|status| *status == 200));
        let name = baobabvane_domain::ResourceName {
            type_: baobabvane_domain::ResourceType::Endpoint,
            name: "advice-1".to_owned(),
        };
        let spec = baobabvane_domain::Spec::Endpoint(baobabvane_domain::Endpoint {
            address: fleet.engines["advice-1"].address(),
            zone: "zone-a".to_owned(),
            pool: "advice".to_owned(),
            protocol: baobabvane_domain::Protocol::Model,
            slots: 16,
            cache_tokens: 0,
            leaving: true,
        });
        let answer = fleet.operator("entry-a2").put(&name, &spec, None).await.expect("valid");
        assert_eq!(answer["state"], "accepted", "{answer}");
        let started = fleet.engines["advice-1"].started();
        let after = join_all((0..30).map(call)).await;
        assert!(after.iter().all(|status| *status == 200));
        assert_eq!(fleet.engines["advice-1"].started(), started);
    });
}
