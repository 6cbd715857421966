//! Exchanges samples of the speed of endpoints with the instances of the zone, and checks what was
//! predicted of interactive streams.
//!
//! See [endpoint capacity](../../../../docs/design/endpoint-capacity.md).

use baobabvane_decide::{EndpointKey, EndpointSpeed, Event, ProcessId, StreamReport, Ticket};

use super::{
    Scheduler,
    placement::{id_hash, peer_hash, process_id},
};
use crate::peer::PeerState;

/// The number of endpoints that a heartbeat reports at most. An instance that serves 20 streams per
/// second needs this many; at more, the samples of an endpoint are reported a little later.
const MAX_REPORTS_PER_HEARTBEAT: usize = 2;

impl Scheduler {
    /// Records the timing of a stream, and compares it with what was predicted.
    pub(super) fn record_stream(&mut self, ticket: Ticket, report: StreamReport) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(core) = self.cores.get(&request.core) else { return };
        if let Some(check) = core.check_stream(ticket, &report)
            && check.prediction.is_on_time
        {
            metrics::counter!("baobabvane_gateway_streams_predicted_on_time_total").increment(1);
            for (is_late, cause) in
                [(check.is_first_event_late, "first_event"), (check.is_gap_late, "gap")]
            {
                if is_late {
                    metrics::counter!(
                        "baobabvane_gateway_streams_predicted_on_time_late_total",
                        "cause" => cause
                    )
                    .increment(1);
                }
            }
            if check.is_first_event_late || check.is_gap_late {
                let endpoint = self.directory.get(check.endpoint).map_or("-", |e| e.id.as_str());
                log::info!(
                    "event=stream_later_than_predicted endpoint={endpoint} first_event_late={} gap_late={} \
                     expected_first_event_ms={:.0} expected_gap_ms={:.0} gap_ms={:.0}",
                    check.is_first_event_late,
                    check.is_gap_late,
                    check.prediction.first_event_ms,
                    check.prediction.longest_gap_ms,
                    report.longest_gap_ms
                );
            }
        }
        self.notify_request_pool(ticket, Event::StreamReported(ticket, report));
    }

    /// Takes over the samples of another instance of this zone.
    pub(super) fn merge_endpoint_speeds(&mut self, state: &PeerState, now: f64) {
        if state.zone != id_hash(&self.zone) {
            return;
        }
        let reports = &state.local.endpoint_speeds;
        self.peer_speeds.record(peer_hash(state.peer), reports, now);
        let changed: Vec<ProcessId> = reports.iter().map(|report| report.process).collect();
        self.apply_endpoint_speeds(&changed, now);
    }

    /// Drops the samples of instances that have been silent for long.
    pub(super) fn expire_endpoint_speeds(&mut self, now: f64) {
        let changed = self.peer_speeds.expire(now);
        self.apply_endpoint_speeds(&changed, now);
    }

    fn apply_endpoint_speeds(&mut self, changed: &[ProcessId], now: f64) {
        if changed.is_empty() {
            return;
        }
        let endpoints = self.directory.iter().map(|(key, endpoint)| (key, process_id(endpoint)));
        let endpoints: Vec<(EndpointKey, ProcessId)> =
            endpoints.filter(|(_, process)| changed.contains(process)).collect();
        for (key, process) in endpoints {
            let total = self.peer_speeds.total(process, now);
            self.notify_endpoint_pool(key, Event::PeerSpeedUpdated(key, total));
        }
    }

    /// Returns this instance's own samples of the endpoints that the next heartbeat reports.
    pub(super) fn take_endpoint_speeds(&mut self) -> Vec<EndpointSpeed> {
        let mut reports = Vec::new();
        for core in self.cores.values_mut() {
            let max = MAX_REPORTS_PER_HEARTBEAT - reports.len();
            let speeds = core.take_endpoint_speeds(max).into_iter();
            reports.extend(speeds.filter_map(|(key, sums)| {
                let process = process_id(self.directory.get(key)?);
                Some(EndpointSpeed { process, sums })
            }));
        }
        reports
    }
}

