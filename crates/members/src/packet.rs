//! The format of messages between instances.
//!
//! A message is a version byte, a postcard body and a truncated keyed BLAKE3 hash of both.
//! Messages are authenticated but not encrypted.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The format version; messages of other versions are rejected.
const VERSION: u8 = 1;
/// The length of the authentication tag, the first bytes of the keyed hash.
const TAG_BYTES: usize = 16;

/// The key with which all instances of a fleet authenticate their messages.
///
/// The `Debug` output does not contain the key.
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

    /// Returns the full keyed hash of `data`, 32 bytes.
    pub fn keyed_hash(&self, data: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.key, data).as_bytes()
    }

    /// Returns whether `tag` is the first 16 bytes of the keyed hash of `data`; the comparison
    /// takes constant time.
    pub fn verify(&self, data: &[u8], tag: &[u8; 16]) -> bool {
        let hash = self.keyed_hash(data);
        let difference = hash.iter().zip(tag).fold(0, |d, (a, b)| d | (a ^ b));
        difference == 0
    }
}

/// The state of one instance. Heartbeats of the same instance are ordered by incarnation, then
/// by counter; the larger one is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) name_hash: u64,
    pub(crate) incarnation: u64,
    pub(crate) counter: u64,
    pub(crate) is_leaving: bool,
}

/// The content of a datagram; the first heartbeat is the sender's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) heartbeats: Vec<Heartbeat>,
}

/// The reason why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The message is too short or its body cannot be decoded.
    #[error("malformed message")]
    Malformed,
    /// The message has a format version that this release does not support.
    #[error("unsupported message version {0}")]
    UnsupportedVersion(u8),
    /// The authentication tag does not match the shared key.
    #[error("message authentication failed")]
    Forged,
    /// The message contains nothing that is newer than what the receiver knows.
    #[error("replayed message")]
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

/// Encodes a message: the version byte, the encoded `body` and the authentication tag.
pub fn encode_authenticated(body: &impl Serialize, key: &SharedKey) -> Vec<u8> {
    let mut bytes =
        postcard::to_extend(body, vec![VERSION]).expect("serialising a message cannot fail");
    let tag = key.keyed_hash(&bytes);
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    bytes
}

/// Verifies the authentication tag of a message and decodes its body.
///
/// # Errors
///
/// Returns an error if the message is malformed, was authenticated with another key or has
/// an unsupported version.
pub fn decode_authenticated<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    key: &SharedKey,
) -> Result<T, MessageError> {
    let (data, tag) = bytes.split_last_chunk::<TAG_BYTES>().ok_or(MessageError::Malformed)?;
    let (version, body) = data.split_first().ok_or(MessageError::Malformed)?;
    if !key.verify(data, tag) {
        return Err(MessageError::Forged);
    }
    if *version != VERSION {
        return Err(MessageError::UnsupportedVersion(*version));
    }
    postcard::from_bytes(body).map_err(|_| MessageError::Malformed)
}
