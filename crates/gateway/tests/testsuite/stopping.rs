//! Tests of a graceful stop: accepted requests finish, and late ones are rejected.

use std::{rc::Rc, time::Duration};

use http::Method;
use monoio::time::sleep;

use crate::{
    endpoint::{Endpoint, Script},
    fixture::{GatewayFixture, block_on, events, eventually},
};

/// Time after which a stopping instance no longer serves new requests.
const PAST_SERVING_PERIOD: Duration = Duration::from_millis(2_700);

#[test]
fn stopping_instance_finishes_accepted_requests() {
    block_on(async {
        let scripts = [Script::DelayedAnswer(Duration::from_millis(500), "done")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let mut caller = gateway.connect_caller().await;
        caller.send(Method::POST, "/postings/", &[]).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        gateway.stop.stop();
        let answer = caller.read_answer(&Method::POST).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "done"));
        assert_eq!(answer.headers["connection"], "close");
        assert_eq!(gateway.ready_status().await, 503);
    });
}

#[test]
fn stopping_instance_closes_idle_connections() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let mut idle = gateway.connect_caller().await;
        idle.request(Method::GET, "/reads/", &[]).await.unwrap();
        gateway.stop.stop();
        assert!(idle.closes_without_answer().await);
    });
}

#[test]
fn stopping_instance_serves_new_callers_at_first_and_then_rejects_them() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "done")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        gateway.stop.stop();
        sleep(Duration::from_millis(200)).await;
        let mut early = gateway.connect_caller().await;
        let answer = early.request(Method::GET, "/reads/", &[]).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["connection"], "close");
        sleep(PAST_SERVING_PERIOD).await;
        if let Ok(mut late) = gateway.try_connect_caller().await {
            let answer = late.request(Method::GET, "/reads/", &[]).await.unwrap();
            assert_eq!(answer.status, 503);
            assert!(answer.headers.contains_key("retry-after"));
        }
        assert_eq!(endpoint.received_requests().len(), 1);
    });
}

#[test]
fn stopping_instance_answers_callers_that_connected_just_before() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "done")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let mut accepted = gateway.connect_caller().await;
        let mut idle = gateway.connect_caller().await;
        idle.request(Method::GET, "/reads/", &[]).await.unwrap();
        let mut sending = gateway.connect_caller().await;
        sending.request(Method::GET, "/reads/", &[]).await.unwrap();
        // Lets the gateway accept the first connection and wait for its request.
        sleep(Duration::from_millis(100)).await;
        // This request arrives before the gateway handles the stop, which is set right after it.
        sending.send(Method::GET, "/reads/", &[]).await.unwrap();
        gateway.stop.stop();
        assert_eq!(sending.read_answer(&Method::GET).await.unwrap().status, 200);
        assert!(idle.closes_without_answer().await);
        let answer = accepted.request(Method::GET, "/reads/", &[]).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "done"));
    });
}

/// Guards against requests that were read and still wait for an endpoint when the process ends.
#[test]
fn each_request_at_a_stopping_instance_gets_its_answer_before_the_end() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Hang]);
        let gateway = Rc::new(GatewayFixture::start(&[&endpoint]).await);
        let send = |path: &'static str| {
            let gateway = Rc::clone(&gateway);
            monoio::spawn(async move {
                let answer = gateway.post(path).await;
                (answer.status.as_u16(), answer.headers.contains_key("retry-after"))
            })
        };
        let running: Vec<_> = (0..4).map(|_| send("/postings/")).collect();
        eventually(|| endpoint.received_requests().len() == 4).await;
        let waiting: Vec<_> = (0..4).map(|_| send("/postings/")).collect();
        sleep(Duration::from_millis(100)).await;
        gateway.stop.stop();
        for request in waiting {
            assert_eq!(request.await, (503, true));
        }
        assert_eq!(gateway.unanswered_at_end.get(), None);
        // What may have run is no longer offered to other instances.
        for request in running {
            assert_eq!(request.await, (502, false));
        }
        eventually(|| gateway.unanswered_at_end.get().is_some()).await;
        assert_eq!(gateway.unanswered_at_end.get(), Some(0));
        assert_eq!(endpoint.received_requests().len(), 4);
    });
}

/// Guards against requests that are passed on when a slot becomes free shortly before the end.
#[test]
fn a_waiting_request_is_passed_on_in_a_stop_only_if_its_timeout_ends_first() {
    block_on(async {
        let slow = Script::DelayedAnswer(Duration::from_secs(4), "done");
        let scripts = [vec![slow; 4], vec![Script::Answer(200, "late")]].concat();
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = Rc::new(GatewayFixture::start(&[&endpoint]).await);
        let send = |time_left: &'static str| {
            let gateway = Rc::clone(&gateway);
            monoio::spawn(async move {
                let mut caller = gateway.connect_caller().await;
                let headers = [("baobabvane-time-left-ms", time_left)];
                let answer = caller.request(Method::POST, "/postings/", &headers).await;
                answer.expect("an answer").status.as_u16()
            })
        };
        let running: Vec<_> = (0..4).map(|_| send("20000")).collect();
        eventually(|| endpoint.received_requests().len() == 4).await;
        let (long, short) = (send("15000"), send("6000"));
        sleep(Duration::from_millis(100)).await;
        gateway.stop.stop();
        assert_eq!(long.await, 503);
        assert_eq!(short.await, 200);
        for request in running {
            assert_eq!(request.await, 200);
        }
        assert_eq!(endpoint.received_requests().len(), 5);
    });
}

/// Guards against requests that come late in the grace period, are passed on and cut at its end.
#[test]
fn requests_that_come_late_in_a_stop_are_answered_or_not_passed_on() {
    block_on(async {
        let work = Duration::from_millis(4_500);
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::DelayedAnswer(work, "done")]);
        let mut entry = endpoint.entry.clone();
        entry.slots = 100;
        let gateway = Rc::new(GatewayFixture::start(&[]).await);
        gateway.list_entries(vec![entry]);
        gateway.stop.stop();
        let mut requests = Vec::new();
        while gateway.unanswered_at_end.get().is_none() {
            let gateway = Rc::clone(&gateway);
            requests.push(monoio::spawn(async move {
                let mut caller = gateway.try_connect_caller().await.ok()?;
                let answer = caller.request(Method::POST, "/postings/", &[]).await;
                Some(answer.expect("a request that was read is answered").status.as_u16())
            }));
            sleep(Duration::from_millis(150)).await;
        }
        assert_eq!(gateway.unanswered_at_end.get(), Some(0));
        let mut served = 0;
        for request in requests {
            match request.await {
                Some(200) => served += 1,
                Some(status) => assert_eq!(status, 503),
                None => {}
            }
        }
        assert!(served > 0);
        assert_eq!(endpoint.received_requests().len(), served);
    });
}

/// Guards against answers that a stop cuts and that look complete.
#[test]
fn stream_that_outlasts_a_stop_is_cut_after_a_whole_event() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::StalledEvents(2)]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let mut caller = gateway.connect_caller().await;
        caller.send(Method::POST, "/quotes/", &[]).await.unwrap();
        eventually(|| endpoint.received_requests().len() == 1).await;
        gateway.stop.stop();
        let (text, end) = caller.read_pieces().await;
        assert_eq!((text, end.is_ok()), (events(1, 2), false));
        assert_eq!(gateway.unanswered_at_end.get(), None);
        eventually(|| gateway.unanswered_at_end.get() == Some(0)).await;
    });
}
