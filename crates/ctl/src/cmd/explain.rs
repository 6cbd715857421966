//! `baobabvanectl explain`: the inputs of the decisions on a request.

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;

use crate::cmd::{self, Result, cell};

/// Declares the subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("explain").about("Shows why a request went where it went, or was refused").arg(
        Arg::new("request")
            .required(true)
            .value_name("REQUEST-ID")
            .help("From the answer's header"),
    )
}

/// Prints the decisions in the order in which they were made.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let id = args.get_one::<String>("request").expect("clap requires it");
    let client = cmd::client(args)?;
    let decision = cmd::block_on(async { Ok(client.get(&format!("/v1/explain/{id}")).await?) })?;
    if cmd::is_json(args) {
        return cmd::print_json(&decision);
    }
    let of = |pointer| cell(&decision, pointer);
    println!(
        "request {id}: {} of organisation {}, tier {}, pool {}",
        of("/kind"),
        of("/organisation"),
        of("/tier"),
        of("/pool")
    );
    println!("  deadline {} ms, prompt {} tokens", of("/deadline_ms"), of("/prompt_tokens"));
    for (n, attempt) in decision["attempts"].as_array().into_iter().flatten().enumerate() {
        print_attempt(n + 1, attempt);
    }
    println!("  ended with status {}, verdict {}", of("/status"), of("/verdict"));
    Ok(())
}

fn print_attempt(number: usize, attempt: &Value) {
    let of = |pointer| cell(attempt, pointer);
    match attempt["endpoint"].as_str() {
        Some(endpoint) => println!(
            "  attempt {number}: sent to {endpoint}, first token expected after {} ms, {} tokens cached",
            of("/expected_first_token_ms"),
            of("/cached_tokens")
        ),
        None => println!("  attempt {number}: refused, reason {}", of("/refusal")),
    }
    println!(
        "    waited {} ms; {} waiting in the tier, {} below it, tier's wait {} ms; {} in flight of {}",
        of("/inputs/waited_ms"),
        of("/inputs/waiting_in_tier"),
        of("/inputs/waiting_below"),
        of("/inputs/tier_wait_ms"),
        of("/inputs/in_flight"),
        of("/inputs/room")
    );
}
