//! A claim group member: records which request claimed which key.
//!
//! In: claims, seals, installs. Out: answers. A key is recorded for the first
//! request that claims it and for no other. Once sealed for a following epoch
//! a member records nothing under the present one, so that whoever collects
//! the records of a majority has every claim that ever won.
//!
//! Records live in memory alone: a restarted member has another incarnation
//! and belongs to no group until it is installed in one.

use crate::collections::HashMap;
use std::collections::BTreeMap;

use gorsebank_contract::{ClaimAnswer, ClaimGroup, ClaimRecord, ClaimState, Epoch, RequestId};

use crate::settings::ClaimSettings;
use crate::time::{Periodic, Timestamp};

/// Records are checked for their age so often, in milliseconds.
const PRUNE_INTERVAL: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Kept {
    record: ClaimRecord,
    since: Timestamp,
}

/// The claims of one epoch.
#[derive(Clone, Debug)]
struct Ledger {
    group: ClaimGroup,
    records: HashMap<String, Kept>,
    doubtful_until: Timestamp,
}

impl Ledger {
    fn claim(&mut self, now: Timestamp, key: &str, request: RequestId) -> ClaimAnswer {
        if let Some(kept) = self.records.get(key) {
            if kept.record.request == request {
                return ClaimAnswer::Recorded;
            }
            return ClaimAnswer::Taken(kept.record);
        }
        if now < self.doubtful_until {
            return ClaimAnswer::InDoubt(self.doubtful_until.since(now));
        }
        let record = ClaimRecord {
            request,
            state: ClaimState::Claimed,
        };
        self.records
            .insert(key.to_owned(), Kept { record, since: now });
        ClaimAnswer::Recorded
    }

    fn snapshot(&self) -> BTreeMap<String, ClaimRecord> {
        self.records
            .iter()
            .map(|(key, kept)| (key.clone(), kept.record))
            .collect()
    }
}

/// A node's part in claim groups.
#[derive(Debug)]
pub struct ClaimMember {
    settings: ClaimSettings,
    /// The ledger in use.
    active: Option<Ledger>,
    /// A ledger that was installed and is not known to be in force.
    candidate: Option<Ledger>,
    /// Nothing is recorded under epochs below this one.
    sealed_below: Epoch,
    prunes: Periodic,
}

impl ClaimMember {
    /// A node that is no member.
    pub fn new(settings: ClaimSettings) -> Self {
        ClaimMember {
            settings,
            active: None,
            candidate: None,
            sealed_below: Epoch(0),
            prunes: Periodic::every(PRUNE_INTERVAL),
        }
    }

    /// Records a claim, if this node keeps claims under `epoch`.
    pub fn claim(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        key: &str,
        request: RequestId,
    ) -> ClaimAnswer {
        self.put_in_force(epoch);
        let sealed = epoch < self.sealed_below;
        match &mut self.active {
            Some(ledger) if ledger.group.epoch == epoch && !sealed => {
                ledger.claim(now, key, request)
            }
            Some(ledger) => ClaimAnswer::WrongEpoch(ledger.group.clone()),
            None => ClaimAnswer::WrongEpoch(ClaimGroup::default()),
        }
    }

    /// Someone names `epoch` as the one in force.
    pub fn put_in_force(&mut self, epoch: Epoch) {
        let is_candidate = self
            .candidate
            .as_ref()
            .is_some_and(|candidate| candidate.group.epoch == epoch);
        if is_candidate {
            self.active = self.candidate.take();
        }
    }

    /// Notes that a claimed request ran, or frees the key if it never will.
    pub fn end(&mut self, key: &str, request: RequestId, withdrawn: bool) {
        for ledger in [&mut self.active, &mut self.candidate]
            .into_iter()
            .flatten()
        {
            let Some(kept) = ledger.records.get_mut(key) else {
                continue;
            };
            if kept.record.request != request {
                continue;
            }
            if withdrawn && kept.record.state == ClaimState::Claimed {
                ledger.records.remove(key);
            } else {
                kept.record.state = ClaimState::Completed;
            }
        }
    }

    /// Records nothing more under epochs below `next`; gives the records of
    /// epoch `current`, if this node has them. `None` if a later seal holds.
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

    /// Takes the claims at the start of a group; says whether it was taken.
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
            .map(|(key, record)| (key, Kept { record, since: now }))
            .collect();
        self.candidate = Some(Ledger {
            group,
            records,
            doubtful_until: now + quarantine,
        });
        true
    }

    /// Forgets claims that are older than the retention time.
    pub fn tick(&mut self, now: Timestamp) {
        if !self.prunes.due(now) {
            return;
        }
        let retention = self.settings.retention;
        if let Some(ledger) = &mut self.active {
            ledger
                .records
                .retain(|_, kept| now.since(kept.since) < retention);
        }
    }

    /// Claims recorded under the epoch in use.
    pub fn record_count(&self) -> usize {
        self.active
            .as_ref()
            .map_or(0, |ledger| ledger.records.len())
    }
}
