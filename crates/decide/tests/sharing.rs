//! Schedulers that share the endpoints of a pool and learn of each other's load with a delay.

use baobabvane_decide::{
    Action, Core, Descriptor, Ending, EndpointKey, EndpointLoad, EndpointSpec, Event, KindId,
    LatencyGoal, OrgId, Policy, Rank, Refusal, Ticket,
};
use slotmap::SlotMap;

const SCHEDULERS: u32 = 40;
const ENDPOINTS: usize = 20;
const SLOTS: u32 = 10;
/// Requests in flight of each scheduler when the pool is full and all have the same share.
const REQUESTS_PER_SCHEDULER: u32 = ENDPOINTS as u32 * SLOTS / SCHEDULERS;

fn descriptor(now: f64, prompt_tokens: u32, goal: Option<LatencyGoal>) -> Descriptor {
    Descriptor {
        rank: 0,
        org: OrgId(1),
        weight: 1,
        kind: KindId(1),
        prompt_tokens,
        answer_tokens: 10,
        has_length_hint: false,
        goal,
        prefix: Default::default(),
        deadline: now + 10_000.0,
        reports_first_token: true,
        failed_at: Default::default(),
    }
}

fn count_dispatched(core: &mut Core) -> u32 {
    let actions = std::iter::from_fn(|| core.next_action());
    actions.filter(|a| matches!(a, Action::Dispatch(..))).count() as u32
}

/// Creates a scheduler that has its share of the pool in flight.
fn scheduler_at_its_share(seed: u64, keys: &[EndpointKey]) -> Core {
    let mut core = Core::new(Policy { seed, adaptive_limit: false, ..Policy::default() });
    let spec = EndpointSpec { slots: SLOTS, cache_blocks: 0, is_in_other_zone: false };
    for key in keys {
        core.handle(0.0, Event::EndpointJoined(*key, spec.clone()));
    }
    let pool_share = 1.0 / f64::from(SCHEDULERS);
    update_peers(&mut core, 0.0, pool_share, &[]);
    // Requests with a goal go to the least utilized endpoint, so each goes to a different one.
    let goal =
        LatencyGoal { first_token_by: 9_000.0, max_gap_ms: 500.0, caller_leaves_at: 9_000.0 };
    for ticket in 0..REQUESTS_PER_SCHEDULER {
        core.handle(0.0, Event::Offer(Ticket(ticket.into()), descriptor(0.0, 0, Some(goal))));
    }
    assert_eq!(count_dispatched(&mut core), REQUESTS_PER_SCHEDULER);
    core
}

fn update_peers(core: &mut Core, now: f64, pool_share: f64, waiting: &[(Rank, u32)]) {
    let waiting = waiting.iter().copied().collect();
    core.handle(now, Event::PeersUpdated { pool_share, mean_load_age_ms: 0.0, waiting });
}

fn update_peer_loads(core: &mut Core, now: f64, keys: &[EndpointKey], requests: u32) {
    for key in keys {
        core.handle(
            now,
            Event::PeerLoadUpdated(*key, EndpointLoad { requests, pending_prefill_tokens: 0 }),
        );
    }
    core.handle(now, Event::Tick);
}

#[test]
fn schedulers_do_not_all_claim_the_same_free_slots() {
    let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let keys: Vec<EndpointKey> = (0..ENDPOINTS).map(|_| arena.insert(())).collect();
    let mut dispatched = 0;
    for seed in 0..SCHEDULERS {
        let mut core = scheduler_at_its_share(seed.into(), &keys);
        // By the last known loads, one slot is free at each endpoint.
        update_peer_loads(&mut core, 1_000.0, &keys, SLOTS - 1);
        for ticket in 100..110 {
            core.handle(1_000.0, Event::Offer(Ticket(ticket), descriptor(1_000.0, 0, None)));
        }
        dispatched += count_dispatched(&mut core);
    }
    assert!(
        dispatched > 0 && dispatched <= 2 * ENDPOINTS as u32,
        "{dispatched} requests for {ENDPOINTS} free slots"
    );
}

#[test]
fn a_slot_freed_by_this_scheduler_is_reused_at_once() {
    let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let keys: Vec<EndpointKey> = (0..ENDPOINTS).map(|_| arena.insert(())).collect();
    let mut core = scheduler_at_its_share(1, &keys);
    update_peer_loads(&mut core, 1_000.0, &keys, SLOTS);
    core.handle(1_000.0, Event::Offer(Ticket(100), descriptor(1_000.0, 0, None)));
    assert_eq!(core.next_action(), None);
    update_peer_loads(&mut core, 1_001.0, &keys, SLOTS - 1);
    core.handle(1_001.0, Event::End(Ticket(0), Ending::Complete { answer_tokens: 1 }));
    assert_eq!(count_dispatched(&mut core), 1);
}

