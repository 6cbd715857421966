//! Learns how fast each endpoint serves interactive streams, from the samples of all instances of
//! a zone, and predicts what a new stream would find there.
//!
//! An instance alone sees too few requests of an endpoint to learn its speed. Samples are kept as
//! [`SpeedSums`], which decay and can be added up; instances exchange them, and [`PeerSpeeds`]
//! keeps those of the others. A [`Curve`] is fitted to their total. See
//! [endpoint capacity](../../../docs/design/endpoint-capacity.md).

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    event::{EndpointKey, Millis},
    quarantine::ProcessId,
};

/// Time in which the weight of a sample decays by half; long enough that an endpoint with a
/// request in a second has some samples, short enough to follow a slowdown and its end.
const HALF_LIFE_MS: Millis = 3_000.0;
/// Time after which the reports of a silent peer are dropped.
const MAX_PEER_SILENCE_MS: Millis = 10_000.0;
/// Interval at which they are looked for.
const EXPIRY_INTERVAL_MS: Millis = 1_000.0;
/// Weight below which sums are treated as empty.
const MIN_WEIGHT: f32 = 0.02;
/// Weight of the pool's mean decode time in the level of an endpoint's curve, in samples.
const POOL_LEVEL_WEIGHT: f64 = 0.5;
/// Weight of the pool's relative slope in that of an endpoint's curve, in samples times the
/// variance of the number in flight.
const POOL_SLOPE_WEIGHT: f64 = 16.0;
/// Weight of the pool's prefill time in that of an endpoint, in prompt tokens.
const POOL_PREFILL_TOKENS: f64 = 400.0;
/// Weight of a prompt in the prefill time is at most this number of tokens, so that one very long
/// prompt does not outweigh all others.
const MAX_PREFILL_SAMPLE_TOKENS: f64 = 8_000.0;
/// Shorter prompts don't update the prefill time, since their timing is too noisy.
const MIN_PREFILL_SAMPLE_TOKENS: f64 = 200.0;
/// A sample counts as at most this many times the current estimate, and at least the inverse, so
/// that an outlier moves it little. A lasting change still moves it within a few samples.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// Times per token up to which samples are not limited. An estimate near zero, as before the first
/// long prompt, would otherwise grow too slowly.
const MIN_CLIPPED_DECODE_MS: f64 = 4.0;
const MIN_CLIPPED_PREFILL_MS: f64 = 0.02;
/// Fewer events don't tell the decode time, as the longest gap is left out.
const MIN_SAMPLE_EVENTS: u32 = 4;
/// Samples of a pool before endpoints are chosen by them.
const MIN_POOL_SAMPLES: f64 = 3.0;
/// Bounds of the ratio of the longest gap of a stream to the mean time between its events.
const GAP_RATIO_RANGE: (f64, f64) = (1.0, 4.0);

/// Decayed sums over the samples of an endpoint process; those of several instances add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpeedSums {
    /// Streams with a sample of the decode time.
    pub streams: f32,
    /// Requests in flight during the streams.
    pub in_flight: f32,
    /// Squared requests in flight during the streams.
    pub in_flight_squared: f32,
    /// Decode time per token, in milliseconds.
    pub decode_ms: f32,
    /// Products of requests in flight and decode time per token.
    pub in_flight_decode_ms: f32,
    /// Ratios of the longest gap of a stream to its mean time between events.
    pub gap_ratio: f32,
    /// Prompt tokens with a sample of the prefill time.
    pub prefill_tokens: f32,
    /// Prefill time of these tokens, in milliseconds.
    pub prefill_ms: f32,
}

impl SpeedSums {
    /// Returns all numbers, to check them.
    pub fn numbers(&self) -> [f32; 8] {
        [
            self.streams,
            self.in_flight,
            self.in_flight_squared,
            self.decode_ms,
            self.in_flight_decode_ms,
            self.gap_ratio,
            self.prefill_tokens,
            self.prefill_ms,
        ]
    }

    fn values_mut(&mut self) -> [&mut f32; 8] {
        [
            &mut self.streams,
            &mut self.in_flight,
            &mut self.in_flight_squared,
            &mut self.decode_ms,
            &mut self.in_flight_decode_ms,
            &mut self.gap_ratio,
            &mut self.prefill_tokens,
            &mut self.prefill_ms,
        ]
    }

