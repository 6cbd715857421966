//! Test fixture that starts a gateway with its endpoints and sends requests as a caller.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_gateway::{
    Configuration, DiscoveredEndpoint, Feed, Gateway, GatewaySettings, HeaderNames, LogPosition,
    Organisation, RetryBudget, Route, Semantics, Target,
};
use baobabvane_tasks::StopHandle;
use baobabvane_wire::{ClientConn, Connector, WireError};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use monoio::time::sleep;

use crate::endpoint::Endpoint;

pub(crate) const HOST: &str = "desk.example";
/// Timeout of connections and of [`eventually`]; long enough for a busy machine.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// How much of an answer without end the gateway may take, with what the sockets buffer; far less
/// than the memory of the smallest instance.
pub(crate) const MAX_ENDLESS_BYTES: usize = 32 << 20;

/// The memory that the gateway may use.
pub(crate) const MEMORY_BYTES: usize = 64 << 20;

/// Runs a future to completion on monoio's legacy (epoll) driver.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime can create its epoll descriptor")
        .block_on(future)
}

/// Returns a route with the path prefix `/NAME/` that sends its requests to the pool `desk`.
pub(crate) fn route(name: &str, semantics: Semantics) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: format!("/{name}/"),
        semantics,
        timeout_ms: 20_000,
        target_ms: 300,
        max_gap_ms: 100,
        max_silence_ms: 4_000,
        rank: 0,
        max_attempts: 3,
        is_public: false,
        is_resumable: false,
        targets: vec![Target { pool: "desk".to_owned(), weight: 1.0 }],
    }
}

/// A running gateway and its configuration.
pub(crate) struct GatewayFixture {
    pub(crate) feed: Feed,
    pub(crate) stop: StopHandle,
    pub(crate) configuration: Configuration,
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    /// How many requests were without an answer when the gateway stopped; `None` until then.
    pub(crate) unanswered_at_end: Rc<Cell<Option<usize>>>,
}

/// A caller's connection.
pub(crate) struct Caller {
    conn: ClientConn,
}

/// An answer with its whole body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl GatewayFixture {
    /// Starts a gateway with a route for each of the semantics; `answers` is a resumable stream
    /// and `quotes` one that is not.
    pub(crate) async fn start(endpoints: &[&Endpoint]) -> Self {
        let mut streams = route("answers", Semantics::Stream);
        streams.is_resumable = true;
        let routes = vec![
            route("reads", Semantics::Idempotent),
            route("postings", Semantics::NonIdempotent),
            streams,
            route("quotes", Semantics::Stream),
        ];
        let configuration = Configuration { version: 1, routes, ..Configuration::default() };
        Self::start_with(endpoints, configuration).await
    }

    /// Starts a gateway with a configuration, these endpoints and an ample retry budget.
    pub(crate) async fn start_with(endpoints: &[&Endpoint], configuration: Configuration) -> Self {
        let gateway = Self::start_unconfigured(configuration).await;
        gateway.feed.set_retry_budget(RetryBudget {
            ratio: 1.0,
            window_ms: 10_000.0,
            allowance: 100.0,
        });
        gateway.feed.configuration_changed(gateway.configuration.clone());
        gateway.feed.configuration_confirmed();
        gateway.list_endpoints(endpoints);
        gateway
    }

    /// Starts a gateway that has received neither its configuration nor endpoints.
    pub(crate) async fn start_unconfigured(configuration: Configuration) -> Self {
        loop {
            match Self::try_start(configuration.clone()) {
                Ok(fixture) => return fixture,
                // Another process took the peer port after it was drawn.
                Err(e) => assert_eq!(e.kind(), io::ErrorKind::AddrInUse, "{e}"),
            }
        }
    }

    fn try_start(configuration: Configuration) -> io::Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let peer_address = free_address();
        let gateway = Gateway::bind(GatewaySettings {
            name: "test".to_owned(),
            zone: "tanta".to_owned(),
            listen: any_port,
            ready_listen: any_port,
            metrics_listen: None,
            peer_listen: peer_address,
            grace_ms: 8_000,
            configuration_max_age_ms: 60_000,
            propagation_bound_ms: 2_000,
            endpoint_expiry_ms: 2_400,
            memory_bytes: MEMORY_BYTES,
            file_descriptors: 4_100,
        })
        .expect("the OS assigns a free port");
        let caller_address = gateway.caller_address().expect("a bound socket has an address");
        let ready_address = gateway.ready_address().expect("a bound socket has an address");
        let stop = StopHandle::default();
        let gateway = gateway.spawn(HeaderNames::default(), stop.clone(), Rc::new(String::new))?;
        let feed = gateway.feed();
        let unanswered_at_end = Rc::new(Cell::new(None));
        let unanswered = Rc::clone(&unanswered_at_end);
        monoio::spawn(async move { unanswered.set(Some(gateway.until_stopped().await)) });
        Ok(Self {
            feed,
            stop,
            configuration,
            caller_address,
            ready_address,
            peer_address,
            unanswered_at_end,
        })
    }

    pub(crate) fn list_endpoints(&self, endpoints: &[&Endpoint]) {
        self.list_entries(endpoints.iter().map(|e| e.entry.clone()).collect());
    }

    pub(crate) fn list_entries(&self, list: Vec<DiscoveredEndpoint>) {
        self.feed.endpoints_listed(list, LogPosition { era: 0, offset: 1 });
    }

    pub(crate) async fn connect_caller(&self) -> Caller {
        Caller { conn: connect(self.caller_address).await.expect("the gateway listens") }
    }

    /// Connects as a caller; fails if the gateway no longer accepts connections.
    pub(crate) async fn try_connect_caller(&self) -> Result<Caller, WireError> {
        Ok(Caller { conn: connect(self.caller_address).await? })
    }

    /// Sends a GET request on a connection of its own.
    pub(crate) async fn get(&self, path: &str) -> Answer {
        self.connect_caller().await.request(Method::GET, path, &[]).await.expect("an answer")
    }

    /// Sends a POST request on a connection of its own.
    pub(crate) async fn post(&self, path: &str) -> Answer {
        self.connect_caller().await.request(Method::POST, path, &[]).await.expect("an answer")
    }

    /// Returns the addresses of the TCP listeners: for callers, probes and other instances.
    pub(crate) fn listeners(&self) -> [SocketAddr; 3] {
        [self.caller_address, self.ready_address, self.peer_address]
    }

    pub(crate) async fn ready_status(&self) -> StatusCode {
        let mut caller = Caller { conn: connect(self.ready_address).await.expect("it listens") };
        caller.request(Method::GET, "/readyz", &[]).await.expect("an answer").status
    }
}

