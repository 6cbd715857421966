//! The operator adds a route that is split over three services by fractions. No request on it is
//! served.

#[path = "standin.rs"]
mod standin;

use std::{env, path::PathBuf};

use standin::*;

/// `configApplyMs` and `connectivityMs` of the settings.
const CONFIG_APPLY_MS: u64 = 2_000;
const CONNECTIVITY_MS: u64 = 3_000;
const SERVICES: [&str; 3] = ["ledger-app", "ledger-b", "ledger-c"];
/// The weights of the three services on the added route, and the same split in whole numbers.
const FRACTIONS: [&str; 3] = ["0.4", "0.35", "0.25"];
const WHOLE: [&str; 3] = ["40", "35", "25"];
/// Requests on each route at each machine.
const REQUESTS: usize = 20;

fn route(prefix: &'static str, service: &'static str) -> Route {
    Route { prefix, kind: "idempotent", service, timeout_ms: 800, target_ms: 300, attempts: 2 }
}

fn main() {
    let folder = PathBuf::from(env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let store = Store::start();
    let zones = ["tanta", "mansoura", "zagazig"];
    let mut servers = Vec::new();
    for service in SERVICES {
        for zone in zones {
            let id = format!("{service}-{zone}");
            servers.push(Server::start(&id, service, zone, 6, &store, &record, |state, conn, req| {
                state.note(req, true);
                sleep_ms(20);
                state.answer(conn, req, 200, SIGNED, "done")
            }));
        }
    }
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"/healthz","connectionLimit":96,"protocol":"h1","tlsEnabled":false}},"#
        )
    };
    let more_services = format!(r#""services":[{}{}"#, service(SERVICES[1]), service(SERVICES[2]));
    let with_services = |config: String| config.replacen(r#""services":["#, &more_services, 1);
    let (first, added) = (route("/first/", SERVICES[0]), route("/added/", "SPLIT"));
    store.put("keyed.op", "config", &with_services(config_with(7, &[(&first, 1)], 4_194_304, &["k1"])));
    let machines = Machines::start(3, &store, 110);
    machines.wait_until_ready();
    sleep_ms(CONNECTIVITY_MS);
    record.line("3 machines are ready and in touch, version 7 is in force");

    let weights = if has_trouble() { FRACTIONS } else { WHOLE };
    let targets: Vec<String> = SERVICES
        .iter()
        .zip(weights)
        .map(|(service, weight)| format!(r#"{{"service":"{service}","weight":{weight}}}"#))
        .collect();
    let split = format!(r#""trafficSplit":[{}]"#, targets.join(","));
    let after = config_with(12, &[(&first, 1), (&added, 1)], 4_194_304, &["k1"]);
    let after = with_services(after).replacen(r#""service":"SPLIT""#, &split, 1);
    store.put("keyed.op", "config", &after);
    record.line(&format!("version 12 adds /added/ with {split}"));
    sleep_ms(CONFIG_APPLY_MS + 1_000);

    let mut served = [0, 0];
    for _ in 0..REQUESTS {
        for machine in &machines.all {
            for (served, target) in served.iter_mut().zip(["/first/1", "/added/1"]) {
                let req = client_request("GET", target, 1_500);
                let answer = send(machine.callers, &req, 1_500);
                record.line(&format!("{} {target}: {}", machine.name, answer.describe()));
                *served += usize::from(answer.status() == Some(200));
            }
        }
        sleep_ms(50);
    }
    drop(machines);
    let asked = 3 * REQUESTS;
    let by_service = SERVICES.map(|service| {
        let of_service = servers.iter().filter(|s| s.state.id.starts_with(&format!("{service}-")));
        of_service.map(|s| s.state.arrivals.lock().unwrap().len()).sum::<usize>()
    });
    record.line(&format!(
        "sent over {CONFIG_APPLY_MS} ms after the acknowledgement: {} of {asked} served on the first \
         route, {} of {asked} on the added one; runs by service: {by_service:?}",
        served[0], served[1]
    ));
    let is_broken = served[1] * 4 < served[0];
    record.line(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    std::process::exit(i32::from(is_broken));
}
