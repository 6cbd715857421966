//! An entry instance on a thread of this process, for trying out and for tests.

use std::{
    io,
    net::SocketAddr,
    sync::mpsc,
    thread::{self, JoinHandle},
};

use baobabvane_tasks::StopHandle;

use crate::{daemon::Daemon, settings::Settings};

/// A running instance; dropping it stops it gracefully.
#[derive(Debug)]
pub struct Embedded {
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    stop: StopHandle,
    thread: Option<JoinHandle<usize>>,
}

impl Embedded {
    /// Starts an instance on a thread of its own and returns once its sockets are bound.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub fn spawn(settings: Settings) -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        let thread = thread::spawn(move || {
            let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
                .enable_timer()
                .build()
                .expect("a runtime needs only a descriptor");
            runtime.block_on(async move {
                let daemon = match Daemon::bind(settings) {
                    Ok(daemon) => daemon,
                    Err(e) => {
                        let _ = tx.send(Err(e));
                        return 0;
                    }
                };
                let addresses =
                    daemon.caller_address().and_then(|c| Ok((c, daemon.operator_address()?)));
                let _ = tx.send(addresses.map(|a| (a, daemon.stop_handle())));
                match daemon.serve() {
                    Ok(serving) => serving.until_stopped().await,
                    Err(e) => {
                        log::error!("event=start_failed error={:?}", e.to_string());
                        0
                    }
                }
            })
        });
        let exited_early = |_| io::Error::other("the instance ended at its start");
        let ((caller_address, operator_address), stop) = rx.recv().map_err(exited_early)??;
        Ok(Self { caller_address, operator_address, stop, thread: Some(thread) })
    }

    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Asks for a graceful stop and returns at once.
    pub fn begin_stop(&self) {
        self.stop.stop();
    }

    /// Stops gracefully; returns how many requests were cut off.
    pub fn stop(mut self) -> usize {
        self.join()
    }

    fn join(&mut self) -> usize {
        self.stop.stop();
        let result = self.thread.take().map(JoinHandle::join);
        result.and_then(Result::ok).unwrap_or(0)
    }
}

impl Drop for Embedded {
    fn drop(&mut self) {
        self.join();
    }
}
