//! The state of every key, computed by applying the log's entries in order.
//! Instances that applied the same entries agree on the owner of each key.

use std::collections::{BTreeMap, HashMap};

use baobabvane_domain::{Answer, Claim, Entry, Incarnation, Outcome, RequestKey, Verdict};
use serde::{Deserialize, Serialize};

use crate::age::issued_at_ms;

/// Identifies a claim by the process that wrote it and a number.
///
/// No two claims have the same ID, so an outcome refers to exactly one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The process that wrote the claim.
    pub incarnation: Incarnation,
    /// The number of the claim within the process; a writer's first claim is 1.
    pub attempt: u64,
}

impl ClaimId {
    pub(crate) fn of_claim(claim: &Claim) -> Self {
        Self { incarnation: claim.incarnation, attempt: claim.attempt }
    }

    /// Returns the ID of the claim that an outcome refers to.
    pub(crate) fn of_outcome(outcome: &Outcome) -> Self {
        Self { incarnation: outcome.incarnation, attempt: outcome.attempt }
    }
}

/// The state of a claimed key according to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The process that wrote the claim may dispatch the request or has done so.
    /// Nobody else may, unless that process reports that the request did not run.
    Claimed {
        /// The claim that holds the key.
        claim_id: ClaimId,
        /// The hash of the request's body.
        body_hash: u64,
    },
    /// The process that wrote the claim reported the outcome of the request.
    Ended {
        /// The claim that holds the key.
        claim_id: ClaimId,
        /// The hash of the request's body.
        body_hash: u64,
        /// `Ran` or `MayHaveRun`.
        verdict: Verdict,
        /// The response, if it was stored in the log.
        answer: Option<Answer>,
    },
}

impl KeyState {
    /// Returns the ID of the claim that holds the key.
    pub fn claim_id(&self) -> ClaimId {
        match self {
            Self::Claimed { claim_id, .. } | Self::Ended { claim_id, .. } => *claim_id,
        }
    }

    /// Returns the hash of the request's body from the claim that holds the key.
    pub fn body_hash(&self) -> u64 {
        match self {
            Self::Claimed { body_hash, .. } | Self::Ended { body_hash, .. } => *body_hash,
        }
    }
}

/// The first 16 bytes of the BLAKE3 hash of a key.
///
/// The ledger holds many keys; digests take less memory than the keys themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Digest([u8; 16]);

impl Digest {
    fn new(key: &RequestKey) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [key.organisation.as_bytes(), key.kind.as_bytes(), key.key.as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        Self(*hash.as_bytes().first_chunk().expect("a hash has 32 bytes"))
    }
}

#[derive(Clone, Debug)]
struct ClaimedKey {
    claim_id: ClaimId,
    body_hash: u64,
    outcome: Option<Box<RecordedOutcome>>,
}

#[derive(Clone, Debug)]
struct RecordedOutcome {
    verdict: Verdict,
    answer: Option<Answer>,
}

/// The state of all claimed keys that are not yet forgotten.
///
/// A key is held by its first claim in the log. Claims that follow while the key is
/// held are ignored for good. An outcome of the holding claim with the verdict
/// `NotRun` releases the key; the first claim after that outcome then holds it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    keys: HashMap<Digest, ClaimedKey>,
    digests_by_issue_ms: BTreeMap<u64, Vec<Digest>>,
}

