//! The state of one endpoint, and the estimates learned from its answers.

use crate::{
    breaker::Breaker,
    capacity::EndpointSamples,
    event::{EndpointLoad, EndpointSpec, LoadReport, Millis, Speed},
    learn::{Average, LinearFit},
    limit::InFlightLimit,
    rate_share::{RateBucket, RateShare},
};

/// If fewer uncached tokens, including those queued ahead, were prefilled before a first token,
/// its delay updates the base time, otherwise the prefill speed.
const SHORT_PROMPT_TOKENS: u32 = 200;
/// Shorter answers don't update the decode speed, since their timing is too noisy.
const MIN_DECODE_SAMPLE_TOKENS: u32 = 4;
const LEARNING_RATE: f64 = 0.1;
/// An answer that took more than this share of the time to its deadline indicates that the
/// endpoint is overloaded.
const NEAR_DEADLINE_SHARE: f64 = 0.7;
/// Silence allowed in addition to [`SILENCE_FIRST_TOKEN_FACTOR`] times the expected time to
/// first token.
const SILENCE_ALLOWANCE_MS: Millis = 5_000.0;
const SILENCE_FIRST_TOKEN_FACTOR: f64 = 4.0;
/// Load reports are compared with the peak of this scheduler's requests in flight over the
/// last one to two windows.
const PEAK_WINDOW_MS: Millis = 10_000.0;
/// The most requests that all other schedulers together are taken to have at an endpoint.
const MAX_PEER_REQUESTS: u32 = 1_000_000;
/// Time in which the number of other senders' requests in a report decays by half.
const REPORT_HALF_LIFE_MS: Millis = 5_000.0;

/// Share of the slots that other schedulers may be filling before their load is known. A
/// higher share leaves slots idle under low load, a lower one sends several requests for
/// the same slot under high load (docs/decisions.md).
const CONTESTED_SLOT_SHARE: f64 = 0.4;

/// The endpoint's record of a request in flight, with the state of the endpoint at
/// dispatch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    pub(crate) sent_at: Millis,
    /// Estimated time to first token.
    pub(crate) expected_ms: Millis,
    pub(crate) uncached_tokens: u32,
    /// Uncached prompt tokens queued for prefill before this request.
    pub(crate) ahead_tokens: u32,
    /// Whether its prefill is long by the policy.
    pub(crate) is_long_prefill: bool,
    /// Whether its service time is long by the policy.
    pub(crate) is_long: bool,
    pub(crate) deadline: Millis,
    pub(crate) in_flight_at_send: u32,
    /// Whether the driver will report the first token.
    pub(crate) reports_first_token: bool,
    /// Whether the prefill is done or assumed to be done.
    pub(crate) is_prefilled: bool,
    pub(crate) first_token_at: Option<Millis>,
}

/// The properties of a request that its endpoint's load and estimates depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLoad {
    pub(crate) uncached_tokens: u32,
    pub(crate) is_long_prefill: bool,
    pub(crate) is_long: bool,
    pub(crate) reports_first_token: bool,
    pub(crate) deadline: Millis,
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) is_leaving: bool,
    pub(crate) breaker: Breaker,
    limit: InFlightLimit,
    has_adaptive_limit: bool,
    slots: u32,
    is_in_other_zone: bool,
    in_flight: u32,
    pending_prefill_tokens: u32,
    long_prefills: u32,
    long_requests: u32,
    awaited_first_tokens: u32,
    base_ms: Average,
    prefill_ms_per_token: Average,
    decode_ms_per_token: LinearFit,
    last_progress_at: Millis,
    reported_requests: u32,
    /// Requests of all senders but this scheduler, estimated from the last load report.
    foreign_requests: f64,
    foreign_as_of: Millis,
    peer_load: EndpointLoad,
    /// Requests that may be sent beyond the scheduler's share until the next redraw.
    excess_allowance: u32,
    /// Requests allowed beyond the in-flight limit, as a ratio of it.
    overcommit_ratio: f64,
    in_flight_peaks: InFlightPeaks,
    /// What this scheduler may still send, if the endpoint has a rate limit.
    rate_bucket: Option<RateBucket>,
    /// Until when the endpoint wants no request of this scheduler.
    paused_until: Millis,
    /// Mean time that a request of the pool spends at an endpoint.
    request_duration_ms: Millis,
    /// Samples of interactive streams.
    pub(crate) samples: EndpointSamples,
}

/// Peak of this scheduler's requests in flight in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct InFlightPeaks {
    current: u32,
    previous: u32,
    started: Millis,
}

impl InFlightPeaks {
    fn record(&mut self, now: Millis, in_flight: u32) {
        if now - self.started > PEAK_WINDOW_MS {
            self.previous = self.current;
            self.current = 0;
            self.started = now;
        }
        self.current = self.current.max(in_flight);
    }

