//! Invariants of the core that must hold for any sequence of events.

use std::collections::{HashMap, HashSet};

use baobabvane_decide::{
    Action, Core, Descriptor, Ending, EndpointKey, EndpointSpec, Event, KindId, Millis, OrgId,
    Policy, Refusal, Ticket, TierPolicy,
};
use proptest::{prelude::*, test_runner::RngSeed};
use slotmap::SlotMap;

const ENDPOINTS: usize = 3;
const SLOTS: u32 = 2;
const MAX_STEPS: usize = 120;

/// One step of a random test sequence.
#[derive(Clone, Debug)]
enum Step {
    Offer { rank: u8, org: u64, long: bool, patience: Millis },
    Withdraw(usize),
    FirstToken(usize),
    End(usize, bool),
    EndpointLeaving(usize),
    EndpointJoined(usize),
    EndpointGone(usize),
    AdvanceTime(Millis),
    NeighbourRoom(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..4_u8, 0..5_u64, any::<bool>(), 50.0..20_000.0).prop_map(
            |(rank, org, long, patience)| Step::Offer { rank, org, long, patience }
        ),
        1 => any::<usize>().prop_map(Step::Withdraw),
        4 => any::<usize>().prop_map(Step::FirstToken),
        5 => (any::<usize>(), any::<bool>()).prop_map(|(n, ok)| Step::End(n, ok)),
        1 => (0..ENDPOINTS).prop_map(Step::EndpointLeaving),
        1 => (0..ENDPOINTS).prop_map(Step::EndpointJoined),
        1 => (0..ENDPOINTS).prop_map(Step::EndpointGone),
        6 => (0.0..800.0).prop_map(Step::AdvanceTime),
        1 => (0..3_u32).prop_map(Step::NeighbourRoom),
    ]
}

/// Drives a core and checks the invariants on every action.
struct Checker {
    core: Core,
    now: Millis,
    keys: Vec<EndpointKey>,
    usable: HashSet<EndpointKey>,
    ranks: HashMap<Ticket, u8>,
    waiting: Vec<Ticket>,
    in_flight: Vec<(Ticket, EndpointKey)>,
    offered: u64,
    /// The most urgent rank that was shed since time last advanced.
    shed_rank: Option<u8>,
}

