//! Plays a fleet whose callers send prompts with a part that crashes endpoints, and checks how many
//! of them still reach endpoints and that sound requests are served meanwhile.

use baobabvane_decide::{
    CrashReport, LASTING_ANSWER_MS, Millis, ProcessId, PromptPart, Quarantine, Reach,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SEEDS: u64 = 24;
/// Fewer, as plays of large fleets take longer.
const LARGE_SEEDS: u64 = 4;
const STEP_MS: Millis = 10.0;
const DAY_MS: Millis = 40_000.0;
const HEARTBEAT_MS: Millis = 100.0;
/// How long an endpoint is down after a crash.
const RESTART_MS: Millis = 3_000.0;
/// When the first prompt with the deadly part comes.
const POISON_FROM_MS: Millis = 4_000.0;
/// The rule's bounds: crashes, the time from the last of them, and requests after that.
const CRASHES_KNOWN: usize = 5;
const KNOWN_AFTER_MS: Millis = 3_000.0;
const MAX_SENT_AFTERWARDS: usize = 3;

const DEADLY: PromptPart = PromptPart(1);
/// The sound part that all prompts with the deadly part contain.
const COMPANION: PromptPart = PromptPart(2);

#[derive(Clone, Copy)]
struct Scenario {
    seed: u64,
    endpoints: u32,
    instances: usize,
    /// The number of other instances that get each heartbeat.
    fan_out: usize,
    deadly_per_s: f64,
    companion_per_s: f64,
    is_deadly_first: bool,
    max_attempts: u32,
    /// Whether connections are reset and endpoints lose power, besides.
    has_other_faults: bool,
    /// The longest time for which a request with the deadly part is answered before the crash.
    deadly_answer_ms: Millis,
    /// The number of further parts that all prompts with the companion share.
    shared_parts: u32,
}

struct Request {
    parts: Vec<PromptPart>,
    instance: usize,
    attempts: u32,
    sent_at: Millis,
    begins_at: Millis,
    /// When its answer is complete or its endpoint crashes.
    ends_at: Millis,
    has_lasted: bool,
}

struct Endpoint {
    process: ProcessId,
    down_until: Millis,
    waiting: Vec<Request>,
    answering: Vec<Request>,
}

#[derive(Debug, Default)]
struct Outcome {
    crashed_at: Vec<Millis>,
    deadly_sent_at: Vec<Millis>,
    companions: usize,
    blocked_companions: usize,
    others: usize,
    blocked_others: usize,
}

struct Play {
    scenario: Scenario,
    rng: SmallRng,
    fleet: Vec<Quarantine>,
    endpoints: Vec<Endpoint>,
    next_process: u32,
    /// Heartbeats under way: arrival, receiver, contents.
    heartbeats: Vec<(Millis, usize, CrashReport)>,
    round: usize,
    outcome: Outcome,
}

impl Play {
    fn new(scenario: Scenario) -> Self {
        let endpoints = (0..scenario.endpoints)
            .map(|i| Endpoint {
                process: ProcessId(i),
                down_until: 0.0,
                waiting: Vec::new(),
                answering: Vec::new(),
            })
            .collect();
        Self {
            scenario,
            rng: SmallRng::seed_from_u64(scenario.seed),
            fleet: (0..scenario.instances).map(|_| Quarantine::default()).collect(),
            endpoints,
            next_process: scenario.endpoints,
            heartbeats: Vec::new(),
            round: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = 0.0;
        while now < DAY_MS {
            self.arrive(now);
            self.begin_answers(now);
            self.go_on_with_answers(now);
            if self.scenario.has_other_faults {
                self.break_connections(now);
            }
            if now % HEARTBEAT_MS < STEP_MS {
                self.send_heartbeats(now);
            }
            self.deliver_heartbeats(now);
            now += STEP_MS;
        }
        self.outcome
    }

    fn arrives(&mut self, per_s: f64) -> bool {
        self.rng.random::<f64>() < per_s * STEP_MS / 1_000.0
    }

    fn arrive(&mut self, now: Millis) {
        let unique = PromptPart(self.rng.random_range(1_000_000..u32::MAX));
        if now >= POISON_FROM_MS && self.arrives(self.scenario.deadly_per_s) {
            let mut parts = vec![COMPANION, DEADLY];
            if self.scenario.is_deadly_first {
                parts.reverse();
            }
            parts.extend(self.shared_parts());
            self.offer(parts, now);
        }
        if self.arrives(self.scenario.companion_per_s) {
            let parts = std::iter::once(COMPANION).chain(self.shared_parts()).collect();
            let is_blocked = !self.offer(parts, now);
            self.outcome.companions += 1;
            self.outcome.blocked_companions += usize::from(is_blocked);
        }
        if self.arrives(60.0) {
            // Some parts are in many prompts, some in few.
            let common = PromptPart(10 + (self.rng.random::<f64>().powi(3) * 100.0) as u32);
            let is_blocked = !self.offer(vec![common, unique], now);
            self.outcome.others += 1;
            self.outcome.blocked_others += usize::from(is_blocked);
        }
    }

    fn shared_parts(&self) -> impl Iterator<Item = PromptPart> + use<> {
        (10_000..10_000 + self.scenario.shared_parts).map(PromptPart)
    }

    /// Sends a new request unless it is blocked; returns whether it was sent.
    fn offer(&mut self, parts: Vec<PromptPart>, now: Millis) -> bool {
        let instance = self.rng.random_range(0..self.fleet.len());
        let req = Request {
            parts,
            instance,
            attempts: 0,
            sent_at: now,
            begins_at: now,
            ends_at: now,
            has_lasted: false,
        };
        self.send(req, now)
    }

    fn send(&mut self, mut req: Request, now: Millis) -> bool {
        let quarantine = &mut self.fleet[req.instance];
        let is_tried = |part: PromptPart| part.0 as usize % self.scenario.instances == req.instance;
        if quarantine.blocked(&req.parts, req.attempts > 0, now).is_some()
            && (req.attempts > 0 || !quarantine.begin_probe(&req.parts, now, is_tried))
        {
            return false;
        }
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|i| self.endpoints[*i].down_until <= now).collect();
        if up.is_empty() {
            return true;
        }
        if req.parts.contains(&DEADLY) {
            self.outcome.deadly_sent_at.push(now);
        }
        req.attempts += 1;
        req.sent_at = now;
        req.begins_at = now + self.rng.random_range(50.0..400.0);
        let answer_ms = match req.parts.contains(&DEADLY) {
            true => self.rng.random::<f64>() * self.scenario.deadly_answer_ms,
            false => self.rng.random_range(100.0..4_000.0),
        };
        req.ends_at = req.begins_at + answer_ms;
        req.has_lasted = false;
        let endpoint = up[self.rng.random_range(0..up.len())];
        self.endpoints[endpoint].waiting.push(req);
        true
    }

    fn begin_answers(&mut self, now: Millis) {
        for endpoint in &mut self.endpoints {
            let waiting = std::mem::take(&mut endpoint.waiting);
            let (due, waiting): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|r| r.begins_at <= now);
            endpoint.waiting = waiting;
            // A crash at the beginning leaves no part of the answer.
            let begun = due.iter().filter(|r| !r.parts.contains(&DEADLY) || r.ends_at > now);
            for req in begun {
                self.fleet[req.instance].record_start(endpoint.process, req.sent_at, now);
            }
            endpoint.answering.extend(due);
        }
    }

    /// Completes answers, and crashes the endpoints at which a deadly one ends.
    fn go_on_with_answers(&mut self, now: Millis) {
        for i in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[i];
            for req in &mut endpoint.answering {
                if !req.has_lasted && now >= req.begins_at + LASTING_ANSWER_MS && now < req.ends_at
                {
                    req.has_lasted = true;
                    self.fleet[req.instance].record_answer(&req.parts, Reach::Lasting, now);
                }
            }
            let answering = std::mem::take(&mut endpoint.answering);
            let (complete, answering): (Vec<_>, Vec<_>) =
                answering.into_iter().partition(|r| r.ends_at <= now && !r.parts.contains(&DEADLY));
            endpoint.answering = answering;
            for req in &complete {
                self.fleet[req.instance].record_answer(&req.parts, Reach::Complete, now);
            }
            if endpoint.answering.iter().any(|r| r.ends_at <= now) {
                self.outcome.crashed_at.push(now);
                self.crash(i, now);
            }
        }
    }

    fn crash(&mut self, endpoint: usize, now: Millis) {
        self.break_off(endpoint, now);
        self.endpoints[endpoint].down_until = now + RESTART_MS;
        self.endpoints[endpoint].process = ProcessId(self.next_process);
        self.next_process += 1;
    }

    /// Breaks the connections of the requests that wait at an endpoint; these are retried.
    fn break_off(&mut self, endpoint: usize, now: Millis) {
        let process = self.endpoints[endpoint].process;
        let waiting = std::mem::take(&mut self.endpoints[endpoint].waiting);
        let answering = std::mem::take(&mut self.endpoints[endpoint].answering);
        for req in waiting.into_iter().chain(answering) {
            self.fleet[req.instance].record_crash(process, &req.parts, req.has_lasted, now);
            if req.attempts < self.scenario.max_attempts {
                self.send(req, now);
            }
        }
    }

    /// Resets the connections of an endpoint now and then, and ends a third of the endpoints twice.
    fn break_connections(&mut self, now: Millis) {
        if self.arrives(2.0) {
            let endpoint = self.rng.random_range(0..self.endpoints.len());
            self.break_off(endpoint, now);
        }
        if now == 10_000.0 || now == 20_000.0 {
            (0..4).for_each(|endpoint| self.crash(endpoint, now));
        }
    }

    fn send_heartbeats(&mut self, now: Millis) {
        self.round += 1;
        let count = self.fleet.len();
        for from in 0..count {
            let report = self.fleet[from].report(now);
            if report.evidence.is_empty() {
                continue;
            }
            for i in 0..self.scenario.fan_out.min(count - 1) {
                let to =
                    (from + 1 + (self.round * self.scenario.fan_out + i) % (count - 1)) % count;
                let arrives_at = now + self.rng.random_range(1.0..50.0);
                // One datagram in a hundred is lost.
                if self.rng.random::<f64>() < 0.99 {
                    self.heartbeats.push((arrives_at, to, report.clone()));
                }
            }
        }
    }

    fn deliver_heartbeats(&mut self, now: Millis) {
        let (due, under_way): (Vec<_>, Vec<_>) = std::mem::take(&mut self.heartbeats)
            .into_iter()
            .partition(|(arrives_at, ..)| *arrives_at <= now);
        self.heartbeats = under_way;
        for (_, to, report) in due {
            self.fleet[to].merge(&report, now);
        }
    }
}

