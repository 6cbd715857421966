//! `baobabvanectl status` prints the state of an instance, the configuration versions in force,
//! the live instances, and the pools with their zones.

use baobabvanectl::Table;
use clap::{ArgMatches, Command};
use serde_json::Value;

use crate::cmd::{self, Result, field_text};

pub(crate) fn make_subcommand() -> Command {
    Command::new("status").about("Shows instances, pools and versions in force")
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let client = cmd::make_client(args)?;
    let status = cmd::block_on(async { Ok(client.get("/v1/status").await?) })?;
    if cmd::is_json_output(args) {
        return cmd::print_json(&status);
    }
    println!(
        "instance {} in zone {}: ready {}, draining {}, {} active requests, {} connections",
        field_text(&status, "/instance"),
        field_text(&status, "/zone"),
        status["ready"],
        status["draining"],
        status["active_requests"],
        status["connections"]
    );
    println!(
        "configuration version {}, log reachable: {}\n",
        status["configuration"]["version"], status["configuration"]["log_reachable"]
    );
    let mut instances = Table::new(&["INSTANCE", "ZONE", "VERSION IN FORCE"]);
    for item in array_items(&status["configuration"]["instances"]) {
        instances
            .push_row(["/name", "/zone", "/in_force"].map(|pointer| field_text(item, pointer)));
    }
    println!("{instances}");
    let live_names =
        array_items(&status["members"]["live"]).iter().map(|member| field_text(member, "/name"));
    println!("live: {}\n", live_names.collect::<Vec<_>>().join(", "));
    let mut pools = Table::new(&[
        "POOL",
        "ZONE",
        "SCHEDULER",
        "ENDPOINTS",
        "WAITING",
        "IN FLIGHT",
        "ROOM",
        "OPEN",
    ]);
    for item in array_items(&status["pools"]) {
        pools.push_row(
            [
                "/pool",
                "/zone",
                "/scheduler",
                "/endpoints",
                "/counts/waiting",
                "/counts/in_flight",
                "/counts/room",
                "/counts/open_breakers",
            ]
            .map(|pointer| field_text(item, pointer)),
        );
    }
    print!("{pools}");
    Ok(())
}

/// Returns the items of a JSON array, or an empty slice for any other value.
fn array_items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
