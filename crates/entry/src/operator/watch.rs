//! `GET /v1/watch`: every change of the resources, one JSON object a line.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use baobabvane_domain::{Catalog, ResourceType};
use baobabvane_wire::{Request as HttpRequest, ServerConn};
use http::{HeaderValue, header};
use monoio::time::sleep;
use serde_json::{Value, json};

use crate::operator::{OperatorContext, resources};

/// How often a watch looks for a new state.
const PAUSE: Duration = Duration::from_millis(50);
/// A watch without news sends an empty line this often, so that dead peers are found.
const KEEPALIVE_PAUSES: u32 = 200;

/// Streams changes until the operator goes away or the instance stops.
///
/// With `?from=VERSION` the resources that changed after it come first.
pub(crate) async fn stream(cx: &Rc<OperatorContext>, conn: &mut ServerConn, req: &HttpRequest) {
    let mut head = http::Response::new(());
    let ndjson = HeaderValue::from_static("application/x-ndjson");
    head.headers_mut().insert(header::CONTENT_TYPE, ndjson);
    if conn.start_stream(head).await.is_err() {
        return;
    }
    let mut seen = match from_version(req) {
        Some(version) => known_at(&cx.caller.published.get().catalog, version),
        None => BTreeMap::new(),
    };
    let mut version = None;
    let mut quiet = 0;
    while !cx.stop.get() {
        let view = cx.caller.published.get();
        let mut lines = String::new();
        if version != Some(view.version) {
            version = Some(view.version);
            lines = differences(&mut seen, &view.catalog);
        }
        quiet = if lines.is_empty() { quiet + 1 } else { 0 };
        if quiet == KEEPALIVE_PAUSES {
            quiet = 0;
            lines.push('\n');
        }
        if conn.write_chunk(lines.as_bytes()).await.is_err() {
            return;
        }
        sleep(PAUSE).await;
    }
    let _ = conn.end_stream().await;
}

type Seen = BTreeMap<(ResourceType, String), u64>;

fn from_version(req: &HttpRequest) -> Option<u64> {
    let query = req.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix("from="))?.parse().ok()
}

fn known_at(catalog: &Catalog, version: u64) -> Seen {
    let resources =
        ResourceType::ALL.into_iter().flat_map(|t| catalog.list(t).map(move |r| (t, r)));
    let old = resources.filter(|(_, r)| r.version <= version);
    old.map(|(type_, r)| ((type_, r.name.clone()), r.version)).collect()
}

fn differences(seen: &mut Seen, catalog: &Catalog) -> String {
    let mut lines = String::new();
    let mut put = |value: Value| {
        lines.push_str(&value.to_string());
        lines.push('\n');
    };
    let mut now = Seen::new();
    for type_ in ResourceType::ALL {
        for resource in catalog.list(type_) {
            let key = (type_, resource.name.clone());
            if seen.get(&key) != Some(&resource.version) {
                let mut line = resources::shown(type_, resource);
                line["event"] = json!("put");
                put(line);
            }
            now.insert(key, resource.version);
        }
    }
    for (type_, name) in seen.keys().filter(|key| !now.contains_key(*key)) {
        put(json!({ "event": "delete", "type": type_, "name": name }));
    }
    *seen = now;
    lines
}
