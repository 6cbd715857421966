//! `baobabvane gateway`: runs an instance as a gateway that reads its routes and endpoints from the
//! platform's store.

use std::{
    error::Error,
    path::PathBuf,
    rc::Rc,
    sync::{Arc, atomic::AtomicBool},
};

use baobabvane_platform::Options;
use baobabvane_tasks::StopHandle;
use clap::{Arg, ArgMatches, Command, value_parser};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};

/// Name of the subcommand.
pub(crate) const NAME: &str = "gateway";

pub(crate) fn make_subcommand() -> Command {
    Command::new(NAME)
        .about("Serves callers with routes and endpoints read from the platform's store")
        .arg(
            Arg::new("settings-file")
                .long("settings-file")
                .env("BAOBABVANE_SETTINGS")
                .value_parser(value_parser!(PathBuf))
                .default_value("/etc/baobabvane/node.conf")
                .help("The settings file that the platform writes"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .env("BAOBABVANE_METRICS_PORT")
                .value_parser(value_parser!(u16))
                .help(
                    "Port for metrics, on the IP address where callers connect; without it, no \
                     metrics are served",
                ),
        )
}

/// Serves until SIGTERM or SIGINT, then waits for requests in flight until the platform's grace
/// period ends.
///
/// `reload_requested` makes the instance read the settings file again. Returns an error if requests were cut
/// off at the end of the grace period.
pub(crate) fn execute(
    args: &ArgMatches,
    reload_requested: Arc<AtomicBool>,
) -> Result<(), Box<dyn Error>> {
    let options = Options {
        settings_path: args.get_one::<PathBuf>("settings-file").cloned().unwrap_or_default(),
        metrics_port: args.get_one::<u16>("metrics-port").copied(),
        stop: StopHandle::default(),
        reload_requested,
    };
    for signal in [SIGTERM, SIGINT] {
        flag::register(signal, options.stop.flag())?;
    }
    let metrics = baobabvane::install_metrics();
    let render = Rc::new(move || metrics.render());
    // The legacy driver uses epoll on Linux; the default would use io_uring where available.
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    let cut_off = runtime.block_on(baobabvane_platform::serve(options, render))?;
    if cut_off > 0 {
        return Err(format!("{cut_off} requests were cut off when the grace period ran out").into());
    }
    Ok(())
}
