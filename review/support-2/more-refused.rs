//! A server runs a booking and fails with 503, without saying that it did not run it. The client
//! gets that 503, which promises that the booking has not run, and books again.

#[path = "standin.rs"]
mod standin;

use std::{
    collections::HashMap,
    env,
    path::PathBuf,
    sync::{Arc, Mutex},
};

use standin::*;

const BOOKINGS: usize = 40;
/// Of so many bookings, the server fails one; within the site's dose of `srv_grey` (x = 0.45).
const FAILS_EACH: usize = 4;

fn main() {
    let folder = PathBuf::from(env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let store = Store::start();
    let is_grey = has_trouble();
    // What the application has booked, by the number that the client gives its booking.
    let booked: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let handler = {
        let booked = Arc::clone(&booked);
        move |state: &ServerState, conn: &mut Conn, req: &Request| {
            state.note(req, true);
            let count = {
                let mut booked = booked.lock().unwrap();
                *booked.entry(req.target.clone()).or_default() += 1;
                booked.len()
            };
            sleep_ms(60);
            // The booking stands, and then a part that the answer needs is away for a moment.
            match is_grey && count % FAILS_EACH == 0 {
                true => state.answer(conn, req, 503, SIGNED, "the printer is away"),
                false => state.answer(conn, req, 200, SIGNED, "booked"),
            }
        }
    };
    let handler = Arc::new(handler);
    let servers: Vec<Server> = ["tanta", "mansoura", "zagazig"]
        .into_iter()
        .map(|zone| {
            let handler = Arc::clone(&handler);
            let handler = move |s: &ServerState, c: &mut Conn, r: &Request| handler(s, c, r);
            Server::start(&format!("app-{zone}"), "ledger-app", zone, 6, &store, &record, handler)
        })
        .collect();
    let routes = [Route {
        prefix: "/post/",
        kind: "non_idempotent",
        service: "ledger-app",
        timeout_ms: 800,
        target_ms: 300,
        attempts: 1,
    }];
    store.put("keyed.op", "config", &config(7, &routes, 4_194_304));
    let machines = Machines::start(2, &store, 110);
    machines.wait_until_ready();
    record.line("2 machines are ready");

    let runs = |id: &str| servers.iter().map(|s| s.state.runs_of(id)).sum::<usize>();
    let mut refused_and_run = 0;
    for number in 0..BOOKINGS {
        let target = format!("/post/{number}");
        // Of the site's clients, each repeats once, and a non-idempotent request only after a
        // promise; the repeat goes to another machine.
        for (attempt, machine) in machines.all.iter().enumerate() {
            let req = client_request("POST", &target, 1_500);
            let answer = send(machine.callers, &req, 1_500);
            let ran = runs(req.id());
            record.line(&format!(
                "{target} attempt {attempt} id {}: {}, ran {ran} time(s)",
                req.id(),
                answer.describe()
            ));
            let is_promise = matches!(answer.status(), Some(408 | 421 | 429 | 503));
            refused_and_run += usize::from(is_promise && ran > 0);
            if !is_promise {
                break;
            }
        }
    }
    drop(machines);
    let booked = booked.lock().unwrap();
    let doubled = booked.values().filter(|count| **count > 1).count();
    record.line(&format!(
        "{BOOKINGS} bookings: {refused_and_run} requests answered with a promise had run; {doubled} \
         bookings stand twice"
    ));
    let is_broken = refused_and_run > 0;
    record.line(if is_broken { "REFUSED is broken" } else { "REFUSED holds" });
    std::process::exit(i32::from(is_broken));
}