fn scenario(seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    Scenario {
        seed,
        endpoints: 12,
        instances: [1, 6, 9, 24][seed as usize % 4],
        fan_out: 8,
        deadly_per_s: rng.random_range(0.3..6.0),
        companion_per_s: rng.random_range(0.2..5.0),
        is_deadly_first: rng.random::<f64>() < 0.3,
        max_attempts: rng.random_range(1..4),
        has_other_faults: rng.random::<f64>() < 0.5,
        deadly_answer_ms: 0.0,
        shared_parts: 0,
    }
}

fn assert_few_deadly_are_sent_once_known(scenario: Scenario) {
    let outcome = Play::new(scenario).run();
    let Some(known_at) = outcome.crashed_at.get(CRASHES_KNOWN - 1) else { return };
    let late = outcome.deadly_sent_at.iter().filter(|at| **at > known_at + KNOWN_AFTER_MS).count();
    assert!(late <= MAX_SENT_AFTERWARDS, "seed {}: {late} sent: {outcome:?}", scenario.seed);
}

#[test]
fn few_requests_with_a_part_that_crashes_endpoints_are_sent_once_it_is_known() {
    (0..SEEDS).for_each(|seed| assert_few_deadly_are_sent_once_known(scenario(seed)));
}

/// Guards against answers that begin and are taken as proof before they end in a crash (BUDGET,
/// review/8).
#[test]
fn the_beginning_of_an_answer_does_not_acquit_a_part_that_crashes_endpoints() {
    for seed in 0..SEEDS / 3 {
        for deadly_answer_ms in [30.0, 300.0, 900.0] {
            assert_few_deadly_are_sent_once_known(Scenario { deadly_answer_ms, ..scenario(seed) });
        }
    }
}

