//! Predicts which prompt blocks the prefix cache of each endpoint holds.
//!
//! Cache events arrive late and incompletely. The index therefore follows an LRU
//! model of the prompts sent to each endpoint, bounded by the size of its cache,
//! and cache events correct it. A wrong entry costs a repeated prefill, but never
//! a wrong answer.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::event::EndpointKey;

/// The predicted cache contents of all endpoints of a pool.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    /// The number of blocks of all caches together, at most.
    max_blocks: usize,
    holders: FxHashMap<u64, SmallVec<[EndpointKey; 2]>>,
    caches: FxHashMap<EndpointKey, Cache>,
    uses: BlockUseCounts,
}

/// Recent use counts of blocks, including blocks that no endpoint holds any more.
#[derive(Debug, Default)]
struct BlockUseCounts {
    counts: FxHashMap<u64, f32>,
}

/// Number of counted blocks above which all counts are halved.
const MAX_COUNTED_BLOCKS: usize = 100_000;
/// Counts below this are removed when the counts are halved.
const MIN_COUNT: f32 = 0.6;
/// Number of least recently used blocks that are sampled to estimate the cost of an eviction.
const MAX_SAMPLED_BLOCKS: usize = 4;

impl BlockUseCounts {
    fn record(&mut self, block: u64) {
        *self.counts.entry(block).or_default() += 1.0;
        if self.counts.len() > MAX_COUNTED_BLOCKS {
            self.counts.retain(|_, count| {
                *count /= 2.0;
                *count >= MIN_COUNT
            });
        }
    }

    /// Estimates the probability, 0 to 1, that a block is used again before its eviction.
    fn reuse(&self, block: u64) -> f64 {
        let earlier = self.counts.get(&block).map_or(0.0, |count| f64::from(*count) - 1.0);
        earlier.max(0.0) / (earlier.max(0.0) + 1.0)
    }
}

/// The blocks of one endpoint in least-recently-used order.
#[derive(Debug, Default)]
struct Cache {
    capacity: usize,
    last_use: FxHashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_clock: u64,
    /// First block of each prompt in prefill, one entry for each request.
    prefilling: SmallVec<[u64; 4]>,
}

impl Cache {
    /// Makes a block the most recently used one and returns whether it is new.
    fn touch(&mut self, block: u64) -> bool {
        self.use_clock += 1;
        let old = self.last_use.insert(block, self.use_clock);
        if let Some(old) = old {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.use_clock, block);
        old.is_none()
    }

    fn remove(&mut self, block: u64) -> bool {
        let Some(at) = self.last_use.remove(&block) else { return false };
        self.by_last_use.remove(&at);
        true
    }

    fn pop_over(&mut self, capacity: usize) -> Option<u64> {
        if self.last_use.len() <= capacity {
            return None;
        }
        let (_, block) = self.by_last_use.pop_first()?;
        self.last_use.remove(&block);
        Some(block)
    }
}

/// An endpoint expected to hold the first blocks of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Holder {
    pub(crate) endpoint: EndpointKey,
    pub(crate) blocks: u32,
    /// Whether a prompt with the same first block is still in prefill there.
    pub(crate) is_prefilling: bool,
}

