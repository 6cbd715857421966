//! `baobabvanectl get` lists resources; `describe` shows one with its audit entries.

use baobabvane_domain::ResourceType;
use baobabvanectl::Table;
use clap::{ArgMatches, Command};
use serde_json::Value;

use crate::cmd::{self, Result, field_text};

pub(crate) fn make_subcommand() -> Command {
    Command::new("get")
        .about("Lists resources of a type, or shows one")
        .args([cmd::type_arg(), cmd::name_arg()])
}

pub(crate) fn make_describe_subcommand() -> Command {
    Command::new("describe")
        .about("Shows all of one resource and its latest changes")
        .args([cmd::type_arg(), cmd::name_arg().required(true)])
}

/// Prints one named resource, or all of a type, as a table.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let type_ = cmd::parse_type(args)?;
    let client = cmd::make_client(args)?;
    let name = args.get_one::<String>("name");
    let path = match name {
        Some(name) => format!("/v1/{type_}s/{name}"),
        None => format!("/v1/{type_}s"),
    };
    let response = cmd::block_on(async { Ok(client.get(&path).await?) })?;
    if cmd::is_json_output(args) {
        return cmd::print_json(&response);
    }
    let items = match name {
        Some(_) => std::slice::from_ref(&response),
        None => response["items"].as_array().map_or(&[][..], Vec::as_slice),
    };
    print!("{}", resource_table(type_, items));
    Ok(())
}

/// Prints all fields of a resource and its audit entries, also those of refused changes.
///
/// The offset of an entry is printed as `VERSION`, since the version of a resource is the log
/// offset of its last accepted change.
pub(crate) fn execute_describe(args: &ArgMatches) -> Result<()> {
    let name = cmd::parse_name(args)?;
    let client = cmd::make_client(args)?;
    let (resource, audit) = cmd::block_on(async {
        let resource = client.get(&format!("/v1/{}s/{}", name.type_, name.name)).await?;
        Ok((resource, client.get("/v1/audit").await?))
    })?;
    let entries = audit["items"].as_array().cloned().unwrap_or_default();
    let subject = name.to_string();
    let changes: Vec<Value> =
        entries.into_iter().filter(|e| e["subject"] == Value::String(subject.clone())).collect();
    if cmd::is_json_output(args) {
        return cmd::print_json(&serde_json::json!({ "resource": resource, "changes": changes }));
    }
    println!("{name} version {}", resource["version"]);
    for (key, value) in resource["spec"].as_object().into_iter().flatten() {
        println!("  {key}: {value}");
    }
    println!("changes:");
    let mut table = Table::new(&["  VERSION", "WHO", "WHAT", "RESULT"]);
    for change in &changes {
        table.push_row([
            format!("  {}", field_text(change, "/offset")),
            field_text(change, "/who"),
            field_text(change, "/what"),
            field_text(change, "/result"),
        ]);
    }
    print!("{table}");
    Ok(())
}

/// Returns the columns specific to a type, each as its name and the JSON pointer of its value.
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

fn resource_table(type_: ResourceType, items: &[Value]) -> Table {
    let columns = columns(type_);
    let mut header = vec!["NAME", "VERSION"];
    header.extend(columns.iter().map(|(name, _)| *name));
    let mut table = Table::new(&header);
    for item in items {
        let common_pointers = ["/name", "/version"].into_iter();
        let pointers = common_pointers.chain(columns.iter().map(|(_, pointer)| *pointer));
        table.push_row(pointers.map(|pointer| field_text(item, pointer)));
    }
    table
}
