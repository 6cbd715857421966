//! `baobabvanectl drain`: stops an instance without cutting off a request.

use clap::{ArgMatches, Command};

use crate::cmd::{self, Result};

/// Declares the subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("drain").about("Stops the instance once its running requests have ended")
}

/// Asks the instance to stop.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let client = cmd::make_client(args)?;
    let response = cmd::block_on(async { Ok(client.post("/v1/drain").await?) })?;
    if cmd::is_json_output(args) {
        return cmd::print_json(&response);
    }
    println!("draining");
    Ok(())
}
