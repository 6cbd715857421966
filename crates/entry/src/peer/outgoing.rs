//! Opens connections to other instances and sends requests to their schedulers.

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
        message::{PeerReply, PeerRequest},
    },
    tasks::scheduler::ToScheduler,
};

/// The longest time that connecting and the handshake may take together.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// A peer from which nothing arrives for this long, not even a pong, is considered down.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Starts the task that owns the connection to an instance.
///
/// If the connection cannot be opened or is lost, the task sends `PeerDown` to the local scheduler
/// and ends. The scheduler then submits again every request that it had sent to this instance.
pub(crate) fn connect(
    name: String,
    address: SocketAddr,
    key: SharedKey,
    scheduler: Mailbox<ToScheduler>,
) -> Mailbox<PeerRequest> {
    let (mailbox, rx) = Mailbox::new();
    let requests = mailbox.clone();
    monoio::spawn(async move {
        let result = run(&name, address, &key, &scheduler, rx, requests).await;
        if let Err(e) = result {
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
    rx: unbounded::Rx<PeerRequest>,
    requests: Mailbox<PeerRequest>,
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
        () = ping(requests) => Ok(()),
    }
}

async fn write(
    mut writer: FrameWriter,
    mut rx: unbounded::Rx<PeerRequest>,
) -> Result<(), FrameError> {
    while let Some(request) = rx.recv().await {
        writer.write(&request).await?;
    }
    Ok(())
}

async fn read(
    name: &str,
    mut reader: FrameReader,
    scheduler: &Mailbox<ToScheduler>,
) -> Result<(), FrameError> {
    loop {
        let reply = match timeout(IDLE_TIMEOUT, reader.read::<PeerReply>()).await {
            Ok(reply) => reply?,
            Err(_) => return Err(timed_out()),
        };
        if !matches!(reply, PeerReply::Pong(_)) {
            scheduler.send(ToScheduler::PeerReply(name.to_owned(), reply));
        }
    }
}

async fn ping(requests: Mailbox<PeerRequest>) {
    let start = Instant::now();
    loop {
        requests.send(PeerRequest::Ping(start.elapsed().as_millis() as u64));
        sleep(PING_INTERVAL).await;
    }
}

fn timed_out() -> FrameError {
    FrameError::Io(std::io::ErrorKind::TimedOut.into())
}
