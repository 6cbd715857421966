//! Logs and metrics.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{Duration, Instant},
};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Lines that wait for a reader that does not read; at 300 bytes a line, 300 KB.
const MAX_WAITING_LINES: usize = 1_024;
/// Lines that are written in a second; a flood must not spend the machine on logs.
const MAX_LINES_PER_S: u32 = 1_000;
/// How long the end of a process waits for its last lines.
const LAST_LINES: Duration = Duration::from_millis(200);

/// Waits for the last lines when it is dropped.
#[must_use = "lines that are not written yet are lost at the end of the process"]
pub struct LogGuard {
    waiting: Arc<AtomicUsize>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let began = Instant::now();
        while self.waiting.load(Ordering::Relaxed) > 0 && began.elapsed() < LAST_LINES {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Installs the logger: one line of key=value pairs on standard output for each event,
/// filtered by `RUST_LOG`. Writing a line never blocks.
pub fn install_logger() -> LogGuard {
    let (lines, rx) = LineQueue::new();
    let guard = LogGuard { waiting: Arc::clone(&lines.waiting) };
    let (waiting, dropped) = (Arc::clone(&lines.waiting), Arc::clone(&lines.dropped));
    std::thread::spawn(move || write_lines(&rx, &waiting, &dropped, &mut io::stdout()));
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format(|buf, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(buf, "ts={} level={level} {}", crate::clock::unix_ms(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(lines)))
        .try_init();
    guard
}

/// Takes lines without blocking; those for which there is no room are counted.
struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
    second: Instant,
    lines_in_second: u32,
}

impl LineQueue {
    fn new() -> (Self, Receiver<Vec<u8>>) {
        let (tx, rx) = sync_channel(MAX_WAITING_LINES);
        let queue = Self {
            tx,
            waiting: Arc::default(),
            dropped: Arc::default(),
            second: Instant::now(),
            lines_in_second: 0,
        };
        (queue, rx)
    }

    fn is_over_rate(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        self.lines_in_second > MAX_LINES_PER_S
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_over_rate = self.is_over_rate();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if is_over_rate || self.tx.try_send(line.to_vec()).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("baobabvane_log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is closed; says how many were dropped before a line.
fn write_lines(
    rx: &Receiver<Vec<u8>>,
    waiting: &AtomicUsize,
    dropped: &AtomicU64,
    out: &mut impl Write,
) {
    while let Ok(line) = rx.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            // A reader that has gone away cannot be told so.
            let now = crate::clock::unix_ms();
            let _ = writeln!(out, "ts={now} level=warn event=lines_dropped count={lost}");
        }
        let _ = out.write_all(&line);
        waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Installs the recorder of metrics; a process has one, shared by its instances.
pub fn install_metrics() -> PrometheusHandle {
    static HANDLE: std::sync::OnceLock<PrometheusHandle> = std::sync::OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    HANDLE.get_or_init(install).clone()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reader_that_does_not_read_blocks_nobody_and_is_told_what_it_missed() {
        let (mut lines, rx) = LineQueue::new();
        for _ in 0..2 * MAX_LINES_PER_S {
            lines.write_all(b"event=x\n").unwrap();
        }
        let (waiting, dropped) = (Arc::clone(&lines.waiting), Arc::clone(&lines.dropped));
        let kept = waiting.load(Ordering::Relaxed);
        let lost = dropped.load(Ordering::Relaxed);
        assert_eq!(kept as u64 + lost, 2 * u64::from(MAX_LINES_PER_S));
        assert!(kept <= MAX_WAITING_LINES && lost > 0, "{kept} {lost}");
        drop(lines);
        let mut out = Vec::new();
        write_lines(&rx, &waiting, &dropped, &mut out);
        let text = String::from_utf8(out).unwrap();
        assert!(text.contains(&format!("event=lines_dropped count={lost}\n")), "{text}");
        assert_eq!(text.matches("event=x\n").count(), kept);
        assert_eq!(waiting.load(Ordering::Relaxed), 0);
    }
}