/// Guards against sound parts that are blocked as their answers count only once they have lasted.
#[test]
fn sound_requests_are_served_while_answers_end_in_crashes() {
    for seed in 0..SEEDS / 3 {
        let outcome = Play::new(Scenario { deadly_answer_ms: 300.0, ..scenario(seed) }).run();
        assert!(2 * outcome.blocked_companions <= outcome.companions, "seed {seed}: {outcome:?}");
        assert!(2 * outcome.blocked_others <= outcome.others, "seed {seed}: {outcome:?}");
    }
}

/// Guards against a part that is forgotten among the many sound ones of its prompts (BUDGET,
/// more-parts).
#[test]
fn a_part_that_crashes_endpoints_is_found_among_many_shared_ones() {
    for seed in 0..LARGE_SEEDS {
        for (shared_parts, deadly_answer_ms) in [(100, 0.0), (1_000, 0.0), (100, 300.0)] {
            let many = Scenario { shared_parts, deadly_answer_ms, ..scenario(seed) };
            assert_few_deadly_are_sent_once_known(many);
        }
    }
}

/// Guards against sound parts that are blocked in place of a deadly one that was forgotten, before any
/// answer has told them apart.
#[test]
fn only_prompts_with_all_suspects_are_blocked_while_none_has_been_answered() {
    let shared: Vec<PromptPart> = (100..1_200).map(PromptPart).collect();
    let deadly: Vec<PromptPart> = shared.iter().copied().chain([DEADLY]).collect();
    let mut quarantine = Quarantine::default();
    for process in 0..3 {
        let now = 500.0 * f64::from(process);
        quarantine.record_crash(ProcessId(process), &deadly, false, now);
    }
    assert!(quarantine.blocked(&deadly, false, 2_000.0).is_some());
    assert_eq!(quarantine.blocked(&shared, false, 2_000.0), None);
}

