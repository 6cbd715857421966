//! What the core knows and expects of one endpoint.

use crate::{
    breaker::Breaker,
    event::{EndpointLoad, EndpointSpec, LoadReport, Millis, Speed},
    learn::{Average, LinearFit},
    limit::InFlightLimit,
};

/// Prompts with fewer unread tokens teach the base time, longer ones the reading speed.
const SHORT_PROMPT_TOKENS: u32 = 200;
/// Answers with fewer tokens say little on the writing speed.
const MIN_DECODE_SAMPLE_TOKENS: u32 = 4;
const LEARNING_RATE: f64 = 0.1;
/// An answer that took this share of the caller's time says that the endpoint is too full.
const NEAR_DEADLINE_SHARE: f64 = 0.7;
/// A silent endpoint is given this long on top of what it was expected to need.
const SILENCE_ALLOWANCE_MS: Millis = 5_000.0;
const SILENCE_FIRST_TOKEN_FACTOR: f64 = 4.0;
/// Reports are compared with our own peak of the last one to two of these.
const PEAK_WINDOW_MS: Millis = 10_000.0;
/// A report's word on others' requests halves in this time.
const REPORT_HALF_LIFE_MS: Millis = 5_000.0;

/// The part of an endpoint's slots that others may be taking before they are heard: more
/// lets places lie idle in calm times, less fills them twice in busy ones (docs/decisions.md).
const CONTESTED_SLOT_SHARE: f64 = 0.4;

/// A request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    pub(crate) at: Millis,
    pub(crate) expected_ms: Millis,
    pub(crate) unread_tokens: u32,
    pub(crate) ahead_tokens: u32,
    /// Whether its prompt takes long to read.
    pub(crate) is_long_prefill: bool,
    /// Whether it takes long as a whole.
    pub(crate) is_long: bool,
    pub(crate) deadline: Millis,
    pub(crate) in_flight: u32,
    /// Whether the start of the answer will be seen.
    pub(crate) reports_first_token: bool,
    /// Whether the prompt is taken to be read.
    pub(crate) is_prefilled: bool,
    pub(crate) first_token_at: Option<Millis>,
}

/// What an endpoint is told of a request that it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLoad {
    pub(crate) unread_tokens: u32,
    pub(crate) is_long_prefill: bool,
    pub(crate) is_long: bool,
    pub(crate) reports_first_token: bool,
    pub(crate) deadline: Millis,
}

/// State and estimates of an endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) is_leaving: bool,
    pub(crate) breaker: Breaker,
    limit: InFlightLimit,
    has_adaptive_limit: bool,
    slots: u32,
    is_in_other_zone: bool,
    in_flight: u32,
    unread_tokens: u32,
    long_prefills: u32,
    long_requests: u32,
    awaited_first_tokens: u32,
    base_ms: Average,
    prefill_ms_per_token: Average,
    decode_ms_per_token: LinearFit,
    last_progress_at: Millis,
    reported_requests: u32,
    foreign_requests: f64,
    foreign_as_of: Millis,
    peer_load: EndpointLoad,
    /// Places that may be taken before others' loads are known anew.
    excess_allowance: u32,
    /// Requests beyond the slots that it may have, as a part of them.
    overcommit_ratio: f64,
    in_flight_peaks: InFlightPeaks,
}

