//! Records of the software versions that began streams, at this gateway and at the keepers of each
//! record. A caller can take up a stream at any gateway, also when the first one is gone.
//!
//! ```text
//! first event --> own record --> two keepers (in batches, while versions may be mixed)
//! take-up ------> own record, or the keepers' answers --> version, or a refusal
//! ```
//!
//! While a service has had back ends of one version only, records stay at this gateway, since every
//! answer would be the same. Once that is no longer certain, they are all sent.
//!
//! In: first events of streams, records of other gateways, and the known gateways. Out: the version
//! that began a stream.

mod keepers;
mod lookup;
mod sender;

use std::collections::{HashMap, VecDeque};

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{OriginRecord, StreamKey, StreamOrigins};
use gorsebank_world::{ServiceId, SoftwareVersion};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

pub use keepers::{GroupKeepers, Keepers};
pub use lookup::ask;
pub use sender::{SenderContext, send_records};

/// Maximum number of records that wait to be sent; the oldest are dropped first.
const MAX_UNSENT: usize = 8_192;

/// Asks a gateway for the software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRequest {
    /// The stream.
    pub stream: StreamKey,
    /// The service of the stream's back ends.
    pub service: ServiceId,
}

/// What a gateway knows of the software version that began a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The version, if the gateway has a record of the stream.
    pub version: Option<SoftwareVersion>,
    /// The only version that the service has had for as long as a stream lasts, if the gateway is
    /// certain of it.
    pub only_version: Option<SoftwareVersion>,
}

/// The records that this gateway keeps, and those that it has to send.
#[derive(Default)]
pub struct SharedOrigins {
    state: Mutex<State>,
    /// Notified when there are records to send.
    added: Notify,
}

#[derive(Default)]
struct State {
    kept: StreamOrigins,
    due: VecDeque<OriginRecord>,
    /// Records of own streams of services with only one version, with the time at which each expires.
    deferred: HashMap<ServiceId, VecDeque<(Timestamp, OriginRecord)>>,
}

impl SharedOrigins {
    /// The version that began a stream, according to the records that this gateway keeps.
    pub fn version(&self, now: Timestamp, stream: StreamKey) -> Option<SoftwareVersion> {
        self.state.lock().kept.version(now, stream).cloned()
    }

    /// Keeps the record of a stream that this gateway serves. It is sent to its keepers at once, or
    /// when the service may have had several versions.
    pub fn record_own(
        &self,
        now: Timestamp,
        service: &ServiceId,
        record: OriginRecord,
        is_mixed: bool,
    ) {
        let mut state = self.state.lock();
        state.kept.record(now, &record);
        if is_mixed {
            state.add_due(record);
            drop(state);
            return self.added.notify_one();
        }
        let deferred = state.deferred.entry(service.clone()).or_default();
        deferred.push_back((now + record.lifetime_ms, record));
        while deferred.len() > MAX_UNSENT || deferred.front().is_some_and(|it| it.0 <= now) {
            deferred.pop_front();
        }
    }

    /// Keeps records that another gateway has sent.
    pub fn merge(&self, now: Timestamp, records: &[OriginRecord]) {
        let mut state = self.state.lock();
        for record in records {
            state.kept.record(now, record);
        }
    }

    /// Sends all records to their other keepers, because this process stops.
    pub fn hand_over(&self, now: Timestamp) {
        let mut state = self.state.lock();
        for record in state.kept.records(now) {
            state.add_due(record);
        }
        drop(state);
        self.added.notify_one();
    }

    /// Takes the records to send. Those of services that may have several versions by now are
    /// included.
    fn take_due(&self, now: Timestamp, is_mixed: impl Fn(&ServiceId) -> bool) -> Vec<OriginRecord> {
        let mut state = self.state.lock();
        let mut due: Vec<OriginRecord> = state.due.drain(..).collect();
        state.deferred.retain(|service, records| {
            records.retain(|(until, _)| now < *until);
            let is_due = is_mixed(service);
            if is_due {
                due.extend(records.drain(..).map(|(_, record)| record));
            }
            !records.is_empty()
        });
        due
    }

    fn put_back(&self, records: Vec<OriginRecord>) {
        let mut state = self.state.lock();
        for record in records {
            state.add_due(record);
        }
    }
}

impl State {
    fn add_due(&mut self, record: OriginRecord) {
        if self.due.len() >= MAX_UNSENT {
            self.due.pop_front();
        }
        self.due.push_back(record);
    }
}
