//! The operator takes a key and a route away and adds a route with a low rank. No machine takes the
//! new version over: the key and the route that are gone go on to be served.

#[path = "../support-2/standin.rs"]
mod standin;

use std::{env, path::PathBuf};

use standin::*;

/// `configApplyMs` and `connectivityMs` of the settings.
const CONFIG_APPLY_MS: u64 = 2_000;
const CONNECTIVITY_MS: u64 = 3_000;
/// The rank of the added route; 0 is the highest.
const LOW_RANK: u64 = 300;
const ROUNDS: usize = 10;

fn route(prefix: &'static str) -> Route {
    Route {
        prefix,
        kind: "non_idempotent",
        service: "ledger-app",
        timeout_ms: 800,
        target_ms: 300,
        attempts: 1,
    }
}

fn main() {
    let folder = PathBuf::from(env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let store = Store::start();
    let server = |state: &ServerState, conn: &mut Conn, req: &Request| {
        state.note(req, true);
        sleep_ms(20);
        state.answer(conn, req, 200, SIGNED, "done")
    };
    let servers: Vec<Server> = ["tanta", "mansoura", "zagazig"]
        .into_iter()
        .map(|zone| Server::start(&format!("app-{zone}"), "ledger-app", zone, 6, &store, &record, server))
        .collect();
    let (post, old, bulk) = (route("/post/"), route("/old/"), route("/bulk/"));
    let before = config_with(7, &[(&post, 1), (&old, 1)], 4_194_304, &["k1", "k2"]);
    store.put("keyed.op", "config", &before);
    let machines = Machines::start(3, &store, 110);
    machines.wait_until_ready();
    sleep_ms(CONNECTIVITY_MS);
    record.line("3 machines are ready and in touch, version 7 is in force");

    let rank = if has_trouble() { LOW_RANK } else { 3 };
    let after = config_with(12, &[(&post, 1), (&bulk, rank)], 4_194_304, &["k1"]);
    store.put("keyed.op", "config", &after);
    record.line(&format!("version 12: without key k2 and /old/, with /bulk/ of rank {rank}"));
    sleep_ms(CONFIG_APPLY_MS + 1_000);

    let (mut run_without, mut refused, mut asked) = (0, 0, 0);
    for _ in 0..ROUNDS {
        for machine in &machines.all {
            let with_key = |target: &str, key: &str| {
                let mut req = client_request("POST", target, 1_500);
                let key = format!("Bearer {key}");
                req.headers.iter_mut().filter(|(n, _)| n == "authorization").for_each(|(_, v)| *v = key.clone());
                req
            };
            for (what, req, is_allowed) in [
                ("the dropped key", with_key("/post/1", "k2"), false),
                ("the dropped route", with_key("/old/1", "k1"), false),
                ("the added route", with_key("/bulk/1", "k1"), true),
                ("as before", with_key("/post/1", "k1"), true),
            ] {
                let answer = send(machine.callers, &req, 1_500);
                let runs: usize = servers.iter().map(|s| s.state.runs_of(req.id())).sum();
                record.line(&format!("{} {what}: {}, ran {runs} time(s)", machine.name, answer.describe()));
                asked += 1;
                run_without += usize::from(!is_allowed && runs > 0);
                refused += usize::from(is_allowed && matches!(answer.status(), Some(401 | 403 | 404)));
            }
        }
        sleep_ms(500);
    }
    drop(machines);
    record.line(&format!(
        "{asked} requests, sent over {CONFIG_APPLY_MS} ms after the acknowledgement: {run_without} ran \
         with a dropped key or route; {refused} were refused though key and route are there"
    ));
    let is_broken = run_without + refused > 0;
    record.line(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    std::process::exit(i32::from(is_broken));
}
