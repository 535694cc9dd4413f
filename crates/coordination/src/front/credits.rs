//! Slots that a front may use without a request to the queue owner: credits
//! that came with a grant, and slots retained from completed requests.
//!
//! In: recalls and messages from owners, slots of completed requests, time.
//! Out: slots for new requests, and reports of returned slots.

use gorsebank_world::{NodeId, QueueKey};

use crate::front::{Credit, Front, FrontOutput, ReleaseKey, Slot, may_receive_requests};
use crate::machines::MachineTable;
use crate::time::Timestamp;

/// Time after a recall during which no slots of the queue are retained, in
/// milliseconds.
const RECALL_DURATION_MS: u64 = 5_000;

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
                && may_receive_requests(machines, &credit.back_end)
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

    /// Whether this node's machine list was at least as recent as the owner's
    /// within the grant validity. With an older list, a front could reuse a
    /// retained slot repeatedly on a back end that is draining.
    pub(super) fn is_current(&self, now: Timestamp, owner: &NodeId) -> bool {
        let received_at = self.current_owners.get(owner);
        *owner == self.this
            || received_at.is_some_and(|at| now.since(*at) < self.settings.grant_validity)
    }

    /// Records a message from a node. `is_current` says that the node's machine
    /// list is no newer than this node's.
    pub fn record_message(&mut self, now: Timestamp, node: &NodeId, is_current: bool) {
        if is_current {
            self.current_owners.insert(node.clone(), now);
        }
    }

    /// Returns all unused slots of a queue, because requests wait at its owner.
    pub fn return_recalled_slots(&mut self, now: Timestamp, queue: &QueueKey) -> Vec<FrontOutput> {
        let until = now + RECALL_DURATION_MS;
        self.recalled.insert(queue.clone(), until);
        for credit in self.credits.remove(queue).unwrap_or_default() {
            self.return_credit(queue.clone(), credit);
        }
        self.flush_releases(1)
    }

    /// Retains the slot of a completed request for the next request, if that is
    /// allowed.
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
                let is_kept = credit.remaining > 0
                    && credit.expires > now
                    && may_receive_requests(machines, &credit.back_end);
                if !is_kept && credit.remaining > 0 {
                    unused.push((queue.clone(), credit.clone()));
                }
                is_kept
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
