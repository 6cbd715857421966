//! Tests of prompts that crash the endpoints that begin to answer them.

use http::{Method, StatusCode};
use monoio::time::timeout;

use crate::{
    endpoint::{Endpoint, Script},
    fixture::{Answer, GatewayFixture, WAIT_TIMEOUT, block_on, events},
};

/// The users' bound: crashes until the part is known, and the requests that may follow them.
const MAX_SENT: usize = 5 + 3;
/// Far more than the bound, even if each were sent only once.
const REQUESTS: usize = 20;

fn spawn_endpoints() -> Vec<Endpoint> {
    spawn_endpoints_that_crash_after(0)
}

/// Starts endpoints that crash on the part `dead` after so many events.
fn spawn_endpoints_that_crash_after(events: u64) -> Vec<Endpoint> {
    let scripts = [Script::CrashOnPart("dead", events)];
    (0..12).map(|i| Endpoint::spawn(&format!("e{i}"), "desk", &scripts)).collect()
}

/// Sends a prompt that begins with the part `common`; returns `None` if its answer broke off.
async fn ask(gateway: &GatewayFixture, number: usize, is_deadly: bool) -> Option<Answer> {
    let deadly = if is_deadly { "dead:100," } else { "" };
    let parts = format!("common:60,{deadly}own{number}:500");
    ask_with(gateway, &[("baobabvane-prompt-parts", &parts), ("baobabvane-token-usage", "660,50")])
        .await
}

async fn ask_with(gateway: &GatewayFixture, headers: &[(&'static str, &str)]) -> Option<Answer> {
    let mut caller = gateway.connect_caller().await;
    caller.request(Method::POST, "/answers/", headers).await.ok()
}

fn count_deadly(endpoints: &[Endpoint]) -> usize {
    let received = endpoints.iter().flat_map(Endpoint::received_requests);
    let parts = received.filter_map(|r| Some(r.header("baobabvane-prompt-parts")?.to_owned()));
    parts.filter(|parts| parts.contains("dead:")).count()
}

async fn check_that_deadly_prompts_stop_being_sent(endpoints: &[Endpoint]) {
    let gateway = GatewayFixture::start(&endpoints.iter().collect::<Vec<_>>()).await;
    let mut last = None;
    for number in 0..REQUESTS {
        last = ask(&gateway, number, true).await;
    }
    let sent = count_deadly(endpoints);
    assert!(sent <= MAX_SENT, "{sent} requests of {REQUESTS} were sent");
    let refused = last.expect("an answer");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));

    let sound = ask(&gateway, REQUESTS, false).await.expect("an answer");
    assert_eq!((sound.status.as_u16(), sound.body), (200, events(1, 3)));
}

#[test]
fn prompts_with_a_part_that_crashes_endpoints_stop_being_sent() {
    block_on(async { check_that_deadly_prompts_stop_being_sent(&spawn_endpoints()).await });
}

/// Guards against a part whose answers begin and so seem to show that it is sound (BUDGET, review/8).
#[test]
fn prompts_that_crash_endpoints_after_the_first_events_stop_being_sent() {
    for events in 1..4 {
        block_on(async {
            let endpoints = spawn_endpoints_that_crash_after(events);
            check_that_deadly_prompts_stop_being_sent(&endpoints).await;
        });
    }
}

/// Guards against a part that no one looks for in requests that do not state their tokens (BUDGET,
/// review/7).
#[test]
fn deadly_prompts_without_a_token_usage_stop_being_sent() {
    block_on(async {
        let endpoints = spawn_endpoints();
        let gateway = GatewayFixture::start(&endpoints.iter().collect::<Vec<_>>()).await;
        for number in 0..REQUESTS {
            let parts = format!("common:60,dead:100,own{number}:500");
            ask_with(&gateway, &[("baobabvane-prompt-parts", &parts)]).await;
        }
        let sent = count_deadly(&endpoints);
        assert!(sent <= MAX_SENT, "{sent} requests of {REQUESTS} were sent");
    });
}

