//! The real binary: settings, signals, driver.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
};

const BINARY: &str = env!("CARGO_BIN_EXE_baobabvane");

/// A running instance with its addresses.
struct Running {
    child: Child,
    callers: SocketAddr,
}

impl Running {
    fn spawn() -> Self {
        let mut child = Command::new(BINARY)
            .args(["serve", "--listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0"])
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the binary prints its addresses");
        let callers = line.split_whitespace().find_map(|w| w.strip_prefix("callers="));
        let callers = callers.and_then(|a| a.parse().ok()).expect("an address");
        Self { child, callers }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }
}

fn run(args: &[&str]) -> (bool, String) {
    let output = Command::new(BINARY).args(args).output().expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), text)
}

#[test]
fn a_wrong_setting_names_flag_value_and_range() {
    let (ok, text) = run(&["check", "--head-bytes", "5"]);
    assert!(!ok);
    assert_eq!(
        text.trim(),
        "baobabvane: --head-bytes \"5\" is not valid, allowed: 1024 to 1048576"
    );
    let (ok, text) = run(&["serve", "--listen", "somewhere"]);
    assert!(!ok);
    assert!(text.contains("--listen \"somewhere\" is not valid"), "{text}");
    assert!(run(&["check"]).0);
}

#[test]
fn sigterm_ends_an_idle_instance_with_success() {
    let mut running = Running::spawn();
    running.signal("TERM");
    let status = running.child.wait().expect("the binary ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn a_connection_that_sends_nothing_does_not_hold_up_the_stop() {
    let mut running = Running::spawn();
    let mut stream = TcpStream::connect(running.callers).expect("the instance accepts");
    stream.write_all(b"GET /livez HT").expect("the instance reads");
    running.signal("TERM");
    let status = running.child.wait().expect("the binary ends");
    assert_eq!(status.code(), Some(0));
}