    fn max(&self) -> u32 {
        self.current.max(self.previous)
    }
}

impl Endpoint {
    /// Creates an endpoint whose speed estimates start at the pool's mean, `prior`.
    pub(crate) fn new(
        spec: &EndpointSpec,
        has_adaptive_limit: bool,
        now: Millis,
        prior: Speed,
    ) -> Self {
        Self {
            is_leaving: false,
            breaker: Breaker::new(),
            limit: InFlightLimit::new(spec.slots),
            has_adaptive_limit,
            slots: spec.slots,
            is_in_other_zone: spec.is_in_other_zone,
            in_flight: 0,
            pending_prefill_tokens: 0,
            long_prefills: 0,
            long_requests: 0,
            awaited_first_tokens: 0,
            base_ms: Average::new(prior.base_ms, LEARNING_RATE),
            prefill_ms_per_token: Average::new(prior.prefill_ms_per_token, LEARNING_RATE),
            decode_ms_per_token: LinearFit::new(prior.decode_ms_per_token, LEARNING_RATE),
            last_progress_at: now,
            reported_requests: 0,
            foreign_requests: 0.0,
            foreign_as_of: now,
            peer_load: EndpointLoad::default(),
            excess_allowance: 0,
            overcommit_ratio: 0.0,
            in_flight_peaks: InFlightPeaks::default(),
            rate_bucket: None,
            paused_until: Millis::NEG_INFINITY,
            request_duration_ms: 0.0,
            samples: EndpointSamples::default(),
        }
    }

    pub(crate) fn update_spec(&mut self, spec: &EndpointSpec) {
        self.is_leaving = false;
        self.slots = spec.slots;
        self.is_in_other_zone = spec.is_in_other_zone;
        self.limit.set_max(spec.slots);
    }

    /// Returns how many more requests may be sent now; at most one while the breaker is open.
    pub(crate) fn free_room(&self, now: Millis) -> u32 {
        if self.is_leaving || now < self.paused_until || !self.breaker.allows(now) {
            return 0;
        }
        let free = self.room(now).saturating_sub(self.in_flight);
        if self.breaker.is_open() { free.min(1) } else { free }
    }

    /// Returns how many requests of all schedulers together may be in flight at once.
    pub(crate) fn shared_limit(&self) -> u32 {
        if self.is_leaving {
            return 0;
        }
        let limit = if self.has_adaptive_limit { self.limit.get() } else { self.slots };
        if let Some(bucket) = &self.rate_bucket {
            let in_flight = bucket.limit_per_s() * self.request_duration_ms / 1_000.0;
            return limit.min(in_flight.ceil() as u32);
        }
        limit + (f64::from(limit) * self.overcommit_ratio).round() as u32
    }

    /// Returns how many requests of this scheduler may be in flight at once.
    pub(crate) fn room(&self, now: Millis) -> u32 {
        if self.is_leaving {
            return 0;
        }
        if now < self.paused_until {
            return self.in_flight;
        }
        if let Some(bucket) = &self.rate_bucket {
            return self.slots.min(self.in_flight.saturating_add(bucket.available(now)));
        }
        let limit = self.shared_limit();
        let age = now - self.foreign_as_of;
        let foreign_requests = self.foreign_requests * (-age / REPORT_HALF_LIFE_MS).exp2();
        // The load derived from a report is a guess, so it leaves room for at least one request;
        // the load that the other schedulers publish is exact and may leave none.
        let by_report = limit.saturating_sub(foreign_requests.round() as u32).max(1);
        by_report.min(limit.saturating_sub(self.peer_load.requests))
    }

    /// Returns how many more requests may be sent now by a scheduler that has its share of
    /// the pool in flight.
    pub(crate) fn free_beyond_share(&self, now: Millis) -> u32 {
        let free = self.free_room(now);
        // No other scheduler can use this one's part of a rate limit.
        if self.rate_bucket.is_some() { free } else { free.min(self.excess_allowance) }
    }

    /// Sets the ratio of requests allowed beyond the in-flight limit, which wait inside the
    /// endpoint until a slot is free.
    pub(crate) fn set_overcommit_ratio(&mut self, overcommit_ratio: f64) {
        self.overcommit_ratio = overcommit_ratio;
    }

    /// Redraws the number of requests that may be sent beyond the scheduler's share; `random`,
    /// in the range 0 to 1, rounds a fraction up or down.
    pub(crate) fn redraw_allowance(&mut self, now: Millis, share: f64, random: f64) {
        let free = f64::from(self.free_room(now));
        let contested = free.min((f64::from(self.slots) * CONTESTED_SLOT_SHARE).ceil());
        self.excess_allowance = (free - contested + contested * share + random) as u32;
    }