#[test]
fn block_outlasts_a_burst_of_crashes_in_a_large_fleet() {
    for seed in 0..LARGE_SEEDS {
        assert_few_deadly_are_sent_once_known(Scenario {
            endpoints: 120,
            instances: 60,
            deadly_per_s: 30.0,
            ..scenario(seed)
        });
    }
}

#[test]
fn sound_requests_that_share_a_part_with_those_that_crash_endpoints_are_served() {
    for seed in 0..SEEDS {
        let outcome = Play::new(scenario(seed)).run();
        let blocked = outcome.blocked_companions;
        assert!(2 * blocked <= outcome.companions, "seed {seed}: {outcome:?}");
        assert!(2 * outcome.blocked_others <= outcome.others, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn nothing_is_blocked_when_endpoints_end_for_other_reasons() {
    for seed in 0..SEEDS {
        let quiet = Scenario { deadly_per_s: 0.0, has_other_faults: true, ..scenario(seed) };
        let outcome = Play::new(quiet).run();
        let blocked = outcome.blocked_companions + outcome.blocked_others;
        assert_eq!(blocked, 0, "seed {seed}: {outcome:?}");
    }
}

/// The first part of all requests of a service whose callers keep step.
const COMMON: PromptPart = PromptPart(9);

/// Plays a service of six endpoints that end one after the other, while none of the requests that
/// their callers sent together has begun to be answered; returns whether a request is sent at some
/// time in the next ten seconds.
fn is_served_after_staggered_crashes(gap_ms: Millis, was_answered: bool) -> bool {
    let mut fleet: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    let exchange = |fleet: &mut Vec<Quarantine>, now: Millis| {
        let reports: Vec<CrashReport> = fleet.iter_mut().map(|q| q.report(now)).collect();
        for (from, report) in reports.iter().enumerate() {
            for (to, quarantine) in fleet.iter_mut().enumerate() {
                if from != to {
                    quarantine.merge(report, now);
                }
            }
        }
    };
    let own = |n: u32| PromptPart(2_000 + n);
    let mut now = 1_000.0;
    if was_answered {
        for (i, quarantine) in fleet.iter_mut().enumerate() {
            quarantine.record_answer(&[COMMON, own(i as u32)], Reach::Complete, now);
        }
    }
    now = 5_000.0;
    for process in 0..6 {
        for n in 0..12 {
            let quarantine = &mut fleet[n % 3];
            let parts = [COMMON, own(100 + 12 * process + n as u32)];
            quarantine.record_crash(ProcessId(process), &parts, false, now);
        }
        exchange(&mut fleet, now);
        now += gap_ms;
    }
    // The endpoints are back after two seconds.
    let until = now + 10_000.0;
    now += 2_000.0;
    while now < until {
        exchange(&mut fleet, now);
        for (i, quarantine) in fleet.iter_mut().enumerate() {
            let parts = [COMMON, own(500 + i as u32)];
            if quarantine.blocked(&parts, false, now).is_none()
                || quarantine.begin_probe(&parts, now, |part| part.0 as usize % 3 == i)
            {
                quarantine.record_answer(&parts, Reach::Complete, now);
                return true;
            }
        }
        now += 100.0;
    }
    false
}

/// Guards against a sound part that stays blocked as no answer can acquit it.
#[test]
fn a_sound_part_is_tried_again_after_endpoints_ended_one_after_the_other() {
    for gap_ms in [60.0, 100.0, 150.0, 200.0, 250.0, 350.0] {
        assert!(is_served_after_staggered_crashes(gap_ms, true), "{gap_ms} ms");
    }
}

/// Guards against a rare part that is blamed for crashes of endpoints that end anyway.
#[test]
fn a_rare_part_is_not_blamed_for_some_of_many_crashes() {
    let mut quarantine = Quarantine::default();
    for process in 0..6 {
        let now = 100.0 * f64::from(process);
        let other = PromptPart(50 + process);
        quarantine.record_crash(ProcessId(process), &[other], false, now);
        if process % 2 == 0 {
            quarantine.record_crash(ProcessId(process), &[COMMON, other], false, now);
        }
    }
    assert_eq!(quarantine.blocked(&[COMMON], false, 600.0), None);
}

/// Guards against an answer that is taken for complete since it ended with its connection, when its
/// endpoint crashed at that moment.
#[test]
fn an_answer_that_ends_with_a_crash_is_no_proof() {
    for is_break_first in [false, true] {
        let mut quarantine = Quarantine::default();
        for process in 0..3 {
            let (now, process) = (2_000.0 * f64::from(process), ProcessId(process));
            let bystander = [PromptPart(70 + process.0)];
            if is_break_first {
                quarantine.record_crash(process, &bystander, false, now);
            }
            quarantine.record_open_end(process, &[DEADLY], false, now);
            if !is_break_first {
                quarantine.record_crash(process, &bystander, false, now + 10.0);
            }
            quarantine.settle_open_ends(now + 1_500.0);
        }
        assert!(quarantine.blocked(&[DEADLY], false, 6_000.0).is_some(), "{is_break_first}");
        quarantine.record_open_end(ProcessId(7), &[COMPANION], false, 7_000.0);
        quarantine.settle_open_ends(9_000.0);
        assert_eq!(quarantine.record_of(COMPANION, 9_000.0).lasting_age_ms, Some(0.0));
    }
}

#[test]
fn endpoints_that_work_after_their_connections_broke_clear_a_part_in_a_large_fleet() {
    let large =
        Scenario { instances: 60, deadly_per_s: 0.0, has_other_faults: true, ..scenario(419) };
    let outcome = Play::new(large).run();
    assert_eq!(outcome.blocked_companions + outcome.blocked_others, 0, "{outcome:?}");
}
