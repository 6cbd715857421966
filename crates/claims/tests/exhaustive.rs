//! Model check of at-most-once dispatch: explores every interleaving of a few
//! instances, requests with the same key and faults.
//!
//! The instances run the same [`Writer`] as the daemon. Pauses need no step of
//! their own, because any instance may take no step while others continue.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use baobabvane_claims::{
    AppendResult, ClaimId, ClaimResult, DecodedBatch, DecodedRecord, KeyPolicy, Output, Writer,
    WriterSettings,
};
use baobabvane_domain::{Entry, Incarnation, LogDownPolicy, RequestKey, Uuid, Verdict};

const START_UNIX_MS: u64 = 1_760_000_000_000;
const SETTINGS: WriterSettings =
    WriterSettings { interval_ms: 0, outcome_delay_ms: 0, settle_timeout_ms: 100, batching: true };

fn key() -> RequestKey {
    let key = Uuid::from_u128((u128::from(START_UNIX_MS) << 80) | (7 << 76) | (2 << 62));
    RequestKey { organisation: "o".to_owned(), kind: "booking".to_owned(), key }
}

/// An instance and its unfinished appends.
#[derive(Clone, Debug)]
struct Instance {
    writer: Writer<usize>,
    now_ms: u64,
    in_flight: Option<Vec<Entry>>,
    /// Records that the log may still store after their append was reported as
    /// indeterminate or their instance crashed.
    delayed: Vec<Vec<Entry>>,
}

/// The state of a caller's request; all requests have the same key.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    Unsent,
    Claiming,
    Won(ClaimId),
    Running(ClaimId),
    Answered(Verdict),
    /// The instance crashed before it answered the request.
    Orphaned,
}

/// A transition of the model; the number is the index of a request for `Claim`,
/// `Dispatch`, `Finish` and `Release`, and of an instance otherwise.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(usize),
    Append(usize),
    /// The record is stored, but the result is indeterminate.
    AppendAndLoseResponse(usize),
    /// The result is indeterminate; `DeliverDelayedAppend` may store the record later.
    DelayAppend(usize),
    /// The record is never stored, but the result is indeterminate.
    LoseAppend(usize),
    /// The record is never stored, and the result says so.
    RefuseAppend(usize),
    DeliverDelayedAppend(usize),
    Read(usize),
    ExpireClaims(usize),
    Dispatch(usize),
    Finish(usize),
    /// Ends a request that was not dispatched, with the verdict `NotRun`.
    Release(usize),
    Crash(usize),
}

#[derive(Clone, Debug)]
struct ModelState {
    log: Vec<Vec<Entry>>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    execution_count: u32,
    faults_left: u32,
    incarnation_count: u128,
    /// Whether a dispatch requires a claim. If not, the search must find a double
    /// dispatch.
    requires_claims: bool,
}

impl ModelState {
    fn new(instances: usize, requests: usize, faults: u32, requires_claims: bool) -> Self {
        let mut state = Self {
            log: Vec::new(),
            instances: Vec::new(),
            requests: vec![Request::Unsent; requests],
            execution_count: 0,
            faults_left: faults,
            incarnation_count: 0,
            requires_claims,
        };
        for _ in 0..instances {
            let instance = state.start_instance();
            state.instances.push(instance);
        }
        state
    }

    fn start_instance(&mut self) -> Instance {
        self.incarnation_count += 1;
        let incarnation = Incarnation(Uuid::from_u128(self.incarnation_count));
        let mut writer = Writer::new(incarnation, KeyPolicy::default(), SETTINGS);
        // A daemon becomes ready only after it has read the log to its end.
        let records = self.log.iter().enumerate().map(|(n, entries)| record(n, entries));
        let batch =
            DecodedBatch { records: records.collect(), oldest: 1, end: self.log.len() as u64 + 1 };
        writer.apply_batch(0, START_UNIX_MS, &batch);
        Instance { writer, now_ms: 0, in_flight: None, delayed: Vec::new() }
    }

