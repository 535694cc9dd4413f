//! Prompts as chains of parts, and which of them a back end has read.
//!
//! In: the parts that a request names. Out: how many tokens a back end has to
//! read anew. A part is kept only together with every part before it.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, ModelId};

/// Parts that are remembered of one back end.
const MOST_PARTS: usize = 512;
/// A part that was not sent for so long is forgotten first, in milliseconds.
const PART_LIFETIME: u64 = 30_000;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its name; the same text has the same name.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts that other requests may have in common with it, in order.
    pub shared: Vec<PromptPart>,
    /// Tokens that belong to the request itself.
    pub own_tokens: u32,
}

impl Prompt {
    /// A prompt of these parts; the last one belongs to the request itself.
    pub fn new(mut parts: Vec<PromptPart>) -> Self {
        let own = parts.pop();
        Prompt {
            shared: parts,
            own_tokens: own.map_or(0, |part| part.tokens),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    model: ModelId,
    adapter: Option<AdapterId>,
    part: String,
}

/// Parts that a back end was sent, by model and adapter.
#[derive(Debug, Default)]
pub struct KeptParts {
    sent: HashMap<Key, Timestamp>,
}

impl KeptParts {
    /// The back end is sent a prompt.
    pub fn note(
        &mut self,
        now: Timestamp,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        prompt: &Prompt,
    ) {
        for part in &prompt.shared {
            self.sent.insert(key(model, adapter, part), now);
        }
        if self.sent.len() > MOST_PARTS {
            self.sent.retain(|_, sent| now.since(*sent) < PART_LIFETIME);
        }
        if self.sent.len() > MOST_PARTS {
            self.sent.clear();
        }
    }

    /// Tokens of the prompt that the back end has to read anew.
    pub fn fresh_tokens(
        &self,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        prompt: &Prompt,
    ) -> u32 {
        let is_kept = |part: &&PromptPart| self.sent.contains_key(&key(model, adapter, part));
        let kept = prompt.shared.iter().take_while(is_kept).count();
        let unread = prompt.shared.iter().skip(kept);
        unread.map(|part| part.tokens).sum::<u32>() + prompt.own_tokens
    }
}

fn key(model: &ModelId, adapter: Option<&AdapterId>, part: &PromptPart) -> Key {
    Key {
        model: model.clone(),
        adapter: adapter.cloned(),
        part: part.id.clone(),
    }
}