    fn is_valid(mut self) -> bool {
        self.values_mut().iter().all(|v| v.is_finite() && **v >= 0.0)
    }

    fn is_empty(&self) -> bool {
        self.streams < MIN_WEIGHT && f64::from(self.prefill_tokens) < 1.0
    }

    /// Returns the sums after `age_ms` without a sample.
    #[must_use]
    pub fn decayed(mut self, age_ms: Millis) -> Self {
        let factor = (-age_ms.max(0.0) / HALF_LIFE_MS).exp2() as f32;
        self.values_mut().into_iter().for_each(|v| *v *= factor);
        self
    }

    pub(crate) fn add(&mut self, mut other: Self) {
        for (sum, other) in self.values_mut().into_iter().zip(other.values_mut()) {
            *sum += *other;
        }
    }

    /// Adds the decode time of a stream, relative to the current estimate `curve`.
    fn add_stream(&mut self, report: &StreamReport, in_flight: f64, curve: Option<&Curve>) {
        let Some(token_ms) = report.trimmed_token_ms() else { return };
        let decode_ms = match curve {
            Some(curve) => clip(token_ms, curve.decode_ms(in_flight), MIN_CLIPPED_DECODE_MS),
            None => token_ms,
        };
        let (min, max) = GAP_RATIO_RANGE;
        let gap_ratio = report.longest_gap_ms / (token_ms * report.tokens_per_event()).max(0.1);
        let sample = Self {
            streams: 1.0,
            in_flight: in_flight as f32,
            in_flight_squared: (in_flight * in_flight) as f32,
            decode_ms: decode_ms as f32,
            in_flight_decode_ms: (in_flight * decode_ms) as f32,
            gap_ratio: gap_ratio.clamp(min, max) as f32,
            ..Self::default()
        };
        self.add(sample);
    }

    /// Adds the prefill time of `tokens` prompt tokens, relative to the current estimate.
    fn add_prefill(&mut self, tokens: f64, elapsed_ms: Millis, curve: Option<&Curve>) {
        if tokens < MIN_PREFILL_SAMPLE_TOKENS {
            return;
        }
        let token_ms = (elapsed_ms / tokens).max(0.0);
        let token_ms = match curve {
            Some(curve) => clip(token_ms, curve.prefill_ms_per_token, MIN_CLIPPED_PREFILL_MS),
            None => token_ms,
        };
        let weight = tokens.min(MAX_PREFILL_SAMPLE_TOKENS);
        self.prefill_tokens += weight as f32;
        self.prefill_ms += (weight * token_ms) as f32;
    }
}

/// Limits a sample relative to the estimate; samples up to `min` are always accepted.
fn clip(sample: f64, estimate: f64, min: f64) -> f64 {
    sample.clamp(estimate / MAX_SAMPLE_RATIO, (estimate * MAX_SAMPLE_RATIO).max(min))
}

/// What a stream reports at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamReport {
    /// Events that arrived.
    pub events: u32,
    /// Tokens in these events.
    pub tokens: u32,
    /// Time from the first event to the last one, or to the end if the stream broke off or was
    /// abandoned, in milliseconds.
    pub streaming_ms: Millis,
    /// Longest time between two events, in milliseconds; if the stream broke off or was
    /// abandoned, also that since the last event.
    pub longest_gap_ms: Millis,
}

impl StreamReport {
    fn tokens_per_event(&self) -> f64 {
        f64::from(self.tokens) / f64::from(self.events.max(1))
    }

    /// Returns the time per token without the longest gap, which is often due to the prefill of
    /// another prompt; `None` if there are too few events.
    fn trimmed_token_ms(&self) -> Option<f64> {
        if self.events < MIN_SAMPLE_EVENTS || self.tokens == 0 {
            return None;
        }
        let gaps = f64::from(self.events - 2);
        let ms = (self.streaming_ms - self.longest_gap_ms).max(0.0);
        Some(ms / gaps / self.tokens_per_event())
    }
}

/// The speed of an endpoint process as one instance reports it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpeed {
    /// The process, so that the samples end with it.
    pub process: ProcessId,
    /// The instance's own samples, decayed to the time of the report.
    pub sums: SpeedSums,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard_at: Millis,
    sums: FxHashMap<ProcessId, (SpeedSums, Millis)>,
}

