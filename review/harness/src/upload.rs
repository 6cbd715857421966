//! Many clients come at once, with bodies as large as the configuration allows.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{Client, End, Send},
    engine::Engine,
    record::Record,
    site::{Route, Site},
    traffic::{self, MACHINES, Play, READ_ROUTE},
};

/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// How long a client takes to send a body; all clients of a machine stay below the bandwidth of
/// its link then.
const UPLOAD_TIME: Duration = Duration::from_millis(1_500);
const PIECES: usize = 64;
const UPLOADERS_PER_MACHINE: usize = 12;
/// The largest `x` of `burst` in the site file, and its longest `for_s`.
const BURST: f64 = 2.3;
const BURST_TIME: Duration = Duration::from_millis(6_500);
const CALM: Duration = Duration::from_secs(6);
const PLAYED: Duration = Duration::from_secs(18);
/// How long a client waits after a connection failed.
const PAUSE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(12_000);

const UPLOAD_ROUTE: Route = Route {
    prefix: std::borrow::Cow::Borrowed("/upload/"),
    kind: "non_idempotent",
    timeout_ms: DEADLINE.as_millis() as u64,
    target_ms: 2_000,
    service: "ledger-app",
    attempts: 1,
    is_resumable: false,
};

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let engines = traffic::start_read_engines(record);
    let engine_refs: Vec<&Engine> = engines.iter().collect();
    let routes = [READ_ROUTE, UPLOAD_ROUTE];
    let Some(mut site) = Site::start(MACHINES as u8, &routes, &engine_refs, record) else {
        return Verdict::CouldNotRun;
    };
    let (play, mut threads) = Play::begin(&site, record);
    let is_burst = Arc::new(AtomicBool::new(false));
    let usual = MACHINES * UPLOADERS_PER_MACHINE;
    let most = (usual as f64 * BURST) as usize;
    for i in 0..most {
        let (play, is_burst) = (Arc::clone(&play), Arc::clone(&is_burst));
        threads.push(thread::spawn(move || {
            // The clients don't begin all at the same moment.
            thread::sleep(UPLOAD_TIME.mul_f64(i as f64 / most as f64));
            upload_repeatedly(&play, i, || i < usual || is_burst.load(Ordering::Relaxed));
        }));
    }
    let mut kills = 0;
    let mut peaks = [0; MACHINES];
    while play.begun.elapsed() < PLAYED {
        thread::sleep(Duration::from_millis(2));
        let since = play.begun.elapsed().saturating_sub(CALM);
        let is_on = has_trouble && !since.is_zero() && since < BURST_TIME;
        if is_on && !is_burst.swap(true, Ordering::Relaxed) {
            record.say(&format!(
                "trouble: a burst, {most} clients with large bodies instead of {usual}"
            ));
        }
        is_burst.store(is_on, Ordering::Relaxed);
        for (peak, machine) in peaks.iter_mut().zip(&site.machines) {
            *peak = (*peak).max(machine.memory_kib("VmRSS") / 1_024);
        }
        kills += play.enforce_memory_limit(&mut site);
    }
    play.end(threads);
    record.say(&format!("peak memory in MiB by machine: {peaks:?}"));
    play.judge_lost(kills)
}

fn upload_repeatedly(play: &Play, number: usize, is_active: impl Fn() -> bool) {
    let body = vec![b'x'; BODY_BYTES];
    let mut client = Client::new(play.machine(number), &play.record);
    for count in 0.. {
        while !play.is_over() && !is_active() {
            thread::sleep(Duration::from_millis(10));
        }
        if play.is_over() {
            return;
        }
        if client.conn.is_none() {
            client.machine = play.machine(number);
        }
        let attempt = client.send(&Send {
            method: "POST",
            path: "/upload/1",
            id: &format!("upload-{number}-{count}"),
            deadline: DEADLINE,
            headers: "",
            body: &body,
            body_time: UPLOAD_TIME,
        });
        if attempt.end == End::NotSent {
            thread::sleep(PAUSE);
        }
    }
}

/// Writes a body in pieces over this time.
pub fn write_paced(out: &mut impl Write, body: &[u8], time: Duration) -> std::io::Result<()> {
    let begun = Instant::now();
    let len = body.len().div_ceil(PIECES).max(1);
    for (i, piece) in body.chunks(len).enumerate() {
        let due = time.mul_f64(i as f64 / PIECES as f64);
        thread::sleep(due.saturating_sub(begun.elapsed()));
        out.write_all(piece)?;
    }
    Ok(())
}
