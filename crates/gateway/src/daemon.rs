//! Starts the tasks of a gateway instance, runs it and shuts it down gracefully.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_decide::Policy;
use baobabvane_tasks::{Mailbox, StopHandle, listen};
use baobabvane_wire::{MemoryBudget, MemoryKind};
use monoio::{
    net::TcpListener,
    time::{Instant, sleep},
};
use serde::{Deserialize, Serialize};

use crate::{
    caller,
    context::{ClosedCounts, Context, DescriptorLimits},
    feed::Feed,
    headers::HeaderNames,
    knowledge::Knowledge,
    peer::{self, PeersMessage},
    ready::{self, RenderMetrics},
    scheduler,
};

/// The interval between checks for a stop request and for the end of the drain.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often expired idle connections to endpoints are closed and gauges are updated.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of an instance, fixed at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// The name of the instance in log lines.
    pub name: String,
    /// The availability zone of the instance; endpoints in the same zone are preferred.
    pub zone: String,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address that serves the load balancer's readiness probes.
    pub ready_listen: SocketAddr,
    /// The address that serves metrics; `None` disables the listener.
    pub metrics_listen: Option<SocketAddr>,
    /// The address that other instances connect to (TCP) and send heartbeats to (UDP).
    pub peer_listen: SocketAddr,
    /// The time from the stop request until the platform kills the process, in milliseconds.
    pub grace_ms: u64,
    /// How long a configuration counts as current after its source confirmed it, in
    /// milliseconds. When it is older, callers whose requests it would reject for good are asked
    /// to retry instead.
    #[serde(rename = "confirmation_ms")]
    pub configuration_max_age_ms: u64,
    /// The propagation bound: the time within which a write to the store must reach every
    /// instance, in milliseconds.
    #[serde(rename = "news_bound_ms")]
    pub propagation_bound_ms: u64,
    /// The length of a store outage after which entries of endpoints in discovery may have
    /// expired, in milliseconds.
    #[serde(rename = "lapse_ms")]
    pub endpoint_expiry_ms: u64,
    /// The memory that the process may use, in bytes; half of it is for what it holds for others.
    pub memory_bytes: usize,
    /// The file descriptors that the process may open; 200 of them are kept for files.
    pub file_descriptors: usize,
}

/// A gateway instance; the type parameter is its lifecycle state, [`Bound`] or [`Serving`].
pub struct Gateway<S> {
    settings: GatewaySettings,
    state: S,
}

/// The state in which the sockets are bound, but no connection is accepted yet.
pub struct Bound {
    callers: TcpListener,
    ready: TcpListener,
    metrics: Option<TcpListener>,
}

/// The state in which the instance serves callers.
pub struct Serving {
    cx: Rc<Context>,
    feed: Feed,
    stop: StopHandle,
}

impl Gateway<Bound> {
    /// Binds the sockets for callers, probes and metrics before any task starts.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn bind(settings: GatewaySettings) -> io::Result<Self> {
        let state = Bound {
            callers: listen(settings.listen)?,
            ready: listen(settings.ready_listen)?,
            metrics: settings.metrics_listen.map(listen).transpose()?,
        };
        Ok(Self { settings, state })
    }

    /// Returns the address that callers connect to.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket's local address cannot be read.
    pub fn caller_address(&self) -> io::Result<SocketAddr> {
        self.state.callers.local_addr()
    }

    /// Returns the address that serves readiness probes.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket's local address cannot be read.
    pub fn ready_address(&self) -> io::Result<SocketAddr> {
        self.state.ready.local_addr()
    }

    /// Starts the tasks and accepts callers; the instance becomes ready once its feed or a
    /// peer has supplied a configuration and the endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if the address for other instances cannot be bound.
    pub fn spawn(
        self,
        names: HeaderNames,
        stop: StopHandle,
        render: RenderMetrics,
    ) -> io::Result<Gateway<Serving>> {
        let Self { settings, state } = self;
        // Endpoints report their slots and instances exchange their loads, so the concurrency
        // limit need not be estimated.
        let max_prefix_blocks = scheduler::max_prefix_blocks(settings.memory_bytes);
        let policy = Policy { adaptive_limit: false, max_prefix_blocks, ..Policy::default() };
        let scheduler = scheduler::spawn(policy, &settings.zone);
        let endpoint_expiry = Duration::from_millis(settings.endpoint_expiry_ms);
        let propagation_bound = Duration::from_millis(settings.propagation_bound_ms);
        let knowledge = Rc::new(Knowledge::new(scheduler.clone(), endpoint_expiry));
        let memory = MemoryBudget::new(settings.memory_bytes);
        let peers: Mailbox<PeersMessage> = peer::spawn(
            settings.peer_listen,
            &settings.zone,
            propagation_bound,
            Rc::clone(&knowledge),
            scheduler.clone(),
            Rc::clone(&memory),
        )?;
        let max_age = Duration::from_millis(settings.configuration_max_age_ms);
        let feed = Feed { knowledge: Rc::clone(&knowledge), scheduler: scheduler.clone(), peers };
        let grace = Duration::from_millis(settings.grace_ms);
        let limits = DescriptorLimits::new(settings.file_descriptors);
        let cx = Rc::new(Context::new(names, knowledge, scheduler, max_age, grace, memory, limits));
        monoio::spawn(caller::accept_connections(state.callers, Rc::clone(&cx)));
        monoio::spawn(ready::serve_ready(state.ready, Rc::clone(&cx), limits.probe_connections));
        if let Some(listener) = state.metrics {
            monoio::spawn(ready::serve_metrics(listener, render, limits.probe_connections));
        }
        monoio::spawn(maintain_connections(Rc::clone(&cx)));
        log::info!("event=started instance={} listen={}", settings.name, settings.listen);
        let state = Serving { cx, feed, stop };
        Ok(Gateway { settings, state })
    }
}

