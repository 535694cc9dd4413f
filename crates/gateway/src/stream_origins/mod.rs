//! Records of the software versions that began streams, at this gateway and at the keepers of each
//! record. A caller can take up a stream at any gateway, also when the first one is gone.
//!
//! ```text
//! first event --> own record --> two keepers (in batches, while versions may be mixed)
//!                            --> placement holder --> rows of the table
//! take-up ------> own record, or the keepers' answers, or the rows --> version, or a refusal
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
use gorsebank_fleet::stream_origin_row::MAX_BATCH_RECORDS;
use gorsebank_fleet::{OriginRecord, StreamKey, StreamOrigins};
use gorsebank_world::{ServiceId, SoftwareVersion};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Mutex as AsyncMutex, Notify};
use tokio::time::Instant;

pub use keepers::{GroupKeepers, Keepers};
pub use lookup::ask;
pub use sender::{SenderContext, send_records};

/// Maximum number of records that wait to be sent, and to be stored; the oldest are dropped first.
const MAX_UNSENT: usize = 8_192;

/// Asks a gateway for the software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRequest {
    /// The stream.
    pub stream: StreamKey,
    /// The service of the stream's back ends.
    pub service: ServiceId,
    /// Whether the sender also wants to know the only version that can have begun the stream, for
    /// which the receiver may have to read the table. Earlier builds always do.
    #[serde(default = "wants_by_default", skip_serializing_if = "Clone::clone")]
    pub wants_only_version: bool,
}

fn wants_by_default() -> bool {
    true
}

/// What a gateway knows of the software version that began a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The version, if the gateway has a record of the stream.
    pub version: Option<SoftwareVersion>,
    /// The only version that the service has had for as long as a stream lasts, if the gateway is
    /// certain of it.
    pub only_version: Option<SoftwareVersion>,
    /// Whether the gateway verified after the question that the only version is the only one. Earlier
    /// builds answer from rows of up to the propagation bound.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_verified: bool,
}

/// The records that this gateway keeps, and those that it has to send.
#[derive(Default)]
pub struct SharedOrigins {
    state: Mutex<State>,
    /// Notified when there are records to send.
    added: Notify,
    /// Notified when there are records to store.
    unstored_added: Notify,
    /// When this gateway last read the rows of the table. Locked during a read.
    rows_read_at: AsyncMutex<Option<Instant>>,
}

/// A record that has to be sent or stored, with the time from which nobody needs it.
pub type Unsent = (Timestamp, OriginRecord);

#[derive(Default)]
struct State {
    kept: StreamOrigins,
    due: VecDeque<Unsent>,
    /// Records that no gateway has acknowledged.
    undelivered: VecDeque<Unsent>,
    /// Records that the table does not have yet. The placement holder stores them, and every other
    /// gateway sends them to it.
    unstored: VecDeque<Unsent>,
    /// Whether this gateway stores the records of all gateways.
    is_storing: bool,
    /// Records of own streams of services with only one version.
    deferred: HashMap<ServiceId, VecDeque<Unsent>>,
}

impl SharedOrigins {
    /// The version that began a stream, according to the records that this gateway keeps.
    pub fn version(&self, now: Timestamp, stream: StreamKey) -> Option<SoftwareVersion> {
        self.state.lock().kept.version(now, stream).cloned()
    }

    /// Keeps the record of a stream that this gateway serves. It is sent to its keepers at once if the
    /// service may have had several versions, and otherwise once it may.
    pub fn record_own(
        &self,
        now: Timestamp,
        service: &ServiceId,
        record: OriginRecord,
        may_be_mixed: bool,
    ) {
        let mut state = self.state.lock();
        state.kept.record(now, &record);
        let unsent = (now + record.lifetime_ms, record);
        if may_be_mixed {
            push_bounded(&mut state.due, unsent);
            drop(state);
            return self.added.notify_one();
        }
        let deferred = state.deferred.entry(service.clone()).or_default();
        remove_expired(deferred, now);
        push_bounded(deferred, unsent);
    }

