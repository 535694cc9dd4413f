//! Reconfigures the claim group on the placement holder when members fail.
//!
//! The inputs are the live nodes, the responses of members and the time. The
//! outputs are seal and install messages for members, and the group row for
//! the holder's next transaction.
//!
//! A reconfiguration has four steps. The holder seals the members of the
//! current group and collects the claim records of a majority; installs the
//! union of these records on every member of the next group; writes the group
//! row; and announces the new group. A crash at any step leaves either the old
//! group sealed, with claims refused until the next holder completes a
//! reconfiguration, or the new group active, but never two active groups.

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_contract::{
    ClaimGroup, ClaimRecord, ClaimState, Epoch, Fence, NodeState, PeerMessage, RequestId,
};
use gorsebank_world::{NodeId, ZoneId};

use crate::membership::View;
use crate::rendezvous;
use crate::settings::ClaimSettings;
use crate::time::Timestamp;

/// Interval at which a seal or install message is resent to a member that has
/// not responded.
const RESEND_INTERVAL_MS: u64 = 300;
/// Time for which the group must lack a member before the group is changed.
const MEMBER_ABSENCE_TIMEOUT_MS: u64 = 500;
/// Number of epochs that a holder can assign under one fencing token. The epoch
/// is the fencing token times this number plus a counter.
const EPOCHS_PER_FENCE: u64 = 1 << 20;

/// Placeholder request for a key that several requests have claimed.
const CONTESTED: RequestId = RequestId(0, 0);

/// Step of a reconfiguration.
#[derive(Clone, Debug)]
enum Step {
    /// No reconfiguration is in progress.
    Steady,
    /// The members of the current group are being sealed for epoch `next`.
    Sealing {
        next: Epoch,
        since: Timestamp,
        records: BTreeMap<NodeId, BTreeMap<String, ClaimRecord>>,
    },
    /// The next group is being installed on its members.
    Installing {
        group: ClaimGroup,
        records: BTreeMap<String, ClaimRecord>,
        /// Time in milliseconds for which claims of unknown keys are in doubt.
        quarantine: u64,
        installed: BTreeSet<NodeId>,
    },
    /// The row of the next group has to be written to the table.
    Writing { group: ClaimGroup },
}

/// State of the claim group and of its reconfiguration on the placement holder.
#[derive(Debug)]
pub struct ClaimGroupManager {
    settings: ClaimSettings,
    current: ClaimGroup,
    step: Step,
    member_missing_since: Option<Timestamp>,
    last_sent: Timestamp,
    last_epoch: Epoch,
}

impl ClaimGroupManager {
    /// Creates the state from the group row that the table holds.
    pub fn new(settings: ClaimSettings, fence: Fence, current: ClaimGroup) -> Self {
        let first = Epoch(fence.0 * EPOCHS_PER_FENCE);
        ClaimGroupManager {
            settings,
            last_epoch: first.max(current.epoch),
            current,
            step: Step::Steady,
            member_missing_since: None,
            last_sent: Timestamp(0),
        }
    }

    /// Returns the current group, as last written to the table.
    pub fn current(&self) -> &ClaimGroup {
        &self.current
    }

    /// Returns the group that the holder has to write to the table, if any.
    pub fn row_to_write(&self) -> Option<&ClaimGroup> {
        match &self.step {
            Step::Writing { group } => Some(group),
            _ => None,
        }
    }

    /// Makes `group` the current group after its row has been written.
    pub fn record_written(&mut self, group: ClaimGroup) {
        if self.row_to_write() == Some(&group) {
            self.current = group;
            self.step = Step::Steady;
            self.member_missing_since = None;
        }
    }

