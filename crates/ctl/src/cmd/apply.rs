//! `baobabvanectl apply`: creates and replaces the resources of a file.

use std::path::PathBuf;

use baobabvanectl::{Manifest, Table};
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::cmd::{self, Result, cell};

/// Declares the subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("apply").about("Creates and replaces the resources of a file").arg(
        Arg::new("file")
            .long("file")
            .short('f')
            .required(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("TOML, or JSON when the name ends in .json"),
    )
}

/// Applies all resources of the file, in the order in which they refer to each other.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let file = args.get_one::<PathBuf>("file").expect("clap requires it");
    let manifest = Manifest::load(file)?;
    let client = cmd::client(args)?;
    let applied: Vec<Value> = cmd::block_on(async {
        let mut applied = Vec::new();
        for (name, spec) in manifest.resources() {
            let answer = client.put(name, spec, None).await;
            applied.push(answer.map_err(|e| format!("{}: {name}: {e}", file.display()))?);
        }
        Ok(applied)
    })?;
    if cmd::is_json(args) {
        return cmd::print_json(&Value::Array(applied));
    }
    let mut table = Table::new(&["TYPE", "NAME", "VERSION", "STATE", "ZONES MISSING"]);
    for answer in &applied {
        table.row(
            ["/type", "/name", "/version", "/state", "/zones_missing"].map(|p| cell(answer, p)),
        );
    }
    print!("{table}");
    Ok(())
}
