//! `baobabvane check`: validates the settings and exits without binding a socket.

use std::error::Error;

use baobabvane::Settings;
use clap::{ArgMatches, Command};

pub(crate) fn make_subcommand() -> Command {
    Command::new("check").about("Checks the settings and ends").args(Settings::args())
}

/// Validates the settings and prints the instance name and availability zone.
pub(crate) fn execute(args: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let settings = Settings::from_args(args)?;
    println!("settings of instance {:?} in zone {:?} are valid", settings.name, settings.zone);
    Ok(())
}
