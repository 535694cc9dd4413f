//! Gives slots back to owners, and tells them which are held.

use crate::collections::HashSet;
use std::collections::BTreeMap;

use gorsebank_contract::HeldSlots;
use gorsebank_world::{BackEndId, NodeId, QueueKey};

use crate::front::{Front, FrontOutput, ReleaseKey, ReleaseSum, Slot, Stage};
use crate::queues::Release;
use crate::time::Timestamp;

impl Front {
    pub(super) fn give_back(
        &mut self,
        now: Timestamp,
        queue: &QueueKey,
        slot: &Slot,
        ended: bool,
        troubled: bool,
    ) {
        let key = ReleaseKey {
            owner: slot.owner.clone(),
            queue: queue.clone(),
            back_end: slot.back_end.clone(),
        };
        let sum = self.releases.entry(key).or_default();
        sum.slots += 1;
        sum.troubled |= troubled;
        if ended {
            sum.ended += 1;
            sum.service_time += now.since(slot.since);
        }
    }

    /// Reports of at least `least` slots given back, one a queue and back end.
    pub(super) fn flush_releases(&mut self, least: u32) -> Vec<FrontOutput> {
        let mut due: Vec<(ReleaseKey, ReleaseSum)> = self
            .releases
            .extract_if(|_, sum| sum.slots >= least || sum.troubled)
            .collect();
        due.sort_by(|one, other| one.0.cmp(&other.0));
        due.into_iter()
            .map(|(key, sum)| {
                let release = Release {
                    queue: key.queue,
                    back_end: key.back_end,
                    slots: sum.slots,
                    service_time: (sum.ended > 0)
                        .then(|| sum.service_time / u64::from(sum.ended.max(1))),
                    troubled: sum.troubled,
                };
                FrontOutput::Release(key.owner, release)
            })
            .collect()
    }

    /// All slots held, by owner; an owner of which none are held any more is
    /// told so once.
    pub(super) fn account(&mut self) -> Vec<FrontOutput> {
        let mut held: BTreeMap<NodeId, BTreeMap<(QueueKey, BackEndId), u32>> = BTreeMap::new();
        let mut add = |owner: &NodeId, queue: &QueueKey, back_end: &BackEndId, slots: u32| {
            let of_owner = held.entry(owner.clone()).or_default();
            *of_owner
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
        for owner in self.accounted.difference(&holding) {
            held.entry(owner.clone()).or_default();
        }
        self.accounted = holding;
        held.into_iter()
            .map(|(owner, slots)| FrontOutput::Account(owner, held_slots(slots)))
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
