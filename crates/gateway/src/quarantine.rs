//! Quarantined requests: requests that are not sent to back ends, because back ends crashed while
//! they ran these requests.
//!
//! ```text
//! lost connections, complete responses --> outcomes --> quarantine entries
//!                  notices of children --^          \--> children (with responses of the feed)
//!                                                    \--> parent (at once)
//! ```
//!
//! Outcome notices travel up the tree in dedicated calls and down the tree with the responses to
//! pending feed requests. They reach all gateways within a few round trips, even while the table is
//! unavailable. Roots request updates from each other. A gateway that starts later receives all
//! recorded outcomes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::{
    EventPosition, EventSource, IncarnationHash, OutcomeNotice, Suspect,
};
use gorsebank_fleet::{Fingerprint, Quarantine};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::event_log::{self, LogPriority};
use crate::relay::{RelayRequest, RelayResponse};
use crate::shared::Shared;

/// Pause before notices are sent to parents again after no parent accepted them: a fifteenth of the
/// 3 s within which users expect all gateways to have them.
const SEND_PAUSE: Duration = Duration::from_millis(200);
/// Time within which a parent must accept notices before the next parent is tried.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a gateway without new notices checks for them.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// An update of outcomes for a gateway that requested it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Position of the receiver after it has merged the events.
    pub position: EventPosition,
    /// Outcomes, in the order in which the sender learned of them.
    pub events: Vec<OutcomeNotice>,
}

/// The outcomes known to this gateway, and its positions in the outcomes of other gateways.
pub struct SharedQuarantine {
    known: Mutex<Quarantine>,
    /// Notifies its receivers when there are new outcomes to send.
    updates: watch::Sender<()>,
    /// Notified when a crash of a back end under a request of this gateway changes the quarantine
    /// entries.
    local_entry_change: Notify,
    positions: Mutex<HashMap<SocketAddr, EventPosition>>,
    /// See [`SharedQuarantine::is_initialized`].
    is_initialized: AtomicBool,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        SharedQuarantine {
            known: Mutex::new(Quarantine::new(rand::random())),
            updates: watch::Sender::new(()),
            local_entry_change: Notify::new(),
            positions: Mutex::default(),
            is_initialized: AtomicBool::new(false),
        }
    }
}

impl SharedQuarantine {
    /// Remaining time for which a request is quarantined, itself or a part of its prompt; `None` if it
    /// may be sent.
    pub fn remaining(
        &self,
        now: Timestamp,
        fingerprints: impl Iterator<Item = Fingerprint>,
    ) -> Option<Duration> {
        let known = self.known.lock();
        if known.quarantined_count() == 0 {
            return None;
        }
        let left = fingerprints
            .filter_map(|it| known.remaining_ms(now, it))
            .max()?;
        Some(Duration::from_millis(left))
    }

    /// Records that a back end crashed while it ran a request of this gateway. The suspects are the
    /// request and parts of its prompt. Returns whether the quarantine entries changed.
    pub fn record_crash(
        &self,
        now: Timestamp,
        suspects: &[Suspect],
        back_end: IncarnationHash,
    ) -> bool {
        let has_changed = self.apply(|known| {
            for suspect in suspects {
                known.record_crash(now, *suspect, back_end);
            }
        });
        if has_changed {
            self.local_entry_change.notify_one();
        }
        has_changed
    }

    /// Waits until a crash of a back end under a request of this gateway changes the quarantine
    /// entries. Returns at once if that has happened since the last call; several changes count as
    /// one.
    pub async fn local_entry_change(&self) {
        self.local_entry_change.notified().await;
    }

    /// Records a complete response to a request of this gateway. Returns whether the quarantine
    /// entries changed.
    pub fn record_served(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.apply(|known| known.record_served(now, request))
    }

    /// Records that a back end has begun to write a response to a prompt with these parts. Returns whether
    /// the quarantine entries changed.
    pub fn record_parts_begun(&self, now: Timestamp, parts: &[Fingerprint]) -> bool {
        self.apply(|known| {
            for part in parts {
                known.record_part_begun(now, *part);
            }
        })
    }

    /// Withdraws exits of a back end that was alive at `at`.
    pub fn refute_exits(&self, at: Timestamp, back_end: IncarnationHash) {
        self.apply(|known| known.refute_exits(at, back_end));
    }

    /// Merges outcome notices of another gateway. Returns whether the quarantine entries changed.
    pub fn merge(&self, now: Timestamp, notices: &[OutcomeNotice], source: EventSource) -> bool {
        self.apply(|known| {
            known.merge(now, notices, source);
        })
    }

