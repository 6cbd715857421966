//! Finds the prompt part that crashes endpoints, and blocks the requests that contain it.
//!
//! A faulty prompt part ends each endpoint that begins to answer a request with it. When an
//! endpoint's connection breaks, each request on it is a suspect, with all parts of its prompt that
//! other requests share. An answer speaks for its parts only as far as it got: one that lasts or is
//! complete shows that they are sound, one that has just begun does not. No instance sees all
//! crashes, so instances exchange their [`Evidence`] and reach the same verdict.
//! See [quarantine](../../../docs/decisions.md#quarantine).

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
};

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Millis, PromptPart, queue::OrderedF64};

/// How long evidence counts after the last crash, and so how long a part stays blocked.
///
/// Each end of a block costs endpoints, until the part is blocked again.
const EVIDENCE_LIFETIME_MS: Millis = 600_000.0;
/// What a crash counts for that came before the answer had lasted.
const EARLY_CRASH_POINTS: u32 = 2;
/// What a crash counts for in the middle of an answer, where most requests are that only lost their
/// endpoint.
const LATE_CRASH_POINTS: u32 = 1;
/// Points from which on a part is blocked that is not known to be in any answer that lasted: three
/// early crashes.
const POINTS_TO_BLOCK: u32 = 6;
/// The same for a part that is known to have been in such an answer: five early crashes.
const POINTS_TO_BLOCK_PROVEN: u32 = 10;
/// An answer that goes on for so long after its first data lasts: the endpoint has not crashed at its
/// beginning.
pub const LASTING_ANSWER_MS: Millis = 1_000.0;
/// Other crashes within this time of those of a part show that endpoints end for other reasons, too.
const BURST_MS: Millis = 1_000.0;
/// The number of verdicts, the likeliest ones.
const MAX_VERDICTS: usize = 32;
/// The time after the last crash, when endpoints are back, from which on one request tries whether a
/// part that was sound before is sound after all.
const PROBE_DELAY_PROVEN_MS: Millis = 3_000.0;
/// The same for other parts, whose next request probably ends one more endpoint.
const PROBE_DELAY_MS: Millis = 30_000.0;
/// The time after which another request is tried if the first one told nothing.
const PROBE_INTERVAL_MS: Millis = 10_000.0;
/// The number of requests that try one blocked part.
const MAX_PROBES: u32 = 2;
/// The interval at which expired evidence is forgotten.
const EXPIRY_INTERVAL_MS: Millis = 1_000.0;
/// Crashes within this time count as one: a prompt ends one endpoint at a time, while a loss of
/// power ends many at once.
const SIMULTANEOUS_MS: Millis = 50.0;
/// The number of parts whose last answer is remembered; the oldest are forgotten.
const MAX_REMEMBERED_PARTS: usize = 8_192;
/// The number of suspect parts, several times those of a long prompt; the least likely ones are
/// forgotten.
const MAX_SUSPECTS: usize = 4_096;
/// The number of answers whose end is not explained yet.
const MAX_OPEN_ENDS: usize = 1_024;
/// The number of crashes that are remembered of one part, more than a burst has before all
/// instances block the part; later ones are ignored.
const MAX_CRASHES_PER_PART: usize = 64;
/// The number of endpoints that are remembered to work.
const MAX_REMEMBERED_ENDPOINTS: usize = 4_096;
/// The number of parts in one [`Quarantine::report`]: of those that changed lately, the likeliest and
/// some others in rotation, and one of all in rotation.
const MAX_REPORTED_PARTS: usize = 8;
const REPORTED_LIKELIEST: usize = 4;
/// How long evidence that changed is part of every report.
const CHANGE_REPORTED_MS: Millis = 2_000.0;
/// Reports of one process within this time tell of the same crash: their ages are not exact, and a
/// process takes longer to start again under its id.
const SAME_CRASH_MS: Millis = 1_000.0;
/// A block that holds this long after the last crash will not be lifted by answers under way.
const LASTING_BLOCK_MS: Millis = 1_000.0;
/// How exact the times in reports are: each instance that passes one on adds the time that its
/// heartbeat took.
const REPORT_TOLERANCE_MS: Millis = 250.0;

/// Identifies one process of an endpoint; a restart has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId(pub u32);

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