    /// Continues a reconfiguration, or starts one if members are missing.
    /// A reconfiguration starts only while the table is reachable, because
    /// sealed members record no claims until the next group is written.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &View,
        is_table_available: bool,
    ) -> Vec<(NodeId, PeerMessage)> {
        match &self.step {
            Step::Steady => {
                if self.is_change_due(now, view) && is_table_available {
                    return self.start_reconfiguration(now, view);
                }
                Vec::new()
            }
            Step::Sealing { .. } => self.continue_sealing(now, view),
            Step::Installing { .. } => self.continue_installing(now, view),
            Step::Writing { .. } => Vec::new(),
        }
    }

    fn is_change_due(&mut self, now: Timestamp, view: &View) -> bool {
        let required = self.settings.members.min(view.active().count());
        let active_members = self
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
        if active_members >= required && active_members == self.current.members.len() {
            self.member_missing_since = None;
            return false;
        }
        let since = *self.member_missing_since.get_or_insert(now);
        now.since(since) >= MEMBER_ABSENCE_TIMEOUT_MS
    }

    fn start_reconfiguration(&mut self, now: Timestamp, view: &View) -> Vec<(NodeId, PeerMessage)> {
        self.last_epoch = self.last_epoch.next();
        let next = self.last_epoch;
        if self.current.members.is_empty() {
            return self.start_installing(now, view, next, BTreeMap::new(), 0);
        }
        self.step = Step::Sealing {
            next,
            since: now,
            records: BTreeMap::new(),
        };
        self.last_sent = now;
        self.seal_messages(next, &BTreeSet::new())
    }

    fn seal_messages(
        &self,
        next: Epoch,
        responded: &BTreeSet<NodeId>,
    ) -> Vec<(NodeId, PeerMessage)> {
        let current = self.current.epoch;
        self.current
            .members
            .keys()
            .filter(|member| !responded.contains(*member))
            .map(|member| (member.clone(), PeerMessage::ClaimSeal { current, next }))
            .collect()
    }

    fn continue_sealing(&mut self, now: Timestamp, view: &View) -> Vec<(NodeId, PeerMessage)> {
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
        let all_responded = self
            .current
            .members
            .iter()
            .filter(|(id, incarnation)| view.is_alive(id, **incarnation))
            .all(|(id, _)| records.contains_key(id));
        if has_majority && (all_responded || waited >= RESEND_INTERVAL_MS) {
            let union = merge_records(records.values());
            return self.start_installing(now, view, next, union, 0);
        }
        if waited >= self.settings.seal_timeout {
            let union = merge_records(records.values());
            return self.start_installing(now, view, next, union, self.settings.retention);
        }
        if now.since(self.last_sent) < RESEND_INTERVAL_MS {
            return Vec::new();
        }
        let responded = records.keys().cloned().collect();
        self.last_sent = now;
        self.seal_messages(next, &responded)
    }

    fn start_installing(
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
        self.last_sent = now;
        self.install_messages()
    }

    fn install_messages(&self) -> Vec<(NodeId, PeerMessage)> {
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

    fn continue_installing(&mut self, now: Timestamp, view: &View) -> Vec<(NodeId, PeerMessage)> {
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
        let is_member_lost = group
            .members
            .iter()
            .any(|(id, incarnation)| !view.is_alive(id, *incarnation));
        if is_member_lost {
            let (records, quarantine) = (records.clone(), *quarantine);
            self.last_epoch = self.last_epoch.next();
            return self.start_installing(now, view, self.last_epoch, records, quarantine);
        }
        if now.since(self.last_sent) < RESEND_INTERVAL_MS {
            return Vec::new();
        }
        self.last_sent = now;
        self.install_messages()
    }

    /// Stores the claim records of a member that has been sealed for `next`.
    pub fn record_sealed(
        &mut self,
        member: &NodeId,
        next: Epoch,
        response: Option<BTreeMap<String, ClaimRecord>>,
    ) {
        if let Step::Sealing {
            next: required,
            records,
            ..
        } = &mut self.step
            && *required == next
            && let Some(response) = response
        {
            records.insert(member.clone(), response);
        }
    }

    /// Records that a member has installed the group of `epoch`.
    pub fn record_installed(&mut self, member: &NodeId, epoch: Epoch) {
        if let Step::Installing {
            group, installed, ..
        } = &mut self.step
            && group.epoch == epoch
        {
            installed.insert(member.clone());
        }
    }
}

/// Selects the members of the next group, in distinct zones while unused zones
/// are left.
fn next_group(view: &View, epoch: Epoch, count: usize) -> ClaimGroup {
    let ranked = rendezvous::ranked("claims", view.active());
    let mut members = BTreeMap::new();
    let mut zones: BTreeSet<&ZoneId> = BTreeSet::new();
    for distinct_zones in [true, false] {
        for id in &ranked {
            let Some(node) = view.nodes.get(*id) else {
                continue;
            };
            let is_full = members.len() == count;
            let is_zone_used = distinct_zones && zones.contains(&node.zone);
            if is_full || is_zone_used || members.contains_key(*id) {
                continue;
            }
            zones.insert(&node.zone);
            members.insert((*id).clone(), node.incarnation);
        }
    }
    ClaimGroup { epoch, members }
}

/// Returns the union of the claim records of several members. Where members
/// recorded different requests for one key, at most one request won, and the
/// records do not show which. The key is then assigned to [`CONTESTED`], so that
/// a request that lost cannot win by claiming the key again.
fn merge_records<'a>(
    ledgers: impl Iterator<Item = &'a BTreeMap<String, ClaimRecord>>,
) -> BTreeMap<String, ClaimRecord> {
    let mut union: BTreeMap<String, ClaimRecord> = BTreeMap::new();
    for (key, record) in ledgers.flatten() {
        union
            .entry(key.clone())
            .and_modify(|known| *known = merge_record(*known, *record))
            .or_insert(*record);
    }
    union
}

fn merge_record(one: ClaimRecord, other: ClaimRecord) -> ClaimRecord {
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
