//! `baobabvanectl drain` asks an instance to stop once its running requests have ended.

use clap::{ArgMatches, Command};

use crate::cmd::{self, Result};

pub(crate) fn make_subcommand() -> Command {
    Command::new("drain").about("Stops the instance once its running requests have ended")
}

/// Returns once the instance has accepted the drain, without waiting until it stops.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let client = cmd::make_client(args)?;
    let response = cmd::block_on(async { Ok(client.post("/v1/drain").await?) })?;
    if cmd::is_json_output(args) {
        return cmd::print_json(&response);
    }
    println!("draining");
    Ok(())
}