/// Returns an address whose port the OS has just assigned and nobody uses.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("the OS assigns a free port");
    listener.local_addr().expect("a bound socket has an address")
}

async fn connect(address: SocketAddr) -> Result<ClientConn, WireError> {
    Connector { address, timeout: WAIT_TIMEOUT }.connect().await
}

impl Caller {
    /// Sends a request and reads the complete answer.
    pub(crate) async fn request(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<Answer, WireError> {
        self.send(method.clone(), path, headers).await?;
        self.read_answer(&method).await
    }

    pub(crate) async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<(), WireError> {
        let mut map = HeaderMap::new();
        for (name, value) in [("host", HOST), ("baobabvane-request-id", "r1")].iter().chain(headers)
        {
            let value = HeaderValue::from_str(value).expect("a header value");
            map.insert(HeaderName::from_static(name), value);
        }
        let body = if method == Method::POST { Bytes::from_static(b"body") } else { Bytes::new() };
        self.send_body(method, path, &map, body).await
    }

    pub(crate) async fn send_body(
        &mut self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<(), WireError> {
        self.conn.send(&method, &path.parse().expect("a path"), headers, body).await
    }

    pub(crate) async fn read_answer(&mut self, method: &Method) -> Result<Answer, WireError> {
        let head = self.conn.read_head(method).await?;
        let body = self.conn.read_body(1 << 20).await?;
        let (parts, ()) = head.into_parts();
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }

    /// Reads the body of an answer until it ends or breaks off.
    ///
    /// Returns the text that arrived, and the error that cut the answer off, if any.
    pub(crate) async fn read_pieces(&mut self) -> (String, Result<(), WireError>) {
        let mut text = String::new();
        if let Err(e) = self.conn.read_head(&Method::POST).await {
            return (text, Err(e));
        }
        loop {
            match self.conn.next_piece().await {
                Ok(Some(piece)) => text += &String::from_utf8_lossy(&piece),
                Ok(None) => return (text, Ok(())),
                Err(e) => return (text, Err(e)),
            }
        }
    }

    /// Waits for the next answer; returns true if the connection closes without one.
    pub(crate) async fn closes_without_answer(&mut self) -> bool {
        self.conn.read_head(&Method::GET).await.is_err()
    }
}

/// Returns the text of the events with the numbers `from` to `to`, inclusive.
pub(crate) fn events(from: u64, to: u64) -> String {
    (from..=to).map(|n| format!("id: {n}\ndata: {n}\n\n")).collect()
}

/// Returns an organisation with one API key and no quota.
pub(crate) fn organisation(name: &str, key: &str) -> Organisation {
    Organisation { name: name.to_owned(), api_keys: vec![key.to_owned()], rank: None, quota: None }
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn eventually(mut condition: impl FnMut() -> bool) {
    let started_at = monoio::time::Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the condition did not hold in time");
        sleep(Duration::from_millis(5)).await;
    }
}
