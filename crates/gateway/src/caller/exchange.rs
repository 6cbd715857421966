//! Sends a request to an endpoint and retries it at others.
//!
//! A request that may have run is retried only if its route allows it. One that has certainly
//! not run is retried on every route. The route's limit on attempts and the retry budget apply.

use std::{cell::Cell, rc::Rc, time::Duration};

use baobabvane_decide::{
    Descriptor, Ending, EndpointKey, FailedAt, KindId, LatencyGoal, OrgId, Rank,
};
use baobabvane_domain::Verdict;
use baobabvane_wire::{Body, BodyCollector, ClientConn, Permit, WireError};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use monoio::time::{Instant, sleep, timeout};

use super::{
    admission::AdmittedRequest,
    failure::Failure,
    flight::{self, InFlightRequest},
};
use crate::{
    configuration::{MAX_RANK, QuotaUnit, Semantics},
    context::Context,
    headers::{self, LAST_EVENT_ID},
    links::EndpointConnection,
    scheduler::{Grant, PlacementRequest, QuotaCharge, Refused, SchedulerMessage, id_hash},
};

/// The endpoint's timeout is shorter than the time left by this margin, so that its own timeout
/// response still reaches the caller.
const ENDPOINT_TIMEOUT_MARGIN: Duration = Duration::from_millis(20);
/// A request with less time left is not sent to an endpoint.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// A request fails after this many attempts at which nothing could be sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// An attempt fails after this many responses to other requests on its connection.
const MAX_SKIPPED_RESPONSES: u32 = 3;
/// Largest response body that is buffered; streams of events are not buffered.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Longest wait for the memory for the beginning of a response, before the request is sent.
const MAX_RESPONSE_MEMORY_WAIT: Duration = Duration::from_millis(500);
/// Largest response body that is read only to keep its connection open.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Longest time for which such a body is read; the request's next attempt waits meanwhile.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);
/// Silence timeout of an endpoint, as a multiple of the route's `target_ms`; applies only while
/// the request may be retried.
const SILENCE_TIMEOUT_TARGET_MULTIPLE: u32 = 4;
/// Lower bound of the silence timeout, for routes with a short target.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An endpoint's response; its body counts in the memory budget.
pub(super) type Response = http::Response<Body>;

/// A caller's request and the state of its attempts at endpoints.
pub(super) struct Exchange<'a> {
    pub(super) cx: &'a Context,
    pub(super) request: AdmittedRequest,
    /// Number of attempts that began to send the request; the route's limit on attempts counts
    /// only these.
    pub(super) attempts: Cell<u32>,
    /// Whether an endpoint may have run the request, over all attempts so far.
    pub(super) verdict: Cell<Verdict>,
    /// Endpoints at which an attempt failed, for the scheduler.
    failed_endpoints: std::cell::RefCell<FailedAt>,
    /// Since when the caller is assumed to wait for data: the request's arrival, or the time at
    /// which its stream last broke off.
    caller_waiting_since: Cell<Instant>,
}

/// An endpoint's response, as far as it was read.
pub(super) enum EndpointResponse {
    /// A response with its whole body.
    Complete(Response),
    /// A stream of events of which the head was read.
    Stream(Box<ResponseStream>),
}

/// A streamed response whose events are still to be read from the endpoint.
pub(super) struct ResponseStream {
    pub(super) head: http::Response<()>,
    pub(super) upstream: EndpointConnection,
    pub(super) in_flight: InFlightRequest,
    pub(super) endpoint: EndpointKey,
    pub(super) endpoint_id: String,
    /// The memory for the event that is incomplete.
    pub(super) permit: Permit,
}

