//! Follows the configuration and progress streams of the log and builds this instance's replica of
//! the configuration from them.
//!
//! Proposed changes are appended to the log and confirmed only after they were read back from
//! it, so that all instances apply the same changes in the same order.

use std::{rc::Rc, time::Duration};

use baobabvane_domain::{Change, ChangeError, Entry, InForce, Snapshot, Uuid};
use baobabvane_log::{AppendError, Batch, LogClient, Stream};
use baobabvane_replica::{AuditEntry, Replica};
use baobabvane_tasks::Mailbox;
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::{Instant, sleep};

use crate::{
    clock::unix_ms,
    settings::Settings,
    tasks::{
        record::{decode, encode, follow},
        scheduler::ToScheduler,
    },
    view::{CurrentView, View},
};

/// Pause before the retry of an append that did not store its record.
const APPEND_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The longest time between two checks of the pending changes and the age of the snapshot.
const TICK: Duration = Duration::from_millis(20);
/// How long a change may take to be read back before it is reported as
/// [`ProposalOutcome::Unsettled`].
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the reply to an accepted change waits until the change is in force in all
/// availability zones; after that, the reply lists the zones that are missing.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of a proposed change.
#[derive(Clone, Debug)]
pub(crate) enum ProposalOutcome {
    /// The change is in force on this instance; `zones_missing` lists the zones where at least
    /// one instance has not confirmed it yet.
    Applied { version: u64, zones_missing: Vec<String> },
    /// The change conflicts with the configuration or is invalid.
    Refused(ChangeError),
    /// The record did not reach the log and will not appear in it later.
    NotAppended(String),
    /// The change was not read back in time; it may still appear in the log.
    Unsettled(String),
}

pub(crate) enum ToConfigurator {
    Propose(Change, oneshot::Sender<ProposalOutcome>),
    Audit(oneshot::Sender<Vec<AuditEntry>>),
    Status(oneshot::Sender<ConfigStatus>),
    ConfigRead(Batch),
    ProgressRead(Batch),
    ConfigReadFailed,
    AppendFinished(Uuid, Result<u64, AppendError>),
}

/// The state of the configuration, as the operators' interface reports it.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct ConfigStatus {
    /// Whether the configuration is known; it is not while a snapshot is missing after records were
    /// dropped from the log unread.
    pub(crate) has_state: bool,
    /// The version in force on this instance; see [`View::version`].
    pub(crate) version: u64,
    /// Offset of the next record to read from the configuration stream.
    pub(crate) next: u64,
    pub(crate) log_reachable: bool,
    pub(crate) instances: Vec<InstanceStatus>,
}

/// The last version of the configuration that an instance confirmed in the progress stream.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct InstanceStatus {
    pub(crate) name: String,
    pub(crate) zone: String,
    /// The confirmed version; `None` if the instance has confirmed none.
    pub(crate) in_force: Option<u64>,
}

/// A proposed change whose result was not sent yet.
struct PendingChange {
    id: Uuid,
    /// The change's offset in the log; `None` until the change was read back and accepted.
    version: Option<u64>,
    /// When the wait ends, at first for the change to be read back, then for it to be in force in
    /// all zones.
    deadline: Instant,
    reply: Option<oneshot::Sender<ProposalOutcome>>,
}

struct Configurator {
    log: LogClient,
    settings: Rc<Settings>,
    replica: Replica,
    published: CurrentView,
    scheduler: Mailbox<ToScheduler>,
    mailbox: Mailbox<ToConfigurator>,
    pending_changes: Vec<PendingChange>,
    reported_offset: u64,
    is_log_reachable: bool,
    /// When the last snapshot by any instance was stored in the log or this instance last started
    /// to append one, in milliseconds since the Unix epoch; at first when the task started.
    last_snapshot_unix_ms: u64,
    is_ready: Rc<std::cell::Cell<bool>>,
}

