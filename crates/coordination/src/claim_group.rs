//! The placement holder's part in claiming: replaces members of the group.
//!
//! In: live nodes, members' answers, time. Out: seals and installs for
//! members, and the group row for the holder's next transaction.
//!
//! A change goes through four steps: seal the members of the group in force
//! and collect the records of a majority; install their union on every member
//! of the next group; write the group row; announce it. A crash at any step
//! leaves either the old group sealed (claims are refused until the next
//! holder finishes a change) or the new one in force; never two.

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_contract::{
    ClaimGroup, ClaimRecord, ClaimState, Epoch, Fence, NodeState, PeerMessage, RequestId,
};
use gorsebank_world::{NodeId, ZoneId};

use crate::membership::View;
use crate::rendezvous;
use crate::settings::ClaimSettings;
use crate::time::Timestamp;

/// Pause before a member is asked again.
const RESEND_INTERVAL: u64 = 300;
/// A member must be missed for so long before it is replaced.
const MISSED_BEFORE_CHANGE: u64 = 500;
/// Changes that one holder can make: the low digits of its epochs.
const EPOCHS_PER_FENCE: u64 = 1 << 20;

/// Stands for the owner of a key that several requests claimed.
const CONTESTED: RequestId = RequestId(0, 0);

#[derive(Clone, Debug)]
enum Step {
    Steady,
    Sealing {
        next: Epoch,
        since: Timestamp,
        records: BTreeMap<NodeId, BTreeMap<String, ClaimRecord>>,
    },
    Installing {
        group: ClaimGroup,
        records: BTreeMap<String, ClaimRecord>,
        quarantine: u64,
        installed: BTreeSet<NodeId>,
    },
    Writing {
        group: ClaimGroup,
    },
}

/// The holder's view of the claim group.
#[derive(Debug)]
pub struct ClaimGroupKeeper {
    settings: ClaimSettings,
    current: ClaimGroup,
    step: Step,
    missed_since: Option<Timestamp>,
    sent: Timestamp,
    last_epoch: Epoch,
}

impl ClaimGroupKeeper {
    /// Starts from the group row as the table has it.
    pub fn new(settings: ClaimSettings, fence: Fence, current: ClaimGroup) -> Self {
        let first = Epoch(fence.0 * EPOCHS_PER_FENCE);
        ClaimGroupKeeper {
            settings,
            last_epoch: first.max(current.epoch),
            current,
            step: Step::Steady,
            missed_since: None,
            sent: Timestamp(0),
        }
    }

    /// The group in force.
    pub fn current(&self) -> &ClaimGroup {
        &self.current
    }

    /// The group that must be written to the table now.
    pub fn wanted_row(&self) -> Option<&ClaimGroup> {
        match &self.step {
            Step::Writing { group } => Some(group),
            _ => None,
        }
    }

    /// The group row was written.
    pub fn written(&mut self, group: ClaimGroup) {
        if self.wanted_row() == Some(&group) {
            self.current = group;
            self.step = Step::Steady;
            self.missed_since = None;
        }
    }

