//! `baobabvanectl explain` shows each scheduling decision on a request, with the waiting times and
//! counts that it was based on.

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;

use crate::cmd::{self, Result, field_text};

pub(crate) fn make_subcommand() -> Command {
    Command::new("explain").about("Shows why a request went where it went, or was refused").arg(
        Arg::new("request")
            .required(true)
            .value_name("REQUEST-ID")
            .help("From the answer's header"),
    )
}

/// Prints the attempts in the order in which they were made, and the final status.
pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let request_id = args.get_one::<String>("request").expect("clap requires it");
    let client = cmd::make_client(args)?;
    let explanation =
        cmd::block_on(async { Ok(client.get(&format!("/v1/explain/{request_id}")).await?) })?;
    if cmd::is_json_output(args) {
        return cmd::print_json(&explanation);
    }
    let field = |pointer| field_text(&explanation, pointer);
    println!(
        "request {request_id}: {} of organisation {}, tier {}, pool {}",
        field("/kind"),
        field("/organisation"),
        field("/tier"),
        field("/pool")
    );
    println!("  deadline {} ms, prompt {} tokens", field("/deadline_ms"), field("/prompt_tokens"));
    for (index, attempt) in explanation["attempts"].as_array().into_iter().flatten().enumerate() {
        print_attempt(index + 1, attempt);
    }
    println!("  ended with status {}, verdict {}", field("/status"), field("/verdict"));
    Ok(())
}

fn print_attempt(number: usize, attempt: &Value) {
    let field = |pointer| field_text(attempt, pointer);
    match attempt["endpoint"].as_str() {
        Some(endpoint) => println!(
            "  attempt {number}: sent to {endpoint}, first token expected after {} ms, {} tokens cached",
            field("/expected_first_token_ms"),
            field("/cached_tokens")
        ),
        None => println!("  attempt {number}: refused, reason {}", field("/refusal")),
    }
    println!(
        "    waited {} ms; {} waiting in the tier, {} below it, tier's wait {} ms; {} in flight of {}",
        field("/inputs/waited_ms"),
        field("/inputs/waiting_in_tier"),
        field("/inputs/waiting_below"),
        field("/inputs/tier_wait_ms"),
        field("/inputs/in_flight"),
        field("/inputs/room")
    );
}
