//! Passes a stream on, event by event, over one or several endpoints.

use std::time::Duration;

use baobabvane_decide::Ending;
use baobabvane_wire::{ServerConn, WireError};
use bytes::Bytes;
use monoio::time::sleep;

use super::exchange::{Exchange, Stream};
use crate::events::EventStream;

/// A stream that may go on elsewhere is given up after this many of the route's
/// longest pauses without an event.
const SILENT_GAPS: u32 = 4;

/// The caller got a part of the answer only.
#[derive(Debug)]
pub(super) struct Cut;

/// How the part of a stream that one endpoint sends came to its end.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The endpoint broke off.
    Broken(&'static str),
    /// The caller has gone away.
    CallerLeft,
    /// The route's time is over.
    TimedOut,
}

/// Sends the answer to the caller; `Err` when it is cut.
pub(super) async fn relay(
    exchange: &Exchange<'_>,
    conn: &mut ServerConn,
    stream: Box<Stream>,
) -> Result<(), Cut> {
    let mut events = EventStream::after(exchange.incoming.last_event_id);
    let mut head = stream.head.headers().clone();
    exchange.clean(&mut head);
    let mut res = http::Response::new(());
    *res.status_mut() = stream.head.status();
    *res.headers_mut() = head;
    if conn.start_stream(res).await.is_err() {
        exchange.log_left();
        return Err(Cut);
    }
    let mut stream = stream;
    loop {
        let endpoint = stream.endpoint;
        let endpoint_id = stream.endpoint_id.clone();
        let end = relay_part(exchange, conn, stream, &mut events).await;
        match end {
            PartEnd::Complete => {
                let ended = conn.end_stream().await;
                log_end(exchange, "answered", &events, &endpoint_id, "complete");
                return ended.map_err(|_| Cut);
            }
            PartEnd::CallerLeft => {
                log_end(exchange, "caller_left", &events, &endpoint_id, "caller left");
                return Err(Cut);
            }
            PartEnd::TimedOut => {
                log_end(exchange, "stream_cut", &events, &endpoint_id, "out of time");
                return Err(Cut);
            }
            PartEnd::Broken(cause) => {
                events.break_off();
                exchange.log(
                    "stream_broken",
                    format_args!(
                        "endpoint={endpoint_id} cause={cause:?} last_event={:?}",
                        events.last_id()
                    ),
                );
                let last = events.last_id();
                let resumed = monoio::select! {
                    resumed = exchange.resume(last, endpoint) => resumed,
                    () = conn.closed() => None,
                };
                match resumed {
                    Some(next) => stream = next,
                    None => {
                        log_end(exchange, "stream_cut", &events, &endpoint_id, cause);
                        return Err(Cut);
                    }
                }
            }
        }
    }
}

async fn relay_part(
    exchange: &Exchange<'_>,
    conn: &mut ServerConn,
    stream: Box<Stream>,
    events: &mut EventStream,
) -> PartEnd {
    let Stream { head, mut link, mut flight, endpoint, .. } = *stream;
    let before = events.passed();
    loop {
        let arrived = match next_piece(exchange, conn, &mut link).await {
            Next::Piece(piece) => piece,
            Next::CallerLeft => return PartEnd::CallerLeft,
            Next::TimedOut => return PartEnd::TimedOut,
            Next::Silent => {
                flight.end(Ending::Failed);
                return PartEnd::Broken("the endpoint is silent");
            }
        };
        match arrived {
            Ok(Some(piece)) => {
                let whole = events.push(&piece);
                if events.passed() > before {
                    flight.first_piece();
                }
                if conn.write_chunk(&whole).await.is_err() {
                    return PartEnd::CallerLeft;
                }
            }
            Ok(None) => {
                let rest = events.finish();
                if conn.write_chunk(&rest).await.is_err() {
                    return PartEnd::CallerLeft;
                }
                let answer_tokens = answer_tokens(exchange, events.passed() - before);
                flight.end(Ending::Complete { answer_tokens });
                exchange.cx.links.keep(endpoint, link, head.headers());
                return PartEnd::Complete;
            }
            Err(e) => {
                flight.end(Ending::Failed);
                exchange.log("endpoint_failed", format_args!("error={:?}", e.to_string()));
                return PartEnd::Broken("the stream broke off");
            }
        }
    }
}

fn answer_tokens(exchange: &Exchange<'_>, events: u32) -> u32 {
    let configuration = exchange.cx.knowledge.configuration();
    let pool = configuration.pools.iter().find(|p| *p.name == *exchange.incoming.pool);
    let each = pool.and_then(|p| p.engine).map_or(1, |e| e.tokens_per_event.max(1));
    events * each
}

/// What happened first.
enum Next {
    Piece(Result<Option<Bytes>, WireError>),
    CallerLeft,
    TimedOut,
    Silent,
}

async fn next_piece(
    exchange: &Exchange<'_>,
    conn: &mut ServerConn,
    upstream: &mut baobabvane_wire::ClientConn,
) -> Next {
    let time_left = exchange.time_left();
    let gap = Duration::from_millis(exchange.incoming.route.max_gap_ms) * SILENT_GAPS;
    let silence = exchange.silence().map(|s| s.max(gap));
    let wait = silence.map_or(time_left, |s| s.min(time_left));
    // Dropping an unfinished read loses what it had read, but each other outcome
    // gives the connection up anyway.
    monoio::select! {
        piece = upstream.next_piece() => Next::Piece(piece),
        () = conn.closed() => Next::CallerLeft,
        () = sleep(wait) => if wait < time_left { Next::Silent } else { Next::TimedOut },
    }
}

fn log_end(
    exchange: &Exchange<'_>,
    event: &'static str,
    events: &EventStream,
    endpoint: &str,
    cause: &str,
) {
    exchange.record(event);
    let pace = events.pace();
    let first_ms =
        pace.first_at.map(|at| at.saturating_duration_since(exchange.began()).as_millis());
    exchange.log(
        event,
        format_args!(
            "route={} endpoint={endpoint} events={} cause={cause:?} first_ms={first_ms:?} \
             gap_ms={} ms={} tried={}",
            exchange.incoming.route.name,
            events.passed(),
            pace.longest_gap.as_millis(),
            exchange.began().elapsed().as_millis(),
            exchange.endpoints_tried()
        ),
    );
}
