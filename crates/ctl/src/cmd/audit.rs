//! `baobabvanectl audit` lists changes, also refused ones, and events from the audit log.
//!
//! The instance returns its latest audit entries; the filters are applied locally.

use baobabvanectl::Table;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::cmd::{self, Result, field_text};

pub(crate) fn make_subcommand() -> Command {
    Command::new("audit").about("Shows changes and decisions, oldest first").args([
        Arg::new("who").long("who").value_name("NAME").help("Only by this operator or instance"),
        Arg::new("subject")
            .long("subject")
            .value_name("TEXT")
            .help("Only things that contain this"),
        Arg::new("since")
            .long("since")
            .value_name("OFFSET")
            .value_parser(value_parser!(u64))
            .help("Only from this offset of the log on"),
    ])
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let client = cmd::make_client(args)?;
    let response = cmd::block_on(async { Ok(client.get("/v1/audit").await?) })?;
    let entries = response["items"].as_array().cloned().unwrap_or_default();
    let matching: Vec<Value> =
        entries.into_iter().filter(|entry| matches_filters(args, entry)).collect();
    if cmd::is_json_output(args) {
        return cmd::print_json(&Value::Array(matching));
    }
    let mut table = Table::new(&["OFFSET", "AT MS", "WHO", "WHAT", "SUBJECT", "RESULT"]);
    for entry in &matching {
        table.push_row(
            ["/offset", "/at_ms", "/who", "/what", "/subject", "/result"]
                .map(|pointer| field_text(entry, pointer)),
        );
    }
    print!("{table}");
    Ok(())
}

/// Returns whether an entry matches every filter that was given.
fn matches_filters(args: &ArgMatches, entry: &Value) -> bool {
    let who_matches =
        args.get_one::<String>("who").is_none_or(|name| *name == field_text(entry, "/who"));
    let subject_matches = args
        .get_one::<String>("subject")
        .is_none_or(|text| field_text(entry, "/subject").contains(text));
    let since_matches = args
        .get_one::<u64>("since")
        .is_none_or(|since| entry["offset"].as_u64().is_some_and(|offset| offset >= *since));
    who_matches && subject_matches && since_matches
}
