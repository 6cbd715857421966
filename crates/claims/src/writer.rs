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
    /// The requester may dispatch; the fence is the claim's offset.
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
    /// Answer the requester. When it has gone away, call [`Writer::record_outcome`] with
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
struct PendingClaim<T> {
    key: RequestKey,
    deadline_ms: u64,
    requester: T,
}

/// The claims of one incarnation.
#[derive(Clone, Debug)]
pub struct Writer<T> {
    incarnation: Incarnation,
    policy: KeyPolicy,
    settings: WriterSettings,
    ledger: Ledger,
    known_since_unix_ms: u64,
    next_offset: u64,
    is_caught_up: bool,
    is_reachable: bool,
    last_attempt: u64,
    last_serial: u64,
    pending_claims: BTreeMap<Owner, PendingClaim<T>>,
    /// Claims that were won and whose outcome is not in the log yet.
    won_claims: BTreeSet<Owner>,
    /// Keys that were dispatched without a claim in the log.
    unlogged_keys: BTreeSet<RequestKey>,
    outbox: VecDeque<Entry>,
    claims_in_outbox: usize,
    outbox_since_ms: u64,
    in_flight_entries: Option<Vec<Entry>>,
    last_append_ms: Option<u64>,
    outputs: VecDeque<Output<T>>,
}

impl<T> Writer<T> {
    /// Makes a writer that has read nothing.
    pub fn new(incarnation: Incarnation, policy: KeyPolicy, settings: WriterSettings) -> Self {
        Self {
            incarnation,
            policy,
            settings,
            ledger: Ledger::default(),
            known_since_unix_ms: 0,
            next_offset: 1,
            is_caught_up: false,
            is_reachable: false,
            last_attempt: 0,
            last_serial: 0,
            pending_claims: BTreeMap::new(),
            won_claims: BTreeSet::new(),
            unlogged_keys: BTreeSet::new(),
            outbox: VecDeque::new(),
            claims_in_outbox: 0,
            outbox_since_ms: 0,
            in_flight_entries: None,
            last_append_ms: None,
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
        self.next_offset
    }

    /// Says whether the last read succeeded.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Says whether the last read reached the log's end.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns how many keys are held in memory.
    pub fn key_count(&self) -> usize {
        self.ledger.len()
    }

    /// Returns how many claims are not settled.
    pub fn pending_claim_count(&self) -> usize {
        self.pending_claims.len()
    }

    /// Returns how many entries are not known to be in the log.
    pub fn unsent_entry_count(&self) -> usize {
        self.outbox.len() + self.in_flight_entries.as_ref().map_or(0, Vec::len)
    }

    /// Says whether something waits for time to pass.
    pub fn needs_tick(&self) -> bool {
        !self.outbox.is_empty() || !self.pending_claims.is_empty()
    }

    /// Issues a key that only this incarnation may dispatch.
    pub fn issue_key(&mut self, unix_ms: u64) -> Uuid {
        self.last_serial += 1;
        issue_key(self.incarnation, unix_ms, self.last_serial)
    }

    /// Asks to be the one that dispatches a key.
    pub fn claim(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        key: RequestKey,
        body_hash: u64,
        log_down: LogDown,
        requester: T,
    ) {
        if let Some(refusal) = self.check_key(&key, unix_ms) {
            return self.reply(requester, refusal);
        }
        if let Some(state) = self.ledger.get(&key) {
            return self.reply(requester, ClaimResult::Lost(state));
        }
        self.last_attempt += 1;
        let owner = Owner { incarnation: self.incarnation, attempt: self.last_attempt };
        let claim = Entry::Claim(Claim {
            key: key.clone(),
            incarnation: owner.incarnation,
            attempt: owner.attempt,
            body_hash,
        });
        if !self.is_caught_up || !self.is_reachable {
            return self.claim_without_log(now_ms, key, claim, log_down, owner, requester);
        }
        let deadline_ms = now_ms + self.settings.settle_timeout_ms;
        self.pending_claims.insert(owner, PendingClaim { key, deadline_ms, requester });
        self.enqueue(now_ms, claim);
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
        let is_foreign = KeyPolicy::is_issued_by(key.key, self.incarnation) == Some(false);
        (is_foreign || self.unlogged_keys.contains(key)).then_some(ClaimResult::TooOld)
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
            self.unlogged_keys.remove(&key);
        }
        let Owner { incarnation, attempt } = owner;
        self.enqueue(
            now_ms,
            Entry::Outcome(Outcome { key, incarnation, attempt, verdict, answer }),
        );
        self.flush(now_ms);
    }

