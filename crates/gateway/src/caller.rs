//! Serves the HTTP/1.1 connections of callers.
//!
//! Each connection is one task that reads a request, checks it (`admission`), sends it to
//! endpoints (`exchange`, `flight`) and writes the response (`relay`, `reply`). A request that
//! could be read gets one response, unless its caller disconnects first or a stream breaks off.

mod admission;
mod connections;
mod exchange;
mod failure;
mod flight;
mod relay;
mod reply;
mod report;

use std::{rc::Rc, time::Duration};

use baobabvane_tasks::{CountGuard, Turn, spawn_isolated};
use baobabvane_wire::{Body, Limits, MemoryKind, Permit, Request, ServerConn, WireError};
use monoio::{
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

pub(crate) use self::connections::CallerConnections;
use self::{
    connections::{CallerConnection, Phase},
    exchange::{EndpointResponse, Exchange},
    failure::Failure,
};
use crate::context::Context;

/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time that a request body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// A caller that accepts no byte within this time is treated as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// What the task, the socket and the buffers of a connection take beside its request.
const CONNECTION_BYTES: usize = 8 * 1024;
/// What connections leave for the heads and small bodies of their requests.
const HEADS_RESERVE_BYTES: usize = 1024 * 1024;
/// How many connections are asked to close for a new one, at most. One suffices unless memory is short.
const MAX_CLOSED_FOR_ONE: usize = 4;
/// How long a connection that was asked to close may take before another one is asked.
const MAX_CLOSING_TIME: Duration = Duration::from_millis(50);
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How long a connection that has carried no request yet stays open when draining begins.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection stays open when draining begins, for a request that was sent before
/// its caller could see the connection close.
const CROSSING_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);

/// Whether a caller's connection stays open after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionAction {
    KeepOpen,
    Close,
}

