//! Accepts connections of other instances and passes their requests to the local scheduler.

use std::{cell::Cell, rc::Rc, time::Duration};

use baobabvane_members::SharedKey;
use baobabvane_tasks::{Mailbox, Turn};
use local_sync::mpsc::unbounded;
use monoio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::{
    peer::{
        frames::{FrameError, FrameReader, FrameWriter, Side, handshake},
        message::{PeerReply, PeerRequest},
    },
    tasks::scheduler::ToScheduler,
};

/// A connection on which nothing arrives for this long is closed; the other end sends pings. The
/// handshake may take as long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Identifies a connection that another instance opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnId(u64);

/// Accepts connections until accepting one fails; the scheduler is informed when one opens
/// or closes.
pub(crate) async fn accept(listener: TcpListener, key: SharedKey, scheduler: Mailbox<ToScheduler>) {
    let next = Rc::new(Cell::new(0));
    let mut turn = Turn::default();
    while let Ok((stream, _)) = listener.accept().await {
        turn.pause_if_spent().await;
        turn.spend(0);
        next.set(next.get() + 1);
        let id = ConnId(next.get());
        let (key, scheduler) = (key.clone(), scheduler.clone());
        monoio::spawn(async move {
            if let Err(e) = serve(id, stream, &key, &scheduler).await {
                log::debug!("event=peer_connection_ended error={:?}", e.to_string());
                if matches!(e, FrameError::Forged) {
                    metrics::counter!("baobabvane_peer_frames_forged_total").increment(1);
                }
            }
            scheduler.send(ToScheduler::ConnectionClosed(id));
        });
    }
}

async fn serve(
    id: ConnId,
    stream: TcpStream,
    key: &SharedKey,
    scheduler: &Mailbox<ToScheduler>,
) -> Result<(), FrameError> {
    let open = timeout(IDLE_TIMEOUT, handshake(stream, key, Side::Server));
    let (reader, writer) = open.await.map_err(|_| timed_out())??;
    let (mailbox, rx) = Mailbox::new();
    scheduler.send(ToScheduler::ConnectionOpened(id, mailbox.clone()));
    monoio::select! {
        result = write(writer, rx) => result,
        result = read(id, reader, scheduler, mailbox) => result,
    }
}

async fn write(
    mut writer: FrameWriter,
    mut rx: unbounded::Rx<PeerReply>,
) -> Result<(), FrameError> {
    while let Some(reply) = rx.recv().await {
        writer.write(&reply).await?;
    }
    Ok(())
}

async fn read(
    id: ConnId,
    mut reader: FrameReader,
    scheduler: &Mailbox<ToScheduler>,
    replies: Mailbox<PeerReply>,
) -> Result<(), FrameError> {
    loop {
        let request = timeout(IDLE_TIMEOUT, reader.read()).await.map_err(|_| timed_out())??;
        match request {
            PeerRequest::Ping(number) => replies.send(PeerReply::Pong(number)),
            request => scheduler.send(ToScheduler::PeerRequest(id, request)),
        }
    }
}

fn timed_out() -> FrameError {
    FrameError::Io(std::io::ErrorKind::TimedOut.into())
}
