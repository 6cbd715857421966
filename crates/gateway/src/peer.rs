//! Exchanges state between the instances of a fleet: requests in flight, admitted quota units,
//! and the versions of the configuration and of the endpoint list.
//!
//! Heartbeats are datagrams, authenticated with the fleet's key. The message format is that of
//! `baobabvane_members`; its `Membership`, which needs a configured list of peers, is not used.
//! An instance that learns of a newer version fetches it from a peer that has it, so an
//! instance that cannot reach the store still follows the others.

mod compact;
#[cfg(test)]
mod fleet_tests;
mod heartbeat;
mod roster;
mod sync;
mod updates;

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_decide::{CrashReport, EndpointLoad, EndpointSpeed, Rank, RateLimitReport};
use baobabvane_members::SharedKey;
use baobabvane_rollout::Report;
use baobabvane_tasks::{Mailbox, Turn};
use baobabvane_wire::MemoryBudget;
use local_sync::mpsc::unbounded;
use monoio::{
    net::{TcpListener, udp::UdpSocket},
    time::{Instant, sleep},
};
use serde::{Deserialize, Serialize};

use self::{
    heartbeat::{Freshness, Heartbeat},
    roster::{ReaderLimits, Received, Roster},
};
use crate::{
    knowledge::Knowledge,
    quota::{QuotaRates, QuotaTotals},
    rollouts::RolloutMessage,
    scheduler::{SchedulerMessage, id_hash},
};

/// The time between two heartbeats, short enough that the load they carry is still useful for
/// the choice of an endpoint.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The size of the receive buffer for heartbeats, enough for the load of some hundred endpoints.
const MAX_HEARTBEAT_BYTES: usize = 16 * 1024;
/// An instance counts as reaching the store if its last read is at most this share of the
/// propagation bound old. Watchers (the instances that poll the store for the fleet) poll
/// each topic within half of its own bound; where the bounds of the topics are equal, the rest
/// allows for the delay of heartbeats.
const MAX_STORE_READ_AGE_SHARE: f64 = 0.75;
/// An instance also counts so only if it has been heard, by this instance or another one, within
/// this share of the propagation bound; some heartbeats may be lost or late meanwhile.
const MAX_READER_SILENCE_SHARE: f64 = 0.25;
/// Delay before the next read of the heartbeat socket after a failed one.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(1);
/// How long an instance waits for its own read of the store before it fetches a newer version
/// from a peer.
const FETCH_DELAY: Duration = Duration::from_millis(50);

/// The minimum fleet size to assume until the registered instances are known. The largest
/// fleets are a few times larger, and may exceed their quotas only until then.
pub(crate) const ASSUMED_FLEET_SIZE: u32 = 64;
/// This instance's share of the fleet's quotas until the registered instances are known.
pub(crate) const ASSUMED_FLEET_SHARE: f64 = 1.0 / ASSUMED_FLEET_SIZE as f64;

/// Identifies an instance by the address on which it receives messages of other instances.
pub(crate) type PeerId = SocketAddr;

/// The requests of one tier that wait at an instance for a slot of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WaitingRequests {
    /// The hash of the pool's name.
    pub pool: u32,
    /// The rank of the tier.
    pub rank: Rank,
    /// The number of requests.
    pub count: u32,
}

/// An organisation's use of its quota in the sender's zone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ZoneQuotaUse {
    /// The hash of the organisation's name.
    pub organisation: u32,
    /// The units of the last window.
    pub units: f64,
    /// The present rates; only in interactive configurations.
    pub rates: Option<QuotaRates>,
}