    /// Merges an update with which the gateway at `address` has responded. Returns whether the
    /// quarantine entries changed.
    pub fn merge_update(
        &self,
        now: Timestamp,
        address: SocketAddr,
        update: &QuarantineUpdate,
    ) -> bool {
        self.positions.lock().insert(address, update.position);
        self.merge(now, &update.events, EventSource::Beside)
    }

    /// Whether the quarantine entries from before the start of this gateway are known or the wait
    /// for them has timed out.
    pub fn is_initialized(&self) -> bool {
        self.is_initialized.load(Ordering::Acquire)
    }

    /// Marks the quarantine as initialized and notifies subscribers. Returns true on the first call
    /// only.
    pub fn mark_initialized(&self) -> bool {
        let is_first = !self.is_initialized.swap(true, Ordering::AcqRel);
        if is_first {
            self.updates.send_replace(());
        }
        is_first
    }

    /// This gateway's position in the outcomes of the gateway at `address`.
    pub fn position_in(&self, address: SocketAddr) -> Option<EventPosition> {
        self.positions.lock().get(&address).copied()
    }

    /// Returns the update for a gateway at this position. Returns `None` until this gateway is
    /// initialized, because the receiver treats the events as complete.
    pub fn update_for(
        &self,
        now: Timestamp,
        position: Option<EventPosition>,
    ) -> Option<QuarantineUpdate> {
        if !self.is_initialized() {
            return None;
        }
        let known = self.known.lock();
        Some(QuarantineUpdate {
            position: known.position(),
            events: known.notices_since(now, position),
        })
    }

    /// The crashes that current quarantine entries depend on.
    pub fn entry_notices(&self, now: Timestamp) -> Vec<OutcomeNotice> {
        self.known.lock().entry_notices(now)
    }

    /// Number of changes of the quarantine entries so far.
    pub fn changes(&self) -> u64 {
        self.known.lock().change_count()
    }

    /// Whether there is an update for a gateway at this position.
    pub fn has_update_for(&self, position: Option<EventPosition>) -> bool {
        // A gateway without a position may need the response to become ready, even without events.
        self.is_initialized() && (position.is_none() || self.known.lock().is_ahead_of(position))
    }

    /// Notifies its receiver when there are new outcomes to send.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.updates.subscribe()
    }

    fn apply(&self, act: impl FnOnce(&mut Quarantine)) -> bool {
        let mut known = self.known.lock();
        let (changes, position) = (known.change_count(), known.position());
        act(&mut known);
        let has_changed = known.change_count() != changes;
        let has_new_outcomes = known.position() != position;
        let count = known.quarantined_count();
        drop(known);
        if has_new_outcomes {
            self.updates.send_replace(());
        }
        if has_changed {
            let fields = format_args!("requests={count}");
            event_log::write(LogPriority::Decision, "quarantine", fields);
        }
        has_changed
    }

    /// Outcomes that this gateway and its children have observed since a position.
    fn subtree_notices(&self, now: Timestamp, position: Option<EventPosition>) -> QuarantineUpdate {
        let known = self.known.lock();
        QuarantineUpdate {
            position: known.position(),
            events: known.subtree_notices_since(now, position),
        }
    }
}

/// Sends new outcomes to a parent, until the future is dropped.
pub async fn send_to_parents(shared: Arc<Shared>) {
    let mut updates = shared.quarantine.subscribe();
    let mut sent: Option<EventPosition> = None;
    loop {
        updates.mark_unchanged();
        let update = shared.quarantine.subtree_notices(shared.now(), sent);
        if update.events.is_empty() {
            sent = Some(update.position);
            // After the timeout or a notification, the next iteration checks for outcomes.
            let _ = timeout(IDLE_CHECK_INTERVAL, updates.changed()).await;
        } else if send_to_any_parent(&shared, update.events).await {
            sent = Some(update.position);
        } else {
            sleep(SEND_PAUSE).await;
        }
    }
}

/// Sends outcomes to the first parent that accepts them, and returns whether one did. Roots have no
/// parent; other roots request the outcomes from them.
async fn send_to_any_parent(shared: &Shared, events: Vec<OutcomeNotice>) -> bool {
    let (is_root, candidates) = {
        let parents = shared.feed.parents.lock();
        (parents.is_root(), parents.candidates())
    };
    if is_root {
        return true;
    }
    let request = RelayRequest::Quarantine(events);
    for parent in candidates {
        let client = shared.table().client();
        let response = client.call(parent.address, &request, SEND_TIMEOUT).await;
        if matches!(response, Some(RelayResponse::Acknowledged)) {
            return true;
        }
    }
    false
}
