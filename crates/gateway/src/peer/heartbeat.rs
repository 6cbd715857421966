//! The heartbeat message and its encoding, authenticated with the fleet's key.

use baobabvane_members::{MessageError, SharedKey, decode_authenticated, encode_authenticated};
use serde::{Deserialize, Serialize};

use super::{LocalState, PeerId, compact};
use crate::knowledge::Versions;

/// The message that an instance periodically sends to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    pub(super) from: PeerId,
    /// A hash of the sender's availability zone.
    pub(super) zone: u32,
    pub(super) incarnation: u64,
    /// Increases with each heartbeat of an incarnation.
    pub(super) counter: u64,
    pub(super) is_leaving: bool,
    pub(super) freshness: Freshness,
    pub(super) local: LocalState,
    /// A rotating sample of the peers from which the sender has received heartbeats.
    pub(super) heard_peers: Vec<PeerId>,
    /// The first instances, in the order of watchers, that the sender knows to reach the store. In a
    /// large fleet, direct heartbeats from a watcher are rarer than its reads.
    pub(super) store_readers: Vec<StoreReader>,
}

/// An instance that reaches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoreReader {
    pub(super) peer: PeerId,
    /// A hash of its availability zone.
    pub(super) zone: u32,
    /// The incarnation and counter of its newest heartbeat that the sender knows of.
    pub(super) heartbeat: (u64, u64),
    /// The time since it last read all topics of the store, in milliseconds.
    pub(super) read_age_ms: u64,
}

/// How current the sender's configuration and endpoint list are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Freshness {
    pub(super) versions: Versions,
    /// The time since the sender's configuration was last confirmed to be the newest, in
    /// milliseconds; `None` if it never was.
    pub(super) configuration_confirmed_age_ms: Option<u64>,
    /// The time since the sender itself last read all topics of the store, in milliseconds;
    /// `None` if it has not, or has lost the store since.
    pub(super) store_read_age_ms: Option<u64>,
}

impl Heartbeat {
    /// Returns the time since the store was last read, by the sender or one of the readers that it
    /// reports, in milliseconds.
    pub(super) fn newest_store_read_age_ms(&self) -> Option<u64> {
        let relayed = self.store_readers.iter().map(|reader| reader.read_age_ms);
        relayed.chain(self.freshness.store_read_age_ms).min()
    }

    pub(super) fn encode(&self, key: &SharedKey) -> Vec<u8> {
        encode_authenticated(self, key)
    }

    /// Decodes a heartbeat of either form.
    pub(super) fn decode(bytes: &[u8], key: &SharedKey) -> Result<Self, MessageError> {
        let heartbeat: Self = match compact::is_compact(bytes) {
            true => compact::decode(bytes, key)?,
            false => decode_authenticated(bytes, key)?,
        };
        match has_finite_numbers(&heartbeat.local) {
            true => Ok(heartbeat),
            false => Err(MessageError::Malformed),
        }
    }
}

/// Returns whether no number in a state is infinite or none at all, which sums of them could not get
/// rid of.
fn has_finite_numbers(local: &LocalState) -> bool {
    let totals = local
        .quota_totals
        .iter()
        .flat_map(|t| [t.admitted, t.admitted_before, t.offered, t.offered_before]);
    let zone_use = local.zone_use.iter().flat_map(|used| {
        let rates = used.rates.map_or([0.0; 4], |rates| rates.numbers());
        rates.map(f64::from).into_iter().chain([used.units])
    });
    let limits = local.rate_limits.iter().filter_map(|limit| limit.per_s).map(f64::from);
    let speeds = local.endpoint_speeds.iter().flat_map(|speed| speed.sums.numbers());
    let demand = [f64::from(local.demand_per_s)];
    totals
        .chain(zone_use)
        .chain(limits)
        .chain(speeds.map(f64::from))
        .chain(demand)
        .all(f64::is_finite)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::quota::QuotaTotals;

    /// Guards against a number that makes every sum it gets into useless.
    #[test]
    fn heartbeat_with_a_number_that_is_not_finite_is_malformed() {
        let key = SharedKey::new("a");
        let decode = |units| {
            let totals = QuotaTotals { admitted: units, ..QuotaTotals::default() };
            let heartbeat = Heartbeat {
                from: ([127, 0, 0, 1], 7600).into(),
                zone: 5,
                incarnation: 7,
                counter: 1,
                is_leaving: false,
                freshness: Freshness::default(),
                local: LocalState { quota_totals: vec![totals], ..LocalState::default() },
                heard_peers: vec![],
                store_readers: vec![],
            };
            Heartbeat::decode(&heartbeat.encode(&key), &key).map(|_| ())
        };
        assert_eq!(decode(3.0), Ok(()));
        for units in [f64::NAN, f64::INFINITY] {
            assert_eq!(decode(units), Err(MessageError::Malformed), "{units}");
        }
    }

    #[test]
    fn heartbeat_needs_the_fleet_key() {
        let heartbeat = Heartbeat {
            from: ([127, 0, 0, 1], 7600).into(),
            zone: 5,
            incarnation: 7,
            counter: 1,
            is_leaving: false,
            freshness: Freshness {
                versions: Versions { configuration: 3, ..Versions::default() },
                configuration_confirmed_age_ms: Some(40),
                store_read_age_ms: None,
            },
            local: LocalState::default(),
            heard_peers: vec![],
            store_readers: vec![StoreReader {
                peer: ([127, 0, 0, 1], 7601).into(),
                zone: 6,
                heartbeat: (8, 3),
                read_age_ms: 300,
            }],
        };
        let key = SharedKey::new("a");
        let mut bytes = heartbeat.encode(&key);
        assert_eq!(Heartbeat::decode(&bytes, &key), Ok(heartbeat));
        assert_eq!(Heartbeat::decode(&bytes, &SharedKey::new("b")), Err(MessageError::Forged));
        bytes[3] ^= 1;
        assert_eq!(Heartbeat::decode(&bytes, &key), Err(MessageError::Forged));
        assert_eq!(Heartbeat::decode(&bytes[..5], &key), Err(MessageError::Malformed));
    }
}
