//! The HTTP client for one endpoint, with a pool of idle connections that a task owns.
//!
//! An exchange has a connection to itself from the first byte of the request to the last byte of
//! the response, so that responses cannot be mixed up. A request that must not run twice always
//! gets a new connection, because an idle one may be dead without any indication.

use std::{io, net::SocketAddr, time::Duration};

use baobabvane_domain::Verdict;
use baobabvane_tasks::Mailbox;
use baobabvane_wire::{ClientConn, Connector, WireError};
use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri};
use local_sync::{mpsc::bounded, oneshot};

/// The most idle connections kept for one endpoint.
const MAX_IDLE_CONNS: usize = 1024;
/// The most events buffered for a slow caller; beyond them nothing is read from the endpoint.
const MAX_BUFFERED_EVENTS: usize = 16;

/// A request to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the request may be sent on an idle connection.
    pub(crate) is_idempotent: bool,
}

/// Why an exchange ended without a complete response.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) verdict: Verdict,
    pub(crate) cause: FailureCause,
    pub(crate) detail: String,
}

/// Whether an exchange failed through the endpoint or through a network timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureCause {
    /// The endpoint refused the connection, did not accept it within the connect timeout, closed
    /// it, or sent an invalid response or, to an idempotent request, a status of 502 to 504.
    Endpoint,
    /// The kernel reported a TCP timeout; whether the endpoint still works on the request is
    /// unknown.
    Timeout,
}

/// An event of an exchange: a head first, then any number of data, then `End`. `Failed` can take
/// the place of any of them and is the last event.
#[derive(Debug)]
pub(crate) enum ExchangeEvent {
    Head(Response<()>),
    Data(Bytes),
    End,
    Failed(Failure),
}

/// An exchange in progress; dropping it closes its connection.
pub(crate) struct Exchange {
    events: bounded::Rx<ExchangeEvent>,
    _cancel: oneshot::Sender<()>,
}

impl Exchange {
    /// Waits for the next event.
    pub(crate) async fn next(&mut self) -> ExchangeEvent {
        match self.events.recv().await {
            Some(event) => event,
            None => ExchangeEvent::Failed(Failure {
                verdict: Verdict::MayHaveRun,
                cause: FailureCause::Endpoint,
                detail: "the exchange ended without a word".to_owned(),
            }),
        }
    }
}

enum ClientCommand {
    Start(OutgoingRequest, bounded::Tx<ExchangeEvent>, oneshot::Receiver<()>),
    ReturnConn(ClientConn),
}

/// The client of one endpoint; clones share its connections.
#[derive(Clone)]
pub(crate) struct EndpointClient {
    mailbox: Mailbox<ClientCommand>,
}

impl EndpointClient {
    /// Starts the task that owns the connections.
    pub(crate) fn spawn(address: SocketAddr, connect_timeout: Duration) -> Self {
        let (mailbox, mut rx) = Mailbox::new();
        let connector = Connector { address, timeout: connect_timeout };
        let commands = mailbox.clone();
        monoio::spawn(async move {
            let mut idle: Vec<ClientConn> = Vec::new();
            while let Some(command) = rx.recv().await {
                match command {
                    ClientCommand::Start(request, tx, cancel) => {
                        let conn =
                            if request.is_idempotent { take_usable_conn(&mut idle) } else { None };
                        let task = ExchangeTask {
                            connector,
                            conn,
                            request,
                            tx,
                            commands: commands.clone(),
                        };
                        monoio::spawn(task.run_until_cancelled(cancel));
                    }
                    ClientCommand::ReturnConn(conn) if idle.len() < MAX_IDLE_CONNS => {
                        idle.push(conn)
                    }
                    ClientCommand::ReturnConn(_) => {}
                }
            }
        });
        Self { mailbox }
    }

    /// Sends a request; the response arrives as events of the returned exchange.
    pub(crate) fn start_exchange(&self, request: OutgoingRequest) -> Exchange {
        let (tx, events) = bounded::channel(MAX_BUFFERED_EVENTS);
        let (cancel, cancelled) = oneshot::channel();
        self.mailbox.send(ClientCommand::Start(request, tx, cancelled));
        Exchange { events, _cancel: cancel }
    }
}

fn take_usable_conn(idle: &mut Vec<ClientConn>) -> Option<ClientConn> {
    while let Some(mut conn) = idle.pop() {
        if conn.is_idle_and_open() {
            return Some(conn);
        }
    }
    None
}

/// An exchange, which runs in a task of its own.
struct ExchangeTask {
    connector: Connector,
    conn: Option<ClientConn>,
    request: OutgoingRequest,
    tx: bounded::Tx<ExchangeEvent>,
    commands: Mailbox<ClientCommand>,
}

impl ExchangeTask {
    async fn run_until_cancelled(mut self, cancelled: oneshot::Receiver<()>) {
        monoio::select! {
            _ = cancelled => {}
            conn = self.run() => {
                if let Some(conn) = conn {
                    self.commands.send(ClientCommand::ReturnConn(conn));
                }
            }
        }
    }

    /// Runs the exchange and returns the connection if it can be reused.
    async fn run(&mut self) -> Option<ClientConn> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => match self.connector.connect().await {
                Ok(conn) => conn,
                Err(e) => return self.report_failure(Verdict::NotRun, e).await,
            },
        };
        if let Err(e) = self.exchange(&mut conn).await {
            return self.report_failure(Verdict::MayHaveRun, e).await;
        }
        conn.is_reusable().then_some(conn)
    }

    async fn exchange(&mut self, conn: &mut ClientConn) -> Result<(), WireError> {
        let request = &self.request;
        conn.send(&request.method, &request.uri, &request.headers, request.body.clone()).await?;
        let head = conn.read_head(&request.method).await?;
        let _ = self.tx.send(ExchangeEvent::Head(head)).await;
        while let Some(data) = conn.next_piece().await? {
            let _ = self.tx.send(ExchangeEvent::Data(data)).await;
        }
        let _ = self.tx.send(ExchangeEvent::End).await;
        Ok(())
    }

    async fn report_failure(&self, verdict: Verdict, error: WireError) -> Option<ClientConn> {
        let cause = match &error {
            WireError::Io(e) if e.kind() == io::ErrorKind::TimedOut => FailureCause::Timeout,
            _ => FailureCause::Endpoint,
        };
        let failure = Failure { verdict, cause, detail: error.to_string() };
        let _ = self.tx.send(ExchangeEvent::Failed(failure)).await;
        None
    }
}