    /// Notes that the log could not be read.
    pub fn read_failed(&mut self) {
        self.is_reachable = false;
    }

    /// Takes what was read; records that were taken before are ignored.
    pub fn apply_batch(&mut self, now_ms: u64, unix_ms: u64, batch: &ReadBatch) {
        self.is_reachable = true;
        if batch.oldest > self.next_offset {
            self.skip_dropped_records(batch, unix_ms);
        }
        let first_unread = self.next_offset;
        for record in batch.records.iter().filter(|r| r.offset >= first_unread) {
            self.next_offset = record.offset + 1;
            for entry in &record.entries {
                self.ledger.apply(entry);
                self.resolve_claim(now_ms, entry, record.offset);
            }
        }
        self.is_caught_up = self.next_offset >= batch.end;
        let retention_ms = self.policy.max_age_ms + 2 * self.policy.max_ahead_ms;
        let oldest_kept_ms = unix_ms.saturating_sub(retention_ms);
        self.ledger.forget_before(oldest_kept_ms);
        self.unlogged_keys.retain(|key| issued_at_ms(key.key) >= oldest_kept_ms);
        self.flush(now_ms);
    }

    /// Takes how the append ended that was asked for last.
    pub fn append_finished(&mut self, now_ms: u64, result: AppendResult) {
        let Some(entries) = self.in_flight_entries.take() else { return };
        if let AppendResult::NotAppended(reason) = &result {
            for owner in entries.iter().filter_map(owner_of_claim) {
                self.abandon_claim(owner, reason);
            }
        }
        if result != AppendResult::Appended {
            self.requeue(entries);
        }
        self.flush(now_ms);
    }

    /// Notes that time has passed.
    pub fn tick(&mut self, now_ms: u64) {
        let expired = self.pending_claims.iter().filter(|(_, p)| now_ms >= p.deadline_ms);
        let expired: Vec<Owner> = expired.map(|(owner, _)| *owner).collect();
        for owner in expired {
            self.abandon_claim(owner, "the log did not settle the claim in time");
        }
        self.flush(now_ms);
    }

    fn reply(&mut self, requester: T, result: ClaimResult) {
        self.outputs.push_back(Output::Reply(requester, result));
    }

    fn claim_without_log(
        &mut self,
        now_ms: u64,
        key: RequestKey,
        claim: Entry,
        log_down: LogDown,
        owner: Owner,
        requester: T,
    ) {
        let is_own = KeyPolicy::is_issued_by(key.key, self.incarnation) == Some(true);
        if log_down == LogDown::Refuse || !is_own {
            return self
                .reply(requester, ClaimResult::LogDown("the log cannot be reached".to_owned()));
        }
        // Written once the log is back, for those who look the key up.
        self.unlogged_keys.insert(key);
        self.won_claims.insert(owner);
        self.enqueue(now_ms, claim);
        self.reply(requester, ClaimResult::Won { owner, fence: 0 });
    }

    fn enqueue(&mut self, now_ms: u64, entry: Entry) {
        if self.outbox.is_empty() {
            self.outbox_since_ms = now_ms;
        }
        self.claims_in_outbox += usize::from(matches!(entry, Entry::Claim(_)));
        self.outbox.push_back(entry);
    }

