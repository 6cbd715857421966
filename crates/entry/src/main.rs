//! The entry instance's command line.

mod cmd;

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    let _guard = baobabvane::install_logger();
    let matches = create_command().get_matches();
    let result = match matches.subcommand() {
        Some(("gateway", args)) => cmd::gateway::execute(args),
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
