//! `baobabvanectl completions` prints the completion script of a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::cmd::{self, Result};

pub(crate) fn make_subcommand() -> Command {
    Command::new("completions").about("Prints completions for a shell").arg(
        Arg::new("shell").required(true).value_name("SHELL").value_parser(value_parser!(Shell)),
    )
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let shell = *args.get_one::<Shell>("shell").expect("clap requires it");
    let mut command = cmd::make_command();
    clap_complete::generate(shell, &mut command, "baobabvanectl", &mut std::io::stdout());
    Ok(())
}
