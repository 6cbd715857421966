//! A stand-in for a client: one attempt at a time, on a kept or a new connection.

use std::{
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{http::Conn, record::Record};

/// How an attempt ended, as the client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status.
    Answer(u16),
    /// The connection ended without a complete answer.
    Closed,
    /// Nothing complete arrived until the client's deadline.
    Deadline,
    /// No connection was established, or nothing could be sent.
    NotSent,
}

/// One attempt and its outcome.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: End,
    pub is_on_kept_connection: bool,
    /// The body of a complete answer.
    pub body: Vec<u8>,
}

pub struct Client {
    pub machine: SocketAddr,
    pub conn: Option<Conn>,
    record: Record,
}

/// What a client sends.
pub struct Send<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub headers: &'a str,
    pub body: &'a [u8],
    /// For how long it sends the body.
    pub body_time: Duration,
}

impl Client {
    pub fn new(machine: SocketAddr, record: &Record) -> Self {
        Self { machine, conn: None, record: record.clone() }
    }

    /// Sends an attempt and waits for its end, at most until its deadline.
    pub fn send(&mut self, send: &Send) -> Attempt {
        let sent_at = Instant::now();
        let is_on_kept_connection = self.conn.is_some();
        let (end, body) = self.exchange(send, sent_at + send.deadline);
        let ended_at = Instant::now();
        let ms = (ended_at - sent_at).as_millis();
        self.record.line(&format!(
            "attempt id={} machine={} kept={is_on_kept_connection} end={end:?} ms={ms}",
            send.id, self.machine
        ));
        Attempt { id: send.id.to_owned(), sent_at, ended_at, end, is_on_kept_connection, body }
    }

    fn exchange(&mut self, send: &Send, deadline: Instant) -> (End, Vec<u8>) {
        let Send { method, path, id, headers, body, body_time, .. } = send;
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            // Clients allow a new connection one second.
            None => match TcpStream::connect_timeout(&self.machine, Duration::from_secs(1)) {
                Ok(stream) => Conn::new(stream),
                Err(_) => return (End::NotSent, Vec::new()),
            },
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Baobabvane-Attempt-Id: {id}\r\n\
             X-Baobabvane-Deadline-Remaining: {}\r\nAuthorization: Bearer k1\r\n{headers}\
             Content-Length: {}\r\n\r\n",
            left.as_millis(),
            body.len()
        )
        .into_bytes();
        if body_time.is_zero() {
            bytes.extend_from_slice(body);
        }
        self.record.line(&format!("sent id={id} {method} {path} machine={}", self.machine));
        let _ = conn.stream.set_write_timeout(Some(left.max(Duration::from_millis(1))));
        if conn.stream.write_all(&bytes).is_err() {
            return (End::NotSent, Vec::new());
        }
        if !body_time.is_zero()
            && crate::upload::write_paced(&mut conn.stream, body, *body_time).is_err()
        {
            return (End::NotSent, Vec::new());
        }
        conn.deadline = Some(deadline);
        match conn.read() {
            Ok(Some(answer)) => {
                let closes = answer.header("connection").is_some_and(|v| v == "close");
                if !closes {
                    self.conn = Some(conn);
                }
                (End::Answer(answer.status()), answer.body)
            }
            Ok(None) => (End::Closed, Vec::new()),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                (End::Deadline, Vec::new())
            }
            Err(_) => (End::Closed, Vec::new()),
        }
    }
}
