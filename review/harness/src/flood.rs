//! An engine that spoils a few of its answers with bytes that are no answer, without end, until
//! the caller closes.

use std::{
    collections::HashSet,
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{Attempt, Client, End, Send},
    engine::{self, Behaviour, Engine},
    http::Conn,
    platform::{self, MEMORY_LIMIT_MB},
    record::Record,
    site::{Route, Site, ZONES},
};

const MACHINES: usize = 3;
const READERS_PER_MACHINE: usize = 5;
const STREAMERS_PER_MACHINE: usize = 4;
const READ_TIMEOUT: Duration = Duration::from_millis(800);
const READ_DEADLINE: Duration = Duration::from_millis(1_500);
const READ_WORK: Duration = Duration::from_millis(150);
const STREAM_DEADLINE: Duration = Duration::from_millis(12_000);
/// Time with traffic before the disruption, and with it.
const CALM: Duration = Duration::from_secs(4);
const PLAYED: Duration = Duration::from_secs(20);
/// For how long the engine spoils answers, and one in how many: `garble` in the site file has
/// `for_s = 5.5` and `x = 0.02`.
const TROUBLE: Duration = Duration::from_millis(5_500);
const SPOILED_ONE_IN: u32 = 50;
/// `limits.bandwidthMbps` is 1,000.
const FLOOD_BYTES_PER_S: f64 = 120e6;

/// What the engine sends without end, in place of an answer's head.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Empty lines; the rule is LOST.
    EmptyLines,
    /// Interim responses; the rule is CONFIG.
    InterimResponses,
}

/// What the parts of a play share.
struct Play {
    record: Record,
    begun: Instant,
    /// The machines that the platform gives new connections.
    rotation: Mutex<Vec<SocketAddr>>,
    reads: Mutex<Vec<Attempt>>,
    is_over: AtomicBool,
}

