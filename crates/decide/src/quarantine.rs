//! Finds the prompt part that crashes endpoints, and blocks the requests that contain it.
//!
//! A faulty prompt part ends each endpoint that begins to answer a request with it. When an
//! endpoint's connection breaks, each request whose answer had not begun there is a suspect, with
//! all parts of its prompt that other requests share. A part whose answer begins is sound. No
//! instance sees all crashes, so instances exchange their [`Evidence`] and reach the same verdict.
//! See [quarantine](../../../docs/decisions.md#quarantine).

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Millis, PromptPart};

/// How long evidence counts after the last crash, and so how long a part stays blocked.
///
/// Each end of a block costs endpoints, until the part is blocked again.
const EVIDENCE_LIFETIME_MS: Millis = 600_000.0;
/// Crashes after which a part is blocked if no answer with it ever began, as far as is known.
const CRASHES_TO_BLOCK: usize = 3;
/// Crashes after which a part is blocked if an answer with it began before the first of them.
const CRASHES_TO_BLOCK_PROVEN: usize = 5;
/// Crashes within this time count as one: a prompt ends one endpoint at a time, while a loss of
/// power ends many at once.
const SIMULTANEOUS_MS: Millis = 50.0;
/// The number of parts whose last answer is remembered; the oldest are forgotten.
const MAX_REMEMBERED_PARTS: usize = 8_192;
/// The number of suspect parts; those with the oldest evidence are forgotten.
const MAX_SUSPECTS: usize = 64;
/// The number of crashes that are remembered of one part, more than a burst has before all
/// instances block the part; later ones are ignored.
const MAX_CRASHES_PER_PART: usize = 64;
/// The number of endpoints that are remembered to work.
const MAX_REMEMBERED_ENDPOINTS: usize = 4_096;
/// The number of parts in one [`Quarantine::report`].
const MAX_REPORTED_PARTS: usize = 8;
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
    /// The time since an answer to a request with this part began, if one did.
    pub answered_age_ms: Option<u32>,
    /// The endpoints that crashed before such an answer began, and the time since then.
    pub crashes: SmallVec<[(ProcessId, u32); 4]>,
}

/// How likely a part has caused crashes.
#[derive(Clone, Copy, Debug)]
struct Likelihood {
    crashes: usize,
    crashes_to_block: usize,
    answered_at: Option<Millis>,
}

impl Likelihood {
    /// A part with enough crashes goes first, then one whose answers never began, then the one
    /// with more crashes, then the one that was answered longer ago.
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let is_enough = |l: &Self| l.crashes >= l.crashes_to_block;
        let answered_at = |l: &Self| l.answered_at.unwrap_or(Millis::NEG_INFINITY);
        is_enough(self)
            .cmp(&is_enough(other))
            .then(other.answered_at.is_some().cmp(&self.answered_at.is_some()))
            .then(self.crashes.cmp(&other.crashes))
            .then(answered_at(other).total_cmp(&answered_at(self)))
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
    /// The time since an answer to a request with this part last began, if one did, in milliseconds.
    pub answered_age_ms: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// The endpoints that crashed with a request of this part, and when.
    crashes: Vec<(ProcessId, Millis)>,
    changed_at: Millis,
}

impl Suspect {
    fn newest_crash_at(&self) -> Millis {
        self.crashes.iter().fold(Millis::NEG_INFINITY, |newest, (_, at)| newest.max(*at))
    }
}

/// One or more parts that explain the same crashes equally well.
#[derive(Clone, Debug, PartialEq)]
struct Verdict {
    /// All of the parts that cannot be told apart: a request that contains only some of them may
    /// be sent, as its outcome tells which of them it is.
    parts: SmallVec<[PromptPart; 2]>,
    crashes: usize,
    /// The number of crashes from which on the parts are blocked.
    crashes_to_block: usize,
}

impl Verdict {
    fn applies_to(&self, parts: &[PromptPart]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    fn is_blocked(&self) -> bool {
        self.crashes >= self.crashes_to_block
    }

    /// Returns whether one more crash would block the parts.
    fn is_nearly_blocked(&self) -> bool {
        self.crashes + 1 >= self.crashes_to_block
    }
}

/// The evidence of all instances, as far as it is known here, and the verdicts.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// When an answer to a request with the part last began.
    answered_at: FxHashMap<PromptPart, Millis>,
    suspects: FxHashMap<PromptPart, Suspect>,
    /// When the newest request was sent whose answer the endpoint has begun.
    working_at: FxHashMap<ProcessId, Millis>,
    /// The parts that explain the crashes, the likeliest first.
    verdicts: Vec<Verdict>,
    /// The parts that were blocked before this instance began, and until when.
    restored: FxHashMap<PromptPart, Millis>,
    /// Counts reports, to select the suspect whose turn it is.
    report_count: usize,
}

