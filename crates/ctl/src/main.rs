//! The operators' command line.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cmd::create_command().get_matches();
    match cmd::dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baobabvanectl: {error}");
            ExitCode::FAILURE
        }
    }
}
