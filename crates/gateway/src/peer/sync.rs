//! Transfers the configuration, the endpoint list and the orders of rollouts between instances over TCP.
//!
//! Each message is authenticated with the fleet's key and preceded by its length. An instance sends
//! few configurations at a time, since a slow link that many peers share would let none of them
//! arrive in time; the others are told that it is busy, and ask a peer that has it by then.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_members::{MessageError, SharedKey, decode_authenticated, encode_authenticated};
use baobabvane_tasks::{CountGuard, Mailbox, Turn, spawn_isolated};
use baobabvane_wire::{MemoryBudget, MemoryKind, Permit};
use monoio::{
    io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    knowledge::{Knowledge, Snapshot, Versions},
    rollouts::RolloutMessage,
    scheduler::SchedulerMessage,
};

/// The time limit of a fetch, and of serving one; after that another peer may be asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum size of a snapshot, enough for some thousand routes.
const MAX_SNAPSHOT_BYTES: u32 = 8 * 1024 * 1024;
/// The maximum size of a request for a snapshot.
const MAX_REQUEST_BYTES: u32 = 1024;
/// The most configurations that are sent at a time.
const MAX_CONCURRENT_CONFIGURATIONS: usize = 4;
/// What a connection takes beside the message that is sent.
const CONNECTION_BYTES: usize = 4 * 1024;
/// How many bytes of a message are received before memory for more is allocated.
const RECEIVE_STEP_BYTES: usize = 64 * 1024;

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
    memory: Rc<MemoryBudget>,
) {
    let mut turn = Turn::default();
    let sending = Rc::new(Cell::new(0));
    loop {
        turn.pause_if_spent().await;
        turn.spend(0);
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("event=peer_accept_failed error={:?}", e.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(mut permit) = memory.try_reserve(MemoryKind::Peers, CONNECTION_BYTES) else {
            log::warn!("event=peer_refused peer={peer} cause=\"no memory\"");
            continue;
        };
        let (knowledge, scheduler) = (Rc::clone(&knowledge), scheduler.clone());
        let sending = Rc::clone(&sending);
        spawn_isolated("peer", async move {
            let reply = serve_request(stream, &knowledge, &scheduler, &sending, &mut permit);
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
    sending: &Cell<usize>,
    permit: &mut Permit,
) -> Result<(), SyncError> {
    let key = knowledge.key().ok_or(SyncError::NoKey)?;
    let bytes = read_message(&mut stream, MAX_REQUEST_BYTES).await?;
    let request: SnapshotRequest = decode_authenticated(&bytes, &key)?;
    let versions = knowledge.versions();
    let is_newer = versions.configuration > request.versions.configuration;
    let is_sent = is_newer && sending.get() < MAX_CONCURRENT_CONFIGURATIONS;
    let _counted = is_sent.then(|| CountGuard::new(sending));
    let configuration = is_sent.then(|| (*knowledge.configuration()).clone());
    let endpoints = match versions.endpoints > request.versions.endpoints {
        true => scheduler.ask(SchedulerMessage::ListEndpoints).await,
        false => None,
    };
    let orders = match versions.orders > request.versions.orders {
        true => {
            let list = |reply| SchedulerMessage::Rollout(RolloutMessage::ListOrders(reply));
            scheduler.ask(list).await
        }
        false => None,
    };
    let snapshot = Snapshot { versions, configuration, endpoints, orders };
    write_message(&mut stream, &snapshot, &key, permit).await?;
    // The configuration counts as being sent until the peer has it.
    let _ = stream.read(vec![0; 1]).await;
    Ok(())
}

/// Fetches a snapshot from a peer and applies its newer parts.
pub(super) async fn fetch(peer: SocketAddr, knowledge: Rc<Knowledge>, memory: Rc<MemoryBudget>) {
    // An instance that is behind must not stay so for want of memory.
    let mut permit = memory.count(MemoryKind::Peers, CONNECTION_BYTES);
    let fetched = timeout(FETCH_TIMEOUT, request_snapshot(peer, &knowledge, &mut permit)).await;
    match fetched.unwrap_or(Err(SyncError::TimedOut)) {
        Ok(snapshot) => {
            log::info!(
                "event=fetched_from_peer peer={peer} version={} sent={} endpoints={:?}",
                snapshot.versions.configuration,
                snapshot.configuration.is_some(),
                snapshot.endpoints.as_ref().map(|list| list.endpoints.len())
            );
            knowledge.apply_peer_snapshot(snapshot);
        }
        Err(e) => log::warn!("event=fetch_failed peer={peer} error={:?}", e.to_string()),
    }
}

async fn request_snapshot(
    peer: SocketAddr,
    knowledge: &Knowledge,
    permit: &mut Permit,
) -> Result<Snapshot, SyncError> {
    let key = knowledge.key().ok_or(SyncError::NoKey)?;
    let mut stream = TcpStream::connect_addr(peer).await?;
    let request = SnapshotRequest { versions: knowledge.versions() };
    write_message(&mut stream, &request, &key, permit).await?;
    let bytes = read_message(&mut stream, MAX_SNAPSHOT_BYTES).await?;
    permit.count_to(bytes.len());
    Ok(decode_authenticated(&bytes, &key)?)
}

async fn read_message(stream: &mut TcpStream, max_bytes: u32) -> Result<Vec<u8>, SyncError> {
    let len = stream.read_u32().await?;
    if len > max_bytes {
        return Err(SyncError::TooLarge(len));
    }
    let mut turn = Turn::default();
    let mut bytes = Vec::new();
    while bytes.len() < len as usize {
        turn.pause_if_spent().await;
        let step = RECEIVE_STEP_BYTES.min(len as usize - bytes.len());
        let (result, received) = stream.read_exact(vec![0; step]).await;
        turn.spend(result?);
        bytes.extend_from_slice(&received);
    }
    Ok(bytes)
}

async fn write_message(
    stream: &mut TcpStream,
    body: &impl Serialize,
    key: &SharedKey,
    permit: &mut Permit,
) -> Result<(), SyncError> {
    let message = encode_authenticated(body, key);
    permit.count_to(message.len());
    let mut bytes = (message.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&message);
    drop(message);
    stream.write_all(bytes).await.0?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use monoio::time::Instant;

    use super::*;
    use crate::configuration::Configuration;

    fn knowledge(version: u64, key: &SharedKey) -> Rc<Knowledge> {
        let (scheduler, _) = Mailbox::new();
        let knowledge = Rc::new(Knowledge::new(scheduler, Duration::ZERO));
        knowledge.set_key(key.clone());
        knowledge.apply_configuration(Configuration { version, ..Default::default() }, "test");
        knowledge
    }

    fn memory() -> Rc<MemoryBudget> {
        MemoryBudget::new(64 << 20)
    }

    fn block_on(test: impl Future<Output = ()>) {
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("the runtime can create its epoll descriptor");
        runtime.block_on(test);
    }

    fn spawn_server(key: &SharedKey) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the OS assigns a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (scheduler, _) = Mailbox::new();
        monoio::spawn(serve(listener, knowledge(7, key), scheduler, memory()));
        address
    }

    /// Guards against a link that many peers share, so that none gets the configuration in time.
    #[test]
    fn few_peers_are_sent_the_configuration_at_a_time() {
        let key = SharedKey::new("secret");
        block_on(async {
            let server = spawn_server(&key);
            let mut receiving = Vec::new();
            for i in 0..MAX_CONCURRENT_CONFIGURATIONS + 2 {
                let mut stream = TcpStream::connect_addr(server).await.unwrap();
                let request = SnapshotRequest { versions: Versions::default() };
                let mut permit = memory().count(MemoryKind::Peers, 0);
                write_message(&mut stream, &request, &key, &mut permit).await.unwrap();
                let bytes = read_message(&mut stream, MAX_SNAPSHOT_BYTES).await.unwrap();
                let snapshot: Snapshot = decode_authenticated(&bytes, &key).unwrap();
                assert_eq!(snapshot.versions.configuration, 7);
                let is_sent = snapshot.configuration.is_some();
                assert_eq!(is_sent, i < MAX_CONCURRENT_CONFIGURATIONS, "{i}");
                receiving.push(stream);
            }
            receiving.clear();
            let own = knowledge(1, &key);
            let began = Instant::now();
            while own.versions().configuration < 7 {
                assert!(began.elapsed() < FETCH_TIMEOUT * 5);
                fetch(server, Rc::clone(&own), memory()).await;
            }
        });
    }

    /// Guards against memory that is allocated for a message of which nothing but the length came.
    #[test]
    fn a_request_that_says_to_be_large_is_rejected() {
        let key = SharedKey::new("secret");
        block_on(async {
            let server = spawn_server(&key);
            let mut stream = TcpStream::connect_addr(server).await.unwrap();
            let len = (MAX_REQUEST_BYTES + 1).to_be_bytes().to_vec();
            stream.write_all(len).await.0.unwrap();
            let (read, _) = stream.read(vec![0; 1]).await;
            assert!(matches!(read, Ok(0) | Err(_)));
        });
    }
}
