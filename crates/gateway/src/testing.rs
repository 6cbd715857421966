//! Configuration values for the unit tests of this crate.

use crate::configuration::{Configuration, Organisation, Route, Semantics, Target};

pub(crate) fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        semantics: Semantics::Idempotent,
        timeout_ms: 1_000,
        target_ms: 300,
        max_gap_ms: 500,
        max_silence_ms: 4_000,
        rank: 0,
        max_attempts: 2,
        is_public: false,
        is_resumable: false,
        targets: vec![Target { pool: "desk".to_owned(), weight: 1.0 }],
    }
}

pub(crate) fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration { version: 1, routes, ..Configuration::default() }
}

pub(crate) fn organisation(name: &str, key: &str) -> Organisation {
    Organisation { name: name.to_owned(), api_keys: vec![key.to_owned()], rank: None, quota: None }
}
