//! Messages between a gateway and its parent: the request for updates of tables, and the response.

use std::sync::Arc;

use gorsebank_fleet::quarantine::EventPosition;
use gorsebank_fleet::running::Counts;
use gorsebank_fleet::{DrainNotice, LimitNotice, LivenessProof};
use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

use super::packed::PackedChange;
use super::page::{PageRequest, TablePage};
use crate::quarantine::QuarantineUpdate;

/// The state of a table at the gateway that requests updates of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePosition {
    /// The table.
    #[serde(rename = "t")]
    pub table: String,
    /// The version up to which the gateway has all changes; `None` if it needs the whole table.
    #[serde(rename = "v")]
    pub version: Option<u64>,
    /// Whether the newest of several changes of a row is sufficient.
    #[serde(rename = "n")]
    pub newest_only: bool,
    /// Maximum useful age of the table's content since the table confirmed it, in milliseconds. A
    /// parent whose content is older responds at once, so that the gateway can ask another one.
    #[serde(rename = "m")]
    pub max_age_ms: u64,
    /// The page to send if the whole table has to be sent; `None` from a gateway that receives
    /// whole tables in one message, as gateways of earlier builds do.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub page: Option<PageRequest>,
}

/// A request for updates of several tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// The tables, in descending order of urgency.
    pub tables: Vec<TablePosition>,
    /// Maximum wait for the first change, in milliseconds.
    #[serde(rename = "wait")]
    pub wait_ms: u64,
    /// The gateway that sends the request.
    pub from: NodeId,
    /// The requests that the sender and all gateways below it have running at back ends.
    pub running: Counts,
    /// The position up to which the sender has the receiver's quarantine updates; `None` if it has
    /// none, or is of an earlier build.
    #[serde(default)]
    pub quarantine: Option<EventPosition>,
    /// Rate limits that back ends state, as known to the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitNotice>,
    /// Draining back ends, as known to the sender.
    #[serde(rename = "departures", default, skip_serializing_if = "Vec::is_empty")]
    pub drain_notices: Vec<DrainNotice>,
    /// Proofs that back ends are alive whose exit was recorded, as known to the sender.
    #[serde(rename = "alive", default, skip_serializing_if = "Vec::is_empty")]
    pub liveness_proofs: Vec<LivenessProof>,
}

/// An update of one table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The table.
    #[serde(rename = "t")]
    pub table: String,
    /// Time since the table confirmed the content, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Time since the latest moment for which the content is known to equal the table, in
    /// milliseconds; `None` if there is no such moment.
    #[serde(rename = "p", default)]
    pub verified_age_ms: Option<u64>,
    /// The rows or changes.
    #[serde(rename = "n")]
    pub content: UpdateContent,
}

impl TableUpdate {
    /// The version of the table that the update contains.
    pub fn version(&self) -> u64 {
        match &self.content {
            UpdateContent::Rows { version, .. } | UpdateContent::Changes { version, .. } => {
                *version
            }
            UpdateContent::Page(page) => page.version,
        }
    }
}

/// The content of an update of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateContent {
    /// All rows, for a gateway without a version or with one that is too old.
    Rows {
        /// The rows.
        rows: Vec<Arc<PackedChange>>,
        /// The version of the table.
        version: u64,
    },
    /// The changes since the version of the request.
    Changes {
        /// The changes, in order.
        changes: Vec<Arc<PackedChange>>,
        /// The version of the table.
        version: u64,
    },
    /// One page of all rows, for a gateway that requested pages.
    Page(Arc<TablePage>),
}

/// The response to a [`FeedRequest`]. Tables that the sender does not know are omitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FeedResponse {
    /// Updates of the requested tables.
    pub tables: Vec<TableUpdate>,
    /// Time between the arrival of the request and the response, in milliseconds. The response is
    /// younger than the request by at least this time.
    #[serde(rename = "held", default)]
    pub held_ms: u64,
    /// The requests that all gateways together have running at back ends; `None` if not known.
    pub running: Option<Counts>,
    /// Requests under which back ends crashed; `None` from a gateway of an earlier build.
    #[serde(default)]
    pub quarantine: Option<QuarantineUpdate>,
    /// Rate limits that back ends state, as known to the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitNotice>,
    /// Draining back ends, as known to the sender.
    #[serde(rename = "departures", default, skip_serializing_if = "Vec::is_empty")]
    pub drain_notices: Vec<DrainNotice>,
    /// Proofs that back ends are alive whose exit was recorded, as known to the sender.
    #[serde(rename = "alive", default, skip_serializing_if = "Vec::is_empty")]
    pub liveness_proofs: Vec<LivenessProof>,
}
