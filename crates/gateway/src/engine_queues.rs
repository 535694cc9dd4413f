//! Requests of this gateway that contend for engines that are full.
//!
//! Inputs: requests that arrive at crowded engines or wait for them, rejections, and the ends of
//! streams.
//! Outputs: the contenders for a model at all gateways, this gateway's counts of them for the
//! others, and the time for which a request occupies a slot.

use std::collections::{BTreeMap, HashMap};

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::engine_queue::{Contenders, ModelQueue, StreamLength, hashes};
use gorsebank_fleet::quarantine::IncarnationHash;
use gorsebank_fleet::running::{Counts, Running};
use gorsebank_world::{ModelId, ServiceId};
use parking_lot::Mutex;

/// How long an engine that rejected a request as full is taken as full, in milliseconds: until the
/// counts of other gateways show it.
const FULL_LIFETIME_MS: u64 = 500;

/// Queues for full engines, by model.
#[derive(Debug, Default)]
pub struct EngineQueues {
    queues: Mutex<BTreeMap<(ServiceId, ModelId), ModelQueue>>,
    stream_lengths: Mutex<HashMap<ServiceId, StreamLength>>,
    /// When engines rejected requests of this gateway because they were full.
    full_at: Mutex<HashMap<IncarnationHash, Timestamp>>,
}

impl EngineQueues {
    /// Acts on the queue of a model.
    pub fn with_queue<T>(
        &self,
        service: &ServiceId,
        model: &ModelId,
        act: impl FnOnce(&mut ModelQueue) -> T,
    ) -> T {
        let mut queues = self.queues.lock();
        act(queues.entry((service.clone(), model.clone())).or_default())
    }

    /// This gateway's contenders by hash of model and class. Forgets models without any.
    pub fn counts(&self, now: Timestamp) -> Counts {
        let mut queues = self.queues.lock();
        let mut counts = Counts::new();
        queues.retain(|(service, model), queue| {
            let contenders = queue.contenders(now);
            let numbers = [contenders.arrived, contenders.promised]
                .into_iter()
                .chain(contenders.waiting);
            let pairs = hashes(service, model).into_iter().zip(numbers);
            let pairs = pairs.filter(|(_, count)| *count > 0);
            counts.extend(
                pairs.map(|(hash, count)| (hash, u16::try_from(count).unwrap_or(u16::MAX))),
            );
            !queue.is_empty()
        });
        counts
    }

    /// Contenders for a model at all gateways; `running` has the counts of the others.
    pub fn contenders(
        &self,
        now: Timestamp,
        running: &Running,
        service: &ServiceId,
        model: &ModelId,
    ) -> Contenders {
        let mut contenders = self.with_queue(service, model, |queue| queue.contenders(now));
        let [arrived, promised, waiting @ ..] = hashes(service, model);
        contenders.arrived += running.running_elsewhere(now, arrived);
        contenders.promised += running.running_elsewhere(now, promised);
        for (count, hash) in contenders.waiting.iter_mut().zip(waiting) {
            *count += running.running_elsewhere(now, hash);
        }
        contenders
    }

    /// Records that an engine rejected a request because it was full.
    pub fn record_full(&self, now: Timestamp, engine: IncarnationHash) {
        let mut full_at = self.full_at.lock();
        full_at.retain(|_, at| now.since(*at) < FULL_LIFETIME_MS);
        full_at.insert(engine, now);
    }

    /// Whether the engine has just rejected a request because it was full.
    pub fn was_full(&self, now: Timestamp, engine: IncarnationHash) -> bool {
        let full_at = self.full_at.lock();
        let at = full_at.get(&engine);
        at.is_some_and(|at| now.since(*at) < FULL_LIFETIME_MS)
    }

    /// Records a complete stream of `events`, which took `ran_ms` from its first event on.
    pub fn record_stream(&self, service: &ServiceId, events: u64, ran_ms: f64) {
        let mut lengths = self.stream_lengths.lock();
        let length = lengths.entry(service.clone()).or_default();
        length.record(events, ran_ms);
    }

    /// Usual length of the service's streams.
    pub fn stream_length(&self, service: &ServiceId) -> StreamLength {
        let lengths = self.stream_lengths.lock();
        lengths.get(service).copied().unwrap_or_default()
    }
}
