//! Instances tell each other what they have in flight, what they admitted, and how
//! new their configuration and their list of endpoints are.
//!
//! Heartbeats are datagrams, authenticated with the fleet's key. An instance that
//! hears of something newer than what it has fetches it from the sender, so that
//! one whose store is out of reach follows the others.

mod beat;
mod roster;
mod sync;

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_decide::EndpointLoad;
use baobabvane_members::SharedKey;
use baobabvane_tasks::Mailbox;
use local_sync::mpsc::unbounded;
use monoio::{
    net::{TcpListener, udp::UdpSocket},
    time::Instant,
};
use serde::{Deserialize, Serialize};

use self::{
    beat::{Beat, News},
    roster::{Received, Roster},
};
use crate::{
    knowledge::Knowledge,
    scheduler::{SchedulerMessage, id_hash},
};

/// How often heartbeats are sent; load that is known this late still helps a choice.
const BEAT: Duration = Duration::from_millis(100);
/// The largest heartbeat that is read, in bytes: some hundred endpoints fit.
const MAX_BEAT_BYTES: usize = 16 * 1024;
/// An instance reaches the store if it did within this part of the bound for news; those
/// that watch the store ask within half of the bound, and heartbeats take their time.
const REACHES_SHARE: f64 = 0.75;
/// An instance that is behind waits this long for the store to tell it the same.
const BEHIND: Duration = Duration::from_millis(50);

/// Instances that there may be, as long as this one has not learned of the others; the
/// largest fleets are a few times larger, and admit too much only for that moment.
pub(crate) const UNJOINED: u32 = 64;
/// The part of the fleet that this instance is until then.
pub(crate) const UNJOINED_SHARE: f64 = 1.0 / UNJOINED as f64;

/// Names an instance: where it listens for others.
pub(crate) type PeerId = SocketAddr;

/// What an instance tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LocalState {
    /// By the endpoint's hash, what is in flight there.
    pub loads: Vec<(u32, EndpointLoad)>,
    /// By the organisation's hash, all units ever admitted.
    pub admitted: Vec<(u32, f64)>,
}

/// What another instance told of itself.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerState {
    /// Which instance it is.
    pub peer: PeerId,
    /// Which start of it.
    pub incarnation: u64,
    /// What it told.
    pub local: LocalState,
}

/// What the task is told.
pub(crate) enum ToPeers {
    /// Other instances may be there.
    Known(Vec<PeerId>),
    /// These are all other instances that ever registered.
    Registered(Vec<PeerId>),
    /// The key that authenticates the fleet's messages.
    Key(SharedKey),
    /// This instance is stopping.
    Leave,
    /// A datagram arrived.
    Datagram(Vec<u8>),
    /// The try to fetch from a peer has ended.
    Fetched,
}

struct Peers {
    socket: Rc<UdpSocket>,
    mailbox: Mailbox<ToPeers>,
    scheduler: Mailbox<SchedulerMessage>,
    knowledge: Rc<Knowledge>,
    key: Option<SharedKey>,
    roster: Roster,
    start: Instant,
    behind_since: Option<Instant>,
    is_fetching: bool,
    heard: (u32, u32),
}

/// Binds the address for other instances and starts the tasks.
///
/// # Errors
///
/// When the address cannot be bound.
pub(crate) fn spawn(
    address: SocketAddr,
    zone: &str,
    news_bound: Duration,
    knowledge: Rc<Knowledge>,
    scheduler: Mailbox<SchedulerMessage>,
) -> io::Result<Mailbox<ToPeers>> {
    let socket = Rc::new(UdpSocket::bind(address)?);
    let listener = TcpListener::bind(address)?;
    let (mailbox, rx) = Mailbox::new();
    let reaches = news_bound.mul_f64(REACHES_SHARE);
    let peers = Peers {
        socket: Rc::clone(&socket),
        mailbox: mailbox.clone(),
        scheduler: scheduler.clone(),
        knowledge: Rc::clone(&knowledge),
        key: None,
        roster: Roster::new(address, id_hash(zone), rand::random(), reaches.as_millis() as u64),
        start: Instant::now(),
        behind_since: None,
        is_fetching: false,
        heard: (1, UNJOINED),
    };
    monoio::spawn(receive(socket, mailbox.clone()));
    monoio::spawn(sync::serve(listener, Rc::clone(&knowledge), scheduler));
    monoio::spawn(peers.run(rx));
    Ok(mailbox)
}

