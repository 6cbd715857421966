//! The `baobabvane` binary as a process: validation of settings, and shutdown on SIGTERM.

use std::{io::Write, net::TcpStream, path::Path, process::Command};

use baobabvane_standin::Process;

const BINARY: &str = env!("CARGO_BIN_EXE_baobabvane");

fn spawn_instance() -> Process {
    let args = ["--listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0"];
    Process::spawn(Path::new(BINARY), &args)
}

/// Returns whether the binary succeeded, and its standard error output.
fn run_binary(args: &[&str]) -> (bool, String) {
    let output = Command::new(BINARY).args(args).output().expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), text)
}

#[test]
fn an_invalid_setting_error_names_flag_value_and_range() {
    let (succeeded, text) = run_binary(&["check", "--head-bytes", "5"]);
    assert!(!succeeded);
    assert_eq!(
        text.trim(),
        "baobabvane: --head-bytes \"5\" is not valid, allowed: 1024 to 1048576"
    );
    let (succeeded, text) = run_binary(&["serve", "--listen", "somewhere"]);
    assert!(!succeeded);
    assert!(text.contains("--listen \"somewhere\" is not valid"), "{text}");
    assert!(run_binary(&["check"]).0);
}

#[test]
fn sigterm_ends_an_idle_instance_with_success() {
    let mut running = spawn_instance();
    running.signal("TERM");
    assert_eq!(running.wait().code(), Some(0));
}

#[test]
fn an_incomplete_request_does_not_delay_shutdown() {
    let mut running = spawn_instance();
    let mut stream = TcpStream::connect(running.callers()).expect("the instance accepts");
    stream.write_all(b"GET /livez HT").expect("the instance reads");
    running.signal("TERM");
    assert_eq!(running.wait().code(), Some(0));
}
