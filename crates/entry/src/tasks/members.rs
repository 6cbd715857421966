//! Runs the membership protocol on a UDP socket and sends the roster of live instances to the
//! scheduler when it changes.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_members::{DatagramCounts, Membership, Peer, Roster, SharedKey};
use baobabvane_tasks::{Mailbox, Turn};
use local_sync::{mpsc::unbounded, oneshot};
use monoio::{net::udp::UdpSocket, time::Instant};

use crate::{clock::unix_ms, settings::Settings, tasks::scheduler::ToScheduler};

/// The largest datagram that is read in full, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// The longest time between two checks for due heartbeats and roster changes.
const TICK: Duration = Duration::from_millis(50);

pub(crate) enum ToMembers {
    DatagramReceived(Vec<u8>),
    /// Marks this instance as stopping in its heartbeats.
    Leave,
    Status(oneshot::Sender<MemberStatus>),
}

/// The state of the membership, as the operators' interface reports it.
#[derive(Clone, Debug)]
pub(crate) struct MemberStatus {
    pub(crate) roster: Rc<Roster>,
    pub(crate) counts: DatagramCounts,
}

struct Members {
    membership: Membership,
    socket: Rc<UdpSocket>,
    scheduler: Mailbox<ToScheduler>,
    roster: Rc<Roster>,
    started_at: Instant,
}

/// Binds the socket and starts the task.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) fn spawn(
    settings: &Settings,
    address: SocketAddr,
    key: SharedKey,
    scheduler: Mailbox<ToScheduler>,
) -> io::Result<Mailbox<ToMembers>> {
    let socket = Rc::new(UdpSocket::bind(address)?);
    let own = Peer { name: settings.name.clone(), zone: settings.zone.clone(), address };
    let peers = settings.peers.iter().map(|p| Peer {
        name: p.name.clone(),
        zone: p.zone.clone(),
        address: p.address,
    });
    let membership = Membership::new(own, peers, unix_ms(), key, rand::random());
    let (mailbox, rx) = Mailbox::new();
    let members = Members {
        membership,
        socket: Rc::clone(&socket),
        scheduler,
        roster: Rc::default(),
        started_at: Instant::now(),
    };
    monoio::spawn(receive(socket, mailbox.clone()));
    monoio::spawn(members.run(rx));
    Ok(mailbox)
}

async fn receive(socket: Rc<UdpSocket>, mailbox: Mailbox<ToMembers>) {
    let mut turn = Turn::default();
    loop {
        turn.pause_if_spent().await;
        let (result, buf) = socket.recv_from(vec![0; MAX_DATAGRAM_BYTES]).await;
        turn.spend(*result.as_ref().map_or(&0, |(len, _)| len));
        // A datagram to a stopped peer can make a later receive fail; such errors are ignored.
        if let Ok((len, _)) = result {
            mailbox.send(ToMembers::DatagramReceived(buf[..len].to_vec()));
        }
    }
}

impl Members {
    async fn run(mut self, mut rx: unbounded::Rx<ToMembers>) {
        loop {
            match monoio::time::timeout(TICK, rx.recv()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(_) => {}
            }
            self.send_heartbeats().await;
            self.publish_roster();
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn handle_message(&mut self, message: ToMembers) {
        match message {
            ToMembers::DatagramReceived(bytes) => {
                let now_ms = self.now_ms();
                if let Err(e) = self.membership.receive(now_ms, &bytes) {
                    log::debug!("event=datagram_dropped error={:?}", e.to_string());
                    metrics::counter!("baobabvane_datagrams_dropped_total").increment(1);
                }
            }
            ToMembers::Leave => self.membership.leave(),
            ToMembers::Status(reply) => {
                let roster = Rc::clone(&self.roster);
                let _ = reply.send(MemberStatus { roster, counts: self.membership.counts() });
            }
        }
    }

    async fn send_heartbeats(&mut self) {
        for datagram in self.membership.tick(self.now_ms()) {
            let _ = self.socket.send_to(datagram.bytes, datagram.to).await;
        }
    }

    fn publish_roster(&mut self) {
        let roster = self.membership.roster(self.now_ms());
        if roster == *self.roster {
            return;
        }
        let names: Vec<&str> = roster.members().map(|m| m.name.as_str()).collect();
        log::info!("event=members_changed live={}", names.join(","));
        self.roster = Rc::new(roster);
        self.scheduler.send(ToScheduler::Roster(Rc::clone(&self.roster)));
    }
}
