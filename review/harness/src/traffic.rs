//! The traffic of sound requests during a play, the platform's probes, and the checks of rules.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{Attempt, Client, End, Send},
    engine::{self, Behaviour, Engine},
    platform::{self, MEMORY_LIMIT_MB},
    record::Record,
    site::{Route, Site, ZONES},
};

pub const MACHINES: usize = 3;
const READERS_PER_MACHINE: usize = 5;
const READ_TIMEOUT: Duration = Duration::from_millis(800);
const READ_DEADLINE: Duration = Duration::from_millis(1_500);
const READ_WORK: Duration = Duration::from_millis(150);

/// The route of the sound requests, to a plain service.
pub const READ_ROUTE: Route = Route {
    prefix: std::borrow::Cow::Borrowed("/read/"),
    kind: "idempotent",
    timeout_ms: READ_TIMEOUT.as_millis() as u64,
    target_ms: 300,
    service: "ledger-app",
    attempts: 2,
    is_resumable: false,
};

/// Starts the three sound engines of the plain service.
pub fn start_read_engines(record: &Record) -> Vec<Engine> {
    let read: Behaviour = Arc::new(|req, conn| engine::answer(req, conn, READ_WORK));
    let start = |(i, zone): (usize, &&str)| {
        Engine::start(&format!("d-{i}"), "ledger-app", zone, 6, record, Arc::clone(&read))
    };
    ZONES.iter().enumerate().map(start).collect()
}

/// What the parts of a play share.
pub struct Play {
    pub record: Record,
    pub begun: Instant,
    /// The machines that the platform gives new connections.
    rotation: Mutex<Vec<SocketAddr>>,
    reads: Mutex<Vec<Attempt>>,
    is_over: AtomicBool,
}

impl Play {
    /// Begins the sound traffic and the platform's probes; the threads end with [`Play::end`].
    pub fn begin(site: &Site, record: &Record) -> (Arc<Self>, Vec<thread::JoinHandle<()>>) {
        let machines: Vec<SocketAddr> = site.machines.iter().map(|m| m.callers).collect();
        let play = Arc::new(Self {
            record: record.clone(),
            begun: Instant::now(),
            rotation: Mutex::new(machines),
            reads: Mutex::default(),
            is_over: AtomicBool::new(false),
        });
        let mut threads = Vec::new();
        for i in 0..MACHINES * READERS_PER_MACHINE {
            let play = Arc::clone(&play);
            threads.push(thread::spawn(move || play.read_repeatedly(i)));
        }
        let probes: Vec<(SocketAddr, SocketAddr)> =
            site.machines.iter().map(|m| (m.callers, m.ready)).collect();
        let own = Arc::clone(&play);
        threads.push(thread::spawn(move || own.balance(&probes)));
        (play, threads)
    }

    /// Ends the traffic and waits for the threads.
    pub fn end(&self, threads: Vec<thread::JoinHandle<()>>) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in threads {
            let _ = thread.join();
        }
    }

    /// Kills and restarts each process that exceeds `memoryLimitMb`, as the platform does; returns
    /// how many.
    pub fn enforce_memory_limit(&self, site: &mut Site) -> u32 {
        let mut kills = 0;
        for (i, machine) in site.machines.iter_mut().enumerate() {
            let mib = machine.memory_kib("VmRSS") / 1_024;
            if mib > MEMORY_LIMIT_MB {
                kills += 1;
                self.record.say(&format!(
                    "machine {i}: its process has {mib} MiB, over memoryLimitMb, and is killed"
                ));
                machine.kill_and_restart();
            }
        }
        kills
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Returns the machine to which the platform forwards a client's next new connection.
    pub fn machine(&self, client: usize) -> SocketAddr {
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
                body_time: Duration::ZERO,
            });
            self.reads.lock().unwrap().push(attempt);
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// LOST: a machine in touch passes a request from a kept connection on to a sound engine and
    /// closes that connection without an answer, more than three times.
    pub fn judge_lost(&self, kills: u32) -> Verdict {
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

    /// Clients leave at their deadline, which is after that. A connection that ends sooner isn't counted.
    ///
    /// CONFIG: of the requests that are still unanswered at their route's `timeoutMs`, more than
    /// half have no answer half a second later (eight or more are asked for here, as the rule's
    /// other sentence does).
    pub fn judge_config(&self) -> Verdict {
        let reads = self.reads.lock().unwrap();
        let sent: Vec<&Attempt> = reads.iter().filter(|a| a.end != End::NotSent).collect();
        let unanswered_after =
            |after: Duration| sent.iter().filter(|a| a.ended_at - a.sent_at > after).count();
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
