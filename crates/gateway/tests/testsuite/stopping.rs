//! Tests of a graceful stop: accepted requests finish, and late ones are rejected.

use std::time::Duration;

use http::Method;
use monoio::time::sleep;

use crate::{
    endpoint::{Endpoint, Script},
    fixture::{GatewayFixture, block_on},
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
