//! A stand-in for an engine.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Message},
    record::Record,
};

pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
}

/// What an engine does with a request that names it; returns whether the connection stays open.
pub type Behaviour = Arc<dyn Fn(&Message, &mut Conn) -> bool + Send + Sync>;

impl Engine {
    /// Starts an engine, which works on `slots` requests at once and queues the others. A request
    /// that expects another instance gets 421 and one whose time is over in the queue 503, both as
    /// not executed; all others are recorded as run and given to `behaviour`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        record: &Record,
        behaviour: Behaviour,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let (own, record) = (id.to_owned(), record.clone());
        let free = Arc::new((Mutex::new(slots), Condvar::new()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, record) = (own.clone(), record.clone());
                let (behaviour, free) = (Arc::clone(&behaviour), Arc::clone(&free));
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read() {
                        if request.header("x-baobabvane-expected-instance") != Some(&own) {
                            let not_run = [
                                ("X-Baobabvane-Instance-Id", &*own),
                                ("X-Baobabvane-Not-Executed", "1"),
                            ];
                            if conn.write_answer(421, &not_run, b"").is_err() {
                                return;
                            }
                            continue;
                        }
                        record.passed_on(&own, &attempt(&request));
                        if !take_slot(&free, time_left(&request)) {
                            let not_run = [("X-Baobabvane-Not-Executed", "1")];
                            if conn.write_answer(503, &not_run, b"").is_err() {
                                return;
                            }
                            continue;
                        }
                        record.run(&own, &attempt(&request));
                        let is_open = behaviour(&request, &mut conn);
                        *free.0.lock().unwrap() += 1;
                        free.1.notify_one();
                        if !is_open {
                            return;
                        }
                    }
                });
            }
        });
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        Self { id, service, zone, address, slots }
    }

    /// Returns the engine's entry in the store.
    pub fn entry(&self) -> String {
        let Self { service, address, zone, slots, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","availabilityZone":"{zone}","version":"v1","slotCount":{slots},"lifecycleState":"ready","coldRemainingMs":0,"born":1700000000000,"sequenceNumber":1}}"#
        )
    }
}

fn time_left(request: &Message) -> Duration {
    let ms = request.header("x-baobabvane-deadline-remaining").and_then(|v| v.parse().ok());
    Duration::from_millis(ms.unwrap_or(15_000))
}

/// Takes a slot once one is free; returns false if none is in time.
fn take_slot(free: &(Mutex<u32>, Condvar), time_left: Duration) -> bool {
    let until = Instant::now() + time_left;
    let mut slots = free.0.lock().unwrap();
    while *slots == 0 {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        slots = free.1.wait_timeout(slots, left).unwrap().0;
    }
    *slots -= 1;
    true
}

pub fn attempt(request: &Message) -> String {
    request.header("x-baobabvane-attempt-id").unwrap_or("-").to_owned()
}

/// Answers 200 with the engine's signature and the attempt's id after `work`.
pub fn answer(request: &Message, conn: &mut Conn, work: Duration) -> bool {
    thread::sleep(work);
    let id = attempt(request);
    let headers = [("X-Baobabvane-Attempt-Id", &*id), ("X-Baobabvane-Response-Signature", "s.1")];
    conn.write_answer(200, &headers, format!("answer {id}").as_bytes()).is_ok()
}

/// Returns the head of an answer that is a stream of events, in chunks.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Baobabvane-Attempt-Id: {id}\r\n\
         X-Baobabvane-Response-Signature: s.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Answers with a stream of five events, the engine's signature and the attempt's id.
pub fn stream(request: &Message, conn: &mut Conn) -> bool {
    let id = attempt(request);
    let mut is_open = conn.stream.write_all(stream_head(&id).as_bytes()).is_ok();
    for number in 1..=5 {
        thread::sleep(Duration::from_millis(20));
        let event = format!("id: {number}\ndata: {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_open &= conn.stream.write_all(chunk.as_bytes()).is_ok();
    }
    is_open && conn.stream.write_all(b"0\r\n\r\n").is_ok()
}
