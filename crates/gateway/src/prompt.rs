//! Size and prefix of a prompt, as the headers of a request state them.
//!
//! Callers may state any number of tokens. What is kept of a prompt is bounded by the memory of the
//! endpoints, which reject a larger one, and is charged to the memory budget before it is kept; see
//! [prompts](../../../docs/design/memory-budget.md#prompts).
//!
//! Prompts that begin with the same parts have the same hashes for the blocks that these parts
//! fill. The scheduler uses the hashes to choose an endpoint that has the blocks in its prefix
//! cache.

use std::{
    fmt,
    hash::{Hash, Hasher},
    rc::Rc,
};

use baobabvane_decide::{PrefixBlocks, PromptPart};
use baobabvane_wire::{MemoryBudget, MemoryKind, Permit};
use http::HeaderMap;
use rustc_hash::FxHasher;

use crate::{
    configuration::{Engine, MAX_ENGINE_TOKENS},
    headers::{self, HeaderNames},
    scheduler::{BLOCK_TOKENS, id_hash},
};

/// The number of parts of a prompt that are considered; a head of 16 KiB has room for fewer with ids
/// of eight digits.
const MAX_PARTS: usize = 2_048;
/// Copies of the prompt's blocks that exist at once: those of the request and of its placement.
const BLOCK_COPIES: usize = 2;

/// Size and prefix of a prompt; zero and empty for a request that states none or whose route is
/// not for streams.
#[derive(Debug, Default)]
pub(crate) struct Prompt {
    /// Tokens of the prompt itself, at most as many as an endpoint has memory for.
    pub(crate) tokens: u32,
    /// Most tokens that the answer may have, with the same bound.
    pub(crate) max_answer_tokens: u32,
    /// Expected tokens of the answer; at least 1 for a stream.
    pub(crate) expected_answer_tokens: u32,
    /// The tokens of the prompt and the most of the answer, as the request states them; `None` if it
    /// does not.
    stated_tokens: Option<u64>,
    /// Whether the caller estimated the length of the answer.
    pub(crate) has_length_hint: bool,
    /// Hashes of the prompt's complete blocks; each covers all blocks up to its own.
    pub(crate) prefix_blocks: PrefixBlocks,
    /// The parts that other prompts may have too: all but the last one.
    pub(crate) shared_parts: SharedParts,
    /// The memory of the blocks and the shared parts.
    _permit: Option<Permit>,
}

/// There is no memory for what is kept of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoMemoryForPrompt;

/// The parts of a prompt but the last one; written to logs as hexadecimal hashes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SharedParts(pub(crate) Rc<[PromptPart]>);

impl fmt::Display for SharedParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, part) in self.0.iter().enumerate() {
            write!(f, "{}{:08x}", if i > 0 { "," } else { "" }, part.0)?;
        }
        Ok(())
    }
}

impl Prompt {
    /// Reads the headers of a request for a pool whose endpoints are model engines if `engine` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory budget has no room for what is kept of the prompt.
    pub(crate) fn from_headers(
        headers: &HeaderMap,
        names: &HeaderNames,
        engine: Option<Engine>,
        memory: &Rc<MemoryBudget>,
    ) -> Result<Self, NoMemoryForPrompt> {
        let parts = headers::text(headers, &names.prompt_parts).unwrap_or("");
        let hint = headers::count(headers, &names.length_hint);
        let stated = token_usage(headers, names);
        // The parts count even without a token usage: they may crash endpoints or be cached.
        let (tokens, max_answer_tokens) = stated
            .unwrap_or((part_ends(parts).last().map_or(0, |(_, end)| end), hint.unwrap_or(0)));
        let cache_tokens = engine.map_or(0, |e| e.cache_tokens);
        let max_tokens = if cache_tokens > 0 { cache_tokens } else { MAX_ENGINE_TOKENS };
        let bounded = |tokens: u64| tokens.min(u64::from(max_tokens)) as u32;
        let max_answer = bounded(max_answer_tokens);
        let max_blocks = (cache_tokens / BLOCK_TOKENS) as usize;
        let bytes = count_blocks(parts, max_blocks) * size_of::<u64>() * BLOCK_COPIES
            + split_parts(parts).count() * size_of::<PromptPart>();
        let permit = memory.try_reserve(MemoryKind::Callers, bytes).ok_or(NoMemoryForPrompt)?;
        Ok(Self {
            tokens: bounded(tokens),
            max_answer_tokens: max_answer,
            expected_answer_tokens: hint.map_or(max_answer, bounded).min(max_answer).max(1),
            stated_tokens: stated.map(|(tokens, answer)| tokens.saturating_add(answer)),
            has_length_hint: hint.is_some(),
            prefix_blocks: prefix_blocks(parts, max_blocks),
            shared_parts: shared_parts(parts),
            _permit: Some(permit),
        })
    }

