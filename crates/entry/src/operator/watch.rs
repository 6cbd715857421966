//! `GET /v1/watch`: streams changes of resources, one JSON object a line.
//!
//! Each new version of the current view is compared with the resource versions already sent, so
//! several changes of a resource between two polls give one line.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use baobabvane_domain::{Catalog, ResourceType};
use baobabvane_wire::{Request as HttpRequest, ServerConn};
use http::{HeaderValue, header};
use monoio::time::sleep;
use serde_json::{Value, json};

use crate::operator::{OperatorContext, resources};

/// Interval at which a watch checks the current view for a new version.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls without a change after which an empty line is sent, to detect a closed connection.
const KEEPALIVE_POLLS: u32 = 200;

/// Streams changes until the client disconnects or a drain is requested by `/v1/drain`.
///
/// With `?from=VERSION`, the stream starts with the resources whose version is above `VERSION`;
/// otherwise it starts with all resources. Deletions before the start are not sent.
pub(crate) async fn stream(cx: &Rc<OperatorContext>, conn: &mut ServerConn, req: &HttpRequest) {
    let mut head = http::Response::new(());
    let ndjson = HeaderValue::from_static("application/x-ndjson");
    head.headers_mut().insert(header::CONTENT_TYPE, ndjson);
    if conn.start_stream(head).await.is_err() {
        return;
    }
    let mut sent = match from_version(req) {
        Some(version) => versions_up_to(&cx.caller.published.get().catalog, version),
        None => BTreeMap::new(),
    };
    let mut version = None;
    let mut idle_polls = 0;
    while !cx.stop_requested.get() {
        let view = cx.caller.published.get();
        let mut lines = String::new();
        if version != Some(view.version) {
            version = Some(view.version);
            lines = change_lines(&mut sent, &view.catalog);
        }
        idle_polls = if lines.is_empty() { idle_polls + 1 } else { 0 };
        if idle_polls == KEEPALIVE_POLLS {
            idle_polls = 0;
            lines.push('\n');
        }
        if conn.write_chunk(lines.as_bytes()).await.is_err() {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    let _ = conn.end_stream().await;
}

type SentVersions = BTreeMap<(ResourceType, String), u64>;

fn from_version(req: &HttpRequest) -> Option<u64> {
    let query = req.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix("from="))?.parse().ok()
}

fn versions_up_to(catalog: &Catalog, version: u64) -> SentVersions {
    let resources =
        ResourceType::ALL.into_iter().flat_map(|t| catalog.list(t).map(move |r| (t, r)));
    let old = resources.filter(|(_, r)| r.version <= version);
    old.map(|(type_, r)| ((type_, r.name.clone()), r.version)).collect()
}

fn change_lines(sent: &mut SentVersions, catalog: &Catalog) -> String {
    let mut lines = String::new();
    let mut push_line = |value: Value| {
        lines.push_str(&value.to_string());
        lines.push('\n');
    };
    let mut current = SentVersions::new();
    for type_ in ResourceType::ALL {
        for resource in catalog.list(type_) {
            let key = (type_, resource.name.clone());
            if sent.get(&key) != Some(&resource.version) {
                let mut line = resources::resource_json(type_, resource);
                line["event"] = json!("put");
                push_line(line);
            }
            current.insert(key, resource.version);
        }
    }
    for (type_, name) in sent.keys().filter(|key| !current.contains_key(*key)) {
        push_line(json!({ "event": "delete", "type": type_, "name": name }));
    }
    *sent = current;
    lines
}
