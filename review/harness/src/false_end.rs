//! An engine that breaks off a few of its answers and goes on with empty lines.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{Client, End, Send},
    engine::{self, Behaviour, Engine},
    http::Conn,
    record::Record,
    site::{Route, Site, ZONES},
    traffic::MACHINES,
};

const CLIENTS_PER_MACHINE: usize = 4;
const CALM: Duration = Duration::from_secs(3);
const PLAYED: Duration = Duration::from_secs(12);
/// `garble` in the site file has `for_s = 5.5` and `x = 0.02`.
const TROUBLE: Duration = Duration::from_millis(5_500);
const SPOILED_ONE_IN: u32 = 50;
/// Kinds of request, each with its own service: a plain answer, and a stream of events.
const ROUTES: [(&str, &str, &str); 2] =
    [("/post/", "non_idempotent", "ledger-app"), ("/answer/", "streaming", "vane-pool")];
/// Pieces of a whole body, and how many of them a spoiled answer has.
const PIECES: usize = 6;
const SPOILED_PIECES: usize = 2;

/// Returns the body of the engine's answer to an attempt, in pieces. Each is an event of a stream.
fn pieces(id: &str) -> Vec<String> {
    (1..=PIECES).map(|n| format!("id: {n}\ndata: piece {n} of {PIECES} for {id}\n\n")).collect()
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let is_faulty = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for (_, kind, service) in ROUTES {
        for (i, zone) in ZONES.iter().enumerate() {
            let id = format!("{}-{i}", &service[..1]);
            let is_faulty = if i == 0 { Arc::clone(&is_faulty) } else { Arc::default() };
            let behaviour = behaviour(kind == "streaming", is_faulty, record);
            engines.push(Engine::start(&id, service, zone, 6, record, behaviour));
        }
    }
    let routes = ROUTES.map(|(prefix, kind, service)| Route {
        prefix: prefix.into(),
        kind,
        timeout_ms: 3_000,
        target_ms: 500,
        service,
        attempts: 1,
        is_resumable: false,
    });
    let engine_refs: Vec<&Engine> = engines.iter().collect();
    let Some(site) = Site::start(MACHINES as u8, &routes, &engine_refs, record) else {
        return Verdict::CouldNotRun;
    };
    let begun = Instant::now();
    // The number of complete successes, and those with another body than the engine's whole one.
    let counts = Arc::new(Mutex::new((0, 0)));
    let clients: Vec<_> = (0..MACHINES * CLIENTS_PER_MACHINE)
        .map(|i| {
            let client = Client::new(site.machines[i % MACHINES].callers, record);
            let (counts, record) = (Arc::clone(&counts), record.clone());
            thread::spawn(move || send_repeatedly(i, client, begun, &counts, &record))
        })
        .collect();
    thread::sleep(CALM);
    if has_trouble {
        record.say("trouble: engines l-0 and v-0 spoil one answer in 50 for 5.5 s");
        is_faulty.store(true, Ordering::Relaxed);
        thread::sleep(TROUBLE);
        is_faulty.store(false, Ordering::Relaxed);
    }
    for client in clients {
        let _ = client.join();
    }
    let (complete, wrong) = *counts.lock().unwrap();
    record.say(&format!(
        "{complete} answers with status 200, the engine's signature and a proper end; {wrong} of \
         them with a body that isn't the engine's whole body"
    ));
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}

fn behaviour(is_stream: bool, is_faulty: Arc<AtomicBool>, record: &Record) -> Behaviour {
    let (answers, record) = (AtomicU32::new(0), record.clone());
    Arc::new(move |request, conn| {
        let id = engine::attempt(request);
        let is_spoiled = is_faulty.load(Ordering::Relaxed)
            && answers.fetch_add(1, Ordering::Relaxed) % SPOILED_ONE_IN == 0;
        if is_spoiled {
            record.line(&format!("the engine spoils its answer id={id}"));
        }
        write_answer(conn, &id, is_stream, is_spoiled).is_ok() && !is_spoiled
    })
}

fn write_answer(conn: &mut Conn, id: &str, is_stream: bool, is_spoiled: bool) -> io::Result<()> {
    let mut head = engine::stream_head(id);
    if !is_stream {
        head = head.replace("text/event-stream", "text/plain");
    }
    conn.stream.write_all(head.as_bytes())?;
    for (i, piece) in pieces(id).iter().enumerate() {
        if is_spoiled && i == SPOILED_PIECES {
            // Until the caller closes.
            loop {
                conn.stream.write_all(b"\r\n")?;
                thread::sleep(Duration::from_millis(1));
            }
        }
        thread::sleep(Duration::from_millis(10));
        conn.stream.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes())?;
    }
    conn.stream.write_all(b"0\r\n\r\n")
}

fn send_repeatedly(
    number: usize,
    mut client: Client,
    begun: Instant,
    counts: &Mutex<(u32, u32)>,
    record: &Record,
) {
    for count in 0.. {
        if begun.elapsed() > PLAYED {
            return;
        }
        let id = format!("c{number}-{count}");
        let path = format!("{}1", ROUTES[count % ROUTES.len()].0);
        let attempt = client.send(&Send {
            method: "POST",
            path: &path,
            id: &id,
            deadline: Duration::from_millis(3_000),
            headers: "",
            body: b"x",
            body_time: Duration::ZERO,
        });
        if attempt.end == End::Answer(200) {
            let whole = pieces(&id).concat();
            let is_wrong = attempt.body != whole.as_bytes();
            let mut counts = counts.lock().unwrap();
            counts.0 += 1;
            counts.1 += u32::from(is_wrong);
            if is_wrong {
                record.say(&format!(
                    "{path} id={id}: 200 with {} of {} bytes, as a complete answer",
                    attempt.body.len(),
                    whole.len()
                ));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
}
