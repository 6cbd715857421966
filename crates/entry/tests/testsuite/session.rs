//! Runs scenario scripts and compares what callers, operators and endpoints observed with golden
//! output.
//!
//! The scripts in `scenarios/` contain their golden output; update it with
//! `UPDATE_GOLDENFILES=1 cargo test -p baobabvane --test testsuite`.

use std::{collections::BTreeMap, error::Error};

use baobabvane_standin::{EngineFaults, LogFaults, Received, ServiceFaults};
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use http::Method;
use serde_json::Value;

use crate::fleet::{
    CALLER_API_KEY, EmbeddedFleet, OPERATOR_TOKEN, block_on, chat, new_idempotency_key,
    scenarios_dir, wait_until,
};
use baobabvane_standin::Caller;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Executes the commands of one script against its own fleet.
#[derive(Default)]
struct Session {
    fleet: EmbeddedFleet,
    /// Idempotency keys, by the name that the script gives them.
    keys: BTreeMap<String, String>,
}

impl Runner for Session {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String> {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "log" => self.log(&mut args)?,
            "engine" => self.engine(&mut args)?,
            "service" => self.service(&mut args)?,
            "instance" => self.instance(&mut args)?,
            "apply" => self.apply(&mut args)?,
            "chat" => self.chat(&mut args)?,
            "call" => self.call(&mut args)?,
            "operate" => self.operate(&mut args)?,
            "calls" => self.calls(&mut args)?,
            "stop" => self.stop(&mut args)?,
            other => return Err(format!("unknown command {other:?}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

fn next_positional<'a>(args: &mut ArgumentConsumer<'a>, argument_name: &str) -> Result<&'a str> {
    args.next_pos().ok_or_else(|| format!("{argument_name} is missing").into())
}

fn number_or_default(args: &mut ArgumentConsumer<'_>, key: &str, default: u64) -> Result<u64> {
    args.take_key(key).map_or(Ok(default), |text| Ok(text.parse()?))
}

impl Session {
    /// Starts the log service unless it runs, sets its fault, and waits until every instance reports
    /// whether it reaches the log.
    fn log(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let log = self.fleet.log.get_or_insert_with(baobabvane_standin::LogService::spawn);
        let fault = args.next_pos().unwrap_or("up");
        let faults = match fault {
            "up" => LogFaults::default(),
            "down" => LogFaults { down: true, ..LogFaults::default() },
            "loses-answers" => LogFaults { lose_answers: true, ..LogFaults::default() },
            "refuses" => LogFaults { refuse: true, ..LogFaults::default() },
            other => return Err(format!("unknown fault {other:?}").into()),
        };
        log.set_faults(faults);
        let reachable = !faults.down;
        block_on(async {
            for name in self.fleet.instances.keys() {
                let client = self.fleet.operator(name);
                wait_until(|| async {
                    let status = client.get("/v1/status").await.unwrap_or_default();
                    status["claims"]["log_reachable"] == reachable
                })
                .await;
            }
        });
        Ok(String::new())
    }

    /// Starts an engine or, if one with this name runs, sets its fault.
    fn engine(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = next_positional(args, "name")?;
        let Some(engine) = self.fleet.engines.get(name) else {
            let prefill_us = number_or_default(args, "prefill_us", 0)?;
            let decode_us = number_or_default(args, "decode_us", 0)?;
            self.fleet = std::mem::take(&mut self.fleet).engine(name, prefill_us, decode_us);
            return Ok(String::new());
        };
        engine.set_faults(match args.next_pos().unwrap_or("healthy") {
            "healthy" => EngineFaults::default(),
            "refuses" => EngineFaults { refuse: true, ..EngineFaults::default() },
            "hangs" => EngineFaults { hang: true, ..EngineFaults::default() },
            "cuts" => EngineFaults { cut_after: Some(3), ..EngineFaults::default() },
            "ends-early" => EngineFaults { end_after: Some(3), ..EngineFaults::default() },
            other => return Err(format!("unknown fault {other:?}").into()),
        });
        Ok(String::new())
    }

    /// Starts a service or, if one with this name runs, sets its fault.
    fn service(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = next_positional(args, "name")?;
        let Some(service) = self.fleet.services.get(name) else {
            self.fleet = std::mem::take(&mut self.fleet).service(name);
            return Ok(String::new());
        };
        service.set_faults(match args.next_pos().unwrap_or("healthy") {
            "healthy" => ServiceFaults::default(),
            "loses-answers" => ServiceFaults { lose_answers: true, ..ServiceFaults::default() },
            "hangs" => ServiceFaults { hang: true, ..ServiceFaults::default() },
            other => return Err(format!("unknown fault {other:?}").into()),
        });
        Ok(String::new())
    }

    fn instance(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = next_positional(args, "name")?;
        let zone = args.take_key("zone").unwrap_or("zone-a");
        let log_timeout_ms = number_or_default(args, "log_timeout_ms", 1_000)?;
        self.fleet = std::mem::take(&mut self.fleet).instance_with(name, zone, |settings| {
            settings.log_timeout_ms = log_timeout_ms;
        });
        Ok(String::new())
    }

    fn apply(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let file = next_positional(args, "file")?;
        let through = next_positional(args, "instance")?;
        self.fleet = std::mem::take(&mut self.fleet).apply(file, through);
        Ok(String::new())
    }

