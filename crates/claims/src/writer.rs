//! Writes claims and settles them by reading, without a socket or a clock.
//!
//! The daemon's claimant task and the exhaustive test drive the same
//! [`Writer`]: calls go in, [`Output`]s come out. Times are milliseconds; those
//! named `now_ms` count from any start, those named `unix_ms` from the epoch.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use baobabvane_domain::{
    Answer, Claim, Entry, Incarnation, LogDown, Outcome, RequestKey, Uuid, Verdict,
};
use serde::{Deserialize, Serialize};

use crate::{
    age::{KeyAge, KeyPolicy, issue_key, issued_at_ms},
    ledger::{KeyState, Ledger, Owner},
};

/// When the writer appends, and when it gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WriterSettings {
    /// The least time between two appends.
    pub interval_ms: u64,
    /// An outcome waits this long for a claim to share an append with.
    pub outcome_delay_ms: u64,
    /// A claim that has not been read back after this time is given up.
    pub settle_timeout_ms: u64,
    /// Whether entries that have gathered share an append.
    pub batching: bool,
}

impl Default for WriterSettings {
    fn default() -> Self {
        Self { interval_ms: 10, outcome_delay_ms: 50, settle_timeout_ms: 3_000, batching: true }
    }
}

/// What a claim came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The asker may dispatch; the fence is the claim's offset.
    Won {
        /// Under which the outcome has to be told.
        owner: Owner,
        /// The claim's place in the log; 0 while the log is down.
        fence: u64,
    },
    /// Another request with the key came first.
    Lost(KeyState),
    /// Claims of the key may have been dropped from the log, or never written to it.
    TooOld,
    /// The key does not say when it was issued.
    Invalid,
    /// The log cannot be used now; nobody will dispatch under this claim.
    LogDown(String),
}

/// What the driver has to do; `T` names who asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output<T> {
    /// Append these entries as one record, then call [`Writer::append_finished`].
    Append(Vec<Entry>),
    /// Answer the asker. When it has gone away, call [`Writer::record_outcome`] with
    /// `NotRun` for a claim that was won.
    Reply(T, ClaimResult),
}

/// How an append ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log.
    Appended,
    /// The record is not in the log and will not get there.
    NotAppended(String),
    /// The record may be in the log now or soon.
    Indeterminate,
}

/// A record of the log as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRecord {
    /// Its place in the log.
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// What one read of the log brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBatch {
    /// The records, in the order of their offsets.
    pub records: Vec<ReadRecord>,
    /// The oldest offset that the log keeps.
    pub oldest: u64,
    /// The offset that the next append will get.
    pub end: u64,
}

/// A claim that is not settled.
#[derive(Clone, Debug)]
struct Pending<T> {
    key: RequestKey,
    deadline_ms: u64,
    asker: T,
}

/// The claims of one incarnation.
#[derive(Clone, Debug)]
pub struct Writer<T> {
    incarnation: Incarnation,
    policy: KeyPolicy,
    pace: WriterSettings,
    ledger: Ledger,
    known_since_unix_ms: u64,
    next: u64,
    caught_up: bool,
    reachable: bool,
    attempts: u64,
    serial: u64,
    pending: BTreeMap<Owner, Pending<T>>,
    /// Claims that were won and whose outcome is not in the log yet.
    held: BTreeSet<Owner>,
    /// Keys that were dispatched without a claim in the log.
    unlogged: BTreeSet<RequestKey>,
    outbox: VecDeque<Entry>,
    claims_in_outbox: usize,
    outbox_since_ms: u64,
    in_flight: Option<Vec<Entry>>,
    appended_at_ms: Option<u64>,
    outputs: VecDeque<Output<T>>,
}

