//! A front's side of claiming: asks the members of the claim group.
//!
//! In: claims wanted, members' answers, time. Out: messages to members and one
//! verdict for each claim.
//!
//! For each key one member is asked first, and the others once it recorded the
//! claim: of several requests that claim a key at the same moment the one that
//! came first there wins, where otherwise each might get one member and none a
//! majority. If the first member does not answer, the others are asked anyway.

use crate::collections::HashMap;
use std::collections::BTreeSet;

use gorsebank_contract::{ClaimAnswer, ClaimGroup, Epoch, PeerMessage, RequestId};
use gorsebank_world::NodeId;

use crate::rendezvous;
use crate::settings::ClaimSettings;
use crate::time::Timestamp;

/// Pause before a claim is sent again to members that did not answer.
const RESEND_INTERVAL: u64 = 200;
/// The first member is asked alone for so long, in milliseconds.
const FIRST_MEMBER_PATIENCE: u64 = 60;

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key belongs to this request: it may be sent once.
    Won,
    /// Another request has the key and may have run.
    Taken,
    /// No majority could be asked in time.
    InDoubt {
        /// When to come back, in milliseconds.
        retry_after: u64,
    },
}

/// What a round of claiming wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RoundOutput {
    /// Send a message to a member.
    Send(NodeId, PeerMessage),
    /// The claim is decided.
    Decided(RequestId, ClaimVerdict),
    /// Another group seems to be in force.
    GroupSeen(ClaimGroup),
}

#[derive(Clone, Debug)]
struct Round {
    key: String,
    epoch: Epoch,
    recorded: BTreeSet<NodeId>,
    first_only: bool,
    started: Timestamp,
    sent: Timestamp,
    expires: Timestamp,
}

/// The claims that wait for a majority.
#[derive(Debug)]
pub struct ClaimRounds {
    settings: ClaimSettings,
    group: ClaimGroup,
    rounds: HashMap<RequestId, Round>,
}

impl ClaimRounds {
    /// No claims.
    pub fn new(settings: ClaimSettings) -> Self {
        ClaimRounds {
            settings,
            group: ClaimGroup::default(),
            rounds: HashMap::default(),
        }
    }

    /// The group that is asked.
    pub fn group(&self) -> &ClaimGroup {
        &self.group
    }

    /// Takes in a group; an older one is ignored.
    pub fn set_group(&mut self, group: ClaimGroup) -> bool {
        if group.epoch <= self.group.epoch {
            return false;
        }
        self.group = group;
        true
    }

    /// Starts a claim.
    pub fn start(&mut self, now: Timestamp, request: RequestId, key: String) -> Vec<RoundOutput> {
        let round = Round {
            key,
            epoch: self.group.epoch,
            recorded: BTreeSet::new(),
            first_only: true,
            started: now,
            sent: now,
            expires: now + self.settings.timeout,
        };
        let output = ask(&self.group, request, &round);
        self.rounds.insert(request, round);
        output
    }

    /// Takes in a member's answer.
    pub fn answered(
        &mut self,
        member: &NodeId,
        epoch: Epoch,
        request: RequestId,
        answer: ClaimAnswer,
    ) -> Vec<RoundOutput> {
        let Some(round) = self.rounds.get_mut(&request) else {
            return Vec::new();
        };
        if round.epoch != epoch {
            return Vec::new();
        }
        match answer {
            ClaimAnswer::Recorded => {
                round.recorded.insert(member.clone());
                if round.recorded.len() >= self.group.majority() {
                    return self.decide(request, ClaimVerdict::Won);
                }
                if !std::mem::take(&mut round.first_only) {
                    return Vec::new();
                }
                let round = round.clone();
                ask(&self.group, request, &round)
            }
            ClaimAnswer::Taken(_) => self.decide(request, ClaimVerdict::Taken),
            ClaimAnswer::InDoubt(retry_after) => {
                self.decide(request, ClaimVerdict::InDoubt { retry_after })
            }
            ClaimAnswer::WrongEpoch(group) => vec![RoundOutput::GroupSeen(group)],
        }
    }

    fn decide(&mut self, request: RequestId, verdict: ClaimVerdict) -> Vec<RoundOutput> {
        self.rounds.remove(&request);
        vec![RoundOutput::Decided(request, verdict)]
    }

    /// Asks again where no answer came, and gives up what is late.
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
            let moved = round.epoch != self.group.epoch;
            if moved {
                round.epoch = self.group.epoch;
                round.recorded.clear();
            }
            let is_impatient =
                round.first_only && now.since(round.started) >= FIRST_MEMBER_PATIENCE;
            round.first_only &= !is_impatient;
            if moved || is_impatient || now.since(round.sent) >= RESEND_INTERVAL {
                round.sent = now;
                output.extend(ask(&self.group, request, round));
            }
        }
        for request in expired {
            let retry_after = self.settings.timeout;
            output.extend(self.decide(request, ClaimVerdict::InDoubt { retry_after }));
        }
        output
    }

    /// Tells the members that a claimed request ran, or will never run.
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

/// Asks the members that have not recorded the claim: at first only one.
fn ask(group: &ClaimGroup, request: RequestId, round: &Round) -> Vec<RoundOutput> {
    let asked = if round.first_only {
        1
    } else {
        group.members.len()
    };
    rendezvous::ranked(&round.key, group.members.keys())
        .into_iter()
        .take(asked)
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
