//! `baobabvanectl delete` removes a resource, optionally only at a given version.

use clap::{ArgMatches, Command};

use crate::cmd::{self, Result, field_text};

pub(crate) fn make_subcommand() -> Command {
    Command::new("delete").about("Removes a resource").args([
        cmd::type_arg(),
        cmd::name_arg().required(true),
        cmd::if_version_arg(),
    ])
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let name = cmd::parse_name(args)?;
    let client = cmd::make_client(args)?;
    let version = args.get_one::<u64>("if-version").copied();
    let response = cmd::block_on(async { Ok(client.delete(&name, version).await?) })?;
    if cmd::is_json_output(args) {
        return cmd::print_json(&response);
    }
    println!(
        "{name} deleted at version {}, {}",
        response["version"],
        field_text(&response, "/state")
    );
    Ok(())
}