impl<T> Writer<T> {
    /// Makes a writer that has read nothing.
    pub fn new(incarnation: Incarnation, policy: KeyPolicy, pace: WriterSettings) -> Self {
        Self {
            incarnation,
            policy,
            pace,
            ledger: Ledger::default(),
            known_since_unix_ms: 0,
            next: 1,
            caught_up: false,
            reachable: false,
            attempts: 0,
            serial: 0,
            pending: BTreeMap::new(),
            held: BTreeSet::new(),
            unlogged: BTreeSet::new(),
            outbox: VecDeque::new(),
            claims_in_outbox: 0,
            outbox_since_ms: 0,
            in_flight: None,
            appended_at_ms: None,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the next thing that the driver has to do.
    pub fn next_output(&mut self) -> Option<Output<T>> {
        self.outputs.pop_front()
    }

    /// Returns what the log says of a key.
    pub fn get(&self, key: &RequestKey) -> Option<KeyState> {
        self.ledger.get(key)
    }

    /// Returns the offset at which to read on.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Says whether the last read succeeded.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Says whether the last read reached the log's end.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns how many keys are held in memory.
    pub fn key_count(&self) -> usize {
        self.ledger.len()
    }

    /// Returns how many claims are not settled.
    pub fn pending_claim_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns how many entries are not known to be in the log.
    pub fn unsent_entry_count(&self) -> usize {
        self.outbox.len() + self.in_flight.as_ref().map_or(0, Vec::len)
    }

    /// Says whether something waits for time to pass.
    pub fn needs_tick(&self) -> bool {
        !self.outbox.is_empty() || !self.pending.is_empty()
    }

    /// Issues a key that only this incarnation may dispatch.
    pub fn issue_key(&mut self, unix_ms: u64) -> Uuid {
        self.serial += 1;
        issue_key(self.incarnation, unix_ms, self.serial)
    }

    /// Asks to be the one that dispatches a key.
    pub fn claim(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        key: RequestKey,
        body_hash: u64,
        log_down: LogDown,
        asker: T,
    ) {
        if let Some(refused) = self.check_key(&key, unix_ms) {
            return self.reply(asker, refused);
        }
        if let Some(state) = self.ledger.get(&key) {
            return self.reply(asker, ClaimResult::Lost(state));
        }
        self.attempts += 1;
        let owner = Owner { incarnation: self.incarnation, attempt: self.attempts };
        let claim = Entry::Claim(Claim {
            key: key.clone(),
            incarnation: owner.incarnation,
            attempt: owner.attempt,
            body_hash,
        });
        if !self.caught_up || !self.reachable {
            return self.claim_without_log(now_ms, key, claim, log_down, owner, asker);
        }
        let deadline_ms = now_ms + self.pace.settle_timeout_ms;
        self.pending.insert(owner, Pending { key, deadline_ms, asker });
        self.post(now_ms, claim);
        self.flush(now_ms);
    }

    /// Says why a key may not be claimed, whatever the ledger holds.
    pub fn check_key(&self, key: &RequestKey, unix_ms: u64) -> Option<ClaimResult> {
        match self.policy.key_age(key.key, unix_ms, self.known_since_unix_ms) {
            KeyAge::Known => {}
            KeyAge::TooOld => return Some(ClaimResult::TooOld),
            KeyAge::Invalid => return Some(ClaimResult::Invalid),
        }
        // The issuer may have dispatched such a key without a word in the log.
        let foreign = KeyPolicy::is_issued_by(key.key, self.incarnation) == Some(false);
        (foreign || self.unlogged.contains(key)).then_some(ClaimResult::TooOld)
    }

    /// Tells how a request that was won ended.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        key: RequestKey,
        owner: Owner,
        verdict: Verdict,
        answer: Option<Answer>,
    ) {
        if verdict == Verdict::NotRun {
            self.unlogged.remove(&key);
        }
        let Owner { incarnation, attempt } = owner;
        self.post(now_ms, Entry::Outcome(Outcome { key, incarnation, attempt, verdict, answer }));
        self.flush(now_ms);
    }

    /// Notes that the log could not be read.
    pub fn read_failed(&mut self) {
        self.reachable = false;
    }

    /// Takes what was read; records that were taken before are ignored.
    pub fn apply_batch(&mut self, now_ms: u64, unix_ms: u64, batch: &ReadBatch) {
        self.reachable = true;
        if batch.oldest > self.next {
            self.note_gap(batch, unix_ms);
        }
        let unread = self.next;
        for record in batch.records.iter().filter(|r| r.offset >= unread) {
            self.next = record.offset + 1;
            for entry in &record.entries {
                self.ledger.apply(entry);
                self.settle(now_ms, entry, record.offset);
            }
        }
        self.caught_up = self.next >= batch.end;
        let kept = self.policy.max_age_ms + 2 * self.policy.max_ahead_ms;
        let forget = unix_ms.saturating_sub(kept);
        self.ledger.forget_before(forget);
        self.unlogged.retain(|key| issued_at_ms(key.key) >= forget);
        self.flush(now_ms);
    }

    /// Takes how the append ended that was asked for last.
    pub fn append_finished(&mut self, now_ms: u64, end: AppendResult) {
        let Some(entries) = self.in_flight.take() else { return };
        if let AppendResult::NotAppended(why) = &end {
            for owner in entries.iter().filter_map(claim_owner) {
                self.give_up(owner, why);
            }
        }
        if end != AppendResult::Appended {
            self.put_back(entries);
        }
        self.flush(now_ms);
    }

    /// Notes that time has passed.
    pub fn tick(&mut self, now_ms: u64) {
        let late = self.pending.iter().filter(|(_, p)| now_ms >= p.deadline_ms);
        let late: Vec<Owner> = late.map(|(owner, _)| *owner).collect();
        for owner in late {
            self.give_up(owner, "the log did not settle the claim in time");
        }
        self.flush(now_ms);
    }

    fn reply(&mut self, asker: T, claimed: ClaimResult) {
        self.outputs.push_back(Output::Reply(asker, claimed));
    }

    fn claim_without_log(
        &mut self,
        now_ms: u64,
        key: RequestKey,
        claim: Entry,
        log_down: LogDown,
        owner: Owner,
        asker: T,
    ) {
        let own = KeyPolicy::is_issued_by(key.key, self.incarnation) == Some(true);
        if log_down == LogDown::Refuse || !own {
            return self.reply(asker, ClaimResult::LogDown("the log cannot be reached".to_owned()));
        }
        // Written once the log is back, for those who look the key up.
        self.unlogged.insert(key);
        self.held.insert(owner);
        self.post(now_ms, claim);
        self.reply(asker, ClaimResult::Won { owner, fence: 0 });
    }

    fn post(&mut self, now_ms: u64, entry: Entry) {
        if self.outbox.is_empty() {
            self.outbox_since_ms = now_ms;
        }
        self.claims_in_outbox += usize::from(matches!(entry, Entry::Claim(_)));
        self.outbox.push_back(entry);
    }

    /// Asks for an append of what has gathered: claims at once, outcomes soon.
    fn flush(&mut self, now_ms: u64) {
        if self.outbox.is_empty() || self.in_flight.is_some() {
            return;
        }
        let WriterSettings { interval_ms, outcome_delay_ms, batching, .. } = self.pace;
        if self.appended_at_ms.is_some_and(|at| now_ms < at + interval_ms) {
            return;
        }
        let delay = if batching { outcome_delay_ms } else { 0 };
        if self.claims_in_outbox == 0 && now_ms < self.outbox_since_ms + delay {
            return;
        }
        let count = if batching { self.outbox.len() } else { 1 };
        let entries: Vec<Entry> = self.outbox.drain(..count).collect();
        self.claims_in_outbox -= entries.iter().filter(|e| matches!(e, Entry::Claim(_))).count();
        self.appended_at_ms = Some(now_ms);
        self.in_flight = Some(entries.clone());
        self.outputs.push_back(Output::Append(entries));
    }

    /// Applying an entry twice changes nothing, so that all can be sent again.
    fn put_back(&mut self, entries: Vec<Entry>) {
        for entry in entries.into_iter().rev() {
            if self.is_given_up(&entry) {
                continue;
            }
            self.claims_in_outbox += usize::from(matches!(entry, Entry::Claim(_)));
            self.outbox.push_front(entry);
        }
    }

    /// Says whether an entry is a claim that nobody waits for any more.
    fn is_given_up(&self, entry: &Entry) -> bool {
        let Entry::Claim(claim) = entry else { return false };
        let owner = Owner::of_claim(claim);
        !self.pending.contains_key(&owner) && !self.unlogged.contains(&claim.key)
    }

    /// Notes that the log dropped records that were not read.
    fn note_gap(&mut self, batch: &ReadBatch, unix_ms: u64) {
        self.next = batch.oldest;
        let first = batch.records.first().map_or(unix_ms, |r| r.at_unix_ms);
        self.known_since_unix_ms = self.known_since_unix_ms.max(first);
        let pending: Vec<Owner> = self.pending.keys().copied().collect();
        for owner in pending {
            self.give_up(owner, "records of the log were dropped before they were read");
        }
    }

    /// Tells the asker who won, once the log says so.
    fn settle(&mut self, now_ms: u64, entry: &Entry, offset: u64) {
        if let Entry::Outcome(outcome) = entry {
            self.held.remove(&Owner::of_outcome(outcome));
        }
        let Entry::Claim(claim) = entry else { return };
        let owner = Owner::of_claim(claim);
        let Some(pending) = self.pending.remove(&owner) else {
            return self.release_given_up(now_ms, claim, owner);
        };
        let claimed = match self.ledger.get(&pending.key) {
            Some(state) if state.owner() != owner => ClaimResult::Lost(state),
            _ => {
                self.held.insert(owner);
                ClaimResult::Won { owner, fence: offset }
            }
        };
        self.reply(pending.asker, claimed);
    }

    /// Releases a claim that was given up before it was read: nobody will
    /// dispatch under it.
    ///
    /// A claim can stand twice in the log, when the answer to its append was
    /// lost; the second copy says nothing of a claim that is held.
    fn release_given_up(&mut self, now_ms: u64, claim: &Claim, owner: Owner) {
        let holds = self.ledger.is_open(&claim.key, owner);
        let own = owner.incarnation == self.incarnation;
        if holds && own && !self.held.contains(&owner) {
            self.record_outcome(now_ms, claim.key.clone(), owner, Verdict::NotRun, None);
        }
    }

    fn give_up(&mut self, owner: Owner, why: &str) {
        if let Some(pending) = self.pending.remove(&owner) {
            self.reply(pending.asker, ClaimResult::LogDown(why.to_owned()));
        }
    }
}

fn claim_owner(entry: &Entry) -> Option<Owner> {
    match entry {
        Entry::Claim(claim) => Some(Owner::of_claim(claim)),
        _ => None,
    }
}