/// The most requests that we had in flight lately.
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
    /// Makes an endpoint of which nothing is known but what others of its pool are like.
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
            unread_tokens: 0,
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
        }
    }

    pub(crate) fn update_spec(&mut self, spec: &EndpointSpec) {
        self.is_leaving = false;
        self.slots = spec.slots;
        self.is_in_other_zone = spec.is_in_other_zone;
        self.limit.set_max(spec.slots);
    }

    /// Returns how many more requests may be sent now.
    pub(crate) fn free_room(&self, now: Millis) -> u32 {
        if self.is_leaving || !self.breaker.allows(now) {
            return 0;
        }
        let free = self.room(now).saturating_sub(self.in_flight);
        if self.breaker.is_open() { free.min(1) } else { free }
    }

    /// Returns how many of our requests may be in flight.
    pub(crate) fn room(&self, now: Millis) -> u32 {
        if self.is_leaving {
            return 0;
        }
        let limit = if self.has_adaptive_limit { self.limit.get() } else { self.slots };
        let limit = limit + (f64::from(limit) * self.overcommit_ratio).round() as u32;
        let age = now - self.foreign_as_of;
        let foreign_requests = self.foreign_requests * (-age / REPORT_HALF_LIFE_MS).exp2();
        // What a report leaves is a guess; what others say of themselves is not.
        let by_report = limit.saturating_sub(foreign_requests.round() as u32).max(1);
        by_report.min(limit.saturating_sub(self.peer_load.requests))
    }

    /// Returns how many more requests may be sent now by a scheduler that has its share of
    /// the pool already.
    pub(crate) fn free_beyond_share(&self, now: Millis) -> u32 {
        self.free_room(now).min(self.excess_allowance)
    }

    /// Sets how many requests beyond the slots wait in the endpoint, as a part of them, so
    /// that the next one is there when a slot falls free.
    pub(crate) fn set_overcommit_ratio(&mut self, overcommit_ratio: f64) {
        self.overcommit_ratio = overcommit_ratio;
    }

    /// Sets anew how many places may be taken until others are heard again; `draw` is
    /// out of 0 to 1 and decides on a broken number.
    pub(crate) fn redraw_allowance(&mut self, now: Millis, share: f64, random: f64) {
        let free = f64::from(self.free_room(now));
        let contested = free.min((f64::from(self.slots) * CONTESTED_SLOT_SHARE).ceil());
        self.excess_allowance = (free - contested + contested * share + random) as u32;
    }

    /// Takes over what other schedulers have at the endpoint now.
    pub(crate) fn set_peer_load(&mut self, peer_load: EndpointLoad) {
        self.peer_load = peer_load;
    }

    /// Returns what this scheduler has at the endpoint, for the others.
    pub(crate) fn load(&self) -> EndpointLoad {
        EndpointLoad { requests: self.in_flight, unread_tokens: self.unread_tokens }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests in the endpoint by its last report.
    pub(crate) fn reported_requests(&self) -> u32 {
        self.reported_requests
    }

    pub(crate) fn has_long_prefill(&self) -> bool {
        self.long_prefills > 0
    }

    /// Estimates the time to the first token of a prompt with unread tokens.
    pub(crate) fn first_token_ms(&self, unread_tokens: u32) -> Millis {
        self.base_ms.get() + self.backlog_ms(unread_tokens)
    }

    /// Estimates how long the endpoint reads before all prompts are read.
    pub(crate) fn backlog_ms(&self, unread_tokens: u32) -> Millis {
        let ahead = f64::from(self.unread_tokens) + f64::from(self.peer_load.unread_tokens);
        (ahead + f64::from(unread_tokens)) * self.prefill_ms_per_token.get()
    }

    /// Says whether the endpoint is in another availability zone.
    pub(crate) fn is_in_other_zone(&self) -> bool {
        self.is_in_other_zone
    }

    /// Returns the part of the slots that is taken, by all schedulers.
    pub(crate) fn utilization(&self) -> f64 {
        f64::from(self.in_flight + self.peer_load.requests) / f64::from(self.slots.max(1))
    }

    pub(crate) fn prefill_ms_per_token(&self) -> Millis {
        self.prefill_ms_per_token.get()
    }

    /// Estimates the time between two tokens with one more request in flight.
    pub(crate) fn decode_ms_per_token(&self) -> Millis {
        self.decode_ms_per_token.at(f64::from(self.in_flight + self.peer_load.requests + 1))
    }

    /// Estimates the time between two tokens of a request that is alone.
    pub(crate) fn idle_decode_ms_per_token(&self) -> Millis {
        self.decode_ms_per_token.at(1.0)
    }

    /// Says whether the endpoint holds a long request in any phase.
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
        self.excess_allowance = self.excess_allowance.saturating_sub(1);
        let sent = SentRequest {
            at: now,
            expected_ms: self.first_token_ms(load.unread_tokens),
            unread_tokens: load.unread_tokens,
            ahead_tokens: self.unread_tokens + self.peer_load.unread_tokens,
            is_long_prefill: load.is_long_prefill,
            is_long: load.is_long,
            deadline: load.deadline,
            in_flight: self.in_flight + self.peer_load.requests,
            reports_first_token: load.reports_first_token,
            is_prefilled: false,
            first_token_at: None,
        };
        self.awaited_first_tokens += u32::from(load.reports_first_token);
        self.unread_tokens += load.unread_tokens;
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
        self.breaker.record_success();
        let elapsed_ms = now - sent.at;
        self.limit.observe_first_token(now, sent.expected_ms, elapsed_ms, self.in_flight);
        self.learn_first_token(sent, elapsed_ms);
    }

    pub(crate) fn finish(&mut self, now: Millis, sent: &mut SentRequest, answer_tokens: u32) {
        let in_flight = self.in_flight + self.peer_load.requests;
        let mean_in_flight = f64::from(sent.in_flight + in_flight) / 2.0;
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

    /// Takes back a request that ended without a whole answer.
    pub(crate) fn release(&mut self, sent: &mut SentRequest) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // No other scheduler has heard of this place yet.
        self.excess_allowance += 1;
        self.long_requests = self.long_requests.saturating_sub(u32::from(sent.is_long));
        self.finish_prefill(sent);
        if sent.first_token_at.is_none() {
            self.awaited_first_tokens -= u32::from(sent.reports_first_token);
        }
    }

    /// Takes the prompt of an answer whose start is not seen to be read by now.
    pub(crate) fn assume_prefilled(&mut self, now: Millis, sent: &mut SentRequest) {
        if !sent.reports_first_token && now > sent.at + sent.expected_ms {
            self.finish_prefill(sent);
        }
    }

    pub(crate) fn apply_report(&mut self, now: Millis, report: LoadReport) {
        self.reported_requests = report.requests;
        self.foreign_requests =
            f64::from(report.requests.saturating_sub(self.in_flight_peaks.max()));
        self.foreign_as_of = now - report.age_ms;
    }

    /// Says whether the endpoint owes a first token and has said nothing for too long.
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
        self.unread_tokens = self.unread_tokens.saturating_sub(sent.unread_tokens);
        self.long_prefills = self.long_prefills.saturating_sub(u32::from(sent.is_long_prefill));
    }

    fn learn_first_token(&mut self, sent: &SentRequest, elapsed_ms: Millis) {
        let tokens = f64::from(sent.unread_tokens + sent.ahead_tokens);
        if sent.unread_tokens + sent.ahead_tokens < SHORT_PROMPT_TOKENS {
            let base = elapsed_ms - tokens * self.prefill_ms_per_token.get();
            self.base_ms.add(base.max(0.1));
        } else {
            let rate = (elapsed_ms - self.base_ms.get()) / tokens;
            self.prefill_ms_per_token.add(rate.max(0.001));
        }
    }
}

/// Says whether the endpoint took nearly all of the time that the caller had left.
pub(crate) fn is_near_deadline(now: Millis, sent: &SentRequest) -> bool {
    now - sent.at > NEAR_DEADLINE_SHARE * (sent.deadline - sent.at)
}
