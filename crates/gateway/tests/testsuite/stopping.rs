//! A graceful stop: what was taken is finished, and nothing is taken too late.

use std::time::Duration;

use http::Method;
use monoio::time::sleep;

use crate::{
    endpoint::{Endpoint, Script},
    stage::{Stage, block_on},
};

/// Longer than new requests are served after the request to stop.
const LATE: Duration = Duration::from_millis(2_700);

#[test]
fn a_stopping_instance_finishes_what_it_took() {
    block_on(async {
        let scripts = [Script::Late(Duration::from_millis(500), "done")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let stage = Stage::new(&[&endpoint]).await;
        let mut caller = stage.caller().await;
        caller.send(Method::POST, "/postings/", &[]).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        stage.stop.stop();
        let answer = caller.answer(&Method::POST).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "done"));
        assert_eq!(answer.headers["connection"], "close");
        assert_eq!(stage.ready_status().await, 503);
    });
}

#[test]
fn a_stopping_instance_lets_go_of_idle_connections() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let stage = Stage::new(&[&endpoint]).await;
        let mut idle = stage.caller().await;
        idle.request(Method::GET, "/reads/", &[]).await.unwrap();
        stage.stop.stop();
        assert!(idle.closed().await);
    });
}

#[test]
fn callers_that_still_arrive_are_served_at_first_and_then_sent_elsewhere() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "done")]);
        let stage = Stage::new(&[&endpoint]).await;
        stage.stop.stop();
        sleep(Duration::from_millis(200)).await;
        let mut early = stage.caller().await;
        let answer = early.request(Method::GET, "/reads/", &[]).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["connection"], "close");
        sleep(LATE).await;
        if let Ok(mut late) = stage.try_caller().await {
            let answer = late.request(Method::GET, "/reads/", &[]).await.unwrap();
            assert_eq!(answer.status, 503);
            assert!(answer.headers.contains_key("retry-after"));
        }
        assert_eq!(endpoint.seen().len(), 1);
    });
}
