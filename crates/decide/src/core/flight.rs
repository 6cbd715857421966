//! Processes the dispatch, first token and end of a request, and updates the estimates.

use super::{Core, DECODE_BATCH_REQUESTS};
use crate::{
    capacity::{Prediction, StreamCheck, StreamReport},
    choose::ChosenEndpoint,
    endpoint::{RequestLoad, SentRequest, is_near_deadline},
    event::{Action, Descriptor, Ending, EndpointKey, KindId, LatencyGoal, OrgId, Rank, Ticket},
    learn::Average,
    queue::Waiting,
};

/// A request that was dispatched and hasn't ended.
#[derive(Clone, Debug)]
pub(super) struct InFlightRequest {
    pub(super) endpoint: EndpointKey,
    rank: Rank,
    org: OrgId,
    weight: u32,
    kind: KindId,
    prompt_tokens: u32,
    cost: f64,
    /// First block of the prompt while its prefill is unfinished.
    prefilling_block: Option<u64>,
    pub(super) sent: SentRequest,
    /// The goal of an interactive stream.
    goal: Option<LatencyGoal>,
    prediction: Option<Prediction>,
}

impl InFlightRequest {
    fn new(
        endpoint: EndpointKey,
        req: &Descriptor,
        cost: f64,
        prefilling_block: Option<u64>,
        sent: SentRequest,
    ) -> Self {
        Self {
            endpoint,
            rank: req.rank,
            org: req.org,
            weight: req.weight,
            kind: req.kind,
            prompt_tokens: req.prompt_tokens,
            cost,
            prefilling_block,
            sent,
            goal: req.goal.filter(LatencyGoal::is_interactive),
            prediction: None,
        }
    }
}

impl Core {
    pub(super) fn send(&mut self, ticket: Ticket, waiting: Waiting, chosen: ChosenEndpoint) {
        let why = self.why(waiting.descriptor.rank, waiting.since);
        let Waiting { descriptor: req, cost, .. } = waiting;
        let key = chosen.choice.endpoint;
        let load = RequestLoad {
            uncached_tokens: chosen.uncached_tokens,
            is_long_prefill: chosen.is_long_prefill,
            is_long: chosen.is_long,
            reports_first_token: req.reports_first_token,
            deadline: req.deadline,
        };
        let sent = self.endpoints[key].send(self.now, &load);
        self.refresh(key);
        if chosen.is_long_prefill {
            self.long_work.update_prefill_limit(&self.endpoints);
        }
        self.prefixes.store(key, &req.prefix);
        let prefilling_block = req.prefix.first().copied().filter(|_| req.reports_first_token);
        if let Some(block) = prefilling_block {
            self.prefixes.begin_prefill(key, block);
        }
        let now = self.now;
        self.dispatched_cost.add(now, cost);
        self.tier_rate(req.rank).add(now, cost);
        if req.failed_at.is_empty() {
            self.budget.earn();
        }
        let prediction = chosen.prediction;
        let request = InFlightRequest {
            prediction,
            ..InFlightRequest::new(key, &req, cost, prefilling_block, sent)
        };
        self.in_flight.insert(ticket, request);
        self.actions.push_back(Action::Dispatch(ticket, chosen.choice, why));
    }

    /// Counts a request that another scheduler dispatched; its prefill is assumed to be done.
    pub(super) fn adopt(&mut self, ticket: Ticket, key: EndpointKey, req: Descriptor) {
        let Waiting { descriptor: req, cost, .. } = self.with_estimates(req);
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        let load = RequestLoad {
            uncached_tokens: 0,
            is_long_prefill: false,
            is_long: false,
            reports_first_token: false,
            deadline: req.deadline,
        };
        let sent = endpoint.send(self.now, &load);
        self.refresh(key);
        let request = InFlightRequest::new(key, &req, cost, None, sent);
        self.in_flight.insert(ticket, request);
    }

