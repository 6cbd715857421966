//! `baobabvane serve`: runs an entry instance until a signal or an operator stops it.

use std::{error::Error, io};

use baobabvane::{Daemon, Settings, StopHandle};
use clap::{ArgMatches, Command};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};

/// Exit code when a second SIGTERM or SIGINT ends the process without waiting for requests.
const EXIT_FORCED_STOP: i32 = 3;

pub(crate) fn make_subcommand() -> Command {
    Command::new("serve").about("Serves callers and operators").args(Settings::args())
}

/// Serves until it is stopped, then waits for requests in flight until the drain timeout.
///
/// Returns an error if requests were cut off at the drain timeout.
pub(crate) fn execute(args: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let settings = Settings::from_args(args)?;
    // The legacy driver uses epoll on Linux; the default would use io_uring where available.
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let daemon = Daemon::bind(settings)?;
        // Registered before the addresses are printed, because a process that waits for them may
        // send a signal at once.
        register_stop_signals(&daemon.stop_handle())?;
        println!(
            "listening callers={} operators={}",
            daemon.caller_address()?,
            daemon.operator_address()?
        );
        let cut_off = daemon.serve()?.until_stopped().await;
        if cut_off > 0 {
            return Err(
                format!("{cut_off} requests were cut off when the drain timeout expired").into()
            );
        }
        Ok(())
    })
}

fn register_stop_signals(stop: &StopHandle) -> io::Result<()> {
    for signal in [SIGTERM, SIGINT] {
        // Handlers run in order of registration: the first signal finds the flag unset and only
        // sets it, the second finds it set and exits.
        flag::register_conditional_shutdown(signal, EXIT_FORCED_STOP, stop.flag())?;
        flag::register(signal, stop.flag())?;
    }
    Ok(())
}