/// Two schedulers share an endpoint. The first one has all of its slots and a queue of less
/// urgent requests; urgent requests arrive at the second one.
#[test]
fn a_slot_freed_under_overload_goes_to_the_more_urgent_request_of_another_scheduler() {
    let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let key = arena.insert(());
    let spec = EndpointSpec { slots: SLOTS, cache_blocks: 0, is_in_other_zone: false };
    let mut cores = [1, 2].map(|seed| {
        let policy = Policy { seed, adaptive_limit: false, shedding: false, ..Policy::default() };
        let mut core = Core::new(policy);
        core.handle(0.0, Event::EndpointJoined(key, spec.clone()));
        core
    });
    let request = |rank| Descriptor { rank, ..descriptor(0.0, 0, None) };
    for ticket in 0..2 * SLOTS {
        cores[0].handle(0.0, Event::Offer(Ticket(ticket.into()), request(2)));
    }
    assert_eq!(count_dispatched(&mut cores[0]), SLOTS);
    let load = |requests| EndpointLoad { requests, pending_prefill_tokens: 0 };
    cores[1].handle(0.0, Event::PeerLoadUpdated(key, load(SLOTS)));
    for ticket in 100..103 {
        cores[1].handle(0.0, Event::Offer(Ticket(ticket), request(0)));
    }
    let mut urgent_dispatched = 0;
    for step in 0..6_u8 {
        let now = f64::from(step) * 100.0;
        // Heartbeats of both arrive.
        let waiting = cores.each_ref().map(Core::waiting_by_tier);
        let in_flight = cores.each_ref().map(|core| core.counts().in_flight);
        for (i, core) in cores.iter_mut().enumerate() {
            core.handle(now, Event::PeerLoadUpdated(key, load(in_flight[1 - i])));
            update_peers(core, now, 0.5, &waiting[1 - i]);
        }
        urgent_dispatched += count_dispatched(&mut cores[1]);
        // A request of the first scheduler ends in each step.
        let ending = Ending::Complete { answer_tokens: 1 };
        cores[0].handle(now + 50.0, Event::End(Ticket(step.into()), ending));
    }
    assert_eq!(urgent_dispatched, 3);
    // Once no urgent request waits, the first scheduler uses its slots again.
    assert!(count_dispatched(&mut cores[0]) >= 2);
}

/// The load is that of a full pool in which an urgent request waits at another scheduler, and the
/// others' loads are 50 ms old.
#[test]
fn only_short_work_uses_a_slot_that_is_left_to_another_scheduler() {
    let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let key = arena.insert(());
    for (answer_tokens, dispatched) in [(1, 1), (1_000, 0)] {
        let mut core = Core::new(Policy { adaptive_limit: false, ..Policy::default() });
        let spec = EndpointSpec { slots: SLOTS, cache_blocks: 0, is_in_other_zone: false };
        core.handle(0.0, Event::EndpointJoined(key, spec));
        update_peer_loads(&mut core, 0.0, &[key], SLOTS - 1);
        let waiting = [(0, 1)].into_iter().collect();
        let update = Event::PeersUpdated { pool_share: 0.5, mean_load_age_ms: 50.0, waiting };
        core.handle(0.0, update);
        let request = Descriptor { rank: 2, answer_tokens, ..descriptor(0.0, 0, None) };
        // A request of the tier's floor is dispatched in any case; this one is beyond it.
        core.handle(0.0, Event::Adopt(Ticket(1), key, Descriptor { rank: 2, ..request.clone() }));
        core.handle(0.0, Event::End(Ticket(1), Ending::Complete { answer_tokens: 1 }));
        core.handle(0.0, Event::Offer(Ticket(2), request));
        assert_eq!(count_dispatched(&mut core), dispatched, "{answer_tokens} tokens");
    }
}

#[test]
fn empty_endpoints_accept_work_beyond_the_share() {
    let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let keys: Vec<EndpointKey> = (0..ENDPOINTS).map(|_| arena.insert(())).collect();
    let mut core = scheduler_at_its_share(1, &keys);
    update_peer_loads(&mut core, 1_000.0, &keys, 0);
    for ticket in 100..120 {
        core.handle(1_000.0, Event::Offer(Ticket(ticket), descriptor(1_000.0, 0, None)));
    }
    assert_eq!(count_dispatched(&mut core), 20);
}

#[test]
fn a_request_whose_answer_cannot_begin_before_its_caller_leaves_is_refused_at_once() {
    let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let key = arena.insert(());
    let mut core = Core::new(Policy::default());
    let spec = EndpointSpec { slots: SLOTS, cache_blocks: 0, is_in_other_zone: false };
    core.handle(0.0, Event::EndpointJoined(key, spec));
    // The prefill of a thousand tokens takes a second at this endpoint.
    for n in 0..5u32 {
        let now = f64::from(n) * 10_000.0;
        core.handle(now, Event::Offer(Ticket(n.into()), descriptor(now, 1_000, None)));
        core.handle(now + 1_000.0, Event::FirstToken(Ticket(n.into())));
        let ending = Ending::Complete { answer_tokens: 10 };
        core.handle(now + 1_100.0, Event::End(Ticket(n.into()), ending));
    }
    assert_eq!(count_dispatched(&mut core), 5);
    let now = 60_000.0;
    let goal = LatencyGoal {
        first_token_by: now + 500.0,
        max_gap_ms: 500.0,
        caller_leaves_at: now + 4_000.0,
    };
    core.handle(now, Event::Offer(Ticket(100), descriptor(now, 1_000, Some(goal))));
    assert!(matches!(core.next_action(), Some(Action::Dispatch(Ticket(100), ..))));
    core.handle(now, Event::Offer(Ticket(101), descriptor(now, 8_000, Some(goal))));
    let refused = core.next_action();
    assert!(matches!(refused, Some(Action::Refuse(_, Refusal::Late, _))), "{refused:?}");
}
