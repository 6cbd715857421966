//! `baobabvanectl watch`: follows the resources.

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::cmd::{self, Result, cell};

/// Declares the subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("watch").about("Shows resources and every change of them until stopped").arg(
        Arg::new("from")
            .long("from")
            .value_name("VERSION")
            .value_parser(value_parser!(u64))
            .help("Leave out what has not changed since this version"),
    )
}

/// Prints a line for each change.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let client = cmd::client(args)?;
    let path = match args.get_one::<u64>("from") {
        Some(from) => format!("/v1/watch?from={from}"),
        None => "/v1/watch".to_owned(),
    };
    let json = cmd::is_json(args);
    let print = |line: Value| {
        if json {
            println!("{line}");
        } else {
            let of = |pointer| cell(&line, pointer);
            println!(
                "{:<7} {:<13} {:<24} {:<8} {}",
                of("/event"),
                of("/type"),
                of("/name"),
                of("/version"),
                of("/spec")
            );
        }
    };
    cmd::block_on(async { Ok(client.lines(&path, print).await?) })
}
