//! `baobabvanectl get` and `describe`: show resources.

use baobabvane_domain::ResourceType;
use baobabvanectl::Table;
use clap::{ArgMatches, Command};
use serde_json::Value;

use crate::cmd::{self, Result, cell};

/// Declares `get`.
pub(crate) fn make_subcommand() -> Command {
    Command::new("get")
        .about("Lists resources of a type, or shows one")
        .args([cmd::type_arg(), cmd::name_arg()])
}

/// Declares `describe`.
pub(crate) fn make_describe_subcommand() -> Command {
    Command::new("describe")
        .about("Shows all of one resource and its latest changes")
        .args([cmd::type_arg(), cmd::name_arg().required(true)])
}

/// Shows resources in a table.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let type_ = cmd::parse_type(args)?;
    let client = cmd::client(args)?;
    let name = args.get_one::<String>("name");
    let path = match name {
        Some(name) => format!("/v1/{type_}s/{name}"),
        None => format!("/v1/{type_}s"),
    };
    let answer = cmd::block_on(async { Ok(client.get(&path).await?) })?;
    if cmd::is_json(args) {
        return cmd::print_json(&answer);
    }
    let items = match name {
        Some(_) => std::slice::from_ref(&answer),
        None => answer["items"].as_array().map_or(&[][..], Vec::as_slice),
    };
    print!("{}", table(type_, items));
    Ok(())
}

/// Shows one resource with the changes that made it.
pub(crate) fn execute_describe(args: &ArgMatches) -> Result<()> {
    let name = cmd::parse_name(args)?;
    let client = cmd::client(args)?;
    let (resource, audit) = cmd::block_on(async {
        let resource = client.get(&format!("/v1/{}s/{}", name.type_, name.name)).await?;
        Ok((resource, client.get("/v1/audit").await?))
    })?;
    let entries = audit["items"].as_array().cloned().unwrap_or_default();
    let subject = name.to_string();
    let changes: Vec<Value> =
        entries.into_iter().filter(|e| e["subject"] == Value::String(subject.clone())).collect();
    if cmd::is_json(args) {
        return cmd::print_json(&serde_json::json!({ "resource": resource, "changes": changes }));
    }
    println!("{name} version {}", resource["version"]);
    for (key, value) in resource["spec"].as_object().into_iter().flatten() {
        println!("  {key}: {value}");
    }
    println!("changes:");
    let mut table = Table::new(&["  VERSION", "WHO", "WHAT", "RESULT"]);
    for change in &changes {
        table.row([
            format!("  {}", cell(change, "/offset")),
            cell(change, "/who"),
            cell(change, "/what"),
            cell(change, "/result"),
        ]);
    }
    print!("{table}");
    Ok(())
}

/// The columns of a type: their names and where their values are.
fn columns(type_: ResourceType) -> &'static [(&'static str, &'static str)] {
    match type_ {
        ResourceType::Tier => &[("RANK", "/spec/rank"), ("FLOOR %", "/spec/floor_percent")],
        ResourceType::Kind => &[
            ("TIER", "/spec/tier"),
            ("POOL", "/spec/pool"),
            ("PROTOCOL", "/spec/protocol"),
            ("IDEMPOTENT", "/spec/idempotent"),
            ("DEADLINE MS", "/spec/deadline_ms"),
        ],
        ResourceType::Organisation => &[("WEIGHT", "/spec/weight")],
        ResourceType::Endpoint => &[
            ("ADDRESS", "/spec/address"),
            ("ZONE", "/spec/zone"),
            ("POOL", "/spec/pool"),
            ("SLOTS", "/spec/slots"),
            ("LEAVING", "/spec/leaving"),
        ],
    }
}

fn table(type_: ResourceType, items: &[Value]) -> Table {
    let columns = columns(type_);
    let mut head = vec!["NAME", "VERSION"];
    head.extend(columns.iter().map(|(name, _)| *name));
    let mut table = Table::new(&head);
    for item in items {
        let fixed = ["/name", "/version"].into_iter();
        let pointers = fixed.chain(columns.iter().map(|(_, pointer)| *pointer));
        table.row(pointers.map(|pointer| cell(item, pointer)));
    }
    table
}
