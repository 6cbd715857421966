//! Appends and waiting time of one instance's claims, in virtual time.
//!
//! `cargo run --release -p baobabvane-claims --example appends`
//!
//! The log takes 2 ms for an append, one at a time is on its way, and a booking
//! takes 10 ms.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use baobabvane_claims::{
    AppendResult, ClaimResult, KeyPolicy, Output, Owner, ReadBatch, ReadRecord, Writer,
    WriterSettings,
};
use baobabvane_domain::{Entry, Incarnation, LogDown, RequestKey, Uuid, Verdict};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const APPEND_MS: u64 = 2;
const BOOKING_MS: u64 = 10;
const RUN_MS: u64 = 20_000;
const UNIX_MS: u64 = 1_760_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Appended,
    Arrive(u64),
    Booked(u64),
    Tick,
}

struct Sim {
    writer: Writer<u64>,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, What)>>,
    sending: Vec<Entry>,
    end: u64,
    appends: u64,
    asked_at: HashMap<u64, u64>,
    won: HashMap<u64, Owner>,
    waits: Histogram<u64>,
}

impl Sim {
    fn new(pace: WriterSettings, per_second: f64) -> Self {
        let mut events = BinaryHeap::new();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut at = 0.0;
        for n in 0.. {
            at += -rng.random_range(1e-9_f64..1.0).ln() / per_second * 1000.0;
            if at as u64 >= RUN_MS {
                break;
            }
            events.push(Reverse((at as u64, What::Arrive(n))));
        }
        events.extend((0..RUN_MS + 1_000).map(|ms| Reverse((ms, What::Tick))));
        let incarnation = Incarnation(Uuid::from_u128(1));
        let mut writer = Writer::new(incarnation, KeyPolicy::default(), pace);
        writer.apply_batch(0, UNIX_MS, &ReadBatch { records: Vec::new(), oldest: 1, end: 1 });
        Self {
            writer,
            now_ms: 0,
            events,
            sending: Vec::new(),
            end: 1,
            appends: 0,
            asked_at: HashMap::new(),
            won: HashMap::new(),
            waits: Histogram::new(3).expect("3 digits are valid"),
        }
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, what))) = self.events.pop() {
            self.now_ms = at;
            self.step(what);
            self.perform();
        }
        self
    }

    fn step(&mut self, what: What) {
        let now = self.now_ms;
        match what {
            What::Tick => self.writer.tick(now),
            What::Arrive(n) => {
                self.asked_at.insert(n, now);
                self.writer.claim(now, UNIX_MS, key(n), n, LogDown::Refuse, n);
            }
            What::Booked(n) => {
                let owner = self.won[&n];
                self.writer.record_outcome(now, key(n), owner, Verdict::Ran, None);
            }
            What::Appended => {
                let entries = std::mem::take(&mut self.sending);
                let record = ReadRecord { offset: self.end, at_unix_ms: UNIX_MS, entries };
                self.end += 1;
                self.writer.append_finished(now, AppendResult::Appended);
                let batch = ReadBatch { records: vec![record], oldest: 1, end: self.end };
                self.writer.apply_batch(now, UNIX_MS, &batch);
            }
        }
    }

    fn perform(&mut self) {
        while let Some(output) = self.writer.next_output() {
            match output {
                Output::Append(entries) => {
                    self.appends += 1;
                    self.sending = entries;
                    self.events.push(Reverse((self.now_ms + APPEND_MS, What::Appended)));
                }
                Output::Reply(n, ClaimResult::Won { owner, .. }) => {
                    self.won.insert(n, owner);
                    self.waits.record(self.now_ms - self.asked_at[&n]).expect("within the range");
                    self.events.push(Reverse((self.now_ms + BOOKING_MS, What::Booked(n))));
                }
                Output::Reply(..) => {}
            }
        }
    }
}

fn key(n: u64) -> RequestKey {
    let key = (u128::from(UNIX_MS) << 80) | (7 << 76) | (2 << 62) | u128::from(n);
    let key = Uuid::from_u128(key);
    RequestKey { organisation: "o".to_owned(), kind: "booking".to_owned(), key }
}

fn main() {
    let usual = WriterSettings { interval_ms: 20, ..WriterSettings::default() };
    let paces = [
        ("batches, outcomes wait 50 ms", usual),
        ("batches, one class", WriterSettings { outcome_delay_ms: 0, ..usual }),
        ("batches, no interval", WriterSettings { interval_ms: 0, ..usual }),
        (
            "no batches",
            WriterSettings { interval_ms: 0, outcome_delay_ms: 0, batching: false, ..usual },
        ),
    ];
    println!("PACE                          CLAIMS/S  APPENDS/S  WAIT MS P50  P99  SETTLED");
    for (name, pace) in paces {
        for per_second in [10, 100, 850] {
            let sim = Sim::new(pace, f64::from(per_second)).run();
            println!(
                "{name:<30}{per_second:<10}{:<11.0}{:<13}{:<5}{} of {}",
                sim.appends as f64 * 1000.0 / RUN_MS as f64,
                sim.waits.value_at_quantile(0.5),
                sim.waits.value_at_quantile(0.99),
                sim.waits.len(),
                sim.asked_at.len(),
            );
        }
    }
}
