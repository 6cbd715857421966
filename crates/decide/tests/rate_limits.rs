//! Instances that together keep to the rate limits that endpoints name in their answers.

use std::collections::VecDeque;

use baobabvane_decide::{
    Action, Core, Descriptor, Ending, EndpointKey, EndpointSpec, Event, KindId, OrgId, Policy,
    ProcessId, RateLimitReport, SelfReport, SelfReports, Sender, Senders, Ticket,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

const ENDPOINTS: usize = 3;
const SLOTS: u32 = 12;
const ANSWER_MS: u32 = 200;
const HEARTBEAT_MS: u32 = 100;
/// An instance that was not heard for so long is not live.
const MAX_SILENCE_MS: f64 = 1_000.0;
const LIMIT_BEGINS_MS: u32 = 2_000;
const LIMIT_ENDS_MS: u32 = 16_000;
const DAY_MS: u32 = 22_000;
/// The users' bound holds from this long after the limit was first named.
const GRACE_MS: u32 = 3_000;

/// What disturbs a day.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// Half of the heartbeats are lost.
    Lossy,
    /// The fleet is divided in two parts for a while.
    Divided,
    /// Instances end one after the other and start again without memory.
    Restarts,
}

struct Instance {
    core: Core,
    reports: SelfReports,
    /// When the heartbeats of the others arrived last.
    heard_at: Vec<f64>,
    demand_per_s: f64,
    in_flight: VecDeque<(f64, f64, Ticket, EndpointKey)>,
    next_ticket: u64,
}

struct Fleet {
    instances: Vec<Instance>,
    keys: Vec<EndpointKey>,
    limit_per_s: f64,
    trouble: Trouble,
    random: SmallRng,
    /// The times at which requests reached each endpoint.
    arrivals: Vec<Vec<u32>>,
    /// Heartbeats under way: when they arrive, from whom, to whom, and what they report.
    heartbeats: VecDeque<(f64, usize, usize, Vec<RateLimitReport>)>,
}

fn process(endpoint: usize) -> ProcessId {
    ProcessId(endpoint as u32)
}

fn descriptor(now: f64) -> Descriptor {
    Descriptor {
        rank: 0,
        org: OrgId(1),
        weight: 1,
        kind: KindId(1),
        prompt_tokens: 0,
        answer_tokens: 1,
        has_length_hint: false,
        goal: None,
        prefix: Default::default(),
        deadline: now + 2_000.0,
        reports_first_token: false,
        failed_at: Default::default(),
    }
}

impl Instance {
    fn start(seed: u64, keys: &[EndpointKey], demand_per_s: f64, instances: usize) -> Self {
        let mut core = Core::new(Policy { seed, ..Policy::default() });
        let spec = EndpointSpec { slots: SLOTS, cache_blocks: 0, is_in_other_zone: false };
        for key in keys {
            core.handle(0.0, Event::EndpointJoined(*key, spec.clone()));
        }
        let mut reports = SelfReports::default();
        (0..keys.len()).for_each(|endpoint| reports.join(process(endpoint)));
        Self {
            core,
            reports,
            heard_at: vec![f64::NEG_INFINITY; instances],
            demand_per_s,
            in_flight: VecDeque::new(),
            next_ticket: 0,
        }
    }
}

impl Fleet {
    fn new(instances: usize, demand_per_s: f64, limit_per_s: f64, trouble: Trouble) -> Self {
        let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let keys: Vec<EndpointKey> = (0..ENDPOINTS).map(|_| arena.insert(())).collect();
        // The first instance gets half of all requests.
        let demand = |i| match i {
            0 => demand_per_s / 2.0,
            _ => demand_per_s / 2.0 / (instances as f64 - 1.0),
        };
        let start = |i: usize| Instance::start(i as u64, &keys, demand(i), instances);
        Self {
            instances: (0..instances).map(start).collect(),
            keys: keys.clone(),
            limit_per_s,
            trouble,
            random: SmallRng::seed_from_u64(instances as u64),
            arrivals: vec![Vec::new(); ENDPOINTS],
            heartbeats: VecDeque::new(),
        }
    }