impl Ledger {
    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Claim(claim) => self.apply_claim(claim),
            Entry::Outcome(outcome) => self.apply_outcome(outcome),
            _ => {}
        }
    }

    /// Returns the state of a key; `None` if it is not claimed or was released.
    pub fn get(&self, key: &RequestKey) -> Option<KeyState> {
        let ClaimedKey { claim_id, body_hash, outcome } = self.keys.get(&Digest::new(key))?.clone();
        Some(match outcome {
            None => KeyState::Claimed { claim_id, body_hash },
            Some(outcome) => {
                let RecordedOutcome { verdict, answer } = *outcome;
                KeyState::Ended { claim_id, body_hash, verdict, answer }
            }
        })
    }

    /// Returns whether a claim holds a key and its outcome was not recorded yet.
    pub(crate) fn is_open(&self, key: &RequestKey, claim_id: ClaimId) -> bool {
        let claimed = self.keys.get(&Digest::new(key));
        claimed.is_some_and(|claimed| claimed.claim_id == claim_id && claimed.outcome.is_none())
    }

    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the ledger holds no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Removes all keys that were issued before `issued_ms`, in milliseconds
    /// since the Unix epoch.
    ///
    /// Callers must refuse such keys before they look them up here, because the
    /// ledger then reports them as unclaimed; see [`crate::KeyPolicy`].
    pub fn forget_before(&mut self, issued_ms: u64) {
        while let Some(entry) = self.digests_by_issue_ms.first_entry() {
            if *entry.key() >= issued_ms {
                return;
            }
            for digest in entry.remove() {
                self.keys.remove(&digest);
            }
        }
    }

    fn apply_claim(&mut self, claim: &Claim) {
        let digest = Digest::new(&claim.key);
        if self.keys.contains_key(&digest) {
            return;
        }
        let claim_id = ClaimId::of_claim(claim);
        self.digests_by_issue_ms.entry(issued_at_ms(claim.key.key)).or_default().push(digest);
        self.keys
            .insert(digest, ClaimedKey { claim_id, body_hash: claim.body_hash, outcome: None });
    }

    fn apply_outcome(&mut self, outcome: &Outcome) {
        let claim_id = ClaimId::of_outcome(outcome);
        if !self.is_open(&outcome.key, claim_id) {
            return;
        }
        let digest = Digest::new(&outcome.key);
        if outcome.verdict == Verdict::NotRun {
            return self.release_key(digest, issued_at_ms(outcome.key.key));
        }
        if let Some(claimed) = self.keys.get_mut(&digest) {
            let Outcome { verdict, answer, .. } = outcome.clone();
            claimed.outcome = Some(Box::new(RecordedOutcome { verdict, answer }));
        }
    }

    fn release_key(&mut self, digest: Digest, issued_ms: u64) {
        self.keys.remove(&digest);
        if let Some(digests) = self.digests_by_issue_ms.get_mut(&issued_ms) {
            digests.retain(|d| *d != digest);
        }
    }
}

#[cfg(test)]
mod tests {
    use baobabvane_domain::Uuid;

    use super::*;

    fn key() -> RequestKey {
        RequestKey {
            organisation: "menders".to_owned(),
            kind: "booking".to_owned(),
            key: Uuid::from_u128(0x0199_0000_0000_7000_8000_0000_0000_0001),
        }
    }

    fn claim(incarnation_id: u128, attempt: u64) -> Entry {
        let incarnation = Incarnation(Uuid::from_u128(incarnation_id));
        Entry::Claim(Claim { key: key(), incarnation, attempt, body_hash: 7 })
    }

    fn outcome(incarnation_id: u128, attempt: u64, verdict: Verdict) -> Entry {
        let incarnation = Incarnation(Uuid::from_u128(incarnation_id));
        Entry::Outcome(Outcome { key: key(), incarnation, attempt, verdict, answer: None })
    }

    #[test]
    fn the_first_claim_keeps_the_key() {
        let mut ledger = Ledger::default();
        ledger.apply(&claim(1, 1));
        ledger.apply(&claim(2, 1));
        ledger.apply(&outcome(2, 1, Verdict::NotRun));
        assert_eq!(ledger.get(&key()).unwrap().claim_id().incarnation.0.as_u128(), 1);
    }

    #[test]
    fn a_released_key_goes_to_the_next_claim_and_not_to_an_ignored_one() {
        let mut ledger = Ledger::default();
        ledger.apply(&claim(1, 1));
        ledger.apply(&claim(2, 1));
        ledger.apply(&outcome(1, 1, Verdict::NotRun));
        assert!(ledger.get(&key()).is_none());
        ledger.apply(&claim(3, 1));
        assert_eq!(ledger.get(&key()).unwrap().claim_id().incarnation.0.as_u128(), 3);
    }
}
