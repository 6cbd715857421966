//! Applies what endpoints say of themselves to the cores.
//!
//! `baobabvane_decide::SelfReports` keeps what still holds, and `baobabvane_decide::Senders` divides
//! rate limits among the instances; see
//! [what endpoints say of themselves](../../../../docs/decisions.md#self-reports).

use baobabvane_decide::{EndpointKey, Event, LoadReport, RateShare, SelfReport};

use super::{
    Scheduler,
    placement::{id_hash, process_id},
};
use crate::{configuration::DiscoveredEndpoint, peer::PeerState};

/// The interval at which the rate limits of endpoints are divided anew, in milliseconds.
const RATE_SHARE_INTERVAL_MS: f64 = 500.0;

impl Scheduler {
    /// Records what an endpoint says in an answer to a request that was sent at `sent_at`.
    pub(super) fn record_self_report(
        &mut self,
        key: EndpointKey,
        report: &SelfReport,
        sent_at: f64,
        now: f64,
    ) {
        let Some(endpoint) = self.directory.get(key) else { return };
        let changes = self.self_reports.record(process_id(endpoint), report, sent_at, now);
        if let Some(ms) = report.retry_after_ms {
            log::info!("event=endpoint_pause endpoint={} ms={ms:.0}", endpoint.id);
        }
        if changes.leaves {
            log::info!("event=endpoint_says_leaving endpoint={}", endpoint.id);
            self.notify_endpoint_pool(key, Event::EndpointLeaving(key));
        }
        if changes.rate_limit {
            self.apply_rate_limit(key, "answer");
        }
        if let Some(retry_after_ms) = report.retry_after_ms {
            self.notify_endpoint_pool(key, Event::PauseRequested(key, now + retry_after_ms));
        }
        if let Some(requests) = report.outstanding_requests {
            let load = LoadReport { requests, age_ms: 0.0 };
            self.notify_endpoint_pool(key, Event::LoadReported(key, load));
        }
    }

    /// Takes over the rate limits that another instance knows.
    pub(super) fn merge_rate_limits(&mut self, state: &PeerState, now: f64) {
        let changed = self.self_reports.merge(&state.local.rate_limits, now);
        if changed.is_empty() {
            return;
        }
        let endpoints = self.directory.iter();
        let changed: Vec<EndpointKey> = endpoints
            .filter(|(_, endpoint)| changed.contains(&process_id(endpoint)))
            .map(|(key, _)| key)
            .collect();
        for key in changed {
            self.apply_rate_limit(key, "peer");
        }
    }

    /// Logs that the rate limit of an endpoint changed, and applies it.
    fn apply_rate_limit(&mut self, key: EndpointKey, source: &str) {
        let Some(endpoint) = self.directory.get(key) else { return };
        let share = self.rate_share(endpoint);
        log::info!(
            "event=endpoint_rate_limit endpoint={} per_s={:.3?} own_per_s={:.3?} source={source}",
            endpoint.id,
            self.self_reports.rate_limit(process_id(endpoint)),
            share.map(|share| share.per_s)
        );
        self.notify_endpoint_pool(key, Event::RateShared(key, share));
    }

    /// Returns this instance's part of the rate limit of an endpoint, if it has one.
    fn rate_share(&self, endpoint: &DiscoveredEndpoint) -> Option<RateShare> {
        let process = process_id(endpoint);
        let limit_per_s = self.self_reports.rate_limit(process)?;
        let zone = id_hash(&endpoint.zone);
        Some(self.senders.share(process, zone, limit_per_s))
    }

    /// Divides the rate limits anew if the interval is over, since instances come and go and their demand changes.
    pub(super) fn update_rate_shares(&mut self, now: f64) {
        if now - self.rate_shares_updated_at < RATE_SHARE_INTERVAL_MS {
            return;
        }
        self.rate_shares_updated_at = now;
        let endpoints = self.directory.iter();
        let shares: Vec<_> = endpoints
            .filter_map(|(key, endpoint)| Some((key, self.rate_share(endpoint)?)))
            .collect();
        for (key, share) in shares {
            self.notify_endpoint_pool(key, Event::RateShared(key, Some(share)));
        }
    }
}
