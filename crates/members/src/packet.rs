//! Datagrams between instances, authenticated with a shared key.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the format; others are dropped and counted.
const VERSION: u8 = 1;
/// Bytes of the keyed hash that a datagram carries.
const TAG_BYTES: usize = 16;

/// The key that all instances of a fleet share.
#[derive(Clone)]
pub struct SharedKey {
    key: [u8; 32],
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

impl SharedKey {
    /// Derives the key from a secret of any length.
    pub fn new(secret: &str) -> Self {
        Self { key: blake3::derive_key("baobabvane instances 2026-12", secret.as_bytes()) }
    }

    /// Returns the keyed hash of a message.
    pub fn keyed_hash(&self, message: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.key, message).as_bytes()
    }

    /// Says whether `tag` is the start of the keyed hash, in constant time.
    pub fn verify(&self, message: &[u8], tag: &[u8; 16]) -> bool {
        let hash = self.keyed_hash(message);
        let difference = hash.iter().zip(tag).fold(0, |d, (a, b)| d | (a ^ b));
        difference == 0
    }
}

/// What is known of one instance; the larger incarnation and counter are newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) name_hash: u64,
    pub(crate) incarnation: u64,
    pub(crate) counter: u64,
    pub(crate) is_leaving: bool,
}

/// A datagram's content; the first beat is the sender's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) heartbeats: Vec<Heartbeat>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// It is too short or not in the format.
    #[error("broken datagram")]
    Malformed,
    /// It is of a version that this release does not read.
    #[error("datagram of version {0}")]
    UnsupportedVersion(u8),
    /// Its sender does not have the shared key.
    #[error("forged datagram")]
    Forged,
    /// It carries nothing new.
    #[error("replayed datagram")]
    Replayed,
}

impl Packet {
    pub(crate) fn encode(&self, key: &SharedKey) -> Vec<u8> {
        encode_authenticated(self, key)
    }

    pub(crate) fn decode(bytes: &[u8], key: &SharedKey) -> Result<Self, MessageError> {
        decode_authenticated(bytes, key)
    }
}

/// Encodes a message and adds its keyed hash.
pub fn encode_authenticated(message: &impl Serialize, key: &SharedKey) -> Vec<u8> {
    let mut bytes = postcard::to_extend(message, vec![VERSION]).expect("messages are serialisable");
    let tag = key.keyed_hash(&bytes);
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    bytes
}

/// Checks the keyed hash of a message and decodes it.
///
/// # Errors
///
/// When it is broken, of another version, or without the key.
pub fn decode_authenticated<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    key: &SharedKey,
) -> Result<T, MessageError> {
    let (message, tag) = bytes.split_last_chunk::<TAG_BYTES>().ok_or(MessageError::Malformed)?;
    let (version, body) = message.split_first().ok_or(MessageError::Malformed)?;
    if !key.verify(message, tag) {
        return Err(MessageError::Forged);
    }
    if *version != VERSION {
        return Err(MessageError::UnsupportedVersion(*version));
    }
    postcard::from_bytes(body).map_err(|_| MessageError::Malformed)
}