/// How far an answer got without a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It has gone on for [`LASTING_ANSWER_MS`].
    Lasting,
    /// It ended properly.
    Complete,
}

/// When answers to requests with a part were last found to be sound.
#[derive(Clone, Copy, Debug)]
struct Proof {
    lasting_at: Millis,
    complete_at: Millis,
}

impl Proof {
    const NONE: Self = Self { lasting_at: Millis::NEG_INFINITY, complete_at: Millis::NEG_INFINITY };

    /// Returns the time until which crashes do not count against the part.
    fn refutes_until(&self, has_lasted: bool) -> Millis {
        if has_lasted { self.complete_at } else { self.lasting_at }
    }
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    process: ProcessId,
    at: Millis,
    has_lasted: bool,
}

/// How likely a part has caused crashes.
#[derive(Clone, Copy, Debug)]
struct Likelihood {
    points: u32,
    points_to_block: u32,
    crashes: usize,
    lasting_at: Option<Millis>,
}

impl Likelihood {
    fn is_enough(&self) -> bool {
        self.points >= self.points_to_block
    }

    /// A part with enough points goes first, then one whose answers never lasted, then the one
    /// with more points, then the one whose answers lasted longer ago.
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let lasting_at = |l: &Self| l.lasting_at.unwrap_or(Millis::NEG_INFINITY);
        self.is_enough()
            .cmp(&other.is_enough())
            .then(other.lasting_at.is_some().cmp(&self.lasting_at.is_some()))
            .then(self.points.cmp(&other.points))
            .then(lasting_at(other).total_cmp(&lasting_at(self)))
    }
}

/// Why a request is blocked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Block {
    /// The part of its prompt that crashes endpoints.
    pub part: PromptPart,
    /// The number of crashes that speak against the part; 0 if they were before this instance began.
    pub crashes: usize,
    /// The time until the evidence is too old, in milliseconds.
    pub remaining_ms: Millis,
}

/// What is known of a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartRecord {
    /// The number of crashes of requests with this part that are remembered, whatever explains them.
    pub crashes: usize,
    /// The time since an answer to a request with this part last lasted, if one did, in milliseconds.
    pub lasting_age_ms: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// The endpoints that crashed with a request of this part, the earliest first.
    crashes: Vec<Crash>,
    changed_at: Millis,
    /// When its block was last lifted.
    released_at: Millis,
}

impl Suspect {
    fn newest_crash_at(&self) -> Millis {
        self.crashes.last().map_or(Millis::NEG_INFINITY, |crash| crash.at)
    }
}

/// The requests with a blocked part that this instance sent to try it.
#[derive(Clone, Copy, Debug)]
struct Probes {
    count: u32,
    last_at: Millis,
}

/// An answer that ended with its connection, which does not show that it is complete.
#[derive(Clone, Debug)]
struct OpenEnd {
    process: ProcessId,
    parts: SmallVec<[PromptPart; 4]>,
    has_lasted: bool,
    at: Millis,
}

/// One or more parts that explain the same crashes equally well.
#[derive(Clone, Debug)]
struct Verdict {
    /// All of the parts that cannot be told apart: a request that contains only some of them may
    /// be sent, as its outcome tells which of them it is.
    parts: SmallVec<[PromptPart; 2]>,
    likelihood: Likelihood,
}

