//! Finds the prompt part that crashes endpoints, and blocks the requests that contain it.
//!
//! A faulty prompt part ends each endpoint that begins to answer a request with it. When an
//! endpoint's connection breaks, each request on it is a suspect, with all parts of its prompt that
//! other requests share. An answer speaks for its parts only as far as it got: one that lasts or is
//! complete shows that they are sound, one that has just begun does not. No instance sees all
//! crashes, so instances exchange their [`Evidence`] and reach the same verdict.
//! See [quarantine](../../../docs/decisions.md#quarantine).

mod probe;
mod report;
mod verdict;

use std::collections::{BTreeMap, VecDeque};

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use self::report::{CrashReport, Evidence, ReportedCrash};
use self::{probe::Probes, verdict::Verdict};
use crate::{Millis, PromptPart, queue::OrderedF64};

/// How long evidence counts after the last crash, and so how long a part stays blocked.
///
/// Each end of a block costs endpoints, until the part is blocked again.
const EVIDENCE_LIFETIME_MS: Millis = 600_000.0;
/// An answer that goes on for so long after its first data lasts: the endpoint has not crashed at its
/// beginning.
pub const LASTING_ANSWER_MS: Millis = 1_000.0;
/// A crash of its endpoint within this time explains the end of an answer that may be incomplete.
const OPEN_END_MS: Millis = 1_000.0;
/// The interval at which expired evidence is forgotten.
const EXPIRY_INTERVAL_MS: Millis = 1_000.0;
/// The number of parts whose last answer is remembered; the oldest are forgotten.
const MAX_REMEMBERED_PARTS: usize = 8_192;
/// The number of suspect parts, several times those of a long prompt; the least likely ones are
/// forgotten.
const MAX_SUSPECTS: usize = 4_096;
/// The number of answers whose end is not explained yet.
const MAX_OPEN_ENDS: usize = 256;
/// The number of crashes that are remembered of one part, more than a burst has before all
/// instances block the part; later ones are ignored.
const MAX_CRASHES_PER_PART: usize = 64;
/// The number of endpoints that are remembered to work.
const MAX_REMEMBERED_ENDPOINTS: usize = 4_096;
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

/// An answer that ended with its connection, which does not show that it is complete.
#[derive(Clone, Debug)]
struct OpenEnd {
    process: ProcessId,
    parts: SmallVec<[PromptPart; 4]>,
    has_lasted: bool,
    at: Millis,
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
        if self.crashed_at.get(&endpoint).is_some_and(|at| now - at < OPEN_END_MS) {
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
        while self.open_ends.front().is_some_and(|end| now - end.at >= OPEN_END_MS) {
            if let Some(end) = self.open_ends.pop_front() {
                self.record_answer(&end.parts, Reach::Complete, now);
            }
        }
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

    /// Returns when answers with a part were last found to be sound.
    fn proof(&self, part: PromptPart) -> Proof {
        self.proofs.get(&part).copied().unwrap_or(Proof::NONE)
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
