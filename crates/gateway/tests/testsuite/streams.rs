//! Tests of streams: no event is lost, repeated or merged with another, and a stream that is
//! cut off never looks complete.

use std::time::Duration;

use baobabvane_gateway::Semantics;
use http::Method;

use crate::{
    endpoint::{Endpoint, Script},
    fixture::{GatewayFixture, MAX_ENDLESS_BYTES, block_on, events, eventually},
};

/// Requests a stream; returns its text and whether it ended properly.
async fn request_stream(gateway: &GatewayFixture, path: &str) -> (String, bool) {
    let mut caller = gateway.connect_caller().await;
    caller.send(Method::POST, path, &[]).await.unwrap();
    let (text, end) = caller.read_pieces().await;
    (text, end.is_ok())
}

#[test]
fn complete_stream_is_forwarded() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Events(5)]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/quotes/").await, (events(1, 5), true));
    });
}

#[test]
fn broken_resumable_stream_continues_on_another_attempt() {
    block_on(async {
        let scripts = [Script::BrokenEvents(3), Script::Events(6)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/answers/").await, (events(1, 6), true));
        let received = endpoint.received_requests();
        assert_eq!(received[0].header("last-event-id"), None);
        assert_eq!(received[1].header("last-event-id"), Some("3"));
    });
}

#[test]
fn broken_non_resumable_stream_is_cut_after_its_last_whole_event() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::BrokenEvents(3)]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/quotes/").await, (events(1, 3), false));
        assert_eq!(endpoint.received_requests().len(), 1);
    });
}

#[test]
fn stream_is_cut_once_all_attempts_have_failed() {
    block_on(async {
        let scripts = [Script::BrokenEvents(3), Script::BrokenEvents(4), Script::BrokenEvents(5)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(gateway.configuration.routes[2].semantics, Semantics::Stream);
        assert_eq!(request_stream(&gateway, "/answers/").await, (events(1, 5), false));
        assert_eq!(endpoint.received_requests().len(), 3);
    });
}

#[test]
fn stalled_resumable_stream_continues_on_another_attempt() {
    block_on(async {
        let scripts = [Script::StalledEvents(2), Script::Events(4)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/answers/").await, (events(1, 4), true));
        assert_eq!(endpoint.cancelled_requests(), 1);
    });
}

#[test]
fn stream_stalled_for_longer_than_max_silence_still_continues() {
    block_on(async {
        let scripts = [Script::StalledEvents(2), Script::Events(4)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        // `max_silence_ms` is shorter than the silence after which the gateway tries another
        // endpoint. The gateway measures the caller's silence anew when it resumes the stream, so
        // the stream still continues.
        let mut configuration = gateway.configuration.clone();
        configuration.version += 1;
        configuration.routes.iter_mut().for_each(|r| r.max_silence_ms = 1_000);
        gateway.feed.configuration_changed(configuration);
        assert_eq!(request_stream(&gateway, "/answers/").await, (events(1, 4), true));
    });
}

#[test]
fn resumable_stream_that_drips_bytes_without_an_event_continues_on_another_attempt() {
    block_on(async {
        let scripts = [Script::DrippedEvents(2), Script::Events(4)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let stream = request_stream(&gateway, "/answers/");
        let stream = monoio::time::timeout(Duration::from_secs(10), stream).await;
        assert_eq!(stream.expect("the dripping attempt is ended"), (events(1, 4), true));
        eventually(|| endpoint.cancelled_requests() == 1).await;
    });
}

#[test]
fn stream_whose_gaps_are_shorter_than_the_silence_timeout_is_not_cut() {
    block_on(async {
        // The whole stream takes longer than the silence timeout of 1.5 s.
        let script = Script::SlowEvents(Duration::from_millis(400), 6);
        let endpoint = Endpoint::spawn("e1", "desk", &[script]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/answers/").await, (events(1, 6), true));
        assert_eq!(endpoint.received_requests().len(), 1);
    });
}

#[test]
fn event_without_end_is_cut_and_the_stream_continues_on_another_attempt() {
    block_on(async {
        let scripts = [Script::EndlessEvent(2), Script::Events(4)];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let stream = request_stream(&gateway, "/answers/").await;
        assert_eq!(stream, (events(1, 4), true));
        eventually(|| endpoint.cancelled_requests() == 1).await;
        assert!(endpoint.endless_bytes() < MAX_ENDLESS_BYTES, "{}", endpoint.endless_bytes());
    });
}

#[test]
fn caller_resumes_a_stream_with_last_event_id() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Events(5)]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let mut caller = gateway.connect_caller().await;
        caller.send(Method::POST, "/answers/", &[("last-event-id", "2")]).await.unwrap();
        let (text, end) = caller.read_pieces().await;
        assert_eq!((text, end.is_ok()), (events(3, 5), true));
    });
}

#[test]
fn caller_disconnect_cancels_its_stream() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::StalledEvents(1)]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let mut caller = gateway.connect_caller().await;
        caller.send(Method::POST, "/quotes/", &[]).await.unwrap();
        eventually(|| endpoint.received_requests().len() == 1).await;
        drop(caller);
        eventually(|| endpoint.cancelled_requests() == 1).await;
    });
}

