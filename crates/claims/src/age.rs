//! For which keys the log still knows enough.

use baobabvane_domain::{Incarnation, Uuid};

/// How old a key may be; all times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyPolicy {
    /// A key older than this is answered "may have run".
    pub max_age_ms: u64,
    /// A key may be this far in the future, for callers' clocks that are ahead.
    pub max_ahead_ms: u64,
}

impl Default for KeyPolicy {
    fn default() -> Self {
        Self { max_age_ms: 600_000, max_ahead_ms: 60_000 }
    }
}

/// What a key's time of issue allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The log knows every claim of the key.
    Known,
    /// A claim of the key may have been dropped from the log.
    TooOld,
    /// The key does not say when it was issued, or says a time to come.
    Invalid,
}

impl KeyPolicy {
    /// Judges a key at a time, given since when the ledger knows all claims.
    pub fn key_age(&self, key: Uuid, now_ms: u64, known_since_ms: u64) -> KeyAge {
        if !matches!(key.get_version_num(), 7 | 8) {
            return KeyAge::Invalid;
        }
        let issued = issued_at_ms(key);
        if issued > now_ms + self.max_ahead_ms {
            return KeyAge::Invalid;
        }
        // A key may have been claimed before its stated time by as much as clocks differ.
        let safe_since = known_since_ms.saturating_add(self.max_ahead_ms);
        let too_old = issued + self.max_age_ms < now_ms;
        if too_old || (known_since_ms > 0 && issued < safe_since) {
            return KeyAge::TooOld;
        }
        KeyAge::Known
    }
}

/// Returns when a key was issued, in milliseconds since the Unix epoch.
pub fn issued_at_ms(key: Uuid) -> u64 {
    (key.as_u128() >> 80) as u64
}

/// Returns the part of an issued key that names its issuer.
pub(crate) fn issuer_tag(incarnation: Incarnation) -> u64 {
    (incarnation.0.as_u128() >> 88) as u64 & ISSUER_MASK
}

const ISSUER_MASK: u64 = (1 << 40) - 1;
const SERIAL_BITS: u32 = 22;

/// Makes a key that only this incarnation may dispatch.
///
/// It has the layout of a version 8 UUID: 48 bits of time, 40 bits that name
/// the issuer and a serial number.
pub fn issue_key(incarnation: Incarnation, now_ms: u64, serial: u64) -> Uuid {
    let low = (issuer_tag(incarnation) << SERIAL_BITS) | (serial & ((1 << SERIAL_BITS) - 1));
    let mid = u128::from((serial >> SERIAL_BITS) & 0xfff);
    let version = 8_u128 << 76;
    let variant = 2_u128 << 62;
    Uuid::from_u128((u128::from(now_ms) << 80) | version | (mid << 64) | variant | u128::from(low))
}

impl KeyPolicy {
    /// Says whether a key names its issuer, and whether that is the incarnation.
    pub fn is_issued_by(key: Uuid, incarnation: Incarnation) -> Option<bool> {
        (key.get_version_num() == 8).then(|| {
            let tag = (key.as_u128() as u64 & ((1 << 62) - 1)) >> SERIAL_BITS;
            tag == issuer_tag(incarnation)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_issued_key_names_its_issuer_and_time() {
        let (a, b) =
            (Incarnation(Uuid::from_u128(5 << 100)), Incarnation(Uuid::from_u128(9 << 100)));
        let key = issue_key(a, 1_700_000_000_000, 77);
        assert_eq!(issued_at_ms(key), 1_700_000_000_000);
        assert_eq!(KeyPolicy::is_issued_by(key, a), Some(true));
        assert_eq!(KeyPolicy::is_issued_by(key, b), Some(false));
        assert_eq!(KeyPolicy::is_issued_by(Uuid::now_v7(), a), None);
    }

    #[test]
    fn a_key_from_before_the_ledger_is_too_old() {
        let policy = KeyPolicy::default();
        let key = issue_key(Incarnation(Uuid::nil()), 1_000_000, 1);
        assert_eq!(policy.key_age(key, 1_000_100, 0), KeyAge::Known);
        assert_eq!(policy.key_age(key, 1_000_100, 999_999), KeyAge::TooOld);
        assert_eq!(policy.key_age(key, 1_000_000 + 600_001, 0), KeyAge::TooOld);
        assert_eq!(policy.key_age(Uuid::nil(), 1_000_100, 0), KeyAge::Invalid);
    }
}
