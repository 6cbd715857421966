//! Measures the memory and time per item of the structures that grow with load: waiting requests,
//! idempotency keys and configured organisations.
//!
//! `cargo run --release --example footprint`

use std::{fs, time::Instant};

use baobabvane_claims::{DecodedBatch, DecodedRecord, KeyPolicy, Writer, WriterSettings};
use baobabvane_decide::{
    Core, Descriptor, EndpointKey, EndpointSpec, Event, KindId, OrgId, Policy, Ticket,
};
use baobabvane_domain::{
    Catalog, Change, Claim, Entry, Incarnation, Operation, Organisation, RequestKey, ResourceName,
    ResourceType, Spec, Uuid, hash_api_key,
};
use baobabvanectl::Table;
use slotmap::SlotMap;

const ORGANISATION_COUNT: u64 = 12_000;
const WAITING_REQUESTS: u64 = 20_000;
const KEY_COUNT: u64 = 100_000;
/// Size of the pages that `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.expect("the second field is a number of pages") * PAGE_BYTES
}

/// Runs `build` and adds a row with its growth in resident memory and its time per item.
fn measure<T>(table: &mut Table, what: &str, items: u64, build: impl FnOnce() -> T) -> T {
    let before = resident_bytes();
    let start = Instant::now();
    let value = build();
    let bytes = resident_bytes().saturating_sub(before);
    table.push_row([
        what.to_owned(),
        items.to_string(),
        (bytes / 1024).to_string(),
        (bytes / items).to_string(),
        format!("{:.2}", start.elapsed().as_secs_f64() * 1e6 / items as f64),
    ]);
    value
}

fn descriptor(org: u64) -> Descriptor {
    Descriptor {
        rank: (org % 4) as u8,
        org: OrgId(org),
        weight: 1,
        kind: KindId(0),
        prompt_tokens: 2_000,
        answer_tokens: 100,
        has_length_hint: false,
        goal: None,
        prefix: (0..8).map(|b| org * 8 + b).collect(),
        deadline: 1e9,
        reports_first_token: true,
        failed_at: Default::default(),
    }
}

/// Returns a scheduling core whose only endpoint is fully occupied, so that every further request
/// waits.
fn full_core() -> Core {
    let mut arena: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let mut core = Core::new(Policy { shedding: false, ..Policy::default() });
    let spec = EndpointSpec { slots: 1, cache_blocks: 1_000, is_in_other_zone: false };
    core.handle(0.0, Event::EndpointJoined(arena.insert(()), spec));
    core.handle(0.0, Event::Offer(Ticket(0), descriptor(0)));
    core
}

/// Returns a claim with a version 7 UUID as its idempotency key.
fn claim_entry(n: u64, now_ms: u64) -> Entry {
    let key = (u128::from(now_ms) << 80) | (7 << 76) | (2 << 62) | u128::from(n);
    Entry::Claim(Claim {
        key: RequestKey {
            organisation: format!("organisation-{}", n % ORGANISATION_COUNT),
            kind: "booking".to_owned(),
            key: Uuid::from_u128(key),
        },
        incarnation: Incarnation(Uuid::from_u128(n.into())),
        attempt: n,
        body_hash: n,
    })
}

fn catalog_of_organisations() -> Catalog {
    let mut catalog = Catalog::default();
    for n in 0..ORGANISATION_COUNT {
        let name =
            ResourceName { type_: ResourceType::Organisation, name: format!("organisation-{n}") };
        let org = Organisation { key_hashes: vec![hash_api_key(n.to_string())], weight: 1 };
        let change = Change {
            id: Uuid::nil(),
            who: "ann".to_owned(),
            at_ms: 0,
            name,
            expected_version: None,
            operation: Operation::Put(Spec::Organisation(org)),
        };
        catalog.apply(&change, n + 1).expect("the change is valid");
    }
    catalog
}

fn main() {
    let mut table = Table::new(&["WHAT", "ITEMS", "KIB", "BYTES EACH", "US EACH"]);
    let mut core = full_core();
    measure(&mut table, "waiting requests, one organisation each", WAITING_REQUESTS, || {
        for n in 1..=WAITING_REQUESTS {
            core.handle(1.0, Event::Offer(Ticket(n), descriptor(n % ORGANISATION_COUNT)));
            while core.next_action().is_some() {}
        }
    });
    let now_ms = 1_760_000_000_000;
    let entries: Vec<Entry> = (0..KEY_COUNT).map(|n| claim_entry(n, now_ms)).collect();
    let claim_bytes =
        serde_json::to_string(&entries).expect("all map keys are strings").len() as u64 / KEY_COUNT;
    let records = entries
        .chunks(100)
        .enumerate()
        .map(|(n, entries)| DecodedRecord {
            offset: n as u64 + 1,
            at_unix_ms: now_ms,
            entries: entries.to_vec(),
        })
        .collect::<Vec<_>>();
    let end = records.len() as u64 + 1;
    let batch = DecodedBatch { records, oldest: 1, end };
    let incarnation = Incarnation(Uuid::nil());
    let mut writer: Writer<()> =
        Writer::new(incarnation, KeyPolicy::default(), WriterSettings::default());
    measure(&mut table, "keys in the ledger", KEY_COUNT, || writer.apply_batch(0, now_ms, &batch));
    let catalog = measure(
        &mut table,
        "organisations in the configuration",
        ORGANISATION_COUNT,
        catalog_of_organisations,
    );
    let copy =
        measure(&mut table, "a copy of them for a view", ORGANISATION_COUNT, || catalog.clone());
    let snapshot_bytes = serde_json::to_string(&copy).expect("all map keys are strings").len();
    println!("{table}");
    println!("a claim is {claim_bytes} bytes in the log, a snapshot {snapshot_bytes} bytes");
}
