//! A planned stop while requests wait for an engine.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{Attempt, Client, End, Send},
    engine::{self, Behaviour, Engine},
    platform::GRACE_PERIOD,
    record::Record,
    site::{Route, Site, ZONES},
};

const MACHINES: usize = 3;
const ENGINES: usize = 3;
const SLOTS: u32 = 6;
/// More than the engines have slots, so that some wait.
const LONG_JOBS: usize = ENGINES * SLOTS as usize + 9;
const SHORT_JOBS: usize = 9;
const LONG_WORK: Duration = Duration::from_millis(12_500);
const SHORT_WORK: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(15_000);
/// Between two requests, so that they wait in the order in which they are sent.
const JOB_INTERVAL: Duration = Duration::from_millis(60);
const LOSS_SLACK: Duration = Duration::from_millis(200);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let behaviour: Behaviour = Arc::new(|req, conn| {
        let is_long = req.path().ends_with("/long");
        engine::answer(req, conn, if is_long { LONG_WORK } else { SHORT_WORK })
    });
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|i| {
            let id = format!("i-{i}");
            Engine::start(&id, "vane-pool", ZONES[i], SLOTS, record, Arc::clone(&behaviour))
        })
        .collect();
    let route = Route {
        prefix: "/review/".into(),
        kind: "non_idempotent",
        timeout_ms: DEADLINE.as_millis() as u64,
        target_ms: 800,
        service: "vane-pool",
        attempts: 1,
        is_resumable: false,
    };
    let engine_refs: Vec<&Engine> = engines.iter().collect();
    let Some(mut site) = Site::start(MACHINES as u8, &[route], &engine_refs, record) else {
        return Verdict::CouldNotRun;
    };
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut send = |name: &str, count: usize, path: &'static str| {
        for i in 0..count {
            let machine = site.machines[0].callers;
            let (attempts, record) = (Arc::clone(&attempts), record.clone());
            let id = format!("{name}-{i}");
            thread::sleep(JOB_INTERVAL);
            clients.push(thread::spawn(move || {
                let mut client = Client::new(machine, &record);
                let attempt = client.send(&Send {
                    method: "POST",
                    path,
                    id: &id,
                    deadline: DEADLINE,
                    headers: "",
                    body: b"",
                    body_time: Duration::ZERO,
                });
                attempts.lock().unwrap().push((machine, attempt));
            }));
        }
    };
    send("long", LONG_JOBS, "/review/long");
    thread::sleep(Duration::from_millis(300));
    send("short", SHORT_JOBS, "/review/short");
    thread::sleep(Duration::from_millis(500));
    let stopped = site.machines[0].callers;
    let stopped_at = Instant::now();
    if has_trouble {
        record.say("trouble: SIGTERM to machine 0");
        site.machines[0].signal("TERM");
    }
    while stopped_at.elapsed() < GRACE_PERIOD && !(has_trouble && site.machines[0].has_ended()) {
        thread::sleep(Duration::from_millis(10));
    }
    if has_trouble {
        let ms = stopped_at.elapsed().as_millis();
        record.say(&format!("machine 0 has ended {ms} ms after SIGTERM"));
        if !site.machines[0].has_ended() {
            site.machines[0].signal("KILL");
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let passed_on: HashSet<String> = record.all_passed_on().into_iter().map(|(_, id)| id).collect();
    let attempts = attempts.lock().unwrap();
    let is_lost = |(machine, a): &&(std::net::SocketAddr, Attempt)| {
        *machine == stopped
            && a.end == End::Closed
            && a.ended_at - a.sent_at > LOSS_SLACK
            && a.ended_at - a.sent_at < DEADLINE
    };
    let cut = attempts.iter().filter(is_lost).count();
    // An engine was at work on the others when the process ended, in the last sixth of
    // `gracePeriodS`.
    let lost: Vec<&str> = attempts
        .iter()
        .filter(is_lost)
        .map(|(_, a)| a.id.as_str())
        .filter(|id| !passed_on.contains(*id))
        .collect();
    for (_, a) in attempts.iter().filter(|(machine, _)| *machine == stopped) {
        record.line(&format!("at the stopped machine: id={} end={:?}", a.id, a.end));
    }
    record.say(&format!(
        "{} attempts; at the stopped machine {cut} were cut without an answer, {} of them had not \
         been passed on to an engine: {lost:?}",
        attempts.len(),
        lost.len()
    ));
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}