async fn maintain_connections(cx: Rc<Context>) {
    let mut closed_before = cx.closed_counts();
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        let closed = cx.closed_counts();
        if closed != closed_before {
            log_closed(&cx, closed_before, closed);
            closed_before = closed;
        }
        cx.endpoint_connections.close_expired();
        metrics::gauge!("baobabvane_gateway_active_requests").set(cx.active_requests.get() as f64);
        metrics::gauge!("baobabvane_gateway_connections").set(cx.caller_connections.open() as f64);
        metrics::gauge!("baobabvane_gateway_endpoint_connections")
            .set(cx.endpoint_connections.open() as f64);
        for kind in MemoryKind::ALL {
            metrics::gauge!("baobabvane_gateway_held_bytes", "kind" => kind.as_str())
                .set(cx.memory.used_bytes(kind) as f64);
        }
    }
}

/// Logs and counts the connections that were closed since `before` because memory or descriptors were
/// short; one line for all, as there may be thousands in a second.
fn log_closed(cx: &Context, before: ClosedCounts, now: ClosedCounts) {
    let reasons = [
        ("idle", now.idle - before.idle),
        ("incomplete_request", now.incomplete_requests - before.incomplete_requests),
        ("slow_reader", now.slow_readers - before.slow_readers),
        ("no_room", now.new - before.new),
    ];
    for (reason, count) in reasons {
        metrics::counter!("baobabvane_gateway_closed_total", "reason" => reason).increment(count);
    }
    let [idle, incomplete, slow, new] = reasons.map(|(_, count)| count);
    log::warn!(
        "event=connections_closed idle={idle} incomplete_request={incomplete} slow_reader={slow} \
         no_room={new} open={} max_open={} held_bytes={}",
        cx.caller_connections.open(),
        cx.max_caller_connections,
        MemoryKind::ALL.iter().map(|kind| cx.memory.used_bytes(*kind)).sum::<usize>(),
    );
}

impl Gateway<Serving> {
    /// Returns the feed through which the platform adapter sends updates to the instance.
    pub fn feed(&self) -> Feed {
        self.state.feed.clone()
    }

    /// Returns the budget in which the platform adapter counts what it holds.
    pub fn memory(&self) -> Rc<MemoryBudget> {
        Rc::clone(&self.state.cx.memory)
    }

    /// Serves until a stop is requested, then drains: waits until the load balancer has
    /// detected the stop and each request has got its answer.
    ///
    /// Returns the number of requests whose answer was not written when the grace period was
    /// nearly over.
    pub async fn until_stopped(self) -> usize {
        let Serving { cx, feed, stop } = &self.state;
        while !stop.is_stop_requested() {
            sleep(POLL_INTERVAL).await;
        }
        cx.drain.begin();
        feed.peers.send(PeersMessage::Leave);
        let began = Instant::now();
        log::info!(
            "event=draining instance={} active={} connections={}",
            self.settings.name,
            cx.active_requests.get(),
            cx.caller_connections.open()
        );
        while !cx.drain.is_over(cx.active_requests.get()) {
            sleep(POLL_INTERVAL).await;
        }
        let cut = cx.active_requests.get();
        log::info!(
            "event=stopped instance={} cut={cut} ms={}",
            self.settings.name,
            began.elapsed().as_millis()
        );
        cut
    }
}
