//! `POST /v1/chat/completions`, buffered and streamed.
//!
//! A streamed response reaches the caller only after an endpoint has sent its first data, so that
//! a failure before that can be retried at another endpoint.

use std::rc::Rc;

use baobabvane_decide::Descriptor;
use baobabvane_domain::{Problem, Verdict};
use baobabvane_wire::{Request as HttpRequest, ServerConn};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use monoio::time::timeout_at;

use crate::{
    caller::{
        Context, admission,
        connection::{REQUEST_ID_HEADER, Reply, add_verdict},
        keyed,
        run::{self, DecisionRecorder, PreparedRequest},
        sse::EventCounter,
    },
    link::{ExchangeEvent, Failure, OutgoingRequest},
    prompt::ChatRequest,
    request::{Admitted, Dispatched, Received, Request},
    view::{KindView, OrgView},
};

const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Handles a chat request according to its kind: a request that is not idempotent is run at most
/// once.
pub(crate) async fn handle(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    http_request: HttpRequest,
    request: Request<Received>,
) -> Result<Reply, Problem> {
    let org = admission::organisation(cx, http_request.headers())?;
    let chat_request = ChatRequest::parse(http_request.body())
        .map_err(|e| Problem::not_run(400, "malformed request", e))?;
    let kind = admission::model_kind(&cx.published.get(), &chat_request.model)?;
    let timeout = admission::timeout(&kind, http_request.headers())?;
    let request = request.admit(timeout, kind.spec.idempotent);
    let is_streamed = chat_request.is_streamed;
    let prepared = prepare(org, kind, chat_request, &http_request);
    if !prepared.kind.spec.idempotent {
        if is_streamed {
            let detail = "a kind of work that is not idempotent cannot be streamed";
            return Err(Problem::not_run(400, "malformed request", detail));
        }
        return keyed::handle(cx, &http_request, request, prepared).await;
    }
    if is_streamed {
        return handle_streamed(cx, conn, request, prepared).await;
    }
    handle_buffered(cx, conn, request, prepared).await
}

fn prepare(
    org: Rc<OrgView>,
    kind: Rc<KindView>,
    chat_request: ChatRequest,
    http_request: &HttpRequest,
) -> PreparedRequest {
    let answer_tokens =
        chat_request.max_tokens.unwrap_or(u32::MAX).min(kind.spec.answer_tokens).max(1);
    let descriptor = Descriptor {
        rank: kind.rank,
        org: org.id,
        weight: org.weight,
        kind: kind.id,
        prompt_tokens: chat_request.prompt_tokens,
        answer_tokens,
        has_length_hint: false,
        goal: None,
        prefix: chat_request.prefix.clone(),
        // The scheduler sets `deadline` and `failed_at`.
        deadline: 0.0,
        reports_first_token: chat_request.is_streamed,
        failed_at: Default::default(),
    };
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let outgoing = OutgoingRequest {
        method: Method::POST,
        uri: Uri::from_static(CHAT_COMPLETIONS_PATH),
        headers,
        body: chat_request.body_with_model(http_request.body().clone(), &kind.spec.pool),
        is_idempotent: kind.spec.idempotent,
    };
    PreparedRequest { org, kind, descriptor, outgoing }
}

/// Runs an idempotent request and returns the buffered response; cancels the work if the caller
/// disconnects.
pub(crate) async fn handle_buffered(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    request: Request<Admitted>,
    prepared: PreparedRequest,
) -> Result<Reply, Problem> {
    let mut recorder =
        DecisionRecorder::new(request.id(), &prepared, request.time_left().unwrap_or_default());
    let result = monoio::select! {
        result = run::fetch_response(cx, request, &prepared, &mut recorder) => Some(result),
        () = conn.peer_closed() => None,
    };
    match result {
        None => {
            // 499 stands for "the caller closed the connection"; it is never sent.
            recorder.finish(cx, 499, Verdict::MayHaveRun);
            Ok(Reply::Aborted)
        }
        Some(Err(problem)) => {
            recorder.finish(cx, problem.status, problem.verdict);
            Err(problem)
        }
        Some(Ok(mut res)) => {
            let verdict = run::verdict_of(res.status());
            recorder.finish(cx, res.status().as_u16(), verdict);
            *res.headers_mut() = run::end_to_end_headers(res.headers());
            add_verdict(res.headers_mut(), verdict);
            Ok(Reply::Buffered(res))
        }
    }
}

/// A stream that an endpoint has started and of which nothing was forwarded to the caller yet.
struct StartedStream {
    dispatched: Request<Dispatched>,
    head: http::Response<()>,
    /// The first data of the body; `None` if the body is empty.
    first: Option<Bytes>,
}

