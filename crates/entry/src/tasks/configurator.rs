//! The task that follows the log's configuration stream and owns the replica.

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
    view::{Published, View},
};

/// Pause before an append that the log refused is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How often those who wait are looked at.
const TICK: Duration = Duration::from_millis(20);
/// A change that has not been read back after this time is unsettled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A change is answered as pending when a zone is missing after this time.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);

/// What became of a proposed change.
#[derive(Clone, Debug)]
pub(crate) enum Proposed {
    /// In the log and in force here; the zones that are missing.
    Applied { version: u64, zones_missing: Vec<String> },
    /// Refused, with the reason.
    Refused(ChangeError),
    /// The log did not take it.
    NotAppended(String),
    /// It may be in the log now or soon.
    Unsettled(String),
}

/// What the configurator is told.
pub(crate) enum ToConfigurator {
    Propose(Change, oneshot::Sender<Proposed>),
    Audit(oneshot::Sender<Vec<AuditEntry>>),
    Status(oneshot::Sender<ConfigStatus>),
    Read(Batch),
    Progress(Batch),
    ReadFailed,
    Appended(Uuid, Result<u64, AppendError>),
}

/// How far the configuration is, for the operators.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct ConfigStatus {
    pub(crate) has_state: bool,
    pub(crate) version: u64,
    pub(crate) next: u64,
    pub(crate) log_reachable: bool,
    pub(crate) instances: Vec<InstanceStatus>,
}

/// An instance as the log shows it.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct InstanceStatus {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) in_force: Option<u64>,
}

/// Somebody who waits for a change.
struct Waiter {
    id: Uuid,
    version: Option<u64>,
    deadline: Instant,
    reply: Option<oneshot::Sender<Proposed>>,
}

struct Configurator {
    log: LogClient,
    settings: Rc<Settings>,
    replica: Replica,
    published: Published,
    scheduler: Mailbox<ToScheduler>,
    mailbox: Mailbox<ToConfigurator>,
    waiters: Vec<Waiter>,
    reported: u64,
    log_reachable: bool,
    /// When the last snapshot was taken by the log, in milliseconds since the epoch.
    snapshot_unix_ms: u64,
    ready: Rc<std::cell::Cell<bool>>,
}

/// Starts the task; `ready` is set once the configuration is known.
pub(crate) fn spawn(
    log: LogClient,
    settings: Rc<Settings>,
    published: Published,
    scheduler: Mailbox<ToScheduler>,
    ready: Rc<std::cell::Cell<bool>>,
) -> Mailbox<ToConfigurator> {
    let (mailbox, rx) = Mailbox::new();
    let configurator = Configurator {
        log: log.clone(),
        settings,
        replica: Replica::new(),
        published,
        scheduler,
        mailbox: mailbox.clone(),
        waiters: Vec::new(),
        reported: 0,
        log_reachable: false,
        snapshot_unix_ms: unix_ms(),
        ready,
    };
    let progress_log = log.clone();
    let to = mailbox.clone();
    monoio::spawn(follow(log, Stream::Config, move |read| {
        to.send(read.map_or(ToConfigurator::ReadFailed, ToConfigurator::Read));
    }));
    let to = mailbox.clone();
    monoio::spawn(follow(progress_log, Stream::Progress, move |read| {
        if let Some(batch) = read {
            to.send(ToConfigurator::Progress(batch));
        }
    }));
    monoio::spawn(configurator.run(rx));
    mailbox
}

impl Configurator {
    async fn run(mut self, mut rx: unbounded::Rx<ToConfigurator>) {
        loop {
            match monoio::time::timeout(TICK, rx.recv()).await {
                Ok(Some(message)) => self.take(message),
                Ok(None) => return,
                Err(_) => {}
            }
            self.answer_waiters();
            self.append_snapshot();
        }
    }

    fn take(&mut self, message: ToConfigurator) {
        match message {
            ToConfigurator::Propose(change, reply) => self.propose(change, reply),
            ToConfigurator::Audit(reply) => {
                let _ = reply.send(self.replica.audit().iter().cloned().collect());
            }
            ToConfigurator::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ToConfigurator::Read(batch) => self.read(&batch),
            ToConfigurator::Progress(batch) => {
                for record in &batch.records {
                    self.replica.apply_progress(&decode(&record.data));
                }
            }
            ToConfigurator::ReadFailed => {
                if self.log_reachable {
                    log::warn!("event=log_unreachable");
                }
                self.log_reachable = false;
            }
            ToConfigurator::Appended(id, result) => self.appended(id, result),
        }
    }

    fn propose(&mut self, change: Change, reply: oneshot::Sender<Proposed>) {
        // What is refused now would be refused in the log, too.
        if let Err(e) = self.replica.catalog().check(&change) {
            let _ = reply.send(Proposed::Refused(e));
            return;
        }
        let id = change.id;
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        self.waiters.push(Waiter { id, version: None, deadline, reply: Some(reply) });
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        let data = encode(&[Entry::Change(change)]);
        monoio::spawn(async move {
            let result = log.append(Stream::Config, data).await;
            mailbox.send(ToConfigurator::Appended(id, result));
        });
    }

