//! `POST /v1/chat/completions`, plain and streamed.

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
        connection::{REQUEST_ID, Reply, add_verdict},
        keyed,
        run::{self, Job, Trace},
        sse::EventCounter,
    },
    link::{Failure, Outgoing, Piece},
    prompt::Prompt,
    request::{Admitted, Dispatched, Received, Request},
    view::{KindView, OrgView},
};

const PATH: &str = "/v1/chat/completions";

/// Answers a chat request.
pub(crate) async fn answer(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    req: HttpRequest,
    life: Request<Received>,
) -> Result<Reply, Problem> {
    let org = admission::organisation(cx, req.headers())?;
    let prompt =
        Prompt::parse(req.body()).map_err(|e| Problem::not_run(400, "malformed request", e))?;
    let kind = admission::model_kind(&cx.published.get(), &prompt.model)?;
    let patience = admission::patience(&kind, req.headers())?;
    let life = life.admit(patience, kind.spec.idempotent);
    let stream = prompt.stream;
    let job = job(org, kind, prompt, &req);
    if !job.kind.spec.idempotent {
        if stream {
            let detail = "a kind of work that is not idempotent cannot be streamed";
            return Err(Problem::not_run(400, "malformed request", detail));
        }
        return keyed::answer(cx, &req, life, job).await;
    }
    if stream {
        return streamed(cx, conn, life, job).await;
    }
    whole(cx, conn, life, job).await
}

fn job(org: Rc<OrgView>, kind: Rc<KindView>, prompt: Prompt, req: &HttpRequest) -> Job {
    let answer_tokens = prompt.max_tokens.unwrap_or(u32::MAX).min(kind.spec.answer_tokens).max(1);
    let descriptor = Descriptor {
        rank: kind.rank,
        org: org.id,
        weight: org.weight,
        kind: kind.id,
        prompt_tokens: prompt.prompt_tokens,
        answer_tokens,
        has_length_hint: false,
        goal: None,
        prefix: prompt.prefix.clone(),
        deadline: 0.0,
        reports_first_token: prompt.stream,
        failed_at: Default::default(),
    };
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let outgoing = Outgoing {
        method: Method::POST,
        uri: Uri::from_static(PATH),
        headers,
        body: prompt.body_for(req.body().clone(), &kind.spec.pool),
        idempotent: kind.spec.idempotent,
    };
    Job { org, kind, descriptor, outgoing }
}

/// Answers an idempotent request as a whole; the work ends when the caller goes away.
pub(crate) async fn whole(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    life: Request<Admitted>,
    job: Job,
) -> Result<Reply, Problem> {
    let mut trace = Trace::new(life.id(), &job, life.patience().unwrap_or_default());
    let answer = monoio::select! {
        answer = run::whole(cx, life, &job, &mut trace) => Some(answer),
        () = conn.peer_closed() => None,
    };
    match answer {
        None => {
            trace.finish(cx, 499, Verdict::MayHaveRun);
            Ok(Reply::Broken)
        }
        Some(Err(problem)) => {
            trace.finish(cx, problem.status, problem.verdict);
            Err(problem)
        }
        Some(Ok(mut res)) => {
            let verdict = run::verdict_of(res.status());
            trace.finish(cx, res.status().as_u16(), verdict);
            *res.headers_mut() = run::end_to_end(res.headers());
            add_verdict(res.headers_mut(), verdict);
            Ok(Reply::Whole(res))
        }
    }
}

/// What came before the caller was sent anything.
struct Begun {
    sent: Request<Dispatched>,
    head: http::Response<()>,
    first: Option<Bytes>,
}

