//! Streams: nothing is lost, doubled or joined, and a cut never looks complete.

use baobabvane_gateway::Semantics;
use http::Method;

use crate::{
    endpoint::{Endpoint, Script},
    stage::{Stage, block_on, events, eventually},
};

async fn stream(stage: &Stage, path: &str) -> (String, bool) {
    let mut caller = stage.caller().await;
    caller.send(Method::POST, path, &[]).await.unwrap();
    let (text, end) = caller.pieces().await;
    (text, end.is_ok())
}

#[test]
fn a_whole_stream_passes() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Events(5)]);
        let stage = Stage::new(&[&endpoint]).await;
        assert_eq!(stream(&stage, "/quotes/").await, (events(1, 5), true));
    });
}

#[test]
fn a_broken_stream_goes_on_elsewhere_where_that_is_allowed() {
    block_on(async {
        let scripts = [Script::BrokenEvents(3), Script::Events(6)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let stage = Stage::new(&[&endpoint]).await;
        assert_eq!(stream(&stage, "/answers/").await, (events(1, 6), true));
        let seen = endpoint.seen();
        assert_eq!(seen[0].header("last-event-id"), None);
        assert_eq!(seen[1].header("last-event-id"), Some("3"));
    });
}

#[test]
fn a_broken_stream_that_may_not_go_on_is_cut_after_its_last_whole_event() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::BrokenEvents(3)]);
        let stage = Stage::new(&[&endpoint]).await;
        assert_eq!(stream(&stage, "/quotes/").await, (events(1, 3), false));
        assert_eq!(endpoint.seen().len(), 1);
    });
}

#[test]
fn a_stream_that_fails_everywhere_is_cut() {
    block_on(async {
        let scripts = [Script::BrokenEvents(3), Script::BrokenEvents(4), Script::BrokenEvents(5)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let stage = Stage::new(&[&endpoint]).await;
        assert_eq!(stage.configuration.routes[2].semantics, Semantics::Stream);
        assert_eq!(stream(&stage, "/answers/").await, (events(1, 5), false));
        assert_eq!(endpoint.seen().len(), 3);
    });
}

#[test]
fn a_stalled_stream_goes_on_elsewhere() {
    block_on(async {
        let scripts = [Script::StalledEvents(2), Script::Events(4)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let stage = Stage::new(&[&endpoint]).await;
        assert_eq!(stream(&stage, "/answers/").await, (events(1, 4), true));
        assert_eq!(endpoint.cancelled(), 1);
    });
}

#[test]
fn a_stream_that_breaks_late_goes_on_as_its_caller_has_had_events_until_then() {
    block_on(async {
        let scripts = [Script::StalledEvents(2), Script::Events(4)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let stage = Stage::new(&[&endpoint]).await;
        // Shorter than the silence after which an endpoint is given up.
        let mut configuration = stage.configuration.clone();
        configuration.version += 1;
        configuration.routes.iter_mut().for_each(|r| r.max_silence_ms = 1_000);
        stage.feed.configuration_changed(configuration);
        assert_eq!(stream(&stage, "/answers/").await, (events(1, 4), true));
    });
}

#[test]
fn a_caller_may_go_on_after_its_last_event() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Events(5)]);
        let stage = Stage::new(&[&endpoint]).await;
        let mut caller = stage.caller().await;
        caller.send(Method::POST, "/answers/", &[("last-event-id", "2")]).await.unwrap();
        let (text, end) = caller.pieces().await;
        assert_eq!((text, end.is_ok()), (events(3, 5), true));
    });
}

#[test]
fn a_caller_that_leaves_a_stream_cancels_it() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::StalledEvents(1)]);
        let stage = Stage::new(&[&endpoint]).await;
        let mut caller = stage.caller().await;
        caller.send(Method::POST, "/quotes/", &[]).await.unwrap();
        eventually(|| endpoint.seen().len() == 1).await;
        drop(caller);
        eventually(|| endpoint.cancelled() == 1).await;
    });
}
