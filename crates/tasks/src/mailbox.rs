//! How the tasks of an instance talk to each other.

use local_sync::{mpsc::unbounded, oneshot};

/// The sending half of a task's channel; clones send to the same task.
pub struct Mailbox<T> {
    tx: unbounded::Tx<T>,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self { tx: self.tx.clone() }
    }
}

impl<T> Mailbox<T> {
    /// Makes a mailbox and the end that its task reads.
    pub fn new() -> (Self, unbounded::Rx<T>) {
        let (tx, rx) = unbounded::channel();
        (Self { tx }, rx)
    }

    /// Sends a message; it is lost when the task has ended, as at shutdown.
    pub fn send(&self, message: T) {
        let _ = self.tx.send(message);
    }

    /// Sends a message that carries the way back, and waits for the answer.
    ///
    /// Returns `None` when the task has ended.
    pub async fn ask<R>(&self, make_message: impl FnOnce(oneshot::Sender<R>) -> T) -> Option<R> {
        let (tx, rx) = oneshot::channel();
        self.send(make_message(tx));
        rx.await.ok()
    }
}
