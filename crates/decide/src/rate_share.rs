//! Divides the rate limit of an endpoint among the instances that send to it.
//!
//! An endpoint names one limit for all instances together, while each instance decides alone. The
//! limit is therefore divided by a rule that needs no message of its own: all instances that see
//! the same live instances compute the same parts. Only about as many instances as the limit has
//! requests per second get a part, because in a large fleet an equal part would be less than a
//! request per minute, and unused parts of all instances together could become a burst.
//! See [rate limits of endpoints](../../../docs/decisions.md#self-reports).

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::{Millis, ProcessId, queue::OrderedF64};

/// The number of instances that get a part of a limit, in addition to one for each request per
/// second; an instance that stops or has few requests then leaves only a part of the limit unused.
const EXTRA_SENDERS: f64 = 2.0;
/// The lowest limit that is divided. An endpoint that takes less still gets a request now and then,
/// since only an answer tells that its limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// The time in which unused parts of a limit accumulate, in seconds.
const BURST_S: f64 = 0.5;
/// The lowest demand of an instance that counts, as a share of the mean demand of the senders.
const MIN_DEMAND_SHARE: f64 = 0.25;
/// The lowest demand that is told apart when senders are selected, in requests per second.
const MIN_DEMAND_PER_S: f64 = 0.25;

/// An instance of the fleet as a sender of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sender {
    /// Identifies the instance; all instances know it by the same number.
    pub id: u32,
    /// Identifies its availability zone.
    pub zone: u32,
    /// The requests per second that callers lately sent to it.
    pub demand_per_s: f64,
}

/// The live instances, among which the limits of endpoints are divided.
#[derive(Clone, Debug)]
pub struct Senders {
    own: Sender,
    others: Vec<Sender>,
    /// The share of the known instances that is live. Of a divided network, each part uses only
    /// its share of a limit.
    live_share: f64,
}

/// The part of an endpoint's rate limit that one instance may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// The limit of the endpoint for all instances, in requests per second.
    pub limit_per_s: f64,
    /// The part of this instance, in requests per second; 0 if it may send none.
    pub per_s: f64,
    /// The number of requests that it may send at once after a pause.
    pub burst: f64,
    /// The number of requests that it may send when it first learns of the limit; less than 1 and
    /// different for each instance, so that they do not all send at the same moment.
    pub initial: f64,
}

impl Senders {
    /// Creates the list from this instance, the other live instances, and the share of the known
    /// instances that is live, in `0.0..=1.0`.
    pub fn new(own: Sender, others: Vec<Sender>, live_share: f64) -> Self {
        Self { own, others, live_share }
    }

    /// Returns the list of an instance that has heard of no other yet; see [`Senders::new`].
    pub fn alone(live_share: f64) -> Self {
        Self { own: Sender { id: 0, zone: 0, demand_per_s: 0.0 }, others: Vec::new(), live_share }
    }

    /// Returns whether this instance is the one of the fleet that does what is due for `key`. In a
    /// divided network, only a part with most of the known instances has one.
    pub fn is_chosen(&self, key: u32) -> bool {
        let order = |sender: &Sender| OrderedF64(draw(ProcessId(key), sender));
        let own_order = order(&self.own);
        self.live_share > 0.5 && self.others.iter().all(|other| order(other) > own_order)
    }

    /// Returns this instance's part of the limit `limit_per_s` of an endpoint in `zone`.
    ///
    /// Instances in the endpoint's zone come first; they reach it when zones are cut off.
    pub fn share(&self, endpoint: ProcessId, zone: u32, limit_per_s: f64) -> RateShare {
        let limit_per_s = (limit_per_s * self.live_share).max(MIN_LIMIT_PER_S);
        let order = |sender: &Sender| (sender.zone != zone, OrderedF64(draw(endpoint, sender)));
        let own_order = order(&self.own);
        let rank = self.others.iter().filter(|other| order(other) < own_order).count();
        let sender_count = (limit_per_s.ceil() + EXTRA_SENDERS).min(self.others.len() as f64 + 1.0);
        if rank as f64 >= sender_count {
            return RateShare { limit_per_s, per_s: 0.0, burst: 0.0, initial: 0.0 };
        }
        let mut senders: Vec<&Sender> = self.others.iter().chain([&self.own]).collect();
        senders.sort_unstable_by_key(|sender| order(sender));
        senders.truncate(sender_count as usize);
        let mean = senders.iter().map(|s| s.demand_per_s).sum::<f64>() / sender_count;
        let counted = |sender: &Sender| match mean > 0.0 {
            true => sender.demand_per_s.max(mean * MIN_DEMAND_SHARE),
            false => 1.0,
        };
        let total: f64 = senders.iter().map(|sender| counted(sender)).sum();
        let per_s = limit_per_s * counted(&self.own) / total;
        let burst = (per_s * BURST_S).max(1.0);
        RateShare { limit_per_s, per_s, burst, initial: rank as f64 / sender_count }
    }
}

/// Draws a number for an instance, the same at all instances and another one for each endpoint.
/// The lowest numbers are those of the senders; an instance with twice the demand is twice as
/// likely to be one.
fn draw(endpoint: ProcessId, sender: &Sender) -> f64 {
    let mut hasher = FxHasher::default();
    (endpoint.0, sender.id).hash(&mut hasher);
    let uniform = (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64;
    // Demand is rounded to a power of two, so that the senders do not change with each request.
    let demand = sender.demand_per_s.max(MIN_DEMAND_PER_S).log2().round().exp2();
    -uniform.max(f64::MIN_POSITIVE).ln() / demand
}

/// The requests that this instance may still send to an endpoint with a rate limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateBucket {
    share: RateShare,
    level: f64,
    updated_at: Millis,
}

