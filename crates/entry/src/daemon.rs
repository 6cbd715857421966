//! Starts, runs and stops an entry instance.
//!
//! A graceful stop waits for requests in flight until the drain timeout, then for the last claims
//! of idempotency keys and their outcomes to reach the log.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use baobabvane_domain::{Incarnation, Uuid};
use baobabvane_log::{HttpLog, LogClient, MemoryLog};
use baobabvane_members::SharedKey;
use baobabvane_tasks::{Mailbox, StopHandle, listen};
use monoio::{
    net::TcpListener,
    time::{Instant, sleep},
};

use crate::{
    caller,
    journal::Journal,
    operator::{self, OperatorContext},
    peer,
    settings::Settings,
    tasks::{
        claimant::{self, ToClaimant},
        configurator,
        members::{self, ToMembers},
        scheduler,
    },
    telemetry,
    view::CurrentView,
};

/// Interval at which the daemon checks for a stop request, for requests in flight during the drain
/// and for claim entries that are not yet in the log.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait, after the drain, for claims and outcomes that are not yet in the log.
const CLAIM_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry instance; `S` is [`Starting`] or [`Serving`].
pub struct Daemon<S> {
    settings: Rc<Settings>,
    stop: StopHandle,
    state: S,
}

/// State of a [`Daemon`] whose listeners are bound and which accepts no connections yet.
pub struct Starting {
    caller_listener: TcpListener,
    operator_listener: TcpListener,
    peer_listener: Option<TcpListener>,
}

/// State of a [`Daemon`] that serves callers and operators.
pub struct Serving {
    cx: Rc<caller::Context>,
    operator_stop_requested: Rc<Cell<bool>>,
    members: Option<Mailbox<ToMembers>>,
}

impl Daemon<Starting> {
    /// Binds the listeners before any task starts.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, for example because it is in use.
    pub fn bind(settings: Settings) -> io::Result<Self> {
        let state = Starting {
            caller_listener: listen(settings.listen)?,
            operator_listener: listen(settings.operator_listen)?,
            peer_listener: settings.peer_listen.map(listen).transpose()?,
        };
        Ok(Self { settings: Rc::new(settings), stop: StopHandle::default(), state })
    }

    /// Returns the address where callers connect.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the address.
    pub fn caller_address(&self) -> io::Result<SocketAddr> {
        self.state.caller_listener.local_addr()
    }

    /// Returns the address where operators connect.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the address.
    pub fn operator_address(&self) -> io::Result<SocketAddr> {
        self.state.operator_listener.local_addr()
    }

    /// Starts the tasks and accepts connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket for other instances cannot be bound, or if the operating
    /// system cannot report the address where other instances connect.
    pub fn serve(self) -> io::Result<Daemon<Serving>> {
        let Self { settings, stop, state } = self;
        let incarnation = Incarnation(Uuid::new_v4());
        let log = open_log(&settings);
        let metrics = telemetry::install_metrics();
        let published = CurrentView::default();
        let has_configuration = Rc::new(Cell::new(false));
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        let peer_key = state.peer_listener.is_some().then(|| SharedKey::new(&settings.peer_secret));
        let identity = scheduler::Identity {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            peer_key: peer_key.clone(),
        };
        let scheduler = scheduler::spawn(identity, connect_timeout);
        let mut members = None;
        if let (Some(listener), Some(key)) = (state.peer_listener, peer_key) {
            let address = listener.local_addr()?;
            let mailbox = members::spawn(&settings, address, key.clone(), scheduler.clone())?;
            members = Some(mailbox);
            monoio::spawn(peer::accept(listener, key, scheduler.clone()));
        }
        let claimant = claimant::spawn(log.clone(), &settings, incarnation);
        let configurator = configurator::spawn(
            log,
            Rc::clone(&settings),
            published.clone(),
            scheduler.clone(),
            Rc::clone(&has_configuration),
        );
        let cx = Rc::new(caller::Context {
            settings: Rc::clone(&settings),
            published,
            scheduler,
            claimant,
            journal: Journal::default(),
            has_configuration,
            is_draining: Cell::new(false),
            active_requests: Cell::new(0),
            connections: Cell::new(0),
            last_ticket: Cell::new(0),
        });
        let operator_stop_requested = Rc::new(Cell::new(false));
        let operator_cx = Rc::new(OperatorContext {
            caller: Rc::clone(&cx),
            configurator,
            members: members.clone(),
            metrics,
            stop_requested: Rc::clone(&operator_stop_requested),
        });
        monoio::spawn(caller::accept(state.caller_listener, Rc::clone(&cx)));
        monoio::spawn(operator::accept(state.operator_listener, operator_cx));
        log::info!(
            "event=serving instance={} zone={} incarnation={}",
            settings.name,
            settings.zone,
            incarnation.0
        );
        Ok(Daemon { settings, stop, state: Serving { cx, operator_stop_requested, members } })
    }
}

impl<S> Daemon<S> {
    /// Returns a handle that requests a graceful stop of the daemon.
    pub fn stop_handle(&self) -> StopHandle {
        self.stop.clone()
    }
}

impl Daemon<Serving> {
    /// Serves until a stop is requested, then waits for requests in flight and for their claims and
    /// outcomes to reach the log.
    ///
    /// Returns the number of requests still in flight when the drain timeout expired; an
    /// at-most-once request counts twice while its caller still waits.
    pub async fn until_stopped(self) -> usize {
        let Serving { cx, operator_stop_requested, members } = &self.state;
        while !self.stop.is_stop_requested() && !operator_stop_requested.get() {
            sleep(POLL_INTERVAL).await;
        }
        cx.is_draining.set(true);
        if let Some(members) = members {
            members.send(ToMembers::Leave);
        }
        log::info!("event=draining active={}", cx.active_requests.get());
        let drain_timeout = Duration::from_millis(self.settings.drain_timeout_ms);
        let deadline = Instant::now() + drain_timeout;
        while cx.active_requests.get() > 0 && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        let cut_off = cx.active_requests.get();
        // Read before the wait below: requests that arrive during it raise `active_requests` while
        // they are refused, but are not cut off.
        let deadline = Instant::now() + CLAIM_FLUSH_TIMEOUT;
        while Instant::now() < deadline && has_unsent_claim_entries(cx).await {
            sleep(POLL_INTERVAL).await;
        }
        log::info!("event=stopped cut={cut_off}");
        cut_off
    }
}

async fn has_unsent_claim_entries(cx: &caller::Context) -> bool {
    cx.claimant.ask(ToClaimant::Status).await.is_some_and(|claims| claims.unsent > 0)
}

fn open_log(settings: &Settings) -> LogClient {
    match settings.log {
        Some(address) => {
            let timeout = Duration::from_millis(settings.log_timeout_ms);
            LogClient::Http(HttpLog::new(address, timeout))
        }
        None => {
            log::warn!(
                "event=log_in_memory detail=\"configuration and claims are lost when this process ends\""
            );
            LogClient::Memory(MemoryLog::default())
        }
    }
}
