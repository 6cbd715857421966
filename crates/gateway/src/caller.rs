//! Reads callers' requests and answers them.

mod admission;
mod exchange;
mod failure;
mod flight;
mod relay;
mod reply;
mod report;

use std::{rc::Rc, time::Duration};

use baobabvane_tasks::Counted;
use baobabvane_wire::{Limits, Request, ServerConn, WireError};
use monoio::net::{TcpListener, TcpStream};

use self::{
    exchange::{Answer, Exchange},
    failure::Failure,
};
use crate::context::Context;

/// Accepting is tried again after this pause when it fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A body that takes longer is not waited for.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// A caller that accepts no byte for this long has gone away.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Says whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Close,
}

/// Accepts callers until the process ends.
pub(crate) async fn accept(listener: TcpListener, cx: Rc<Context>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve(stream, Rc::clone(&cx)));
            }
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn limits(cx: &Context) -> Limits {
    let stated = cx.knowledge.route_table().limits;
    Limits {
        head_bytes: stated.head_bytes,
        body_bytes: stated.body_bytes,
        idle: Duration::from_millis(stated.idle_timeout_ms),
        head: Duration::from_millis(stated.head_timeout_ms),
        body: BODY_TIMEOUT,
        write: WRITE_TIMEOUT,
    }
}

async fn serve(stream: TcpStream, cx: Rc<Context>) {
    let _counted = Counted::new(&cx.connections);
    let mut conn = ServerConn::new(stream, limits(&cx));
    loop {
        if !wait_request(&cx, &mut conn).await {
            return;
        }
        match conn.read_request().await {
            Ok(Some(req)) => {
                if answer(&cx, &mut conn, req).await == Flow::Close {
                    return;
                }
                if !conn.is_keep_alive() {
                    conn.linger().await;
                    return;
                }
            }
            Ok(None) => return,
            Err(e) => {
                refuse_unread(conn, &e).await;
                return;
            }
        }
    }
}

/// Waits for a request; false when the connection is not needed any more.
///
/// Once a stop is asked for, connections without a request are closed: a caller that
/// finds its connection closed before its request was read sends it elsewhere.
async fn wait_request(cx: &Context, conn: &mut ServerConn) -> bool {
    if cx.drain.has_begun() {
        return matches!(conn.wait_request().await, Ok(true));
    }
    monoio::select! {
        arrived = conn.wait_request() => matches!(arrived, Ok(true)),
        () = cx.drain.begun() => false,
    }
}

/// Answers a request that could not be read, where an answer can still be read.
async fn refuse_unread(mut conn: ServerConn, error: &WireError) {
    log::info!("event=unread_request error={:?}", error.to_string());
    let Some(res) = reply::to_unread(error) else { return };
    conn.close_after_response();
    if conn.write_response(res).await.is_ok() {
        conn.linger().await;
    }
}

async fn answer(cx: &Context, conn: &mut ServerConn, req: Request) -> Flow {
    let _counted = Counted::new(&cx.active);
    if cx.drain.has_begun() {
        conn.close_after_response();
    }
    let incoming = match admission::admit(cx, req, conn.request_began()) {
        Ok(incoming) => incoming,
        Err(refusal) => {
            refusal.log();
            return write(conn, refusal.into_response()).await;
        }
    };
    let exchange = Exchange::new(cx, incoming);
    let first = {
        monoio::select! {
            first = exchange.first_answer() => Some(first),
            () = conn.closed() => None,
        }
    };
    if cx.drain.has_begun() {
        conn.close_after_response();
    }
    match first {
        None => {
            exchange.log_left();
            Flow::Close
        }
        Some(Ok(Answer::Whole(res))) => {
            exchange.log_answered(&res);
            write(conn, res).await
        }
        Some(Ok(Answer::Stream(stream))) => match relay::relay(&exchange, conn, stream).await {
            Ok(()) => Flow::Continue,
            // Closing without the last chunk tells the caller that the answer is cut.
            Err(relay::Cut) => Flow::Close,
        },
        Some(Err(failure)) => fail(&exchange, conn, failure).await,
    }
}

async fn fail(exchange: &Exchange<'_>, conn: &mut ServerConn, failure: Failure) -> Flow {
    exchange.log_failed(&failure);
    write(conn, failure.into_response(&exchange.incoming.id, exchange.cx)).await
}

async fn write(conn: &mut ServerConn, res: baobabvane_wire::Response) -> Flow {
    match conn.write_response(res).await {
        Ok(()) => Flow::Continue,
        Err(e) => {
            log::info!("event=answer_not_written error={:?}", e.to_string());
            Flow::Close
        }
    }
}
