//! Appends claims to the log and decides from what is read back which of them
//! won. Does no I/O and reads no clock.
//!
//! A claim is reported as won only after it was read from the log as the first
//! claim of its key; a key that this incarnation issued may be won without the
//! log where [`LogDownPolicy`] allows it. The daemon's task `claimant` and the
//! exhaustive test drive the same [`Writer`]: they call its methods and carry out its
//! [`Output`]s. All times are in milliseconds: `now_ms` counts from an arbitrary
//! start and only grows, `unix_ms` counts from the Unix epoch.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use baobabvane_domain::{
    Answer, Claim, Entry, Incarnation, LogDownPolicy, Outcome, RequestKey, Uuid, Verdict,
};
use serde::{Deserialize, Serialize};

use crate::{
    age::{KeyAge, KeyPolicy, issue_key, issued_at_ms},
    ledger::{ClaimId, KeyState, Ledger},
};

/// Controls how often the writer appends and how long it waits for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WriterSettings {
    /// Minimum time between the starts of two appends, in milliseconds (default 10).
    pub interval_ms: u64,
    /// How long an outcome may wait to share an append with a claim, in
    /// milliseconds (default 50). Without batching, outcomes don't wait.
    pub outcome_delay_ms: u64,
    /// How long a claim may wait until it is read back from the log, in milliseconds
    /// (default 3000). It is abandoned after that.
    pub settle_timeout_ms: u64,
    /// Whether all queued entries go into one append (default true).
    pub batching: bool,
}

impl Default for WriterSettings {
    fn default() -> Self {
        Self { interval_ms: 10, outcome_delay_ms: 50, settle_timeout_ms: 3_000, batching: true }
    }
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The requester may dispatch the request.
    Won {
        /// Identifies the claim in [`Writer::record_outcome`].
        claim_id: ClaimId,
        /// The fencing token: the claim's offset in the log, or 0 if the log was down.
        fence: u64,
    },
    /// An earlier request with the same key holds it; contains the key's state.
    Lost(KeyState),
    /// Claims of the key may be missing from the ledger: the key is too old, was
    /// issued by another incarnation, which may dispatch its request while the log is
    /// down, or was won here while the log was down.
    HistoryUnknown,
    /// The key has no valid time of issue; see [`KeyAge::Invalid`].
    Invalid,
    /// The log is unavailable, dropped records before they were read, or did not
    /// return the claim in time. Nobody will dispatch under this claim. Contains the
    /// reason.
    LogDown(String),
}

/// An action that the driver must carry out; `T` identifies the requester.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output<T> {
    /// Append these entries as one record, then call [`Writer::append_finished`].
    Append(Vec<Entry>),
    /// Send the result to the requester. If the requester is gone and the claim was
    /// won, call [`Writer::record_outcome`] with `NotRun`.
    Reply(T, ClaimResult),
}

/// The result of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log.
    Appended,
    /// The record is not in the log and will not be added; contains the reason.
    NotAppended(String),
    /// The record may be in the log already or may still be added.
    Indeterminate,
}

/// A record that was read from the log, with its entries decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedRecord {
    /// The record's offset in the log; the first record has offset 1.
    pub offset: u64,
    /// When the log stored the record, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The record's entries, in the order in which they apply.
    pub entries: Vec<Entry>,
}

/// The records that one read of the log returned, and the log's bounds at that time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedBatch {
    /// The records, by ascending offset.
    pub records: Vec<DecodedRecord>,
    /// The oldest offset that the log still holds.
    pub oldest: u64,
    /// The offset of the next record to be appended.
    pub end: u64,
}

/// A claim that was queued but not yet read back from the log.
#[derive(Clone, Debug)]
struct PendingClaim<T> {
    key: RequestKey,
    deadline_ms: u64,
    requester: T,
}

/// Writes the claims and outcomes of one incarnation and tracks the state of all
/// keys in the log.
#[derive(Clone, Debug)]
pub struct Writer<T> {
    incarnation: Incarnation,
    policy: KeyPolicy,
    settings: WriterSettings,
    ledger: Ledger,
    complete_since_unix_ms: u64,
    next_offset: u64,
    is_caught_up: bool,
    is_reachable: bool,
    last_attempt: u64,
    last_serial: u64,
    pending_claims: BTreeMap<ClaimId, PendingClaim<T>>,
    /// Own claims that won and whose outcome was not read from the log yet.
    won_claims: BTreeSet<ClaimId>,
    /// Keys that were won while the log was down; their claims are appended later.
    unlogged_keys: BTreeSet<RequestKey>,
    queued_entries: VecDeque<Entry>,
    queued_claim_count: usize,
    queued_since_ms: u64,
    in_flight_entries: Option<Vec<Entry>>,
    last_append_ms: Option<u64>,
    outputs: VecDeque<Output<T>>,
}

