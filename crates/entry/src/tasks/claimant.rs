//! Runs the claim writer, which appends claims and outcomes to the claims stream of the platform's
//! log and reads them back, so that a request with an idempotency key is dispatched at most once.
//!
//! See [at most once](../../../../docs/claims.md) for why the protocol is correct.

use std::{rc::Rc, time::Duration};

use baobabvane_claims::{
    AppendResult, ClaimId, ClaimResult, DecodedBatch, DecodedRecord, KeyPolicy, KeyState, Output,
    Writer, WriterSettings,
};
use baobabvane_domain::{Answer, Entry, Incarnation, LogDownPolicy, RequestKey, Uuid, Verdict};
use baobabvane_log::{AppendError, Batch, LogClient, Stream};
use baobabvane_tasks::Mailbox;
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::{Instant, sleep, timeout};
use serde::Serialize;

use crate::{
    clock::unix_ms,
    settings::Settings,
    tasks::record::{decode, encode, follow},
};

/// The writer's timers are checked after this time without a message, while entries or claims
/// are pending.
const BUSY_TICK: Duration = Duration::from_millis(1);
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Pause after a failed append before the writer may append again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The largest body of an answer that is stored in the log for replay, in bytes.
pub(crate) const MAX_STORED_ANSWER_BYTES: usize = 4096;

/// Claims an idempotency key, that is, the right to dispatch the request with that key.
pub(crate) struct ClaimRequest {
    pub(crate) key: RequestKey,
    pub(crate) body_hash: u64,
    pub(crate) log_down: LogDownPolicy,
    pub(crate) reply: oneshot::Sender<ClaimResult>,
}

/// The outcome of a request whose claim was won.
pub(crate) struct ClaimOutcome {
    pub(crate) key: RequestKey,
    /// The claim that was won, from [`ClaimResult::Won`].
    pub(crate) claim_id: ClaimId,
    pub(crate) verdict: Verdict,
    pub(crate) answer: Option<Answer>,
}

/// A message to the task; `IssueKey` requests a new idempotency key, issued by this incarnation.
pub(crate) enum ToClaimant {
    Claim(ClaimRequest),
    RecordOutcome(ClaimOutcome),
    Lookup { keys: Vec<RequestKey>, reply: oneshot::Sender<KeyLookup> },
    FinishLookup { keys: Vec<RequestKey>, batch: Option<Batch>, reply: oneshot::Sender<KeyLookup> },
    IssueKey(oneshot::Sender<Uuid>),
    Status(oneshot::Sender<ClaimStatus>),
    Read(Batch),
    ReadFailed,
    AppendFinished(AppendResult),
}

/// The result of looking up keys without claiming them.
///
/// An idempotency key is looked up as several [`RequestKey`]s, one for each kind of request that
/// it may have been used for.
#[derive(Clone, Debug)]
pub(crate) enum KeyLookup {
    /// One of the keys was claimed.
    Found(KeyState),
    /// No instance had claimed any of the keys by the end of the log at the time of the lookup.
    Unclaimed,
    /// Whether one of the keys was claimed is not known: the log could not be read to its end, or
    /// a key without a claim in the log is too old, invalid, issued by another incarnation or was
    /// won while the log was down.
    Unknown,
}

/// The state of the claims, as the operators' interface reports it.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ClaimStatus {
    pub(crate) log_reachable: bool,
    /// Whether the last successful read reached the end of the log.
    pub(crate) caught_up: bool,
    /// Number of keys in memory.
    pub(crate) keys: usize,
    /// Claims of this instance that were not read back from the log yet.
    pub(crate) unsettled: usize,
    /// Entries that are queued or whose append is not confirmed.
    pub(crate) unsent: usize,
}

/// A claim whose result was not sent yet.
///
/// The key is kept to record the outcome `NotRun` if the claim is won after the request was
/// dropped.
struct PendingClaim {
    key: RequestKey,
    reply: oneshot::Sender<ClaimResult>,
}

struct Claimant {
    log: LogClient,
    mailbox: Mailbox<ToClaimant>,
    writer: Writer<PendingClaim>,
    started_at: Instant,
}

/// Starts the task and the reader of the claims stream.
pub(crate) fn spawn(
    log: LogClient,
    settings: &Rc<Settings>,
    incarnation: Incarnation,
) -> Mailbox<ToClaimant> {
    let (mailbox, rx) = Mailbox::new();
    let policy = KeyPolicy { max_age_ms: settings.key_max_age_ms, ..KeyPolicy::default() };
    let writer_settings =
        WriterSettings { interval_ms: settings.claim_interval_ms, ..WriterSettings::default() };
    let claimant = Claimant {
        log: log.clone(),
        mailbox: mailbox.clone(),
        writer: Writer::new(incarnation, policy, writer_settings),
        started_at: Instant::now(),
    };
    let read_mailbox = mailbox.clone();
    monoio::spawn(follow(log, Stream::Claims, move |read| {
        read_mailbox.send(read.map_or(ToClaimant::ReadFailed, ToClaimant::Read));
    }));
    monoio::spawn(claimant.run(rx));
    mailbox
}

