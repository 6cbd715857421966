//! The task that drives the claim writer against the platform's log.
//!
//! See [at most once](../../../../docs/claims.md) for why this keeps the promise.

use std::{rc::Rc, time::Duration};

use baobabvane_claims::{
    AppendResult, ClaimResult, KeyPolicy, KeyState, Output, Owner, ReadBatch, ReadRecord, Writer,
    WriterSettings,
};
use baobabvane_domain::{Answer, Entry, Incarnation, LogDown, RequestKey, Uuid, Verdict};
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

/// How often the writer is told that time has passed.
const TICK: Duration = Duration::from_millis(1);
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Pause after an append that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The largest answer that is kept in the log, in bytes.
pub(crate) const MAX_KEPT_ANSWER_BYTES: usize = 4096;

/// A request that asks to be the one that dispatches a key.
pub(crate) struct Ask {
    pub(crate) key: RequestKey,
    pub(crate) body_hash: u64,
    pub(crate) log_down: LogDown,
    pub(crate) reply: oneshot::Sender<ClaimResult>,
}

/// How a request that was won ended.
pub(crate) struct Ended {
    pub(crate) key: RequestKey,
    pub(crate) owner: Owner,
    pub(crate) verdict: Verdict,
    pub(crate) answer: Option<Answer>,
}

/// What the claimant is told.
pub(crate) enum ToClaimant {
    Claim(Ask),
    End(Ended),
    Lookup { keys: Vec<RequestKey>, reply: oneshot::Sender<Looked> },
    LookedAgain { keys: Vec<RequestKey>, batch: Option<Batch>, reply: oneshot::Sender<Looked> },
    Issue(oneshot::Sender<Uuid>),
    Status(oneshot::Sender<ClaimStatus>),
    Read(Batch),
    ReadFailed,
    Appended(AppendResult),
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
    /// Entries that are not known to be in the log.
    pub(crate) unsent: usize,
}

/// Who asked, and for what; the key is needed when the asker has gone away.
struct Asker {
    key: RequestKey,
    reply: oneshot::Sender<ClaimResult>,
}

struct Claimant {
    log: LogClient,
    mailbox: Mailbox<ToClaimant>,
    writer: Writer<Asker>,
    start: Instant,
}

/// Starts the task.
pub(crate) fn spawn(
    log: LogClient,
    settings: &Rc<Settings>,
    incarnation: Incarnation,
) -> Mailbox<ToClaimant> {
    let (mailbox, rx) = Mailbox::new();
    let policy = KeyPolicy { max_age_ms: settings.key_max_age_ms, ..KeyPolicy::default() };
    let pace =
        WriterSettings { interval_ms: settings.claim_interval_ms, ..WriterSettings::default() };
    let claimant = Claimant {
        log: log.clone(),
        mailbox: mailbox.clone(),
        writer: Writer::new(incarnation, policy, pace),
        start: Instant::now(),
    };
    let to = mailbox.clone();
    monoio::spawn(follow(log, Stream::Claims, move |read| {
        to.send(read.map_or(ToClaimant::ReadFailed, ToClaimant::Read));
    }));
    monoio::spawn(claimant.run(rx));
    mailbox
}

impl Claimant {
    async fn run(mut self, mut rx: unbounded::Rx<ToClaimant>) {
        loop {
            let wait = if self.writer.needs_tick() { TICK } else { IDLE_TICK };
            match timeout(wait, rx.recv()).await {
                Ok(Some(message)) => self.take(message),
                Ok(None) => return,
                Err(_) => self.writer.tick(self.now_ms()),
            }
            self.perform();
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn take(&mut self, message: ToClaimant) {
        let now_ms = self.now_ms();
        match message {
            ToClaimant::Claim(Ask { key, body_hash, log_down, reply }) => {
                let asker = Asker { key: key.clone(), reply };
                self.writer.claim(now_ms, unix_ms(), key, body_hash, log_down, asker);
            }
            ToClaimant::End(Ended { key, owner, verdict, answer }) => {
                self.writer.record_outcome(now_ms, key, owner, verdict, answer);
            }
            ToClaimant::Lookup { keys, reply } => self.look_up(keys, reply),
            ToClaimant::LookedAgain { keys, batch, reply } => {
                self.looked_again(&keys, batch.as_ref(), reply);
            }
            ToClaimant::Issue(reply) => {
                let _ = reply.send(self.writer.issue_key(unix_ms()));
            }
            ToClaimant::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ToClaimant::Read(batch) => self.read(&batch),
            ToClaimant::ReadFailed => self.writer.read_failed(),
            ToClaimant::Appended(end) => self.writer.append_finished(now_ms, end),
        }
    }

    fn perform(&mut self) {
        while let Some(output) = self.writer.next_output() {
            match output {
                Output::Append(entries) => self.append(&entries),
                Output::Reply(asker, claimed) => self.reply(asker, claimed),
            }
        }
    }

    fn append(&self, entries: &[Entry]) {
        metrics::counter!("baobabvane_log_appends_total", "stream" => "claims").increment(1);
        metrics::counter!("baobabvane_log_entries_total", "stream" => "claims")
            .increment(entries.len() as u64);
        let (log, mailbox, data) = (self.log.clone(), self.mailbox.clone(), encode(entries));
        monoio::spawn(async move {
            let end = match log.append(Stream::Claims, data).await {
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
            mailbox.send(ToClaimant::Appended(end));
        });
    }

    fn reply(&mut self, asker: Asker, claimed: ClaimResult) {
        let Err(ClaimResult::Won { owner, .. }) = asker.reply.send(claimed) else { return };
        // The asker went away before it could dispatch.
        self.writer.record_outcome(self.now_ms(), asker.key, owner, Verdict::NotRun, None);
    }

    fn read(&mut self, batch: &Batch) {
        let record = |r: &baobabvane_log::LogRecord| ReadRecord {
            offset: r.offset,
            at_unix_ms: r.at_ms,
            entries: decode(&r.data),
        };
        let records = batch.records.iter().map(record).collect();
        let batch = ReadBatch { records, oldest: batch.oldest, end: batch.end };
        self.writer.apply_batch(self.now_ms(), unix_ms(), &batch);
    }

    /// Looks a key up; one that is not found is looked up again after a fresh
    /// read, as another instance may have claimed it a moment ago.
    fn look_up(&mut self, keys: Vec<RequestKey>, reply: oneshot::Sender<Looked>) {
        if let Some(state) = self.find(&keys) {
            let _ = reply.send(Looked::Found(state));
            return;
        }
        let (log, mailbox, next) =
            (self.log.clone(), self.mailbox.clone(), self.writer.next_offset());
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
            self.writer.next_offset() >= batch.end
        });
        let now = unix_ms();
        let looked = match self.find(keys) {
            Some(state) => Looked::Found(state),
            None if is_fresh
                && keys.iter().all(|key| self.writer.check_key(key, now).is_none()) =>
            {
                Looked::Unclaimed
            }
            None => Looked::Unknown,
        };
        let _ = reply.send(looked);
    }

    fn find(&self, keys: &[RequestKey]) -> Option<KeyState> {
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