/// Accepts callers' connections until the process ends and serves each in its own task.
pub(crate) async fn accept_connections(listener: TcpListener, cx: Rc<Context>) {
    let mut turn = Turn::default();
    loop {
        turn.pause_if_spent().await;
        turn.spend(0);
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(permit) = make_room_for_connection(&cx).await else {
                    cx.caller_connections.count_refused();
                    continue;
                };
                let counted = cx.caller_connections.add();
                let cx = Rc::clone(&cx);
                spawn_isolated("caller", serve_connection(stream, counted, permit, cx));
            }
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the memory for another connection. At the bound of connections or of memory, a connection
/// is closed for it: the one that has been idle for longest, one whose request does not arrive, or a
/// slow reader.
async fn make_room_for_connection(cx: &Context) -> Option<Permit> {
    let reserve = || match cx.caller_connections.open() < cx.max_caller_connections {
        true => cx.memory.try_reserve_leaving(
            MemoryKind::Callers,
            CONNECTION_BYTES,
            HEADS_RESERVE_BYTES,
        ),
        false => None,
    };
    for _ in 0..MAX_CLOSED_FOR_ONE {
        let asked_at = Instant::now();
        let mut permit = reserve();
        let is_closing = permit.is_none()
            && (cx.caller_connections.close_one(asked_at)
                || cx.memory.evict_slowest_reader(asked_at));
        while permit.is_none() && is_closing && asked_at.elapsed() < MAX_CLOSING_TIME {
            monoio::time::sleep(CLOSING_POLL_INTERVAL).await;
            permit = reserve();
        }
        if permit.is_some() || !is_closing {
            return permit;
        }
    }
    None
}

fn connection_limits(cx: &Context) -> Limits {
    let configured = cx.knowledge.route_table().limits;
    Limits {
        head_bytes: configured.head_bytes,
        body_bytes: configured.body_bytes,
        idle_timeout: Duration::from_millis(configured.idle_timeout_ms),
        head_timeout: Duration::from_millis(configured.head_timeout_ms),
        body_timeout: BODY_TIMEOUT,
        write_timeout: WRITE_TIMEOUT,
    }
}

async fn serve_connection(
    stream: TcpStream,
    mut counted: CallerConnection,
    permit: Permit,
    cx: Rc<Context>,
) {
    let mut conn =
        ServerConn::new(stream, connection_limits(&cx)).with_budget(Rc::clone(&cx.memory), permit);
    let mut is_new = true;
    loop {
        let closing = counted.enter(Phase::Idle, Instant::now());
        monoio::select! {
            has_request = wait_for_request(&cx, &mut conn, is_new) => if !has_request {
                return;
            },
            _ = closing => return,
        }
        is_new = false;
        let closing = counted.enter(Phase::Receiving, Instant::now());
        let request = monoio::select! {
            request = Box::pin(conn.read_request()) => request,
            _ = closing => return,
        };
        counted.serve();
        match request {
            Ok(Some(req)) => {
                // Boxed, so that an idle connection does not take the memory of its requests.
                let action = Box::pin(handle_request(&cx, &mut conn, req)).await;
                if action == ConnectionAction::Close {
                    return;
                }
                if !conn.is_keep_alive() {
                    Box::pin(conn.lingering_close()).await;
                    return;
                }
            }
            Ok(None) => return,
            Err(e) => {
                Box::pin(reject_unreadable_request(conn, &e)).await;
                return;
            }
        }
    }
}

/// Waits for the first byte of a request; returns false if the connection is to be closed.
///
/// Idle connections that wait here when draining begins are closed. A caller whose connection
/// closes before its request was read can safely send the request to another instance. A
/// connection that has carried no request yet, or gets here during the drain, may still send one;
/// it is closed after the response.
async fn wait_for_request(cx: &Context, conn: &mut ServerConn, is_new: bool) -> bool {
    if cx.drain.has_begun() {
        return matches!(conn.wait_for_request().await, Ok(true));
    }
    monoio::select! {
        arrived = conn.wait_for_request() => return matches!(arrived, Ok(true)),
        () = cx.drain.begun() => {}
    }
    let last_wait = if is_new { FIRST_REQUEST_TIMEOUT } else { CROSSING_REQUEST_TIMEOUT };
    matches!(timeout(last_wait, conn.wait_for_request()).await, Ok(Ok(true)))
}

/// Responds to a malformed, oversized or late request, then closes the connection.
async fn reject_unreadable_request(mut conn: ServerConn, error: &WireError) {
    log::info!("event=unread_request error={:?}", error.to_string());
    let reason = reply::reason(error);
    metrics::counter!("baobabvane_gateway_refused_total", "reason" => reason).increment(1);
    let Some(res) = reply::for_unreadable_request(error) else { return };
    conn.close_after_response();
    if conn.write_response(res).await.is_ok() {
        conn.lingering_close().await;
    }
}

async fn handle_request(cx: &Context, conn: &mut ServerConn, req: Request) -> ConnectionAction {
    let _counted = CountGuard::new(&cx.active_requests);
    if cx.drain.has_begun() {
        conn.close_after_response();
    }
    let request = match admission::admit(cx, req, conn.request_started_at()) {
        Ok(request) => request,
        Err(rejection) => {
            rejection.log();
            return write_response(conn, rejection.into_response()).await;
        }
    };
    let exchange = Exchange::new(cx, request);
    let result = {
        monoio::select! {
            result = exchange.response() => Some(result),
            () = conn.peer_closed() => None,
            () = cx.drain.until_last_answers() => {
                Some(Err(Failure::Stopping(exchange.verdict.get())))
            }
        }
    };
    if cx.drain.has_begun() {
        conn.close_after_response();
    }
    match result {
        None => {
            exchange.log_caller_left();
            ConnectionAction::Close
        }
        Some(Ok(EndpointResponse::Complete(res))) => {
            exchange.log_answered(&res);
            write_response(conn, res).await
        }
        Some(Ok(EndpointResponse::Stream(stream))) => {
            match relay::relay(&exchange, conn, stream).await {
                Ok(()) => ConnectionAction::KeepOpen,
                // Without the last chunk of the chunked body, the caller detects the truncation.
                Err(relay::Truncated) => ConnectionAction::Close,
            }
        }
        Some(Err(failure)) => respond_with_failure(&exchange, conn, failure).await,
    }
}

async fn respond_with_failure(
    exchange: &Exchange<'_>,
    conn: &mut ServerConn,
    failure: Failure,
) -> ConnectionAction {
    exchange.log_failed(&failure);
    let res = failure.into_response(&exchange.request.id, exchange.cx, exchange.caller_time_left());
    write_response(conn, res).await
}

async fn write_response(
    conn: &mut ServerConn,
    res: http::Response<impl Into<Body>>,
) -> ConnectionAction {
    match conn.write_response(res).await {
        Ok(()) => ConnectionAction::KeepOpen,
        Err(e) => {
            log::info!("event=answer_not_written error={:?}", e.to_string());
            ConnectionAction::Close
        }
    }
}
