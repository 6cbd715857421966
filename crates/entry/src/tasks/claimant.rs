//! The task that owns the ledger, writes claims and settles them by reading.
//!
//! See [at most once](../../../../docs/claims.md) for why this keeps the promise.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use baobabvane_claims::{KeyAge, KeyPolicy, KeyState, Ledger, Owner, issue_key};
use baobabvane_domain::{
    Answer, Claim, Entry, Incarnation, LogDown, Outcome, RequestKey, Uuid, Verdict,
};
use baobabvane_platform::{AppendError, Batch, LogClient, Stream};
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::{Instant, sleep, timeout};
use serde::Serialize;

use crate::{
    clock::unix_ms,
    message::Mailbox,
    settings::Settings,
    tasks::configurator::{decode, encode},
};

const READ_WAIT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(10);
/// An outcome waits this long for a claim to share an append with.
const OUTCOME_DELAY: Duration = Duration::from_millis(50);
/// A claim that has not been read back after this time is given up.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest answer that is kept in the log, in bytes.
pub(crate) const MAX_KEPT_ANSWER_BYTES: usize = 4096;

/// What a claim came to.
#[derive(Clone, Debug)]
pub(crate) enum Claimed {
    /// The caller of the claim may dispatch; the fence is the claim's offset.
    Won { owner: Owner, fence: u64 },
    /// Another request with the key came first.
    Lost(KeyState),
    /// Claims of the key may have been dropped from the log.
    TooOld,
    /// The key does not say when it was issued.
    Invalid,
    /// The log cannot be used now; the key was not claimed, or was released.
    LogDown(String),
}

/// What the claimant is told.
pub(crate) enum ToClaimant {
    Claim { key: RequestKey, body_hash: u64, log_down: LogDown, reply: oneshot::Sender<Claimed> },
    End { key: RequestKey, owner: Owner, verdict: Verdict, answer: Option<Answer> },
    Lookup { keys: Vec<RequestKey>, reply: oneshot::Sender<Looked> },
    LookedAgain { keys: Vec<RequestKey>, batch: Option<Batch>, reply: oneshot::Sender<Looked> },
    Status(oneshot::Sender<ClaimStatus>),
    Issue(oneshot::Sender<Uuid>),
    Read(Batch),
    ReadFailed,
    Appended(Sent, Result<u64, AppendError>),
}

/// What the log says of a key, for those who only want to know.
#[derive(Clone, Debug)]
pub(crate) enum Looked {
    /// The key was claimed.
    Found(KeyState),
    /// Nobody had claimed the key when it was looked up.
    Unclaimed,
    /// The log cannot tell now, or not any more.
    Unknown,
}

/// How the claims stand, for the operators.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ClaimStatus {
    pub(crate) log_reachable: bool,
    pub(crate) caught_up: bool,
    pub(crate) keys: usize,
    pub(crate) unsettled: usize,
}

/// A batch on its way to the log.
pub(crate) struct Sent {
    entries: Vec<Entry>,
}

/// A claim that is not settled.
struct Pending {
    body_hash: u64,
    deadline: Instant,
    reply: Option<oneshot::Sender<Claimed>>,
}

struct Claimant {
    log: LogClient,
    incarnation: Incarnation,
    policy: KeyPolicy,
    interval: Duration,
    mailbox: Mailbox<ToClaimant>,
    ledger: Ledger,
    /// Since when the ledger knows every claim, in milliseconds since the Unix epoch.
    known_since_ms: u64,
    next: u64,
    caught_up: bool,
    reachable: bool,
    attempts: u64,
    serial: u64,
    pending: HashMap<Owner, (RequestKey, Pending)>,
    /// Keys that this incarnation dispatched without a claim, while the log was down.
    unlogged: HashSet<RequestKey>,
    outbox: Vec<Entry>,
    claims_in_outbox: bool,
    outbox_since: Instant,
    appending: bool,
    appended_at: Option<Instant>,
}

