//! `baobabvane check`: checks the settings without serving.

use std::error::Error;

use baobabvane::Settings;
use clap::{ArgMatches, Command};

/// Declares the subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("check").about("Checks the settings and ends").args(Settings::args())
}

/// Checks the settings and prints what they come to.
pub(crate) fn execute(args: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let settings = Settings::from_args(args)?;
    println!("settings of instance {:?} in zone {:?} are valid", settings.name, settings.zone);
    Ok(())
}