impl Claimant {
    async fn run(mut self, mut rx: unbounded::Rx<ToClaimant>) {
        loop {
            let wait = if self.writer.needs_tick() { BUSY_TICK } else { IDLE_TICK };
            match timeout(wait, rx.recv()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(_) => self.writer.tick(self.now_ms()),
            }
            self.run_outputs();
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn handle_message(&mut self, message: ToClaimant) {
        let now_ms = self.now_ms();
        match message {
            ToClaimant::Claim(ClaimRequest { key, body_hash, log_down, reply }) => {
                let claim = PendingClaim { key: key.clone(), reply };
                self.writer.claim(now_ms, unix_ms(), key, body_hash, log_down, claim);
            }
            ToClaimant::RecordOutcome(ClaimOutcome { key, claim_id, verdict, answer }) => {
                self.writer.record_outcome(now_ms, key, claim_id, verdict, answer);
            }
            ToClaimant::Lookup { keys, reply } => self.start_lookup(keys, reply),
            ToClaimant::FinishLookup { keys, batch, reply } => {
                self.finish_lookup(&keys, batch.as_ref(), reply);
            }
            ToClaimant::IssueKey(reply) => {
                let _ = reply.send(self.writer.issue_key(unix_ms()));
            }
            ToClaimant::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ToClaimant::Read(batch) => self.apply_batch(&batch),
            ToClaimant::ReadFailed => self.writer.read_failed(),
            ToClaimant::AppendFinished(result) => self.writer.append_finished(now_ms, result),
        }
    }

    fn run_outputs(&mut self) {
        while let Some(output) = self.writer.next_output() {
            match output {
                Output::Append(entries) => self.append(&entries),
                Output::Reply(claim, result) => self.reply(claim, result),
            }
        }
    }

    fn append(&self, entries: &[Entry]) {
        metrics::counter!("baobabvane_log_appends_total", "stream" => "claims").increment(1);
        metrics::counter!("baobabvane_log_entries_total", "stream" => "claims")
            .increment(entries.len() as u64);
        let (log, mailbox, data) = (self.log.clone(), self.mailbox.clone(), encode(entries));
        monoio::spawn(async move {
            let result = match log.append(Stream::Claims, data).await {
                Ok(_) => AppendResult::Appended,
                Err(e) => {
                    log::warn!("event=append_failed stream=claims error={:?}", e.to_string());
                    sleep(RETRY_PAUSE).await;
                    match e {
                        AppendError::NotAppended(why) => AppendResult::NotAppended(why),
                        AppendError::Indeterminate(_) => AppendResult::Indeterminate,
                    }
                }
            };
            mailbox.send(ToClaimant::AppendFinished(result));
        });
    }

    fn reply(&mut self, claim: PendingClaim, result: ClaimResult) {
        let Err(ClaimResult::Won { claim_id, .. }) = claim.reply.send(result) else { return };
        // The receiver was dropped before the result was sent, so the request was not dispatched.
        self.writer.record_outcome(self.now_ms(), claim.key, claim_id, Verdict::NotRun, None);
    }

    fn apply_batch(&mut self, batch: &Batch) {
        let to_read_record = |r: &baobabvane_log::LogRecord| DecodedRecord {
            offset: r.offset,
            at_unix_ms: r.at_ms,
            entries: decode(&r.data),
        };
        let records = batch.records.iter().map(to_read_record).collect();
        let batch = DecodedBatch { records, oldest: batch.oldest, end: batch.end };
        self.writer.apply_batch(self.now_ms(), unix_ms(), &batch);
    }

    /// Looks up keys and replies with the state of the first one that was claimed.
    ///
    /// If none was, reads the log once more before replying, because another instance may have
    /// claimed one since the last read.
    fn start_lookup(&mut self, keys: Vec<RequestKey>, reply: oneshot::Sender<KeyLookup>) {
        if let Some(state) = self.find_state(&keys) {
            let _ = reply.send(KeyLookup::Found(state));
            return;
        }
        let (log, mailbox, next) =
            (self.log.clone(), self.mailbox.clone(), self.writer.next_offset());
        monoio::spawn(async move {
            let batch = log.read(Stream::Claims, next, Duration::ZERO).await.ok();
            mailbox.send(ToClaimant::FinishLookup { keys, batch, reply });
        });
    }

    /// Replies to a lookup after the log was read for it; `batch` is `None` if that failed.
    fn finish_lookup(
        &mut self,
        keys: &[RequestKey],
        batch: Option<&Batch>,
        reply: oneshot::Sender<KeyLookup>,
    ) {
        let has_reached_end = batch.is_some_and(|batch| {
            self.apply_batch(batch);
            self.writer.next_offset() >= batch.end
        });
        let now = unix_ms();
        let result = match self.find_state(keys) {
            Some(state) => KeyLookup::Found(state),
            None if has_reached_end
                && keys.iter().all(|key| self.writer.check_key(key, now).is_none()) =>
            {
                KeyLookup::Unclaimed
            }
            None => KeyLookup::Unknown,
        };
        let _ = reply.send(result);
    }

    fn find_state(&self, keys: &[RequestKey]) -> Option<KeyState> {
        keys.iter().find_map(|key| self.writer.get(key))
    }

    fn status(&self) -> ClaimStatus {
        ClaimStatus {
            log_reachable: self.writer.is_reachable(),
            caught_up: self.writer.is_caught_up(),
            keys: self.writer.key_count(),
            unsettled: self.writer.pending_claim_count(),
            unsent: self.writer.unsent_entry_count(),
        }
    }
}