#[test]
fn stream_without_length_or_chunks_is_forwarded_to_its_end() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::EventsUntilClose(5, "")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/quotes/").await, (events(1, 5), true));
    });
}

#[test]
fn stream_that_ends_inside_an_event_is_broken_off() {
    block_on(async {
        let scripts = [Script::EventsUntilClose(3, "id: 4\nda"), Script::EventsUntilClose(6, "")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/answers/").await, (events(1, 6), true));
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::EventsUntilClose(3, "id: 4\nda")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/quotes/").await, (events(1, 3), false));
    });
}

#[test]
fn stream_that_ends_with_its_connection_before_its_first_event_is_broken_off() {
    block_on(async {
        let scripts = [Script::EventsUntilClose(0, ""), Script::EventsUntilClose(6, "")];
        let endpoint = Endpoint::spawn("e1", "desk", &scripts);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        assert_eq!(request_stream(&gateway, "/answers/").await, (events(1, 6), true));
    });
}

#[test]
fn an_error_of_the_next_endpoint_never_appears_in_a_stream_that_broke_off() {
    let errors = [
        Script::Answer(500, "id: 9\ndata: failed\n\n"),
        Script::Answer(404, "id: 9\ndata: failed\n\n"),
        Script::NotExecuted,
        Script::Answer(200, "id: 9\ndata: an error page\n\n"),
        Script::UntilClose("id: 9\ndata: an error page\n\n"),
        Script::Garbage,
    ];
    block_on(async {
        for error in errors {
            let case = format!("{error:?}");
            let scripts = [Script::BrokenEvents(2), error];
            let endpoint = Endpoint::spawn("e1", "desk", &scripts);
            let gateway = GatewayFixture::start(&[&endpoint]).await;
            let mut caller = gateway.connect_caller().await;
            caller.send(Method::POST, "/answers/", &[]).await.expect("the gateway reads");
            let (text, end) = caller.read_pieces().await;
            assert_eq!(text, events(1, 2), "{case}");
            assert!(end.is_err(), "{case}: the stream looks complete");
        }
    });
}

/// Guards against bytes between chunks that pass for the end of the body, so that a caller takes a
/// part of an answer for all of it.
#[test]
fn an_answer_that_goes_on_without_chunks_never_looks_complete() {
    block_on(async {
        for text in ["\r\n", "\n", "\r", ";\r\n", "0", "-0\r\n\r\n", "\0"] {
            let scripts = [Script::NoChunksAfterEvents(text)];
            let endpoint = Endpoint::spawn("e1", "desk", &scripts);
            let gateway = GatewayFixture::start(&[&endpoint]).await;
            assert_eq!(gateway.post("/postings/").await.status, 502, "{text:?}");
            let stream = request_stream(&gateway, "/quotes/").await;
            assert_eq!(stream, (events(1, 2), false), "{text:?}");
            eventually(|| endpoint.cancelled_requests() == 2).await;
        }
    });
}
