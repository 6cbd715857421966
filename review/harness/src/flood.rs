//! An engine that spoils a few of its answers with bytes that are no answer, without end, until
//! the caller closes.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{Client, Send},
    engine::{self, Behaviour, Engine},
    http::Conn,
    record::Record,
    site::{Route, Site, ZONES},
    traffic::{self, MACHINES, Play, READ_ROUTE},
};

const STREAMERS_PER_MACHINE: usize = 4;
const STREAM_DEADLINE: Duration = Duration::from_millis(12_000);
/// Time with traffic before the disruption, and with it.
const CALM: Duration = Duration::from_secs(4);
const PLAYED: Duration = Duration::from_secs(20);
/// For how long the engine spoils answers, and one in how many: `garble` in the site file has
/// `for_s = 5.5` and `x = 0.02`.
const TROUBLE: Duration = Duration::from_millis(5_500);
const SPOILED_ONE_IN: u32 = 50;
/// `limits.bandwidthMbps` is 1,000.
const LINK_BYTES_PER_S: f64 = 120e6;
/// `limits.cpuFraction` is 0.25, while the processes have whole cores here: where the rule breaks
/// because a process cannot keep up, the bytes come four times as fast.
const CORE_SHARES: f64 = 4.0;

/// What the engine sends without end, in place of an answer's head.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Empty lines; the rule is LOST.
    EmptyLines,
    /// Interim responses; the rule is CONFIG.
    InterimResponses,
    /// Empty lines in the body of a stream; the rule is CONFIG.
    LinesInBody,
}

pub fn play(record: &Record, has_trouble: bool, kind: Kind) -> Verdict {
    let is_faulty = Arc::new(AtomicBool::new(false));
    let engines = start_engines(record, &is_faulty, kind);
    let engine_refs: Vec<&Engine> = engines.iter().collect();
    let routes = [READ_ROUTE, ANSWER_ROUTE];
    let Some(mut site) = Site::start(MACHINES as u8, &routes, &engine_refs, record) else {
        return Verdict::CouldNotRun;
    };
    let (play, mut threads) = Play::begin(&site, record);
    for i in 0..MACHINES * STREAMERS_PER_MACHINE {
        let play = Arc::clone(&play);
        threads.push(thread::spawn(move || stream_repeatedly(&play, i)));
    }
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
        kills += play.enforce_memory_limit(&mut site);
    }
    play.end(threads);
    match kind {
        Kind::EmptyLines => play.judge_lost(kills),
        Kind::InterimResponses | Kind::LinesInBody => play.judge_config(),
    }
}

const ANSWER_ROUTE: Route = Route {
    prefix: std::borrow::Cow::Borrowed("/answer/"),
    kind: "streaming",
    timeout_ms: STREAM_DEADLINE.as_millis() as u64,
    target_ms: 500,
    service: "vane-pool",
    attempts: 1,
    is_resumable: false,
};

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
                let bytes = flood(conn, &id, kind);
                record.say(&format!("its caller has closed after {bytes} bytes id={id}"));
                return false;
            }
            engine::stream(req, conn)
        })
    };
    let mut engines = Vec::new();
    for (i, behaviour) in [faulty, Arc::clone(&stream), stream].into_iter().enumerate() {
        let id = format!("e-{i}");
        engines.push(Engine::start(&id, "vane-pool", ZONES[i], 11, record, behaviour));
    }
    engines.extend(traffic::start_read_engines(record));
    engines
}

/// Writes bytes until the peer closes the connection; returns how many.
fn flood(conn: &mut Conn, id: &str, kind: Kind) -> usize {
    let piece = match kind {
        Kind::EmptyLines => "\r\n".repeat(30_000),
        Kind::InterimResponses => "HTTP/1.1 100 \r\n\r\n".repeat(3_500),
        Kind::LinesInBody => format!("{:x}\r\n{}\r\n", 16_384, "\n".repeat(16_384)).repeat(4),
    };
    if kind == Kind::LinesInBody {
        let _ = conn.stream.write_all(engine::stream_head(id).as_bytes());
    }
    let bytes_per_s = match kind {
        Kind::EmptyLines => LINK_BYTES_PER_S,
        Kind::InterimResponses | Kind::LinesInBody => CORE_SHARES * LINK_BYTES_PER_S,
    };
    let begun = Instant::now();
    let mut bytes = 0;
    while conn.stream.write_all(piece.as_bytes()).is_ok() {
        bytes += piece.len();
        let due = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    bytes
}

fn stream_repeatedly(play: &Play, number: usize) {
    let mut client = Client::new(play.machine(number), &play.record);
    for count in 0.. {
        if play.is_over() {
            return;
        }
        if client.conn.is_none() {
            client.machine = play.machine(number);
        }
        client.send(&Send {
            method: "POST",
            path: "/answer/1",
            id: &format!("answer-{number}-{count}"),
            deadline: STREAM_DEADLINE.min(PLAYED.saturating_sub(play.begun.elapsed())),
            headers: "X-Baobabvane-Model-Name: m\r\nX-Baobabvane-Token-Usage: 628,294\r\n",
            body: b"{}",
            body_time: Duration::ZERO,
        });
        thread::sleep(Duration::from_millis(20));
    }
}