    /// Keeps records that another gateway has sent.
    pub fn merge(&self, now: Timestamp, records: &[OriginRecord]) {
        let mut state = self.state.lock();
        for record in records {
            state.kept.record(now, record);
            if state.is_storing {
                self.add_unstored(&mut state, &(now + record.lifetime_ms, record.clone()));
            }
        }
    }

    /// Keeps records that were read from the table.
    pub fn merge_stored(&self, now: Timestamp, records: impl Iterator<Item = OriginRecord>) {
        let mut state = self.state.lock();
        for record in records {
            state.kept.record(now, &record);
            state.kept.mark_stored(record.stream);
        }
    }

    /// When this gateway last read the rows of the table. Locked during a read.
    pub fn rows_read_at(&self) -> &AsyncMutex<Option<Instant>> {
        &self.rows_read_at
    }

    /// Sets whether this gateway stores the records of all gateways.
    pub fn set_storing(&self, is_storing: bool) {
        self.state.lock().is_storing = is_storing;
    }

    /// Waits until there may be records to store.
    pub async fn wait_for_unstored(&self) {
        self.unstored_added.notified().await;
    }

    /// Takes records to store, at most [`MAX_BATCH_RECORDS`].
    pub fn take_unstored(&self, now: Timestamp) -> Vec<Unsent> {
        let unstored = &mut self.state.lock().unstored;
        remove_expired(unstored, now);
        let count = unstored.len().min(MAX_BATCH_RECORDS);
        if count < unstored.len() {
            self.unstored_added.notify_one();
        }
        unstored.drain(..count).collect()
    }

    /// Returns records that could not be stored.
    pub fn put_back_unstored(&self, records: Vec<Unsent>) {
        let mut state = self.state.lock();
        for record in records {
            push_bounded(&mut state.unstored, record);
        }
        self.unstored_added.notify_one();
    }

    fn add_unstored(&self, state: &mut State, record: &Unsent) {
        if state.kept.mark_stored(record.1.stream) {
            push_bounded(&mut state.unstored, record.clone());
            self.unstored_added.notify_one();
        }
    }

    /// Sends all records to their other keepers, because this process stops.
    pub fn hand_over(&self, now: Timestamp) {
        let mut state = self.state.lock();
        for record in state.kept.records(now) {
            push_bounded(&mut state.due, (now + record.lifetime_ms, record));
        }
        drop(state);
        self.added.notify_one();
    }

    /// Services with records that are deferred.
    fn deferred_services(&self) -> Vec<ServiceId> {
        self.state.lock().deferred.keys().cloned().collect()
    }

    /// Takes the records to send, including the deferred ones of services that `may_be_mixed`, and
    /// adds them to those that have to be stored.
    fn take_due(&self, now: Timestamp, may_be_mixed: &[ServiceId]) -> Vec<Unsent> {
        let mut state = self.state.lock();
        let mut due = std::mem::take(&mut state.due);
        for service in may_be_mixed {
            due.extend(state.deferred.remove(service).into_iter().flatten());
        }
        due.retain(|(until, _)| now < *until);
        for record in &due {
            self.add_unstored(&mut state, record);
        }
        due.into()
    }

    /// Keeps records that no gateway has acknowledged until [`SharedOrigins::retry_undelivered`].
    fn put_back(&self, records: Vec<Unsent>) {
        let mut state = self.state.lock();
        for record in records {
            push_bounded(&mut state.undelivered, record);
        }
    }

    /// Makes the records that no gateway has acknowledged due again.
    fn retry_undelivered(&self) {
        let mut state = self.state.lock();
        let undelivered = std::mem::take(&mut state.undelivered);
        for record in undelivered {
            push_bounded(&mut state.due, record);
        }
    }
}

fn push_bounded(records: &mut VecDeque<Unsent>, record: Unsent) {
    if records.len() >= MAX_UNSENT {
        records.pop_front();
    }
    records.push_back(record);
}

/// Removes expired records from the front; later ones mostly expire later.
fn remove_expired(records: &mut VecDeque<Unsent>, now: Timestamp) {
    while records.front().is_some_and(|(until, _)| *until <= now) {
        records.pop_front();
    }
}
