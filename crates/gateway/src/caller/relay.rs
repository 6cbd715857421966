//! Forwards an event stream to the caller.
//!
//! Only complete events are forwarded, and a stream that ends inside one has been broken off, also
//! if its end is proper otherwise. When an endpoint fails, the stream is resumed at another one
//! after the last forwarded event if the route, its limit on attempts and the retry budget allow
//! it. Events that the caller already has are recognised by their ids and not repeated.

use std::time::Duration;

use baobabvane_decide::Ending;
use baobabvane_wire::{ServerConn, WireError};
use bytes::Bytes;
use monoio::time::{Instant, sleep};

use super::exchange::{Exchange, ResponseStream};
use crate::events::EventParser;

/// A stream that may still be resumed is treated as broken after no event for at least this
/// multiple of the route's `max_gap_ms`.
const SILENCE_TIMEOUT_GAP_MULTIPLE: u32 = 4;

/// A caller that takes longer to accept an event holds back the endpoint's next ones, so the gaps of
/// its stream are not samples of the endpoint.
const MAX_SAMPLE_WRITE: Duration = Duration::from_millis(20);

/// The caller got only a part of the response.
#[derive(Debug)]
pub(super) struct Truncated;

/// Why forwarding from one endpoint ended.
enum RelayEnd {
    /// The endpoint ended the stream properly.
    Complete,
    /// The endpoint's connection failed or was silent for too long, with the cause for logs.
    Broken(&'static str),
    CallerDisconnected,
    /// The request's timeout elapsed.
    TimedOut,
    /// The instance ends before the stream.
    Stopping,
    /// No memory was free for an event.
    NoMemory,
}

/// Writes the response head and forwards the events until the stream ends.
///
/// Fails when the response is incomplete; the connection must then be closed.
pub(super) async fn relay(
    exchange: &Exchange<'_>,
    conn: &mut ServerConn,
    stream: Box<ResponseStream>,
) -> Result<(), Truncated> {
    let mut parser = EventParser::resume_after(exchange.request.last_event_id);
    let mut head = stream.head.headers().clone();
    exchange.remove_unforwarded_headers(&mut head);
    let mut res = http::Response::new(());
    *res.status_mut() = stream.head.status();
    *res.headers_mut() = head;
    if conn.start_stream(res).await.is_err() {
        exchange.log_caller_left();
        return Err(Truncated);
    }
    let mut stream = stream;
    loop {
        let endpoint = stream.endpoint;
        let endpoint_id = stream.endpoint_id.clone();
        let end = relay_from_endpoint(exchange, conn, stream, &mut parser).await;
        match end {
            RelayEnd::Complete => {
                let ended = conn.end_stream().await;
                log_stream_end(exchange, "answered", &parser, &endpoint_id, "complete");
                return ended.map_err(|_| Truncated);
            }
            RelayEnd::CallerDisconnected => {
                log_stream_end(exchange, "caller_left", &parser, &endpoint_id, "caller left");
                return Err(Truncated);
            }
            RelayEnd::TimedOut => {
                log_stream_end(exchange, "stream_cut", &parser, &endpoint_id, "out of time");
                return Err(Truncated);
            }
            RelayEnd::Stopping => {
                log_stream_end(exchange, "stream_cut", &parser, &endpoint_id, "stopping");
                return Err(Truncated);
            }
            RelayEnd::NoMemory => {
                log_stream_end(exchange, "stream_cut", &parser, &endpoint_id, "no memory");
                return Err(Truncated);
            }
            RelayEnd::Broken(cause) => {
                parser.discard_partial();
                exchange.log(
                    "stream_broken",
                    format_args!(
                        "endpoint={endpoint_id} cause={cause:?} last_event={:?}",
                        parser.last_event_id()
                    ),
                );
                let last_event_id = parser.last_event_id();
                let resumed = monoio::select! {
                    resumed = exchange.resume(last_event_id, endpoint) => resumed,
                    () = conn.peer_closed() => None,
                    () = exchange.cx.drain.until_last_answers() => None,
                };
                match resumed {
                    Some(resumed_stream) => stream = resumed_stream,
                    None => {
                        log_stream_end(exchange, "stream_cut", &parser, &endpoint_id, cause);
                        return Err(Truncated);
                    }
                }
            }
        }
    }
}

async fn relay_from_endpoint(
    exchange: &Exchange<'_>,
    conn: &mut ServerConn,
    stream: Box<ResponseStream>,
    parser: &mut EventParser,
) -> RelayEnd {
    let ResponseStream { head, mut upstream, mut in_flight, endpoint, endpoint_id, mut permit } =
        *stream;
    let initial_bytes = permit.bytes();
    let forwarded_before = parser.forwarded_events();
    let mut last_event_at = Instant::now();
    loop {
        let received = match wait_for_data(exchange, conn, &mut upstream, last_event_at).await {
            WaitResult::Data(data) => data,
            WaitResult::CallerDisconnected => return RelayEnd::CallerDisconnected,
            WaitResult::TimedOut => return RelayEnd::TimedOut,
            WaitResult::Stopping => return RelayEnd::Stopping,
            WaitResult::EndpointSilent => {
                in_flight.end(Ending::Failed);
                return RelayEnd::Broken("the endpoint is silent");
            }
        };
        match received {
            Ok(Some(data)) => {
                let held_bytes = parser.held_bytes() + data.len();
                permit.shrink_to(held_bytes.max(initial_bytes));
                if !permit.try_grow_to(held_bytes) {
                    return RelayEnd::NoMemory;
                }
                let events_before = parser.forwarded_events();
                let Ok(complete_events) = parser.push(&data) else {
                    in_flight.end(Ending::Failed);
                    return RelayEnd::Broken("an event is too long");
                };
                let events = parser.forwarded_events() - events_before;
                if events > 0 {
                    last_event_at = Instant::now();
                }
                if events > 0 {
                    in_flight.record_progress();
                    in_flight.record_events(events, estimate_answer_tokens(exchange, events));
                }
                let write_began = Instant::now();
                if conn.write_chunk(&complete_events).await.is_err() {
                    return RelayEnd::CallerDisconnected;
                }
                if write_began.elapsed() > MAX_SAMPLE_WRITE {
                    in_flight.record_held_back();
                }
            }
            Ok(None) => {
                let has_events = parser.forwarded_events() > forwarded_before;
                let is_cut_before_events = upstream.is_close_delimited() && !has_events;
                let Some(trailing) = parser.finish().ok().filter(|_| !is_cut_before_events) else {
                    const CAUSE: &str = "the stream ended before or inside an event";
                    let error = WireError::UnexpectedEof;
                    exchange.log_endpoint_failed(&endpoint_id, has_events, CAUSE, &error);
                    in_flight.break_off(&error);
                    return RelayEnd::Broken(CAUSE);
                };
                if conn.write_chunk(&trailing).await.is_err() {
                    return RelayEnd::CallerDisconnected;
                }
                let answer_tokens =
                    estimate_answer_tokens(exchange, parser.forwarded_events() - forwarded_before);
                in_flight.complete(answer_tokens, upstream.is_close_delimited());
                exchange.cx.endpoint_connections.release(endpoint, upstream, head.headers());
                return RelayEnd::Complete;
            }
            Err(e) => {
                const CAUSE: &str = "the stream broke off";
                let has_begun = in_flight.has_response_started();
                exchange.log_endpoint_failed(&endpoint_id, has_begun, CAUSE, &e);
                in_flight.break_off(&e);
                return RelayEnd::Broken(CAUSE);
            }
        }
    }
}

fn estimate_answer_tokens(exchange: &Exchange<'_>, events: u32) -> u32 {
    let configuration = exchange.cx.knowledge.configuration();
    let pool = configuration.pools.iter().find(|p| *p.name == *exchange.request.pool);
    let tokens_per_event = pool.and_then(|p| p.engine).map_or(1, |e| e.tokens_per_event.max(1));
    events.saturating_mul(tokens_per_event)
}

/// What happened first while waiting for data from the endpoint.
enum WaitResult {
    Data(Result<Option<Bytes>, WireError>),
    CallerDisconnected,
    TimedOut,
    Stopping,
    EndpointSilent,
}

/// Waits for data from the endpoint.
///
/// Silence counts from the last complete event, as an endpoint that has stalled may still send
/// single bytes, blank lines or comments.
async fn wait_for_data(
    exchange: &Exchange<'_>,
    conn: &mut ServerConn,
    upstream: &mut baobabvane_wire::ClientConn,
    last_event_at: Instant,
) -> WaitResult {
    let time_left = exchange.time_left();
    let gap_limit =
        Duration::from_millis(exchange.request.route.max_gap_ms) * SILENCE_TIMEOUT_GAP_MULTIPLE;
    let silence_timeout = exchange
        .silence_timeout()
        .map(|s| s.max(gap_limit).saturating_sub(last_event_at.elapsed()));
    let wait = silence_timeout.map_or(time_left, |s| s.min(time_left));
    // Cancelling an unfinished read loses the bytes it has read. That is harmless, as every
    // other branch abandons the upstream connection.
    monoio::select! {
        data = upstream.next_piece() => WaitResult::Data(data),
        () = conn.peer_closed() => WaitResult::CallerDisconnected,
        () = exchange.cx.drain.until_last_answers() => WaitResult::Stopping,
        () = sleep(wait) => if wait < time_left {
            WaitResult::EndpointSilent
        } else {
            WaitResult::TimedOut
        },
    }
}

fn log_stream_end(
    exchange: &Exchange<'_>,
    event: &'static str,
    parser: &EventParser,
    endpoint: &str,
    cause: &str,
) {
    exchange.record_outcome(event);
    let timing = parser.timing();
    let first_ms = timing
        .first_event_at
        .map(|at| at.saturating_duration_since(exchange.received_at()).as_millis());
    exchange.log(
        event,
        format_args!(
            "route={} endpoint={endpoint} events={} cause={cause:?} first_ms={first_ms:?} \
             gap_ms={} ms={} tried={}",
            exchange.request.route.name,
            parser.forwarded_events(),
            timing.longest_gap.as_millis(),
            exchange.received_at().elapsed().as_millis(),
            exchange.attempt_count()
        ),
    );
}
