//! Every interleaving of a few instances, requests with one key and faults.
//!
//! The instances run the same [`Writer`] as the daemon. Pauses need no step of
//! their own: an instance may stand still for as long as others move.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use baobabvane_claims::{
    AppendResult, ClaimResult, KeyPolicy, Output, Owner, ReadBatch, ReadRecord, Writer,
    WriterSettings,
};
use baobabvane_domain::{Entry, Incarnation, LogDown, RequestKey, Uuid, Verdict};

const UNIX_MS: u64 = 1_760_000_000_000;
const PACE: WriterSettings =
    WriterSettings { interval_ms: 0, outcome_delay_ms: 0, settle_timeout_ms: 100, batching: true };

fn key() -> RequestKey {
    let key = Uuid::from_u128((u128::from(UNIX_MS) << 80) | (7 << 76) | (2 << 62));
    RequestKey { organisation: "o".to_owned(), kind: "booking".to_owned(), key }
}

/// An instance with its appends that are on their way.
#[derive(Clone, Debug)]
struct Instance {
    writer: Writer<usize>,
    now_ms: u64,
    sending: Option<Vec<Entry>>,
    /// Records that the log will take although their append was given up.
    late: Vec<Vec<Entry>>,
}

/// A request of a caller, all with the same key.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    Unsent,
    Asked,
    Won(Owner),
    Running(Owner),
    Told(Verdict),
    /// Its instance died.
    Orphan,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ask(usize),
    Take(usize),
    TakeAndLoseAnswer(usize),
    TakeLate(usize),
    LoseAppend(usize),
    Refuse(usize),
    ArriveLate(usize),
    Read(usize),
    TimePasses(usize),
    Dispatch(usize),
    Finish(usize),
    Abandon(usize),
    Crash(usize),
}

#[derive(Clone, Debug)]
struct World {
    log: Vec<Vec<Entry>>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    executed: u32,
    faults_left: u32,
    incarnations: u128,
    /// Whether a claim is needed before a dispatch; without, doubles must be found.
    claims: bool,
}

impl World {
    fn new(instances: usize, requests: usize, faults: u32, claims: bool) -> Self {
        let mut world = Self {
            log: Vec::new(),
            instances: Vec::new(),
            requests: vec![Request::Unsent; requests],
            executed: 0,
            faults_left: faults,
            incarnations: 0,
            claims,
        };
        for _ in 0..instances {
            let instance = world.start();
            world.instances.push(instance);
        }
        world
    }

    fn start(&mut self) -> Instance {
        self.incarnations += 1;
        let incarnation = Incarnation(Uuid::from_u128(self.incarnations));
        let mut writer = Writer::new(incarnation, KeyPolicy::default(), PACE);
        // A daemon is not ready before it has read the log to its end.
        let records = self.log.iter().enumerate().map(|(n, entries)| record(n, entries));
        let batch =
            ReadBatch { records: records.collect(), oldest: 1, end: self.log.len() as u64 + 1 };
        writer.apply_batch(0, UNIX_MS, &batch);
        Instance { writer, now_ms: 0, sending: None, late: Vec::new() }
    }

    fn home(&self, request: usize) -> usize {
        request % self.instances.len()
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let faulty = self.faults_left > 0;
        for (i, instance) in self.instances.iter().enumerate() {
            if instance.sending.is_some() {
                steps.push(Step::Take(i));
                if faulty {
                    steps.extend([
                        Step::TakeAndLoseAnswer(i),
                        Step::TakeLate(i),
                        Step::LoseAppend(i),
                        Step::Refuse(i),
                    ]);
                }
            }
            if !instance.late.is_empty() {
                steps.push(Step::ArriveLate(i));
            }
            if instance.writer.next_offset() <= self.log.len() as u64 {
                steps.push(Step::Read(i));
            }
            if faulty {
                steps.push(Step::Crash(i));
                if instance.writer.pending_claim_count() > 0 {
                    steps.push(Step::TimePasses(i));
                }
            }
        }
        for (r, request) in self.requests.iter().enumerate() {
            match request {
                Request::Unsent => steps.push(Step::Ask(r)),
                Request::Won(_) => steps.extend([Step::Dispatch(r), Step::Abandon(r)]),
                Request::Running(_) => steps.push(Step::Finish(r)),
                _ => {}
            }
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Ask(r) => self.ask(r),
            Step::Take(i) => self.append(i, true, AppendResult::Appended),
            Step::TakeAndLoseAnswer(i) => {
                self.fault(|w| w.append(i, true, AppendResult::Indeterminate))
            }
            Step::LoseAppend(i) => self.fault(|w| w.append(i, false, AppendResult::Indeterminate)),
            Step::Refuse(i) => {
                self.fault(|w| w.append(i, false, AppendResult::NotAppended(String::new())))
            }
            Step::TakeLate(i) => self.fault(|w| {
                let entries = w.instances[i].sending.clone();
                w.instances[i].late.extend(entries);
                w.append(i, false, AppendResult::Indeterminate);
            }),
            Step::ArriveLate(i) => {
                let entries = self.instances[i].late.remove(0);
                self.log.push(entries);
            }
            Step::Read(i) => self.read(i),
            Step::TimePasses(i) => self.fault(|w| {
                let instance = &mut w.instances[i];
                instance.now_ms += PACE.settle_timeout_ms;
                instance.writer.tick(instance.now_ms);
                w.settle(i);
            }),
            Step::Dispatch(r) => self.dispatch(r),
            Step::Finish(r) => self.end(r, Verdict::Ran),
            Step::Abandon(r) => self.end(r, Verdict::NotRun),
            Step::Crash(i) => self.fault(|w| w.crash(i)),
        }
    }

