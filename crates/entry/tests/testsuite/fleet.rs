//! Builder that starts instances and stand-ins on free ports and configures them for a test.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

use baobabvane::{Embedded, Operator, Peer, Settings};
use baobabvane_domain::{Endpoint, Spec};
use baobabvane_standin::{Caller, Engine, EngineSpeed, LogService, Service, free_addresses};
use baobabvanectl::{Manifest, OperatorClient};
use monoio::time::sleep;
use serde_json::{Value, json};

pub(crate) const OPERATOR_TOKEN: &str = "test-operator-token";
pub(crate) const CALLER_API_KEY: &str = "naran-key";

/// The instances under test, with the stand-ins that they connect to, by name.
#[derive(Default)]
pub(crate) struct EmbeddedFleet {
    pub(crate) log: Option<LogService>,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) services: BTreeMap<String, Service>,
    pub(crate) instances: BTreeMap<String, Embedded>,
}

/// Runs a future to completion on a new monoio runtime with the legacy (epoll) driver.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime can be built")
        .block_on(future)
}

/// Returns the directory of the scenario scripts and configuration files.
pub(crate) fn scenarios_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

impl EmbeddedFleet {
    /// Starts a log service without instances. A fleet from `default` has no log service, so that its
    /// instances keep their log in memory.
    pub(crate) fn new() -> Self {
        Self { log: Some(LogService::spawn()), ..Self::default() }
    }

    /// Starts an engine with the prefill time of one prompt token and the time before each answer
    /// token, in microseconds.
    pub(crate) fn engine(mut self, name: &str, prefill_us: u64, decode_us: u64) -> Self {
        let engine = Engine::spawn(EngineSpeed { prefill_us, decode_us });
        self.engines.insert(name.to_owned(), engine);
        self
    }

    pub(crate) fn service(mut self, name: &str) -> Self {
        self.services.insert(name.to_owned(), Service::spawn());
        self
    }

    pub(crate) fn instance(self, name: &str, zone: &str) -> Self {
        self.instance_with(name, zone, |_| {})
    }

    pub(crate) fn instance_with(
        mut self,
        name: &str,
        zone: &str,
        adjust: impl FnOnce(&mut Settings),
    ) -> Self {
        let mut settings = Settings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            operator_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            log: self.log.as_ref().map(LogService::address),
            operators: vec![Operator::new("ann", OPERATOR_TOKEN)],
            ..Settings::default()
        };
        adjust(&mut settings);
        let instance = Embedded::spawn(settings).expect("port 0 is free");
        self.instances.insert(name.to_owned(), instance);
        self
    }

    /// Starts one instance per `(name, zone)`, with all others as its peers, and waits until each
    /// instance sees every member alive.
    pub(crate) fn instances(mut self, members: &[(&str, &str)]) -> Self {
        let addresses = free_addresses(members.len());
        let peer = |(name, zone): &(&str, &str), address| Peer {
            name: (*name).to_owned(),
            zone: (*zone).to_owned(),
            address,
        };
        let peers: Vec<Peer> = members
            .iter()
            .zip(&addresses)
            .map(|(member, address)| peer(member, *address))
            .collect();
        for (n, (name, zone)) in members.iter().enumerate() {
            let others = peers.iter().enumerate().filter(|(m, _)| *m != n).map(|(_, p)| p.clone());
            self = self.instance_with(name, zone, |settings| {
                settings.peer_listen = Some(addresses[n]);
                settings.peer_secret = "test-peer-secret".to_owned();
                settings.peers = others.collect();
            });
        }
        self.wait_for_members(members.len());
        self
    }

    /// Waits until every instance reports exactly `count` live members.
    pub(crate) fn wait_for_members(&self, count: usize) {
        block_on(async {
            for name in self.instances.keys() {
                let client = self.operator(name);
                wait_until(|| async {
                    let status = client.get("/v1/status").await.unwrap_or_default();
                    status["members"]["live"].as_array().is_some_and(|l| l.len() == count)
                })
                .await;
            }
        });
    }

    /// Applies a manifest from the scenarios directory through the instance `through`, and waits
    /// until that version of the configuration, or a later one, is in force on every instance.
    pub(crate) fn apply(self, file: &str, through: &str) -> Self {
        let manifest = Manifest::load(&scenarios_dir().join(file)).expect("the file is valid");
        block_on(async {
            let client = self.operator(through);
            // Any successful response shows that the instance serves operators.
            wait_until(|| async { client.get("/v1/tiers").await.is_ok() }).await;
            let mut last_version = 0;
            for (name, spec) in manifest.resources() {
                let answer =
                    client.put(name, &self.with_stand_in_address(&name.name, spec), None).await;
                last_version =
                    answer.expect("the resource is valid")["version"].as_u64().unwrap_or(0);
            }
            for name in self.instances.keys() {
                let client = self.operator(name);
                wait_until(|| async {
                    let status = client.get("/v1/status").await.unwrap_or(Value::Null);
                    status["configuration"]["version"].as_u64() >= Some(last_version)
                })
                .await;
            }
        });
        self
    }

    /// Returns a copy of `spec`. If it is an endpoint's and a stand-in is called `name`, the copy has
    /// the address of that stand-in.
    pub(crate) fn with_stand_in_address(&self, name: &str, spec: &Spec) -> Spec {
        let engine = self.engines.get(name).map(Engine::address);
        let address = engine.or(self.services.get(name).map(Service::address));
        match (spec, address) {
            (Spec::Endpoint(e), Some(address)) => Spec::Endpoint(Endpoint { address, ..e.clone() }),
            (spec, _) => spec.clone(),
        }
    }

    pub(crate) fn operator(&self, instance: &str) -> OperatorClient {
        OperatorClient::new(self.instances[instance].operator_address(), OPERATOR_TOKEN)
            .expect("the token is ASCII")
    }

    pub(crate) fn caller(&self, instance: &str) -> Caller {
        Caller::new(self.instances[instance].caller_address(), CALLER_API_KEY)
    }
}

/// Polls a condition until it holds. There is no timeout here: the test runner limits the time of
/// a test.
pub(crate) async fn wait_until<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    while !condition().await {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the JSON body of a chat completion request with one user message.
pub(crate) fn chat(model: &str, text: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "max_tokens": max_tokens,
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
    })
}

/// Returns a new idempotency key, a version 7 UUID.
pub(crate) fn new_idempotency_key() -> String {
    baobabvane_domain::Uuid::now_v7().to_string()
}
