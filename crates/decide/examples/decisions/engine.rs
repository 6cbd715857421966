//! A fake model engine in virtual time: continuous batching, a prefix cache
//! with limited memory, no priorities.

use std::collections::{BTreeMap, HashMap, VecDeque};

use baobabvane_decide::{Millis, PrefixBlocks};

/// Tokens of prompts that one step reads at most.
const PREFILL_CHUNK_TOKENS: u32 = 512;

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSpec {
    /// Larger is slower; 1 reads 10,000 tokens a second.
    pub(crate) slowness: f64,
    /// Requests that are read or written side by side.
    pub(crate) max_batch: usize,
    /// Blocks of prompts that the cache holds.
    pub(crate) cache_blocks: usize,
}

const PREFILL_MS_PER_TOKEN: Millis = 0.1;
const STEP_BASE_MS: Millis = 15.0;
const DECODE_MS_PER_SEQUENCE: Millis = 0.3;

/// A request inside an engine.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) id: usize,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) prefix: PrefixBlocks,
}

#[derive(Debug)]
struct RunningSequence {
    sequence: Sequence,
    unread_tokens: u32,
    written_tokens: u32,
    has_started: bool,
}

/// What a step brought.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepResult {
    pub(crate) first_tokens: Vec<usize>,
    pub(crate) finished: Vec<usize>,
    pub(crate) stored: Vec<PrefixBlocks>,
    pub(crate) dropped: Vec<u64>,
    pub(crate) prefilled: Vec<(usize, u32)>,
}

/// An engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) slowdown: f64,
    pub(crate) is_alive: bool,
    waiting: VecDeque<Sequence>,
    running: Vec<RunningSequence>,
    cache: Cache,
    block_tokens: u32,
    pub(crate) is_stepping: bool,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec, block_tokens: u32) -> Self {
        Self {
            spec,
            slowdown: 1.0,
            is_alive: true,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: Cache { capacity: spec.cache_blocks, ..Cache::default() },
            block_tokens,
            is_stepping: false,
        }
    }

    pub(crate) fn request_count(&self) -> u32 {
        (self.waiting.len() + self.running.len()) as u32
    }

    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    pub(crate) fn cancel(&mut self, id: usize) {
        self.waiting.retain(|s| s.id != id);
        self.running.retain(|r| r.sequence.id != id);
    }

    /// Loses all requests and the cache.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        self.is_alive = false;
        self.cache = Cache { capacity: self.spec.cache_blocks, ..Cache::default() };
        let running = self.running.drain(..).map(|r| r.sequence.id);
        let lost: Vec<usize> = running.chain(self.waiting.drain(..).map(|s| s.id)).collect();
        lost
    }

    /// Begins a step; returns how long it takes, or `None` when there is nothing to do.
    pub(crate) fn begin_step(&mut self) -> Option<(Millis, StepResult)> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut result = StepResult::default();
        let prefilled = self.prefill(&mut result);
        let decoded = self.decode(&mut result);
        let ms = STEP_BASE_MS
            + f64::from(prefilled) * PREFILL_MS_PER_TOKEN
            + f64::from(decoded) * DECODE_MS_PER_SEQUENCE;
        Some((ms * self.spec.slowness * self.slowdown, result))
    }

    fn admit(&mut self) {
        while self.running.len() < self.spec.max_batch {
            let Some(sequence) = self.waiting.pop_front() else { return };
            let cached = self.cache.cached_prefix_blocks(&sequence.prefix) * self.block_tokens;
            let unread_tokens = sequence.prompt_tokens.saturating_sub(cached).max(1);
            self.running.push(RunningSequence {
                sequence,
                unread_tokens,
                written_tokens: 0,
                has_started: false,
            });
        }
    }

    fn prefill(&mut self, result: &mut StepResult) -> u32 {
        let mut budget = PREFILL_CHUNK_TOKENS;
        for running in self.running.iter_mut().filter(|r| r.unread_tokens > 0) {
            let tokens = running.unread_tokens.min(budget);
            running.unread_tokens -= tokens;
            budget -= tokens;
            result.prefilled.push((running.sequence.id, tokens));
            if running.unread_tokens == 0 {
                let dropped = self.cache.store(&running.sequence.prefix);
                result.dropped.extend(dropped);
                result.stored.push(running.sequence.prefix.clone());
            }
            if budget == 0 {
                break;
            }
        }
        PREFILL_CHUNK_TOKENS - budget
    }

    fn decode(&mut self, result: &mut StepResult) -> u32 {
        let mut written = 0;
        for running in self.running.iter_mut().filter(|r| r.unread_tokens == 0) {
            running.written_tokens += 1;
            written += 1;
            if !running.has_started {
                running.has_started = true;
                result.first_tokens.push(running.sequence.id);
            }
            if running.written_tokens >= running.sequence.answer_tokens {
                result.finished.push(running.sequence.id);
            }
        }
        self.running.retain(|r| r.written_tokens < r.sequence.answer_tokens);
        written
    }
}

/// A cache of blocks that drops the least recently used one.
#[derive(Debug, Default)]
struct Cache {
    capacity: usize,
    clock: u64,
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl Cache {
    fn cached_prefix_blocks(&self, prefix: &[u64]) -> u32 {
        prefix.iter().take_while(|b| self.used_at.contains_key(b)).count() as u32
    }

    fn store(&mut self, prefix: &[u64]) -> Vec<u64> {
        if self.capacity == 0 {
            return Vec::new();
        }
        for &block in prefix.iter().rev() {
            self.clock += 1;
            if let Some(previous_use) = self.used_at.insert(block, self.clock) {
                self.by_use.remove(&previous_use);
            }
            self.by_use.insert(self.clock, block);
        }
        let mut dropped = Vec::new();
        while self.used_at.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.used_at.remove(&block);
            dropped.push(block);
        }
        dropped
    }
}