    fn appended(&mut self, id: Uuid, result: Result<u64, AppendError>) {
        // An unsettled append is settled by reading the log, or by the waiter's deadline.
        let Err(AppendError::NotAppended(error)) = result else { return };
        for waiter in self.waiters.iter_mut().filter(|w| w.id == id) {
            if let Some(reply) = waiter.reply.take() {
                let _ = reply.send(Proposed::NotAppended(error.clone()));
            }
        }
    }

    fn read(&mut self, batch: &Batch) {
        self.log_reachable = true;
        self.replica.skip_to(batch.oldest);
        let mut changed = false;
        for record in &batch.records {
            changed |= self.replica.apply(record.offset, &decode(&record.data)).changed;
            if self.replica.last_snapshot_offset() == record.offset {
                self.snapshot_unix_ms = record.at_ms;
            }
        }
        let caught_up = self.replica.next_offset() >= batch.end;
        if changed || (caught_up && !self.ready.get()) {
            self.publish();
        }
        if caught_up && self.replica.has_state() {
            self.ready.set(true);
            self.report();
        }
    }

    fn publish(&mut self) {
        let view = Rc::new(View::new(self.replica.catalog(), self.replica.last_change_offset()));
        log::info!("event=configuration_in_force version={}", view.version);
        metrics::gauge!("baobabvane_configuration_version").set(view.version as f64);
        self.published.set(Rc::clone(&view));
        self.scheduler.send(ToScheduler::Configure(view));
    }

    /// Tells the fleet that the configuration is in force here.
    fn report(&mut self) {
        let offset = self.replica.last_change_offset();
        if offset <= self.reported {
            return;
        }
        self.reported = offset;
        let entry = Entry::InForce(InForce {
            instance: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            offset,
        });
        self.append_until_taken(Stream::Progress, encode(&[entry]));
    }

    /// Appends the configuration again before the log drops its records.
    fn append_snapshot(&mut self) {
        let next = self.replica.next_offset();
        let now = unix_ms();
        let is_due = now > self.snapshot_unix_ms + self.snapshot_interval_ms();
        if !is_due || !self.replica.has_state() || !self.log_reachable || next == 1 {
            return;
        }
        self.snapshot_unix_ms = now;
        let catalog = self.replica.catalog().clone();
        let entry = Entry::Snapshot(Snapshot { as_of: next - 1, catalog });
        self.append_until_taken(Stream::Config, encode(&[entry]));
    }

    /// Returns this instance's interval; instances differ by up to a half, so that
    /// mostly one of them appends.
    fn snapshot_interval_ms(&self) -> u64 {
        let usual = self.settings.snapshot_interval_ms;
        let hash = blake3::hash(self.settings.name.as_bytes());
        usual + usual * u64::from(hash.as_bytes()[0]) / 512
    }

    /// Appends a record that may stand twice in the log without harm.
    fn append_until_taken(&self, stream: Stream, data: String) {
        let log = self.log.clone();
        monoio::spawn(async move {
            while let Err(AppendError::NotAppended(_)) = log.append(stream, data.clone()).await {
                sleep(RETRY_PAUSE).await;
            }
        });
    }

    fn answer_waiters(&mut self) {
        let now = Instant::now();
        let mut waiters = std::mem::take(&mut self.waiters);
        waiters.retain_mut(|waiter| {
            if let Some(answer) = self.answer_for(waiter, now)
                && let Some(reply) = waiter.reply.take()
            {
                let _ = reply.send(answer);
            }
            waiter.reply.is_some()
        });
        self.waiters = waiters;
    }

    fn answer_for(&self, waiter: &mut Waiter, now: Instant) -> Option<Proposed> {
        if waiter.version.is_none() {
            match self.replica.change_result(waiter.id) {
                Some(Err(e)) => return Some(Proposed::Refused(e.clone())),
                Some(Ok(version)) => {
                    waiter.version = Some(*version);
                    waiter.deadline = now + IN_FORCE_TIMEOUT;
                }
                None if now >= waiter.deadline => {
                    let error = "the change was not read back from the log".to_owned();
                    return Some(Proposed::Unsettled(error));
                }
                None => {}
            }
        }
        let version = waiter.version?;
        let zones_missing: Vec<String> =
            self.replica.zones_missing(version, self.instances()).into_iter().collect();
        let done = zones_missing.is_empty() || now >= waiter.deadline;
        done.then_some(Proposed::Applied { version, zones_missing })
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
            log_reachable: self.log_reachable,
            instances: self.instances().map(instance).collect(),
        }
    }
}

/// Makes a change that an operator proposes now.
pub(crate) fn new_change(
    who: String,
    name: baobabvane_domain::ResourceName,
    expected_version: Option<u64>,
    operation: baobabvane_domain::Operation,
) -> Change {
    Change { id: Uuid::new_v4(), who, at_ms: unix_ms(), name, expected_version, operation }
}
