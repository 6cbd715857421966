//! Takes a request to an endpoint, and to another one where that is allowed.
//!
//! What may be repeated follows from the route: a request that may have run is
//! sent again only if the route allows it, one that has surely not run may go on.

use std::{cell::Cell, rc::Rc, time::Duration};

use baobabvane_decide::{
    Descriptor, Ending, EndpointKey, FailedAt, KindId, LatencyGoal, OrgId, Rank,
};
use baobabvane_domain::Verdict;
use baobabvane_wire::{ClientConn, Response, WireError};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use monoio::time::{Instant, sleep, timeout};

use super::{
    admission::Incoming,
    failure::Failure,
    flight::{self, InFlight},
};
use crate::{
    configuration::{QuotaUnit, Semantics},
    context::Context,
    headers::{self, LAST_EVENT_ID},
    scheduler::{Grant, PlacementRequest, QuotaCharge, Refused, id_hash},
};

/// An endpoint is given this much less time than is left, so that its own word that
/// the time is over arrives in time.
const ENDPOINT_MARGIN: Duration = Duration::from_millis(20);
/// A request with less time left is not sent any more.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Endpoints that could not be reached at all before a request is given up.
const MAX_UNREACHED: u32 = 4;
/// Answers to other requests that are skipped on a connection.
const MAX_SKIPPED: u32 = 3;
/// The largest whole answer that is held, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Ranks beyond this one are taken for it, so that two fit into one number.
const MAX_RANK: u8 = 15;
/// An endpoint that owes the first piece of an answer that may be repeated is given up
/// after this many times the route's target.
const SILENT_TARGETS: u32 = 4;
/// It is given at least this long.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// One request of a caller, over all endpoints that it is sent to.
pub(super) struct Exchange<'a> {
    pub(super) cx: &'a Context,
    pub(super) incoming: Incoming,
    /// Endpoints that were sent the request.
    pub(super) sent: Cell<u32>,
    pub(super) verdict: Cell<Verdict>,
    failed_at: std::cell::RefCell<FailedAt>,
    /// Since when the caller waits for the next event.
    silent_since: Cell<Instant>,
}

/// What the caller gets from an endpoint.
pub(super) enum Answer {
    /// The whole answer.
    Whole(Response),
    /// A stream of events that has begun.
    Stream(Box<Stream>),
}

/// An answer whose events are still to come.
pub(super) struct Stream {
    pub(super) head: http::Response<()>,
    pub(super) link: ClientConn,
    pub(super) flight: InFlight,
    pub(super) endpoint: EndpointKey,
    pub(super) endpoint_id: String,
}

