//! Command line of `baobabvanectl`; each subcommand has its own module.
//!
//! This module declares the global flags, dispatches to the subcommands, and has the helpers that
//! they share.

mod apply;
mod audit;
mod completions;
mod delete;
mod drain;
mod explain;
mod get;
mod status;
mod watch;

use std::{error::Error, net::SocketAddr};

use baobabvane_domain::{ResourceName, ResourceType};
use baobabvanectl::OperatorClient;
use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use serde_json::Value;

pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Builds the command line with all flags and subcommands.
pub(crate) fn make_command() -> Command {
    Command::new("baobabvanectl")
        .about("Operates a fleet of baobabvane instances")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("server")
                .long("server")
                .env("BAOBABVANE_SERVER")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:8081")
                .global(true)
                .help("Operators' address of an instance"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .env("BAOBABVANE_TOKEN")
                .hide_env_values(true)
                .default_value("")
                .hide_default_value(true)
                .global(true)
                .help("Operator's token; best set by the environment"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .value_parser(PossibleValuesParser::new(["table", "json"]))
                .default_value("table")
                .global(true)
                .help("Output for people or for programs"),
        )
        .subcommands([
            apply::make_subcommand(),
            get::make_subcommand(),
            get::make_describe_subcommand(),
            delete::make_subcommand(),
            watch::make_subcommand(),
            audit::make_subcommand(),
            status::make_subcommand(),
            explain::make_subcommand(),
            drain::make_subcommand(),
            completions::make_subcommand(),
        ])
}

pub(crate) fn dispatch(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("apply", args)) => apply::execute(args),
        Some(("get", args)) => get::execute(args),
        Some(("describe", args)) => get::execute_describe(args),
        Some(("delete", args)) => delete::execute(args),
        Some(("watch", args)) => watch::execute(args),
        Some(("audit", args)) => audit::execute(args),
        Some(("status", args)) => status::execute(args),
        Some(("explain", args)) => explain::execute(args),
        Some(("drain", args)) => drain::execute(args),
        Some(("completions", args)) => completions::execute(args),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

fn make_client(args: &ArgMatches) -> Result<OperatorClient> {
    let address = args.get_one::<SocketAddr>("server").expect("the flag has a default");
    let token = args.get_one::<String>("token").expect("the flag has a default");
    Ok(OperatorClient::new(*address, token)?)
}

fn is_json_output(args: &ArgMatches) -> bool {
    args.get_one::<String>("output").is_some_and(|o| o == "json")
}

/// Runs a future on a new runtime with the legacy (epoll) driver, which needs no `io_uring`.
fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(future)
}

fn print_json(value: &Value) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

fn type_arg() -> Arg {
    Arg::new("type").required(true).value_name("TYPE").help("tier, kind, organisation or endpoint")
}

fn name_arg() -> Arg {
    Arg::new("name").value_name("NAME").help("Name of the resource")
}

fn if_version_arg() -> Arg {
    Arg::new("if-version")
        .long("if-version")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Only when this version is in force; 0 means that it must not exist")
}

fn parse_type(args: &ArgMatches) -> Result<ResourceType> {
    let text = args.get_one::<String>("type").expect("clap requires it");
    ResourceType::parse(text).ok_or_else(|| {
        let allowed: Vec<_> = ResourceType::ALL.iter().map(|t| t.as_str()).collect();
        format!("unknown type {text:?}, allowed: {}", allowed.join(", ")).into()
    })
}

fn parse_name(args: &ArgMatches) -> Result<ResourceName> {
    let name = args.get_one::<String>("name").expect("clap requires it").clone();
    Ok(ResourceName { type_: parse_type(args)?, name })
}

/// Returns the value at a JSON pointer as text; a missing, null or empty-array value is `-`.
fn field_text(value: &Value, pointer: &str) -> String {
    match value.pointer(pointer) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(items)) if items.is_empty() => "-".to_owned(),
        Some(other) => other.to_string(),
    }
}
