//! Message channels between the tasks of a process.
//!
//! Sending never blocks: the channels are unbounded.

use local_sync::{mpsc::unbounded, oneshot};

/// The sending half of a task's message channel; clones send to the same task.
pub struct Mailbox<T> {
    tx: unbounded::Tx<T>,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self { tx: self.tx.clone() }
    }
}

impl<T> Mailbox<T> {
    /// Creates a mailbox and the receiver that its task reads.
    pub fn new() -> (Self, unbounded::Rx<T>) {
        let (tx, rx) = unbounded::channel();
        (Self { tx }, rx)
    }

    /// Sends a message; it is discarded if the task has ended, for example at shutdown.
    pub fn send(&self, message: T) {
        let _ = self.tx.send(message);
    }

    /// Sends a message that contains a reply channel, and waits for the reply.
    ///
    /// Returns `None` when the task has ended or dropped the reply channel.
    pub async fn ask<R>(&self, make_message: impl FnOnce(oneshot::Sender<R>) -> T) -> Option<R> {
        let (tx, rx) = oneshot::channel();
        self.send(make_message(tx));
        rx.await.ok()
    }
}
