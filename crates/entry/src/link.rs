//! The connections to one endpoint, owned by a task.
//!
//! An exchange has a connection of its own from its first byte to its answer's
//! last, so that answers cannot cross. A request that must not run twice always
//! gets a new connection: an old one may have gone silent without a sign.

use std::{io, net::SocketAddr, time::Duration};

use baobabvane_domain::Verdict;
use baobabvane_tasks::Mailbox;
use baobabvane_wire::{ClientConn, Connector, WireError};
use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri};
use local_sync::{mpsc::bounded, oneshot};

/// Idle connections that are kept for one endpoint.
const MAX_IDLE: usize = 1024;
/// Pieces of an answer that wait for a slow caller before the endpoint is stopped.
const MAX_PIECES: usize = 16;

/// A request on its way to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether an idle connection may carry it.
    pub(crate) idempotent: bool,
}

/// Why an exchange ended without a whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) verdict: Verdict,
    pub(crate) cause: Cause,
    pub(crate) detail: String,
}

/// What a failure says of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The endpoint refused, broke off or sent nonsense.
    Endpoint,
    /// The connection went silent, whatever the endpoint does.
    Silence,
}

/// What an exchange yields, in this order: a head, data, and one of the last two.
#[derive(Debug)]
pub(crate) enum Piece {
    Head(Response<()>),
    Data(Bytes),
    End,
    Failed(Failure),
}

/// An exchange in progress; dropping it closes its connection.
pub(crate) struct Exchange {
    pieces: bounded::Rx<Piece>,
    _cancel: oneshot::Sender<()>,
}

impl Exchange {
    /// Returns the next piece.
    pub(crate) async fn next(&mut self) -> Piece {
        match self.pieces.recv().await {
            Some(piece) => piece,
            None => Piece::Failed(Failure {
                verdict: Verdict::MayHaveRun,
                cause: Cause::Endpoint,
                detail: "the exchange ended without a word".to_owned(),
            }),
        }
    }
}

enum ToLink {
    Begin(Outgoing, bounded::Tx<Piece>, oneshot::Receiver<()>),
    Back(ClientConn),
}

/// The way to one endpoint; clones share its connections.
#[derive(Clone)]
pub(crate) struct Link {
    mailbox: Mailbox<ToLink>,
}

impl Link {
    /// Starts the task that owns the connections.
    pub(crate) fn spawn(address: SocketAddr, connect_timeout: Duration) -> Self {
        let (mailbox, mut rx) = Mailbox::new();
        let connector = Connector { address, timeout: connect_timeout };
        let back = mailbox.clone();
        monoio::spawn(async move {
            let mut idle: Vec<ClientConn> = Vec::new();
            while let Some(message) = rx.recv().await {
                match message {
                    ToLink::Begin(req, tx, cancel) => {
                        let conn = if req.idempotent { take_quiet(&mut idle) } else { None };
                        let run = Run { connector, conn, req, tx, back: back.clone() };
                        monoio::spawn(run.until(cancel));
                    }
                    ToLink::Back(conn) if idle.len() < MAX_IDLE => idle.push(conn),
                    ToLink::Back(_) => {}
                }
            }
        });
        Self { mailbox }
    }

    /// Sends a request; its answer comes in pieces.
    pub(crate) fn begin(&self, req: Outgoing) -> Exchange {
        let (tx, pieces) = bounded::channel(MAX_PIECES);
        let (cancel, cancelled) = oneshot::channel();
        self.mailbox.send(ToLink::Begin(req, tx, cancelled));
        Exchange { pieces, _cancel: cancel }
    }
}

fn take_quiet(idle: &mut Vec<ClientConn>) -> Option<ClientConn> {
    while let Some(mut conn) = idle.pop() {
        if conn.is_idle_and_open() {
            return Some(conn);
        }
    }
    None
}

/// One exchange, run by a task of its own.
struct Run {
    connector: Connector,
    conn: Option<ClientConn>,
    req: Outgoing,
    tx: bounded::Tx<Piece>,
    back: Mailbox<ToLink>,
}

impl Run {
    async fn until(mut self, cancelled: oneshot::Receiver<()>) {
        monoio::select! {
            _ = cancelled => {}
            conn = self.run() => {
                if let Some(conn) = conn {
                    self.back.send(ToLink::Back(conn));
                }
            }
        }
    }

    /// Returns the connection when it can carry another exchange.
    async fn run(&mut self) -> Option<ClientConn> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => match self.connector.connect().await {
                Ok(conn) => conn,
                Err(e) => return self.fail(Verdict::NotRun, e).await,
            },
        };
        if let Err(e) = self.exchange(&mut conn).await {
            return self.fail(Verdict::MayHaveRun, e).await;
        }
        conn.is_reusable().then_some(conn)
    }

    async fn exchange(&mut self, conn: &mut ClientConn) -> Result<(), WireError> {
        let req = &self.req;
        conn.send(&req.method, &req.uri, &req.headers, req.body.clone()).await?;
        let head = conn.read_head(&req.method).await?;
        let _ = self.tx.send(Piece::Head(head)).await;
        while let Some(data) = conn.next_piece().await? {
            let _ = self.tx.send(Piece::Data(data)).await;
        }
        let _ = self.tx.send(Piece::End).await;
        Ok(())
    }

    async fn fail(&self, verdict: Verdict, error: WireError) -> Option<ClientConn> {
        let cause = match &error {
            WireError::Io(e) if e.kind() == io::ErrorKind::TimedOut => Cause::Silence,
            _ => Cause::Endpoint,
        };
        let failure = Failure { verdict, cause, detail: error.to_string() };
        let _ = self.tx.send(Piece::Failed(failure)).await;
        None
    }
}
