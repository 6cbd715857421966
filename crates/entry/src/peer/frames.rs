//! Frames on a connection between instances.
//!
//! Each side chooses a random nonce. Every frame carries its length and a tag, which is a keyed
//! hash over both nonces, the direction, the frame number and the content, so that a frame can be
//! neither forged nor replayed, on this connection or another.

use std::io;

use baobabvane_members::SharedKey;
use monoio::{
    io::{
        AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf,
        OwnedWriteHalf, Splitable,
    },
    net::TcpStream,
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Version of the message format; a connection to an instance with another version is closed.
const PROTOCOL_VERSION: u8 = 1;
const NONCE_BYTES: usize = 16;
const TAG_BYTES: usize = 16;
/// The largest content of a frame.
const MAX_FRAME_BYTES: u32 = 1024 * 1024;

/// Why a connection between instances ended.
#[derive(Debug, Error)]
pub(crate) enum FrameError {
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    #[error("the other instance uses protocol version {0}")]
    VersionMismatch(u8),
    #[error("a frame failed authentication with the shared key")]
    Forged,
    #[error("a frame of {0} bytes exceeds the limit")]
    TooLarge(u32),
    #[error("a frame cannot be decoded: {0}")]
    Malformed(#[from] postcard::Error),
}

/// An end of a connection; the client opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Client = 1,
    Server = 2,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

/// Authenticates the frames of one direction of a connection.
struct FrameAuthenticator {
    key: SharedKey,
    context: Vec<u8>,
    frame_number: u64,
}

impl FrameAuthenticator {
    fn new(key: &SharedKey, nonces: &[u8], side: Side) -> Self {
        let mut context = nonces.to_vec();
        context.push(side as u8);
        Self { key: key.clone(), context, frame_number: 0 }
    }

    /// Returns the input of the next frame's tag, and counts that frame.
    fn tag_input(&mut self, content: &[u8]) -> Vec<u8> {
        self.frame_number += 1;
        let mut tag_input = self.context.clone();
        tag_input.extend_from_slice(&self.frame_number.to_le_bytes());
        tag_input.extend_from_slice(content);
        tag_input
    }
}

pub(crate) struct FrameReader {
    half: OwnedReadHalf<TcpStream>,
    authenticator: FrameAuthenticator,
}

pub(crate) struct FrameWriter {
    half: OwnedWriteHalf<TcpStream>,
    authenticator: FrameAuthenticator,
}

/// Exchanges versions and nonces, and returns the two halves of the connection.
///
/// The peer is not authenticated yet: that happens with its first frame.
pub(crate) async fn handshake(
    stream: TcpStream,
    key: &SharedKey,
    side: Side,
) -> Result<(FrameReader, FrameWriter), FrameError> {
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let own: [u8; NONCE_BYTES] = rand::random();
    let mut hello = vec![PROTOCOL_VERSION];
    hello.extend_from_slice(&own);
    write_all(&mut writer, hello).await?;
    let hello = read_exact(&mut reader, 1 + NONCE_BYTES).await?;
    if hello[0] != PROTOCOL_VERSION {
        return Err(FrameError::VersionMismatch(hello[0]));
    }
    let nonces = match side {
        Side::Client => [&own[..], &hello[1..]].concat(),
        Side::Server => [&hello[1..], &own[..]].concat(),
    };
    let reader = FrameReader {
        half: reader,
        authenticator: FrameAuthenticator::new(key, &nonces, side.other()),
    };
    let writer =
        FrameWriter { half: writer, authenticator: FrameAuthenticator::new(key, &nonces, side) };
    Ok((reader, writer))
}

impl FrameReader {
    /// Reads and authenticates the next message.
    pub(crate) async fn read<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        let header = read_exact(&mut self.half, 4 + TAG_BYTES).await?;
        let (length, tag) = header.split_at(4);
        let length = u32::from_le_bytes(length.try_into().expect("split at 4 bytes"));
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(length));
        }
        let content = read_exact(&mut self.half, length as usize).await?;
        let tag_input = self.authenticator.tag_input(&content);
        let tag: [u8; TAG_BYTES] =
            tag.try_into().expect("the rest of the header has TAG_BYTES bytes");
        if !self.authenticator.key.verify(&tag_input, &tag) {
            return Err(FrameError::Forged);
        }
        Ok(postcard::from_bytes(&content)?)
    }
}

impl FrameWriter {
    pub(crate) async fn write(&mut self, message: &impl Serialize) -> Result<(), FrameError> {
        let content = postcard::to_stdvec(message)?;
        let tag_input = self.authenticator.tag_input(&content);
        let tag = self.authenticator.key.keyed_hash(&tag_input);
        let mut frame = (content.len() as u32).to_le_bytes().to_vec();
        frame.extend_from_slice(&tag[..TAG_BYTES]);
        frame.extend_from_slice(&content);
        Ok(write_all(&mut self.half, frame).await?)
    }
}

async fn write_all(writer: &mut impl AsyncWriteRent, bytes: Vec<u8>) -> io::Result<()> {
    writer.write_all(bytes).await.0.map(drop)
}

async fn read_exact(reader: &mut impl AsyncReadRent, length: usize) -> io::Result<Vec<u8>> {
    let (result, bytes) = reader.read_exact(vec![0; length]).await;
    result.map(|_| bytes)
}
