//! A daemon process that tests and examples can kill and measure, and the choice of free ports.

use std::{
    env, fs,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    ops::{Deref, DerefMut},
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use crate::program::Program;

/// Length of the clock tick in which `/proc` counts processor time, in milliseconds.
const CPU_TICK_MS: u64 = 10;

/// A running daemon; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    program: Program,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Process {
    /// Starts `binary serve` with `args` and waits until it has printed its addresses. The
    /// environment variable `INSTANCE_LOG` sets its log level; the default is `error`.
    pub fn spawn<S: AsRef<str>>(binary: &Path, args: &[S]) -> Self {
        let level = env::var("INSTANCE_LOG").unwrap_or_else(|_| "error".to_owned());
        let mut child = Command::new(binary)
            .arg("serve")
            .args(args.iter().map(AsRef::as_ref))
            .env("RUST_LOG", level)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary was built");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the binary prints its addresses");
        let address = |name: &str| {
            let word = line.split_whitespace().find_map(|w| w.strip_prefix(name));
            word.and_then(|a| a.parse().ok()).expect("the binary prints its addresses")
        };
        Self {
            callers: address("callers="),
            operators: address("operators="),
            program: Program::new(child),
        }
    }

    /// Returns the path of the daemon's binary, in the parent of the running example's folder. The
    /// running program must be an example.
    pub fn daemon_binary() -> PathBuf {
        let example = env::current_exe().expect("the example has a path");
        example
            .ancestors()
            .nth(2)
            .expect("the example is inside the target folder")
            .join("baobabvane")
    }

    /// Returns the address on which the daemon accepts callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address on which the daemon accepts operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the resident memory of the process, in KiB.
    pub fn memory_kib(&self) -> u64 {
        self.program.status("VmRSS").parse().expect("the process runs")
    }

    /// Returns the user and system processor time that the process has used so far.
    pub fn cpu(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.program.id()));
        let stat = stat.expect("the process runs");
        // User and system time are found by their position after the command's name, which is in
        // parentheses and may contain spaces.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks =
            fields.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<u64>().ok());
        Duration::from_millis(ticks.sum::<u64>() * CPU_TICK_MS)
    }
}

impl Deref for Process {
    type Target = Program;

    fn deref(&self) -> &Program {
        &self.program
    }
}

impl DerefMut for Process {
    fn deref_mut(&mut self) -> &mut Program {
        &mut self.program
    }
}

/// First port to try. The range lies below the kernel's ephemeral ports, so that no outgoing
/// connection can take a port before the process that it was chosen for binds it.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 20_000;

/// Returns `count` loopback addresses that are free now. Calls in the same process return different
/// addresses until the range of ports wraps around.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Processes start at different ports, so that tests in parallel rarely try the same one.
    let start = std::process::id().wrapping_mul(97);
    let next_address = || {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + number % PORT_COUNT) as u16;
        SocketAddr::from(([127, 0, 0, 1], port))
    };
    let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok();
    std::iter::repeat_with(next_address).filter(is_free).take(count).collect()
}