    fn play(mut self) -> Vec<Vec<u32>> {
        for ms in 0..DAY_MS {
            let now = f64::from(ms);
            if ms % HEARTBEAT_MS == 0 {
                self.restart_one(ms);
                self.send_heartbeats(ms);
            }
            self.deliver_heartbeats(now);
            for i in 0..self.instances.len() {
                self.end_requests(i, ms);
                if ms % 25 == 0 {
                    self.share_limits(i, now);
                    self.instances[i].core.handle(now, Event::Tick);
                }
                if self.random.random::<f64>() < self.instances[i].demand_per_s / 1_000.0 {
                    let ticket = Ticket(self.instances[i].next_ticket);
                    self.instances[i].next_ticket += 1;
                    let offer = Event::Offer(ticket, descriptor(now));
                    self.instances[i].core.handle(now, offer);
                }
                self.dispatch(i, ms);
            }
        }
        self.arrivals
    }

    fn restart_one(&mut self, ms: u32) {
        if self.trouble != Trouble::Restarts || !ms.is_multiple_of(1_000) {
            return;
        }
        let i = (ms / 1_000) as usize % self.instances.len();
        let (demand, count) = (self.instances[i].demand_per_s, self.instances.len());
        let next_ticket = self.instances[i].next_ticket;
        let started = Instance::start(u64::from(ms) + 100, &self.keys, demand, count);
        self.instances[i] = Instance { next_ticket, ..started };
    }

    fn send_heartbeats(&mut self, ms: u32) {
        let now = f64::from(ms);
        let is_divided = self.trouble == Trouble::Divided && (6_000..11_000).contains(&ms);
        let count = self.instances.len();
        for from in 0..count {
            let report = self.instances[from].reports.rate_limits(now);
            for to in (0..count).filter(|to| *to != from) {
                let is_cut = is_divided && (from < count / 3) != (to < count / 3);
                let is_lost = self.trouble == Trouble::Lossy && self.random.random::<bool>();
                if !is_cut && !is_lost {
                    let delay = self.random.random_range(1.0..120.0);
                    self.heartbeats.push_back((now + delay, from, to, report.clone()));
                }
            }
        }
        self.heartbeats.make_contiguous().sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    fn deliver_heartbeats(&mut self, now: f64) {
        while self.heartbeats.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, from, to, report) = self.heartbeats.pop_front().expect("it is due");
            self.instances[to].heard_at[from] = now;
            self.instances[to].reports.merge(&report, now);
        }
    }

    fn share_limits(&mut self, own: usize, now: f64) {
        let sender = |i: usize, instance: &Instance| Sender {
            id: i as u32,
            zone: 0,
            demand_per_s: instance.demand_per_s,
        };
        let heard_at = &self.instances[own].heard_at;
        let live = self.instances.iter().enumerate();
        let others: Vec<Sender> = live
            .filter(|(i, _)| *i != own && now - heard_at[*i] < MAX_SILENCE_MS)
            .map(|(i, instance)| sender(i, instance))
            .collect();
        let live_share = (others.len() + 1) as f64 / self.instances.len() as f64;
        let senders = Senders::new(sender(own, &self.instances[own]), others, live_share);
        for endpoint in 0..ENDPOINTS {
            let limit = self.instances[own].reports.rate_limit(process(endpoint));
            let share = limit.map(|per_s| senders.share(process(endpoint), 0, per_s));
            let key = self.keys[endpoint];
            self.instances[own].core.handle(now, Event::RateShared(key, share));
        }
    }

    fn dispatch(&mut self, i: usize, ms: u32) {
        let instance = &mut self.instances[i];
        while let Some(action) = instance.core.next_action() {
            let Action::Dispatch(ticket, choice, _) = action else { continue };
            let (now, endpoint) = (f64::from(ms), choice.endpoint);
            instance.in_flight.push_back((now + f64::from(ANSWER_MS), now, ticket, endpoint));
            let index = self.keys.iter().position(|key| *key == endpoint).expect("a known key");
            self.arrivals[index].push(ms);
        }
    }

    fn end_requests(&mut self, i: usize, ms: u32) {
        let now = f64::from(ms);
        let is_limited = (LIMIT_BEGINS_MS..LIMIT_ENDS_MS).contains(&ms);
        let rate_limit_per_s = is_limited.then_some(self.limit_per_s);
        let report = SelfReport { rate_limit_per_s, ..SelfReport::default() };
        while let Some((_, sent_at, ticket, key)) =
            self.instances[i].in_flight.pop_front_if(|(ends_at, ..)| *ends_at <= now)
        {
            let index = self.keys.iter().position(|k| *k == key).expect("a known key");
            if self.instances[i].reports.record(process(index), &report, sent_at, now).rate_limit {
                self.share_limits(i, now);
            }
            let core = &mut self.instances[i].core;
            core.handle(now, Event::FirstToken(ticket));
            core.handle(now, Event::End(ticket, Ending::Complete { answer_tokens: 1 }));
        }
    }
}