impl PrefixIndex {
    pub(crate) fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            holders: FxHashMap::default(),
            caches: FxHashMap::default(),
            uses: BlockUseCounts::default(),
        }
    }

    /// Sets the cache size of an endpoint, in blocks.
    pub(crate) fn set_capacity(&mut self, endpoint: EndpointKey, blocks: u32) {
        self.caches.entry(endpoint).or_default().capacity = blocks as usize;
    }

    /// Records that an endpoint caches these blocks.
    ///
    /// The last block is touched first, so that the start of a prefix, which
    /// more prompts share, is evicted last.
    pub(crate) fn store(&mut self, endpoint: EndpointKey, blocks: &[u64]) {
        let max_blocks = self.max_blocks / self.caches.len().max(1);
        let Some(cache) = self.caches.get_mut(&endpoint) else { return };
        let capacity = cache.capacity.min(max_blocks);
        if capacity == 0 {
            return;
        }
        for &block in blocks.iter().take(capacity).rev() {
            self.uses.record(block);
            if cache.touch(block) {
                self.holders.entry(block).or_default().push(endpoint);
            }
        }
        while let Some(block) = cache.pop_over(capacity) {
            remove_holder(&mut self.holders, block, endpoint);
        }
    }

    /// Records that the prefill of a prompt has begun at an endpoint.
    pub(crate) fn begin_prefill(&mut self, endpoint: EndpointKey, first_block: u64) {
        if let Some(cache) = self.caches.get_mut(&endpoint) {
            cache.prefilling.push(first_block);
        }
    }

    /// Records that the prefill of a prompt has ended or was abandoned.
    pub(crate) fn end_prefill(&mut self, endpoint: EndpointKey, first_block: u64) {
        let Some(cache) = self.caches.get_mut(&endpoint) else { return };
        if let Some(at) = cache.prefilling.iter().position(|b| *b == first_block) {
            cache.prefilling.swap_remove(at);
        }
    }

    /// Removes blocks that an endpoint has evicted.
    pub(crate) fn remove_blocks(&mut self, endpoint: EndpointKey, blocks: &[u64]) {
        let Some(cache) = self.caches.get_mut(&endpoint) else { return };
        for &block in blocks {
            if cache.remove(block) {
                remove_holder(&mut self.holders, block, endpoint);
            }
        }
    }

    pub(crate) fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        let Some(cache) = self.caches.remove(&endpoint) else { return };
        for block in cache.last_use.into_keys() {
            remove_holder(&mut self.holders, block, endpoint);
        }
    }

    /// Estimates how many of the blocks that an endpoint has to evict for `new` blocks will be
    /// used again.
    pub(crate) fn expected_reuse_loss(&self, endpoint: EndpointKey, new: u32) -> f64 {
        let Some(cache) = self.caches.get(&endpoint) else { return 0.0 };
        let evicted = (cache.last_use.len() + new as usize).saturating_sub(cache.capacity);
        if evicted == 0 || cache.capacity == 0 {
            return 0.0;
        }
        let stride = evicted.div_ceil(MAX_SAMPLED_BLOCKS).max(1);
        let sampled = cache.by_last_use.values().take(evicted).step_by(stride);
        let (sum, count) = sampled
            .fold((0.0, 0.0), |(sum, count), block| (sum + self.uses.reuse(*block), count + 1.0));
        if count == 0.0 { 0.0 } else { sum / count * evicted as f64 }
    }

    /// Returns the endpoints that hold at least the first block of a prompt.
    pub(crate) fn holders(&self, prefix: &[u64]) -> SmallVec<[Holder; 8]> {
        let mut found = SmallVec::new();
        let Some(first) = prefix.first().and_then(|b| self.holders.get(b)) else { return found };
        for &endpoint in first {
            let is_prefilling =
                self.caches.get(&endpoint).is_some_and(|c| c.prefilling.contains(&prefix[0]));
            found.push(Holder {
                endpoint,
                blocks: self.held_prefix_blocks(endpoint, prefix),
                is_prefilling,
            });
        }
        found
    }

    fn held_prefix_blocks(&self, endpoint: EndpointKey, prefix: &[u64]) -> u32 {
        let Some(cache) = self.caches.get(&endpoint) else { return 0 };
        prefix.iter().take_while(|b| cache.last_use.contains_key(b)).count() as u32
    }
}

fn remove_holder(
    holders: &mut FxHashMap<u64, SmallVec<[EndpointKey; 2]>>,
    block: u64,
    endpoint: EndpointKey,
) {
    let Some(list) = holders.get_mut(&block) else { return };
    list.retain(|e| *e != endpoint);
    if list.is_empty() {
        holders.remove(&block);
    }
}

#[cfg(test)]
mod tests {
    use slotmap::SlotMap;

    use super::*;

    const MAX_BLOCKS: usize = 64;

    /// Guards against an index that grows with what is stated of prompts and caches.
    #[test]
    fn all_caches_together_stay_within_the_bound() {
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let mut index = PrefixIndex::new(MAX_BLOCKS);
        let endpoints = [(); 4].map(|()| keys.insert(()));
        for endpoint in endpoints {
            index.set_capacity(endpoint, u32::MAX);
        }
        for round in 0..8 {
            for (endpoint, first) in endpoints.into_iter().zip((0..).step_by(1_000)) {
                let first = first + round * 100_000;
                let blocks: Vec<u64> = (first..first + 500).collect();
                index.store(endpoint, &blocks);
                assert_eq!(index.holders(&blocks)[0].blocks, 16);
            }
            let held: usize = index.caches.values().map(|cache| cache.last_use.len()).sum();
            assert!(held <= MAX_BLOCKS && index.holders.len() <= MAX_BLOCKS, "{held}");
        }
    }

    #[test]
    fn a_full_cache_evicts_the_end_of_the_oldest_prefix_first() {
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let endpoint = keys.insert(());
        let mut index = PrefixIndex::new(MAX_BLOCKS);
        index.set_capacity(endpoint, 4);
        index.store(endpoint, &[1, 2, 3]);
        index.store(endpoint, &[11, 12]);
        assert_eq!(index.holders(&[1, 2, 3])[0].blocks, 2);
        assert_eq!(index.holders(&[11, 12])[0].blocks, 2);
        index.remove_blocks(endpoint, &[1]);
        assert!(index.holders(&[1, 2]).is_empty());
    }
}
