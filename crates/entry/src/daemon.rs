//! Joins the parts of an entry instance and takes it through its life.

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
    view::Published,
};

/// How often the daemon looks whether it should stop or has finished.
const POLL: Duration = Duration::from_millis(10);
/// Outcomes of the last requests are given this long to reach the log.
const LAST_OUTCOMES: Duration = Duration::from_secs(5);

/// An entry instance in a state of its life.
pub struct Daemon<S> {
    settings: Rc<Settings>,
    stop: StopHandle,
    state: S,
}

/// The sockets are bound; nothing is served yet.
pub struct Starting {
    callers: TcpListener,
    operators: TcpListener,
    peers: Option<TcpListener>,
}

/// Callers and operators are served.
pub struct Serving {
    cx: Rc<caller::Context>,
    stop_by_operator: Rc<Cell<bool>>,
    members: Option<Mailbox<ToMembers>>,
}

impl Daemon<Starting> {
    /// Binds the sockets, so that an address in use is an error before anything starts.
    pub fn bind(settings: Settings) -> io::Result<Self> {
        let state = Starting {
            callers: listen(settings.listen)?,
            operators: listen(settings.operator_listen)?,
            peers: settings.peer_listen.map(listen).transpose()?,
        };
        Ok(Self { settings: Rc::new(settings), stop: StopHandle::default(), state })
    }

    /// Returns where callers connect.
    pub fn caller_address(&self) -> io::Result<SocketAddr> {
        self.state.callers.local_addr()
    }

    /// Returns where operators connect.
    pub fn operator_address(&self) -> io::Result<SocketAddr> {
        self.state.operators.local_addr()
    }

    /// Starts the tasks and begins to serve.
    ///
    /// # Errors
    ///
    /// When the address for other instances cannot be bound for datagrams.
    pub fn serve(self) -> io::Result<Daemon<Serving>> {
        let Self { settings, stop, state } = self;
        let incarnation = Incarnation(Uuid::new_v4());
        let log = open_log(&settings);
        let metrics = telemetry::install_metrics();
        let published = Published::default();
        let has_configuration = Rc::new(Cell::new(false));
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        let peer_key = state.peers.is_some().then(|| SharedKey::new(&settings.peer_secret));
        let identity = scheduler::Identity {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            peer_key: peer_key.clone(),
        };
        let scheduler = scheduler::spawn(identity, connect_timeout);
        let mut members = None;
        if let (Some(listener), Some(key)) = (state.peers, peer_key) {
            let address = listener.local_addr()?;
            let to = members::spawn(&settings, address, key.clone(), scheduler.clone())?;
            members = Some(to);
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
        let stop_by_operator = Rc::new(Cell::new(false));
        let operator_cx = Rc::new(OperatorContext {
            caller: Rc::clone(&cx),
            configurator,
            members: members.clone(),
            metrics,
            stop: Rc::clone(&stop_by_operator),
        });
        monoio::spawn(caller::accept(state.callers, Rc::clone(&cx)));
        monoio::spawn(operator::accept(state.operators, operator_cx));
        log::info!(
            "event=serving instance={} zone={} incarnation={}",
            settings.name,
            settings.zone,
            incarnation.0
        );
        Ok(Daemon { settings, stop, state: Serving { cx, stop_by_operator, members } })
    }
}

impl<S> Daemon<S> {
    /// Returns the handle that stops the daemon.
    pub fn stop_handle(&self) -> StopHandle {
        self.stop.clone()
    }
}

impl Daemon<Serving> {
    /// Serves until a stop is asked for, then until the last running answer is whole.
    ///
    /// Returns how many requests were cut off because the drain time ran out.
    pub async fn until_stopped(self) -> usize {
        let Serving { cx, stop_by_operator, members } = &self.state;
        while !self.stop.is_stop_requested() && !stop_by_operator.get() {
            sleep(POLL).await;
        }
        cx.is_draining.set(true);
        if let Some(members) = members {
            members.send(ToMembers::Leave);
        }
        log::info!("event=draining active={}", cx.active_requests.get());
        let drain = Duration::from_millis(self.settings.drain_timeout_ms);
        let deadline = Instant::now() + drain;
        while cx.active_requests.get() > 0 && Instant::now() < deadline {
            sleep(POLL).await;
        }
        let cut = cx.active_requests.get();
        // Requests that come in now are refused; they are not running ones.
        let deadline = Instant::now() + LAST_OUTCOMES;
        while Instant::now() < deadline && has_unsent_outcomes(cx).await {
            sleep(POLL).await;
        }
        log::info!("event=stopped cut={cut}");
        cut
    }
}

async fn has_unsent_outcomes(cx: &caller::Context) -> bool {
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