impl Verdict {
    fn applies_to(&self, parts: &[PromptPart]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    fn is_blocked(&self) -> bool {
        self.likelihood.is_enough()
    }

    /// Returns whether one more crash would block the parts, which a retry may cause.
    fn stops_retries(&self) -> bool {
        let Likelihood { points, points_to_block, lasting_at, .. } = self.likelihood;
        lasting_at.is_none() && points + EARLY_CRASH_POINTS >= points_to_block
    }
}

/// The evidence of all instances, as far as it is known here, and the verdicts.
#[derive(Debug, Default)]
pub struct Quarantine {
    proofs: FxHashMap<PromptPart, Proof>,
    suspects: BTreeMap<PromptPart, Suspect>,
    /// When each process among the crashes of suspects last crashed.
    crashed_at: FxHashMap<ProcessId, Millis>,
    /// When the newest request was sent whose answer the endpoint has begun.
    working_at: FxHashMap<ProcessId, Millis>,
    /// The parts that explain the crashes, the likeliest first.
    verdicts: Vec<Verdict>,
    /// Whether evidence came after the verdicts.
    is_outdated: bool,
    /// The parts that were blocked before this instance began: since when they are known, and until
    /// when they are blocked.
    restored: FxHashMap<PromptPart, (Millis, Millis)>,
    probes: FxHashMap<PromptPart, Probes>,
    /// Answers that ended lately with their connection; a crash of the endpoint explains it.
    open_ends: VecDeque<OpenEnd>,
    /// When expired evidence was last forgotten.
    expired_at: Millis,
    /// Counts reports, to select which of the changed suspects they contain.
    report_count: usize,
    /// The suspect that was last reported in rotation.
    last_in_rotation: Option<PromptPart>,
}

impl Quarantine {
    /// Records that the answer to a request began that had been sent to `endpoint` at `sent_at`, so
    /// that the endpoint had not crashed before.
    pub fn record_start(&mut self, endpoint: ProcessId, sent_at: Millis, now: Millis) {
        self.is_outdated |= self.add_proof_of_work(endpoint, sent_at, now);
    }

    /// Records how far the answer to a request with these parts got.
    ///
    /// Returns the parts that were suspect until now.
    pub fn record_answer(
        &mut self,
        parts: &[PromptPart],
        reach: Reach,
        now: Millis,
    ) -> SmallVec<[PromptPart; 2]> {
        let proof = match reach {
            Reach::Lasting => Proof { lasting_at: now, ..Proof::NONE },
            Reach::Complete => Proof { lasting_at: now, complete_at: now },
        };
        let cleared: SmallVec<[PromptPart; 2]> =
            parts.iter().copied().filter(|part| self.add_proof(*part, proof, now)).collect();
        forget_oldest(&mut self.proofs, MAX_REMEMBERED_PARTS, |proof| proof.lasting_at);
        self.is_outdated |= !cleared.is_empty();
        cleared
    }

    /// Records that the connection to `endpoint` broke before the answer to a request with these
    /// parts was complete, after it had lasted or not.
    pub fn record_crash(
        &mut self,
        endpoint: ProcessId,
        parts: &[PromptPart],
        has_lasted: bool,
        now: Millis,
    ) {
        self.settle_open_ends(now);
        let crash = Crash { process: endpoint, at: now, has_lasted };
        let mut has_changed = self.add_crashes(parts, crash, now);
        // Whether an answer ended or broke off there a moment ago could not be told.
        let (explained, open) =
            self.open_ends.drain(..).partition::<VecDeque<_>, _>(|end| end.process == endpoint);
        self.open_ends = open;
        for end in explained {
            let crash = Crash { process: endpoint, at: now, has_lasted: end.has_lasted };
            has_changed |= self.add_crashes(&end.parts, crash, now);
        }
        self.is_outdated |= has_changed;
    }

    /// Records that the answer to a request with these parts ended with its connection, so that it
    /// may be complete or broken off: it counts as complete unless the endpoint crashes.
    pub fn record_open_end(
        &mut self,
        endpoint: ProcessId,
        parts: &[PromptPart],
        has_lasted: bool,
        now: Millis,
    ) {
        self.settle_open_ends(now);
        if self.crashed_at.get(&endpoint).is_some_and(|at| now - at < BURST_MS) {
            return self.record_crash(endpoint, parts, has_lasted, now);
        }
        if self.open_ends.len() >= MAX_OPEN_ENDS {
            self.open_ends.pop_front();
        }
        let parts = SmallVec::from_slice(parts);
        self.open_ends.push_back(OpenEnd { process: endpoint, parts, has_lasted, at: now });
    }

    /// Counts answers that ended with their connection as complete once their endpoint has not crashed
    /// for a while.
    pub fn settle_open_ends(&mut self, now: Millis) {
        while self.open_ends.front().is_some_and(|end| now - end.at >= BURST_MS) {
            if let Some(end) = self.open_ends.pop_front() {
                self.record_answer(&end.parts, Reach::Complete, now);
            }
        }
    }

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
            let known = self.proofs.get(&e.part).copied().unwrap_or(Proof::NONE);
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