/// Starts the task.
pub(crate) fn spawn(
    log: LogClient,
    settings: &Rc<Settings>,
    incarnation: Incarnation,
) -> Mailbox<ToClaimant> {
    let (mailbox, rx) = Mailbox::new();
    let claimant = Claimant {
        log: log.clone(),
        incarnation,
        policy: KeyPolicy { max_age_ms: settings.key_max_age_ms, ..KeyPolicy::default() },
        interval: Duration::from_millis(settings.claim_interval_ms),
        mailbox: mailbox.clone(),
        ledger: Ledger::default(),
        known_since_ms: 0,
        next: 1,
        caught_up: false,
        reachable: false,
        attempts: 0,
        serial: 0,
        pending: HashMap::new(),
        unlogged: HashSet::new(),
        outbox: Vec::new(),
        claims_in_outbox: false,
        outbox_since: Instant::now(),
        appending: false,
        appended_at: None,
    };
    monoio::spawn(follow(log, mailbox.clone()));
    monoio::spawn(claimant.run(rx));
    mailbox
}

async fn follow(log: LogClient, to: Mailbox<ToClaimant>) {
    let mut next = 1;
    let mut wait = Duration::ZERO;
    loop {
        match log.read(Stream::Claims, next, wait).await {
            Ok(batch) => {
                next = batch.next.max(batch.oldest);
                wait = if next < batch.end { Duration::ZERO } else { READ_WAIT };
                to.send(ToClaimant::Read(batch));
            }
            Err(_) => {
                to.send(ToClaimant::ReadFailed);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

impl Claimant {
    async fn run(mut self, mut rx: unbounded::Rx<ToClaimant>) {
        loop {
            let busy = !self.outbox.is_empty() || !self.pending.is_empty();
            let wait = if busy { TICK } else { READ_WAIT };
            match timeout(wait, rx.recv()).await {
                Ok(Some(message)) => self.take(message),
                Ok(None) => return,
                Err(_) => {}
            }
            self.give_up_unsettled();
            self.flush();
        }
    }

    fn take(&mut self, message: ToClaimant) {
        match message {
            ToClaimant::Claim { key, body_hash, log_down, reply } => {
                self.claim(key, body_hash, log_down, reply);
            }
            ToClaimant::End { key, owner, verdict, answer } => {
                self.end(key, owner, verdict, answer);
            }
            ToClaimant::Lookup { keys, reply } => self.look_up(keys, reply),
            ToClaimant::LookedAgain { keys, batch, reply } => {
                self.looked_again(&keys, batch.as_ref(), reply);
            }
            ToClaimant::Status(reply) => {
                let _ = reply.send(ClaimStatus {
                    log_reachable: self.reachable,
                    caught_up: self.caught_up,
                    keys: self.ledger.len(),
                    unsettled: self.pending.len(),
                });
            }
            ToClaimant::Issue(reply) => {
                self.serial += 1;
                let _ = reply.send(issue_key(self.incarnation, unix_ms(), self.serial));
            }
            ToClaimant::Read(batch) => self.read(&batch),
            ToClaimant::ReadFailed => self.reachable = false,
            ToClaimant::Appended(sent, result) => self.appended(sent, result),
        }
    }

    fn claim(
        &mut self,
        key: RequestKey,
        body_hash: u64,
        log_down: LogDown,
        reply: oneshot::Sender<Claimed>,
    ) {
        if let Some(refused) = self.judge(&key) {
            let _ = reply.send(refused);
            return;
        }
        if let Some(state) = self.ledger.get(&key) {
            let _ = reply.send(Claimed::Lost(state.clone()));
            return;
        }
        self.attempts += 1;
        let owner = Owner { incarnation: self.incarnation, attempt: self.attempts };
        if !self.caught_up || !self.reachable {
            let _ = reply.send(self.claim_without_log(key, body_hash, log_down, owner));
            return;
        }
        let claim = Claim {
            key: key.clone(),
            incarnation: self.incarnation,
            attempt: owner.attempt,
            body_hash,
        };
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        self.pending.insert(owner, (key, Pending { body_hash, deadline, reply: Some(reply) }));
        self.post(Entry::Claim(claim));
        self.claims_in_outbox = true;
    }

    /// Looks a key up; one that is not found is looked up again after a fresh
    /// read, as another instance may have claimed it a moment ago.
    fn look_up(&mut self, keys: Vec<RequestKey>, reply: oneshot::Sender<Looked>) {
        if let Some(state) = self.find(&keys) {
            let _ = reply.send(Looked::Found(state));
            return;
        }
        let (log, mailbox, next) = (self.log.clone(), self.mailbox.clone(), self.next);
        monoio::spawn(async move {
            let batch = log.read(Stream::Claims, next, Duration::ZERO).await.ok();
            mailbox.send(ToClaimant::LookedAgain { keys, batch, reply });
        });
    }

    fn looked_again(
        &mut self,
        keys: &[RequestKey],
        batch: Option<&Batch>,
        reply: oneshot::Sender<Looked>,
    ) {
        let is_fresh = batch.is_some_and(|batch| {
            self.read(batch);
            self.next >= batch.end
        });
        let looked = match self.find(keys) {
            Some(state) => Looked::Found(state),
            None if is_fresh && keys.iter().all(|key| self.judge(key).is_none()) => {
                Looked::Unclaimed
            }
            None => Looked::Unknown,
        };
        let _ = reply.send(looked);
    }

    fn find(&self, keys: &[RequestKey]) -> Option<KeyState> {
        keys.iter().find_map(|key| self.ledger.get(key)).cloned()
    }

    fn judge(&self, key: &RequestKey) -> Option<Claimed> {
        match self.policy.judge(key.key, unix_ms(), self.known_since_ms) {
            KeyAge::Known => {}
            KeyAge::TooOld => return Some(Claimed::TooOld),
            KeyAge::Invalid => return Some(Claimed::Invalid),
        }
        // The issuer may have dispatched such a key without a word in the log.
        let foreign = KeyPolicy::is_issued_by(key.key, self.incarnation) == Some(false);
        let ran_unlogged = self.unlogged.contains(key);
        (foreign || ran_unlogged).then_some(Claimed::TooOld)
    }

    fn claim_without_log(
        &mut self,
        key: RequestKey,
        body_hash: u64,
        log_down: LogDown,
        owner: Owner,
    ) -> Claimed {
        let own = KeyPolicy::is_issued_by(key.key, self.incarnation) == Some(true);
        if log_down == LogDown::Refuse || !own {
            return Claimed::LogDown("the log cannot be reached".to_owned());
        }
        // Written once the log is back, for those who look the key up.
        self.post(Entry::Claim(Claim {
            key: key.clone(),
            incarnation: self.incarnation,
            attempt: owner.attempt,
            body_hash,
        }));
        self.unlogged.insert(key);
        Claimed::Won { owner, fence: 0 }
    }

    fn end(&mut self, key: RequestKey, owner: Owner, verdict: Verdict, answer: Option<Answer>) {
        if verdict == Verdict::NotRun {
            self.unlogged.remove(&key);
        }
        let Owner { incarnation, attempt } = owner;
        self.post(Entry::Outcome(Outcome { key, incarnation, attempt, verdict, answer }));
    }

    fn post(&mut self, entry: Entry) {
        if self.outbox.is_empty() {
            self.outbox_since = Instant::now();
        }
        self.outbox.push(entry);
    }

    /// Appends what has gathered: claims at once, outcomes soon.
    fn flush(&mut self) {
        if self.outbox.is_empty() || self.appending {
            return;
        }
        let now = Instant::now();
        if self.appended_at.is_some_and(|at| now < at + self.interval) {
            return;
        }
        if !self.claims_in_outbox && now < self.outbox_since + OUTCOME_DELAY {
            return;
        }
        self.appending = true;
        self.claims_in_outbox = false;
        self.appended_at = Some(now);
        let entries = std::mem::take(&mut self.outbox);
        metrics::counter!("baobabvane_log_appends_total", "stream" => "claims").increment(1);
        metrics::counter!("baobabvane_log_entries_total", "stream" => "claims")
            .increment(entries.len() as u64);
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        monoio::spawn(async move {
            let result = log.append(Stream::Claims, encode(&entries)).await;
            if result.is_err() {
                sleep(RETRY_PAUSE).await;
            }
            mailbox.send(ToClaimant::Appended(Sent { entries }, result));
        });
    }

    fn appended(&mut self, sent: Sent, result: Result<u64, AppendError>) {
        self.appending = false;
        let Err(error) = result else { return };
        log::warn!("event=append_failed stream=claims error={:?}", error.to_string());
        if let AppendError::NotAppended(why) = &error {
            self.give_up_claims(&sent.entries, why);
        }
        // Applying an entry twice changes nothing, so that all can be sent again.
        let mut again = sent.entries;
        again.retain(|entry| !self.is_given_up(entry));
        again.append(&mut self.outbox);
        self.claims_in_outbox = again.iter().any(|e| matches!(e, Entry::Claim(_)));
        self.outbox = again;
    }

    /// Refuses at once what is certainly not in the log.
    fn give_up_claims(&mut self, entries: &[Entry], why: &str) {
        for entry in entries {
            if let Entry::Claim(claim) = entry {
                let owner = Owner { incarnation: claim.incarnation, attempt: claim.attempt };
                self.give_up(owner, why);
            }
        }
    }

    /// Says whether nobody waits for a claim any more.
    fn is_given_up(&self, entry: &Entry) -> bool {
        let Entry::Claim(claim) = entry else { return false };
        let owner = Owner { incarnation: claim.incarnation, attempt: claim.attempt };
        !self.pending.contains_key(&owner) && !self.unlogged.contains(&claim.key)
    }

    fn read(&mut self, batch: &Batch) {
        self.reachable = true;
        if batch.oldest > self.next {
            self.note_gap(batch);
        }
        let unread = self.next;
        for record in batch.records.iter().filter(|r| r.offset >= unread) {
            self.next = record.offset + 1;
            for entry in decode(&record.data) {
                self.ledger.apply(&entry);
                self.settle(&entry, record.offset);
            }
        }
        self.caught_up = self.next >= batch.end;
        let forget =
            unix_ms().saturating_sub(self.policy.max_age_ms + 2 * self.policy.max_ahead_ms);
        self.ledger.forget_before(forget);
    }

    /// Notes that the log dropped records that were not read.
    fn note_gap(&mut self, batch: &Batch) {
        self.next = batch.oldest;
        let first = batch.records.first().map_or_else(unix_ms, |r| r.at_ms);
        self.known_since_ms = self.known_since_ms.max(first);
        log::warn!("event=claims_gap known_since_ms={first}");
        let pending: Vec<Owner> = self.pending.keys().copied().collect();
        for owner in pending {
            self.give_up(owner, "records of the log were dropped before they were read");
        }
    }

    /// Tells the claim's caller who won, once the log says so.
    fn settle(&mut self, entry: &Entry, offset: u64) {
        let Entry::Claim(claim) = entry else { return };
        let owner = Owner { incarnation: claim.incarnation, attempt: claim.attempt };
        let won = self.ledger.get(&claim.key).map(KeyState::owner) == Some(owner);
        let Some((key, pending)) = self.pending.remove(&owner) else {
            if won && owner.incarnation == self.incarnation && !self.unlogged.contains(&claim.key) {
                // Given up before it was read; nobody will dispatch under it.
                self.end(claim.key.clone(), owner, Verdict::NotRun, None);
            }
            return;
        };
        let Some(reply) = pending.reply else { return };
        let answer = match self.ledger.get(&key) {
            Some(state) if state.owner() != owner => Claimed::Lost(state.clone()),
            _ => Claimed::Won { owner, fence: offset },
        };
        debug_assert_eq!(pending.body_hash, claim.body_hash);
        if reply.send(answer).is_err() && won {
            self.end(key, owner, Verdict::NotRun, None);
        }
    }

    fn give_up_unsettled(&mut self) {
        let now = Instant::now();
        let late: Vec<Owner> = self
            .pending
            .iter()
            .filter(|(_, (_, p))| now >= p.deadline)
            .map(|(owner, _)| *owner)
            .collect();
        for owner in late {
            self.give_up(owner, "the log did not settle the claim in time");
        }
    }

    fn give_up(&mut self, owner: Owner, why: &str) {
        let Some((_, mut pending)) = self.pending.remove(&owner) else { return };
        if let Some(reply) = pending.reply.take() {
            let _ = reply.send(Claimed::LogDown(why.to_owned()));
        }
    }
}