/// How one try at an endpoint ended without an answer for the caller.
pub(super) enum Missed {
    /// Nothing was sent.
    Unreached,
    /// The endpoint said that it did not run the request.
    NotRun(&'static str),
    /// The endpoint may have run the request.
    MayHaveRun(&'static str),
    /// The endpoint ran the request and failed; its answer may be passed on.
    Failed(Response),
    /// No endpoint was granted.
    Refused(Refused),
    Stopping,
}

impl<'a> Exchange<'a> {
    pub(super) fn new(cx: &'a Context, incoming: Incoming) -> Self {
        Self {
            cx,
            silent_since: Cell::new(incoming.began),
            incoming,
            sent: Cell::new(0),
            verdict: Cell::new(Verdict::NotRun),
            failed_at: Default::default(),
        }
    }

    /// Returns how long the caller still waits.
    pub(super) fn time_left(&self) -> Duration {
        self.incoming.patience.saturating_sub(self.incoming.began.elapsed())
    }

    /// Returns how many endpoints were sent the request.
    pub(super) fn endpoints_tried(&self) -> u32 {
        self.sent.get()
    }

    /// Returns the answer's beginning, or why there is none.
    pub(super) async fn first_answer(&self) -> Result<Answer, Failure> {
        let answer = self.try_endpoints(self.incoming.last_event_id, None);
        monoio::select! {
            answer = answer => answer,
            () = sleep(self.time_left()) => Err(Failure::TimedOut(self.verdict.get())),
        }
    }

    /// Continues a stream that broke off at another endpoint.
    ///
    /// Returns `None` when the route, the number of tries or the budget does not allow it.
    pub(super) async fn resume(
        &self,
        last_event_id: Option<u64>,
        failed: EndpointKey,
    ) -> Option<Box<Stream>> {
        self.failed_at.borrow_mut().push(failed);
        // The caller has had events until now, and bears a new silence.
        self.silent_since.set(Instant::now());
        if !self.may_repeat() {
            return None;
        }
        let answer = self.try_endpoints(last_event_id, Some(failed));
        let answer = timeout(self.time_left(), answer).await.ok()?;
        match answer {
            Ok(Answer::Stream(stream)) => Some(stream),
            Ok(Answer::Whole(res)) => {
                self.log("not_resumed", format_args!("status={}", res.status().as_u16()));
                None
            }
            Err(failure) => {
                self.log("not_resumed", format_args!("cause={failure:?}"));
                None
            }
        }
    }

    fn may_repeat(&self) -> bool {
        self.incoming.route.may_retry() && self.sent.get() < self.incoming.route.max_attempts
    }

    async fn try_endpoints(
        &self,
        last_event_id: Option<u64>,
        failed: Option<EndpointKey>,
    ) -> Result<Answer, Failure> {
        let mut unreached = 0;
        let mut is_repeat = failed.is_some();
        let mut fallback: Option<Response> = None;
        loop {
            let missed = match self.try_once(last_event_id, is_repeat, unreached > 0).await {
                Ok(answer) => return Ok(answer),
                Err(missed) => missed,
            };
            let is_allowed = match missed {
                Missed::Unreached => {
                    unreached += 1;
                    unreached < MAX_UNREACHED
                }
                Missed::NotRun(_) => self.sent.get() < self.incoming.route.max_attempts,
                Missed::MayHaveRun(_) | Missed::Failed(_) => self.may_repeat(),
                Missed::Refused(_) | Missed::Stopping => false,
            };
            is_repeat |= !matches!(missed, Missed::Unreached);
            if !is_allowed {
                return self.give_up(missed, fallback);
            }
            if let Missed::Failed(res) = missed {
                fallback = Some(res);
            }
        }
    }

    fn give_up(&self, missed: Missed, fallback: Option<Response>) -> Result<Answer, Failure> {
        let has_run = self.verdict.get() != Verdict::NotRun;
        match (missed, fallback) {
            (Missed::Failed(res), _) => Ok(Answer::Whole(res)),
            (_, Some(res)) => Ok(Answer::Whole(res)),
            (Missed::Stopping, _) => Err(Failure::Stopping),
            (Missed::MayHaveRun(cause), _) => Err(Failure::MayHaveRun(cause)),
            (Missed::Refused(_), _) if has_run => Err(Failure::MayHaveRun("an earlier try failed")),
            (Missed::NotRun(_) | Missed::Unreached, _) if has_run => {
                Err(Failure::MayHaveRun("an earlier try failed"))
            }
            (Missed::NotRun(cause), _) => Err(Failure::NotRun(cause)),
            (Missed::Unreached, _) => Err(Failure::NotRun("no endpoint could be reached")),
            (Missed::Refused(refused), _) => Err(Failure::Refused(refused)),
        }
    }

    async fn try_once(
        &self,
        last_event_id: Option<u64>,
        is_repeat: bool,
        was_charged: bool,
    ) -> Result<Answer, Missed> {
        let order = self.order(is_repeat, was_charged);
        let granted = flight::ask(&self.cx.scheduler, order).await.ok_or(Missed::Stopping)?;
        let (grant, flight) = granted.map_err(Missed::Refused)?;
        self.log_dispatched(&grant);
        let endpoint = grant.endpoint;
        let result = self.send(&grant, flight, last_event_id).await;
        if let Err(missed) = &result {
            self.failed_at.borrow_mut().push(endpoint);
            self.log_missed(&grant, missed);
        }
        result
    }

    fn order(&self, is_repeat: bool, was_charged: bool) -> PlacementRequest {
        let Incoming { route, prompt, organisation, .. } = &self.incoming;
        let is_stream = route.semantics == Semantics::Stream;
        let descriptor = Descriptor {
            rank: self.rank(),
            org: OrgId(organisation.as_ref().map_or(0, |o| id_hash(&o.name).into())),
            weight: 1,
            kind: KindId(id_hash(&route.name)),
            prompt_tokens: prompt.tokens,
            answer_tokens: prompt.answer_tokens.max(1),
            has_length_hint: prompt.is_hinted,
            goal: is_stream.then(|| self.goal()),
            prefix: prompt.blocks.clone(),
            deadline: self.time_left().as_secs_f64() * 1_000.0,
            reports_first_token: is_stream,
            failed_at: self.failed_at.borrow().clone(),
        };
        PlacementRequest {
            ticket: self.cx.next_ticket(),
            pool: Rc::clone(&self.incoming.pool),
            descriptor,
            quota_charge: if was_charged || is_repeat { None } else { self.usage() },
            is_retry: is_repeat,
        }
    }

    /// The organisation's rank goes first; requests of one rank are told apart by their
    /// route's.
    pub(super) fn rank(&self) -> Rank {
        let route = self.incoming.route.rank.min(MAX_RANK);
        let organisation = self.incoming.organisation.as_ref().and_then(|o| o.rank);
        organisation.unwrap_or(route).min(MAX_RANK) * (MAX_RANK + 1) + route
    }

    /// What makes the answer timely; like the deadline, it counts from the offer.
    fn goal(&self) -> LatencyGoal {
        let target = Duration::from_millis(self.incoming.route.target_ms);
        let left = target.saturating_sub(self.incoming.began.elapsed());
        let silence = Duration::from_millis(self.incoming.route.max_silence_ms);
        LatencyGoal {
            first_token_by: left.as_secs_f64() * 1_000.0,
            max_gap_ms: self.incoming.route.max_gap_ms as f64,
            caller_leaves_at: silence
                .saturating_sub(self.silent_since.get().elapsed())
                .as_secs_f64()
                * 1_000.0,
        }
    }

    fn usage(&self) -> Option<QuotaCharge> {
        let organisation = self.incoming.organisation.as_ref()?;
        let units = match organisation.quota?.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { default } => {
                self.incoming.prompt.counted_tokens().unwrap_or(f64::from(default))
            }
        };
        Some(QuotaCharge { organisation: Rc::clone(organisation), units })
    }

    async fn send(
        &self,
        grant: &Grant,
        mut flight: InFlight,
        last_event_id: Option<u64>,
    ) -> Result<Answer, Missed> {
        let Ok(mut link) = self.cx.links.get(grant.endpoint, grant.address).await else {
            flight.end(Ending::Failed);
            return Err(Missed::Unreached);
        };
        let time_left = self.time_left();
        if time_left < MIN_TIME_LEFT {
            flight.end(Ending::Cancelled);
            return Err(Missed::Unreached);
        }
        let headers = self.headers_for(grant, time_left, last_event_id);
        self.sent.set(self.sent.get() + 1);
        let before = self.verdict.replace(Verdict::MayHaveRun);
        let Incoming { method, uri, body, .. } = &self.incoming;
        if let Err(e) = link.send(method, uri, &headers, body.clone()).await {
            return Err(self.broken(flight, "the request could not be sent", &e));
        }
        let read = self.read_head(&mut link);
        let head = match self.silence() {
            Some(longest) => timeout(longest, read).await,
            None => Ok(read.await),
        };
        let head = match head {
            Ok(Ok(head)) => head,
            Ok(Err(e)) => return Err(self.broken(flight, "no answer", &e)),
            Err(_) => {
                flight.end(Ending::Failed);
                return Err(Missed::MayHaveRun("the endpoint is silent"));
            }
        };
        if let Some(requests) = headers::load(head.headers(), &self.cx.names.load) {
            self.cx
                .scheduler
                .send(crate::scheduler::SchedulerMessage::LoadReported(grant.endpoint, requests));
        }
        if head.headers().contains_key(&self.cx.names.not_executed)
            || head.status() == StatusCode::MISDIRECTED_REQUEST
        {
            self.verdict.set(before);
            return Err(self.not_executed(grant, flight, link, head).await);
        }
        if self.is_event_stream(&head) {
            if !self.is_genuine(head.headers()) {
                flight.end(Ending::Failed);
                return Err(Missed::MayHaveRun("the answer is not the endpoint's"));
            }
            let endpoint_id = grant.id.clone();
            return Ok(Answer::Stream(Box::new(Stream {
                head,
                link,
                flight,
                endpoint: grant.endpoint,
                endpoint_id,
            })));
        }
        flight.first_piece();
        self.read_whole(grant, flight, link, head).await
    }

    /// How long an endpoint may be silent before the request is repeated elsewhere.
    pub(super) fn silence(&self) -> Option<Duration> {
        let target = Duration::from_millis(self.incoming.route.target_ms);
        self.may_repeat().then(|| (target * SILENT_TARGETS).max(MIN_SILENCE))
    }

    fn is_event_stream(&self, head: &http::Response<()>) -> bool {
        self.incoming.route.semantics == Semantics::Stream && head.status().is_success()
    }

    fn broken(&self, flight: InFlight, cause: &'static str, error: &WireError) -> Missed {
        flight.end(Ending::Failed);
        self.log("endpoint_failed", format_args!("cause={cause:?} error={:?}", error.to_string()));
        Missed::MayHaveRun(cause)
    }

    async fn not_executed(
        &self,
        grant: &Grant,
        flight: InFlight,
        mut link: ClientConn,
        head: http::Response<()>,
    ) -> Missed {
        // The endpoint's load says how full it is; its health is not in question.
        flight.end(Ending::Lost);
        if head.status() == StatusCode::MISDIRECTED_REQUEST {
            self.cx
                .scheduler
                .send(crate::scheduler::SchedulerMessage::MisdirectedRequest(grant.endpoint));
            return Missed::NotRun("another endpoint has the address");
        }
        if link.read_body(MAX_ANSWER_BYTES).await.is_ok() {
            self.cx.links.keep(grant.endpoint, link, head.headers());
        }
        Missed::NotRun("the endpoint did not run it")
    }

    /// Reads the head of the answer to this request, passing over answers to others.
    async fn read_head(&self, link: &mut ClientConn) -> Result<http::Response<()>, WireError> {
        for _ in 0..MAX_SKIPPED {
            let head = link.read_head(&self.incoming.method).await?;
            match head.headers().get(&self.cx.names.request_id) {
                Some(id) if *id != self.incoming.id => {
                    self.log("answer_skipped", format_args!("answers={id:?}"));
                    link.read_body(MAX_ANSWER_BYTES).await?;
                }
                _ => return Ok(head),
            }
        }
        Err(WireError::Malformed("answers to other requests".to_owned()))
    }

    async fn read_whole(
        &self,
        grant: &Grant,
        flight: InFlight,
        mut link: ClientConn,
        head: http::Response<()>,
    ) -> Result<Answer, Missed> {
        let body = match link.read_body(MAX_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(e) => return Err(self.broken(flight, "the answer broke off", &e)),
        };
        let (mut parts, ()) = head.into_parts();
        let is_success = parts.status.is_success();
        if is_success && !self.is_genuine(&parts.headers) {
            flight.end(Ending::Failed);
            return Err(Missed::MayHaveRun("the answer is not the endpoint's"));
        }
        self.cx.links.keep(grant.endpoint, link, &parts.headers);
        self.clean(&mut parts.headers);
        let res = Response::from_parts(parts, body);
        if res.status().is_server_error() {
            flight.end(Ending::Failed);
            return Err(Missed::Failed(res));
        }
        flight.end(Ending::Complete { answer_tokens: 1 });
        Ok(Answer::Whole(res))
    }

    /// Says whether a success carries what an endpoint's own answer carries.
    fn is_genuine(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(&self.cx.names.signature)
            && headers.get(&self.cx.names.request_id) == Some(&self.incoming.id)
            && !headers.contains_key(header::CONTENT_ENCODING)
    }

    /// Removes from an answer's headers what concerns the endpoint's connection only.
    pub(super) fn clean(&self, headers: &mut HeaderMap) {
        baobabvane_wire::remove_hop_by_hop(headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(&self.cx.names.load);
    }

    fn headers_for(
        &self,
        grant: &Grant,
        time_left: Duration,
        last_event_id: Option<u64>,
    ) -> HeaderMap {
        let mut headers = self.incoming.headers.clone();
        let time = time_left.saturating_sub(ENDPOINT_MARGIN).max(MIN_TIME_LEFT);
        let names = &self.cx.names;
        headers.insert(&names.time_left, headers::from_number(time.as_millis() as u64));
        if let Ok(id) = HeaderValue::from_str(&grant.id) {
            headers.insert(&names.expected_endpoint, id);
        }
        if let Some(last) = last_event_id {
            headers.insert(&LAST_EVENT_ID, headers::from_number(last));
        }
        headers
    }

    /// Returns when the request came in.
    pub(super) fn began(&self) -> Instant {
        self.incoming.began
    }
}