async fn streamed(
    cx: &Rc<Context>,
    conn: &mut ServerConn,
    life: Request<Admitted>,
    job: Job,
) -> Result<Reply, Problem> {
    let id = life.id();
    let mut trace = Trace::new(id, &job, life.patience().unwrap_or_default());
    let begun = monoio::select! {
        begun = begin(cx, life, &job, &mut trace) => Some(begun),
        () = conn.peer_closed() => None,
    };
    let begun = match begun {
        None => {
            trace.finish(cx, 499, Verdict::MayHaveRun);
            return Ok(Reply::Broken);
        }
        Some(Err(problem)) => {
            trace.finish(cx, problem.status, problem.verdict);
            return Err(problem);
        }
        Some(Ok(begun)) => begun,
    };
    let status = begun.head.status().as_u16();
    let mut head = http::Response::new(());
    *head.status_mut() = begun.head.status();
    *head.headers_mut() = run::end_to_end(begun.head.headers());
    let id = HeaderValue::try_from(id.to_string()).expect("an id is hexadecimal");
    head.headers_mut().insert(REQUEST_ID, id);
    let passed = pass_on(conn, head, begun).await;
    let verdict = if passed.is_whole { Verdict::Ran } else { Verdict::MayHaveRun };
    trace.finish(cx, status, verdict);
    Ok(if passed.is_whole { Reply::Streamed } else { Reply::Broken })
}

/// Dispatches until an endpoint has sent its first piece; only then is anything
/// passed to the caller, so that a failure before it can be repeated elsewhere.
async fn begin(
    cx: &Context,
    mut life: Request<Admitted>,
    job: &Job,
    trace: &mut Trace,
) -> Result<Begun, Problem> {
    loop {
        let mut sent = run::grant(cx, life, job, trace).await?.dispatch(job.outgoing.clone());
        let first = match timeout_at(sent.deadline(), first_piece(&mut sent)).await {
            Ok(first) => first,
            Err(_) => {
                let detail = format!("endpoint {:?} did not begin in time", sent.endpoint());
                return Err(Problem::new(504, "deadline passed", detail, sent.abandon()));
            }
        };
        match first {
            Ok((head, first)) => {
                sent.begun();
                return Ok(Begun { sent, head, first });
            }
            Err(failure) => life = sent.failed(&failure)?,
        }
    }
}

async fn first_piece(
    sent: &mut Request<Dispatched>,
) -> Result<(http::Response<()>, Option<Bytes>), Failure> {
    let head = run::first_head(sent).await?;
    match sent.stage.exchange.next().await {
        Piece::Data(data) => Ok((head, Some(data))),
        Piece::End => Ok((head, None)),
        Piece::Failed(failure) => Err(failure),
        Piece::Head(_) => Err(run::broken("a second head came")),
    }
}

/// How a stream was passed on.
struct Passed {
    is_whole: bool,
}

/// Passes the stream to the caller; a stream without its end is never ended properly.
async fn pass_on(conn: &mut ServerConn, head: http::Response<()>, begun: Begun) -> Passed {
    let Begun { mut sent, first, .. } = begun;
    let broken = Passed { is_whole: false };
    if conn.start_stream(head).await.is_err() {
        sent.abandon();
        return broken;
    }
    let mut counter = EventCounter::default();
    let mut next = first.map_or(Piece::End, Piece::Data);
    loop {
        match next {
            Piece::Data(data) => {
                counter.feed(&data);
                if conn.write_chunk(&data).await.is_err() {
                    sent.abandon();
                    return broken;
                }
            }
            Piece::End if counter.is_done() => {
                sent.answered(counter.events());
                return Passed { is_whole: conn.end_stream().await.is_ok() };
            }
            Piece::End => {
                let _ = sent.failed(&run::broken("the stream ended without its last event"));
                return broken;
            }
            Piece::Failed(failure) => {
                let id = sent.id();
                log::warn!("event=stream_broken request_id={id} detail={:?}", failure.detail);
                let _ = sent.failed(&failure);
                return broken;
            }
            Piece::Head(_) => {
                let _ = sent.failed(&run::broken("a second head came"));
                return broken;
            }
        }
        next = sent.stage.exchange.next().await;
    }
}