pub fn play(record: &Record, has_trouble: bool, kind: Kind) -> Verdict {
    let is_faulty = Arc::new(AtomicBool::new(false));
    let engines = start_engines(record, &is_faulty, kind);
    let engine_refs: Vec<&Engine> = engines.iter().collect();
    let Some(mut site) = Site::start(MACHINES as u8, &routes(), &engine_refs, record) else {
        return Verdict::CouldNotRun;
    };
    let machines: Vec<SocketAddr> = site.machines.iter().map(|m| m.callers).collect();
    let play = Arc::new(Play {
        record: record.clone(),
        begun: Instant::now(),
        rotation: Mutex::new(machines),
        reads: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    let mut clients = Vec::new();
    for i in 0..MACHINES * READERS_PER_MACHINE {
        let play = Arc::clone(&play);
        clients.push(thread::spawn(move || play.read_repeatedly(i)));
    }
    for i in 0..MACHINES * STREAMERS_PER_MACHINE {
        let play = Arc::clone(&play);
        clients.push(thread::spawn(move || play.stream_repeatedly(i)));
    }
    let probes: Vec<(SocketAddr, SocketAddr)> =
        site.machines.iter().map(|m| (m.callers, m.ready)).collect();
    let balancer = {
        let play = Arc::clone(&play);
        thread::spawn(move || play.balance(&probes))
    };
    let mut kills = 0;
    let mut has_begun = false;
    while play.begun.elapsed() < PLAYED {
        thread::sleep(Duration::from_millis(2));
        if has_trouble {
            let since = play.begun.elapsed().saturating_sub(CALM);
            let is_on = !since.is_zero() && since < TROUBLE;
            if is_on && !std::mem::replace(&mut has_begun, true) {
                record.say("trouble: engine e-0 spoils one answer in 50 for 5.5 s");
            }
            is_faulty.store(is_on, Ordering::Relaxed);
        }
        // A process that exceeds `memoryLimitMb` is killed and started again.
        for (i, machine) in site.machines.iter_mut().enumerate() {
            let mib = machine.memory_kib("VmRSS") / 1_024;
            if mib > MEMORY_LIMIT_MB {
                kills += 1;
                record.say(&format!(
                    "machine {i}: its process has {mib} MiB, over memoryLimitMb, and is killed"
                ));
                machine.kill_and_restart();
            }
        }
    }
    play.is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = balancer.join();
    let peaks: Vec<u64> = site.machines.iter().map(|m| m.memory_kib("VmHWM") / 1_024).collect();
    record.say(&format!("peak memory of the present processes in MiB: {peaks:?}, {kills} killed"));
    match kind {
        Kind::EmptyLines => play.judge_lost(kills),
        Kind::InterimResponses => play.judge_config(),
    }
}

fn routes() -> [Route; 2] {
    [
        Route {
            prefix: "/read/",
            kind: "idempotent",
            timeout_ms: READ_TIMEOUT.as_millis() as u64,
            target_ms: 300,
            service: "ledger-app",
            attempts: 2,
            is_resumable: false,
        },
        Route {
            prefix: "/answer/",
            kind: "streaming",
            timeout_ms: STREAM_DEADLINE.as_millis() as u64,
            target_ms: 500,
            service: "vane-pool",
            attempts: 1,
            is_resumable: false,
        },
    ]
}

/// Starts three model engines, of which the first one can be faulty, and three sound engines of
/// a plain service.
fn start_engines(record: &Record, is_faulty: &Arc<AtomicBool>, kind: Kind) -> Vec<Engine> {
    let stream: Behaviour = Arc::new(engine::stream);
    let faulty: Behaviour = {
        let (is_faulty, record) = (Arc::clone(is_faulty), record.clone());
        let answers = AtomicU32::new(0);
        Arc::new(move |req, conn| {
            if is_faulty.load(Ordering::Relaxed)
                && answers.fetch_add(1, Ordering::Relaxed) % SPOILED_ONE_IN == 0
            {
                let id = engine::attempt(req);
                record.say(&format!("engine e-0 begins bytes without end id={id}"));
                let bytes = flood(conn, kind);
                record.say(&format!("its caller has closed after {bytes} bytes id={id}"));
                return false;
            }
            engine::stream(req, conn)
        })
    };
    let read: Behaviour = Arc::new(|req, conn| engine::answer(req, conn, READ_WORK));
    let mut engines = Vec::new();
    for (i, behaviour) in [faulty, Arc::clone(&stream), stream].into_iter().enumerate() {
        let id = format!("e-{i}");
        engines.push(Engine::start(&id, "vane-pool", ZONES[i], 11, record, behaviour));
    }
    for (i, zone) in ZONES.iter().enumerate() {
        let id = format!("d-{i}");
        engines.push(Engine::start(&id, "ledger-app", zone, 6, record, Arc::clone(&read)));
    }
    engines
}

/// Writes bytes until the peer closes the connection; returns how many.
fn flood(conn: &mut Conn, kind: Kind) -> usize {
    let piece = match kind {
        Kind::EmptyLines => "\r\n".repeat(30_000),
        Kind::InterimResponses => "HTTP/1.1 100 \r\n\r\n".repeat(3_500),
    };
    let begun = Instant::now();
    let mut bytes = 0;
    while conn.stream.write_all(piece.as_bytes()).is_ok() {
        bytes += piece.len();
        let due = Duration::from_secs_f64(bytes as f64 / FLOOD_BYTES_PER_S);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    bytes
}

impl Play {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Returns the machine to which the platform forwards a client's next new connection.
    fn machine(&self, client: usize) -> SocketAddr {
        let rotation = self.rotation.lock().unwrap();
        rotation[client % rotation.len()]
    }

    /// Probes all machines once a second, as the platform does: two misses take a machine out. If
    /// fewer than half are left, all are used.
    fn balance(&self, machines: &[(SocketAddr, SocketAddr)]) {
        let mut misses = vec![0; machines.len()];
        while !self.is_over() {
            let answers: Vec<_> = machines
                .iter()
                .map(|(_, ready)| {
                    let ready = *ready;
                    thread::spawn(move || platform::probe(ready))
                })
                .collect();
            let statuses: Vec<u16> =
                answers.into_iter().map(|answer| answer.join().unwrap_or(0)).collect();
            self.record.say(&format!("readiness probes: {statuses:?}"));
            for (misses, status) in misses.iter_mut().zip(&statuses) {
                *misses = if *status == 200 { 0 } else { *misses + 1 };
            }
            let ready: Vec<SocketAddr> = machines
                .iter()
                .zip(&misses)
                .filter(|(_, misses)| **misses < 2)
                .map(|((callers, _), _)| *callers)
                .collect();
            let all = || machines.iter().map(|(callers, _)| *callers).collect();
            *self.rotation.lock().unwrap() =
                if ready.len() * 2 < machines.len() { all() } else { ready };
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// Sends idempotent requests, on one connection as long as it lasts.
    fn read_repeatedly(&self, number: usize) {
        let mut client = Client::new(self.machine(number), &self.record);
        for count in 0.. {
            if self.is_over() {
                return;
            }
            if client.conn.is_none() {
                client.machine = self.machine(number);
            }
            let attempt = client.send(&Send {
                method: "GET",
                path: "/read/1",
                id: &format!("read-{number}-{count}"),
                deadline: READ_DEADLINE,
                headers: "",
                body: b"",
            });
            self.reads.lock().unwrap().push(attempt);
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn stream_repeatedly(&self, number: usize) {
        let mut client = Client::new(self.machine(number), &self.record);
        for count in 0.. {
            if self.is_over() {
                return;
            }
            if client.conn.is_none() {
                client.machine = self.machine(number);
            }
            client.send(&Send {
                method: "POST",
                path: "/answer/1",
                id: &format!("answer-{number}-{count}"),
                deadline: STREAM_DEADLINE.min(PLAYED.saturating_sub(self.begun.elapsed())),
                headers: "X-Baobabvane-Model-Name: m\r\nX-Baobabvane-Token-Usage: 628,294\r\n",
                body: b"{}",
            });
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// LOST: a machine in touch passes a request from a kept connection on to a sound engine and
    /// closes that connection without an answer, more than three times.
    fn judge_lost(&self, kills: u32) -> Verdict {
        let passed_on: HashSet<String> = self
            .record
            .all_passed_on()
            .into_iter()
            .filter(|(engine, _)| engine.starts_with("d-"))
            .map(|(_, id)| id)
            .collect();
        let reads = self.reads.lock().unwrap();
        let lost = reads.iter().filter(|a| {
            a.is_on_kept_connection && a.end == End::Closed && passed_on.contains(&a.id)
        });
        let lost = lost.count();
        self.record.say(&format!(
            "{} requests to the sound service; {lost} on kept connections were passed on to a sound \
             engine and their connections ended without an answer; {kills} processes ended for memory",
            reads.len()
        ));
        if lost > 3 { Verdict::Broken } else { Verdict::Held }
    }

    /// CONFIG: of the requests that are still unanswered at their route's `timeoutMs`, more than
    /// half have no answer half a second later (eight or more are asked for here, as the rule's
    /// other sentence does).
    fn judge_config(&self) -> Verdict {
        let reads = self.reads.lock().unwrap();
        let sent: Vec<&Attempt> = reads.iter().filter(|a| a.end != End::NotSent).collect();
        let unanswered_after = |after: Duration| {
            let is_unanswered =
                |a: &&&Attempt| !matches!(a.end, End::Answer(_)) || a.ended_at - a.sent_at > after;
            sent.iter().filter(is_unanswered).count()
        };
        let at_timeout = unanswered_after(READ_TIMEOUT);
        let later = unanswered_after(READ_TIMEOUT + Duration::from_millis(500));
        self.record.say(&format!(
            "{} requests to the sound service; {at_timeout} were unanswered at their route's \
             timeoutMs, {later} also half a second later",
            sent.len()
        ));
        if later >= 8 && later * 2 > at_timeout { Verdict::Broken } else { Verdict::Held }
    }
}
