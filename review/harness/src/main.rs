//! The cases of the review. `review-case NAME RECORD` plays one and exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment, the disruption is left out.

mod client;
mod engine;
mod false_end;
mod flood;
mod history;
mod http;
mod platform;
mod record;
mod site;
mod stop;
mod traffic;
mod upload;

use std::{path::Path, process::ExitCode};

use record::Record;

/// The result of a case.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(record));
    record.say(&format!("case={case} trouble={has_trouble}"));
    let verdict = match case.as_str() {
        "empty-lines" => flood::play(&record, has_trouble, flood::Kind::EmptyLines),
        "interim-responses" => flood::play(&record, has_trouble, flood::Kind::InterimResponses),
        "lines-in-body" => flood::play(&record, has_trouble, flood::Kind::LinesInBody),
        "upload-burst" => upload::play(&record, has_trouble),
        "config-history" => history::play(&record, has_trouble),
        "false-end" => false_end::play(&record, has_trouble),
        "stop-with-queue" => stop::play(&record, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule is broken", 1),
        Verdict::Held => ("the rule held", 0),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.say(text);
    ExitCode::from(code)
}