/// Starts the task and the readers of both streams.
///
/// Sets `is_ready` once the log was read to its end and the configuration is known.
pub(crate) fn spawn(
    log: LogClient,
    settings: Rc<Settings>,
    published: CurrentView,
    scheduler: Mailbox<ToScheduler>,
    is_ready: Rc<std::cell::Cell<bool>>,
) -> Mailbox<ToConfigurator> {
    let (mailbox, rx) = Mailbox::new();
    let configurator = Configurator {
        log: log.clone(),
        settings,
        replica: Replica::new(),
        published,
        scheduler,
        mailbox: mailbox.clone(),
        pending_changes: Vec::new(),
        reported_offset: 0,
        is_log_reachable: false,
        last_snapshot_unix_ms: unix_ms(),
        is_ready,
    };
    let progress_log = log.clone();
    let config_mailbox = mailbox.clone();
    monoio::spawn(follow(log, Stream::Config, move |read| {
        config_mailbox
            .send(read.map_or(ToConfigurator::ConfigReadFailed, ToConfigurator::ConfigRead));
    }));
    let progress_mailbox = mailbox.clone();
    monoio::spawn(follow(progress_log, Stream::Progress, move |read| {
        if let Some(batch) = read {
            progress_mailbox.send(ToConfigurator::ProgressRead(batch));
        }
    }));
    monoio::spawn(configurator.run(rx));
    mailbox
}

impl Configurator {
    async fn run(mut self, mut rx: unbounded::Rx<ToConfigurator>) {
        loop {
            match monoio::time::timeout(TICK, rx.recv()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(_) => {}
            }
            self.reply_to_pending_changes();
            self.append_snapshot();
        }
    }

    fn handle_message(&mut self, message: ToConfigurator) {
        match message {
            ToConfigurator::Propose(change, reply) => self.propose(change, reply),
            ToConfigurator::Audit(reply) => {
                let _ = reply.send(self.replica.audit().iter().cloned().collect());
            }
            ToConfigurator::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ToConfigurator::ConfigRead(batch) => self.apply_batch(&batch),
            ToConfigurator::ProgressRead(batch) => {
                for record in &batch.records {
                    self.replica.apply_progress(&decode(&record.data));
                }
            }
            ToConfigurator::ConfigReadFailed => {
                if self.is_log_reachable {
                    log::warn!("event=log_unreachable");
                }
                self.is_log_reachable = false;
            }
            ToConfigurator::AppendFinished(id, result) => self.handle_append_result(id, result),
        }
    }

    fn propose(&mut self, change: Change, reply: oneshot::Sender<ProposalOutcome>) {
        // A change that does not fit the current configuration is refused without an append. All
        // others are checked again when they are read back.
        if let Err(e) = self.replica.catalog().check(&change) {
            let _ = reply.send(ProposalOutcome::Refused(e));
            return;
        }
        let id = change.id;
        let deadline = Instant::now() + READ_BACK_TIMEOUT;
        self.pending_changes.push(PendingChange {
            id,
            version: None,
            deadline,
            reply: Some(reply),
        });
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        let data = encode(&[Entry::Change(change)]);
        monoio::spawn(async move {
            let result = log.append(Stream::Config, data).await;
            mailbox.send(ToConfigurator::AppendFinished(id, result));
        });
    }

    fn handle_append_result(&mut self, id: Uuid, result: Result<u64, AppendError>) {
        // After any other result, the reply follows when the change is read back, or at its
        // deadline.
        let Err(AppendError::NotAppended(error)) = result else { return };
        for pending in self.pending_changes.iter_mut().filter(|p| p.id == id) {
            if let Some(reply) = pending.reply.take() {
                let _ = reply.send(ProposalOutcome::NotAppended(error.clone()));
            }
        }
    }

    fn apply_batch(&mut self, batch: &Batch) {
        self.is_log_reachable = true;
        self.replica.skip_to(batch.oldest);
        let mut has_changed = false;
        for record in &batch.records {
            has_changed |= self.replica.apply(record.offset, &decode(&record.data)).changed;
            if self.replica.last_snapshot_offset() == record.offset {
                self.last_snapshot_unix_ms = record.at_ms;
            }
        }
        let is_caught_up = self.replica.next_offset() >= batch.end;
        if has_changed || (is_caught_up && !self.is_ready.get()) {
            self.publish();
        }
        if is_caught_up && self.replica.has_state() {
            self.is_ready.set(true);
            self.report_in_force();
        }
    }

    fn publish(&mut self) {
        let view = Rc::new(View::new(self.replica.catalog(), self.replica.last_change_offset()));
        log::info!("event=configuration_in_force version={}", view.version);
        metrics::gauge!("baobabvane_configuration_version").set(view.version as f64);
        self.published.set(Rc::clone(&view));
        self.scheduler.send(ToScheduler::Configure(view));
    }

    /// Appends to the progress stream the offset of the configuration in force on this instance.
    fn report_in_force(&mut self) {
        let offset = self.replica.last_change_offset();
        if offset <= self.reported_offset {
            return;
        }
        self.reported_offset = offset;
        let entry = Entry::InForce(InForce {
            instance: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            offset,
        });
        self.append_with_retries(Stream::Progress, encode(&[entry]));
    }

