//! Joins the parts of an instance and takes it through its life.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_decide::Policy;
use baobabvane_tasks::{Mailbox, StopHandle, listen};
use monoio::{
    net::TcpListener,
    time::{Instant, sleep},
};
use serde::{Deserialize, Serialize};

use crate::{
    caller,
    context::Context,
    feed::Feed,
    headers::HeaderNames,
    knowledge::Knowledge,
    peer::{self, ToPeers},
    ready::{self, RenderMetrics},
    scheduler,
};

/// How often the instance looks whether it should stop or has finished.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often connections to endpoints that are idle for too long are closed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// A balancer that probes each second needs two probes to see that an instance is
/// not ready; callers that it sends until then are still served.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// The process ends this long before the grace period does.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// What an instance is given at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// The instance's name, for logs.
    pub name: String,
    /// Its availability zone; endpoints in it are preferred.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the instance is ready.
    pub ready_listen: SocketAddr,
    /// Where metrics are served; none means nowhere.
    pub metrics_listen: Option<SocketAddr>,
    /// Where other instances connect and send datagrams.
    pub peer_listen: SocketAddr,
    /// From the request to stop until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// For how long a configuration is surely in force after its source said so, in
    /// milliseconds; later, requests that it does not allow are told to come back.
    #[serde(rename = "confirmation_ms")]
    pub configuration_max_age_ms: u64,
    /// Within this time each instance has to know what was written, in milliseconds.
    #[serde(rename = "news_bound_ms")]
    pub propagation_limit_ms: u64,
    /// Entries of endpoints entry_expiry when the store is away for this long, in milliseconds.
    #[serde(rename = "lapse_ms")]
    pub entry_expiry_ms: u64,
}

/// An instance in a state of its life.
pub struct Gateway<S> {
    settings: GatewaySettings,
    state: S,
}

/// The sockets are bound; nothing is served yet.
pub struct Bound {
    callers: TcpListener,
    ready: TcpListener,
    metrics: Option<TcpListener>,
}

/// Callers are served.
pub struct Serving {
    cx: Rc<Context>,
    feed: Feed,
    stop: StopHandle,
    grace: Duration,
}

impl Gateway<Bound> {
    /// Binds the sockets, so that an address in use is an error before anything starts.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub fn bind(settings: GatewaySettings) -> io::Result<Self> {
        let state = Bound {
            callers: listen(settings.listen)?,
            ready: listen(settings.ready_listen)?,
            metrics: settings.metrics_listen.map(listen).transpose()?,
        };
        Ok(Self { settings, state })
    }

    /// Returns where callers connect.
    ///
    /// # Errors
    ///
    /// When the socket does not tell.
    pub fn caller_address(&self) -> io::Result<SocketAddr> {
        self.state.callers.local_addr()
    }

    /// Returns where the balancer asks.
    ///
    /// # Errors
    ///
    /// When the socket does not tell.
    pub fn ready_address(&self) -> io::Result<SocketAddr> {
        self.state.ready.local_addr()
    }

    /// Starts the tasks and begins to serve; the instance is ready once its feed has
    /// told it a configuration and the endpoints.
    ///
    /// # Errors
    ///
    /// When the address for other instances cannot be bound.
    pub fn spawn(
        self,
        names: HeaderNames,
        stop: StopHandle,
        render: RenderMetrics,
    ) -> io::Result<Gateway<Serving>> {
        let Self { settings, state } = self;
        // Endpoints state their slots, and instances tell each other what is in flight.
        let policy = Policy { adaptive_limit: false, ..Policy::default() };
        let scheduler = scheduler::spawn(policy, &settings.zone);
        let entry_expiry = Duration::from_millis(settings.entry_expiry_ms);
        let propagation_limit = Duration::from_millis(settings.propagation_limit_ms);
        let knowledge = Rc::new(Knowledge::new(scheduler.clone(), entry_expiry));
        let peers: Mailbox<ToPeers> = peer::spawn(
            settings.peer_listen,
            &settings.zone,
            propagation_limit,
            Rc::clone(&knowledge),
            scheduler.clone(),
        )?;
        let max_age = Duration::from_millis(settings.configuration_max_age_ms);
        let feed = Feed { knowledge: Rc::clone(&knowledge), scheduler: scheduler.clone(), peers };
        let cx = Rc::new(Context::new(names, knowledge, scheduler, max_age));
        monoio::spawn(caller::accept(state.callers, Rc::clone(&cx)));
        monoio::spawn(ready::serve_ready(state.ready, Rc::clone(&cx)));
        if let Some(listener) = state.metrics {
            monoio::spawn(ready::serve_metrics(listener, render));
        }
        monoio::spawn(maintain_connections(Rc::clone(&cx)));
        log::info!("event=started instance={} listen={}", settings.name, settings.listen);
        let grace = Duration::from_millis(settings.grace_ms);
        let state = Serving { cx, feed, stop, grace };
        Ok(Gateway { settings, state })
    }
}

async fn maintain_connections(cx: Rc<Context>) {
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        cx.links.close_old();
        metrics::gauge!("baobabvane_gateway_active_requests").set(cx.active.get() as f64);
        metrics::gauge!("baobabvane_gateway_connections").set(cx.connections.get() as f64);
    }
}

impl Gateway<Serving> {
    /// Returns the port through which the instance learns from the platform.
    pub fn feed(&self) -> Feed {
        self.state.feed.clone()
    }

    /// Serves until a stop is asked for, then until the balancer has noticed and the
    /// last answer is whole, or the grace period is nearly over.
    ///
    /// Returns how many requests were cut off.
    pub async fn until_stopped(self) -> usize {
        let Serving { cx, feed, stop, grace } = &self.state;
        while !stop.is_set() {
            sleep(POLL_INTERVAL).await;
        }
        cx.drain.begin();
        feed.peers.send(ToPeers::Leave);
        let began = Instant::now();
        log::info!(
            "event=draining instance={} active={} connections={}",
            self.settings.name,
            cx.active.get(),
            cx.connections.get()
        );
        let end = grace.saturating_sub(GRACE_MARGIN);
        while began.elapsed() < end {
            if began.elapsed() >= MIN_DRAIN_TIME && cx.active.get() == 0 {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        let cut = cx.active.get();
        log::info!(
            "event=stopped instance={} cut={cut} ms={}",
            self.settings.name,
            began.elapsed().as_millis()
        );
        cut
    }
}