#[cfg(test)]
mod tests {
    use baobabvane_decide::{Descriptor, Ending, KindId, LatencyGoal, OrgId, Policy};
    use baobabvane_tasks::Mailbox;
    use monoio::{LegacyDriver, RuntimeBuilder};

    use super::*;
    use crate::{
        configuration::DiscoveredEndpoint,
        peer::LocalState,
        scheduler::{PlacementRequest, SchedulerMessage, spawn},
    };

    fn endpoint(started_ms: u64) -> DiscoveredEndpoint {
        DiscoveredEndpoint {
            id: "a".to_owned(),
            pool: "desk".to_owned(),
            address: ([127, 0, 0, 1], 9000).into(),
            zone: "tanta".to_owned(),
            slots: 6,
            is_draining: false,
            started_ms,
            revision: None,
            version: String::new(),
            cold_remaining_ms: 0,
        }
    }

    /// Serves a stream of ten events and returns what the next heartbeat reports.
    async fn serve(
        scheduler: &Mailbox<SchedulerMessage>,
        ticket: u64,
        max_gap_ms: f64,
    ) -> LocalState {
        let ticket = Ticket(ticket);
        let goal = LatencyGoal { first_token_by: 800.0, max_gap_ms, caller_leaves_at: 3_000.0 };
        let descriptor = Descriptor {
            rank: 0,
            org: OrgId(0),
            weight: 1,
            kind: KindId(1),
            prompt_tokens: 600,
            answer_tokens: 80,
            has_length_hint: false,
            goal: Some(goal),
            prefix: Default::default(),
            deadline: 10_000.0,
            reports_first_token: true,
            failed_at: Default::default(),
        };
        let request = Box::new(PlacementRequest {
            ticket,
            pool: "desk".into(),
            descriptor,
            shared_parts: Default::default(),
            quota_charge: None,
            is_retry: false,
            may_have_run: false,
        });
        let granted = scheduler.ask(|reply| SchedulerMessage::Place(request, reply)).await;
        assert!(granted.unwrap().is_ok());
        scheduler.send(SchedulerMessage::AnswerStarted(ticket));
        let report =
            StreamReport { events: 10, tokens: 80, streaming_ms: 300.0, longest_gap_ms: 60.0 };
        scheduler.send(SchedulerMessage::StreamEnded(ticket, report));
        let ending = Ending::Complete { answer_tokens: 80 };
        scheduler.send(SchedulerMessage::RequestEnded(ticket, ending));
        scheduler.ask(SchedulerMessage::GetLocalState).await.unwrap()
    }

    /// Guards against samples that are reported again and again, that survive their process, or that
    /// other deployments' heartbeats carry.
    #[test]
    fn heartbeats_report_new_samples_of_interactive_streams_once() {
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
        runtime.block_on(async {
            let scheduler = spawn(Policy::default(), "tanta");
            scheduler.send(SchedulerMessage::UpsertEndpoint(endpoint(1)));
            let reports = serve(&scheduler, 1, 300.0).await.endpoint_speeds;
            assert_eq!(reports.len(), 1);
            assert_eq!(reports[0].process, process_id(&endpoint(1)));
            assert!((0.9..=1.0).contains(&reports[0].sums.streams), "{reports:?}");
            let state = scheduler.ask(SchedulerMessage::GetLocalState).await.unwrap();
            assert_eq!(state.endpoint_speeds, []);
            assert_eq!(serve(&scheduler, 2, 500.0).await.endpoint_speeds, []);
            // The sums grow while the process runs, and begin again with the next one.
            let reports = serve(&scheduler, 3, 300.0).await.endpoint_speeds;
            assert!(reports[0].sums.streams > 1.5, "{reports:?}");
            scheduler.send(SchedulerMessage::UpsertEndpoint(endpoint(2)));
            let reports = serve(&scheduler, 4, 300.0).await.endpoint_speeds;
            assert_eq!(reports[0].process, process_id(&endpoint(2)));
            assert!(reports[0].sums.streams <= 1.0, "{reports:?}");
        });
    }
}
