//! `baobabvanectl audit` lists who changed what, when, and with what result.
//!
//! It fetches all entries that the instance returns and filters them locally.

use baobabvanectl::Table;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::cmd::{self, Result, cell_text};

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
    let items = response["items"].as_array().cloned().unwrap_or_default();
    let matching: Vec<Value> =
        items.into_iter().filter(|item| matches_filters(args, item)).collect();
    if cmd::is_json_output(args) {
        return cmd::print_json(&Value::Array(matching));
    }
    let mut table = Table::new(&["OFFSET", "AT MS", "WHO", "WHAT", "SUBJECT", "RESULT"]);
    for item in &matching {
        table.push_row(
            ["/offset", "/at_ms", "/who", "/what", "/subject", "/result"]
                .map(|pointer| cell_text(item, pointer)),
        );
    }
    print!("{table}");
    Ok(())
}

/// Returns whether an entry matches every filter that was given.
fn matches_filters(args: &ArgMatches, item: &Value) -> bool {
    let who_matches =
        args.get_one::<String>("who").is_none_or(|name| *name == cell_text(item, "/who"));
    let subject_matches = args
        .get_one::<String>("subject")
        .is_none_or(|wanted| cell_text(item, "/subject").contains(wanted));
    let is_since_offset = args
        .get_one::<u64>("since")
        .is_none_or(|wanted| item["offset"].as_u64().is_some_and(|offset| offset >= *wanted));
    who_matches && subject_matches && is_since_offset
}