/// The speeds of endpoint processes that the other instances of a zone reported.
#[derive(Clone, Debug, Default)]
pub struct PeerSpeeds {
    peers: FxHashMap<u32, Peer>,
    expired_at: Millis,
}

impl PeerSpeeds {
    /// Records a heartbeat of a peer. A report replaces that peer's previous one of the process.
    pub fn record(&mut self, peer: u32, reports: &[EndpointSpeed], now: Millis) {
        let peer = self.peers.entry(peer).or_default();
        peer.heard_at = now;
        for report in reports.iter().filter(|report| report.sums.is_valid()) {
            peer.sums.insert(report.process, (report.sums, now));
        }
    }

    /// Drops the reports of peers that have been silent for 10 s, and of samples that have decayed;
    /// returns the processes whose total changed by the former.
    pub fn expire(&mut self, now: Millis) -> Vec<ProcessId> {
        let mut changed = Vec::new();
        if now - self.expired_at < EXPIRY_INTERVAL_MS {
            return changed;
        }
        self.expired_at = now;
        self.peers.retain(|_, peer| {
            let is_heard = now - peer.heard_at < MAX_PEER_SILENCE_MS;
            if !is_heard {
                changed.extend(peer.sums.keys());
            }
            peer.sums.retain(|_, (sums, at)| !sums.decayed(now - *at).is_empty());
            is_heard
        });
        changed
    }

    /// Forgets a process that has ended.
    pub fn forget(&mut self, process: ProcessId) {
        for peer in self.peers.values_mut() {
            peer.sums.remove(&process);
        }
    }

    /// Returns the sum of all peers' samples of a process.
    pub fn total(&self, process: ProcessId, now: Millis) -> SpeedSums {
        let mut total = SpeedSums::default();
        for (sums, at) in self.peers.values().filter_map(|peer| peer.sums.get(&process)) {
            total.add(sums.decayed(now - at));
        }
        total
    }
}

/// Sums with the time up to which they are decayed.
#[derive(Clone, Copy, Debug, Default)]
struct DatedSums {
    sums: SpeedSums,
    at: Millis,
}

impl DatedSums {
    fn at(&self, now: Millis) -> SpeedSums {
        self.sums.decayed(now - self.at)
    }
}

/// The learned speed of an endpoint: decode time over requests in flight, and prefill time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Curve {
    mean_in_flight: f64,
    mean_decode_ms: Millis,
    /// Additional decode time for each request in flight.
    slope: f64,
    pub(crate) prefill_ms_per_token: Millis,
    /// Ratio of the longest gap of a stream to its mean time between events.
    pub(crate) gap_ratio: f64,
}

impl Curve {
    /// Fits a curve to the samples of a pool; `None` if there are too few.
    fn of_pool(sums: &SpeedSums) -> Option<Self> {
        let streams = f64::from(sums.streams);
        if streams < MIN_POOL_SAMPLES {
            return None;
        }
        let flat = Self {
            mean_in_flight: f64::from(sums.in_flight) / streams,
            mean_decode_ms: f64::from(sums.decode_ms) / streams,
            slope: 0.0,
            prefill_ms_per_token: f64::from(sums.prefill_ms)
                / f64::from(sums.prefill_tokens.max(1.0)),
            gap_ratio: f64::from(sums.gap_ratio) / streams,
        };
        Some(flat)
    }

    /// Fits a curve to the samples of an endpoint, of which a few are replaced by the pool's.
    fn of_endpoint(sums: &SpeedSums, pool: &Self) -> Self {
        let streams = f64::from(sums.streams);
        let tokens = f64::from(sums.prefill_tokens);
        let prefill_ms_per_token = (f64::from(sums.prefill_ms)
            + POOL_PREFILL_TOKENS * pool.prefill_ms_per_token)
            / (tokens + POOL_PREFILL_TOKENS);
        if sums.streams < MIN_WEIGHT {
            return Self { prefill_ms_per_token, ..*pool };
        }
        let weight = streams + POOL_LEVEL_WEIGHT;
        let mean_in_flight = f64::from(sums.in_flight) / streams;
        let own_decode_ms = f64::from(sums.decode_ms) / streams;
        let pool_decode_ms = pool.decode_ms(mean_in_flight);
        let mean_decode_ms =
            (f64::from(sums.decode_ms) + POOL_LEVEL_WEIGHT * pool_decode_ms) / weight;
        let pool_slope = pool.slope / pool_decode_ms.max(f64::MIN_POSITIVE) * mean_decode_ms;
        let sum_xx = f64::from(sums.in_flight_squared) - streams * mean_in_flight * mean_in_flight;
        let sum_xy = f64::from(sums.in_flight_decode_ms) - streams * mean_in_flight * own_decode_ms;
        let slope =
            (sum_xy + POOL_SLOPE_WEIGHT * pool_slope) / (sum_xx.max(0.0) + POOL_SLOPE_WEIGHT);
        Self {
            mean_in_flight,
            mean_decode_ms,
            slope: slope.max(0.0),
            prefill_ms_per_token,
            gap_ratio: (f64::from(sums.gap_ratio) + POOL_LEVEL_WEIGHT * pool.gap_ratio) / weight,
        }
    }