    /// Appends a snapshot of the configuration if one is due. Instances restore the configuration
    /// from it after the log's retention has dropped the records that it was built from.
    fn append_snapshot(&mut self) {
        let next = self.replica.next_offset();
        let now_ms = unix_ms();
        // `next` is 1 until a record was read.
        let is_due = now_ms > self.last_snapshot_unix_ms + self.snapshot_interval_ms();
        if !is_due || !self.replica.has_state() || !self.is_log_reachable || next == 1 {
            return;
        }
        self.last_snapshot_unix_ms = now_ms;
        let catalog = self.replica.catalog().clone();
        let entry = Entry::Snapshot(Snapshot { as_of: next - 1, catalog });
        self.append_with_retries(Stream::Config, encode(&[entry]));
    }

    /// Returns this instance's interval between snapshots, in milliseconds.
    ///
    /// It exceeds the configured interval by up to a half, depending on the instance's name. The
    /// instance with the shortest interval usually appends a snapshot first; the others read it and
    /// wait for another interval.
    fn snapshot_interval_ms(&self) -> u64 {
        let base_ms = self.settings.snapshot_interval_ms;
        let hash = blake3::hash(self.settings.name.as_bytes());
        base_ms + base_ms * u64::from(hash.as_bytes()[0]) / 512
    }

    /// Appends a record and retries while the append does not store it. An append whose result is
    /// unknown is not retried. The record must be idempotent, that is, applying it twice must have
    /// the same effect as applying it once.
    fn append_with_retries(&self, stream: Stream, data: String) {
        let log = self.log.clone();
        monoio::spawn(async move {
            while let Err(AppendError::NotAppended(_)) = log.append(stream, data.clone()).await {
                sleep(APPEND_RETRY_PAUSE).await;
            }
        });
    }

    fn reply_to_pending_changes(&mut self) {
        let now = Instant::now();
        let mut pending_changes = std::mem::take(&mut self.pending_changes);
        pending_changes.retain_mut(|pending| {
            if let Some(outcome) = self.poll_outcome(pending, now)
                && let Some(reply) = pending.reply.take()
            {
                let _ = reply.send(outcome);
            }
            pending.reply.is_some()
        });
        self.pending_changes = pending_changes;
    }

    /// Returns the outcome of a change; `None` while it is pending.
    ///
    /// Sets the version of a change that was read back, and its deadline for being in force.
    fn poll_outcome(&self, pending: &mut PendingChange, now: Instant) -> Option<ProposalOutcome> {
        if pending.version.is_none() {
            match self.replica.change_result(pending.id) {
                Some(Err(e)) => return Some(ProposalOutcome::Refused(e.clone())),
                Some(Ok(version)) => {
                    pending.version = Some(*version);
                    pending.deadline = now + IN_FORCE_TIMEOUT;
                }
                None if now >= pending.deadline => {
                    let error = "the change was not read back from the log".to_owned();
                    return Some(ProposalOutcome::Unsettled(error));
                }
                None => {}
            }
        }
        let version = pending.version?;
        let zones_missing: Vec<String> =
            self.replica.zones_missing(version, self.instances()).into_iter().collect();
        let is_done = zones_missing.is_empty() || now >= pending.deadline;
        is_done.then_some(ProposalOutcome::Applied { version, zones_missing })
    }

    fn instances(&self) -> impl Iterator<Item = (&str, &str)> {
        let own = (self.settings.name.as_str(), self.settings.zone.as_str());
        let peers = self.settings.peers.iter().map(|p| (p.name.as_str(), p.zone.as_str()));
        std::iter::once(own).chain(peers)
    }

    fn status(&self) -> ConfigStatus {
        let instance = |(name, zone): (&str, &str)| InstanceStatus {
            name: name.to_owned(),
            zone: zone.to_owned(),
            in_force: self.replica.progress(name),
        };
        ConfigStatus {
            has_state: self.replica.has_state(),
            version: self.replica.last_change_offset(),
            next: self.replica.next_offset(),
            log_reachable: self.is_log_reachable,
            instances: self.instances().map(instance).collect(),
        }
    }
}

/// Creates a change by an operator, with a random id and the current time.
pub(crate) fn new_change(
    who: String,
    name: baobabvane_domain::ResourceName,
    expected_version: Option<u64>,
    operation: baobabvane_domain::Operation,
) -> Change {
    Change { id: Uuid::new_v4(), who, at_ms: unix_ms(), name, expected_version, operation }
}