impl Checker {
    fn new() -> Self {
        let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let tiers =
            vec![TierPolicy { floor: 0.0 }, TierPolicy { floor: 0.2 }, TierPolicy::default()];
        let mut checker = Self {
            core: Core::new(Policy { tiers, ..Policy::default() }),
            now: 0.0,
            keys: (0..ENDPOINTS).map(|_| arena.insert(())).collect(),
            usable: HashSet::new(),
            ranks: HashMap::new(),
            waiting: Vec::new(),
            in_flight: Vec::new(),
            offered: 0,
            shed_rank: None,
        };
        (0..ENDPOINTS).for_each(|n| checker.apply(Step::EndpointJoined(n)));
        checker
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer { rank, org, long, patience } => self.offer(rank, org, long, patience),
            Step::Withdraw(n) => {
                if let Some(ticket) = swap_remove_at(&mut self.waiting, n) {
                    self.send_event(Event::Withdraw(ticket));
                }
            }
            Step::FirstToken(n) if !self.in_flight.is_empty() => {
                let (ticket, _) = self.in_flight[n % self.in_flight.len()];
                self.send_event(Event::FirstToken(ticket));
            }
            Step::FirstToken(_) => {}
            Step::End(n, ok) => {
                if let Some((ticket, _)) = swap_remove_at(&mut self.in_flight, n) {
                    let complete = Ending::Complete { answer_tokens: 20 };
                    self.send_event(Event::End(ticket, if ok { complete } else { Ending::Failed }));
                }
            }
            Step::EndpointLeaving(n) => {
                self.usable.remove(&self.keys[n]);
                self.send_event(Event::EndpointLeaving(self.keys[n]));
            }
            Step::EndpointJoined(n) => {
                self.usable.insert(self.keys[n]);
                let spec = EndpointSpec { slots: SLOTS, cache_blocks: 8, is_in_other_zone: false };
                self.send_event(Event::EndpointJoined(self.keys[n], spec));
            }
            Step::EndpointGone(n) => {
                let key = self.keys[n];
                self.usable.remove(&key);
                let gone: Vec<_> = self.in_flight.extract_if(.., |(_, at)| *at == key).collect();
                self.send_event(Event::EndpointGone(key));
                for (ticket, _) in gone {
                    self.send_event(Event::End(ticket, Ending::Failed));
                }
            }
            Step::AdvanceTime(ms) => {
                self.now += ms;
                self.shed_rank = None;
                self.send_event(Event::Tick);
            }
            Step::NeighbourRoom(room) => self.send_event(Event::NeighbourRoomUpdated(room)),
        }
    }

    fn offer(&mut self, rank: u8, org: u64, long: bool, patience: Millis) {
        self.offered += 1;
        let ticket = Ticket(self.offered);
        self.ranks.insert(ticket, rank);
        self.waiting.push(ticket);
        let req = Descriptor {
            rank,
            org: OrgId(org),
            weight: 1,
            kind: KindId(u32::from(long)),
            prompt_tokens: if long { 4_000 } else { 100 },
            answer_tokens: if long { 300 } else { 10 },
            has_length_hint: false,
            goal: None,
            prefix: (0..if long { 8 } else { 0 }).map(|b| org * 100 + b).collect(),
            deadline: self.now + patience,
            reports_first_token: true,
            failed_at: Default::default(),
        };
        let shed_before = self.shed_rank;
        self.send_event(Event::Offer(ticket, req));
        let waits = self.core.is_waiting(ticket);
        let below_shed = shed_before.is_some_and(|shed| rank > shed);
        assert!(
            !(waits && below_shed),
            "rank {rank} was admitted while a more urgent tier was shed"
        );
    }

    fn send_event(&mut self, event: Event) {
        self.core.handle(self.now, event);
        while let Some(action) = self.core.next_action() {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Dispatch(ticket, choice, _) => {
                self.remove_from_waiting(ticket);
                assert!(
                    self.usable.contains(&choice.endpoint),
                    "sent to an endpoint that is leaving or gone"
                );
                self.in_flight.push((ticket, choice.endpoint));
                let at_endpoint =
                    self.in_flight.iter().filter(|(_, at)| *at == choice.endpoint).count();
                assert!(at_endpoint as u32 <= SLOTS, "more than {SLOTS} requests at an endpoint");
            }
            Action::Refuse(ticket, refusal, why) => {
                self.remove_from_waiting(ticket);
                if refusal == Refusal::Load {
                    assert_eq!(why.waiting_below, 0, "shed while a less urgent tier waits");
                    let rank = self.ranks[&ticket];
                    self.shed_rank = Some(self.shed_rank.map_or(rank, |shed| shed.min(rank)));
                }
            }
            Action::Spill(ticket, _) => self.remove_from_waiting(ticket),
        }
    }

    /// Checks that a request leaves the queue exactly once.
    fn remove_from_waiting(&mut self, ticket: Ticket) {
        let at = self.waiting.iter().position(|t| *t == ticket);
        self.waiting.swap_remove(at.expect("the request must be waiting"));
    }

    /// Checks that every waiting request is decided on once its deadline has passed.
    fn drain_and_check(mut self) {
        for _ in 0..200 {
            self.apply(Step::AdvanceTime(500.0));
            while let Some((ticket, _)) = self.in_flight.pop() {
                self.send_event(Event::End(ticket, Ending::Complete { answer_tokens: 20 }));
            }
        }
        assert!(self.waiting.is_empty(), "{} requests are never decided on", self.waiting.len());
        assert_eq!(self.core.counts().in_flight, 0);
    }
}

fn swap_remove_at<T>(from: &mut Vec<T>, n: usize) -> Option<T> {
    if from.is_empty() { None } else { Some(from.swap_remove(n % from.len())) }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_for_any_event_sequence(steps in prop::collection::vec(step(), 1..MAX_STEPS)) {
        let mut checker = Checker::new();
        steps.into_iter().for_each(|step| checker.apply(step));
        checker.drain_and_check();
    }
}