/// Why one attempt at an endpoint gave no response for the caller.
pub(super) enum AttemptFailure {
    /// No connection was made, or too little time was left; nothing was sent.
    NotSent,
    /// The endpoint reported that it did not run the request.
    NotRun(&'static str),
    /// The endpoint may have run the request.
    MayHaveRun(&'static str),
    /// The endpoint responded with a 5xx status; the last such response is forwarded if no
    /// attempt succeeds.
    ErrorResponse(Response),
    /// The scheduler granted no endpoint.
    Refused(Refused),
    /// The instance is stopping, and the request may not wait for an endpoint any longer.
    Stopping,
    /// No memory was free for a response; nothing was sent.
    NoMemory,
    /// No memory was free for the rest of the response; the endpoint has run the request.
    NoMemoryForResponse,
}

impl<'a> Exchange<'a> {
    pub(super) fn new(cx: &'a Context, request: AdmittedRequest) -> Self {
        Self {
            cx,
            caller_waiting_since: Cell::new(request.received_at),
            request,
            attempts: Cell::new(0),
            verdict: Cell::new(Verdict::NotRun),
            failed_endpoints: Default::default(),
        }
    }

    /// Returns the rest of the request's timeout; zero when it has elapsed.
    pub(super) fn time_left(&self) -> Duration {
        self.request.timeout.saturating_sub(self.request.received_at.elapsed())
    }

    /// Returns how long the caller waits for the beginning of its answer yet.
    pub(super) fn caller_time_left(&self) -> Duration {
        if self.request.route.semantics != Semantics::Stream {
            return self.time_left();
        }
        let max_silence = Duration::from_millis(self.request.route.max_silence_ms);
        self.time_left().min(max_silence.saturating_sub(self.caller_waiting_since.get().elapsed()))
    }

    pub(super) fn attempt_count(&self) -> u32 {
        self.attempts.get()
    }

    /// Returns a whole response or the beginning of a stream, within the request's timeout.
    pub(super) async fn response(&self) -> Result<EndpointResponse, Failure> {
        let response = self.try_endpoints(self.request.last_event_id, None);
        monoio::select! {
            response = response => response,
            () = sleep(self.time_left()) => Err(Failure::TimedOut(self.verdict.get())),
        }
    }

    /// Resumes an interrupted stream at another endpoint, after the given event.
    ///
    /// Returns `None` when the route, the limit on attempts or the retry budget does not allow it,
    /// or when no attempt gives a stream within the request's timeout.
    pub(super) async fn resume(
        &self,
        last_event_id: Option<u64>,
        failed_endpoint: EndpointKey,
    ) -> Option<Box<ResponseStream>> {
        self.failed_endpoints.borrow_mut().push(failed_endpoint);
        // The caller may have received events until now, so its wait is counted from here. Time
        // during which the endpoint was already silent is left out.
        self.caller_waiting_since.set(Instant::now());
        if !self.may_retry() {
            return None;
        }
        let response = self.try_endpoints(last_event_id, Some(failed_endpoint));
        let response = timeout(self.time_left(), response).await.ok()?;
        match response {
            Ok(EndpointResponse::Stream(stream)) => Some(stream),
            Ok(EndpointResponse::Complete(res)) => {
                self.log("not_resumed", format_args!("status={}", res.status().as_u16()));
                None
            }
            Err(failure) => {
                self.log("not_resumed", format_args!("cause={failure:?}"));
                None
            }
        }
    }

    fn may_retry(&self) -> bool {
        self.request.route.may_retry() && self.attempts.get() < self.request.route.max_attempts
    }

    async fn try_endpoints(
        &self,
        last_event_id: Option<u64>,
        failed_endpoint: Option<EndpointKey>,
    ) -> Result<EndpointResponse, Failure> {
        let mut unsent_attempts = 0;
        let mut is_retry = failed_endpoint.is_some();
        let mut fallback: Option<Response> = None;
        loop {
            let failure =
                match self.make_attempt(last_event_id, is_retry, unsent_attempts > 0).await {
                    Ok(response) => return Ok(response),
                    Err(failure) => failure,
                };
            let may_attempt_again = match failure {
                AttemptFailure::NotSent => {
                    unsent_attempts += 1;
                    unsent_attempts < MAX_UNSENT_ATTEMPTS
                }
                AttemptFailure::NotRun(_) => self.attempts.get() < self.request.route.max_attempts,
                AttemptFailure::MayHaveRun(_) | AttemptFailure::ErrorResponse(_) => {
                    self.may_retry()
                }
                AttemptFailure::Refused(_)
                | AttemptFailure::Stopping
                | AttemptFailure::NoMemory
                | AttemptFailure::NoMemoryForResponse => false,
            };
            is_retry |= !matches!(failure, AttemptFailure::NotSent);
            if !may_attempt_again {
                return final_result(failure, fallback, self.verdict.get());
            }
            if let AttemptFailure::ErrorResponse(res) = failure {
                fallback = Some(res);
            }
        }
    }

    /// Asks the scheduler for an endpoint and sends the request to it.
    ///
    /// The quota is charged at the first call; a later one passes `is_retry` or
    /// `is_quota_charged`, so that it is not charged again.
    async fn make_attempt(
        &self,
        last_event_id: Option<u64>,
        is_retry: bool,
        is_quota_charged: bool,
    ) -> Result<EndpointResponse, AttemptFailure> {
        let permit = self.cx.memory.reserve_response(MAX_RESPONSE_MEMORY_WAIT).await;
        let permit = permit.ok_or(AttemptFailure::NoMemory)?;
        let placement_request = self.placement_request(is_retry, is_quota_charged);
        let granted = monoio::select! {
            granted = flight::request_endpoint(&self.cx.scheduler, placement_request) => granted,
            () = self.until_waiting_ends() => None,
        };
        let granted = granted.ok_or(AttemptFailure::Stopping)?;
        let (grant, in_flight) = granted.map_err(AttemptFailure::Refused)?;
        self.log_dispatched(&grant);
        let endpoint = grant.endpoint;
        let result = self.send(&grant, in_flight, last_event_id, permit).await;
        if let Err(failure) = &result {
            self.failed_endpoints.borrow_mut().push(endpoint);
            self.log_attempt_failed(&grant, failure);
        }
        result
    }

    /// Resolves when the instance stops and may not wait for an endpoint any longer.
    ///
    /// A request that may have run waits until the last answers, as no other instance can tell its
    /// caller more.
    async fn until_waiting_ends(&self) {
        match self.verdict.get() {
            Verdict::NotRun => self.cx.drain.until_waiting_ends(self.time_left()).await,
            _ => std::future::pending().await,
        }
    }

    fn placement_request(&self, is_retry: bool, is_quota_charged: bool) -> PlacementRequest {
        let AdmittedRequest { route, prompt, organisation, .. } = &self.request;
        let is_stream = route.semantics == Semantics::Stream;
        let descriptor = Descriptor {
            rank: self.rank(),
            org: OrgId(organisation.as_ref().map_or(0, |o| id_hash(&o.name).into())),
            weight: 1,
            kind: KindId(id_hash(&route.name)),
            prompt_tokens: prompt.tokens,
            answer_tokens: prompt.expected_answer_tokens.max(1),
            has_length_hint: prompt.has_length_hint,
            goal: is_stream.then(|| self.goal()),
            prefix: prompt.prefix_blocks.clone(),
            deadline: self.time_left().as_secs_f64() * 1_000.0,
            reports_first_token: is_stream,
            failed_at: self.failed_endpoints.borrow().clone(),
        };
        PlacementRequest {
            ticket: self.cx.next_ticket(),
            pool: Rc::clone(&self.request.pool),
            descriptor,
            shared_parts: prompt.shared_parts.clone(),
            quota_charge: if is_quota_charged || is_retry { None } else { self.quota_charge() },
            is_retry,
            may_have_run: self.verdict.get() != Verdict::NotRun,
        }
    }

    /// Combines the organisation's rank, or the route's if it has none, with the route's rank as
    /// tie-breaker.
    pub(super) fn rank(&self) -> Rank {
        let route = self.request.route.rank.min(MAX_RANK);
        let organisation = self.request.organisation.as_ref().and_then(|o| o.rank);
        organisation.unwrap_or(route).min(MAX_RANK) * (MAX_RANK + 1) + route
    }

    /// Returns the latency goal of a stream; its times count from the placement request.
    fn goal(&self) -> LatencyGoal {
        let target = Duration::from_millis(self.request.route.target_ms);
        let time_to_target = target.saturating_sub(self.request.received_at.elapsed());
        let max_silence = Duration::from_millis(self.request.route.max_silence_ms);
        LatencyGoal {
            first_token_by: time_to_target.as_secs_f64() * 1_000.0,
            max_gap_ms: self.request.route.max_gap_ms as f64,
            caller_leaves_at: max_silence
                .saturating_sub(self.caller_waiting_since.get().elapsed())
                .as_secs_f64()
                * 1_000.0,
        }
    }

    fn quota_charge(&self) -> Option<QuotaCharge> {
        let organisation = self.request.organisation.as_ref()?;
        let units = match organisation.quota?.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { default } => {
                self.request.prompt.quota_tokens().unwrap_or(f64::from(default))
            }
        };
        Some(QuotaCharge { organisation: Rc::clone(organisation), units })
    }

    /// Sends the request to the granted endpoint and reads the response, or the head of a stream.
    async fn send(
        &self,
        grant: &Grant,
        mut in_flight: InFlightRequest,
        last_event_id: Option<u64>,
        permit: Permit,
    ) -> Result<EndpointResponse, AttemptFailure> {
        let connections = &self.cx.endpoint_connections;
        // The endpoint may write its earlier answer to this request once more, with the same id.
        let has_answered_before = self.failed_endpoints.borrow().contains(&grant.endpoint);
        let connection = match has_answered_before {
            true => connections.connect(grant.address).await,
            false => connections.acquire(grant.endpoint, grant.address).await,
        };
        let mut upstream = match connection {
            Ok(upstream) => upstream,
            // The endpoint is not at fault.
            Err(WireError::TooManyConnections) => {
                in_flight.end(Ending::Cancelled);
                return Err(AttemptFailure::NotSent);
            }
            Err(_) => {
                in_flight.end(Ending::Failed);
                return Err(AttemptFailure::NotSent);
            }
        };
        let time_left = self.time_left();
        if time_left < MIN_TIME_LEFT {
            in_flight.end(Ending::Cancelled);
            return Err(AttemptFailure::NotSent);
        }
        let headers = self.attempt_headers(grant, time_left, last_event_id);
        self.attempts.set(self.attempts.get() + 1);
        let previous_verdict = self.verdict.replace(Verdict::MayHaveRun);
        let AdmittedRequest { method, uri, body, .. } = &self.request;
        let sent_at = Instant::now();
        in_flight.record_sent();
        if let Err(e) = upstream.send(method, uri, &headers, body.clone()).await {
            const CAUSE: &str = "the request could not be sent";
            self.log_endpoint_failed(&grant.id, false, CAUSE, &e);
            // The endpoint had closed the connection before it could begin to answer.
            in_flight.end(Ending::Failed);
            return Err(AttemptFailure::MayHaveRun(CAUSE));
        }
        let read_head = self.read_head(&mut upstream);
        let head = match self.silence_timeout() {
            Some(limit) => timeout(limit, read_head).await,
            None => Ok(read_head.await),
        };
        let head = match head {
            Ok(Ok(head)) => head,
            Ok(Err(e)) => return Err(self.connection_failed(grant, in_flight, "no answer", &e)),
            Err(_) => {
                in_flight.end(Ending::Failed);
                return Err(AttemptFailure::MayHaveRun("the endpoint is silent"));
            }
        };
        self.cx.scheduler.send(SchedulerMessage::EndpointReported(
            grant.endpoint,
            headers::self_report(&head, &self.cx.header_names),
            sent_at.elapsed(),
        ));
        if head.headers().contains_key(&self.cx.header_names.not_executed)
            || head.status() == StatusCode::MISDIRECTED_REQUEST
        {
            self.verdict.set(previous_verdict);
            return Err(self.handle_not_executed(grant, in_flight, upstream, head).await);
        }
        if self.is_event_stream(&head) {
            if !self.is_endpoint_response(head.headers()) {
                in_flight.end(Ending::Failed);
                return Err(AttemptFailure::MayHaveRun("the answer is not the endpoint's"));
            }
            let endpoint_id = grant.id.clone();
            return Ok(EndpointResponse::Stream(Box::new(ResponseStream {
                head,
                upstream,
                in_flight,
                endpoint: grant.endpoint,
                endpoint_id,
                permit,
            })));
        }
        // An error tells nothing of how the endpoint answers such a prompt.
        if head.status().is_success() {
            in_flight.record_progress();
        }
        self.read_complete_response(grant, in_flight, upstream, head, permit).await
    }

    /// Returns how long an endpoint may send nothing before the request is retried at another
    /// one; `None` if it may not be retried.
    pub(super) fn silence_timeout(&self) -> Option<Duration> {
        let target = Duration::from_millis(self.request.route.target_ms);
        self.may_retry()
            .then(|| (target * SILENCE_TIMEOUT_TARGET_MULTIPLE).max(MIN_SILENCE_TIMEOUT))
    }

    fn is_event_stream(&self, head: &http::Response<()>) -> bool {
        self.request.route.semantics == Semantics::Stream
            && head.status().is_success()
            && headers::is_event_stream(head.headers())
    }

    fn connection_failed(
        &self,
        grant: &Grant,
        in_flight: InFlightRequest,
        cause: &'static str,
        error: &WireError,
    ) -> AttemptFailure {
        self.log_endpoint_failed(&grant.id, in_flight.has_response_started(), cause, error);
        in_flight.break_off(error);
        AttemptFailure::MayHaveRun(cause)
    }

    async fn handle_not_executed(
        &self,
        grant: &Grant,
        in_flight: InFlightRequest,
        mut upstream: EndpointConnection,
        head: http::Response<()>,
    ) -> AttemptFailure {
        // `Lost` does not count as a failure: an endpoint that does not run a request may be
        // healthy, and its load header already reports how full it is.
        in_flight.end(Ending::Lost);
        if head.status() == StatusCode::MISDIRECTED_REQUEST {
            self.cx.scheduler.send(SchedulerMessage::MisdirectedRequest(grant.endpoint));
            return AttemptFailure::NotRun("another endpoint has the address");
        }
        if let Ok(Ok(_)) = timeout(DISCARD_TIMEOUT, upstream.read_body(MAX_DISCARDED_BYTES)).await {
            self.cx.endpoint_connections.release(grant.endpoint, upstream, head.headers());
        }
        AttemptFailure::NotRun("the endpoint did not run it")
    }

    /// Reads the head of the response to this request; skips responses with another request id.
    ///
    /// A response without an id is taken for this request's only if the connection has carried no
    /// other; otherwise it may be an earlier one that is written again.
    async fn read_head(&self, upstream: &mut ClientConn) -> Result<http::Response<()>, WireError> {
        for _ in 0..MAX_SKIPPED_RESPONSES {
            let head = upstream.read_head(&self.request.method).await?;
            match head.headers().get(&self.cx.header_names.request_id) {
                Some(id) if *id != self.request.id => {
                    self.log("answer_skipped", format_args!("answers={id:?}"));
                    self.skip_body(upstream).await?;
                }
                None if upstream.was_kept() => {
                    let status = head.status().as_u16();
                    return Err(WireError::Malformed(format!("answer {status} without an id")));
                }
                _ => return Ok(head),
            }
        }
        Err(WireError::Malformed("received only responses to other requests".to_owned()))
    }

    /// Reads and discards the body of another response.
    async fn skip_body(&self, upstream: &mut ClientConn) -> Result<(), WireError> {
        let mut len = 0;
        while let Some(piece) = upstream.next_piece().await? {
            len += piece.len();
            if len > MAX_BUFFERED_RESPONSE_BYTES {
                return Err(WireError::BodyTooLarge { limit: MAX_BUFFERED_RESPONSE_BYTES });
            }
        }
        Ok(())
    }

    /// Reads a response body as far as there is memory for it.
    async fn read_body(
        &self,
        upstream: &mut ClientConn,
        permit: Permit,
    ) -> Result<Body, WireError> {
        let mut body = BodyCollector::new(permit, MAX_BUFFERED_RESPONSE_BYTES);
        if let Some(len) = upstream.stated_len() {
            body.expect_len(len).await?;
        }
        while let Some(piece) = upstream.next_piece().await? {
            body.push(&piece).await?;
        }
        Ok(body.finish())
    }

    async fn read_complete_response(
        &self,
        grant: &Grant,
        in_flight: InFlightRequest,
        mut upstream: EndpointConnection,
        head: http::Response<()>,
        permit: Permit,
    ) -> Result<EndpointResponse, AttemptFailure> {
        let is_success = head.status().is_success();
        let body = match self.read_body(&mut upstream, permit).await {
            // Nothing tells a body that is empty from one that the endpoint did not begin.
            Ok(body) if body.is_empty() && is_success && upstream.is_close_delimited() => {
                let error = WireError::UnexpectedEof;
                const CAUSE: &str = "the answer ended before its body";
                return Err(self.connection_failed(grant, in_flight, CAUSE, &error));
            }
            Ok(body) => body,
            // The endpoint is not at fault.
            Err(WireError::NoMemoryForBody { .. }) => {
                in_flight.end(Ending::Cancelled);
                return Err(AttemptFailure::NoMemoryForResponse);
            }
            Err(e) => {
                return Err(self.connection_failed(grant, in_flight, "the answer broke off", &e));
            }
        };
        let (mut parts, ()) = head.into_parts();
        if is_success && !self.is_endpoint_response(&parts.headers) {
            in_flight.end(Ending::Failed);
            return Err(AttemptFailure::MayHaveRun("the answer is not the endpoint's"));
        }
        if promises_not_run(parts.status) {
            self.cx.endpoint_connections.release(grant.endpoint, upstream, &parts.headers);
            in_flight.end(Ending::Failed);
            return Err(AttemptFailure::MayHaveRun(
                "the endpoint ran it and promised that it had not",
            ));
        }
        let is_close_delimited = upstream.is_close_delimited();
        self.cx.endpoint_connections.release(grant.endpoint, upstream, &parts.headers);
        self.remove_unforwarded_headers(&mut parts.headers);
        let res = Response::from_parts(parts, body);
        if res.status().is_server_error() {
            in_flight.end(Ending::Failed);
            return Err(AttemptFailure::ErrorResponse(res));
        }
        in_flight.complete(1, is_close_delimited);
        Ok(EndpointResponse::Complete(res))
    }

    /// Returns whether a successful response can be the endpoint's own: it has a signature, which
    /// is not verified here, the request's id and no content encoding.
    fn is_endpoint_response(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(&self.cx.header_names.signature)
            && headers.get(&self.cx.header_names.request_id) == Some(&self.request.id)
            && !headers.contains_key(header::CONTENT_ENCODING)
    }

    /// Removes the headers of an endpoint's response that are not forwarded to the caller.
    pub(super) fn remove_unforwarded_headers(&self, headers: &mut HeaderMap) {
        baobabvane_wire::remove_hop_by_hop(headers);
        headers.remove(header::CONTENT_LENGTH);
        let names = &self.cx.header_names;
        for name in [&names.load, &names.rate_limit, &names.leaving] {
            headers.remove(name);
        }
    }

    fn attempt_headers(
        &self,
        grant: &Grant,
        time_left: Duration,
        last_event_id: Option<u64>,
    ) -> HeaderMap {
        let mut headers = self.request.headers.clone();
        let time = time_left.saturating_sub(ENDPOINT_TIMEOUT_MARGIN).max(MIN_TIME_LEFT);
        let names = &self.cx.header_names;
        headers.insert(&names.time_left, headers::from_number(time.as_millis() as u64));
        if let Ok(id) = HeaderValue::from_str(&grant.id) {
            headers.insert(&names.expected_endpoint, id);
        }
        if let Some(last) = last_event_id {
            headers.insert(&LAST_EVENT_ID, headers::from_number(last));
        }
        headers
    }

    pub(super) fn received_at(&self) -> Instant {
        self.request.received_at
    }
}

/// Returns whether a status tells callers that their request has not run and never will, so that they
/// may send it again. An endpoint that says so does not state it by the status alone.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns what the caller gets after the last attempt failed: an endpoint's 5xx response, if
/// there was one, or a failure. `verdict` covers all attempts.
fn final_result(
    failure: AttemptFailure,
    fallback: Option<Response>,
    verdict: Verdict,
) -> Result<EndpointResponse, Failure> {
    let may_have_run = verdict != Verdict::NotRun;
    match (failure, fallback) {
        (AttemptFailure::ErrorResponse(res), _) => Ok(EndpointResponse::Complete(res)),
        (AttemptFailure::NoMemoryForResponse, None) => Err(Failure::NoMemoryForResponse),
        (_, Some(res)) => Ok(EndpointResponse::Complete(res)),
        (AttemptFailure::MayHaveRun(cause), _) => Err(Failure::MayHaveRun(cause)),
        (_, None) if may_have_run => Err(Failure::MayHaveRun("an earlier try failed")),
        (AttemptFailure::NoMemory, _) => Err(Failure::NoMemory),
        (AttemptFailure::Stopping, _) => Err(Failure::Stopping(verdict)),
        (AttemptFailure::NotRun(cause), _) => Err(Failure::NotRun(cause)),
        (AttemptFailure::NotSent, _) => Err(Failure::NotRun("no endpoint could be reached")),
        (AttemptFailure::Refused(refused), _) => Err(Failure::Refused(refused)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_failure_after_an_attempt_that_may_have_run_says_that_it_has_not() {
        let failures = [
            AttemptFailure::NotSent,
            AttemptFailure::NotRun("full"),
            AttemptFailure::MayHaveRun("silent"),
            AttemptFailure::Refused(Refused::RetryBudget),
            AttemptFailure::Stopping,
            AttemptFailure::NoMemory,
        ];
        for failure in failures {
            let result = final_result(failure, None, Verdict::MayHaveRun);
            assert!(matches!(result, Err(Failure::MayHaveRun(_))));
        }
        let result = final_result(AttemptFailure::NoMemoryForResponse, None, Verdict::MayHaveRun);
        assert!(matches!(result, Err(Failure::NoMemoryForResponse)));
    }
}
