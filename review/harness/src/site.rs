//! What every case needs: a folder, a store with a configuration, engines and machines.

use std::{
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::Engine,
    platform::{Machine, Store, free_ports},
    record::Record,
};

/// The zones of `sites/dgala-ledger.toml`.
pub const ZONES: [&str; 3] = ["tanta", "mansoura", "zagazig"];

/// A running small deployment. All its processes end when it is dropped.
pub struct Site {
    pub machines: Vec<Machine>,
    pub store: Store,
    services: Vec<String>,
    folder: PathBuf,
}

/// A route of the configuration.
#[derive(Clone)]
pub struct Route {
    pub prefix: std::borrow::Cow<'static, str>,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub service: &'static str,
    pub attempts: u32,
    pub is_resumable: bool,
}

impl Route {
    fn document(&self) -> String {
        let Self { prefix, kind, timeout_ms, target_ms, service, attempts, is_resumable } = self;
        format!(
            r#"{{"name":"{}","hostname":"desk.example","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":{target_ms},"priority":0,"service":"{service}","maxAttempts":{attempts},"public":false,"sessionAffinity":false,"streamResumption":{is_resumable},"gapTargetMs":500}}"#,
            prefix.trim_matches('/')
        )
    }
}

impl Site {
    /// Starts a deployment and returns once all machines are ready; `None` if they are not in time.
    pub fn start(
        machines: u8,
        routes: &[Route],
        engines: &[&Engine],
        record: &Record,
    ) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Store::default();
        let mut services: Vec<String> = engines.iter().map(|e| e.service.clone()).collect();
        services.dedup();
        store.put("keyed.op", "config", &configuration(7, routes, &services));
        for engine in engines {
            store.put("keyed.servers", &engine.id, &engine.entry());
        }
        let address = store.serve();
        let ports = free_ports(machines);
        let machines: Vec<Machine> =
            (0..machines).map(|i| Machine::start(&folder, i, ports, address, &ZONES)).collect();
        let site = Self { machines, store, services, folder };
        let begun = Instant::now();
        while !site.machines.iter().all(|m| m.probe() == 200) {
            if begun.elapsed() > Duration::from_secs(15) {
                record.say("the machines did not get ready");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Machines are in touch `connectivityMs` after their start.
        thread::sleep(Duration::from_millis(3_500));
        record.line("all machines are ready and in touch");
        Some(site)
    }
}

impl Site {
    /// Writes a new version of the configuration, as the operator does.
    pub fn configure(&self, version: u64, routes: &[Route]) {
        self.store.put("keyed.op", "config", &configuration(version, routes, &self.services));
    }
}

/// Returns a configuration in full.
pub fn configuration(version: u64, routes: &[Route], services: &[String]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(r#"{{"name":"{name}","healthCheckPath":"/healthz","connectionLimit":360}}"#)
        })
        .collect();
    let routes: Vec<String> = routes.iter().map(Route::document).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"growers","apiKeys":["k1"]}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

impl Drop for Site {
    fn drop(&mut self) {
        self.machines.clear();
        match std::env::var("KEEP_LOGS").is_ok() {
            true => println!("logs are kept in {}", self.folder.display()),
            false => drop(std::fs::remove_dir_all::<&Path>(&self.folder)),
        }
    }
}