    pub(super) fn first_token(&mut self, ticket: Ticket) {
        let Some(request) = self.in_flight.get_mut(&ticket) else { return };
        let Some(endpoint) = self.endpoints.get_mut(request.endpoint) else { return };
        endpoint.first_token(self.now, &mut request.sent);
        if let Some(block) = request.prefilling_block.take() {
            self.prefixes.end_prefill(request.endpoint, block);
        }
        self.base_ms.add(endpoint.base_ms());
        self.prefill_ms_per_token.add(endpoint.prefill_ms_per_token());
        if request.goal.is_some() {
            self.capacity.record_first_event(
                &mut endpoint.samples,
                request.prediction.as_ref(),
                request.prompt_tokens,
                self.now - request.sent.sent_at,
                self.now,
            );
        }
        let (key, is_long_prefill) = (request.endpoint, request.sent.is_long_prefill);
        if is_long_prefill {
            self.long_work.update_prefill_limit(&self.endpoints);
        }
        self.refresh(key);
    }

    /// Learns from an interactive stream that will end.
    pub(super) fn stream_reported(&mut self, ticket: Ticket, report: &StreamReport) {
        let Some(request) = self.in_flight.get(&ticket) else { return };
        let Some(endpoint) = self.endpoints.get_mut(request.endpoint) else { return };
        if request.goal.is_none() {
            return;
        }
        let in_flight =
            f64::from(request.sent.in_flight_at_send + endpoint.total_in_flight()) / 2.0;
        self.capacity.record_stream(&mut endpoint.samples, report, in_flight, self.now);
    }

    /// Compares the prediction of an interactive stream in flight with its report; `None` if
    /// there was no prediction.
    pub fn check_stream(&self, ticket: Ticket, report: &StreamReport) -> Option<StreamCheck> {
        let request = self.in_flight.get(&ticket)?;
        let (goal, prediction) = (request.goal?, request.prediction?);
        let first_event_at = request.sent.first_token_at.unwrap_or(self.now);
        Some(StreamCheck {
            endpoint: request.endpoint,
            prediction,
            is_first_event_late: first_event_at > goal.first_token_by,
            is_gap_late: report.longest_gap_ms > goal.max_gap_ms,
        })
    }

    pub(super) fn end(&mut self, ticket: Ticket, ending: Ending) {
        let Some(mut request) = self.in_flight.remove(&ticket) else { return };
        let now = self.now;
        if let Some(block) = request.prefilling_block.take() {
            self.prefixes.end_prefill(request.endpoint, block);
        }
        if !request.sent.is_long {
            self.long_work.record_short_request(is_near_deadline(now, &request.sent));
        }
        let Some(endpoint) = self.endpoints.get_mut(request.endpoint) else { return };
        match ending {
            Ending::Complete { answer_tokens } => {
                endpoint.finish(self.now, &mut request.sent, answer_tokens);
                self.decode_ms_per_token.add(endpoint.decode_ms_per_token());
                self.learn_from_answer(&request, answer_tokens);
            }
            Ending::Failed => {
                endpoint.release(&mut request.sent);
                if self.policy.breaker {
                    endpoint.breaker.record_failure(self.now);
                }
            }
            Ending::Lost | Ending::Cancelled => {
                endpoint.release(&mut request.sent);
                endpoint.breaker.end_probe();
            }
        }
        if request.sent.is_long_prefill {
            self.long_work.update_prefill_limit(&self.endpoints);
        }
        self.refresh(request.endpoint);
    }

    fn learn_from_answer(&mut self, request: &InFlightRequest, answer_tokens: u32) {
        let tokens = f64::from(answer_tokens);
        self.answer_lengths
            .entry(request.kind)
            .or_insert_with(|| Average::new(tokens, 0.05))
            .add(tokens);
        let prefill = f64::from(request.prompt_tokens) * self.prefill_ms_per_token.get();
        let cost = self.base_ms.get()
            + prefill
            + tokens * self.decode_ms_per_token.get() / DECODE_BATCH_REQUESTS;
        let duration = (self.now - request.sent.sent_at).max(1.0);
        self.request_duration_ms.add(duration);
        self.cost_per_slot_ms.add(cost / duration);
        self.queue.correct_charge(request.rank, request.org, request.weight, cost - request.cost);
    }
}
