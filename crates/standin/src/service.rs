//! A plain HTTP service that counts how often it executed each idempotency key.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use baobabvane_wire::{Request, ServerConn};
use monoio::time::sleep;
use serde_json::json;

use crate::server::{Handler, ServerHandle, json_response, spawn};

/// Faults that a service injects; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFaults {
    /// Delay after each call is executed, before its response.
    pub delay: Duration,
    /// Executes calls but closes the connection without a response.
    pub lose_answers: bool,
    /// Executes calls but never responds.
    pub hang: bool,
}

/// A running service; dropping it stops its thread.
#[derive(Debug)]
pub struct Service {
    server: ServerHandle,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    faults: ServiceFaults,
    executions: HashMap<String, u32>,
    calls: u32,
}

impl Service {
    /// Starts a service on a free port.
    pub fn spawn() -> Self {
        Self::spawn_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a service at an address.
    pub fn spawn_at(address: SocketAddr) -> Self {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let handler_shared = Arc::clone(&shared);
        let server = spawn(address, move || ServiceHandler { shared: handler_shared });
        Self { server, shared }
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults for calls that arrive from now on.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.lock().expect("the lock is not poisoned").faults = faults;
    }

    /// Returns how often calls with each idempotency key were executed.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.shared.lock().expect("the lock is not poisoned").executions.clone()
    }

    /// Returns the number of calls received, with or without an idempotency key.
    pub fn calls(&self) -> u32 {
        self.shared.lock().expect("the lock is not poisoned").calls
    }
}

struct ServiceHandler {
    shared: Arc<Mutex<Shared>>,
}

impl Handler for ServiceHandler {
    async fn handle(&self, conn: &mut ServerConn, req: Request) -> bool {
        let key = req
            .headers()
            .get("idempotency-key")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let (faults, number) = {
            let mut shared = self.shared.lock().expect("the lock is not poisoned");
            shared.calls += 1;
            if !key.is_empty() {
                *shared.executions.entry(key.clone()).or_default() += 1;
            }
            (shared.faults, shared.calls)
        };
        if !faults.delay.is_zero() {
            sleep(faults.delay).await;
        }
        if faults.lose_answers {
            return false;
        }
        if faults.hang {
            conn.peer_closed().await;
            return false;
        }
        let answer = json!({
            "number": number,
            "path": req.uri().path(),
            "key": key,
            "echo": String::from_utf8_lossy(req.body()),
        });
        conn.write_response(json_response(200, answer.to_string())).await.is_ok()
    }
}
