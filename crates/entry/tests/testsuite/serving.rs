//! Guarantees for callers: a graceful stop lets streams finish, a disconnect cancels a model request
//! but not a booking, and requests with the same idempotency key run once.

use std::time::Duration;

use baobabvane_standin::{LogFaults, ServiceFaults};
use futures::future::join_all;
use monoio::time::{sleep, timeout};

use crate::fleet::{EmbeddedFleet, block_on, chat, new_idempotency_key, wait_until};

fn start_fleet() -> EmbeddedFleet {
    EmbeddedFleet::new()
        .engine("advice-1", 0, 2_000)
        .service("bookings")
        .instance("entry-a", "zone-a")
        .apply("basic.toml", "entry-a")
}

#[test]
fn a_graceful_stop_cuts_off_no_stream() {
    let fleet = start_fleet();
    block_on(async {
        let caller = fleet.caller("entry-a");
        let body = chat("assessment", "seam", 200, true);
        let streams = join_all((0..4).map(|_| caller.post("/v1/chat/completions", &body)));
        let stop_then_request = async {
            wait_until(|| async { fleet.engines["advice-1"].started() == 4 }).await;
            fleet.instances["entry-a"].begin_stop();
            wait_until(|| async {
                let ready = caller.get("/readyz").await;
                ready.is_err() || ready.is_ok_and(|r| r.status == 503)
            })
            .await;
            caller.post("/v1/chat/completions", &body).await
        };
        let (streams, refused) = futures::join!(streams, stop_then_request);
        for stream in streams {
            let text = String::from_utf8_lossy(&stream.expect("a whole answer").body).into_owned();
            assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
            assert_eq!(text.matches("data: {").count(), 200);
        }
        assert_eq!(refused.expect("still listening").verdict(), "not_run");
    });
}

#[test]
fn a_request_is_cancelled_at_the_engine_when_its_caller_disconnects() {
    let fleet = start_fleet();
    block_on(async {
        let caller = fleet.caller("entry-a");
        for stream in [true, false] {
            let body = chat("assessment", "seam", 100_000, stream);
            let abandoned =
                timeout(Duration::from_millis(100), caller.post("/v1/chat/completions", &body));
            assert!(abandoned.await.is_err());
        }
        wait_until(|| async { fleet.engines["advice-1"].cancelled() == 2 }).await;
    });
}

#[test]
fn a_booking_completes_when_its_caller_disconnects() {
    let fleet = start_fleet();
    let slow = ServiceFaults { delay: Duration::from_millis(200), ..ServiceFaults::default() };
    fleet.services["bookings"].set_faults(slow);
    block_on(async {
        let caller = fleet.caller("entry-a").with("idempotency-key", &new_idempotency_key());
        let book = || caller.send(http::Method::POST, "/v1/kinds/booking/orders", "{}");
        assert!(timeout(Duration::from_millis(100), book()).await.is_err());
        let repeat = book().await.expect("an answer");
        assert_eq!(repeat.status, 200);
        assert_eq!(repeat.header("baobabvane-replayed"), "true");
        assert_eq!(fleet.services["bookings"].calls(), 1);
    });
}

#[test]
fn concurrent_requests_with_one_idempotency_key_run_once() {
    let fleet = start_fleet().instance("entry-b", "zone-b");
    block_on(async {
        let key = new_idempotency_key();
        let callers =
            ["entry-a", "entry-b"].map(|name| fleet.caller(name).with("idempotency-key", &key));
        wait_until(|| async { callers[1].get("/readyz").await.is_ok_and(|r| r.status == 200) })
            .await;
        let answers =
            join_all((0..16).map(|n| {
                callers[n % 2].send(http::Method::POST, "/v1/kinds/booking/orders", "{}")
            }));
        for answer in answers.await {
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 200, "{:?}", answer.body);
            assert_eq!(answer.json()["number"], 1);
        }
        assert_eq!(fleet.services["bookings"].calls(), 1);
    });
}

#[test]
fn claims_are_batched_when_the_log_limits_appends() {
    // The manifest gives bookings enough time to complete, so that only the append limit of the log
    // can make them fail.
    let fleet = start_fleet().apply("patient-bookings.toml", "entry-a");
    let limited = LogFaults { appends_per_second: 100, ..LogFaults::default() };
    fleet.log.as_ref().expect("the fleet has a log").set_faults(limited);
    block_on(async {
        let book = |n: u64| {
            let caller = fleet.caller("entry-a").with("idempotency-key", &new_idempotency_key());
            async move {
                sleep(Duration::from_millis(n)).await;
                caller.send(http::Method::POST, "/v1/kinds/booking/orders", "{}").await
            }
        };
        for answer in join_all((0..200).map(book)).await {
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 200, "{:?}", answer.body);
        }
        assert_eq!(fleet.services["bookings"].calls(), 200);
    });
}

#[test]
fn concurrent_requests_get_their_own_answers() {
    let fleet = EmbeddedFleet::new()
        .engine("advice-1", 0, 500)
        .engine("advice-2", 0, 900)
        .instance("entry-a", "zone-a")
        .apply("two-engines.toml", "entry-a");
    block_on(async {
        let caller = fleet.caller("entry-a");
        let request = |n: usize| {
            let caller = caller.clone();
            async move {
                sleep(Duration::from_millis(n as u64 % 7)).await;
                let body = chat("quote", &format!("awning {n:03}"), 20, n.is_multiple_of(2));
                let answer = caller.post("/v1/chat/completions", &body).await.expect("an answer");
                (n, answer)
            }
        };
        for (n, answer) in join_all((0..100).map(request)).await {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(text.contains(&format!("about awning {n:03}")), "{n}: {text}");
        }
    });
}
