//! Asks another instance's scheduler.

use std::{net::SocketAddr, time::Duration};

use baobabvane_members::SharedKey;
use baobabvane_tasks::Mailbox;
use local_sync::mpsc::unbounded;
use monoio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    peer::{
        frames::{FrameError, FrameReader, FrameWriter, Side, handshake},
        message::{PeerAsk, PeerReply},
    },
    tasks::scheduler::ToScheduler,
};

/// How long connecting and the handshake may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// A scheduler that answers no ping for this long is taken for gone.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);

/// Starts the task that owns the connection to an instance.
///
/// When the connection cannot be opened or ends, the task tells the scheduler
/// and ends; messages that were not answered have to be sent elsewhere.
pub(crate) fn connect(
    name: String,
    address: SocketAddr,
    key: SharedKey,
    scheduler: Mailbox<ToScheduler>,
) -> Mailbox<PeerAsk> {
    let (mailbox, rx) = Mailbox::new();
    let pings = mailbox.clone();
    monoio::spawn(async move {
        let ended = run(&name, address, &key, &scheduler, rx, pings).await;
        if let Err(e) = ended {
            log::info!("event=peer_down peer={name} error={:?}", e.to_string());
        }
        scheduler.send(ToScheduler::PeerDown(name));
    });
    mailbox
}

async fn run(
    name: &str,
    address: SocketAddr,
    key: &SharedKey,
    scheduler: &Mailbox<ToScheduler>,
    rx: unbounded::Rx<PeerAsk>,
    pings: Mailbox<PeerAsk>,
) -> Result<(), FrameError> {
    let open = async {
        let stream = TcpStream::connect_addr(address).await?;
        handshake(stream, key, Side::Client).await
    };
    let (reader, writer) = match timeout(CONNECT_TIMEOUT, open).await {
        Ok(opened) => opened?,
        Err(_) => return Err(timed_out()),
    };
    monoio::select! {
        result = write(writer, rx) => result,
        result = read(name, reader, scheduler) => result,
        () = ping(pings) => Ok(()),
    }
}

async fn write(mut writer: FrameWriter, mut rx: unbounded::Rx<PeerAsk>) -> Result<(), FrameError> {
    while let Some(ask) = rx.recv().await {
        writer.write(&ask).await?;
    }
    Ok(())
}

async fn read(
    name: &str,
    mut reader: FrameReader,
    scheduler: &Mailbox<ToScheduler>,
) -> Result<(), FrameError> {
    loop {
        let reply = match timeout(MAX_SILENCE, reader.read::<PeerReply>()).await {
            Ok(reply) => reply?,
            Err(_) => return Err(timed_out()),
        };
        if !matches!(reply, PeerReply::Pong(_)) {
            scheduler.send(ToScheduler::PeerReply(name.to_owned(), reply));
        }
    }
}

async fn ping(pings: Mailbox<PeerAsk>) {
    let start = Instant::now();
    loop {
        pings.send(PeerAsk::Ping(start.elapsed().as_millis() as u64));
        sleep(PING_INTERVAL).await;
    }
}

fn timed_out() -> FrameError {
    FrameError::Io(std::io::ErrorKind::TimedOut.into())
}