    pub(crate) fn set_peer_load(&mut self, peer_load: EndpointLoad) {
        let requests = peer_load.requests.min(MAX_PEER_REQUESTS);
        self.peer_load = EndpointLoad { requests, ..peer_load };
    }

    /// Sends no requests until then, or until the end of an earlier pause if that is later.
    pub(crate) fn pause(&mut self, until: Millis) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns from when on requests may be sent, as far as it is known; `None` if the endpoint is
    /// leaving.
    pub(crate) fn opens_at(&self) -> Option<Millis> {
        (!self.is_leaving).then(|| self.paused_until.max(self.breaker.opens_at()))
    }

    /// Replaces the part of the endpoint's rate limit that this scheduler may use.
    pub(crate) fn set_rate_share(&mut self, now: Millis, share: Option<RateShare>) {
        match (share, &mut self.rate_bucket) {
            (Some(share), Some(bucket)) => bucket.set_share(share, now),
            (Some(share), None) => self.rate_bucket = Some(RateBucket::new(share, now)),
            (None, _) => self.rate_bucket = None,
        }
    }

    pub(crate) fn set_request_duration(&mut self, request_duration_ms: Millis) {
        self.request_duration_ms = request_duration_ms;
    }

    /// Returns this scheduler's own load at the endpoint.
    pub(crate) fn load(&self) -> EndpointLoad {
        EndpointLoad {
            requests: self.in_flight,
            pending_prefill_tokens: self.pending_prefill_tokens,
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests at the endpoint by its last load report, from all senders.
    pub(crate) fn reported_requests(&self) -> u32 {
        self.reported_requests
    }

    pub(crate) fn has_long_prefill(&self) -> bool {
        self.long_prefills > 0
    }

    /// Estimates the time to first token of a prompt with `uncached_tokens` uncached tokens.
    pub(crate) fn first_token_ms(&self, uncached_tokens: u32) -> Millis {
        self.base_ms.get() + self.backlog_ms(uncached_tokens)
    }

    /// Estimates the time until the endpoint has prefilled all prompts, including a new one
    /// with `uncached_tokens`.
    pub(crate) fn backlog_ms(&self, uncached_tokens: u32) -> Millis {
        let ahead = f64::from(self.pending_prefill_tokens)
            + f64::from(self.peer_load.pending_prefill_tokens);
        (ahead + f64::from(uncached_tokens)) * self.prefill_ms_per_token.get()
    }

    /// Returns the prompt tokens of all schedulers whose prefill isn't finished.
    pub(crate) fn unfinished_prefill_tokens(&self) -> u32 {
        self.pending_prefill_tokens.saturating_add(self.peer_load.pending_prefill_tokens)
    }

    /// Returns the requests of all schedulers.
    pub(crate) fn total_in_flight(&self) -> u32 {
        self.in_flight + self.peer_load.requests
    }

    pub(crate) fn is_in_other_zone(&self) -> bool {
        self.is_in_other_zone
    }

    /// Returns the requests of all schedulers as a ratio of the slots.
    pub(crate) fn utilization(&self) -> f64 {
        f64::from(self.in_flight + self.peer_load.requests) / f64::from(self.slots.max(1))
    }

    pub(crate) fn prefill_ms_per_token(&self) -> Millis {
        self.prefill_ms_per_token.get()
    }

    /// Estimates the decode time for one token with one more request in flight.
    pub(crate) fn decode_ms_per_token(&self) -> Millis {
        self.decode_ms_per_token.at(f64::from(self.in_flight + self.peer_load.requests + 1))
    }

    /// Estimates the decode time for one token of a request that is alone at the endpoint.
    pub(crate) fn idle_decode_ms_per_token(&self) -> Millis {
        self.decode_ms_per_token.at(1.0)
    }

    /// Returns whether a long request is in flight, in prefill or decode.
    pub(crate) fn has_long_request(&self) -> bool {
        self.long_requests > 0
    }

    pub(crate) fn base_ms(&self) -> Millis {
        self.base_ms.get()
    }

    pub(crate) fn send(&mut self, now: Millis, load: &RequestLoad) -> SentRequest {
        if self.awaited_first_tokens == 0 {
            self.last_progress_at = now;
        }
        self.in_flight += 1;
        if let Some(bucket) = &mut self.rate_bucket {
            bucket.take(now);
        }
        self.excess_allowance = self.excess_allowance.saturating_sub(1);
        let sent = SentRequest {
            sent_at: now,
            expected_ms: self.first_token_ms(load.uncached_tokens),
            uncached_tokens: load.uncached_tokens,
            ahead_tokens: self.unfinished_prefill_tokens(),
            is_long_prefill: load.is_long_prefill,
            is_long: load.is_long,
            deadline: load.deadline,
            in_flight_at_send: self.in_flight + self.peer_load.requests,
            reports_first_token: load.reports_first_token,
            is_prefilled: false,
            first_token_at: None,
        };
        self.awaited_first_tokens += u32::from(load.reports_first_token);
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_add(load.uncached_tokens);
        self.long_prefills += u32::from(load.is_long_prefill);
        self.long_requests += u32::from(load.is_long);
        self.in_flight_peaks.record(now, self.in_flight);
        self.breaker.record_sent();
        sent
    }

    pub(crate) fn first_token(&mut self, now: Millis, sent: &mut SentRequest) {
        if sent.first_token_at.is_some() {
            return;
        }
        sent.first_token_at = Some(now);
        self.finish_prefill(sent);
        self.awaited_first_tokens -= u32::from(sent.reports_first_token);
        self.last_progress_at = now;
        self.breaker.record_start();
        let elapsed_ms = now - sent.sent_at;
        self.limit.observe_first_token(now, sent.expected_ms, elapsed_ms, self.in_flight);
        self.learn_first_token(sent, elapsed_ms);
    }

    pub(crate) fn finish(&mut self, now: Millis, sent: &mut SentRequest, answer_tokens: u32) {
        let in_flight = self.in_flight + self.peer_load.requests;
        let mean_in_flight = f64::from(sent.in_flight_at_send + in_flight) / 2.0;
        self.release(sent);
        self.last_progress_at = now;
        self.breaker.record_success();
        if is_near_deadline(now, sent) {
            self.limit.observe_near_deadline(now);
        }
        let Some(first) = sent.first_token_at else { return };
        if answer_tokens >= MIN_DECODE_SAMPLE_TOKENS {
            let ms = (now - first) / f64::from(answer_tokens);
            self.decode_ms_per_token.add(mean_in_flight, ms);
        }
    }

    /// Removes a request that ended.
    pub(crate) fn release(&mut self, sent: &mut SentRequest) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // No other scheduler knows of this free slot yet.
        self.excess_allowance += 1;
        self.long_requests = self.long_requests.saturating_sub(u32::from(sent.is_long));
        self.finish_prefill(sent);
        if sent.first_token_at.is_none() {
            self.awaited_first_tokens -= u32::from(sent.reports_first_token);
        }
    }

    /// Marks the prefill as done after its expected time if no first token will be reported.
    pub(crate) fn assume_prefilled(&mut self, now: Millis, sent: &mut SentRequest) {
        if !sent.reports_first_token && now > sent.sent_at + sent.expected_ms {
            self.finish_prefill(sent);
        }
    }

    pub(crate) fn apply_report(&mut self, now: Millis, report: LoadReport) {
        self.reported_requests = report.requests;
        self.foreign_requests =
            f64::from(report.requests.saturating_sub(self.in_flight_peaks.max()));
        self.foreign_as_of = now - report.age_ms;
    }

    /// Returns whether first tokens are due and the endpoint has been silent for too long.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        let expected = self.first_token_ms(0);
        self.awaited_first_tokens > 0
            && now - self.last_progress_at
                > SILENCE_ALLOWANCE_MS + SILENCE_FIRST_TOKEN_FACTOR * expected
    }