    /// Returns the tokens charged to a quota: those of the prompt and the most that the answer may
    /// have; `None` if both are 0.
    pub(crate) fn quota_tokens(&self) -> Option<f64> {
        self.stated_tokens.filter(|tokens| *tokens > 0).map(|tokens| tokens as f64)
    }
}

/// Returns the two numbers of the token usage header; `None` unless both are numbers.
fn token_usage(headers: &HeaderMap, names: &HeaderNames) -> Option<(u64, u64)> {
    let (tokens, max_answer_tokens) =
        headers::text(headers, &names.token_usage)?.split_once(',')?;
    Some((headers::parse_count(tokens.trim())?, headers::parse_count(max_answer_tokens.trim())?))
}

/// Returns the ids and tokens of the parts of a prompt, written as `ID:TOKENS`.
fn split_parts(parts: &str) -> impl Iterator<Item = (&str, &str)> {
    parts.split(',').take(MAX_PARTS).filter_map(|part| part.trim().split_once(':'))
}

/// Returns the parts that are not the request's own, by the hashes of their ids.
fn shared_parts(parts: &str) -> SharedParts {
    let mut hashes: Vec<PromptPart> =
        split_parts(parts).map(|(id, _)| PromptPart(id_hash(id))).collect();
    hashes.pop();
    SharedParts(hashes.into())
}

/// Returns the parts of a prompt that state their tokens, each with the tokens up to its end.
fn part_ends(parts: &str) -> impl Iterator<Item = (&str, u64)> {
    let stated = split_parts(parts)
        .filter_map(|(id, tokens)| Some((id, headers::parse_count(tokens.trim())?)));
    stated.scan(0_u64, |end, (id, tokens)| {
        *end = end.saturating_add(tokens);
        Some((id, *end))
    })
}

/// Returns the number of complete blocks among `tokens`, at most `max_blocks`.
fn complete_blocks(tokens: u64, max_blocks: usize) -> usize {
    (tokens / u64::from(BLOCK_TOKENS)).min(max_blocks as u64) as usize
}

/// Returns the number of blocks that [`prefix_blocks`] returns.
fn count_blocks(parts: &str, max_blocks: usize) -> usize {
    part_ends(parts).last().map_or(0, |(_, end)| complete_blocks(end, max_blocks))
}

/// Hashes the parts of a prompt in blocks of equal size, at most `max_blocks`.
///
/// A part that does not fill a block shares it with the next one; an incomplete last block is
/// left out, as are malformed parts.
fn prefix_blocks(parts: &str, max_blocks: usize) -> PrefixBlocks {
    let mut blocks = PrefixBlocks::with_capacity(count_blocks(parts, max_blocks));
    let mut hasher = FxHasher::default();
    for (id, end) in part_ends(parts) {
        id.hash(&mut hasher);
        while blocks.len() < complete_blocks(end, max_blocks) {
            blocks.len().hash(&mut hasher);
            blocks.push(hasher.finish());
        }
    }
    blocks
}

#[cfg(test)]
mod tests {
    use http::HeaderValue;

    use super::*;

    const MAX_BLOCKS: usize = 64;

    fn prompt(usage: &str, parts: &str, memory_bytes: usize) -> Result<Prompt, NoMemoryForPrompt> {
        let names = HeaderNames::default();
        let mut headers = HeaderMap::new();
        headers.insert(&names.token_usage, HeaderValue::from_str(usage).unwrap());
        headers.insert(&names.prompt_parts, HeaderValue::from_str(parts).unwrap());
        let engine = Engine { cache_tokens: 500_000, tokens_per_event: 6 };
        Prompt::from_headers(&headers, &names, Some(engine), &MemoryBudget::new(memory_bytes))
    }

