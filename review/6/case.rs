//! One request with a prompt that is larger than any engine's memory makes a machine exceed its
//! memory; the platform ends the process, and the bookings in flight get no answer.

#[path = "../support-2/standin.rs"]
mod standin;

use std::{
    env,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

use standin::*;

/// `memory_mb` of the machines of the site.
const MEMORY_LIMIT_MB: u64 = 110;
const MACHINES: u8 = 2;
/// How often each machine gets a request with the large prompt.
const ROUNDS: usize = 3;
/// Clients of each machine, each with one kept connection.
const CLIENTS: usize = 6;
/// Work of a booking; within the site's 450 ms.
const BOOKING_MS: u64 = 400;

fn main() {
    let folder = PathBuf::from(env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    // Over 4,294,967,295, the number would not be one of the prompt's parts.
    let tokens: u64 = if has_trouble() {
        env::var("TOKENS").ok().and_then(|t| t.parse().ok()).unwrap_or(4_000_000_000)
    } else {
        800
    };
    let store = Store::start();
    let booking = |state: &ServerState, conn: &mut Conn, req: &Request| {
        state.note(req, true);
        sleep_ms(BOOKING_MS);
        state.answer(conn, req, 200, SIGNED, "booked")
    };
    let model = |state: &ServerState, conn: &mut Conn, req: &Request| {
        // A request that is larger than an engine's memory is rejected as if the engine were full.
        let usage = req.header("x-baobabvane-token-usage").to_owned();
        let tokens: u64 = usage.split(',').filter_map(|n| n.parse::<u64>().ok()).sum();
        let has_room = tokens <= 438_005;
        state.note(req, has_room);
        match has_room {
            true => {
                let more = format!("{SIGNED}content-type: text/event-stream\r\n");
                state.answer(conn, req, 200, &more, "id: 1\ndata: x\n\n")
            }
            false => state.answer(conn, req, 503, NOT_RUN, ""),
        }
    };
    let zones = ["tanta", "mansoura", "zagazig"];
    let apps: Vec<Server> = (0..3)
        .map(|n| {
            let id = format!("app-{n}");
            Server::start(&id, "ledger-app", zones[n], 6, &store, &record, booking)
        })
        .collect();
    let models: Vec<Server> = (0..3)
        .map(|n| {
            let id = format!("model-{n}");
            Server::start(&id, "vane-pool", zones[n], 11, &store, &record, model)
        })
        .collect();
    let routes = [
        Route { prefix: "/review/", kind: "streaming", service: "vane-pool", timeout_ms: 15_000, target_ms: 800, attempts: 2 },
        Route { prefix: "/post/", kind: "non_idempotent", service: "ledger-app", timeout_ms: 1_500, target_ms: 300, attempts: 1 },
    ];
    store.put("keyed.op", "config", &config(7, &routes, 4_194_304));
    let machines = Machines::start(MACHINES, &store, MEMORY_LIMIT_MB);
    machines.wait_until_ready();
    record.line(&format!("{MACHINES} machines are ready, memory limit {MEMORY_LIMIT_MB} MB each"));

    // The platform ends a process that exceeds its memory, and starts it again.
    let over_limit = Arc::new(AtomicUsize::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = machines.all.iter().map(|m| m.callers).collect();
    let machines = Arc::new(Mutex::new(machines));
    let platform = {
        let (machines, record) = (Arc::clone(&machines), record.clone());
        let (over_limit, is_over) = (Arc::clone(&over_limit), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut peak = vec![0; usize::from(MACHINES)];
            while !is_over.load(Ordering::Relaxed) {
                sleep_ms(3);
                for (machine, peak) in machines.lock().unwrap().all.iter_mut().zip(&mut peak) {
                    let memory = machine.memory_mb();
                    *peak = memory.max(*peak);
                    let has_ended = machine.has_ended();
                    if memory <= MEMORY_LIMIT_MB && !has_ended {
                        continue;
                    }
                    over_limit.fetch_add(1, Ordering::Relaxed);
                    record.line(&match has_ended {
                        true => format!("{}: the process ended by itself", machine.name),
                        false => format!("{}: {memory} MB, over its limit; killed", machine.name),
                    });
                    machine.signal(SIGKILL);
                    machine.restart();
                }
            }
            record.line(&format!("peak memory of the machines, up to the limit: {peak:?} MB"));
        })
    };

    // Ordinary clients book on kept connections.
    let cut = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for address in callers.iter().copied().flat_map(|a| std::iter::repeat_n(a, CLIENTS)) {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        let (cut, answered) = (Arc::clone(&cut), Arc::clone(&answered));
        let states: Vec<_> = apps.iter().map(|app| Arc::clone(&app.state)).collect();
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let Some(mut conn) = connect(address, 1_500) else {
                    sleep_ms(50);
                    continue;
                };
                let mut is_kept = false;
                while !is_over.load(Ordering::Relaxed) {
                    let req = client_request("POST", "/post/1", 1_500);
                    record.log(&format!("booking {} sent", req.id()));
                    let answer = exchange(&mut conn, &req);
                    record.log(&format!("booking {}: {}", req.id(), answer.describe()));
                    if answer.status() == Some(200) {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    if answer.status().is_none() {
                        // Only a request from a kept connection that an engine ran counts.
                        let runs: usize = states.iter().map(|state| state.runs_of(req.id())).sum();
                        cut.fetch_add(usize::from(is_kept && runs > 0), Ordering::Relaxed);
                        let what = answer.describe();
                        record.line(&format!(
                            "booking {}: {what}; kept connection: {is_kept}, ran {runs} time(s)",
                            req.id()
                        ));
                        break;
                    }
                    is_kept = true;
                    sleep_ms(20);
                }
            }
        }));
    }

    for round in 0..ROUNDS {
        sleep_ms(3_000);
        for machine in &machines.lock().unwrap().all {
            machine.wait_until_ready();
        }
        let senders: Vec<_> = callers
            .iter()
            .map(|address| {
                let req = client_request("POST", "/review/1", 15_000)
                    .with("x-baobabvane-model-name", "m")
                    .with("x-baobabvane-token-usage", &format!("{},80", tokens + 60))
                    .with("x-baobabvane-prompt-prefix", &format!("5c1e07a2:60,e4402b7d:{tokens}"));
                let (address, record) = (*address, record.clone());
                thread::spawn(move || {
                    record.line(&format!("round {round}: {} sent, {tokens} tokens", req.id()));
                    let answer = send(address, &req, 15_000);
                    record.line(&format!("round {round}: {} got {}", req.id(), answer.describe()));
                })
            })
            .collect();
        senders.into_iter().for_each(|sender| sender.join().unwrap());
    }
    sleep_ms(2_000);
    is_over.store(true, Ordering::Relaxed);
    platform.join().unwrap();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let reached: usize = models.iter().map(|m| m.state.arrivals.lock().unwrap().len()).sum();
    let (ends, cut) = (over_limit.load(Ordering::Relaxed), cut.load(Ordering::Relaxed));
    record.line(&format!(
        "ends of processes: {ends}; bookings from kept connections that ran and got no answer: {cut}, \
         answered: {}; \
         long requests that reached an engine: {reached}",
        answered.load(Ordering::Relaxed)
    ));
    drop(machines);
    // LOST allows three such requests; a process that ends by itself counts as running.
    let is_broken = cut > 3;
    record.line(if is_broken { "LOST is broken" } else { "LOST holds" });
    std::process::exit(i32::from(is_broken));
}
