//! A plain service that counts how often each key was executed.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use baobabvane_wire::{Request, ServerConn};
use monoio::time::sleep;
use serde_json::json;

use crate::server::{Handler, Running, json as json_response, spawn};

/// What a service does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFaults {
    /// Time that each call takes.
    pub delay: Duration,
    /// Executes calls but closes the connection in place of an answer.
    pub lose_answers: bool,
    /// Executes calls but never answers.
    pub hang: bool,
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    running: Running,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    faults: ServiceFaults,
    executions: HashMap<String, u32>,
    calls: u32,
}

impl Service {
    /// Starts a service.
    pub fn spawn() -> Self {
        Self::spawn_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a service at an address.
    pub fn spawn_at(address: SocketAddr) -> Self {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let handler = Arc::clone(&shared);
        let running = spawn(address, move || ServiceHandler { shared: handler });
        Self { running, shared }
    }

    /// Returns where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Sets what the service does wrong from now on.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.lock().expect("no holder panics").faults = faults;
    }

    /// Returns how often each idempotency key was executed.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.shared.lock().expect("no holder panics").executions.clone()
    }

    /// Returns how many calls came, with or without a key.
    pub fn calls(&self) -> u32 {
        self.shared.lock().expect("no holder panics").calls
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
            let mut shared = self.shared.lock().expect("no holder panics");
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