/// The state that an instance reports in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LocalState {
    /// What this instance has in flight at each endpoint, by the hash of the endpoint's id.
    pub loads: Vec<(u32, EndpointLoad)>,
    /// The requests that wait at this instance.
    pub waiting: Vec<WaitingRequests>,
    /// The use of quotas since the start. Only organisations whose totals changed recently are
    /// included.
    pub quota_totals: Vec<QuotaTotals>,
    /// The quota units that the sender's zone used in the last window, by the hash of the
    /// organisation's name. Only organisations that use much of their quota are included.
    pub zone_use: Vec<ZoneQuotaUse>,
    /// What is known of prompt parts that may crash endpoints, also from other instances.
    pub crash_report: CrashReport,
    /// What is known of the rate limits of endpoints, also from other instances.
    pub rate_limits: Vec<RateLimitReport>,
    /// The requests per second that callers lately sent to this instance.
    pub demand_per_s: f32,
    /// What this instance knows of rollouts; empty unless an order is open or has just ended.
    pub rollouts: Vec<Report>,
    /// This instance's samples of the speed of endpoints, for the instances of its zone; those with
    /// new samples, at most a few.
    pub endpoint_speeds: Vec<EndpointSpeed>,
    /// The loads that compact heartbeats tell, one entry for each zone of receivers; of a received
    /// heartbeat, at most one, for this instance's zone. Full heartbeats do not contain them.
    #[serde(skip)]
    pub zone_loads: Vec<ZoneLoads>,
}

/// The loads that an instance reports on behalf of its zone to instances of another one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ZoneLoads {
    /// The hash of the name of the receivers' zone; once received, of the sender's.
    pub zone: u32,
    /// What all of the sender's zone has in flight at endpoints of the receivers' zone, by the hash
    /// of the endpoint's id. Endpoints without load are left out.
    pub theirs: Vec<(u32, EndpointLoad)>,
    /// What all zones but the receivers' have in flight at some of the endpoints of the sender's zone.
    pub ours: Vec<(u32, EndpointLoad)>,
}

/// The state that another instance reported.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerState {
    /// The instance that reported it.
    pub peer: PeerId,
    /// The hash of the name of its availability zone.
    pub zone: u32,
    /// A random number that the instance draws at each start; incarnations have no order.
    pub incarnation: u64,
    /// The time since the store was last read, by that instance or one that it reported, in
    /// milliseconds; `None` if it knows of no read.
    pub store_read_age_ms: Option<u64>,
    /// The reported state.
    pub local: LocalState,
}

/// A command or event for the task that exchanges heartbeats.
pub(crate) enum PeersMessage {
    /// Addresses at which other instances may be listening.
    Seeds(Vec<PeerId>),
    /// The addresses of all instances that ever registered in the store.
    Registered(Vec<PeerId>),
    /// The key that authenticates the fleet's messages; nothing is sent or read without it.
    FleetKey(SharedKey),
    /// This instance is stopping.
    Leave,
    /// A datagram was received.
    Datagram(Vec<u8>),
    /// The fetch from a peer has ended, successfully or not.
    FetchEnded,
}

struct Peers {
    socket: Rc<UdpSocket>,
    mailbox: Mailbox<PeersMessage>,
    scheduler: Mailbox<SchedulerMessage>,
    knowledge: Rc<Knowledge>,
    key: Option<SharedKey>,
    roster: Roster,
    start: Instant,
    behind_since: Option<Instant>,
    is_fetching: bool,
    /// Whether the configuration is interactive, as of the last heartbeat.
    is_interactive: bool,
    /// The numbers of live and of known instances that the scheduler has.
    last_counts: (u32, u32),
    /// Whether the scheduler takes this instance for the controller of rollouts.
    is_controller: bool,
    /// The age up to which a read of the store shows that this instance reaches it.
    max_store_read_age_ms: u64,
    memory: Rc<MemoryBudget>,
}

/// Binds the UDP and TCP sockets for other instances and starts the tasks.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) fn spawn(
    address: SocketAddr,
    zone: &str,
    propagation_bound: Duration,
    knowledge: Rc<Knowledge>,
    scheduler: Mailbox<SchedulerMessage>,
    memory: Rc<MemoryBudget>,
) -> io::Result<Mailbox<PeersMessage>> {
    let socket = Rc::new(UdpSocket::bind(address)?);
    let listener = TcpListener::bind(address)?;
    let (mailbox, rx) = Mailbox::new();
    let share_ms = |share| propagation_bound.mul_f64(share).as_millis() as u64;
    let limits = ReaderLimits {
        max_read_age_ms: share_ms(MAX_STORE_READ_AGE_SHARE),
        max_silence_ms: share_ms(MAX_READER_SILENCE_SHARE),
    };
    let peers = Peers {
        socket: Rc::clone(&socket),
        mailbox: mailbox.clone(),
        scheduler: scheduler.clone(),
        knowledge: Rc::clone(&knowledge),
        key: None,
        roster: Roster::new(address, id_hash(zone), rand::random(), limits),
        start: Instant::now(),
        behind_since: None,
        is_fetching: false,
        is_interactive: false,
        last_counts: (1, ASSUMED_FLEET_SIZE),
        is_controller: false,
        max_store_read_age_ms: limits.max_read_age_ms,
        memory: Rc::clone(&memory),
    };
    monoio::spawn(receive(socket, mailbox.clone()));
    monoio::spawn(sync::serve(listener, Rc::clone(&knowledge), scheduler, memory));
    monoio::spawn(peers.run(rx));
    Ok(mailbox)
}