async fn handle_streamed(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    request: Request<Admitted>,
    prepared: PreparedRequest,
) -> Result<Reply, Problem> {
    let id = request.id();
    let mut recorder =
        DecisionRecorder::new(id, &prepared, request.time_left().unwrap_or_default());
    let started = monoio::select! {
        started = dispatch_until_first_data(cx, request, &prepared, &mut recorder) => Some(started),
        () = conn.peer_closed() => None,
    };
    let started = match started {
        None => {
            // 499 stands for "the caller closed the connection"; it is never sent.
            recorder.finish(cx, 499, Verdict::MayHaveRun);
            return Ok(Reply::Aborted);
        }
        Some(Err(problem)) => {
            recorder.finish(cx, problem.status, problem.verdict);
            return Err(problem);
        }
        Some(Ok(started)) => started,
    };
    let status = started.head.status().as_u16();
    let mut head = http::Response::new(());
    *head.status_mut() = started.head.status();
    *head.headers_mut() = run::end_to_end_headers(started.head.headers());
    let id = HeaderValue::try_from(id.to_string()).expect("an id is hexadecimal");
    head.headers_mut().insert(REQUEST_ID_HEADER, id);
    let forwarded = forward_stream(conn, head, started).await;
    let verdict = if forwarded.is_complete { Verdict::Ran } else { Verdict::MayHaveRun };
    recorder.finish(cx, status, verdict);
    Ok(if forwarded.is_complete { Reply::Streamed } else { Reply::Aborted })
}

/// Dispatches the request, again after each failure that allows a retry, until an endpoint has
/// sent the first data of the body or ended an empty one.
async fn dispatch_until_first_data(
    cx: &Context,
    mut request: Request<Admitted>,
    prepared: &PreparedRequest,
    recorder: &mut DecisionRecorder,
) -> Result<StartedStream, Problem> {
    loop {
        let mut dispatched = run::wait_for_grant(cx, request, prepared, recorder)
            .await?
            .dispatch(prepared.outgoing.clone());
        let first = match timeout_at(dispatched.deadline(), receive_first_data(&mut dispatched))
            .await
        {
            Ok(first) => first,
            Err(_) => {
                let detail = format!("endpoint {:?} did not begin in time", dispatched.endpoint());
                return Err(Problem::new(504, "deadline passed", detail, dispatched.cancel()));
            }
        };
        match first {
            Ok((head, first)) => {
                dispatched.report_first_token();
                return Ok(StartedStream { dispatched, head, first });
            }
            Err(failure) => request = dispatched.retry_or_fail(&failure)?,
        }
    }
}

async fn receive_first_data(
    dispatched: &mut Request<Dispatched>,
) -> Result<(http::Response<()>, Option<Bytes>), Failure> {
    let head = run::receive_head(dispatched).await?;
    match dispatched.stage.exchange.next().await {
        ExchangeEvent::Data(data) => Ok((head, Some(data))),
        ExchangeEvent::End => Ok((head, None)),
        ExchangeEvent::Failed(failure) => Err(failure),
        ExchangeEvent::Head(_) => Err(run::endpoint_failure("a second head came")),
    }
}

/// How forwarding a stream to the caller ended.
struct ForwardedStream {
    is_complete: bool,
}

/// Forwards the stream to the caller. The final chunk is written only if the endpoint's last
/// event arrived, so that a caller can detect a truncated stream.
async fn forward_stream(
    conn: &mut ServerConn,
    head: http::Response<()>,
    started: StartedStream,
) -> ForwardedStream {
    let StartedStream { mut dispatched, first, .. } = started;
    let incomplete = ForwardedStream { is_complete: false };
    if conn.start_stream(head).await.is_err() {
        dispatched.cancel();
        return incomplete;
    }
    let mut counter = EventCounter::default();
    let mut next = first.map_or(ExchangeEvent::End, ExchangeEvent::Data);
    loop {
        match next {
            ExchangeEvent::Data(data) => {
                counter.feed(&data);
                if conn.write_chunk(&data).await.is_err() {
                    dispatched.cancel();
                    return incomplete;
                }
            }
            ExchangeEvent::End if counter.is_done() => {
                dispatched.complete(counter.events());
                return ForwardedStream { is_complete: conn.end_stream().await.is_ok() };
            }
            ExchangeEvent::End => {
                let _ = dispatched.retry_or_fail(&run::endpoint_failure(
                    "the stream ended without its last event",
                ));
                return incomplete;
            }
            ExchangeEvent::Failed(failure) => {
                let id = dispatched.id();
                log::warn!("event=stream_broken request_id={id} detail={:?}", failure.detail);
                let _ = dispatched.retry_or_fail(&failure);
                return incomplete;
            }
            ExchangeEvent::Head(_) => {
                let _ = dispatched.retry_or_fail(&run::endpoint_failure("a second head came"));
                return incomplete;
            }
        }
        next = dispatched.stage.exchange.next().await;
    }
}
