//! Extracts from a chat request's body what the scheduler needs: the model, the token limits and
//! the hashed prompt prefix.

use baobabvane_decide::PrefixBlocks;
use bytes::Bytes;
use serde_json::Value;

use crate::tasks::scheduler::BLOCK_TOKENS;

/// Estimated bytes of text in one token.
const BYTES_PER_TOKEN: usize = 4;
/// Blocks of a prompt beyond this number are not hashed.
const MAX_HASHED_BLOCKS: usize = 256;

/// A parsed chat request.
#[derive(Debug)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) is_streamed: bool,
    pub(crate) max_tokens: Option<u32>,
    /// Estimate from the length of the messages' text.
    pub(crate) prompt_tokens: u32,
    /// Hashes of the blocks at the start of the prompt.
    pub(crate) prefix: PrefixBlocks,
    json: Value,
}

impl ChatRequest {
    /// Parses a request body; the error message names the invalid part.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
        let json: Value =
            serde_json::from_slice(body).map_err(|e| format!("body is not JSON: {e}"))?;
        let model = match json.get("model") {
            Some(Value::String(model)) => model.clone(),
            _ => return Err("member \"model\" must be a string".to_owned()),
        };
        let Some(Value::Array(messages)) = json.get("messages") else {
            return Err("member \"messages\" must be an array".to_owned());
        };
        let text: Vec<u8> = messages.iter().flat_map(message_text).collect();
        let token_limit =
            |name| json.get(name).and_then(Value::as_u64).map(|n| n.min(u32::MAX.into()));
        Ok(Self {
            model,
            is_streamed: json.get("stream").and_then(Value::as_bool).unwrap_or(false),
            max_tokens: token_limit("max_completion_tokens")
                .or(token_limit("max_tokens"))
                .map(|n| n as u32),
            prompt_tokens: text.len().div_ceil(BYTES_PER_TOKEN) as u32,
            prefix: hash_blocks(&text),
            json,
        })
    }

    /// Returns the body with `model` as its model name; `original` if that is its name already.
    pub(crate) fn body_with_model(mut self, original: Bytes, model: &str) -> Bytes {
        if self.model == model {
            return original;
        }
        self.json["model"] = Value::String(model.to_owned());
        self.json.to_string().into()
    }
}

/// Returns a message's role and content, each followed by a zero byte as a separator.
fn message_text(message: &Value) -> Vec<u8> {
    let mut text = Vec::new();
    for member in ["role", "content"] {
        match message.get(member) {
            Some(Value::String(s)) => text.extend_from_slice(s.as_bytes()),
            Some(other) => text.extend_from_slice(other.to_string().as_bytes()),
            None => {}
        }
        text.push(0);
    }
    text
}

/// Returns one hash per full block, each over the text from the start of the prompt to the end of
/// the block.
fn hash_blocks(text: &[u8]) -> PrefixBlocks {
    let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut hasher = blake3::Hasher::new();
    let mut hash = |block: &[u8]| {
        hasher.update(block);
        let mut first_bytes = [0; 8];
        hasher.finalize_xof().fill(&mut first_bytes);
        u64::from_le_bytes(first_bytes)
    };
    text.chunks_exact(block_bytes).take(MAX_HASHED_BLOCKS).map(&mut hash).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn prompt(text: &str) -> ChatRequest {
        let body = serde_json::json!({
            "model": "m", "messages": [{"role": "user", "content": text}]
        });
        ChatRequest::parse(body.to_string().as_bytes()).unwrap()
    }

    #[test]
    fn prompts_share_the_hashes_of_their_common_blocks() {
        let history = "x".repeat(2500);
        let (a, b) = (
            prompt(&format!("{history}{}", "a".repeat(900))),
            prompt(&format!("{history}{}", "b".repeat(900))),
        );
        assert_eq!(a.prefix.len(), 3);
        assert_eq!(a.prefix[..2], b.prefix[..2]);
        assert_ne!(a.prefix[2], b.prefix[2]);
    }

    #[test]
    fn an_error_names_the_member() {
        let err = ChatRequest::parse(br#"{"model": 4}"#).unwrap_err();
        assert_eq!(err, "member \"model\" must be a string");
    }
}