impl Quarantine {
    /// Records that the answer to a request with these parts began. The request had been sent to
    /// `endpoint` at `sent_at`.
    ///
    /// Returns the parts that were suspect until now.
    pub fn record_answer(
        &mut self,
        endpoint: ProcessId,
        sent_at: Millis,
        parts: &[PromptPart],
        now: Millis,
    ) -> SmallVec<[PromptPart; 2]> {
        let has_worked = self.add_proof_of_work(endpoint, sent_at, now);
        let cleared: SmallVec<[PromptPart; 2]> =
            parts.iter().copied().filter(|part| self.add_answer(*part, now, now)).collect();
        forget_oldest(&mut self.answered_at, MAX_REMEMBERED_PARTS);
        if has_worked || !cleared.is_empty() {
            self.judge(now);
        }
        cleared
    }

    /// Records that the connection to `endpoint` broke before the answer to a request with these
    /// parts began.
    pub fn record_crash(&mut self, endpoint: ProcessId, parts: &[PromptPart], now: Millis) {
        let mut has_changed = false;
        for part in parts {
            has_changed |= self.add_crash(*part, endpoint, now, now);
        }
        if has_changed {
            self.judge(now);
        }
    }

    /// Adds the evidence of another instance.
    pub fn merge(&mut self, report: &CrashReport, now: Millis) {
        let mut has_changed = false;
        for e in &report.evidence {
            for (process, age_ms) in &e.crashes {
                let at = now - Millis::from(*age_ms);
                has_changed |= self.add_crash(e.part, *process, at, now);
            }
            if let Some(age_ms) = e.answered_age_ms {
                let at = now - Millis::from(age_ms);
                if is_later(at, self.answered_at.get(&e.part)) {
                    has_changed |= self.add_answer(e.part, at, now);
                }
            }
        }
        for (process, age_ms) in &report.working {
            let sent_at = now - Millis::from(*age_ms);
            if is_later(sent_at, self.working_at.get(process)) {
                has_changed |= self.add_proof_of_work(*process, sent_at, now);
            }
        }
        if has_changed {
            self.judge(now);
        }
    }

    /// Blocks a part that was blocked before this instance began.
    pub fn restore(&mut self, part: PromptPart, remaining_ms: Millis, now: Millis) {
        self.restored.insert(part, now + remaining_ms.min(EVIDENCE_LIFETIME_MS));
    }

    /// Returns the blocks that an instance that begins to run should know; parts that are blocked
    /// only together are left out.
    pub fn lasting_blocks(&self, now: Millis) -> Vec<Block> {
        let single = self.verdicts.iter().filter(|v| v.is_blocked() && v.parts.len() == 1);
        single
            .filter_map(|verdict| self.block(verdict, now))
            .filter(|block| EVIDENCE_LIFETIME_MS - block.remaining_ms >= LASTING_BLOCK_MS)
            .collect()
    }

    /// Returns why a request with these parts must not be sent, or `None` if it may.
    pub fn blocked(&self, parts: &[PromptPart], is_retry: bool, now: Millis) -> Option<Block> {
        let verdict = self.verdicts.iter().find(|verdict| {
            let stops_retry = is_retry && verdict.is_nearly_blocked();
            (verdict.is_blocked() || stops_retry) && verdict.applies_to(parts)
        });
        let by_verdict = verdict.and_then(|verdict| self.block(verdict, now));
        by_verdict.or_else(|| parts.iter().find_map(|part| self.restored_block(*part, now)))
    }

    fn block(&self, verdict: &Verdict, now: Millis) -> Option<Block> {
        let part = verdict.parts[0];
        let newest = self.suspects.get(&part)?.newest_crash_at();
        let remaining_ms = newest + EVIDENCE_LIFETIME_MS - now;
        let crashes = verdict.crashes;
        (remaining_ms > 0.0).then_some(Block { part, crashes, remaining_ms })
    }

