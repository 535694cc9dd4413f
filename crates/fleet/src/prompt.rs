//! Cached prompt prefixes of a back end.
//!
//! Input: the parts of the prompts that the back end was sent. Output: the number of a prompt's
//! tokens that the back end has not cached. A part is cached only together with all parts before
//! it.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, ModelId};

/// Maximum number of parts that are remembered of one back end.
const MAX_PARTS: usize = 512;
/// Time after which a part that was not sent again is removed if there are too many.
const PART_LIFETIME_MS: u64 = 30_000;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's text: equal texts have equal ids.
    pub id: String,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// A prompt as a sequence of parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts that other requests may share, in order.
    pub shared: Vec<PromptPart>,
    /// Number of tokens that belong to this request only.
    pub own_tokens: u32,
}

impl Prompt {
    /// A prompt of these parts; the last one belongs to this request only.
    pub fn new(mut parts: Vec<PromptPart>) -> Self {
        let own = parts.pop();
        Prompt {
            shared: parts,
            own_tokens: own.map_or(0, |part| part.tokens),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PartKey {
    model: ModelId,
    adapter: Option<AdapterId>,
    part: String,
}

/// Parts that a back end was sent, by model and adapter.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    last_sent: HashMap<PartKey, Timestamp>,
}

impl CachedPrefixes {
    /// Records that the back end is sent a prompt.
    pub fn record(
        &mut self,
        now: Timestamp,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        prompt: &Prompt,
    ) {
        for part in &prompt.shared {
            self.last_sent.insert(part_key(model, adapter, part), now);
        }
        if self.last_sent.len() > MAX_PARTS {
            self.last_sent
                .retain(|_, sent| now.since(*sent) < PART_LIFETIME_MS);
        }
        if self.last_sent.len() > MAX_PARTS {
            self.last_sent.clear();
        }
    }

    /// Number of the prompt's tokens that the back end has not cached.
    pub fn uncached_tokens(
        &self,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        prompt: &Prompt,
    ) -> u32 {
        let is_cached =
            |part: &&PromptPart| self.last_sent.contains_key(&part_key(model, adapter, part));
        let cached = prompt.shared.iter().take_while(is_cached).count();
        let uncached = prompt.shared.iter().skip(cached);
        uncached.map(|part| part.tokens).sum::<u32>() + prompt.own_tokens
    }
}

fn part_key(model: &ModelId, adapter: Option<&AdapterId>, part: &PromptPart) -> PartKey {
    PartKey {
        model: model.clone(),
        adapter: adapter.cloned(),
        part: part.id.clone(),
    }
}
