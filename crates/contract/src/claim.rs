//! Claims of idempotency keys. A node sends a request that must not run twice only after it has
//! claimed the key of the request.

use std::collections::BTreeMap;

use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

use crate::fence::{Epoch, Incarnation};
use crate::request::RequestId;

/// The nodes that store the claims of a cell, as a row of the table service. A claim takes effect
/// once a majority of the members has recorded it under the same epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimGroup {
    /// The generation of the group, which increases with every change of the members.
    pub epoch: Epoch,
    /// The members, each with the incarnation in which it joined. A restarted node has lost its
    /// claims and is not a member until it joins again.
    pub members: BTreeMap<NodeId, Incarnation>,
}

impl ClaimGroup {
    /// Number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// The state of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The key is claimed, and the request may be running.
    Claimed,
    /// The request ran to completion.
    Completed,
}

/// A claim as a member of the group records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The request for which the key was claimed.
    #[serde(rename = "r")]
    pub request: RequestId,
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// The response of a group member to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The key is recorded for this request.
    Recorded,
    /// The key is recorded for another request.
    Taken(ClaimRecord),
    /// Claims of previous groups may be lost, so an unknown key may have been used. The value is the
    /// time in milliseconds for which this remains so.
    InDoubt(u64),
    /// The member records no claims under the epoch of the claim. The value is the group that the
    /// member knows.
    WrongEpoch(ClaimGroup),
}