impl<T> Writer<T> {
    /// Creates a writer that has read no records.
    ///
    /// Claims are refused with [`ClaimResult::LogDown`] until a batch reaches the
    /// end of the log, except for own keys where [`LogDownPolicy`] allows it.
    pub fn new(incarnation: Incarnation, policy: KeyPolicy, settings: WriterSettings) -> Self {
        Self {
            incarnation,
            policy,
            settings,
            ledger: Ledger::default(),
            complete_since_unix_ms: 0,
            next_offset: 1,
            is_caught_up: false,
            is_reachable: false,
            last_attempt: 0,
            last_serial: 0,
            pending_claims: BTreeMap::new(),
            won_claims: BTreeSet::new(),
            unlogged_keys: BTreeSet::new(),
            queued_entries: VecDeque::new(),
            queued_claim_count: 0,
            queued_since_ms: 0,
            in_flight_entries: None,
            last_append_ms: None,
            outputs: VecDeque::new(),
        }
    }

    /// Removes and returns the next action for the driver.
    pub fn next_output(&mut self) -> Option<Output<T>> {
        self.outputs.pop_front()
    }

    /// Returns the state of a key; `None` if it is not claimed or was released.
    pub fn get(&self, key: &RequestKey) -> Option<KeyState> {
        self.ledger.get(key)
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether the last read of the log succeeded.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Returns whether the last successful read reached the end of the log.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns the number of keys in memory.
    pub fn key_count(&self) -> usize {
        self.ledger.len()
    }

    /// Returns the number of own claims that were not read back yet.
    pub fn pending_claim_count(&self) -> usize {
        self.pending_claims.len()
    }

    /// Returns the number of entries that are queued or in an unfinished append,
    /// whose request may have been sent already.
    pub fn unsent_entry_count(&self) -> usize {
        self.queued_entries.len() + self.in_flight_entries.as_ref().map_or(0, Vec::len)
    }

    /// Returns whether queued entries or pending claims depend on [`Writer::tick`].
    pub fn needs_tick(&self) -> bool {
        !self.queued_entries.is_empty() || !self.pending_claims.is_empty()
    }

    /// Issues a key that only this incarnation may dispatch; `unix_ms` becomes its
    /// time of issue.
    pub fn issue_key(&mut self, unix_ms: u64) -> Uuid {
        self.last_serial += 1;
        issue_key(self.incarnation, unix_ms, self.last_serial)
    }

    /// Claims a key, so that the requester may dispatch the request.
    ///
    /// The result follows as an [`Output::Reply`]. `log_down` decides whether a key
    /// that this incarnation issued may be won while the log is unavailable.
    pub fn claim(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        key: RequestKey,
        body_hash: u64,
        log_down: LogDownPolicy,
        requester: T,
    ) {
        if let Some(refusal) = self.check_key(&key, unix_ms) {
            return self.reply(requester, refusal);
        }
        if let Some(state) = self.ledger.get(&key) {
            return self.reply(requester, ClaimResult::Lost(state));
        }
        self.last_attempt += 1;
        let claim_id = ClaimId { incarnation: self.incarnation, attempt: self.last_attempt };
        let claim = Entry::Claim(Claim {
            key: key.clone(),
            incarnation: claim_id.incarnation,
            attempt: claim_id.attempt,
            body_hash,
        });
        if !self.is_caught_up || !self.is_reachable {
            return self.claim_without_log(now_ms, key, claim, log_down, claim_id, requester);
        }
        let deadline_ms = now_ms + self.settings.settle_timeout_ms;
        self.pending_claims.insert(claim_id, PendingClaim { key, deadline_ms, requester });
        self.enqueue(now_ms, claim);
        self.flush(now_ms);
    }

    /// Returns why a key may not be claimed, regardless of the ledger; `None` if it
    /// may be.
    pub fn check_key(&self, key: &RequestKey, unix_ms: u64) -> Option<ClaimResult> {
        match self.policy.key_age(key.key, unix_ms, self.complete_since_unix_ms) {
            KeyAge::Recent => {}
            KeyAge::TooOld => return Some(ClaimResult::HistoryUnknown),
            KeyAge::Invalid => return Some(ClaimResult::Invalid),
        }
        // While the log is down, an incarnation may dispatch a request without a claim
        // in the log if it issued the request's key. So the log doesn't show whether a
        // request ran if another incarnation issued its key, or if this one dispatched
        // it while the log was down.
        let is_foreign = KeyPolicy::is_issued_by(key.key, self.incarnation) == Some(false);
        (is_foreign || self.unlogged_keys.contains(key)).then_some(ClaimResult::HistoryUnknown)
    }

    /// Records the outcome of a request whose claim was won; `NotRun` releases the
    /// key for other claims.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        key: RequestKey,
        claim_id: ClaimId,
        verdict: Verdict,
        answer: Option<Answer>,
    ) {
        if verdict == Verdict::NotRun {
            self.unlogged_keys.remove(&key);
        }
        let ClaimId { incarnation, attempt } = claim_id;
        self.enqueue(
            now_ms,
            Entry::Outcome(Outcome { key, incarnation, attempt, verdict, answer }),
        );
        self.flush(now_ms);
    }