/// Returns the most arrivals in any 4 s that begin in `from..to`.
fn busiest_window(arrivals: &[u32], from: u32, to: u32) -> usize {
    let begins = arrivals.iter().filter(|at| (from..to - 4_000).contains(*at));
    let count =
        |begin: u32| arrivals.iter().filter(|at| (begin..begin + 4_000).contains(*at)).count();
    begins.map(|begin| count(*begin)).max().unwrap_or(0)
}

fn play(instances: usize, limit_per_s: f64, trouble: Trouble) {
    // All endpoints are limited, and callers ask for far more.
    let demand_per_s =
        (6.0 * ENDPOINTS as f64 * limit_per_s).max(3.0 * instances as f64).min(150.0);
    let fleet = Fleet::new(instances, demand_per_s, limit_per_s, trouble);
    let allowed = 1.5 * 4.0 * limit_per_s + 5.0;
    let all_arrivals = fleet.play();
    for arrivals in &all_arrivals {
        let most = busiest_window(arrivals, LIMIT_BEGINS_MS + GRACE_MS, LIMIT_ENDS_MS);
        let case = format!("{instances} instances, limit {limit_per_s}, {trouble:?}");
        assert!(most as f64 <= allowed, "{case}: {most} requests in 4 s, {allowed} allowed");
        if trouble == Trouble::None {
            let limited = LIMIT_BEGINS_MS + GRACE_MS..LIMIT_ENDS_MS;
            let used = arrivals.iter().filter(|at| limited.contains(at)).count() as f64;
            let seconds = f64::from(limited.end - limited.start) / 1_000.0;
            let share = used / (limit_per_s * seconds);
            assert!(share >= 0.5, "{case}: only {share} of the limit was used");
        }
    }
    let last_s = DAY_MS - 4_000..DAY_MS;
    let after = all_arrivals.iter().flatten().filter(|at| last_s.contains(at)).count();
    assert!(
        after as f64 > 0.8 * 4.0 * demand_per_s,
        "{instances} {limit_per_s} {trouble:?}: {after} of {}",
        demand_per_s * 4.0
    );
}

#[test]
fn endpoints_get_no_more_requests_than_the_limit_that_they_name() {
    for instances in [2, 6, 40] {
        for limit_per_s in [1.8, 4.0, 20.0] {
            play(instances, limit_per_s, Trouble::None);
        }
    }
}

#[test]
fn a_rate_limit_holds_while_heartbeats_are_lost_instances_restart_or_the_network_is_divided() {
    for trouble in [Trouble::Lossy, Trouble::Divided, Trouble::Restarts] {
        for (instances, limit_per_s) in [(6, 1.8), (6, 4.0), (40, 4.0)] {
            play(instances, limit_per_s, trouble);
        }
    }
}
