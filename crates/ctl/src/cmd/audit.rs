//! `baobabvanectl audit`: who changed what, when, and with what result.

use baobabvanectl::Table;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::cmd::{self, Result, cell};

/// Declares the subcommand.
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

/// Prints the entries that pass the filters.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let client = cmd::client(args)?;
    let answer = cmd::block_on(async { Ok(client.get("/v1/audit").await?) })?;
    let items = answer["items"].as_array().cloned().unwrap_or_default();
    let passing: Vec<Value> = items.into_iter().filter(|item| passes(args, item)).collect();
    if cmd::is_json(args) {
        return cmd::print_json(&Value::Array(passing));
    }
    let mut table = Table::new(&["OFFSET", "AT MS", "WHO", "WHAT", "SUBJECT", "RESULT"]);
    for item in &passing {
        table.row(
            ["/offset", "/at_ms", "/who", "/what", "/subject", "/result"].map(|p| cell(item, p)),
        );
    }
    print!("{table}");
    Ok(())
}

fn passes(args: &ArgMatches, item: &Value) -> bool {
    let who = args.get_one::<String>("who").is_none_or(|w| *w == cell(item, "/who"));
    let subject =
        args.get_one::<String>("subject").is_none_or(|s| cell(item, "/subject").contains(s));
    let since = args
        .get_one::<u64>("since")
        .is_none_or(|s| item["offset"].as_u64().is_some_and(|offset| offset >= *s));
    who && subject && since
}
