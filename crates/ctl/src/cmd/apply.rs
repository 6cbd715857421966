//! `baobabvanectl apply` creates or replaces the resources of a file.
//!
//! It stops at the first call that fails; resources applied before that stay applied.

use std::path::PathBuf;

use baobabvanectl::{Manifest, Table};
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::cmd::{self, Result, field_text};

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

/// Applies each resource after the resources that it refers to.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let file = args.get_one::<PathBuf>("file").expect("clap requires it");
    let manifest = Manifest::load(file)?;
    let client = cmd::make_client(args)?;
    let applied: Vec<Value> = cmd::block_on(async {
        let mut applied = Vec::new();
        for (name, spec) in manifest.resources() {
            let response = client.put(name, spec, None).await;
            applied.push(response.map_err(|e| format!("{}: {name}: {e}", file.display()))?);
        }
        Ok(applied)
    })?;
    if cmd::is_json_output(args) {
        return cmd::print_json(&Value::Array(applied));
    }
    let mut table = Table::new(&["TYPE", "NAME", "VERSION", "STATE", "ZONES MISSING"]);
    for response in &applied {
        table.push_row(
            ["/type", "/name", "/version", "/state", "/zones_missing"]
                .map(|pointer| field_text(response, pointer)),
        );
    }
    print!("{table}");
    Ok(())
}
