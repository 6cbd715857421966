//! Size and prefix of a prompt, as the headers of a request state them.
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
use http::HeaderMap;
use rustc_hash::FxHasher;

use crate::{
    headers::{self, HeaderNames},
    scheduler::{BLOCK_TOKENS, id_hash},
};

/// Size and prefix of a prompt; zero and empty for a request that states none or whose route is
/// not for streams.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Prompt {
    /// Tokens of the prompt itself.
    pub(crate) tokens: u32,
    /// Most tokens that the answer may have.
    pub(crate) max_answer_tokens: u32,
    /// Expected tokens of the answer; at least 1 if the request has a valid token usage header.
    pub(crate) expected_answer_tokens: u32,
    /// Whether the caller estimated the length of the answer.
    pub(crate) has_length_hint: bool,
    /// Hashes of the prompt's complete blocks; each covers all blocks up to its own.
    pub(crate) prefix_blocks: PrefixBlocks,
    /// The parts that other prompts may have too: all but the last one.
    pub(crate) shared_parts: SharedParts,
}

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
    pub(crate) fn from_headers(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let Some((tokens, max_answer_tokens)) = token_usage(headers, names) else {
            return Self::default();
        };
        let hint = headers::number(headers, &names.length_hint).map(|h| h as u32);
        let expected_answer_tokens =
            hint.unwrap_or(max_answer_tokens).min(max_answer_tokens).max(1);
        let parts = headers::text(headers, &names.prompt_parts).unwrap_or("");
        let has_length_hint = hint.is_some();
        Self {
            tokens,
            max_answer_tokens,
            expected_answer_tokens,
            has_length_hint,
            prefix_blocks: prefix_blocks(parts),
            shared_parts: shared_parts(parts),
        }
    }

    /// Returns the tokens charged to a quota: those of the prompt and the most that the answer may
    /// have; `None` if both are 0.
    pub(crate) fn quota_tokens(&self) -> Option<f64> {
        let total = u64::from(self.tokens) + u64::from(self.max_answer_tokens);
        (total > 0).then_some(total as f64)
    }
}

fn token_usage(headers: &HeaderMap, names: &HeaderNames) -> Option<(u32, u32)> {
    let (tokens, max_answer_tokens) =
        headers::text(headers, &names.token_usage)?.split_once(',')?;
    Some((tokens.trim().parse().ok()?, max_answer_tokens.trim().parse().ok()?))
}

/// Returns the parts that are not the request's own, by the hashes of their ids.
fn shared_parts(parts: &str) -> SharedParts {
    let ids = parts.split(',').filter_map(|part| Some(part.trim().split_once(':')?.0));
    let mut hashes: Vec<PromptPart> = ids.map(|id| PromptPart(id_hash(id))).collect();
    hashes.pop();
    SharedParts(hashes.into())
}

/// Hashes the parts of a prompt, written as `ID:TOKENS`, in blocks of equal size.
///
/// A part that does not fill a block shares it with the next one; an incomplete last block is
/// left out, as are malformed parts.
fn prefix_blocks(parts: &str) -> PrefixBlocks {
    let mut blocks = PrefixBlocks::new();
    let mut hasher = FxHasher::default();
    let mut tokens = 0;
    for part in parts.split(',') {
        let Some((id, len)) = part.trim().split_once(':') else { continue };
        let Ok(len) = len.trim().parse::<u32>() else { continue };
        id.hash(&mut hasher);
        tokens += len;
        let complete_blocks = (tokens / BLOCK_TOKENS) as usize;
        while blocks.len() < complete_blocks {
            blocks.len().hash(&mut hasher);
            blocks.push(hasher.finish());
        }
    }
    blocks
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn prompts_share_the_blocks_of_their_common_prefix() {
        let a = prefix_blocks("5c1e:1024,91bd:512");
        let b = prefix_blocks("5c1e:1024,77aa:512");
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
        assert_eq!(prefix_blocks("").len(), 0);
        assert_eq!(prefix_blocks("5c1e,:,x:y,aa:256").len(), 1);
    }
}
