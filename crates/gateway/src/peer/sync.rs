//! Transfers the configuration and the endpoint list between instances over TCP.
//!
//! Each message is authenticated with the fleet's key and preceded by its length.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_members::{MessageError, SharedKey, decode_authenticated, encode_authenticated};
use baobabvane_tasks::{Mailbox, spawn_isolated};
use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    knowledge::{Knowledge, Snapshot, Versions},
    scheduler::SchedulerMessage,
};

/// The time limit of a fetch, and of serving one; after that another peer may be asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum size of a message, enough for some thousand routes.
const MAX_MESSAGE_BYTES: u32 = 8 * 1024 * 1024;

/// Asks a peer for all that is newer than the versions of the sender.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SnapshotRequest {
    versions: Versions,
}

#[derive(Debug, Error)]
enum SyncError {
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("message of {0} bytes exceeds the limit")]
    TooLarge(u32),
    #[error("the fleet's key is not known yet")]
    NoKey,
    #[error("timed out")]
    TimedOut,
}

/// Accepts connections of other instances and answers their requests for a snapshot.
pub(super) async fn serve(
    listener: TcpListener,
    knowledge: Rc<Knowledge>,
    scheduler: Mailbox<SchedulerMessage>,
) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("event=peer_accept_failed error={:?}", e.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (knowledge, scheduler) = (Rc::clone(&knowledge), scheduler.clone());
        spawn_isolated("peer", async move {
            let reply = serve_request(stream, &knowledge, &scheduler);
            let result = timeout(FETCH_TIMEOUT, reply).await.unwrap_or(Err(SyncError::TimedOut));
            if let Err(e) = result {
                log::warn!("event=peer_answer_failed peer={peer} error={:?}", e.to_string());
            }
        });
    }
}

async fn serve_request(
    mut stream: TcpStream,
    knowledge: &Knowledge,
    scheduler: &Mailbox<SchedulerMessage>,
) -> Result<(), SyncError> {
    let key = knowledge.key().ok_or(SyncError::NoKey)?;
    let bytes = read_message(&mut stream).await?;
    let request: SnapshotRequest = decode_authenticated(&bytes, &key)?;
    let versions = knowledge.versions();
    let configuration = (versions.configuration > request.versions.configuration)
        .then(|| (*knowledge.configuration()).clone());
    let endpoints = match versions.endpoints > request.versions.endpoints {
        true => scheduler.ask(SchedulerMessage::ListEndpoints).await,
        false => None,
    };
    let snapshot = Snapshot { versions, configuration, endpoints };
    write_message(&mut stream, &snapshot, &key).await
}

/// Fetches a snapshot from a peer and applies its newer parts.
pub(super) async fn fetch(peer: SocketAddr, knowledge: Rc<Knowledge>) {
    let fetched = timeout(FETCH_TIMEOUT, request_snapshot(peer, &knowledge)).await;
    match fetched.unwrap_or(Err(SyncError::TimedOut)) {
        Ok(snapshot) => {
            log::info!(
                "event=fetched_from_peer peer={peer} version={} endpoints={:?}",
                snapshot.versions.configuration,
                snapshot.endpoints.as_ref().map(|list| list.endpoints.len())
            );
            knowledge.apply_peer_snapshot(snapshot);
        }
        Err(e) => log::warn!("event=fetch_failed peer={peer} error={:?}", e.to_string()),
    }
}

async fn request_snapshot(peer: SocketAddr, knowledge: &Knowledge) -> Result<Snapshot, SyncError> {
    let key = knowledge.key().ok_or(SyncError::NoKey)?;
    let mut stream = TcpStream::connect_addr(peer).await?;
    write_message(&mut stream, &SnapshotRequest { versions: knowledge.versions() }, &key).await?;
    let bytes = read_message(&mut stream).await?;
    Ok(decode_authenticated(&bytes, &key)?)
}

async fn read_message(stream: &mut TcpStream) -> Result<Vec<u8>, SyncError> {
    let len = stream.read_u32().await?;
    if len > MAX_MESSAGE_BYTES {
        return Err(SyncError::TooLarge(len));
    }
    let (result, bytes) = stream.read_exact(vec![0; len as usize]).await;
    result?;
    Ok(bytes)
}

async fn write_message(
    stream: &mut TcpStream,
    body: &impl Serialize,
    key: &SharedKey,
) -> Result<(), SyncError> {
    let message = encode_authenticated(body, key);
    let mut bytes = (message.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&message);
    stream.write_all(bytes).await.0?;
    Ok(())
}
