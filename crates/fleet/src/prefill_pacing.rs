//! Spreads the prompts that all gateways send to an engine over time, so that the streams that run
//! there keep their gap objective.
//!
//! An engine prefills prompts between the tokens of its running streams. Several long prompts at
//! the same moment delay every stream on the engine, and each gateway sees only its own. One
//! gateway therefore assigns the send times of an engine's prompts.
//!
//! How many tokens an engine prefills without a long pause depends on its models, its speed and its
//! load. It is not computed but learned: the limit of an engine starts when a gateway reports a
//! pause that was longer than the objective, at a fraction of the prompts that caused it. It grows
//! slowly while no pause is reported, until it no longer matters. An engine without such a report
//! has no limit.
//!
//! Input: prompts that are about to be sent, and pauses. Output: the time after which a prompt may
//! be sent. The state is lost with the gateway that keeps it; the next one learns the limits again.

use std::collections::{HashMap, VecDeque};

use gorsebank_coordination::Timestamp;

use crate::pacer::SendTime;
use crate::quarantine::IncarnationHash;

/// Fraction of the prompt tokens that caused a long pause to which the limit of the engine is set.
const CUT_FRACTION: f64 = 0.8;
/// Relative growth of a limit per second without a long pause.
const GROWTH_PER_SECOND: f64 = 0.04;
/// Multiple of the last cut limit at which a limit is dropped.
const DROP_FACTOR: f64 = 2.0;
/// Fraction of the limit that must have been sent for a pause to lower it. With fewer prompts, the
/// pause has another cause.
const LOADED_FRACTION: f64 = 0.75;
/// Lower bound of a limit, in tokens for each gap objective: one usual prompt. A pause with fewer
/// tokens has another cause, such as the load of a model.
const MIN_LIMIT_TOKENS: f64 = 1_500.0;
/// Fraction of the limit that prompts may use that can wait long. The rest is left to prompts
/// whose objective is near.
const PATIENT_FRACTION: f64 = 2.0 / 3.0;
/// Time that a request can wait from which its prompt counts as patient, in gap objectives.
const PATIENT_GAPS: u64 = 4;
/// Gap objectives after a cut in which further reports are ignored, because all streams of an
/// engine pause together.
const CUT_PAUSE_GAPS: u64 = 3;
/// Gap objectives for which prompts are remembered. Within this time a pause is reported.
const MEMORY_GAPS: u64 = 8;
/// Upper bound of a gap objective, in milliseconds.
const MAX_GAP_MS: u64 = 10_000;
/// Upper bound of the time that a prompt waits, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Time without prompts after which an engine is forgotten, in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// Minimum time between two searches for forgotten engines, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 10_000;

/// A prompt that is about to be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptSend {
    /// The engine.
    pub engine: IncarnationHash,
    /// Tokens that the engine has to prefill.
    pub tokens: u32,
    /// Gap objective of the streams, in milliseconds.
    pub gap_ms: u64,
    /// Time that the request can wait, in milliseconds.
    pub max_wait_ms: u64,
    /// Whether the prompt can go to another engine, so that it is not scheduled if it has to wait.
    pub has_alternative: bool,
}

impl PromptSend {
    /// The prompt with times that no message can make arbitrarily long.
    fn clamped(self) -> Self {
        PromptSend {
            gap_ms: self.gap_ms.clamp(1, MAX_GAP_MS),
            max_wait_ms: self.max_wait_ms.min(MAX_WAIT_MS),
            ..self
        }
    }
}

/// A pause in a stream that was longer than the gap objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LongPause {
    /// The engine.
    pub engine: IncarnationHash,
    /// Duration of the pause, which has just ended, in milliseconds.
    pub pause_ms: u64,
    /// Gap objective of the stream, in milliseconds.
    pub gap_ms: u64,
}

/// A limit on the prompts of one engine.
#[derive(Clone, Copy, Debug)]
struct PromptLimit {
    /// Tokens within one gap objective, at `set`.
    tokens: f64,
    set: Timestamp,
}

impl PromptLimit {
    fn growth(&self, now: Timestamp) -> f64 {
        1.0 + GROWTH_PER_SECOND * now.since(self.set) as f64 / 1_000.0
    }
}

/// One prompt with its assigned send time.
#[derive(Clone, Copy, Debug)]
struct ScheduledPrompt {
    at: Timestamp,
    tokens: u32,
}

/// The prompts of one engine.
#[derive(Debug, Default)]
struct EnginePrompts {
    /// Ordered by send time.
    scheduled: VecDeque<ScheduledPrompt>,
    limit: Option<PromptLimit>,
}

impl EnginePrompts {
    fn expire(&mut self, now: Timestamp, gap_ms: u64) {
        let oldest = now - MEMORY_GAPS * gap_ms;
        while self.scheduled.front().is_some_and(|it| it.at < oldest) {
            self.scheduled.pop_front();
        }
    }