    fn caller(&mut self, args: &mut ArgumentConsumer<'_>, instance: &str) -> Result<Caller> {
        let address =
            self.fleet.instances.get(instance).ok_or("no such instance")?.caller_address();
        let mut caller = Caller::new(address, args.take_key("as").unwrap_or(CALLER_API_KEY));
        if let Some(deadline) = args.take_key("deadline_ms") {
            caller = caller.with("baobabvane-deadline-ms", deadline);
        }
        if let Some(key) = args.take_key("key") {
            let key = match key {
                // Sent as it is; not a valid idempotency key.
                "none" => key.to_owned(),
                name => {
                    self.keys.entry(name.to_owned()).or_insert_with(new_idempotency_key).clone()
                }
            };
            caller = caller.with("idempotency-key", &key);
        }
        Ok(caller)
    }

    fn chat(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let instance = next_positional(args, "instance")?;
        let caller = self.caller(args, instance)?;
        let tokens = number_or_default(args, "tokens", 4)? as u32;
        let stream = args.take_key("stream") == Some("yes");
        let model = args.take_key("model").unwrap_or("quote");
        let body = chat(model, args.take_key("text").unwrap_or("awning"), tokens, stream);
        let received = block_on(caller.post("/v1/chat/completions", &body));
        Ok(self.format_answer(received))
    }

    fn call(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let instance = next_positional(args, "instance")?;
        let method = Method::from_bytes(next_positional(args, "method")?.as_bytes())?;
        let path = next_positional(args, "path")?.to_owned();
        let path =
            self.keys.iter().fold(path, |p, (name, key)| p.replace(&format!("${name}"), key));
        let caller = self.caller(args, instance)?;
        let body = args.take_key("body").unwrap_or_default().to_owned();
        let received = block_on(caller.send(method, &path, body));
        Ok(self.format_answer(received))
    }

    fn operate(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let instance = next_positional(args, "instance")?;
        let method = Method::from_bytes(next_positional(args, "method")?.as_bytes())?;
        let path = next_positional(args, "path")?;
        let address =
            self.fleet.instances.get(instance).ok_or("no such instance")?.operator_address();
        let mut caller = Caller::new(address, args.take_key("token").unwrap_or(OPERATOR_TOKEN));
        if let Some(version) = args.take_key("if_match") {
            caller = caller.with("if-match", version);
        }
        let body = args.take_key("body").unwrap_or_default().to_owned();
        let received = block_on(caller.send(method, path, body));
        Ok(self.format_answer(received))
    }

    /// Prints how many requests an engine started and finished, or how many calls a service received
    /// and how often it executed each named idempotency key.
    fn calls(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = next_positional(args, "name")?;
        if let Some(engine) = self.fleet.engines.get(name) {
            return Ok(format!("started {}, finished {}", engine.started(), engine.finished()));
        }
        let service = self.fleet.services.get(name).ok_or("no such stand-in")?;
        let by_key = service.executions();
        let count = |(name, key): (&String, &String)| {
            by_key.get(key).map(|n| format!("{name} executed {n}"))
        };
        let counts: Vec<String> = self.keys.iter().filter_map(count).collect();
        Ok(format!("calls {}; {}", service.calls(), counts.join(", ")))
    }

    /// Stops an instance gracefully and prints the number of requests that were cut off.
    fn stop(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = next_positional(args, "instance")?;
        let instance = self.fleet.instances.remove(name).ok_or("no such instance")?;
        Ok(format!("cut off {}", instance.stop()))
    }

    /// Formats an answer for the golden output, with values that differ between runs masked or
    /// replaced by their name in the script. If the body is JSON, stores the idempotency key that the
    /// response offers for the next request under the name `next`.
    fn format_answer(
        &mut self,
        received: std::result::Result<Received, baobabvane_wire::WireError>,
    ) -> String {
        let received = match received {
            Ok(received) => received,
            Err(e) => return format!("no whole answer: {e}"),
        };
        let mut line = received.status.as_u16().to_string();
        for name in ["baobabvane-verdict", "baobabvane-replayed", "retry-after", "etag"] {
            let value = received.header(name);
            if !value.is_empty() {
                line.push_str(&format!(" {name}={value}"));
            }
        }
        let mut body = received.json();
        if body.is_null() {
            return format!("{line}\n{}", String::from_utf8_lossy(&received.body).trim_end());
        }
        mask_volatile_fields(&mut body);
        let mut text = body.to_string();
        for (name, key) in &self.keys {
            text = text.replace(key, &format!("${name}"));
        }
        let next_key = received.header("baobabvane-next-key");
        if !next_key.is_empty() {
            self.keys.insert("next".to_owned(), next_key.to_owned());
        }
        format!("{line}\n{text}")
    }
}

/// Replaces request ids, times and addresses at any depth by `"..."`.
fn mask_volatile_fields(value: &mut Value) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                match name.as_str() {
                    "request_id" | "at_ms" | "address" => *member = Value::from("..."),
                    _ => mask_volatile_fields(member),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(mask_volatile_fields),
        _ => {}
    }
}

fn run_script(name: &str) {
    let path = scenarios_dir().join(format!("{name}.script"));
    goldenscript::run(&mut Session::default(), path).expect("the script runs");
}

#[test]
fn bookings_run_at_most_once() {
    run_script("bookings");
}

#[test]
fn errors_say_whether_the_request_ran() {
    run_script("errors");
}

#[test]
fn operators_change_resources() {
    run_script("operators");
}

#[test]
fn endpoints_fail_and_leave() {
    run_script("endpoints");
}

#[test]
fn the_log_is_down() {
    run_script("log-down");
}