    /// Blocks a part that was blocked before this instance began.
    pub fn restore(&mut self, part: PromptPart, remaining_ms: Millis, now: Millis) {
        self.restored.insert(part, (now, now + remaining_ms.min(EVIDENCE_LIFETIME_MS)));
    }

    /// Returns the blocks that an instance that begins to run should know. Parts that are blocked
    /// only together are left out, and those that were sound before and may be again.
    pub fn lasting_blocks(&mut self, now: Millis) -> Vec<Block> {
        self.judge(now);
        let single = self.verdicts.iter().filter(|v| v.is_blocked() && v.parts.len() == 1);
        single
            .filter(|verdict| !self.is_doubtful(verdict.parts[0]))
            .filter_map(|verdict| self.block(verdict, now))
            .filter(|block| EVIDENCE_LIFETIME_MS - block.remaining_ms >= LASTING_BLOCK_MS)
            .collect()
    }

    /// Returns whether a part has been in answers that lasted, and all its crashes came together.
    fn is_doubtful(&self, part: PromptPart) -> bool {
        self.proofs.contains_key(&part) && self.is_burst(part)
    }

    /// Returns whether the crashes that count against a part came together, as those of endpoints that
    /// end for another reason do.
    fn is_burst(&self, part: PromptPart) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        let proof = self.proofs.get(&part).copied().unwrap_or(Proof::NONE);
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

    /// Returns why a request with these parts must not be sent, or `None` if it may.
    pub fn blocked(&mut self, parts: &[PromptPart], is_retry: bool, now: Millis) -> Option<Block> {
        self.judge(now);
        let verdict = self.verdicts.iter().find(|verdict| {
            let is_stopped = verdict.is_blocked() || is_retry && verdict.stops_retries();
            is_stopped && verdict.applies_to(parts)
        });
        let by_verdict = verdict.and_then(|verdict| self.block(verdict, now));
        by_verdict.or_else(|| parts.iter().find_map(|part| self.restored_block(*part, now)))
    }

    fn block(&self, verdict: &Verdict, now: Millis) -> Option<Block> {
        let part = verdict.parts[0];
        let newest = self.suspects.get(&part)?.newest_crash_at();
        let remaining_ms = newest + EVIDENCE_LIFETIME_MS - now;
        let crashes = verdict.likelihood.crashes;
        (remaining_ms > 0.0).then_some(Block { part, crashes, remaining_ms })
    }

    fn restored_block(&self, part: PromptPart, now: Millis) -> Option<Block> {
        let remaining_ms = self.restored.get(&part)?.1 - now;
        (remaining_ms > 0.0).then_some(Block { part, crashes: 0, remaining_ms })
    }

    /// Returns what is known of a part, for logs.
    pub fn record_of(&self, part: PromptPart, now: Millis) -> PartRecord {
        PartRecord {
            crashes: self.suspects.get(&part).map_or(0, |suspect| suspect.crashes.len()),
            lasting_age_ms: self.proofs.get(&part).map(|proof| now - proof.lasting_at),
        }
    }

    /// Returns the parts that are blocked, alone or together with others.
    pub fn blocked_parts(&mut self, now: Millis) -> impl Iterator<Item = PromptPart> {
        self.judge(now);
        self.known_blocked_parts()
    }