async fn receive(socket: Rc<UdpSocket>, to: Mailbox<PeersMessage>) {
    let mut buf = vec![0; MAX_HEARTBEAT_BYTES];
    let mut turn = Turn::default();
    loop {
        turn.pause_if_spent().await;
        let (result, returned) = socket.recv_from(buf).await;
        buf = returned;
        match result {
            Ok((len, _)) => {
                turn.spend(len);
                to.send(PeersMessage::Datagram(buf[..len].to_vec()));
            }
            // A previous send to a stopped peer can surface as an error here. The pause prevents a
            // busy loop should the socket itself fail.
            Err(e) => {
                log::debug!("event=receive_failed error={:?}", e.to_string());
                sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}

impl Peers {
    async fn run(mut self, mut rx: unbounded::Rx<PeersMessage>) {
        let mut next_heartbeat_at = Instant::now();
        loop {
            let wake_at =
                self.fetch_due_at().map_or(next_heartbeat_at, |at| at.min(next_heartbeat_at));
            let wait = wake_at.saturating_duration_since(Instant::now());
            match monoio::time::timeout(wait, rx.recv()).await {
                Ok(Some(PeersMessage::Leave)) => {
                    self.roster.leave();
                    self.send_heartbeat().await;
                }
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(_) => {}
            }
            if Instant::now() >= next_heartbeat_at {
                next_heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
                self.send_heartbeat().await;
                self.publish_counts();
                self.catch_up();
            } else if self.is_interactive
                && self.fetch_due_at().is_some_and(|at| at <= Instant::now())
            {
                self.catch_up();
            }
        }
    }

    /// Returns when to fetch a newer version that a peer has. With an interactive configuration, a
    /// fetch does not wait for the next heartbeat, so that updates need not be sent to as many peers.
    fn fetch_due_at(&self) -> Option<Instant> {
        let since = self.behind_since.filter(|_| self.is_interactive && !self.is_fetching)?;
        Some(since + FETCH_DELAY)
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn handle_message(&mut self, message: PeersMessage) {
        match message {
            PeersMessage::Seeds(peers) => self.roster.add_peers(&peers, self.now_ms()),
            PeersMessage::Registered(peers) => {
                self.roster.add_registered_peers(&peers, self.now_ms())
            }
            PeersMessage::FleetKey(key) => {
                self.knowledge.set_key(key.clone());
                self.key = Some(key);
            }
            PeersMessage::Leave => self.roster.leave(),
            PeersMessage::Datagram(bytes) => self.receive(&bytes),
            PeersMessage::FetchEnded => {
                self.is_fetching = false;
                // A peer that is busy is not asked again at once.
                if self.is_interactive && self.behind_since.is_some() {
                    self.behind_since = Some(Instant::now());
                }
            }
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Some(key) = &self.key else { return };
        let heartbeat = match Heartbeat::decode(bytes, key) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                metrics::counter!("baobabvane_gateway_datagrams_dropped_total").increment(1);
                log::debug!("event=datagram_dropped error={:?}", e.to_string());
                return;
            }
        };
        let now = self.now_ms();
        if self.roster.receive(&heartbeat, now) != Received::New {
            return;
        }
        if let Some(age) = heartbeat.freshness.configuration_confirmed_age_ms {
            let version = heartbeat.freshness.versions.configuration;
            self.knowledge.confirm_configuration_from_peer(version, Duration::from_millis(age));
        }
        let versions = heartbeat.freshness.versions;
        if self.is_interactive && versions.is_ahead_of(self.knowledge.versions()) {
            self.behind_since.get_or_insert_with(Instant::now);
        }
        let state = PeerState {
            peer: heartbeat.from,
            zone: heartbeat.zone,
            incarnation: heartbeat.incarnation,
            store_read_age_ms: heartbeat.newest_store_read_age_ms(),
            local: heartbeat.local,
        };
        self.scheduler.send(SchedulerMessage::PeerReport(state));
    }

    async fn send_heartbeat(&mut self) {
        let Some(key) = self.key.clone() else { return };
        let Some(local) = self.scheduler.ask(SchedulerMessage::GetLocalState).await else { return };
        let now = self.now_ms();
        let freshness = Freshness {
            versions: self.knowledge.versions(),
            configuration_confirmed_age_ms: self.knowledge.configuration_confirmed_age_ms(),
            store_read_age_ms: self.knowledge.store_read_age_ms(),
        };
        self.is_interactive = self.knowledge.configuration().is_interactive();
        self.roster.set_interactive(self.is_interactive);
        let (heartbeat, to) = self.roster.next_heartbeat(local, freshness, now);
        let bytes = heartbeat.encode(&key);
        for peer in to.full {
            let scope = if self.roster.is_in_own_zone(peer) { "own_zone" } else { "other_zones" };
            self.send(&bytes, peer, scope).await;
        }
        for zone in to.compact.chunk_by(|a, b| a.zone == b.zone) {
            let bytes = compact::encode(&heartbeat, zone[0].zone, to.has_evidence, &key);
            for receiver in zone {
                self.send(&bytes, receiver.peer, "other_zones").await;
            }
        }
    }

    async fn send(&self, bytes: &[u8], to: PeerId, scope: &'static str) {
        metrics::counter!("baobabvane_gateway_heartbeats_total", "scope" => scope).increment(1);
        metrics::counter!("baobabvane_gateway_heartbeat_bytes_total", "scope" => scope)
            .increment(bytes.len() as u64);
        // The next heartbeat makes up for a datagram that is lost or refused.
        let _ = self.socket.send_to(bytes.to_vec(), to).await;
    }

    fn publish_counts(&mut self) {
        let counts = self.roster.counts(self.now_ms());
        let watcher_rank = self.roster.watcher_rank(self.now_ms());
        self.knowledge.set_watcher_rank_and_live_instances(watcher_rank, counts.0);
        // The order of watchers has this instance in it whether or not it reaches the store.
        let reaches_store =
            self.knowledge.store_read_age_ms().is_some_and(|age| age < self.max_store_read_age_ms);
        let is_controller = watcher_rank == 0 && reaches_store;
        if std::mem::replace(&mut self.is_controller, is_controller) != is_controller {
            let message = RolloutMessage::SetController(is_controller);
            self.scheduler.send(SchedulerMessage::Rollout(message));
        }
        let senders = self.roster.senders(self.now_ms());
        self.scheduler.send(SchedulerMessage::SendersChanged(senders));
        if counts != self.last_counts {
            self.last_counts = counts;
            let (live, known) = counts;
            log::info!("event=peers_changed heard={live} known={known}");
            self.scheduler.send(SchedulerMessage::InstanceCounts { live, known });
        }
    }

    /// Fetches newer versions from a peer if this instance has not read them from the store
    /// within [`FETCH_DELAY`].
    fn catch_up(&mut self) {
        let versions = self.knowledge.versions();
        let is_behind = self.roster.has_newer_configuration(versions, self.now_ms());
        let behind_since = self.knowledge.behind_since.get().filter(|_| is_behind);
        self.knowledge.behind_since.set(behind_since.or(is_behind.then(Instant::now)));
        let Some(ahead) = self.roster.random_peer_ahead_of(versions, self.now_ms(), rand::random())
        else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert_with(Instant::now);
        if self.is_fetching || since.elapsed() < FETCH_DELAY {
            return;
        }
        self.is_fetching = true;
        let (knowledge, to) = (Rc::clone(&self.knowledge), self.mailbox.clone());
        let memory = Rc::clone(&self.memory);
        monoio::spawn(async move {
            sync::fetch(ahead, knowledge, memory).await;
            to.send(PeersMessage::FetchEnded);
        });
    }
}