    /// Returns the decode time per token with this number of requests in flight.
    pub(crate) fn decode_ms(&self, in_flight: f64) -> Millis {
        let ms = self.mean_decode_ms + self.slope * (in_flight - self.mean_in_flight);
        ms.max(self.mean_decode_ms * 0.25)
    }
}

/// The samples of one endpoint: this instance's own and the total of its peers'.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointSamples {
    own: DatedSums,
    peers: DatedSums,
    curve: Option<Curve>,
    /// Time of the oldest own sample that was not reported to the peers yet.
    unreported_since: Option<Millis>,
}

impl EndpointSamples {
    /// Returns the fitted curve; `None` until the pool has some samples.
    pub(crate) fn curve(&self) -> Option<&Curve> {
        self.curve.as_ref()
    }

    pub(crate) fn unreported_since(&self) -> Option<Millis> {
        self.unreported_since
    }

    /// Returns this instance's own sums, which count as reported from now on.
    pub(crate) fn take_report(&mut self, now: Millis) -> SpeedSums {
        self.unreported_since = None;
        self.own.at(now)
    }

    pub(crate) fn set_peers(&mut self, sums: SpeedSums, now: Millis) {
        self.peers = DatedSums { sums, at: now };
    }

    fn total(&self, now: Millis) -> SpeedSums {
        let mut total = self.own.at(now);
        total.add(self.peers.at(now));
        total
    }

    fn add(&mut self, now: Millis, add: impl FnOnce(&mut SpeedSums, Option<&Curve>)) {
        let mut sums = self.own.at(now);
        add(&mut sums, self.curve.as_ref());
        self.own = DatedSums { sums, at: now };
        self.unreported_since.get_or_insert(now);
    }

    fn fit(&mut self, pool: Option<&Curve>, now: Millis) {
        self.curve = pool.map(|pool| Curve::of_endpoint(&self.total(now), pool));
    }
}

/// What was predicted of a stream when its endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time to the first event, in milliseconds.
    pub first_event_ms: Millis,
    /// Longest gap between two events, in milliseconds.
    pub longest_gap_ms: Millis,
    /// Whether both were predicted to meet the goal.
    pub is_on_time: bool,
    /// Prompt tokens whose prefill is part of the time to the first event.
    pub(crate) prefill_tokens: f64,
    /// Decode time of the first event.
    pub(crate) event_ms: Millis,
}

/// What is known about a finished stream: the prediction, and whether it was late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamCheck {
    /// Where the stream ran.
    pub endpoint: EndpointKey,
    /// What was predicted.
    pub prediction: Prediction,
    /// Whether the first event came after the time of the goal.
    pub is_first_event_late: bool,
    /// Whether a gap was longer than that of the goal.
    pub is_gap_late: bool,
}

/// What is learned of a pool as a whole.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolCapacity {
    curve: Option<Curve>,
    tokens_per_event: f64,
}

impl Default for PoolCapacity {
    fn default() -> Self {
        Self { curve: None, tokens_per_event: 1.0 }
    }
}

impl PoolCapacity {
    pub(crate) fn curve(&self) -> Option<&Curve> {
        self.curve.as_ref()
    }

    pub(crate) fn tokens_per_event(&self) -> f64 {
        self.tokens_per_event
    }