    fn restored_block(&self, part: PromptPart, now: Millis) -> Option<Block> {
        let remaining_ms = self.restored.get(&part)? - now;
        (remaining_ms > 0.0).then_some(Block { part, crashes: 0, remaining_ms })
    }

    /// Returns what is known of a part, for logs.
    pub fn record_of(&self, part: PromptPart, now: Millis) -> PartRecord {
        PartRecord {
            crashes: self.suspects.get(&part).map_or(0, |suspect| suspect.crashes.len()),
            answered_age_ms: self.answered_at.get(&part).map(|at| now - at),
        }
    }

    /// Returns the parts that are blocked, alone or together with others.
    pub fn blocked_parts(&self) -> impl Iterator<Item = PromptPart> {
        let blocked = self.verdicts.iter().filter(|verdict| verdict.is_blocked());
        blocked.flat_map(|verdict| verdict.parts.iter().copied())
    }

    /// Returns evidence for the other instances: what changed lately and, in rotation, the rest.
    pub fn report(&mut self, now: Millis) -> CrashReport {
        if self.suspects.is_empty() {
            return CrashReport::default();
        }
        self.forget_expired(now);
        let mut order: Vec<PromptPart> = self.suspects.keys().copied().collect();
        order.sort_unstable();
        let mut reported: Vec<PromptPart> = order
            .iter()
            .filter(|part| now - self.suspects[*part].changed_at < CHANGE_REPORTED_MS)
            .copied()
            .collect();
        reported
            .sort_by(|a, b| self.suspects[b].changed_at.total_cmp(&self.suspects[a].changed_at));
        reported.truncate(MAX_REPORTED_PARTS - 1);
        self.report_count += 1;
        if let Some(next) = order.get(self.report_count % order.len().max(1))
            && !reported.contains(next)
        {
            reported.push(*next);
        }
        let age = |at: Millis| (now - at).max(0.0) as u32;
        let mut report = CrashReport::default();
        for part in reported {
            let suspect = &self.suspects[&part];
            report.evidence.push(Evidence {
                part,
                answered_age_ms: self.answered_at.get(&part).map(|at| age(*at)),
                crashes: suspect.crashes.iter().map(|(p, at)| (*p, age(*at))).collect(),
            });
            for (process, at) in &suspect.crashes {
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

    /// Records an answer and returns whether it may change a verdict.
    fn add_answer(&mut self, part: PromptPart, at: Millis, now: Millis) -> bool {
        let known = self.answered_at.entry(part).or_insert(Millis::NEG_INFINITY);
        let before = *known;
        *known = before.max(at);
        let Some(suspect) = self.suspects.get_mut(&part) else { return false };
        let newest_crash_at = suspect.newest_crash_at();
        let is_news = at > before && before <= newest_crash_at;
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
        forget_oldest(&mut self.working_at, MAX_REMEMBERED_ENDPOINTS);
        let is_refuted = |(process, at): &(ProcessId, Millis)| {
            *process == endpoint && !is_later(before, Some(at)) && is_later(sent_at, Some(at))
        };
        let mut has_changed = false;
        for suspect in self.suspects.values_mut().filter(|s| s.crashes.iter().any(is_refuted)) {
            suspect.changed_at = now;
            has_changed = true;
        }
        has_changed
    }

    /// Records a crash and returns whether it was not known.
    fn add_crash(&mut self, part: PromptPart, process: ProcessId, at: Millis, now: Millis) -> bool {
        let new = Suspect { crashes: Vec::new(), changed_at: now };
        let suspect = self.suspects.entry(part).or_insert(new);
        let is_known = |(known, known_at): &(ProcessId, Millis)| {
            *known == process && (at - known_at).abs() < SAME_CRASH_MS
        };
        if suspect.crashes.iter().any(is_known) {
            return false;
        }
        // Forgetting an older crash instead would not help: peers report it again, and each
        // report makes it seem a little later.
        if suspect.crashes.len() >= MAX_CRASHES_PER_PART {
            return false;
        }
        suspect.crashes.push((process, at));
        suspect.crashes.sort_by(|a, b| a.1.total_cmp(&b.1));
        suspect.changed_at = now;
        if self.suspects.len() > MAX_SUSPECTS {
            self.forget_one_suspect();
        }
        true
    }

    /// Forgets the suspect with the oldest evidence, a blocked one last.
    fn forget_one_suspect(&mut self) {
        let is_blocked = |part: &PromptPart| self.blocked_parts().any(|blocked| blocked == *part);
        let oldest = self.suspects.iter().min_by(|(a, a_suspect), (b, b_suspect)| {
            let by_age = a_suspect.newest_crash_at().total_cmp(&b_suspect.newest_crash_at());
            is_blocked(a).cmp(&is_blocked(b)).then(by_age)
        });
        if let Some(oldest) = oldest.map(|(part, _)| *part) {
            self.suspects.remove(&oldest);
            self.verdicts.retain(|verdict| !verdict.parts.contains(&oldest));
        }
    }

    fn forget_expired(&mut self, now: Millis) {
        self.suspects.retain(|_, s| now - s.newest_crash_at() < EVIDENCE_LIFETIME_MS);
    }

    /// Blames the fewest parts that explain the crashes.
    ///
    /// A request that crashes endpoints also contains sound parts, and an endpoint's crash breaks
    /// off sound requests. So the likeliest part is blamed first, and the crashes that it explains
    /// no longer count against others.
    fn judge(&mut self, now: Millis) {
        self.forget_expired(now);
        self.verdicts.clear();
        let mut explained: FxHashSet<ProcessId> = FxHashSet::default();
        let mut open: Vec<PromptPart> = self.suspects.keys().copied().collect();
        loop {
            let ranked =
                open.iter().filter_map(|part| Some((self.rank(*part, &explained)?, *part)));
            let ranked: Vec<(Likelihood, PromptPart)> = ranked.collect();
            let likeliest = ranked.iter().map(|(rank, _)| *rank).max_by(Likelihood::compare);
            let Some(likeliest) = likeliest else { return };
            let equal = ranked.iter().filter(|(rank, _)| rank.compare(&likeliest).is_eq());
            let mut parts: SmallVec<[PromptPart; 2]> = equal.map(|(_, part)| *part).collect();
            parts.sort_unstable();
            open.retain(|part| !parts.contains(part));
            for part in &parts {
                explained.extend(self.suspects[part].crashes.iter().map(|(process, _)| *process));
            }
            let Likelihood { crashes, crashes_to_block, .. } = likeliest;
            self.verdicts.push(Verdict { parts, crashes, crashes_to_block });
        }
    }

    /// Returns how likely a part caused the crashes that are not explained yet, or `None` if there
    /// are none.
    fn rank(&self, part: PromptPart, explained: &FxHashSet<ProcessId>) -> Option<Likelihood> {
        let crashes = self.count_crashes(part, explained);
        let answered_at = self.answered_at.get(&part).copied();
        let crashes_to_block = match answered_at {
            Some(_) => CRASHES_TO_BLOCK_PROVEN,
            None => CRASHES_TO_BLOCK,
        };
        (crashes > 0).then_some(Likelihood { crashes, crashes_to_block, answered_at })
    }

    /// Counts the crashes since the part's last answer began that are not explained and whose
    /// endpoint does not work after all.
    fn count_crashes(&self, part: PromptPart, explained: &FxHashSet<ProcessId>) -> usize {
        let answered_at = self.answered_at.get(&part).copied().unwrap_or(Millis::NEG_INFINITY);
        let mut counted_at = Millis::NEG_INFINITY;
        let mut count = 0;
        for (process, at) in &self.suspects[&part].crashes {
            let sent_at = self.working_at.get(process);
            let works = sent_at.is_some_and(|sent_at| is_later(*sent_at, Some(at)));
            if *at <= answered_at || works || explained.contains(process) {
                continue;
            }
            if *at - counted_at >= SIMULTANEOUS_MS {
                counted_at = *at;
                count += 1;
            }
        }
        count
    }
}

/// Returns whether `at` is later than `known` even if both come from reports.
///
/// A time that is passed on grows a little with each heartbeat, so a small difference is no news.
fn is_later(at: Millis, known: Option<&Millis>) -> bool {
    known.is_none_or(|known| at > known + REPORT_TOLERANCE_MS)
}

/// Removes the oldest half of a map that has outgrown `max`.
fn forget_oldest<K: Copy + Eq + std::hash::Hash>(times: &mut FxHashMap<K, Millis>, max: usize) {
    if times.len() <= max {
        return;
    }
    let mut sorted: Vec<Millis> = times.values().copied().collect();
    sorted.sort_by(Millis::total_cmp);
    let median = sorted[sorted.len() / 2];
    times.retain(|_, at| *at > median);
}
