//! Evidence of crashes that instances exchange.

use std::ops::Bound;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{Crash, ProcessId, Proof, Quarantine, is_later};
use crate::{Millis, PromptPart};

/// The number of parts in one [`Quarantine::report`]: of those that changed lately, the likeliest and
/// some others in rotation, and one of all in rotation.
const MAX_REPORTED_PARTS: usize = 8;
const REPORTED_LIKELIEST: usize = 4;
/// How long evidence that changed is part of every report.
const CHANGE_REPORTED_MS: Millis = 2_000.0;

/// What instances tell each other of crashes, with ages in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Evidence on suspect parts.
    pub evidence: Vec<Evidence>,
    /// Processes in that evidence that have not crashed after all: they began to answer a request
    /// that was sent to them this long ago.
    pub working: SmallVec<[(ProcessId, u32); 4]>,
}

/// What an instance knows of a suspect part, with ages in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The suspect part.
    pub part: PromptPart,
    /// The time since an answer to a request with this part last lasted, if one did.
    pub lasting_age_ms: Option<u32>,
    /// The time since such an answer was complete, if one was.
    pub complete_age_ms: Option<u32>,
    /// The endpoints that crashed with a request of this part.
    pub crashes: SmallVec<[ReportedCrash; 4]>,
}

/// A crash in [`Evidence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The process that ended.
    pub process: ProcessId,
    /// The time since then, in milliseconds.
    pub age_ms: u32,
    /// Whether the answer had lasted until then.
    pub has_lasted: bool,
}

impl Quarantine {
    /// Adds the evidence of another instance.
    pub fn merge(&mut self, report: &CrashReport, now: Millis) {
        let mut has_changed = false;
        for e in &report.evidence {
            for crash in &e.crashes {
                let ReportedCrash { process, age_ms, has_lasted } = *crash;
                let crash = Crash { process, at: now - Millis::from(age_ms), has_lasted };
                has_changed |= self.add_crash(e.part, crash, now);
            }
            let at = |age_ms: Option<u32>| {
                age_ms.map_or(Millis::NEG_INFINITY, |age_ms| now - Millis::from(age_ms))
            };
            let told =
                Proof { lasting_at: at(e.lasting_age_ms), complete_at: at(e.complete_age_ms) };
            let known = self.proof(e.part);
            if is_later(told.lasting_at, Some(&known.lasting_at))
                || is_later(told.complete_at, Some(&known.complete_at))
            {
                has_changed |= self.add_proof(e.part, told, now);
            }
        }
        self.forget_least_likely();
        for (process, age_ms) in &report.working {
            let sent_at = now - Millis::from(*age_ms);
            if is_later(sent_at, self.working_at.get(process)) {
                has_changed |= self.add_proof_of_work(*process, sent_at, now);
            }
        }
        self.is_outdated |= has_changed;
    }

    /// Returns evidence for the other instances: what changed lately and, in rotation, the rest.
    pub fn report(&mut self, now: Millis) -> CrashReport {
        if self.suspects.is_empty() {
            return CrashReport::default();
        }
        self.judge(now);
        let mut changed: Vec<PromptPart> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| now - suspect.changed_at < CHANGE_REPORTED_MS)
            .map(|(part, _)| *part)
            .collect();
        let is_released =
            |part: &PromptPart| now - self.suspects[part].released_at < CHANGE_REPORTED_MS;
        changed.sort_by_cached_key(|part| {
            let is_proven = self.proofs.contains_key(part);
            std::cmp::Reverse((is_released(part), !is_proven, self.suspects[part].crashes.len()))
        });
        let mut reported: Vec<PromptPart> =
            changed.iter().take(REPORTED_LIKELIEST).copied().collect();
        changed.drain(..reported.len());
        self.report_count = self.report_count.wrapping_add(1);
        let per_report = (MAX_REPORTED_PARTS - 1 - REPORTED_LIKELIEST).min(changed.len());
        if per_report > 0 {
            let start = self.report_count.wrapping_mul(per_report) % changed.len();
            reported.extend(changed.iter().cycle().skip(start).take(per_report));
        }
        let next = self.next_in_rotation();
        self.last_in_rotation = next;
        reported.extend(next.filter(|next| !reported.contains(next)));
        let age = |at: Millis| (now - at).max(0.0) as u32;
        let mut report = CrashReport::default();
        for part in reported {
            let suspect = &self.suspects[&part];
            let proof = self.proof(part);
            let age_of = |at: Millis| at.is_finite().then(|| age(at));
            // The ages of the proof refute the others wherever they are known.
            let counted = suspect
                .crashes
                .iter()
                .filter(|crash| crash.at > proof.refutes_until(crash.has_lasted));
            report.evidence.push(Evidence {
                part,
                lasting_age_ms: age_of(proof.lasting_at),
                complete_age_ms: age_of(proof.complete_at),
                crashes: counted
                    .map(|crash| ReportedCrash {
                        process: crash.process,
                        age_ms: age(crash.at),
                        has_lasted: crash.has_lasted,
                    })
                    .collect(),
            });
            for Crash { process, at, .. } in &suspect.crashes {
                let working_at =
                    self.working_at.get(process).filter(|sent_at| is_later(**sent_at, Some(at)));
                let is_new = report.working.iter().all(|(reported, _)| reported != process);
                if let Some(sent_at) = working_at.filter(|_| is_new) {
                    report.working.push((*process, age(*sent_at)));
                }
            }
        }
        report
    }

    fn next_in_rotation(&self) -> Option<PromptPart> {
        let after = self.last_in_rotation.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.suspects.range((after, Bound::Unbounded));
        let next = rest.next().or_else(|| self.suspects.first_key_value());
        next.map(|(part, _)| *part)
    }
}