    /// Goes on with a change, or starts one if members are missing.
    /// A change starts only while the table works: sealed members record
    /// nothing until the next group is written.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &View,
        table_works: bool,
    ) -> Vec<(NodeId, PeerMessage)> {
        match &self.step {
            Step::Steady => {
                if self.change_is_due(now, view) && table_works {
                    return self.start_change(now, view);
                }
                Vec::new()
            }
            Step::Sealing { .. } => self.go_on_sealing(now, view),
            Step::Installing { .. } => self.go_on_installing(now, view),
            Step::Writing { .. } => Vec::new(),
        }
    }

    fn change_is_due(&mut self, now: Timestamp, view: &View) -> bool {
        let wanted = self.settings.members.min(view.active().count());
        let serving = self
            .current
            .members
            .iter()
            .filter(|(id, incarnation)| {
                view.is_alive(id, **incarnation)
                    && view
                        .nodes
                        .get(*id)
                        .is_some_and(|node| node.state == NodeState::Active)
            })
            .count();
        if serving >= wanted && serving == self.current.members.len() {
            self.missed_since = None;
            return false;
        }
        let since = *self.missed_since.get_or_insert(now);
        now.since(since) >= MISSED_BEFORE_CHANGE
    }

    fn start_change(&mut self, now: Timestamp, view: &View) -> Vec<(NodeId, PeerMessage)> {
        self.last_epoch = self.last_epoch.next();
        let next = self.last_epoch;
        if self.current.members.is_empty() {
            return self.install_on(now, view, next, BTreeMap::new(), 0);
        }
        self.step = Step::Sealing {
            next,
            since: now,
            records: BTreeMap::new(),
        };
        self.sent = now;
        self.seals(next, &BTreeSet::new())
    }

    fn seals(&self, next: Epoch, answered: &BTreeSet<NodeId>) -> Vec<(NodeId, PeerMessage)> {
        let current = self.current.epoch;
        self.current
            .members
            .keys()
            .filter(|member| !answered.contains(*member))
            .map(|member| (member.clone(), PeerMessage::ClaimSeal { current, next }))
            .collect()
    }

    fn go_on_sealing(&mut self, now: Timestamp, view: &View) -> Vec<(NodeId, PeerMessage)> {
        let Step::Sealing {
            next,
            since,
            records,
        } = &self.step
        else {
            return Vec::new();
        };
        let (next, waited) = (*next, now.since(*since));
        let has_majority = records.len() >= self.current.majority();
        let all_answered = self
            .current
            .members
            .iter()
            .filter(|(id, incarnation)| view.is_alive(id, **incarnation))
            .all(|(id, _)| records.contains_key(id));
        if has_majority && (all_answered || waited >= RESEND_INTERVAL) {
            let union = union_of(records.values());
            return self.install_on(now, view, next, union, 0);
        }
        if waited >= self.settings.patience {
            let union = union_of(records.values());
            return self.install_on(now, view, next, union, self.settings.retention);
        }
        if now.since(self.sent) < RESEND_INTERVAL {
            return Vec::new();
        }
        let answered = records.keys().cloned().collect();
        self.sent = now;
        self.seals(next, &answered)
    }

    fn install_on(
        &mut self,
        now: Timestamp,
        view: &View,
        epoch: Epoch,
        records: BTreeMap<String, ClaimRecord>,
        quarantine: u64,
    ) -> Vec<(NodeId, PeerMessage)> {
        let group = next_group(view, epoch, self.settings.members);
        self.step = Step::Installing {
            group,
            records,
            quarantine,
            installed: BTreeSet::new(),
        };
        self.sent = now;
        self.installs()
    }

    fn installs(&self) -> Vec<(NodeId, PeerMessage)> {
        let Step::Installing {
            group,
            records,
            quarantine,
            installed,
        } = &self.step
        else {
            return Vec::new();
        };
        group
            .members
            .keys()
            .filter(|member| !installed.contains(*member))
            .map(|member| {
                let message = PeerMessage::ClaimInstall {
                    group: group.clone(),
                    records: records.clone(),
                    quarantine: *quarantine,
                };
                (member.clone(), message)
            })
            .collect()
    }

    fn go_on_installing(&mut self, now: Timestamp, view: &View) -> Vec<(NodeId, PeerMessage)> {
        let Step::Installing {
            group,
            records,
            quarantine,
            installed,
        } = &self.step
        else {
            return Vec::new();
        };
        if installed.len() == group.members.len() {
            self.step = Step::Writing {
                group: group.clone(),
            };
            return Vec::new();
        }
        let member_lost = group
            .members
            .iter()
            .any(|(id, incarnation)| !view.is_alive(id, *incarnation));
        if member_lost {
            let (records, quarantine) = (records.clone(), *quarantine);
            self.last_epoch = self.last_epoch.next();
            return self.install_on(now, view, self.last_epoch, records, quarantine);
        }
        if now.since(self.sent) < RESEND_INTERVAL {
            return Vec::new();
        }
        self.sent = now;
        self.installs()
    }

    /// A member was sealed.
    pub fn sealed(
        &mut self,
        member: &NodeId,
        next: Epoch,
        answer: Option<BTreeMap<String, ClaimRecord>>,
    ) {
        if let Step::Sealing {
            next: wanted,
            records,
            ..
        } = &mut self.step
            && *wanted == next
            && let Some(answer) = answer
        {
            records.insert(member.clone(), answer);
        }
    }

    /// A member has installed a group.
    pub fn installed(&mut self, member: &NodeId, epoch: Epoch) {
        if let Step::Installing {
            group, installed, ..
        } = &mut self.step
            && group.epoch == epoch
        {
            installed.insert(member.clone());
        }
    }
}

/// The members of the next group, each in another zone as far as there are zones.
fn next_group(view: &View, epoch: Epoch, count: usize) -> ClaimGroup {
    let ranked = rendezvous::ranked("claims", view.active());
    let mut members = BTreeMap::new();
    let mut zones: BTreeSet<&ZoneId> = BTreeSet::new();
    for spread in [true, false] {
        for id in &ranked {
            let Some(node) = view.nodes.get(*id) else {
                continue;
            };
            let is_full = members.len() == count;
            let is_crowded = spread && zones.contains(&node.zone);
            if is_full || is_crowded || members.contains_key(*id) {
                continue;
            }
            zones.insert(&node.zone);
            members.insert((*id).clone(), node.incarnation);
        }
    }
    ClaimGroup { epoch, members }
}

/// All claims of several members. Where members recorded different requests
/// for one key, at most one of them won, and it cannot be told which: the key
/// then belongs to none of them, so that a loser that asks again cannot win.
fn union_of<'a>(
    ledgers: impl Iterator<Item = &'a BTreeMap<String, ClaimRecord>>,
) -> BTreeMap<String, ClaimRecord> {
    let mut union: BTreeMap<String, ClaimRecord> = BTreeMap::new();
    for (key, record) in ledgers.flatten() {
        union
            .entry(key.clone())
            .and_modify(|known| *known = reconciled(*known, *record))
            .or_insert(*record);
    }
    union
}

fn reconciled(one: ClaimRecord, other: ClaimRecord) -> ClaimRecord {
    let completed = one.state == ClaimState::Completed || other.state == ClaimState::Completed;
    ClaimRecord {
        request: if one.request == other.request {
            one.request
        } else {
            CONTESTED
        },
        state: if completed {
            ClaimState::Completed
        } else {
            ClaimState::Claimed
        },
    }
}
