//! The state of every key, reduced from the log in its order.

use std::collections::{BTreeMap, HashMap};

use baobabvane_domain::{Answer, Claim, Entry, Incarnation, Outcome, RequestKey, Verdict};
use serde::{Deserialize, Serialize};

use crate::age::issued_at_ms;

/// Who wrote a claim; no two claims have the same owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The process.
    pub incarnation: Incarnation,
    /// Which of its claims.
    pub attempt: u64,
}

impl Owner {
    /// Returns whose claim it is.
    pub(crate) fn of_claim(claim: &Claim) -> Self {
        Self { incarnation: claim.incarnation, attempt: claim.attempt }
    }

    /// Returns whose claim's outcome it is.
    pub(crate) fn of_outcome(outcome: &Outcome) -> Self {
        Self { incarnation: outcome.incarnation, attempt: outcome.attempt }
    }
}

/// What the log says of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The owner may dispatch, or has; nobody else ever may.
    Claimed {
        /// Whose claim was first.
        owner: Owner,
        /// The hash of the request's body.
        body_hash: u64,
    },
    /// The owner told how the request ended.
    Ended {
        /// Whose claim was first.
        owner: Owner,
        /// The hash of the request's body.
        body_hash: u64,
        /// `Ran` or `MayHaveRun`.
        verdict: Verdict,
        /// The answer, where it was kept.
        answer: Option<Answer>,
    },
}

impl KeyState {
    /// Returns whose claim was first.
    pub fn owner(&self) -> Owner {
        match self {
            Self::Claimed { owner, .. } | Self::Ended { owner, .. } => *owner,
        }
    }

    /// Returns the hash of the body of the request that was claimed.
    pub fn body_hash(&self) -> u64 {
        match self {
            Self::Claimed { body_hash, .. } | Self::Ended { body_hash, .. } => *body_hash,
        }
    }
}

/// A key's digest; the ledger holds no names, as it holds many keys.
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

/// What is held of a key.
#[derive(Clone, Debug)]
struct ClaimedKey {
    owner: Owner,
    body_hash: u64,
    end: Option<Box<RequestEnd>>,
}

/// How a claimed request ended.
#[derive(Clone, Debug)]
struct RequestEnd {
    verdict: Verdict,
    answer: Option<Answer>,
}

/// All keys that the log still speaks of.
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

    /// Returns what the log says of a key; `None` when nobody holds it.
    pub fn get(&self, key: &RequestKey) -> Option<KeyState> {
        let ClaimedKey { owner, body_hash, end } = self.keys.get(&Digest::new(key))?.clone();
        Some(match end {
            None => KeyState::Claimed { owner, body_hash },
            Some(end) => {
                let RequestEnd { verdict, answer } = *end;
                KeyState::Ended { owner, body_hash, verdict, answer }
            }
        })
    }

    /// Says whether an owner's claim was first and its outcome is not known.
    pub(crate) fn is_open(&self, key: &RequestKey, owner: Owner) -> bool {
        let claimed = self.keys.get(&Digest::new(key));
        claimed.is_some_and(|claimed| claimed.owner == owner && claimed.end.is_none())
    }

    /// Returns how many keys are held in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Says whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Forgets keys that were issued before a time.
    ///
    /// Such keys must be refused before the ledger is asked; see
    /// [`crate::KeyPolicy`].
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
        let owner = Owner::of_claim(claim);
        self.digests_by_issue_ms.entry(issued_at_ms(claim.key.key)).or_default().push(digest);
        self.keys.insert(digest, ClaimedKey { owner, body_hash: claim.body_hash, end: None });
    }

    fn apply_outcome(&mut self, outcome: &Outcome) {
        let owner = Owner::of_outcome(outcome);
        if !self.is_open(&outcome.key, owner) {
            return;
        }
        let digest = Digest::new(&outcome.key);
        if outcome.verdict == Verdict::NotRun {
            return self.release_key(digest, issued_at_ms(outcome.key.key));
        }
        if let Some(claimed) = self.keys.get_mut(&digest) {
            let Outcome { verdict, answer, .. } = outcome.clone();
            claimed.end = Some(Box::new(RequestEnd { verdict, answer }));
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
        assert_eq!(ledger.get(&key()).unwrap().owner().incarnation.0.as_u128(), 1);
    }

    #[test]
    fn a_released_key_can_be_claimed_again_but_not_by_an_earlier_claim() {
        let mut ledger = Ledger::default();
        ledger.apply(&claim(1, 1));
        ledger.apply(&claim(2, 1));
        ledger.apply(&outcome(1, 1, Verdict::NotRun));
        assert!(ledger.get(&key()).is_none());
        ledger.apply(&claim(3, 1));
        assert_eq!(ledger.get(&key()).unwrap().owner().incarnation.0.as_u128(), 3);
    }
}
