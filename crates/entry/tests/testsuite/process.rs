//! The real binary: settings, signals, driver.

use std::{io::Write, net::TcpStream, path::Path, process::Command};

use baobabvane_standin::Process;

const BINARY: &str = env!("CARGO_BIN_EXE_baobabvane");

fn spawn() -> Process {
    let args = ["--listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0"];
    Process::spawn(Path::new(BINARY), &args)
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
    let mut running = spawn();
    running.signal("TERM");
    assert_eq!(running.wait().code(), Some(0));
}

#[test]
fn a_connection_that_sends_nothing_does_not_hold_up_the_stop() {
    let mut running = spawn();
    let mut stream = TcpStream::connect(running.callers()).expect("the instance accepts");
    stream.write_all(b"GET /livez HT").expect("the instance reads");
    running.signal("TERM");
    assert_eq!(running.wait().code(), Some(0));
}
