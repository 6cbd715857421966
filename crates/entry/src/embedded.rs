//! Runs an entry instance on a thread of this process, for examples and tests.

use std::{
    io,
    net::SocketAddr,
    sync::mpsc,
    thread::{self, JoinHandle},
};

use baobabvane_tasks::StopHandle;

use crate::{daemon::Daemon, settings::Settings};

/// An entry instance on its own thread; dropping it blocks until a graceful stop is complete.
#[derive(Debug)]
pub struct Embedded {
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    stop: StopHandle,
    thread: Option<JoinHandle<usize>>,
}

impl Embedded {
    /// Starts an instance on its own thread and returns once its listeners are bound.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound or the thread ends before binding them.
    pub fn spawn(settings: Settings) -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        let thread = thread::spawn(move || {
            let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
                .enable_timer()
                .build()
                .expect("creating a runtime fails only when file descriptors run out");
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
        let exited_early =
            |_| io::Error::other("the instance ended before its listeners were bound");
        let ((caller_address, operator_address), stop) = rx.recv().map_err(exited_early)??;
        Ok(Self { caller_address, operator_address, stop, thread: Some(thread) })
    }

    /// Returns the address where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Requests a graceful stop and returns without waiting for it.
    pub fn begin_stop(&self) {
        self.stop.stop();
    }

    /// Stops gracefully and returns the number of requests that were cut off.
    ///
    /// Also returns 0 if the instance failed to start serving or its thread panicked.
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