    fn instance_of(&self, request: usize) -> usize {
        request % self.instances.len()
    }

    fn possible_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let may_fault = self.faults_left > 0;
        for (i, instance) in self.instances.iter().enumerate() {
            if instance.in_flight.is_some() {
                steps.push(Step::Append(i));
                if may_fault {
                    steps.extend([
                        Step::AppendAndLoseResponse(i),
                        Step::DelayAppend(i),
                        Step::LoseAppend(i),
                        Step::RefuseAppend(i),
                    ]);
                }
            }
            if !instance.delayed.is_empty() {
                steps.push(Step::DeliverDelayedAppend(i));
            }
            if instance.writer.next_offset() <= self.log.len() as u64 {
                steps.push(Step::Read(i));
            }
            if may_fault {
                steps.push(Step::Crash(i));
                if instance.writer.pending_claim_count() > 0 {
                    steps.push(Step::ExpireClaims(i));
                }
            }
        }
        for (r, request) in self.requests.iter().enumerate() {
            match request {
                Request::Unsent => steps.push(Step::Claim(r)),
                Request::Won(_) => steps.extend([Step::Dispatch(r), Step::Release(r)]),
                Request::Running(_) => steps.push(Step::Finish(r)),
                _ => {}
            }
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Claim(r) => self.claim(r),
            Step::Append(i) => self.append(i, true, AppendResult::Appended),
            Step::AppendAndLoseResponse(i) => {
                self.inject_fault(|state| state.append(i, true, AppendResult::Indeterminate))
            }
            Step::LoseAppend(i) => {
                self.inject_fault(|state| state.append(i, false, AppendResult::Indeterminate))
            }
            Step::RefuseAppend(i) => self.inject_fault(|state| {
                state.append(i, false, AppendResult::NotAppended(String::new()))
            }),
            Step::DelayAppend(i) => self.inject_fault(|state| {
                let entries = state.instances[i].in_flight.clone();
                state.instances[i].delayed.extend(entries);
                state.append(i, false, AppendResult::Indeterminate);
            }),
            Step::DeliverDelayedAppend(i) => {
                let entries = self.instances[i].delayed.remove(0);
                self.log.push(entries);
            }
            Step::Read(i) => self.read(i),
            Step::ExpireClaims(i) => self.inject_fault(|state| {
                let instance = &mut state.instances[i];
                instance.now_ms += SETTINGS.settle_timeout_ms;
                instance.writer.tick(instance.now_ms);
                state.handle_outputs(i);
            }),
            Step::Dispatch(r) => self.dispatch(r),
            Step::Finish(r) => self.end(r, Verdict::Ran),
            Step::Release(r) => self.end(r, Verdict::NotRun),
            Step::Crash(i) => self.inject_fault(|state| state.crash(i)),
        }
    }

    fn inject_fault(&mut self, apply_fault: impl FnOnce(&mut Self)) {
        self.faults_left -= 1;
        apply_fault(self);
    }

    fn claim(&mut self, r: usize) {
        let i = self.instance_of(r);
        self.requests[r] = Request::Claiming;
        if !self.requires_claims {
            let claim_id = ClaimId { incarnation: Incarnation(Uuid::nil()), attempt: r as u64 };
            self.requests[r] = Request::Won(claim_id);
            return;
        }
        let instance = &mut self.instances[i];
        instance.writer.claim(instance.now_ms, START_UNIX_MS, key(), 0, LogDownPolicy::Refuse, r);
        self.handle_outputs(i);
    }

    fn append(&mut self, i: usize, is_stored: bool, result: AppendResult) {
        let entries = self.instances[i].in_flight.take().expect("an append is in flight");
        if is_stored {
            self.log.push(entries);
        }
        let instance = &mut self.instances[i];
        instance.writer.append_finished(instance.now_ms, result);
        self.handle_outputs(i);
    }

    fn read(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        let at = instance.writer.next_offset() as usize - 1;
        let records = vec![record(at, &self.log[at])];
        // Each read returns one record, so that claims are also made on stale state.
        let batch = DecodedBatch { records, oldest: 1, end: at as u64 + 2 };
        instance.writer.apply_batch(instance.now_ms, START_UNIX_MS, &batch);
        self.handle_outputs(i);
    }

    fn dispatch(&mut self, r: usize) {
        let Request::Won(claim_id) = self.requests[r] else { return };
        self.requests[r] = Request::Running(claim_id);
        self.execution_count += 1;
    }

    fn end(&mut self, r: usize, verdict: Verdict) {
        let (Request::Won(claim_id) | Request::Running(claim_id)) = self.requests[r] else {
            return;
        };
        self.requests[r] = Request::Answered(verdict);
        let i = self.instance_of(r);
        let instance = &mut self.instances[i];
        instance.writer.record_outcome(instance.now_ms, key(), claim_id, verdict, None);
        self.handle_outputs(i);
    }

    fn crash(&mut self, i: usize) {
        let mut delayed = std::mem::take(&mut self.instances[i].delayed);
        // The append in flight at the crash may still reach the log.
        delayed.extend(self.instances[i].in_flight.take());
        self.instances[i] = self.start_instance();
        self.instances[i].delayed = delayed;
        for r in 0..self.requests.len() {
            let is_unaffected = matches!(self.requests[r], Request::Unsent | Request::Answered(_));
            if self.instance_of(r) == i && !is_unaffected {
                self.requests[r] = Request::Orphaned;
            }
        }
    }

    /// Carries out the writer's outputs.
    fn handle_outputs(&mut self, i: usize) {
        while let Some(output) = self.instances[i].writer.next_output() {
            match output {
                Output::Append(entries) => {
                    assert!(self.instances[i].in_flight.replace(entries).is_none());
                }
                Output::Reply(r, result) => self.reply(r, result),
            }
        }
    }

    fn reply(&mut self, r: usize, result: ClaimResult) {
        assert_eq!(self.requests[r], Request::Claiming, "a request is answered once");
        self.requests[r] = match result {
            ClaimResult::Won { claim_id, .. } => Request::Won(claim_id),
            ClaimResult::LogDown(_) => Request::Answered(Verdict::NotRun),
            ClaimResult::Lost(_) | ClaimResult::HistoryUnknown => {
                Request::Answered(Verdict::MayHaveRun)
            }
            ClaimResult::Invalid => panic!("the key is valid"),
        };
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

fn record(index: usize, entries: &[Entry]) -> DecodedRecord {
    DecodedRecord { offset: index as u64 + 1, at_unix_ms: START_UNIX_MS, entries: entries.to_vec() }
}

/// Visits every reachable state and returns the number of states and the largest
/// number of executions in any of them.
fn explore(start: ModelState) -> (usize, u32) {
    let mut seen = HashSet::new();
    let mut frontier = vec![start];
    let mut max_executions = 0;
    while let Some(state) = frontier.pop() {
        if !seen.insert(state.fingerprint()) {
            continue;
        }
        max_executions = max_executions.max(state.execution_count);
        for step in state.possible_steps() {
            let mut next = state.clone();
            next.apply(step);
            frontier.push(next);
        }
    }
    (seen.len(), max_executions)
}

#[test]
fn two_instances_run_a_key_at_most_once() {
    let (states, max_executions) = explore(ModelState::new(2, 2, 2, true));
    println!("{states} states");
    assert_eq!(max_executions, 1);
}

#[test]
fn a_repeat_through_the_same_instance_runs_at_most_once() {
    let (states, max_executions) = explore(ModelState::new(1, 2, 3, true));
    println!("{states} states");
    assert_eq!(max_executions, 1);
}

#[test]
fn three_instances_run_a_key_at_most_once() {
    let (states, max_executions) = explore(ModelState::new(3, 3, 0, true));
    println!("{states} states");
    assert_eq!(max_executions, 1);
}

#[test]
fn without_claims_the_search_finds_a_double_dispatch() {
    let (_, max_executions) = explore(ModelState::new(2, 2, 0, false));
    assert_eq!(max_executions, 2);
}
