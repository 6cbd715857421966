//! A TCP stream whose reader pauses now and then, however much its peer sends.

use std::io;

use baobabvane_tasks::Turn;
use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
    net::TcpStream,
};

/// A TCP stream that is read in [`Turn`]s.
pub(crate) struct PacedStream {
    tcp: TcpStream,
    turn: Turn,
}

impl PacedStream {
    pub(crate) fn new(tcp: TcpStream) -> Self {
        Self { tcp, turn: Turn::default() }
    }

    pub(crate) fn tcp(&self) -> &TcpStream {
        &self.tcp
    }

    pub(crate) fn tcp_mut(&mut self) -> &mut TcpStream {
        &mut self.tcp
    }

    /// The reader's turn, which items that are decoded from buffered bytes count in as well.
    pub(crate) fn turn_mut(&mut self) -> &mut Turn {
        &mut self.turn
    }

    fn spend(&mut self, read: &io::Result<usize>) {
        self.turn.spend(*read.as_ref().unwrap_or(&0));
    }
}

impl AsyncReadRent for PacedStream {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        self.turn.pause_if_spent().await;
        let (result, buf) = self.tcp.read(buf).await;
        self.spend(&result);
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        self.turn.pause_if_spent().await;
        let (result, buf) = self.tcp.readv(buf).await;
        self.spend(&result);
        (result, buf)
    }
}
