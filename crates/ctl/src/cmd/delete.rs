//! `baobabvanectl delete`: removes a resource.

use clap::{ArgMatches, Command};

use crate::cmd::{self, Result, cell};

/// Declares the subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("delete").about("Removes a resource").args([
        cmd::type_arg(),
        cmd::name_arg().required(true),
        cmd::version_arg(),
    ])
}

/// Removes the resource.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let name = cmd::parse_name(args)?;
    let client = cmd::client(args)?;
    let version = args.get_one::<u64>("if-version").copied();
    let answer = cmd::block_on(async { Ok(client.delete(&name, version).await?) })?;
    if cmd::is_json(args) {
        return cmd::print_json(&answer);
    }
    println!("{name} deleted at version {}, {}", answer["version"], cell(&answer, "/state"));
    Ok(())
}
