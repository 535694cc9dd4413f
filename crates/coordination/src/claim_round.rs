//! Claims idempotency keys for a front by asking the members of the claim group.
//!
//! The inputs are the claims to make, the responses of members and the time.
//! The outputs are messages to members and one outcome for each claim.
//!
//! For each key, one member is asked first, and the other members are asked
//! after the first member has recorded the claim. Of several requests that
//! claim a key at the same time, the request that reaches the first member
//! first wins; if all members were asked at once, each request might be recorded
//! by one member and no request by a majority. If the first member does not
//! respond in time, the other members are asked anyway.

use crate::collections::HashMap;
use std::collections::BTreeSet;

use gorsebank_contract::{ClaimGroup, ClaimResponse, Epoch, PeerMessage, RequestId};
use gorsebank_world::NodeId;

use crate::rendezvous;
use crate::settings::ClaimSettings;
use crate::time::Timestamp;

/// Interval at which a claim is resent to members that have not recorded it.
const RESEND_INTERVAL_MS: u64 = 200;
/// Time for which only the first member is asked.
const FIRST_MEMBER_TIMEOUT_MS: u64 = 60;

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key belongs to this request, which may be sent once.
    Won,
    /// The key belongs to another request, which may have run.
    Taken,
    /// No majority recorded the claim in time, or the group cannot tell whether
    /// the key was claimed before.
    InDoubt {
        /// Time after which the caller may retry, in milliseconds.
        retry_after: u64,
    },
}

/// Output of the rounds of claiming, to be carried out by the node.
#[derive(Clone, Debug, PartialEq)]
pub enum RoundOutput {
    /// Send a message to a member.
    Send(NodeId, PeerMessage),
    /// The claim is decided.
    Decided(RequestId, ClaimOutcome),
    /// A member reported this group as the active one.
    GroupReported(ClaimGroup),
}

/// A claim that waits for a majority.
#[derive(Clone, Debug)]
struct Round {
    key: String,
    epoch: Epoch,
    recorded: BTreeSet<NodeId>,
    is_first_member_only: bool,
    started: Timestamp,
    last_sent: Timestamp,
    expires: Timestamp,
}

/// All claims that wait for a majority.
#[derive(Debug)]
pub struct ClaimRounds {
    settings: ClaimSettings,
    group: ClaimGroup,
    rounds: HashMap<RequestId, Round>,
}

impl ClaimRounds {
    /// Creates an empty set of claims.
    pub fn new(settings: ClaimSettings) -> Self {
        ClaimRounds {
            settings,
            group: ClaimGroup::default(),
            rounds: HashMap::default(),
        }
    }

    /// Returns the group whose members are asked.
    pub fn group(&self) -> &ClaimGroup {
        &self.group
    }

    /// Sets the group unless its epoch is not newer than that of the known group.
    /// Returns whether the group was set.
    pub fn set_group(&mut self, group: ClaimGroup) -> bool {
        if group.epoch <= self.group.epoch {
            return false;
        }
        self.group = group;
        true
    }

    /// Starts a claim of `key` for `request`.
    pub fn start(&mut self, now: Timestamp, request: RequestId, key: String) -> Vec<RoundOutput> {
        let round = Round {
            key,
            epoch: self.group.epoch,
            recorded: BTreeSet::new(),
            is_first_member_only: true,
            started: now,
            last_sent: now,
            expires: now + self.settings.timeout,
        };
        let output = claim_messages(&self.group, request, &round);
        self.rounds.insert(request, round);
        output
    }

    /// Handles the response of a member to a claim.
    pub fn handle_answer(
        &mut self,
        member: &NodeId,
        epoch: Epoch,
        request: RequestId,
        answer: ClaimResponse,
    ) -> Vec<RoundOutput> {
        let Some(round) = self.rounds.get_mut(&request) else {
            return Vec::new();
        };
        if round.epoch != epoch {
            return Vec::new();
        }
        match answer {
            ClaimResponse::Recorded => {
                round.recorded.insert(member.clone());
                if round.recorded.len() >= self.group.majority() {
                    return self.decide(request, ClaimOutcome::Won);
                }
                if !std::mem::take(&mut round.is_first_member_only) {
                    return Vec::new();
                }
                let round = round.clone();
                claim_messages(&self.group, request, &round)
            }
            ClaimResponse::Taken(_) => self.decide(request, ClaimOutcome::Taken),
            ClaimResponse::InDoubt(retry_after) => {
                self.decide(request, ClaimOutcome::InDoubt { retry_after })
            }
            ClaimResponse::WrongEpoch(group) => vec![RoundOutput::GroupReported(group)],
        }
    }

    fn decide(&mut self, request: RequestId, outcome: ClaimOutcome) -> Vec<RoundOutput> {
        self.rounds.remove(&request);
        vec![RoundOutput::Decided(request, outcome)]
    }

    /// Resends claims that members have not recorded and expires claims that have
    /// timed out.
    pub fn tick(&mut self, now: Timestamp) -> Vec<RoundOutput> {
        let mut output = Vec::new();
        let mut expired = Vec::new();
        let mut requests: Vec<RequestId> = self.rounds.keys().copied().collect();
        requests.sort_unstable();
        for request in requests {
            let Some(round) = self.rounds.get_mut(&request) else {
                continue;
            };
            if round.expires <= now {
                expired.push(request);
                continue;
            }
            let has_new_epoch = round.epoch != self.group.epoch;
            if has_new_epoch {
                round.epoch = self.group.epoch;
                round.recorded.clear();
            }
            let has_first_member_timed_out =
                round.is_first_member_only && now.since(round.started) >= FIRST_MEMBER_TIMEOUT_MS;
            round.is_first_member_only &= !has_first_member_timed_out;
            if has_new_epoch
                || has_first_member_timed_out
                || now.since(round.last_sent) >= RESEND_INTERVAL_MS
            {
                round.last_sent = now;
                output.extend(claim_messages(&self.group, request, round));
            }
        }
        for request in expired {
            let retry_after = self.settings.timeout;
            output.extend(self.decide(request, ClaimOutcome::InDoubt { retry_after }));
        }
        output
    }

    /// Informs the members that a claimed request has run, or, if the claim is
    /// `withdrawn`, that the request will not run.
    pub fn end(&mut self, request: RequestId, key: &str, withdrawn: bool) -> Vec<RoundOutput> {
        self.rounds.remove(&request);
        self.group
            .members
            .keys()
            .map(|member| {
                let message = PeerMessage::ClaimEnded {
                    key: key.to_owned(),
                    request,
                    withdrawn,
                };
                RoundOutput::Send(member.clone(), message)
            })
            .collect()
    }
}

/// Returns the messages to members that have not recorded the claim; at first
/// only one member is asked.
fn claim_messages(group: &ClaimGroup, request: RequestId, round: &Round) -> Vec<RoundOutput> {
    let member_count = if round.is_first_member_only {
        1
    } else {
        group.members.len()
    };
    rendezvous::ranked(&round.key, group.members.keys())
        .into_iter()
        .take(member_count)
        .filter(|member| !round.recorded.contains(*member))
        .map(|member| {
            let message = PeerMessage::Claim {
                epoch: round.epoch,
                key: round.key.clone(),
                request,
            };
            RoundOutput::Send(member.clone(), message)
        })
        .collect()
}