    #[test]
    fn prompts_share_the_blocks_of_their_common_prefix() {
        let a = prefix_blocks("5c1e:1024,91bd:512", MAX_BLOCKS);
        let b = prefix_blocks("5c1e:1024,77aa:512", MAX_BLOCKS);
        assert_eq!((a.len(), b.len()), (6, 6));
        assert_eq!(a[..4], b[..4]);
        assert_ne!(a[4], b[4]);
        assert_ne!(a[5], b[5]);
    }

    #[test]
    fn last_part_is_the_requests_own() {
        let shared = shared_parts("5c1e:1024, 91bd:512,aa:7");
        assert_eq!(*shared.0, [PromptPart(id_hash("5c1e")), PromptPart(id_hash("91bd"))]);
        assert_eq!(shared_parts("5c1e:1024"), SharedParts::default());
        assert_eq!(shared_parts(""), SharedParts::default());
    }

    #[test]
    fn malformed_parts_are_skipped() {
        assert_eq!(prefix_blocks("", MAX_BLOCKS).len(), 0);
        assert_eq!(prefix_blocks("5c1e,:,x:y,aa:256", MAX_BLOCKS).len(), 1);
    }

    /// Guards against lists that are as long as callers state (LOST, review/6).
    #[test]
    fn blocks_of_any_stated_prompt_fit_an_endpoint() {
        for tokens in ["4000000000", "4294967296", "18446744073709551615", &"9".repeat(300)] {
            let parts = format!("5c1e:60,91bd:{tokens},aa:{tokens}");
            let prompt = prompt(&format!("{tokens},{tokens}"), &parts, 64 << 20).unwrap();
            assert_eq!((prompt.tokens, prompt.max_answer_tokens), (500_000, 500_000), "{tokens}");
            assert_eq!(prompt.prefix_blocks.len(), 500_000 / 256, "{tokens}");
        }
        let many = "a:1,".repeat(10_000);
        assert_eq!(shared_parts(&many).0.len(), MAX_PARTS - 1);
    }

    /// Guards against parts that count only with a token usage (BUDGET, review/7).
    #[test]
    fn parts_count_without_a_token_usage() {
        let names = HeaderNames::default();
        let mut headers = HeaderMap::new();
        headers.insert(&names.prompt_parts, HeaderValue::from_static("5c1e:512,91bd:256,aa:7"));
        let engine = Engine { cache_tokens: 500_000, tokens_per_event: 6 };
        let memory = MemoryBudget::new(64 << 20);
        let prompt = Prompt::from_headers(&headers, &names, Some(engine), &memory).unwrap();
        assert_eq!((prompt.tokens, prompt.prefix_blocks.len()), (775, 3));
        assert_eq!(prompt.shared_parts.0.len(), 2);
        assert_eq!(prompt.quota_tokens(), None);
    }

    /// Guards against lists that no budget counts.
    #[test]
    fn blocks_are_charged_to_the_memory_budget() {
        let parts = "5c1e:400000,aa:7";
        assert!(prompt("400007,80", parts, 64 << 20).is_ok());
        assert_eq!(prompt("400007,80", parts, 1024).unwrap_err(), NoMemoryForPrompt);
        assert!(prompt("80,80", "5c1e:40,aa:40", 1024).is_ok());
    }

    /// Guards against requests that state more than a number holds and are charged as if they stated
    /// nothing.
    #[test]
    fn quota_is_charged_whatever_number_of_tokens_is_stated() {
        let charged = |usage: &str| prompt(usage, "", 64 << 20).unwrap().quota_tokens();
        assert_eq!(charged("600,80"), Some(680.0));
        assert_eq!(charged("5000000000,80"), Some(5_000_000_080.0));
        assert!(charged(&format!("{},80", "9".repeat(30))).is_some_and(|units| units > 1e19));
        assert_eq!((charged("0,0"), charged("many,80"), charged("-5,80")), (None, None, None));
    }
}
