//! The form in which heartbeats go to other availability zones, where the configuration is interactive.
//!
//! It leaves out what only instances of the sender's zone use, and has fewer bytes for the rest. Any
//! field of [`LocalState`] that is not named here is sent as it is.

use baobabvane_decide::{CrashReport, EndpointLoad};
use baobabvane_members::{MessageError, SharedKey, decode_authenticated, encode_authenticated};
use serde::{Deserialize, Serialize};

use super::{
    LocalState, PeerId, ZoneLoads, ZoneQuotaUse,
    heartbeat::{Freshness, Heartbeat, StoreReader},
};
use crate::quota::QuotaRates;

/// The first byte of a compact heartbeat. A full one begins with its sender's address, whose first
/// byte is 0 for IPv4 and 1 for IPv6.
const COMPACT_FORM: u8 = 2;
/// Prompt tokens are counted in blocks of this size.
const TOKENS_PER_BLOCK: u32 = 64;
/// The number of addresses of other peers, which only need to become known.
const MAX_HEARD_PEERS: usize = 1;

/// The heartbeat as it is encoded. Hashes are arrays, as varints of random numbers are longer.
#[derive(Debug, Serialize, Deserialize)]
struct CompactHeartbeat {
    form: u8,
    from: PeerId,
    zone: [u8; 4],
    incarnation: [u8; 8],
    counter: u64,
    is_leaving: bool,
    freshness: Freshness,
    local: LocalState,
    /// [`LocalState::zone_use`]; `f32` is exact to 1 in 16 million.
    zone_use: Vec<([u8; 4], f32, Option<QuotaRates>)>,
    /// [`LocalState::zone_loads`] for the receiver's zone: at its endpoints and at the sender's.
    zone_loads: Option<(Vec<CompactLoad>, Vec<CompactLoad>)>,
    heard_peers: Vec<PeerId>,
    store_readers: Vec<CompactReader>,
}

/// The hash of an endpoint, its requests, and the blocks of its pending prompt tokens.
type CompactLoad = ([u8; 4], u32, u32);

/// A [`StoreReader`].
#[derive(Debug, Serialize, Deserialize)]
struct CompactReader {
    peer: PeerId,
    zone: [u8; 4],
    incarnation: [u8; 8],
    counter: u64,
    read_age_ms: u64,
}

/// Returns whether the encoded heartbeat is a compact one; its first byte is the version of the
/// encoding.
pub(super) fn is_compact(bytes: &[u8]) -> bool {
    bytes.get(1) == Some(&COMPACT_FORM)
}

/// Encodes a heartbeat for the receivers in `zone`. Evidence of crashes and rate limits are large
/// while they last, so only some heartbeats contain them.
pub(super) fn encode(
    heartbeat: &Heartbeat,
    zone: u32,
    has_evidence: bool,
    key: &SharedKey,
) -> Vec<u8> {
    let local = &heartbeat.local;
    let zone_loads = local.zone_loads.iter().find(|loads| loads.zone == zone);
    let zone_use = local.zone_use.iter();
    let readers = heartbeat.store_readers.iter().map(|reader| CompactReader {
        peer: reader.peer,
        zone: reader.zone.to_le_bytes(),
        incarnation: reader.heartbeat.0.to_le_bytes(),
        counter: reader.heartbeat.1,
        read_age_ms: reader.read_age_ms,
    });
    let compact = CompactHeartbeat {
        form: COMPACT_FORM,
        from: heartbeat.from,
        zone: heartbeat.zone.to_le_bytes(),
        incarnation: heartbeat.incarnation.to_le_bytes(),
        counter: heartbeat.counter,
        is_leaving: heartbeat.is_leaving,
        freshness: heartbeat.freshness,
        local: LocalState {
            loads: Vec::new(),
            waiting: Vec::new(),
            quota_totals: Vec::new(),
            endpoint_speeds: Vec::new(),
            zone_use: Vec::new(),
            zone_loads: Vec::new(),
            crash_report: match has_evidence {
                true => local.crash_report.clone(),
                false => CrashReport::default(),
            },
            rate_limits: match has_evidence {
                true => local.rate_limits.clone(),
                false => Vec::new(),
            },
            ..local.clone()
        },
        zone_use: zone_use
            .map(|used| (used.organisation.to_le_bytes(), used.units as f32, used.rates))
            .collect(),
        zone_loads: zone_loads.map(|loads| (compress(&loads.theirs), compress(&loads.ours))),
        heard_peers: heartbeat.heard_peers.iter().take(MAX_HEARD_PEERS).copied().collect(),
        store_readers: readers.collect(),
    };
    encode_authenticated(&compact, key)
}

/// Decodes a compact heartbeat; [`LocalState::zone_loads`] then has at most one entry, for the
/// receiver's zone.
pub(super) fn decode(bytes: &[u8], key: &SharedKey) -> Result<Heartbeat, MessageError> {
    let compact: CompactHeartbeat = decode_authenticated(bytes, key)?;
    if compact.form != COMPACT_FORM {
        return Err(MessageError::Malformed);
    }
    let zone = u32::from_le_bytes(compact.zone);
    let zone_use = compact.zone_use.iter();
    let zone_loads = compact.zone_loads.iter().map(|(theirs, ours)| ZoneLoads {
        zone,
        theirs: expand(theirs),
        ours: expand(ours),
    });
    let readers = compact.store_readers.iter().map(|reader| StoreReader {
        peer: reader.peer,
        zone: u32::from_le_bytes(reader.zone),
        heartbeat: (u64::from_le_bytes(reader.incarnation), reader.counter),
        read_age_ms: reader.read_age_ms,
    });
    Ok(Heartbeat {
        from: compact.from,
        zone,
        incarnation: u64::from_le_bytes(compact.incarnation),
        counter: compact.counter,
        is_leaving: compact.is_leaving,
        freshness: compact.freshness,
        local: LocalState {
            zone_use: zone_use
                .map(|(org, units, rates)| ZoneQuotaUse {
                    organisation: u32::from_le_bytes(*org),
                    units: f64::from(*units),
                    rates: *rates,
                })
                .collect(),
            zone_loads: zone_loads.collect(),
            ..compact.local
        },
        heard_peers: compact.heard_peers,
        store_readers: readers.collect(),
    })
}

fn compress(loads: &[(u32, EndpointLoad)]) -> Vec<CompactLoad> {
    let compress = |(endpoint, load): &(u32, EndpointLoad)| {
        let blocks = load.pending_prefill_tokens.div_ceil(TOKENS_PER_BLOCK);
        (endpoint.to_le_bytes(), load.requests, blocks)
    };
    loads.iter().map(compress).collect()
}

fn expand(loads: &[CompactLoad]) -> Vec<(u32, EndpointLoad)> {
    let expand = |(endpoint, requests, blocks): &CompactLoad| {
        let pending_prefill_tokens = blocks.saturating_mul(TOKENS_PER_BLOCK);
        let load = EndpointLoad { requests: *requests, pending_prefill_tokens };
        (u32::from_le_bytes(*endpoint), load)
    };
    loads.iter().map(expand).collect()
}
