//! What must hold whatever comes in whatever order.

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

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Offer { rank: u8, org: u64, long: bool, patience: Millis },
    Withdraw(usize),
    First(usize),
    End(usize, bool),
    Leave(usize),
    Join(usize),
    Gone(usize),
    Wait(Millis),
    Room(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..4_u8, 0..5_u64, any::<bool>(), 50.0..20_000.0).prop_map(
            |(rank, org, long, patience)| Step::Offer { rank, org, long, patience }
        ),
        1 => any::<usize>().prop_map(Step::Withdraw),
        4 => any::<usize>().prop_map(Step::First),
        5 => (any::<usize>(), any::<bool>()).prop_map(|(n, ok)| Step::End(n, ok)),
        1 => (0..ENDPOINTS).prop_map(Step::Leave),
        1 => (0..ENDPOINTS).prop_map(Step::Join),
        1 => (0..ENDPOINTS).prop_map(Step::Gone),
        6 => (0.0..800.0).prop_map(Step::Wait),
        1 => (0..3_u32).prop_map(Step::Room),
    ]
}

/// Drives a core and checks every action.
struct Checker {
    core: Core,
    now: Millis,
    keys: Vec<EndpointKey>,
    usable: HashSet<EndpointKey>,
    ranks: HashMap<Ticket, u8>,
    waiting: Vec<Ticket>,
    flying: Vec<(Ticket, EndpointKey)>,
    offered: u64,
    /// The most urgent rank that was shed at this instant.
    shed_now: Option<u8>,
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
            flying: Vec::new(),
            offered: 0,
            shed_now: None,
        };
        (0..ENDPOINTS).for_each(|n| checker.take(Step::Join(n)));
        checker
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Offer { rank, org, long, patience } => self.offer(rank, org, long, patience),
            Step::Withdraw(n) => {
                if let Some(ticket) = pick(&mut self.waiting, n) {
                    self.tell(Event::Withdraw(ticket));
                }
            }
            Step::First(n) if !self.flying.is_empty() => {
                let (ticket, _) = self.flying[n % self.flying.len()];
                self.tell(Event::FirstToken(ticket));
            }
            Step::First(_) => {}
            Step::End(n, ok) => {
                if let Some((ticket, _)) = pick(&mut self.flying, n) {
                    let whole = Ending::Complete { answer_tokens: 20 };
                    self.tell(Event::End(ticket, if ok { whole } else { Ending::Failed }));
                }
            }
            Step::Leave(n) => {
                self.usable.remove(&self.keys[n]);
                self.tell(Event::EndpointLeaving(self.keys[n]));
            }
            Step::Join(n) => {
                self.usable.insert(self.keys[n]);
                let spec = EndpointSpec { slots: SLOTS, cache_blocks: 8, is_in_other_zone: false };
                self.tell(Event::EndpointJoined(self.keys[n], spec));
            }
            Step::Gone(n) => {
                let key = self.keys[n];
                self.usable.remove(&key);
                let gone: Vec<_> = self.flying.extract_if(.., |(_, at)| *at == key).collect();
                self.tell(Event::EndpointGone(key));
                for (ticket, _) in gone {
                    self.tell(Event::End(ticket, Ending::Failed));
                }
            }
            Step::Wait(ms) => {
                self.now += ms;
                self.shed_now = None;
                self.tell(Event::Tick);
            }
            Step::Room(room) => self.tell(Event::NeighbourRoomUpdated(room)),
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
        let shed_before = self.shed_now;
        self.tell(Event::Offer(ticket, req));
        let waits = self.core.is_waiting(ticket);
        let below_shed = shed_before.is_some_and(|shed| rank > shed);
        assert!(!(waits && below_shed), "rank {rank} was admitted while a higher tier was shed");
    }

    fn tell(&mut self, event: Event) {
        self.core.handle(self.now, event);
        while let Some(action) = self.core.next_action() {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Dispatch(ticket, choice, _) => {
                self.settle(ticket);
                assert!(self.usable.contains(&choice.endpoint), "sent to a leaving endpoint");
                self.flying.push((ticket, choice.endpoint));
                let there = self.flying.iter().filter(|(_, at)| *at == choice.endpoint).count();
                assert!(there as u32 <= SLOTS, "more than {SLOTS} requests at an endpoint");
            }
            Action::Refuse(ticket, refusal, why) => {
                self.settle(ticket);
                if refusal == Refusal::Load {
                    assert_eq!(why.waiting_below, 0, "shed while a lower tier waits");
                    let rank = self.ranks[&ticket];
                    self.shed_now = Some(self.shed_now.map_or(rank, |shed| shed.min(rank)));
                }
            }
            Action::Spill(ticket, _) => self.settle(ticket),
        }
    }

    /// A request leaves the queue exactly once.
    fn settle(&mut self, ticket: Ticket) {
        let at = self.waiting.iter().position(|t| *t == ticket);
        self.waiting.swap_remove(at.expect("only a waiting request is decided on"));
    }

    /// Every request that waits is decided on once its time is over.
    fn finish(mut self) {
        for _ in 0..200 {
            self.take(Step::Wait(500.0));
            while let Some((ticket, _)) = self.flying.pop() {
                self.tell(Event::End(ticket, Ending::Complete { answer_tokens: 20 }));
            }
        }
        assert!(self.waiting.is_empty(), "{} requests wait for ever", self.waiting.len());
        assert_eq!(self.core.counts().in_flight, 0);
    }
}

fn pick<T>(from: &mut Vec<T>, n: usize) -> Option<T> {
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
    fn no_schedule_breaks_a_promise(steps in prop::collection::vec(step(), 1..MAX_STEPS)) {
        let mut checker = Checker::new();
        steps.into_iter().for_each(|step| checker.take(step));
        checker.finish();
    }
}
