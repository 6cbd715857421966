//! Requests that try a block that may be wrong.

use super::Quarantine;
use crate::{Millis, PromptPart};

/// The time after the last crash, when endpoints are back, from which on one request tries whether a
/// part that was sound before is sound after all.
const PROBE_DELAY_PROVEN_MS: Millis = 3_000.0;
/// The same for other parts, whose next request probably ends one more endpoint.
const PROBE_DELAY_MS: Millis = 30_000.0;
/// The time after which another request is tried if the first one told nothing.
const PROBE_INTERVAL_MS: Millis = 10_000.0;
/// The number of requests that try one blocked part.
const MAX_PROBES: u32 = 2;

/// The requests with a blocked part that this instance sent to try it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probes {
    count: u32,
    last_at: Millis,
}

impl Quarantine {
    /// Returns whether a part has been in answers that lasted, and all its crashes came together.
    pub(super) fn is_doubtful(&self, part: PromptPart) -> bool {
        self.proofs.contains_key(&part) && self.is_burst(part)
    }

    /// Returns whether the crashes that count against a part came together, as those of endpoints that
    /// end for another reason do.
    fn is_burst(&self, part: PromptPart) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        let proof = self.proof(part);
        let counted = suspect.crashes.iter().filter(|crash| {
            crash.at > proof.refutes_until(crash.has_lasted) && !self.is_refuted_by_work(crash)
        });
        let times: Vec<Millis> = counted.map(|crash| crash.at).collect();
        times.windows(2).all(|pair| pair[1] - pair[0] < PROBE_DELAY_PROVEN_MS)
    }

    /// Returns whether a blocked request with these parts may be sent to try whether they are sound
    /// after all, and counts it. `is_chosen` tells whether this instance tries a part, which only one
    /// of the fleet does.
    ///
    /// Endpoints that end one after the other for another reason can get a sound part blocked, and
    /// no answer would acquit it. A part is not tried again once a crash followed the others late.
    pub fn begin_probe(
        &mut self,
        parts: &[PromptPart],
        now: Millis,
        is_chosen: impl Fn(PromptPart) -> bool,
    ) -> bool {
        if parts.iter().any(|part| self.restored_block(*part, now).is_some()) {
            return false;
        }
        let blocking = self.verdicts.iter().filter(|v| v.is_blocked() && v.applies_to(parts));
        let tried: Option<Vec<PromptPart>> = blocking
            .map(|verdict| {
                let part = verdict.parts[0];
                let may_try = self.may_be_tried(part, now) && is_chosen(part);
                may_try.then_some(part)
            })
            .collect();
        let Some(tried) = tried.filter(|tried| !tried.is_empty()) else { return false };
        for part in tried {
            let probes = self.probes.entry(part).or_insert(Probes { count: 0, last_at: now });
            *probes = Probes { count: probes.count + 1, last_at: now };
        }
        true
    }

    fn may_be_tried(&self, part: PromptPart, now: Millis) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        let delay = match self.proofs.contains_key(&part) {
            true => PROBE_DELAY_PROVEN_MS,
            false => PROBE_DELAY_MS,
        };
        let is_due = now - suspect.newest_crash_at() >= delay && self.is_burst(part);
        let may_repeat = self
            .probes
            .get(&part)
            .is_none_or(|p| p.count < MAX_PROBES && now - p.last_at >= PROBE_INTERVAL_MS);
        is_due && may_repeat
    }
}
