//! Decides from a key's time of issue whether the log still holds every claim
//! of the key. A key that fails this check is never dispatched.

use baobabvane_domain::{Incarnation, Uuid};

/// Limits on a key's time of issue, relative to the current time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Maximum age of a key, in milliseconds (default 600000). Requests with an
    /// older key get the verdict "may have run".
    pub max_age_ms: u64,
    /// How far in the future a key's time of issue may be, in milliseconds
    /// (default 60000). Tolerates callers whose clocks are ahead.
    pub max_ahead_ms: u64,
}

impl Default for KeyPolicy {
    fn default() -> Self {
        Self { max_age_ms: 600_000, max_ahead_ms: 60_000 }
    }
}

/// The result of checking a key's time of issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The log still holds every claim of the key.
    Recent,
    /// The log may have dropped a claim of the key.
    TooOld,
    /// The key is not a version 7 or 8 UUID, or its time of issue is too far in
    /// the future.
    Invalid,
}

impl KeyPolicy {
    /// Checks a key's time of issue against the current time `now_ms`.
    ///
    /// `complete_since_ms` is the time since which the ledger holds all claims; 0
    /// means that the log dropped no record before it was read. Both times are in
    /// milliseconds since the Unix epoch.
    pub fn key_age(&self, key: Uuid, now_ms: u64, complete_since_ms: u64) -> KeyAge {
        if !matches!(key.get_version_num(), 7 | 8) {
            return KeyAge::Invalid;
        }
        let issued = issued_at_ms(key);
        if issued > now_ms + self.max_ahead_ms {
            return KeyAge::Invalid;
        }
        // The clock that stamped the key may be up to max_ahead_ms ahead of the log's, so
        // the log may hold a claim that is this much older than the key's stamp. Only keys
        // stamped at or after safe_since are certain to have all their claims in the ledger.
        let safe_since = complete_since_ms.saturating_add(self.max_ahead_ms);
        let too_old = issued + self.max_age_ms < now_ms;
        if too_old || (complete_since_ms > 0 && issued < safe_since) {
            return KeyAge::TooOld;
        }
        KeyAge::Recent
    }
}

/// Returns when a key was issued, in milliseconds since the Unix epoch.
pub fn issued_at_ms(key: Uuid) -> u64 {
    (key.as_u128() >> 80) as u64
}

/// Returns the 40 bits that identify the issuer in a key that it issued.
pub(crate) fn issuer_tag(incarnation: Incarnation) -> u64 {
    (incarnation.0.as_u128() >> 88) as u64 & ISSUER_MASK
}

const ISSUER_MASK: u64 = (1 << 40) - 1;
const SERIAL_LOW_BITS: u32 = 22;

/// Creates a key that only this incarnation may dispatch.
///
/// The key is a version 8 UUID that contains, besides version and variant and from
/// the highest bit down: 48 bits of time in milliseconds since the Unix epoch, bits
/// 22 to 33 of `serial`, the first 40 bits of the incarnation, which identify the
/// issuer, and bits 0 to 21 of `serial`.
pub fn issue_key(incarnation: Incarnation, now_ms: u64, serial: u64) -> Uuid {
    let low =
        (issuer_tag(incarnation) << SERIAL_LOW_BITS) | (serial & ((1 << SERIAL_LOW_BITS) - 1));
    let mid = u128::from((serial >> SERIAL_LOW_BITS) & 0xfff);
    let version = 8_u128 << 76;
    let variant = 2_u128 << 62;
    Uuid::from_u128((u128::from(now_ms) << 80) | version | (mid << 64) | variant | u128::from(low))
}

impl KeyPolicy {
    /// Returns whether `incarnation` issued a key; `None` if the key does not
    /// identify its issuer, as with version 7 keys of callers.
    pub fn is_issued_by(key: Uuid, incarnation: Incarnation) -> Option<bool> {
        (key.get_version_num() == 8).then(|| {
            let tag = (key.as_u128() as u64 & ((1 << 62) - 1)) >> SERIAL_LOW_BITS;
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
    fn key_age_depends_on_the_policy_and_on_dropped_records() {
        let policy = KeyPolicy::default();
        let key = issue_key(Incarnation(Uuid::nil()), 1_000_000, 1);
        assert_eq!(policy.key_age(key, 1_000_100, 0), KeyAge::Recent);
        assert_eq!(policy.key_age(key, 1_000_100, 999_999), KeyAge::TooOld);
        assert_eq!(policy.key_age(key, 1_000_000 + 600_001, 0), KeyAge::TooOld);
        assert_eq!(policy.key_age(Uuid::nil(), 1_000_100, 0), KeyAge::Invalid);
    }
}