    /// Records that the log could not be read; the next successful read clears this.
    pub fn read_failed(&mut self) {
        self.is_reachable = false;
    }

    /// Applies a batch that was read from the log and replies to claims in it.
    ///
    /// Records that were applied before are ignored.
    pub fn apply_batch(&mut self, now_ms: u64, unix_ms: u64, batch: &DecodedBatch) {
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

    /// Records the result of the last [`Output::Append`].
    ///
    /// If the record was not appended, its pending claims are abandoned. Unless the
    /// append succeeded, its entries are queued again, without abandoned claims.
    pub fn append_finished(&mut self, now_ms: u64, result: AppendResult) {
        let Some(entries) = self.in_flight_entries.take() else { return };
        if let AppendResult::NotAppended(reason) = &result {
            for claim_id in entries.iter().filter_map(claim_id_of) {
                self.abandon_claim(claim_id, reason);
            }
        }
        if result != AppendResult::Appended {
            self.requeue(entries);
        }
        self.flush(now_ms);
    }

    /// Abandons claims whose deadline has passed and starts an append that is due.
    pub fn tick(&mut self, now_ms: u64) {
        let expired = self.pending_claims.iter().filter(|(_, p)| now_ms >= p.deadline_ms);
        let expired: Vec<ClaimId> = expired.map(|(claim_id, _)| *claim_id).collect();
        for claim_id in expired {
            self.abandon_claim(claim_id, "the log did not settle the claim in time");
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
        log_down: LogDownPolicy,
        claim_id: ClaimId,
        requester: T,
    ) {
        let is_own = KeyPolicy::is_issued_by(key.key, self.incarnation) == Some(true);
        if log_down == LogDownPolicy::Refuse || !is_own {
            return self
                .reply(requester, ClaimResult::LogDown("the log cannot be reached".to_owned()));
        }
        // The claim is appended once the log is back, so that lookups find the key.
        self.unlogged_keys.insert(key);
        self.won_claims.insert(claim_id);
        self.enqueue(now_ms, claim);
        self.reply(requester, ClaimResult::Won { claim_id, fence: 0 });
    }

    fn enqueue(&mut self, now_ms: u64, entry: Entry) {
        if self.queued_entries.is_empty() {
            self.queued_since_ms = now_ms;
        }
        self.queued_claim_count += usize::from(matches!(entry, Entry::Claim(_)));
        self.queued_entries.push_back(entry);
    }

    /// Starts an append of the queued entries unless one is in flight.
    ///
    /// Claims wait only for the interval between appends; outcomes alone also wait
    /// for the outcome delay.
    fn flush(&mut self, now_ms: u64) {
        if self.queued_entries.is_empty() || self.in_flight_entries.is_some() {
            return;
        }
        let WriterSettings { interval_ms, outcome_delay_ms, batching, .. } = self.settings;
        if self.last_append_ms.is_some_and(|at| now_ms < at + interval_ms) {
            return;
        }
        let delay = if batching { outcome_delay_ms } else { 0 };
        if self.queued_claim_count == 0 && now_ms < self.queued_since_ms + delay {
            return;
        }
        let count = if batching { self.queued_entries.len() } else { 1 };
        let entries: Vec<Entry> = self.queued_entries.drain(..count).collect();
        self.queued_claim_count -= entries.iter().filter(|e| matches!(e, Entry::Claim(_))).count();
        self.last_append_ms = Some(now_ms);
        self.in_flight_entries = Some(entries.clone());
        self.outputs.push_back(Output::Append(entries));
    }

    /// Queues the entries of a failed append again, in their order and before newer
    /// ones. An entry may then be in the log twice, which never allows a second
    /// dispatch.
    fn requeue(&mut self, entries: Vec<Entry>) {
        for entry in entries.into_iter().rev() {
            if self.is_abandoned_claim(&entry) {
                continue;
            }
            self.queued_claim_count += usize::from(matches!(entry, Entry::Claim(_)));
            self.queued_entries.push_front(entry);
        }
    }

    /// Returns whether an entry is a claim for which no requester waits and whose
    /// key was not won while the log was down.
    fn is_abandoned_claim(&self, entry: &Entry) -> bool {
        let Entry::Claim(claim) = entry else { return false };
        let claim_id = ClaimId::of_claim(claim);
        !self.pending_claims.contains_key(&claim_id) && !self.unlogged_keys.contains(&claim.key)
    }

    /// Moves past records that the log dropped before they were read.
    ///
    /// Keys that may have been claimed before the first remaining record count as too
    /// old, and all pending claims are abandoned: a dropped record may have decided
    /// them.
    fn skip_dropped_records(&mut self, batch: &DecodedBatch, unix_ms: u64) {
        self.next_offset = batch.oldest;
        let first = batch.records.first().map_or(unix_ms, |r| r.at_unix_ms);
        self.complete_since_unix_ms = self.complete_since_unix_ms.max(first);
        let pending: Vec<ClaimId> = self.pending_claims.keys().copied().collect();
        for claim_id in pending {
            self.abandon_claim(claim_id, "records of the log were dropped before they were read");
        }
    }

    /// Handles an entry that was just read from the log: replies to the requester of
    /// a pending claim, releases an abandoned claim, and forgets a won claim whose
    /// outcome was read.
    fn resolve_claim(&mut self, now_ms: u64, entry: &Entry, offset: u64) {
        if let Entry::Outcome(outcome) = entry {
            self.won_claims.remove(&ClaimId::of_outcome(outcome));
        }
        let Entry::Claim(claim) = entry else { return };
        let claim_id = ClaimId::of_claim(claim);
        let Some(pending) = self.pending_claims.remove(&claim_id) else {
            return self.release_abandoned_claim(now_ms, claim, claim_id);
        };
        let result = match self.ledger.get(&pending.key) {
            Some(state) if state.claim_id() != claim_id => ClaimResult::Lost(state),
            _ => {
                self.won_claims.insert(claim_id);
                ClaimResult::Won { claim_id, fence: offset }
            }
        };
        self.reply(pending.requester, result);
    }

    /// Releases the key of an own claim that was abandoned before it was read,
    /// because nobody will dispatch under that claim.
    ///
    /// A claim is in the log twice if the response to its append was lost. The
    /// second copy must not release a claim that won.
    fn release_abandoned_claim(&mut self, now_ms: u64, claim: &Claim, claim_id: ClaimId) {
        let is_open = self.ledger.is_open(&claim.key, claim_id);
        let is_own = claim_id.incarnation == self.incarnation;
        if is_open && is_own && !self.won_claims.contains(&claim_id) {
            self.record_outcome(now_ms, claim.key.clone(), claim_id, Verdict::NotRun, None);
        }
    }

    fn abandon_claim(&mut self, claim_id: ClaimId, reason: &str) {
        if let Some(pending) = self.pending_claims.remove(&claim_id) {
            self.reply(pending.requester, ClaimResult::LogDown(reason.to_owned()));
        }
    }
}

fn claim_id_of(entry: &Entry) -> Option<ClaimId> {
    match entry {
        Entry::Claim(claim) => Some(ClaimId::of_claim(claim)),
        _ => None,
    }
}
