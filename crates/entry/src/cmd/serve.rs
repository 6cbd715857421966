//! `baobabvane serve`: runs the entry instance until it is told to stop.

use std::{error::Error, io};

use baobabvane::{Daemon, Settings, StopHandle};
use clap::{ArgMatches, Command};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};

/// Exit code when running requests were cut off, or by a second signal.
const EXIT_FORCED_STOP: i32 = 3;

/// Declares the subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("serve").about("Serves callers and operators").args(Settings::args())
}

/// Serves until SIGTERM or SIGINT, and ends when the last running answer is whole.
pub(crate) fn execute(args: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let settings = Settings::from_args(args)?;
    // The library's default would pick io_uring where the kernel has it.
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let daemon = Daemon::bind(settings)?;
        // Whoever reads that the instance listens may stop it at once.
        register_stop_signals(&daemon.stop_handle())?;
        println!(
            "listening callers={} operators={}",
            daemon.caller_address()?,
            daemon.operator_address()?
        );
        let cut_off = daemon.serve()?.until_stopped().await;
        if cut_off > 0 {
            return Err(
                format!("{cut_off} requests were cut off when the drain time ran out").into()
            );
        }
        Ok(())
    })
}

fn register_stop_signals(stop: &StopHandle) -> io::Result<()> {
    for signal in [SIGTERM, SIGINT] {
        // In this order, so that the first signal only sets the flag.
        flag::register_conditional_shutdown(signal, EXIT_FORCED_STOP, stop.flag())?;
        flag::register(signal, stop.flag())?;
    }
    Ok(())
}