    /// Predicts the longest gap of a stream at an endpoint with this curve.
    pub(crate) fn longest_gap_ms(&self, curve: &Curve, in_flight: f64) -> Millis {
        self.tokens_per_event * curve.decode_ms(in_flight) * curve.gap_ratio
    }

    /// Fits the curves of the pool and of its endpoints anew.
    pub(crate) fn refit<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a mut EndpointSamples>,
        now: Millis,
    ) {
        let mut endpoints: Vec<_> = endpoints.collect();
        let mut sums = SpeedSums::default();
        endpoints.iter().for_each(|samples| sums.add(samples.total(now)));
        self.curve = Curve::of_pool(&sums).map(|mut pool| {
            // The slope is that within endpoints: slow ones have other numbers in flight than fast
            // ones, so a line through the samples of all would have another slope.
            let (mut sum_xx, mut relative_sum_xy) = (POOL_SLOPE_WEIGHT, 0.0);
            for sums in endpoints.iter().map(|samples| samples.total(now)) {
                let streams = f64::from(sums.streams);
                if sums.streams < MIN_WEIGHT || sums.decode_ms <= 0.0 {
                    continue;
                }
                let (x, y) = (f64::from(sums.in_flight), f64::from(sums.decode_ms));
                sum_xx += f64::from(sums.in_flight_squared) - x * x / streams;
                relative_sum_xy +=
                    (f64::from(sums.in_flight_decode_ms) - x * y / streams) * streams / y;
            }
            pool.slope = (relative_sum_xy / sum_xx).max(0.0) * pool.mean_decode_ms;
            pool
        });
        for samples in &mut endpoints {
            samples.fit(self.curve.as_ref(), now);
        }
    }

    pub(crate) fn record_first_event(
        &mut self,
        samples: &mut EndpointSamples,
        prediction: Option<&Prediction>,
        prompt_tokens: u32,
        elapsed_ms: Millis,
        now: Millis,
    ) {
        let tokens = prediction.map_or(f64::from(prompt_tokens), |p| p.prefill_tokens);
        let event_ms = prediction.map_or(0.0, |p| p.event_ms);
        samples.add(now, |sums, curve| sums.add_prefill(tokens, elapsed_ms - event_ms, curve));
        samples.fit(self.curve.as_ref(), now);
    }

    pub(crate) fn record_stream(
        &mut self,
        samples: &mut EndpointSamples,
        report: &StreamReport,
        in_flight: f64,
        now: Millis,
    ) {
        if report.tokens > 0 {
            self.tokens_per_event = report.tokens_per_event();
        }
        samples.add(now, |sums, curve| sums.add_stream(report, in_flight, curve));
        samples.fit(self.curve.as_ref(), now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PROCESS: ProcessId = ProcessId(1);

    /// The report of a stream of ten events with eight tokens each.
    fn report(token_ms: f64, longest_gap_ms: f64) -> StreamReport {
        let streaming_ms = 8.0 * 8.0 * token_ms + longest_gap_ms;
        StreamReport { events: 10, tokens: 80, streaming_ms, longest_gap_ms }
    }

    /// Feeds a pool of one endpoint, one stream every 200 ms.
    fn learn(
        capacity: &mut PoolCapacity,
        samples: &mut EndpointSamples,
        from: Millis,
        reports: impl Iterator<Item = (f64, StreamReport)>,
    ) -> Millis {
        let mut now = from;
        for (in_flight, report) in reports {
            now += 200.0;
            capacity.record_stream(samples, &report, in_flight, now);
            capacity.refit(std::iter::once(&mut *samples), now);
        }
        now
    }

    /// Guards against a curve that follows a few outliers or the gaps that other prompts cause.
    #[test]
    fn curve_follows_the_samples_but_not_their_outliers() {
        let (mut capacity, mut samples) = (PoolCapacity::default(), EndpointSamples::default());
        let reports = (0..100).map(|n| {
            let in_flight = f64::from(n % 7 + 1);
            let outlier = if n % 20 == 19 { 20.0 } else { 1.0 };
            let token_ms = 3.0 + 0.5 * in_flight;
            (in_flight, report(token_ms * outlier, if n % 3 == 0 { 400.0 } else { 30.0 }))
        });
        learn(&mut capacity, &mut samples, 0.0, reports);
        let curve = samples.curve().unwrap();
        let (one, seven) = (curve.decode_ms(1.0), curve.decode_ms(7.0));
        assert!((3.4..4.4).contains(&one) && (6.0..8.0).contains(&seven), "{one} {seven}");
    }

    /// Guards against a limit on outliers that hides a lasting slowdown, or its end.
    #[test]
    fn curve_follows_a_lasting_slowdown_and_its_end() {
        let (mut capacity, mut samples) = (PoolCapacity::default(), EndpointSamples::default());
        let mut now = 0.0;
        for (token_ms, range) in [(4.0, 3.5..4.5), (40.0, 30.0..45.0), (4.0, 3.5..8.0)] {
            let reports =
                (0..100).map(|n| (f64::from(n % 3 + 1), report(token_ms, token_ms * 8.0)));
            now = learn(&mut capacity, &mut samples, now, reports);
            let learned = samples.curve().unwrap().decode_ms(2.0);
            assert!(range.contains(&learned), "{learned} of {token_ms}");
        }
    }

    /// Guards against an endpoint that is avoided for ever because it was slow once.
    #[test]
    fn endpoint_without_samples_returns_to_the_mean_of_the_pool() {
        let (mut capacity, mut samples) = (PoolCapacity::default(), EndpointSamples::default());
        let slow = (0..50).map(|_| (1.0, report(40.0, 320.0)));
        let now = learn(&mut capacity, &mut samples, 0.0, slow);
        let mut others = EndpointSamples::default();
        let fast = (0..200).map(|_| (1.0, report(4.0, 32.0)));
        let now = learn(&mut capacity, &mut others, now, fast);
        capacity.refit([&mut samples, &mut others].into_iter(), now);
        let learned = samples.curve().unwrap().decode_ms(1.0);
        assert!(learned < 12.0, "{learned}");
    }

    /// Guards against an estimate of zero, to which all later samples are limited.
    #[test]
    fn prefill_time_is_learned_though_all_prompts_were_short() {
        let (mut capacity, mut samples) = (PoolCapacity::default(), EndpointSamples::default());
        let reports = (0..10).map(|_| (1.0, report(4.0, 32.0)));
        let mut now = learn(&mut capacity, &mut samples, 0.0, reports);
        assert_eq!(samples.curve().unwrap().prefill_ms_per_token, 0.0);
        for _ in 0..20 {
            now += 200.0;
            capacity.record_first_event(&mut samples, None, 6_000, 90.0, now);
            capacity.refit(std::iter::once(&mut samples), now);
        }
        let learned = samples.curve().unwrap().prefill_ms_per_token;
        assert!((0.013..0.016).contains(&learned), "{learned}");
    }

    #[test]
    fn report_of_a_peer_replaces_its_previous_one() {
        let mut speeds = PeerSpeeds::default();
        let report = |streams| {
            let sums = SpeedSums { streams, ..SpeedSums::default() };
            [EndpointSpeed { process: PROCESS, sums }]
        };
        speeds.record(1, &report(3.0), 0.0);
        speeds.record(1, &report(4.0), 0.0);
        speeds.record(2, &report(2.0), 0.0);
        assert_eq!(speeds.total(PROCESS, 0.0).streams, 6.0);
        assert_eq!(speeds.total(PROCESS, HALF_LIFE_MS).streams, 3.0);
        speeds.record(3, &report(f32::NAN), 0.0);
        assert_eq!(speeds.total(PROCESS, 0.0).streams, 6.0);
    }

    /// Guards against samples that outlive their process, or the instance that reported them.
    #[test]
    fn samples_end_with_their_process_and_with_a_silent_peer() {
        let mut speeds = PeerSpeeds::default();
        let sums = SpeedSums { streams: 8.0, ..SpeedSums::default() };
        speeds.record(1, &[EndpointSpeed { process: PROCESS, sums }], 0.0);
        speeds.record(2, &[EndpointSpeed { process: PROCESS, sums }], 0.0);
        speeds.record(2, &[], 9_000.0);
        assert_eq!(speeds.expire(9_500.0), []);
        assert_eq!(speeds.expire(10_600.0), [PROCESS]);
        let left = speeds.total(PROCESS, 10_600.0).streams;
        assert_eq!(left, sums.decayed(10_600.0).streams);
        speeds.forget(PROCESS);
        assert_eq!(speeds.total(PROCESS, 10_600.0), SpeedSums::default());
    }
}
