//! `baobabvanectl watch` prints the resources and then changes to them.
//!
//! Changes of a resource in quick succession can appear as one event.

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::cmd::{self, Result, field_text};

pub(crate) fn make_subcommand() -> Command {
    Command::new("watch").about("Shows resources and every change of them until stopped").arg(
        Arg::new("from")
            .long("from")
            .value_name("VERSION")
            .value_parser(value_parser!(u64))
            .help("Leave out what has not changed since this version"),
    )
}

/// Prints a line for each event until the instance ends the stream.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let client = cmd::make_client(args)?;
    let path = match args.get_one::<u64>("from") {
        Some(from) => format!("/v1/watch?from={from}"),
        None => "/v1/watch".to_owned(),
    };
    let is_json = cmd::is_json_output(args);
    let print_event = |event: Value| {
        if is_json {
            println!("{event}");
        } else {
            let field = |pointer| field_text(&event, pointer);
            println!(
                "{:<7} {:<13} {:<24} {:<8} {}",
                field("/event"),
                field("/type"),
                field("/name"),
                field("/version"),
                field("/spec")
            );
        }
    };
    cmd::block_on(async { Ok(client.for_each_line(&path, print_event).await?) })
}