    fn known_blocked_parts(&self) -> impl Iterator<Item = PromptPart> {
        let blocked = self.verdicts.iter().filter(|verdict| verdict.is_blocked());
        blocked.flat_map(|verdict| verdict.parts.iter().copied())
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
            let proof = self.proofs.get(&part);
            let age_of = |at: Option<Millis>| at.filter(|at| at.is_finite()).map(age);
            report.evidence.push(Evidence {
                part,
                lasting_age_ms: age_of(proof.map(|proof| proof.lasting_at)),
                complete_age_ms: age_of(proof.map(|proof| proof.complete_at)),
                crashes: suspect
                    .crashes
                    .iter()
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

    /// Records a proof and returns whether it may change a verdict.
    fn add_proof(&mut self, part: PromptPart, proof: Proof, now: Millis) -> bool {
        let known = self.proofs.entry(part).or_insert(Proof::NONE);
        let before = *known;
        known.lasting_at = before.lasting_at.max(proof.lasting_at);
        known.complete_at = before.complete_at.max(proof.complete_at);
        let after = *known;
        if self.restored.get(&part).is_some_and(|(known_at, _)| after.lasting_at > *known_at) {
            self.restored.remove(&part);
        }
        let Some(suspect) = self.suspects.get_mut(&part) else { return false };
        let is_refuted = |crash: &Crash| {
            crash.at > before.refutes_until(crash.has_lasted)
                && crash.at <= after.refutes_until(crash.has_lasted)
        };
        let is_first = before.lasting_at == Millis::NEG_INFINITY;
        let is_news = is_first || suspect.crashes.iter().any(is_refuted);
        if is_news {
            suspect.changed_at = now;
        }
        is_news
    }

    /// Records that the endpoint has begun to answer a request that was sent at `sent_at`, and
    /// returns whether this refutes a crash.
    fn add_proof_of_work(&mut self, endpoint: ProcessId, sent_at: Millis, now: Millis) -> bool {
        let working_at = self.working_at.entry(endpoint).or_insert(Millis::NEG_INFINITY);
        let before = *working_at;
        *working_at = before.max(sent_at);
        forget_oldest(&mut self.working_at, MAX_REMEMBERED_ENDPOINTS, |at| *at);
        if self.crashed_at.get(&endpoint).is_none_or(|at| is_later(before, Some(at))) {
            return false;
        }
        let is_refuted = |Crash { process, at, .. }: &Crash| {
            *process == endpoint && !is_later(before, Some(at)) && is_later(sent_at, Some(at))
        };
        let mut has_changed = false;
        for suspect in self.suspects.values_mut().filter(|s| s.crashes.iter().any(is_refuted)) {
            suspect.changed_at = now;
            has_changed = true;
        }
        has_changed
    }

    fn add_crashes(&mut self, parts: &[PromptPart], crash: Crash, now: Millis) -> bool {
        let mut has_changed = false;
        for part in parts {
            has_changed |= self.add_crash(*part, crash, now);
        }
        self.forget_least_likely();
        has_changed
    }

    /// Records a crash and returns whether it may change a verdict.
    fn add_crash(&mut self, part: PromptPart, crash: Crash, now: Millis) -> bool {
        let new =
            Suspect { crashes: Vec::new(), changed_at: now, released_at: Millis::NEG_INFINITY };
        let suspect = self.suspects.entry(part).or_insert(new);
        let is_same = |known: &&mut Crash| {
            known.process == crash.process && (crash.at - known.at).abs() < SAME_CRASH_MS
        };
        if let Some(known) = suspect.crashes.iter_mut().find(is_same) {
            // Of several requests there, the one that had got least far tells most.
            let is_earlier_stage = known.has_lasted && !crash.has_lasted;
            known.has_lasted &= crash.has_lasted;
            if is_earlier_stage {
                suspect.changed_at = now;
            }
            return is_earlier_stage;
        }
        // Forgetting an older crash instead would not help: peers report it again, and each
        // report makes it seem a little later.
        if suspect.crashes.len() >= MAX_CRASHES_PER_PART {
            return false;
        }
        let crashed_at = self.crashed_at.entry(crash.process).or_insert(crash.at);
        *crashed_at = crashed_at.max(crash.at);
        suspect.crashes.push(crash);
        suspect.crashes.sort_by(|a, b| a.at.total_cmp(&b.at));
        suspect.changed_at = now;
        true
    }

    /// Forgets the suspects beyond the bound: those with the fewest points first, then those that were
    /// in answers that lasted, then those with the oldest evidence, and blocked ones last.
    fn forget_least_likely(&mut self) {
        let Some(excess) = self.suspects.len().checked_sub(MAX_SUSPECTS).filter(|n| *n > 0) else {
            return;
        };
        let blocked: FxHashSet<PromptPart> = self.known_blocked_parts().collect();
        let unexplained = FxHashSet::default();
        let mut parts: Vec<PromptPart> = self.suspects.keys().copied().collect();
        parts.sort_by_cached_key(|part| {
            let points = self.count(*part, &unexplained).points;
            let newest_at = OrderedF64(self.suspects[part].newest_crash_at());
            let is_proven = self.proofs.contains_key(part);
            (blocked.contains(part), points > 0, !is_proven, points, newest_at, *part)
        });
        for part in parts.iter().take(excess) {
            self.suspects.remove(part);
            self.verdicts.retain(|verdict| !verdict.parts.contains(part));
        }
    }

    fn forget_expired(&mut self, now: Millis) {
        if now - self.expired_at < EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_at = now;
        let count = self.suspects.len();
        self.suspects.retain(|_, s| now - s.newest_crash_at() < EVIDENCE_LIFETIME_MS);
        self.crashed_at.retain(|_, at| now - *at < EVIDENCE_LIFETIME_MS);
        self.is_outdated |= self.suspects.len() < count;
    }

    /// Blames the fewest parts that explain the crashes, if evidence has come since the last time.
    ///
    /// A request that crashes endpoints also contains sound parts, and an endpoint's crash breaks
    /// off sound requests. So the likeliest part is blamed first, and the crashes that it explains
    /// no longer count against others.
    fn judge(&mut self, now: Millis) {
        self.forget_expired(now);
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        let blocked_before: Vec<PromptPart> = self.known_blocked_parts().collect();
        self.verdicts.clear();
        let mut explained: FxHashSet<ProcessId> = FxHashSet::default();
        // Crashes that are explained no longer count, so the others cannot get there.
        let is_candidate = |part: &PromptPart| {
            let points_needed = match self.proofs.contains_key(part) {
                true => POINTS_TO_BLOCK_PROVEN,
                false => POINTS_TO_BLOCK - EARLY_CRASH_POINTS,
            };
            self.count(*part, &explained).points >= points_needed
        };
        let repeated = self.suspects.iter().filter(|(_, suspect)| suspect.crashes.len() > 1);
        let mut open: Vec<PromptPart> =
            repeated.map(|(part, _)| *part).filter(is_candidate).collect();
        let all_crashes = if open.is_empty() { Vec::new() } else { self.open_crashes() };
        while self.verdicts.len() < MAX_VERDICTS {
            let mut ranked = Vec::with_capacity(open.len());
            for part in open {
                if let Some(rank) = self.rank(part, &explained, &all_crashes) {
                    ranked.push((rank, part));
                }
            }
            let likeliest = ranked.iter().map(|(rank, _)| *rank).max_by(Likelihood::compare);
            let Some(likeliest) = likeliest else { break };
            let (equal, less): (Vec<_>, Vec<_>) =
                ranked.into_iter().partition(|(rank, _)| rank.compare(&likeliest).is_eq());
            let mut parts: SmallVec<[PromptPart; 2]> =
                equal.into_iter().map(|(_, part)| part).collect();
            parts.sort_unstable();
            open = less.into_iter().map(|(_, part)| part).collect();
            for part in &parts {
                explained.extend(self.suspects[part].crashes.iter().map(|crash| crash.process));
            }
            self.verdicts.push(Verdict { parts, likelihood: likeliest });
        }
        let blocked: FxHashSet<PromptPart> = self.known_blocked_parts().collect();
        for part in blocked_before.iter().filter(|part| !blocked.contains(part)) {
            if let Some(suspect) = self.suspects.get_mut(part) {
                (suspect.released_at, suspect.changed_at) = (now, now);
            }
        }
    }

    /// Returns the crashes of endpoints that do not work after all, the earliest first.
    fn open_crashes(&self) -> Vec<(Millis, ProcessId)> {
        let mut seen = FxHashSet::default();
        let all = self.suspects.values().flat_map(|suspect| &suspect.crashes);
        let mut crashes: Vec<(Millis, ProcessId)> = all
            .filter(|crash| !self.is_refuted_by_work(crash) && seen.insert(crash.process))
            .map(|crash| (crash.at, crash.process))
            .collect();
        crashes.sort_by(|a, b| a.0.total_cmp(&b.0));
        crashes
    }

    /// Returns whether the endpoint answered a request that was sent after it seemed to crash.
    fn is_refuted_by_work(&self, crash: &Crash) -> bool {
        let sent_at = self.working_at.get(&crash.process);
        sent_at.is_some_and(|sent_at| is_later(*sent_at, Some(&crash.at)))
    }

    /// Returns how likely a part caused the crashes that are not explained yet, or `None` if there
    /// are none.
    fn rank(
        &self,
        part: PromptPart,
        explained: &FxHashSet<ProcessId>,
        all_crashes: &[(Millis, ProcessId)],
    ) -> Option<Likelihood> {
        let CrashCount { crashes, points, first_at, last_at } = self.count(part, explained);
        let lasting_at = self.proofs.get(&part).map(|proof| proof.lasting_at);
        let mut points_to_block = match lasting_at {
            Some(_) => POINTS_TO_BLOCK_PROVEN,
            None => POINTS_TO_BLOCK,
        };
        if points + EARLY_CRASH_POINTS >= points_to_block {
            let own: FxHashSet<ProcessId> =
                self.suspects[&part].crashes.iter().map(|crash| crash.process).collect();
            let others = all_crashes.iter().filter(|(at, process)| {
                (first_at - BURST_MS..=last_at + BURST_MS).contains(at)
                    && !own.contains(process)
                    && !explained.contains(process)
            });
            points_to_block += count_moments(others.map(|(at, _)| *at)) as u32 * LATE_CRASH_POINTS;
        }
        (points > 0).then_some(Likelihood { points, points_to_block, crashes, lasting_at })
    }

    /// Counts the crashes that no answer with the part refutes, that are not explained and whose
    /// endpoint does not work after all.
    fn count(&self, part: PromptPart, explained: &FxHashSet<ProcessId>) -> CrashCount {
        let proof = self.proofs.get(&part).copied().unwrap_or(Proof::NONE);
        let mut count = CrashCount {
            crashes: 0,
            points: 0,
            first_at: Millis::INFINITY,
            last_at: Millis::NEG_INFINITY,
        };
        let mut moment_at = Millis::NEG_INFINITY;
        let mut moment_points = 0;
        let crashes = &self.suspects[&part].crashes;
        let refuted = crashes.partition_point(|crash| crash.at <= proof.complete_at);
        for crash in &crashes[refuted..] {
            if crash.at <= proof.refutes_until(crash.has_lasted)
                || explained.contains(&crash.process)
                || self.is_refuted_by_work(crash)
            {
                continue;
            }
            if crash.at - moment_at >= SIMULTANEOUS_MS {
                (moment_at, moment_points) = (crash.at, 0);
                count.crashes += 1;
            }
            let points = if crash.has_lasted { LATE_CRASH_POINTS } else { EARLY_CRASH_POINTS };
            count.points += points.saturating_sub(moment_points);
            moment_points = moment_points.max(points);
            count.first_at = count.first_at.min(crash.at);
            count.last_at = crash.at;
        }
        count
    }
}

/// The crashes that speak against a part.
#[derive(Clone, Copy, Debug)]
struct CrashCount {
    /// Those at the same moment count as one.
    crashes: usize,
    points: u32,
    first_at: Millis,
    last_at: Millis,
}

/// Counts times in order; those that are close together count as one.
fn count_moments(times: impl Iterator<Item = Millis>) -> usize {
    let mut moment_at = Millis::NEG_INFINITY;
    let is_new = |at: &Millis| {
        let is_new = at - moment_at >= SIMULTANEOUS_MS;
        if is_new {
            moment_at = *at;
        }
        is_new
    };
    times.filter(is_new).count()
}

/// Returns whether `at` is later than `known` even if both come from reports.
///
/// A time that is passed on grows a little with each heartbeat, so a small difference is no news.
fn is_later(at: Millis, known: Option<&Millis>) -> bool {
    known.is_none_or(|known| at > known + REPORT_TOLERANCE_MS)
}

/// Removes the oldest half of a map that has outgrown `max`.
fn forget_oldest<K: Copy + Eq + std::hash::Hash, V>(
    entries: &mut FxHashMap<K, V>,
    max: usize,
    time: impl Fn(&V) -> Millis,
) {
    if entries.len() <= max {
        return;
    }
    let mut sorted: Vec<Millis> = entries.values().map(&time).collect();
    sorted.sort_by(Millis::total_cmp);
    let median = sorted[sorted.len() / 2];
    entries.retain(|_, entry| time(entry) > median);
}
