//! `baobabvanectl status`: instances, zones, pools and versions on one page.

use baobabvanectl::Table;
use clap::{ArgMatches, Command};
use serde_json::Value;

use crate::cmd::{self, Result, cell};

/// Declares the subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("status").about("Shows instances, pools and versions in force")
}

/// Prints the page.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let client = cmd::client(args)?;
    let status = cmd::block_on(async { Ok(client.get("/v1/status").await?) })?;
    if cmd::is_json(args) {
        return cmd::print_json(&status);
    }
    println!(
        "instance {} in zone {}: ready {}, draining {}, {} active requests, {} connections",
        cell(&status, "/instance"),
        cell(&status, "/zone"),
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
    for item in items(&status["configuration"]["instances"]) {
        instances.row(["/name", "/zone", "/in_force"].map(|p| cell(item, p)));
    }
    println!("{instances}");
    let live = items(&status["members"]["live"]).iter().map(|m| cell(m, "/name"));
    println!("live: {}\n", live.collect::<Vec<_>>().join(", "));
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
    for item in items(&status["pools"]) {
        pools.row(
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
            .map(|p| cell(item, p)),
        );
    }
    print!("{pools}");
    Ok(())
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
