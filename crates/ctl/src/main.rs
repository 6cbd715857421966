//! Entry point of `baobabvanectl`, the command-line tool for operators.
//!
//! Errors go to standard error, and the process then exits with a failure status.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cmd::make_command().get_matches();
    match cmd::dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baobabvanectl: {error}");
            ExitCode::FAILURE
        }
    }
}
