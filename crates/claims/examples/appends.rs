//! Simulates one instance's claims in virtual time and prints the append rate
//! and the wait for a claim for several writer settings.
//!
//! `cargo run --release -p baobabvane-claims --example appends`
//!
//! An append takes 2 ms, at most one is in flight, and a request whose claim was won
//! runs for 10 ms.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use baobabvane_claims::{
    AppendResult, ClaimId, ClaimResult, DecodedBatch, DecodedRecord, KeyPolicy, Output, Writer,
    WriterSettings,
};
use baobabvane_domain::{Entry, Incarnation, LogDownPolicy, RequestKey, Uuid, Verdict};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const APPEND_MS: u64 = 2;
const EXECUTION_MS: u64 = 10;
const RUN_MS: u64 = 20_000;
const START_UNIX_MS: u64 = 1_760_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AppendFinished,
    RequestArrived(u64),
    ExecutionFinished(u64),
    Tick,
}

struct Sim {
    writer: Writer<u64>,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    in_flight: Vec<Entry>,
    next_offset: u64,
    append_count: u64,
    claimed_at_ms: HashMap<u64, u64>,
    claim_ids: HashMap<u64, ClaimId>,
    wait_ms: Histogram<u64>,
}

impl Sim {
    fn new(settings: WriterSettings, per_second: f64) -> Self {
        let mut events = BinaryHeap::new();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut at = 0.0;
        for n in 0.. {
            at += -rng.random_range(1e-9_f64..1.0).ln() / per_second * 1000.0;
            if at as u64 >= RUN_MS {
                break;
            }
            events.push(Reverse((at as u64, Event::RequestArrived(n))));
        }
        events.extend((0..RUN_MS + 1_000).map(|ms| Reverse((ms, Event::Tick))));
        let incarnation = Incarnation(Uuid::from_u128(1));
        let mut writer = Writer::new(incarnation, KeyPolicy::default(), settings);
        writer.apply_batch(
            0,
            START_UNIX_MS,
            &DecodedBatch { records: Vec::new(), oldest: 1, end: 1 },
        );
        Self {
            writer,
            now_ms: 0,
            events,
            in_flight: Vec::new(),
            next_offset: 1,
            append_count: 0,
            claimed_at_ms: HashMap::new(),
            claim_ids: HashMap::new(),
            wait_ms: Histogram::new(3).expect("a precision of 3 significant digits is valid"),
        }
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now_ms = at;
            self.handle_event(event);
            self.handle_outputs();
        }
        self
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now_ms;
        match event {
            Event::Tick => self.writer.tick(now),
            Event::RequestArrived(n) => {
                self.claimed_at_ms.insert(n, now);
                self.writer.claim(now, START_UNIX_MS, key(n), n, LogDownPolicy::Refuse, n);
            }
            Event::ExecutionFinished(n) => {
                let claim_id = self.claim_ids[&n];
                self.writer.record_outcome(now, key(n), claim_id, Verdict::Ran, None);
            }
            Event::AppendFinished => {
                let entries = std::mem::take(&mut self.in_flight);
                let record =
                    DecodedRecord { offset: self.next_offset, at_unix_ms: START_UNIX_MS, entries };
                self.next_offset += 1;
                self.writer.append_finished(now, AppendResult::Appended);
                let batch =
                    DecodedBatch { records: vec![record], oldest: 1, end: self.next_offset };
                self.writer.apply_batch(now, START_UNIX_MS, &batch);
            }
        }
    }

    fn handle_outputs(&mut self) {
        while let Some(output) = self.writer.next_output() {
            match output {
                Output::Append(entries) => {
                    self.append_count += 1;
                    self.in_flight = entries;
                    self.events.push(Reverse((self.now_ms + APPEND_MS, Event::AppendFinished)));
                }
                Output::Reply(n, ClaimResult::Won { claim_id, .. }) => {
                    self.claim_ids.insert(n, claim_id);
                    self.wait_ms
                        .record(self.now_ms - self.claimed_at_ms[&n])
                        .expect("the histogram resizes itself");
                    self.events
                        .push(Reverse((self.now_ms + EXECUTION_MS, Event::ExecutionFinished(n))));
                }
                Output::Reply(..) => {}
            }
        }
    }
}

fn key(n: u64) -> RequestKey {
    let key = (u128::from(START_UNIX_MS) << 80) | (7 << 76) | (2 << 62) | u128::from(n);
    let key = Uuid::from_u128(key);
    RequestKey { organisation: "o".to_owned(), kind: "booking".to_owned(), key }
}

fn main() {
    let base = WriterSettings { interval_ms: 20, ..WriterSettings::default() };
    let variants = [
        ("batches, outcomes wait 50 ms", base),
        ("batches, outcomes not delayed", WriterSettings { outcome_delay_ms: 0, ..base }),
        ("batches, no interval", WriterSettings { interval_ms: 0, ..base }),
        (
            "no batches",
            WriterSettings { interval_ms: 0, outcome_delay_ms: 0, batching: false, ..base },
        ),
    ];
    println!("SETTINGS                      CLAIMS/S  APPENDS/S  WAIT MS P50  P99  WON");
    for (name, settings) in variants {
        for per_second in [10, 100, 850] {
            let sim = Sim::new(settings, f64::from(per_second)).run();
            println!(
                "{name:<30}{per_second:<10}{:<11.0}{:<13}{:<5}{} of {}",
                sim.append_count as f64 * 1000.0 / RUN_MS as f64,
                sim.wait_ms.value_at_quantile(0.5),
                sim.wait_ms.value_at_quantile(0.99),
                sim.wait_ms.len(),
                sim.claimed_at_ms.len(),
            );
        }
    }
}
