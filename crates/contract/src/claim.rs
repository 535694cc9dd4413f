//! Claims: the right to run a request that may not be repeated.

use std::collections::BTreeMap;

use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

use crate::fence::{Epoch, Incarnation};
use crate::request::RequestId;

/// The nodes that keep a cell's claims, a row of the table service. A claim
/// holds once a majority of the members recorded it under the same epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimGroup {
    /// Grows with every change of members.
    pub epoch: Epoch,
    /// Members and the lives in which they joined: a restarted member has
    /// lost its claims and is no member until it joins again.
    pub members: BTreeMap<NodeId, Incarnation>,
}

impl ClaimGroup {
    /// Members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// What became of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Claimed; it may be running.
    Claimed,
    /// It ran to its end.
    Completed,
}

/// One claim as a member records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The request that claimed the key.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// Its state.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// A member's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// Recorded for this request.
    Recorded,
    /// Another request has the key.
    Taken(ClaimRecord),
    /// Claims of former members may be lost; for so many milliseconds more no
    /// unknown key is certain to be unused.
    InDoubt(u64),
    /// The member keeps no claims under that epoch; the group it knows of.
    WrongEpoch(ClaimGroup),
}
