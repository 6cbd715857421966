//! A fake model engine in virtual time, with continuous batching and a prefix cache of limited
//! size. It serves requests in order of arrival, without priorities.

use std::collections::{BTreeMap, HashMap, VecDeque};

use baobabvane_decide::{Millis, PrefixBlocks};

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSpec {
    /// Factor on the time of each step; at 1 the engine prefills at most 10,000 tokens a second.
    pub(crate) slowness: f64,
    /// Most requests that run at the same time.
    pub(crate) max_batch: usize,
    /// Capacity of the prefix cache, in blocks.
    pub(crate) cache_blocks: usize,
    pub(crate) timing: StepTiming,
}

/// Parts of the time of a step, before the factor on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepTiming {
    pub(crate) base_ms: Millis,
    pub(crate) prefill_ms_per_token: Millis,
    pub(crate) decode_ms_per_sequence: Millis,
    /// Most prompt tokens that one step prefills, over all running requests.
    pub(crate) prefill_chunk_tokens: u32,
}

impl Default for StepTiming {
    fn default() -> Self {
        Self {
            base_ms: 15.0,
            prefill_ms_per_token: 0.1,
            decode_ms_per_sequence: 0.3,
            prefill_chunk_tokens: 512,
        }
    }
}

/// A request as the engine sees it.
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
    decoded_tokens: u32,
    has_first_token: bool,
}

/// Result of a step; requests are given by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepResult {
    pub(crate) first_tokens: Vec<usize>,
    pub(crate) finished: Vec<usize>,
    pub(crate) stored: Vec<PrefixBlocks>,
    pub(crate) dropped: Vec<u64>,
    /// Prompt tokens that the step prefilled, by request.
    pub(crate) prefilled: Vec<(usize, u32)>,
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    /// Factor by which a fault slows the engine down; 1 without a fault.
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

    /// Stops the engine and empties its cache; returns the requests that it loses.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        self.is_alive = false;
        self.cache = Cache { capacity: self.spec.cache_blocks, ..Cache::default() };
        let running = self.running.drain(..).map(|r| r.sequence.id);
        let lost: Vec<usize> = running.chain(self.waiting.drain(..).map(|s| s.id)).collect();
        lost
    }

    /// Starts a step; returns its duration and result, or `None` if no request is waiting or
    /// running.
    pub(crate) fn begin_step(&mut self) -> Option<(Millis, StepResult)> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut result = StepResult::default();
        let prefilled = self.prefill(&mut result);
        let decoded = self.decode(&mut result);
        let timing = self.spec.timing;
        let ms = timing.base_ms
            + f64::from(prefilled) * timing.prefill_ms_per_token
            + f64::from(decoded) * timing.decode_ms_per_sequence;
        Some((ms * self.spec.slowness * self.slowdown, result))
    }

    /// Moves waiting requests into the batch while it has room.
    fn admit(&mut self) {
        while self.running.len() < self.spec.max_batch {
            let Some(sequence) = self.waiting.pop_front() else { return };
            let cached = self.cache.cached_prefix_blocks(&sequence.prefix) * self.block_tokens;
            let unread_tokens = sequence.prompt_tokens.saturating_sub(cached).max(1);
            self.running.push(RunningSequence {
                sequence,
                unread_tokens,
                decoded_tokens: 0,
                has_first_token: false,
            });
        }
    }

    /// Prefills prompts up to the chunk size; returns the number of prefilled tokens.
    fn prefill(&mut self, result: &mut StepResult) -> u32 {
        let chunk_tokens = self.spec.timing.prefill_chunk_tokens;
        let mut budget = chunk_tokens;
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
        chunk_tokens - budget
    }

    /// Decodes one token for each request whose prompt is prefilled; returns the number of tokens.
    fn decode(&mut self, result: &mut StepResult) -> u32 {
        let mut decoded = 0;
        for running in self.running.iter_mut().filter(|r| r.unread_tokens == 0) {
            running.decoded_tokens += 1;
            decoded += 1;
            if !running.has_first_token {
                running.has_first_token = true;
                result.first_tokens.push(running.sequence.id);
            }
            if running.decoded_tokens >= running.sequence.answer_tokens {
                result.finished.push(running.sequence.id);
            }
        }
        self.running.retain(|r| r.decoded_tokens < r.sequence.answer_tokens);
        decoded
    }
}

/// A block cache with least-recently-used eviction.
#[derive(Debug, Default)]
struct Cache {
    capacity: usize,
    clock: u64,
    last_use_by_block: HashMap<u64, u64>,
    block_by_last_use: BTreeMap<u64, u64>,
}

impl Cache {
    fn cached_prefix_blocks(&self, prefix: &[u64]) -> u32 {
        prefix.iter().take_while(|b| self.last_use_by_block.contains_key(b)).count() as u32
    }

    /// Stores the blocks of a prefix; returns the blocks that were evicted.
    fn store(&mut self, prefix: &[u64]) -> Vec<u64> {
        if self.capacity == 0 {
            return Vec::new();
        }
        for &block in prefix.iter().rev() {
            self.clock += 1;
            if let Some(previous_use) = self.last_use_by_block.insert(block, self.clock) {
                self.block_by_last_use.remove(&previous_use);
            }
            self.block_by_last_use.insert(self.clock, block);
        }
        let mut dropped = Vec::new();
        while self.last_use_by_block.len() > self.capacity {
            let Some((_, block)) = self.block_by_last_use.pop_first() else { break };
            self.last_use_by_block.remove(&block);
            dropped.push(block);
        }
        dropped
    }
}
