//! Slots that a front may use without asking an owner: credits granted with a
//! grant, and slots kept from requests that ended.

use gorsebank_world::{NodeId, QueueKey};

use crate::front::{Credit, Front, FrontOutput, ReleaseKey, Slot, takes_work};
use crate::machines::MachineTable;
use crate::time::Timestamp;

/// After a recall no slots of the queue are kept for so long, in milliseconds.
const RECALL_LIFE: u64 = 5_000;

impl Front {
    pub(super) fn take_credit(
        &mut self,
        now: Timestamp,
        queue: &QueueKey,
        machines: &MachineTable,
    ) -> Option<Slot> {
        let mut credits = self.credits.remove(queue)?;
        let usable = credits.iter_mut().find(|credit| {
            credit.remaining > 0
                && credit.expires > now
                && takes_work(machines, &credit.back_end)
                && (!credit.is_retained || self.is_current(now, &credit.owner))
        });
        let slot = usable.map(|credit| {
            credit.remaining -= 1;
            Slot {
                owner: credit.owner.clone(),
                back_end: credit.back_end.clone(),
                since: now,
                retainable: true,
            }
        });
        credits.retain(|credit| credit.remaining > 0);
        if !credits.is_empty() {
            self.credits.insert(queue.clone(), credits);
        }
        slot
    }

    /// Whether this node knows of every leaving back end that the owner knew
    /// of a moment ago. Without that a kept slot might be used again and again
    /// at a back end that is leaving.
    pub(super) fn is_current(&self, now: Timestamp, owner: &NodeId) -> bool {
        let heard = self.current_owners.get(owner);
        *owner == self.this
            || heard.is_some_and(|heard| now.since(*heard) < self.settings.grant_validity)
    }

    /// A node was heard; `is_current` if its machine list is no newer than
    /// this node's.
    pub fn heard(&mut self, now: Timestamp, node: &NodeId, is_current: bool) {
        if is_current {
            self.current_owners.insert(node.clone(), now);
        }
    }

    /// The owner of a queue has requests waiting: unused slots go back.
    pub fn recalled(&mut self, now: Timestamp, queue: &QueueKey) -> Vec<FrontOutput> {
        let until = now + RECALL_LIFE;
        self.recalled.insert(queue.clone(), until);
        for credit in self.credits.remove(queue).unwrap_or_default() {
            self.return_credit(queue.clone(), credit);
        }
        self.flush_releases(1)
    }

    /// Keeps the slot of a request that has ended, if that is allowed.
    pub(super) fn retain(&mut self, now: Timestamp, queue: &QueueKey, slot: &Slot) -> bool {
        let is_recalled = self.recalled.get(queue).is_some_and(|until| *until > now);
        if !slot.retainable || is_recalled || !self.is_current(now, &slot.owner) {
            return false;
        }
        let credit = Credit {
            owner: slot.owner.clone(),
            back_end: slot.back_end.clone(),
            remaining: 1,
            expires: now + self.settings.grant_validity,
            is_retained: true,
        };
        self.credits.entry(queue.clone()).or_default().push(credit);
        true
    }

    pub(super) fn return_expired_credits(&mut self, now: Timestamp, machines: &MachineTable) {
        let mut unused = Vec::new();
        for (queue, credits) in &mut self.credits {
            credits.retain(|credit| {
                let kept = credit.remaining > 0
                    && credit.expires > now
                    && takes_work(machines, &credit.back_end);
                if !kept && credit.remaining > 0 {
                    unused.push((queue.clone(), credit.clone()));
                }
                kept
            });
        }
        self.credits.retain(|_, credits| !credits.is_empty());
        for (queue, credit) in unused {
            self.return_credit(queue, credit);
        }
        self.recalled.retain(|_, until| *until > now);
    }

    pub(super) fn return_credit(&mut self, queue: QueueKey, credit: Credit) {
        let key = ReleaseKey {
            owner: credit.owner,
            queue,
            back_end: credit.back_end,
        };
        self.releases.entry(key).or_default().slots += credit.remaining;
    }
}
