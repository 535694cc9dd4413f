//! Returns slots to queue owners, and reports the held slots to them.
//!
//! In: slots of ended requests and unused credits. Out: releases, summed by
//! queue and back end, and reports of all held slots by owner.

use crate::collections::HashSet;
use std::collections::BTreeMap;

use gorsebank_contract::HeldSlots;
use gorsebank_world::{BackEndId, NodeId, QueueKey};

use crate::front::{Front, FrontOutput, ReleaseKey, ReleaseTotal, Slot, Stage};
use crate::queues::Release;
use crate::time::Timestamp;

impl Front {
    pub(super) fn release_slot(
        &mut self,
        now: Timestamp,
        queue: &QueueKey,
        slot: &Slot,
        is_completed: bool,
        has_failure: bool,
    ) {
        let key = ReleaseKey {
            owner: slot.owner.clone(),
            queue: queue.clone(),
            back_end: slot.back_end.clone(),
        };
        let total = self.releases.entry(key).or_default();
        total.slots += 1;
        total.has_failure |= has_failure;
        if is_completed {
            total.completed += 1;
            total.service_time += now.since(slot.since);
        }
    }

    /// One release for each queue and back end with at least `min_slots` returned
    /// slots, or with a failure of the back end.
    pub(super) fn flush_releases(&mut self, min_slots: u32) -> Vec<FrontOutput> {
        let mut due: Vec<(ReleaseKey, ReleaseTotal)> = self
            .releases
            .extract_if(|_, total| total.slots >= min_slots || total.has_failure)
            .collect();
        due.sort_by(|one, other| one.0.cmp(&other.0));
        due.into_iter()
            .map(|(key, total)| {
                let release = Release {
                    queue: key.queue,
                    back_end: key.back_end,
                    slots: total.slots,
                    service_time: (total.completed > 0)
                        .then(|| total.service_time / u64::from(total.completed.max(1))),
                    has_failure: total.has_failure,
                };
                FrontOutput::Release(key.owner, release)
            })
            .collect()
    }

    /// Reports all held slots to their owners. An owner whose slots have all
    /// been returned since the last report gets one empty report.
    pub(super) fn report_held_slots(&mut self) -> Vec<FrontOutput> {
        let mut held: BTreeMap<NodeId, BTreeMap<(QueueKey, BackEndId), u32>> = BTreeMap::new();
        let mut add = |owner: &NodeId, queue: &QueueKey, back_end: &BackEndId, slots: u32| {
            let owner_slots = held.entry(owner.clone()).or_default();
            *owner_slots
                .entry((queue.clone(), back_end.clone()))
                .or_default() += slots;
        };
        for pending in self.pending.values() {
            if let Stage::Claiming(slot) | Stage::Running(slot) = &pending.stage {
                add(&slot.owner, &pending.arrival.queue, &slot.back_end, 1);
            }
        }
        for (queue, credits) in &self.credits {
            for credit in credits {
                add(&credit.owner, queue, &credit.back_end, credit.remaining);
            }
        }
        let holding: HashSet<NodeId> = held.keys().cloned().collect();
        for owner in self.reported_owners.difference(&holding) {
            held.entry(owner.clone()).or_default();
        }
        self.reported_owners = holding;
        held.into_iter()
            .map(|(owner, slots)| FrontOutput::ReportHeldSlots(owner, held_slots(slots)))
            .collect()
    }
}

fn held_slots(slots: BTreeMap<(QueueKey, BackEndId), u32>) -> Vec<HeldSlots> {
    slots
        .into_iter()
        .map(|((queue, back_end), slots)| HeldSlots {
            queue,
            back_end,
            slots,
        })
        .collect()
}