    fn fault(&mut self, happen: impl FnOnce(&mut Self)) {
        self.faults_left -= 1;
        happen(self);
    }

    fn ask(&mut self, r: usize) {
        let i = self.home(r);
        self.requests[r] = Request::Asked;
        if !self.claims {
            let owner = Owner { incarnation: Incarnation(Uuid::nil()), attempt: r as u64 };
            self.requests[r] = Request::Won(owner);
            return;
        }
        let instance = &mut self.instances[i];
        instance.writer.claim(instance.now_ms, UNIX_MS, key(), 0, LogDown::Refuse, r);
        self.settle(i);
    }

    fn append(&mut self, i: usize, taken: bool, end: AppendResult) {
        let entries = self.instances[i].sending.take().expect("an append is on its way");
        if taken {
            self.log.push(entries);
        }
        let instance = &mut self.instances[i];
        instance.writer.append_finished(instance.now_ms, end);
        self.settle(i);
    }

    fn read(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        let at = instance.writer.next_offset() as usize - 1;
        let records = vec![record(at, &self.log[at])];
        // Each read brings one record, so that claims are made on stale state, too.
        let batch = ReadBatch { records, oldest: 1, end: at as u64 + 2 };
        instance.writer.apply_batch(instance.now_ms, UNIX_MS, &batch);
        self.settle(i);
    }

    fn dispatch(&mut self, r: usize) {
        let Request::Won(owner) = self.requests[r] else { return };
        self.requests[r] = Request::Running(owner);
        self.executed += 1;
    }

    fn end(&mut self, r: usize, verdict: Verdict) {
        let (Request::Won(owner) | Request::Running(owner)) = self.requests[r] else { return };
        self.requests[r] = Request::Told(verdict);
        let i = self.home(r);
        let instance = &mut self.instances[i];
        instance.writer.record_outcome(instance.now_ms, key(), owner, verdict, None);
        self.settle(i);
    }

    fn crash(&mut self, i: usize) {
        let mut late = std::mem::take(&mut self.instances[i].late);
        // What was on its way may still arrive.
        late.extend(self.instances[i].sending.take());
        self.instances[i] = self.start();
        self.instances[i].late = late;
        for r in 0..self.requests.len() {
            let lives = matches!(self.requests[r], Request::Unsent | Request::Told(_));
            if self.home(r) == i && !lives {
                self.requests[r] = Request::Orphan;
            }
        }
    }

    /// Does what the writer asks for.
    fn settle(&mut self, i: usize) {
        while let Some(output) = self.instances[i].writer.next_output() {
            match output {
                Output::Append(entries) => {
                    assert!(self.instances[i].sending.replace(entries).is_none());
                }
                Output::Reply(r, claimed) => self.reply(r, claimed),
            }
        }
    }

    fn reply(&mut self, r: usize, claimed: ClaimResult) {
        assert_eq!(self.requests[r], Request::Asked, "a request is answered once");
        self.requests[r] = match claimed {
            ClaimResult::Won { owner, .. } => Request::Won(owner),
            ClaimResult::LogDown(_) => Request::Told(Verdict::NotRun),
            ClaimResult::Lost(_) | ClaimResult::TooOld => Request::Told(Verdict::MayHaveRun),
            ClaimResult::Invalid => panic!("the key is valid"),
        };
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

fn record(index: usize, entries: &[Entry]) -> ReadRecord {
    ReadRecord { offset: index as u64 + 1, at_unix_ms: UNIX_MS, entries: entries.to_vec() }
}

/// Visits every reachable world; returns how many, and the most executions seen.
fn explore(start: World) -> (usize, u32) {
    let mut seen = HashSet::new();
    let mut open = vec![start];
    let mut most = 0;
    while let Some(world) = open.pop() {
        if !seen.insert(world.fingerprint()) {
            continue;
        }
        most = most.max(world.executed);
        for step in world.steps() {
            let mut next = world.clone();
            next.take(step);
            open.push(next);
        }
    }
    (seen.len(), most)
}

#[test]
fn two_instances_run_a_key_at_most_once() {
    let (worlds, most) = explore(World::new(2, 2, 2, true));
    println!("{worlds} worlds");
    assert_eq!(most, 1);
}

#[test]
fn a_repeat_through_the_same_instance_runs_at_most_once() {
    let (worlds, most) = explore(World::new(1, 2, 3, true));
    println!("{worlds} worlds");
    assert_eq!(most, 1);
}

#[test]
fn three_instances_run_a_key_at_most_once() {
    let (worlds, most) = explore(World::new(3, 3, 0, true));
    println!("{worlds} worlds");
    assert_eq!(most, 1);
}

#[test]
fn without_claims_the_search_finds_a_double() {
    let (_, most) = explore(World::new(2, 2, 0, false));
    assert_eq!(most, 2);
}
