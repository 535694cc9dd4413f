//! Paces prompts at engines over all gateways: the owner of an engine assigns the times at which
//! prompts are sent there, and learns from pauses how many prompts the engine bears.
//!
//! ```text
//! prompt for an engine --> owner of the engine, by consistent hashing of the engine
//!                      <-- time after which the prompt may be sent
//! long pause in a stream --> owner, which lowers the engine's limit
//! ```
//!
//! An owner that does not respond delays a prompt by at most the response timeout: the prompt is
//! then sent without a send time, and the owner is not asked again for a while. Gateways that know
//! different members ask different owners for a moment; each keeps its own limit, and a limit that
//! is lost with its owner is learned again.
//!
//! Input: prompts, pauses and requests of other gateways. Output: send times. This module has no
//! access to connections.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::IncarnationHash;
use gorsebank_fleet::{HashRing, LongPause, PrefillPacer, PromptSend, SendTime};
use gorsebank_world::NodeId;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::event_log::{self, LogPriority};
use crate::tenant_quotas::QuotaResponse;

/// Time for which an owner that did not respond is not asked again.
const OWNER_COOLDOWN: Duration = Duration::from_secs(2);

/// Asks the owner of an engine for a send time, or reports a long pause there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// Identifies one incarnation of the engine.
    #[serde(rename = "h")]
    pub engine: IncarnationHash,
    /// Gap objective of the stream, in milliseconds.
    #[serde(rename = "g")]
    pub gap_ms: u64,
    /// Tokens of the prompt that the engine has to prefill; 0 in the report of a pause.
    #[serde(rename = "k", default)]
    pub tokens: u32,
    /// Maximum time that the prompt can wait, in milliseconds.
    #[serde(rename = "w", default)]
    pub max_wait_ms: u64,
    /// Whether the prompt can go to another engine, so that it is not scheduled if it has to wait.
    #[serde(rename = "a", default)]
    pub has_alternative: bool,
    /// Duration of a pause that has just ended, in milliseconds; 0 if there was none.
    #[serde(rename = "p", default)]
    pub pause_ms: u64,
}

/// Owners of engines, and the prompts of the engines that this gateway owns.
#[derive(Debug, Default)]
pub struct PrefillPacing {
    pacer: Mutex<PrefillPacer>,
    owners: Mutex<Owners>,
    /// Owners that did not respond, and when they may be asked again.
    cooldowns: Mutex<HashMap<NodeId, Timestamp>>,
}

/// The gateways that can own engines.
#[derive(Debug, Default)]
struct Owners {
    names: Vec<String>,
    ring: HashRing,
}

impl PrefillPacing {
    /// Sets the gateways that can own engines.
    pub fn set_gateways<'a>(&self, names: impl Iterator<Item = &'a str> + Clone) {
        let mut owners = self.owners.lock();
        if names.clone().eq(owners.names.iter().map(String::as_str)) {
            return;
        }
        *owners = Owners {
            names: names.clone().map(str::to_owned).collect(),
            ring: HashRing::new(names),
        };
    }

    /// The owner of an engine; `None` if no gateway is known, or if it did not respond recently.
    pub fn owner(&self, now: Timestamp, engine: IncarnationHash) -> Option<NodeId> {
        let owner = self.owners.lock().ring.owner(engine).cloned()?;
        let mut cooldowns = self.cooldowns.lock();
        cooldowns.retain(|_, until| now < *until);
        (!cooldowns.contains_key(&owner)).then_some(owner)
    }

    /// Records that an owner did not respond.
    pub fn record_silence(&self, now: Timestamp, owner: NodeId) {
        let until = now + OWNER_COOLDOWN.as_millis() as u64;
        self.cooldowns.lock().insert(owner, until);
    }

    /// Handles a request of any gateway, including this one.
    pub fn handle_request(&self, now: Timestamp, request: &PrefillRequest) -> QuotaResponse {
        if request.pause_ms > 0 {
            self.record_pause(now, request);
            return QuotaResponse::Reserved { wait_ms: 0 };
        }
        let prompt = PromptSend {
            engine: request.engine,
            tokens: request.tokens,
            gap_ms: request.gap_ms,
            max_wait_ms: request.max_wait_ms,
            has_alternative: request.has_alternative,
        };
        match self.pacer.lock().assign(now, &prompt) {
            SendTime::In(wait_ms) => QuotaResponse::Reserved { wait_ms },
            SendTime::Later(wait_ms) => QuotaResponse::OverLimit { wait_ms },
        }
    }

    fn record_pause(&self, now: Timestamp, request: &PrefillRequest) {
        let pause = LongPause {
            engine: request.engine,
            pause_ms: request.pause_ms,
            gap_ms: request.gap_ms,
        };
        let Some(limit) = self.pacer.lock().record_pause(now, &pause) else {
            return;
        };
        let fields = format_args!(
            "engine={:x} pause_ms={} gap_objective_ms={} tokens_per_gap={limit:.0}",
            request.engine, request.pause_ms, request.gap_ms,
        );
        event_log::write(LogPriority::Decision, "prefill_limit", fields);
    }
}