async fn receive(socket: Rc<UdpSocket>, to: Mailbox<ToPeers>) {
    let mut buf = vec![0; MAX_BEAT_BYTES];
    loop {
        let (result, returned) = socket.recv_from(buf).await;
        buf = returned;
        // A datagram to a peer that is gone can come back as an error; go on.
        if let Ok((len, _)) = result {
            to.send(ToPeers::Datagram(buf[..len].to_vec()));
        }
    }
}

impl Peers {
    async fn run(mut self, mut rx: unbounded::Rx<ToPeers>) {
        let mut next_beat = Instant::now();
        loop {
            let wait = next_beat.saturating_duration_since(Instant::now());
            match monoio::time::timeout(wait, rx.recv()).await {
                Ok(Some(ToPeers::Leave)) => {
                    self.roster.leave();
                    self.beat().await;
                }
                Ok(Some(message)) => self.take(message),
                Ok(None) => return,
                Err(_) => {}
            }
            if Instant::now() >= next_beat {
                next_beat = Instant::now() + BEAT;
                self.beat().await;
                self.publish();
                self.catch_up();
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn take(&mut self, message: ToPeers) {
        match message {
            ToPeers::Known(peers) => self.roster.learn(&peers, self.now_ms()),
            ToPeers::Registered(peers) => self.roster.join(&peers, self.now_ms()),
            ToPeers::Key(key) => {
                self.knowledge.set_key(key.clone());
                self.key = Some(key);
            }
            ToPeers::Leave => self.roster.leave(),
            ToPeers::Datagram(bytes) => self.receive(&bytes),
            ToPeers::Fetched => self.is_fetching = false,
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Some(key) = &self.key else { return };
        let beat = match Beat::decode(bytes, key) {
            Ok(beat) => beat,
            Err(e) => {
                metrics::counter!("baobabvane_gateway_datagrams_dropped_total").increment(1);
                log::debug!("event=datagram_dropped error={:?}", e.to_string());
                return;
            }
        };
        let now = self.now_ms();
        if self.roster.receive(&beat, now) != Received::New {
            return;
        }
        if let Some(age) = beat.news.confirmed_age_ms {
            let version = beat.news.versions.configuration;
            self.knowledge.confirmed_by_peer(version, Duration::from_millis(age));
        }
        let state = PeerState { peer: beat.from, incarnation: beat.incarnation, local: beat.local };
        self.scheduler.send(SchedulerMessage::PeerReport(state));
    }

    async fn beat(&mut self) {
        let Some(key) = self.key.clone() else { return };
        let Some(local) = self.scheduler.ask(SchedulerMessage::GetLocalState).await else { return };
        let now = self.now_ms();
        let news = News {
            versions: self.knowledge.versions(),
            confirmed_age_ms: self.knowledge.confirmed_age_ms(),
            reached_age_ms: self.knowledge.reached_age_ms(),
        };
        let (beat, to) = self.roster.next_beat(local, news, now);
        let bytes = beat.encode(&key);
        for peer in to {
            // A lost or refused datagram is made up for by the next one.
            let _ = self.socket.send_to(bytes.clone(), peer).await;
        }
    }

    fn publish(&mut self) {
        let counts = self.roster.counts(self.now_ms());
        self.knowledge.set_rank(self.roster.rank(self.now_ms()), counts.0);
        if counts != self.heard {
            self.heard = counts;
            let (heard, known) = counts;
            log::info!("event=peers_changed heard={heard} known={known}");
            self.scheduler.send(SchedulerMessage::InstanceCounts { reachable: heard, known });
        }
    }

    /// Fetches from a peer what this instance has not learned from its own store in time.
    fn catch_up(&mut self) {
        let versions = self.knowledge.versions();
        let Some(ahead) = self.roster.ahead_of(versions, self.now_ms(), rand::random()) else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert_with(Instant::now);
        if self.is_fetching || since.elapsed() < BEHIND {
            return;
        }
        self.is_fetching = true;
        let (knowledge, to) = (Rc::clone(&self.knowledge), self.mailbox.clone());
        monoio::spawn(async move {
            sync::fetch(ahead, knowledge).await;
            to.send(ToPeers::Fetched);
        });
    }
}
