//! The verdict on prompt parts: which of them explain the crashes.

use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use super::{Crash, ProcessId, Quarantine, is_later};
use crate::{Millis, PromptPart};

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
/// Crashes within this time before the first one of a part may have the same cause.
const BURST_MS: Millis = 1_000.0;
/// The number of verdicts, the likeliest ones.
const MAX_VERDICTS: usize = 32;
/// Crashes within this time count as one: a prompt ends one endpoint at a time, while a loss of
/// power ends many at once.
const SIMULTANEOUS_MS: Millis = 50.0;

/// How likely a part has caused crashes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Likelihood {
    points: u32,
    points_to_block: u32,
    pub(super) crashes: usize,
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

/// One or more parts that explain the same crashes equally well.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    /// All of the parts that cannot be told apart: a request that contains only some of them may
    /// be sent, as its outcome tells which of them it is.
    pub(super) parts: SmallVec<[PromptPart; 2]>,
    pub(super) likelihood: Likelihood,
}

impl Verdict {
    pub(super) fn applies_to(&self, parts: &[PromptPart]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    pub(super) fn is_blocked(&self) -> bool {
        self.likelihood.is_enough()
    }

    /// Returns whether one more crash would block the parts, which a retry may cause.
    pub(super) fn stops_retries(&self) -> bool {
        let Likelihood { points, points_to_block, lasting_at, .. } = self.likelihood;
        lasting_at.is_none() && points + EARLY_CRASH_POINTS >= points_to_block
    }
}

/// The crashes that speak against a part.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashCount {
    /// Those at the same moment count as one.
    crashes: usize,
    pub(super) points: u32,
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

impl Quarantine {
    /// Blames the fewest parts that explain the crashes, if evidence has come since the last time.
    ///
    /// A request that crashes endpoints also contains sound parts, and an endpoint's crash breaks
    /// off sound requests. So the likeliest part is blamed first, and the crashes that it explains
    /// no longer count against others.
    pub(super) fn judge(&mut self, now: Millis) {
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
    pub(super) fn is_refuted_by_work(&self, crash: &Crash) -> bool {
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
                (first_at - BURST_MS..=last_at).contains(at)
                    && !own.contains(process)
                    && !explained.contains(process)
            });
            points_to_block += count_moments(others.map(|(at, _)| *at)) as u32 * LATE_CRASH_POINTS;
        }
        (points > 0).then_some(Likelihood { points, points_to_block, crashes, lasting_at })
    }

    /// Counts the crashes that no answer with the part refutes, that are not explained and whose
    /// endpoint does not work after all.
    pub(super) fn count(&self, part: PromptPart, explained: &FxHashSet<ProcessId>) -> CrashCount {
        let proof = self.proof(part);
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
