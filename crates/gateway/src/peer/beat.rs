//! The heartbeat and its bytes.

use baobabvane_members::SharedKey;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{LocalState, PeerId};
use crate::knowledge::Versions;

/// The version of the format; others are dropped and counted.
const VERSION: u8 = 1;
/// Bytes of the keyed hash that a message carries.
const TAG_BYTES: usize = 16;

/// What an instance sends to the others again and again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Beat {
    pub(super) from: PeerId,
    /// A hash of the sender's availability zone.
    pub(super) zone: u32,
    pub(super) incarnation: u64,
    /// Grows with each heartbeat of an incarnation.
    pub(super) counter: u64,
    pub(super) is_leaving: bool,
    pub(super) news: News,
    pub(super) local: LocalState,
    /// Some of the instances that the sender hears.
    pub(super) hears: Vec<PeerId>,
}

/// How new the sender's knowledge is, and how it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct News {
    pub(super) versions: Versions,
    /// How long ago the sender's configuration was the newest, in milliseconds.
    pub(super) confirmed_age_ms: Option<u64>,
    /// How long ago the sender itself reached the store, in milliseconds.
    pub(super) reached_age_ms: Option<u64>,
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum MessageError {
    #[error("broken message")]
    Broken,
    #[error("message of version {0}")]
    Version(u8),
    #[error("message without the fleet's key")]
    Forged,
}

impl Beat {
    pub(super) fn encode(&self, key: &SharedKey) -> Vec<u8> {
        seal(self, key)
    }

    pub(super) fn decode(bytes: &[u8], key: &SharedKey) -> Result<Self, MessageError> {
        open(bytes, key)
    }
}

/// Encodes a message and adds its keyed hash.
pub(super) fn seal(message: &impl Serialize, key: &SharedKey) -> Vec<u8> {
    let mut bytes = postcard::to_extend(message, vec![VERSION]).expect("messages are serialisable");
    let tag = key.hash(&bytes);
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    bytes
}

/// Checks the keyed hash of a message and decodes it.
pub(super) fn open<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    key: &SharedKey,
) -> Result<T, MessageError> {
    let (message, tag) = bytes.split_last_chunk::<TAG_BYTES>().ok_or(MessageError::Broken)?;
    let (version, body) = message.split_first().ok_or(MessageError::Broken)?;
    if !key.verify(message, tag) {
        return Err(MessageError::Forged);
    }
    if *version != VERSION {
        return Err(MessageError::Version(*version));
    }
    postcard::from_bytes(body).map_err(|_| MessageError::Broken)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_beat_needs_the_key() {
        let beat = Beat {
            from: ([127, 0, 0, 1], 7600).into(),
            zone: 5,
            incarnation: 7,
            counter: 1,
            is_leaving: false,
            news: News {
                versions: Versions { configuration: 3, ..Versions::default() },
                confirmed_age_ms: Some(40),
                reached_age_ms: None,
            },
            local: LocalState::default(),
            hears: vec![],
        };
        let key = SharedKey::new("a");
        let mut bytes = beat.encode(&key);
        assert_eq!(Beat::decode(&bytes, &key), Ok(beat));
        assert_eq!(Beat::decode(&bytes, &SharedKey::new("b")), Err(MessageError::Forged));
        bytes[3] ^= 1;
        assert_eq!(Beat::decode(&bytes, &key), Err(MessageError::Forged));
        assert_eq!(Beat::decode(&bytes[..5], &key), Err(MessageError::Broken));
    }
}