    /// The limit in tokens within one gap objective; `None` if there is none.
    fn limit_at(&mut self, now: Timestamp) -> Option<f64> {
        let growth = self.limit?.growth(now);
        if growth >= DROP_FACTOR {
            self.limit = None;
        }
        self.limit.map(|limit| limit.tokens * growth)
    }

    /// Tokens sent after `from` and until `until`.
    fn tokens_between(&self, from: Timestamp, until: Timestamp) -> f64 {
        let within = self.scheduled.iter();
        let within = within.filter(|it| it.at > from && it.at <= until);
        within.map(|it| f64::from(it.tokens)).sum()
    }

    /// Whether a prompt may be sent at `at` so that no span of one gap objective exceeds `limit`. A
    /// prompt that is larger than the limit is sent alone.
    fn fits(&self, at: Timestamp, prompt: &PromptSend, limit: f64) -> bool {
        let later = self.scheduled.iter().map(|it| it.at);
        let later = later.filter(|end| *end > at && *end < at + prompt.gap_ms);
        let mut span_ends = later.chain([at]);
        span_ends.all(|end| {
            let others = self.tokens_between(end - prompt.gap_ms, end);
            others == 0.0 || others + f64::from(prompt.tokens) <= limit
        })
    }

    /// The first time at which the prompt may be sent, at most the end of its wait.
    fn first_send_time(&self, now: Timestamp, prompt: &PromptSend, limit: f64) -> Timestamp {
        let ends = self.scheduled.iter().map(|it| it.at + prompt.gap_ms);
        let latest = now + prompt.max_wait_ms;
        let candidates = ends.filter(|end| *end > now && *end < latest);
        let candidates = std::iter::once(now).chain(candidates);
        let mut fitting = candidates.filter(|at| self.fits(*at, prompt, limit));
        fitting.next().unwrap_or(latest)
    }

    fn insert(&mut self, at: Timestamp, tokens: u32) {
        let index = self.scheduled.partition_point(|it| it.at <= at);
        self.scheduled.insert(index, ScheduledPrompt { at, tokens });
    }
}

/// Prompts of the engines for which this gateway assigns send times.
#[derive(Debug, Default)]
pub struct PrefillPacer {
    engines: HashMap<IncarnationHash, EnginePrompts>,
    swept: Timestamp,
}

impl PrefillPacer {
    /// Assigns a send time to a prompt, the time to wait in milliseconds. A prompt that would have
    /// to wait longer than its request can is sent at the end of that time: a late response is
    /// better than none. A prompt that has to wait and has an alternative is not scheduled.
    pub fn assign(&mut self, now: Timestamp, prompt: &PromptSend) -> SendTime {
        self.sweep(now);
        let prompt = &prompt.clamped();
        let engine = self.engines.entry(prompt.engine).or_default();
        engine.expire(now, prompt.gap_ms);
        let wait = match engine.limit_at(now) {
            None => 0,
            Some(limit) => {
                let is_patient = prompt.max_wait_ms > PATIENT_GAPS * prompt.gap_ms;
                let fraction = if is_patient { PATIENT_FRACTION } else { 1.0 };
                let at = engine.first_send_time(now, prompt, limit * fraction);
                at.since(now)
            }
        };
        if wait > 0 && prompt.has_alternative {
            return SendTime::Later(wait);
        }
        engine.insert(now + wait, prompt.tokens);
        SendTime::In(wait)
    }

    /// Lowers the limit of an engine after a long pause. Returns the new limit in tokens within one
    /// gap objective; `None` if the pause is ignored.
    pub fn record_pause(&mut self, now: Timestamp, pause: &LongPause) -> Option<f64> {
        let pause = &LongPause {
            pause_ms: pause.pause_ms.min(MAX_GAP_MS),
            gap_ms: pause.gap_ms.clamp(1, MAX_GAP_MS),
            ..*pause
        };
        let engine = self.engines.get_mut(&pause.engine)?;
        let limit = engine.limit_at(now);
        let last_cut = engine.limit.map(|limit| limit.set);
        if last_cut.is_some_and(|cut| now.since(cut) < CUT_PAUSE_GAPS * pause.gap_ms) {
            return None;
        }
        // The engine may have begun the pause with prompts that were sent shortly before.
        let span_ms = pause.pause_ms + pause.gap_ms / 2;
        let tokens = engine.tokens_between(now - span_ms, now);
        let sent = tokens * pause.gap_ms as f64 / span_ms as f64;
        let min_sent = limit.map_or(0.0, |limit| LOADED_FRACTION * limit);
        if sent < min_sent.max(MIN_LIMIT_TOKENS) {
            return None;
        }
        let cut =
            (CUT_FRACTION * limit.map_or(sent, |limit| limit.min(sent))).max(MIN_LIMIT_TOKENS);
        engine.limit = Some(PromptLimit {
            tokens: cut,
            set: now,
        });
        Some(cut)
    }

    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept) < SWEEP_INTERVAL_MS {
            return;
        }
        self.swept = now;
        let oldest = now - RETENTION_MS;
        self.engines.retain(|_, engine| {
            engine
                .scheduled
                .back()
                .is_some_and(|last| last.at >= oldest)
        });
    }
}