/// Guards against a deadly part that is forgotten among more suspects than are remembered (BUDGET,
/// more-parts).
#[test]
fn a_deadly_part_is_found_among_a_hundred_shared_ones() {
    block_on(async {
        let endpoints = spawn_endpoints();
        let gateway = GatewayFixture::start(&endpoints.iter().collect::<Vec<_>>()).await;
        let shared: String = (0..100).map(|n| format!("{:08x}:8,", 0x1000_0000 + n)).collect();
        let sound = format!("{shared}own:500");
        let usage = ("baobabvane-token-usage", "1500,50");
        let is_answered = async || {
            let res = ask_with(&gateway, &[("baobabvane-prompt-parts", &sound), usage]).await;
            res.is_some_and(|res| res.status == StatusCode::OK)
        };
        for number in 0..REQUESTS {
            assert!(is_answered().await, "the sound prompt before number {number}");
            let parts = format!("{shared}dead:100,own{number}:500");
            ask_with(&gateway, &[("baobabvane-prompt-parts", &parts), usage]).await;
        }
        let sent = count_deadly(&endpoints);
        assert!(sent <= MAX_SENT, "{sent} requests of {REQUESTS} were sent");
        assert!(is_answered().await);
    });
}

#[test]
fn errors_of_endpoints_do_not_acquit_a_part_that_crashes_them() {
    block_on(async {
        let scripts = [Script::Answer(500, "failed"), Script::CrashOnPart("dead", 0)];
        let spawn = |i| Endpoint::spawn(&format!("e{i}"), "desk", &scripts);
        let endpoints: Vec<Endpoint> = (0..12).map(spawn).collect();
        let gateway = GatewayFixture::start(&endpoints.iter().collect::<Vec<_>>()).await;
        for number in 0..3 * REQUESTS {
            ask(&gateway, number, true).await;
        }
        let crashed = endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count();
        assert!((1..=MAX_SENT).contains(&crashed), "{crashed} of 12 endpoints crashed");
    });
}

#[test]
fn instances_share_what_they_know_of_prompts_that_crash_endpoints() {
    block_on(async {
        let endpoints = spawn_endpoints();
        let listed: Vec<&Endpoint> = endpoints.iter().collect();
        let first = GatewayFixture::start(&listed).await;
        let second = GatewayFixture::start(&listed).await;
        first.feed.set_fleet_secret("secret");
        second.feed.set_fleet_secret("secret");
        second.feed.add_seed_peers(vec![first.peer_address]);
        let mut refused = 0;
        for number in 0..REQUESTS {
            let gateway = if number % 2 == 0 { &first } else { &second };
            let status = ask(gateway, number, true).await.map(|answer| answer.status);
            refused += usize::from(status == Some(StatusCode::SERVICE_UNAVAILABLE));
            // Longer than the interval of heartbeats.
            monoio::time::sleep(std::time::Duration::from_millis(150)).await;
        }
        let sent = count_deadly(&endpoints);
        assert!(sent <= MAX_SENT, "{sent} requests of {REQUESTS} were sent");
        assert!(refused > REQUESTS / 2, "{refused} of {REQUESTS} were refused");
        for gateway in [&first, &second] {
            assert_eq!(ask(gateway, REQUESTS, false).await.expect("an answer").status, 200);
        }
    });
}

#[test]
fn instance_that_begins_blocks_the_parts_that_were_blocked_before() {
    block_on(async {
        let endpoints = spawn_endpoints();
        let listed: Vec<&Endpoint> = endpoints.iter().collect();
        let before = GatewayFixture::start(&listed).await;
        // Tells the sound part of these prompts from the other one.
        assert_eq!(ask(&before, REQUESTS, false).await.expect("an answer").status, 200);
        for number in 0..REQUESTS {
            ask(&before, number, true).await;
        }
        let blocked = timeout(WAIT_TIMEOUT, before.feed.next_blocked_parts(&[])).await;
        let blocked = blocked.expect("a part that stays blocked");
        assert_eq!(blocked.len(), 1);
        let sent = count_deadly(&endpoints);

        let restarted = GatewayFixture::start(&listed).await;
        restarted.feed.restore_blocked_parts(blocked);
        let refused = ask(&restarted, REQUESTS, true).await.expect("an answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(count_deadly(&endpoints), sent);
        assert_eq!(ask(&restarted, REQUESTS, false).await.expect("an answer").status, 200);
    });
}
