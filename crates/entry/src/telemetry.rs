//! Installs the process-wide logger and metrics recorder.
//!
//! Writing a log line never blocks: lines that cannot be queued are dropped and counted.

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

/// Largest number of lines queued while standard output is blocked; at 300 bytes a line, 300 KB.
const MAX_QUEUED_LINES: usize = 1_024;
/// Longest line; the rest is cut off. Callers choose paths and ids that lines contain, so that the
/// queue could take some 60 MB otherwise.
const MAX_LINE_BYTES: usize = 2_048;
/// How often samples of histograms are merged, which otherwise happens only when metrics are fetched;
/// a process whose metrics nobody fetches would keep them all.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Most lines that are queued in a second, so that a flood of events does not overload the host.
const MAX_LINES_PER_S: u32 = 1_000;
/// Longest time that the process waits at its end for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Waits up to 200 ms for queued log lines to be written when it is dropped.
#[must_use = "lines still queued at process exit are lost unless the guard is dropped last"]
pub struct LogGuard {
    queued_lines: Arc<AtomicUsize>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let start = Instant::now();
        while self.queued_lines.load(Ordering::Relaxed) > 0 && start.elapsed() < FLUSH_TIMEOUT {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Installs the logger, which writes each event as a line of key=value pairs to standard output.
///
/// `RUST_LOG` filters the events; the default level is `info`. Writing a line never blocks.
pub fn install_logger() -> LogGuard {
    let (queue, rx) = LineQueue::new();
    let guard = LogGuard { queued_lines: Arc::clone(&queue.queued_lines) };
    let (queued_lines, dropped_lines) =
        (Arc::clone(&queue.queued_lines), Arc::clone(&queue.dropped_lines));
    std::thread::spawn(move || write_lines(&rx, &queued_lines, &dropped_lines, &mut io::stdout()));
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format(|buf, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(buf, "ts={} level={level} {}", crate::clock::unix_ms(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .try_init();
    guard
}

/// Queues lines without blocking; lines over the rate limit, or written while the queue is full,
/// are dropped and counted.
struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    queued_lines: Arc<AtomicUsize>,
    dropped_lines: Arc<AtomicU64>,
    window_start: Instant,
    lines_in_window: u32,
}

impl LineQueue {
    fn new() -> (Self, Receiver<Vec<u8>>) {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let queue = Self {
            tx,
            queued_lines: Arc::default(),
            dropped_lines: Arc::default(),
            window_start: Instant::now(),
            lines_in_window: 0,
        };
        (queue, rx)
    }

    fn is_over_rate(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.lines_in_window = 0;
        }
        self.lines_in_window += 1;
        self.lines_in_window > MAX_LINES_PER_S
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_over_rate = self.is_over_rate();
        let queued_line = match line.len() {
            0..=MAX_LINE_BYTES => line.to_vec(),
            _ => [&line[..MAX_LINE_BYTES - 1], b"\n"].concat(),
        };
        self.queued_lines.fetch_add(1, Ordering::Relaxed);
        if is_over_rate || self.tx.try_send(queued_line).is_err() {
            self.queued_lines.fetch_sub(1, Ordering::Relaxed);
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("baobabvane_log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is closed, and reports dropped lines before the next written line.
fn write_lines(
    rx: &Receiver<Vec<u8>>,
    queued_lines: &AtomicUsize,
    dropped_lines: &AtomicU64,
    out: &mut impl Write,
) {
    while let Ok(line) = rx.recv() {
        let dropped_count = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            // An error means that standard output is closed, so there is nowhere to report it.
            let now = crate::clock::unix_ms();
            let _ = writeln!(out, "ts={now} level=warn event=lines_dropped count={dropped_count}");
        }
        let _ = out.write_all(&line);
        queued_lines.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Installs the metrics recorder on the first call, and returns its handle on every call.
///
/// All instances in a process share the recorder.
pub fn install_metrics() -> PrometheusHandle {
    static HANDLE: std::sync::OnceLock<PrometheusHandle> = std::sync::OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        let upkeep = handle.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(METRICS_UPKEEP_INTERVAL);
                upkeep.run_upkeep();
            }
        });
        handle
    };
    HANDLE.get_or_init(install).clone()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against long ids and paths of requests that fill the memory while nobody reads the log.
    #[test]
    fn long_lines_are_cut_and_still_end() {
        let (mut queue, rx) = LineQueue::new();
        for len in [1, MAX_LINE_BYTES, 10 * MAX_LINE_BYTES] {
            queue.write_all(&[vec![b'x'; len - 1].as_slice(), b"\n"].concat()).unwrap();
            let line = rx.try_recv().unwrap();
            assert_eq!((line.len(), line.last()), (len.min(MAX_LINE_BYTES), Some(&b'\n')));
        }
    }

    #[test]
    fn excess_lines_are_dropped_without_blocking_and_counted_in_the_log() {
        let (mut queue, rx) = LineQueue::new();
        for _ in 0..2 * MAX_LINES_PER_S {
            queue.write_all(b"event=x\n").unwrap();
        }
        let (queued_lines, dropped_lines) =
            (Arc::clone(&queue.queued_lines), Arc::clone(&queue.dropped_lines));
        let queued_count = queued_lines.load(Ordering::Relaxed);
        let dropped_count = dropped_lines.load(Ordering::Relaxed);
        assert_eq!(queued_count as u64 + dropped_count, 2 * u64::from(MAX_LINES_PER_S));
        assert!(
            queued_count <= MAX_QUEUED_LINES && dropped_count > 0,
            "{queued_count} {dropped_count}"
        );
        drop(queue);
        let mut out = Vec::new();
        write_lines(&rx, &queued_lines, &dropped_lines, &mut out);
        let text = String::from_utf8(out).unwrap();
        assert!(text.contains(&format!("event=lines_dropped count={dropped_count}\n")), "{text}");
        assert_eq!(text.matches("event=x\n").count(), queued_count);
        assert_eq!(queued_lines.load(Ordering::Relaxed), 0);
    }
}
