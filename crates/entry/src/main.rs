//! The entry instance's command line.

mod cmd;

use std::{
    process::ExitCode,
    sync::{Arc, atomic::AtomicBool},
};

use clap::Command;
use signal_hook::{consts::SIGHUP, flag};

fn main() -> ExitCode {
    let reload_requested = match register_reload() {
        Ok(flag) => flag,
        Err(error) => {
            eprintln!("baobabvane: {error}");
            return ExitCode::FAILURE;
        }
    };
    let _guard = baobabvane::install_logger();
    let matches = create_command().get_matches();
    let result = match matches.subcommand() {
        Some(("gateway", args)) => cmd::gateway::execute(args, reload_requested),
        Some(("serve", args)) => cmd::serve::execute(args),
        Some(("check", args)) => cmd::check::execute(args),
        _ => unreachable!("clap requires a known subcommand"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baobabvane: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Registers the handler of SIGHUP for the gateway and returns the flag that it sets.
///
/// The platform may send SIGHUP as soon as the process exists, and without a handler it ends the
/// process. The command line is therefore not parsed before.
fn register_reload() -> std::io::Result<Arc<AtomicBool>> {
    let reload_requested = Arc::new(AtomicBool::new(false));
    if std::env::args_os().nth(1).is_some_and(|command| command == cmd::gateway::NAME) {
        flag::register(SIGHUP, Arc::clone(&reload_requested))?;
    }
    Ok(reload_requested)
}

fn create_command() -> Command {
    Command::new("baobabvane")
        .about("Entry instance of the baobabvane request scheduler")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::gateway::make_subcommand())
        .subcommand(cmd::serve::make_subcommand())
        .subcommand(cmd::check::make_subcommand())
}