impl RateBucket {
    pub(crate) fn new(share: RateShare, now: Millis) -> Self {
        Self { share, level: share.initial, updated_at: now }
    }

    /// Replaces the share and keeps what is left of the earlier one.
    pub(crate) fn set_share(&mut self, share: RateShare, now: Millis) {
        self.level = self.level(now).min(share.burst);
        self.updated_at = now;
        self.share = share;
    }

    /// Returns how many requests may be sent now.
    pub(crate) fn available(&self, now: Millis) -> u32 {
        self.level(now).max(0.0) as u32
    }

    /// Takes a request that is sent now.
    pub(crate) fn take(&mut self, now: Millis) {
        self.level = self.level(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns the limit of the endpoint for all instances, in requests per second.
    pub(crate) fn limit_per_s(&self) -> f64 {
        self.share.limit_per_s
    }

    fn level(&self, now: Millis) -> f64 {
        let gained = (now - self.updated_at).max(0.0) / 1_000.0 * self.share.per_s;
        (self.level + gained).min(self.share.burst)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ENDPOINT: ProcessId = ProcessId(7);

    fn fleet(instances: u32, demand: impl Fn(u32) -> f64) -> Vec<Senders> {
        let sender = |id| Sender { id, zone: id % 3, demand_per_s: demand(id) };
        (0..instances)
            .map(|own| {
                let others = (0..instances).filter(|id| *id != own).map(sender).collect();
                Senders::new(sender(own), others, 1.0)
            })
            .collect()
    }

    /// Guards against a task that several instances of a fleet do, or none.
    #[test]
    fn one_instance_is_chosen() {
        let senders = fleet(9, |_| 1.0);
        for key in 0..50 {
            assert_eq!(senders.iter().filter(|s| s.is_chosen(key)).count(), 1, "{key}");
        }
        assert!((0..50).any(|key| senders[0].is_chosen(key)));
        assert!(!Senders::alone(0.5).is_chosen(1));
    }

    fn shares(fleet: &[Senders], limit_per_s: f64) -> Vec<RateShare> {
        fleet.iter().map(|senders| senders.share(ENDPOINT, 1, limit_per_s)).collect()
    }

    #[test]
    fn the_parts_of_all_instances_add_up_to_the_limit() {
        for instances in [1, 2, 6, 80, 295] {
            for limit in [0.5, 1.8, 4.0, 60.0, 900.0] {
                let shares = shares(&fleet(instances, |id| f64::from(id * id)), limit);
                let sum: f64 = shares.iter().map(|s| s.per_s).sum();
                assert!((sum - limit).abs() < 1e-6, "{instances} {limit}: {sum}");
                // The users' bound: in 4 s, one and a half times the limit and five requests more.
                let burst: f64 = shares.iter().map(|s| s.burst).sum();
                assert!(burst + 4.0 * limit <= 6.0 * limit + 5.0, "{instances} {limit}: {burst}");
            }
        }
    }

    #[test]
    fn each_instance_of_a_small_fleet_gets_a_part_by_its_demand() {
        let shares = shares(&fleet(6, |id| if id == 0 { 50.0 } else { 10.0 }), 4.0);
        assert!(shares.iter().all(|s| s.per_s > 0.0), "{shares:?}");
        assert!((shares[0].per_s - 5.0 * shares[1].per_s).abs() < 1e-6, "{shares:?}");
    }

    #[test]
    fn instances_in_the_zone_of_the_endpoint_come_first() {
        let shares = shares(&fleet(90, |_| 1.0), 4.0);
        let senders: Vec<usize> = (0..90).filter(|id| shares[*id].per_s > 0.0).collect();
        assert_eq!(senders.len(), 6);
        assert!(senders.iter().all(|id| id % 3 == 1), "{senders:?}");
    }

    #[test]
    fn parts_of_a_divided_network_stay_within_the_limit_together() {
        let sender = |id| Sender { id, zone: 0, demand_per_s: 1.0 };
        let part = |ids: &[u32]| -> f64 {
            let share = |own: u32| {
                let others = ids.iter().filter(|id| **id != own).map(|id| sender(*id)).collect();
                let live_share = ids.len() as f64 / 6.0;
                Senders::new(sender(own), others, live_share).share(ENDPOINT, 0, 4.0).per_s
            };
            ids.iter().map(|own| share(*own)).sum()
        };
        let sum = part(&[0, 1, 2, 3]) + part(&[4, 5]);
        assert!((sum - 4.0).abs() < 1e-6, "{sum}");
    }

    #[test]
    fn a_limit_of_nothing_leaves_a_request_now_and_then() {
        let shares = shares(&fleet(6, |_| 1.0), 0.0);
        let sum: f64 = shares.iter().map(|s| s.per_s).sum();
        assert!((sum - MIN_LIMIT_PER_S).abs() < 1e-6, "{sum}");
    }

    #[test]
    fn a_bucket_admits_its_rate_and_keeps_at_most_its_burst() {
        let share = RateShare { limit_per_s: 4.0, per_s: 2.0, burst: 1.0, initial: 0.5 };
        let mut bucket = RateBucket::new(share, 0.0);
        assert_eq!(bucket.available(0.0), 0);
        assert_eq!(bucket.available(250.0), 1);
        bucket.take(250.0);
        assert_eq!(bucket.available(700.0), 0);
        assert_eq!(bucket.available(10_000.0), 1);
        bucket.take(10_000.0);
        bucket.set_share(RateShare { per_s: 0.0, ..share }, 10_100.0);
        assert_eq!(bucket.available(60_000.0), 0);
    }
}
