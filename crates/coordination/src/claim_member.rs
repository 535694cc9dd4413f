//! Records, as a member of the claim group, which request claimed which key.
//!
//! The inputs are claim, seal and install messages; the outputs are responses.
//! A member records a key for the first request that claims the key and for no
//! other request. Once a member is sealed for a later epoch, the member records
//! no claims under the current epoch. The records of a majority of sealed
//! members therefore contain every claim that has won.
//!
//! Records are kept only in memory: a restarted member has a new incarnation
//! and belongs to no group until a group is installed on it.

use crate::collections::HashMap;
use std::collections::BTreeMap;

use gorsebank_contract::{ClaimGroup, ClaimRecord, ClaimResponse, ClaimState, Epoch, RequestId};

use crate::settings::ClaimSettings;
use crate::time::{Periodic, Timestamp};

/// Interval between two removals of expired records.
const PRUNE_INTERVAL_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct StoredClaim {
    record: ClaimRecord,
    since: Timestamp,
}

/// The claims of one epoch. Until `in_doubt_until`, a claim of an unknown key is
/// answered with [`ClaimAnswer::InDoubt`].
#[derive(Clone, Debug)]
struct Ledger {
    group: ClaimGroup,
    records: HashMap<String, StoredClaim>,
    in_doubt_until: Timestamp,
}

impl Ledger {
    fn claim(&mut self, now: Timestamp, key: &str, request: RequestId) -> ClaimResponse {
        if let Some(stored) = self.records.get(key) {
            if stored.record.request == request {
                return ClaimResponse::Recorded;
            }
            return ClaimResponse::Taken(stored.record);
        }
        if now < self.in_doubt_until {
            return ClaimResponse::InDoubt(self.in_doubt_until.since(now));
        }
        let record = ClaimRecord {
            request,
            state: ClaimState::Claimed,
        };
        self.records
            .insert(key.to_owned(), StoredClaim { record, since: now });
        ClaimResponse::Recorded
    }

    fn snapshot(&self) -> BTreeMap<String, ClaimRecord> {
        self.records
            .iter()
            .map(|(key, stored)| (key.clone(), stored.record))
            .collect()
    }
}

/// State of a node as a member of claim groups.
#[derive(Debug)]
pub struct ClaimMember {
    settings: ClaimSettings,
    /// Ledger of the active group.
    active: Option<Ledger>,
    /// Ledger that has been installed, but whose group is not known to be active.
    candidate: Option<Ledger>,
    /// No claims are recorded under epochs below this one.
    sealed_below: Epoch,
    prune_timer: Periodic,
}

impl ClaimMember {
    /// Creates the state of a node that is not a member of a group.
    pub fn new(settings: ClaimSettings) -> Self {
        ClaimMember {
            settings,
            active: None,
            candidate: None,
            sealed_below: Epoch(0),
            prune_timer: Periodic::every(PRUNE_INTERVAL_MS),
        }
    }

    /// Records a claim if this node records claims under `epoch`.
    pub fn claim(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        key: &str,
        request: RequestId,
    ) -> ClaimResponse {
        self.activate_epoch(epoch);
        let is_sealed = epoch < self.sealed_below;
        match &mut self.active {
            Some(ledger) if ledger.group.epoch == epoch && !is_sealed => {
                ledger.claim(now, key, request)
            }
            Some(ledger) => ClaimResponse::WrongEpoch(ledger.group.clone()),
            None => ClaimResponse::WrongEpoch(ClaimGroup::default()),
        }
    }

    /// Activates the installed ledger if it has this epoch. Called when another
    /// node names `epoch` as the active one.
    pub fn activate_epoch(&mut self, epoch: Epoch) {
        let is_candidate = self
            .candidate
            .as_ref()
            .is_some_and(|candidate| candidate.group.epoch == epoch);
        if is_candidate {
            self.active = self.candidate.take();
        }
    }

    /// Marks a claimed request as completed. If the claim is `withdrawn` because
    /// the request will not run, removes the claim and so frees the key.
    pub fn end(&mut self, key: &str, request: RequestId, withdrawn: bool) {
        for ledger in [&mut self.active, &mut self.candidate]
            .into_iter()
            .flatten()
        {
            let Some(stored) = ledger.records.get_mut(key) else {
                continue;
            };
            if stored.record.request != request {
                continue;
            }
            if withdrawn && stored.record.state == ClaimState::Claimed {
                ledger.records.remove(key);
            } else {
                stored.record.state = ClaimState::Completed;
            }
        }
    }

    /// Seals this member: it records no more claims under epochs below `next`.
    /// Returns the records of epoch `current`, if this node has them, or `None`
    /// if the member is already sealed for a later epoch.
    pub fn seal(
        &mut self,
        current: Epoch,
        next: Epoch,
    ) -> Option<Option<BTreeMap<String, ClaimRecord>>> {
        if next < self.sealed_below {
            return None;
        }
        self.sealed_below = next;
        let ledgers = [&self.active, &self.candidate];
        let records = ledgers
            .into_iter()
            .flatten()
            .find(|ledger| ledger.group.epoch == current)
            .map(Ledger::snapshot);
        Some(records)
    }

    /// Installs a group with its initial claims. Claims of unknown keys are in
    /// doubt for `quarantine` milliseconds. Returns whether the group is installed.
    pub fn install(
        &mut self,
        now: Timestamp,
        group: ClaimGroup,
        records: BTreeMap<String, ClaimRecord>,
        quarantine: u64,
    ) -> bool {
        if group.epoch < self.sealed_below {
            return false;
        }
        let known = [&self.active, &self.candidate]
            .into_iter()
            .flatten()
            .any(|ledger| ledger.group.epoch == group.epoch);
        if known {
            return true;
        }
        let records = records
            .into_iter()
            .map(|(key, record)| (key, StoredClaim { record, since: now }))
            .collect();
        self.candidate = Some(Ledger {
            group,
            records,
            in_doubt_until: now + quarantine,
        });
        true
    }

    /// Removes claims that are older than the retention time.
    pub fn tick(&mut self, now: Timestamp) {
        if !self.prune_timer.due(now) {
            return;
        }
        let retention = self.settings.retention;
        if let Some(ledger) = &mut self.active {
            ledger
                .records
                .retain(|_, stored| now.since(stored.since) < retention);
        }
    }

    /// Returns the number of claims recorded under the active epoch.
    pub fn record_count(&self) -> usize {
        self.active
            .as_ref()
            .map_or(0, |ledger| ledger.records.len())
    }
}