    pub(crate) fn reset_silence(&mut self, now: Millis) {
        self.last_progress_at = now;
    }

    fn finish_prefill(&mut self, sent: &mut SentRequest) {
        if std::mem::replace(&mut sent.is_prefilled, true) {
            return;
        }
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_sub(sent.uncached_tokens);
        self.long_prefills = self.long_prefills.saturating_sub(u32::from(sent.is_long_prefill));
    }

    fn learn_first_token(&mut self, sent: &SentRequest, elapsed_ms: Millis) {
        let tokens = sent.uncached_tokens.saturating_add(sent.ahead_tokens);
        let is_short = tokens < SHORT_PROMPT_TOKENS;
        let tokens = f64::from(tokens);
        if is_short {
            let base = elapsed_ms - tokens * self.prefill_ms_per_token.get();
            self.base_ms.add(base.max(0.1));
        } else {
            let rate = (elapsed_ms - self.base_ms.get()) / tokens;
            self.prefill_ms_per_token.add(rate.max(0.001));
        }
    }
}

/// Returns whether the request took most of the time between dispatch and deadline.
pub(crate) fn is_near_deadline(now: Millis, sent: &SentRequest) -> bool {
    now - sent.sent_at > NEAR_DEADLINE_SHARE * (sent.deadline - sent.sent_at)
}