    /// Asks for an append of what has gathered: claims at once, outcomes soon.
    fn flush(&mut self, now_ms: u64) {
        if self.outbox.is_empty() || self.in_flight_entries.is_some() {
            return;
        }
        let WriterSettings { interval_ms, outcome_delay_ms, batching, .. } = self.settings;
        if self.last_append_ms.is_some_and(|at| now_ms < at + interval_ms) {
            return;
        }
        let delay = if batching { outcome_delay_ms } else { 0 };
        if self.claims_in_outbox == 0 && now_ms < self.outbox_since_ms + delay {
            return;
        }
        let count = if batching { self.outbox.len() } else { 1 };
        let entries: Vec<Entry> = self.outbox.drain(..count).collect();
        self.claims_in_outbox -= entries.iter().filter(|e| matches!(e, Entry::Claim(_))).count();
        self.last_append_ms = Some(now_ms);
        self.in_flight_entries = Some(entries.clone());
        self.outputs.push_back(Output::Append(entries));
    }

    /// Applying an entry twice changes nothing, so that all can be sent again.
    fn requeue(&mut self, entries: Vec<Entry>) {
        for entry in entries.into_iter().rev() {
            if self.is_abandoned_claim(&entry) {
                continue;
            }
            self.claims_in_outbox += usize::from(matches!(entry, Entry::Claim(_)));
            self.outbox.push_front(entry);
        }
    }

    /// Says whether an entry is a claim that nobody waits for any more.
    fn is_abandoned_claim(&self, entry: &Entry) -> bool {
        let Entry::Claim(claim) = entry else { return false };
        let owner = Owner::of_claim(claim);
        !self.pending_claims.contains_key(&owner) && !self.unlogged_keys.contains(&claim.key)
    }

    /// Notes that the log dropped records that were not read.
    fn skip_dropped_records(&mut self, batch: &ReadBatch, unix_ms: u64) {
        self.next_offset = batch.oldest;
        let first = batch.records.first().map_or(unix_ms, |r| r.at_unix_ms);
        self.known_since_unix_ms = self.known_since_unix_ms.max(first);
        let pending: Vec<Owner> = self.pending_claims.keys().copied().collect();
        for owner in pending {
            self.abandon_claim(owner, "records of the log were dropped before they were read");
        }
    }

    /// Tells the requester who won, once the log says so.
    fn resolve_claim(&mut self, now_ms: u64, entry: &Entry, offset: u64) {
        if let Entry::Outcome(outcome) = entry {
            self.won_claims.remove(&Owner::of_outcome(outcome));
        }
        let Entry::Claim(claim) = entry else { return };
        let owner = Owner::of_claim(claim);
        let Some(pending) = self.pending_claims.remove(&owner) else {
            return self.release_abandoned_claim(now_ms, claim, owner);
        };
        let result = match self.ledger.get(&pending.key) {
            Some(state) if state.owner() != owner => ClaimResult::Lost(state),
            _ => {
                self.won_claims.insert(owner);
                ClaimResult::Won { owner, fence: offset }
            }
        };
        self.reply(pending.requester, result);
    }

    /// Releases a claim that was given up before it was read: nobody will
    /// dispatch under it.
    ///
    /// A claim can stand twice in the log, when the answer to its append was
    /// lost; the second copy says nothing of a claim that is held.
    fn release_abandoned_claim(&mut self, now_ms: u64, claim: &Claim, owner: Owner) {
        let is_open = self.ledger.is_open(&claim.key, owner);
        let is_own = owner.incarnation == self.incarnation;
        if is_open && is_own && !self.won_claims.contains(&owner) {
            self.record_outcome(now_ms, claim.key.clone(), owner, Verdict::NotRun, None);
        }
    }

    fn abandon_claim(&mut self, owner: Owner, reason: &str) {
        if let Some(pending) = self.pending_claims.remove(&owner) {
            self.reply(pending.requester, ClaimResult::LogDown(reason.to_owned()));
        }
    }
}

fn owner_of_claim(entry: &Entry) -> Option<Owner> {
    match entry {
        Entry::Claim(claim) => Some(Owner::of_claim(claim)),
        _ => None,
    }
}
