//! What a gateway asks one that feeds it, and the answer.

use std::sync::Arc;

use gorsebank_fleet::quarantine::Position;
use gorsebank_fleet::running::Counts;
use gorsebank_fleet::{ToldDeparture, ToldLimit};
use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

use super::packed::PackedChange;
use super::page::{PageAsk, TablePage};
use crate::quarantine::QuarantineNews;

/// How far a gateway knows a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePosition {
    /// The table.
    #[serde(rename = "t")]
    pub table: String,
    /// All changes up to this version are known; none if nothing is.
    #[serde(rename = "v")]
    pub version: Option<u64>,
    /// Of several changes of one row the newest is enough.
    #[serde(rename = "n")]
    pub newest_only: bool,
    /// What was confirmed longer ago than this, in milliseconds, is of no use: such an
    /// answer is given at once, so that another gateway can be asked.
    #[serde(rename = "m")]
    pub most_age: u64,
    /// Of a whole table one page is to be told; none from a gateway that takes tables in one
    /// message, as one of an older version.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub page: Option<PageAsk>,
}

/// A question for news of tables, all in one message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedQuestion {
    /// The tables, the most urgent first.
    pub tables: Vec<TablePosition>,
    /// Longest wait for the first change, in milliseconds.
    pub wait: u64,
    /// Who asks.
    pub from: NodeId,
    /// What the asker and those it feeds have running at back ends.
    pub running: Counts,
    /// How far it knows what the one that is asked tells of requests that end back ends;
    /// none if it knows nothing, as one of an older version.
    #[serde(default)]
    pub quarantine: Option<Position>,
    /// Limits that back ends state, as the asker knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<ToldLimit>,
    /// Back ends that leave, as the asker knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<ToldDeparture>,
}

/// News of one table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableNews {
    /// The table.
    #[serde(rename = "t")]
    pub table: String,
    /// Time since the table confirmed them, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// Time since the moment for which the table is proved to hold just this, in
    /// milliseconds; none if there is no proof.
    #[serde(rename = "p", default)]
    pub proved_age: Option<u64>,
    /// The news.
    #[serde(rename = "n")]
    pub news: News,
}

/// Rows or changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// All rows: the asker knows nothing, or too little.
    Rows {
        /// The rows.
        rows: Vec<Arc<PackedChange>>,
        /// Version of the table.
        version: u64,
    },
    /// What changed since.
    Changes {
        /// The changes, in order.
        changes: Vec<Arc<PackedChange>>,
        /// Version of the table.
        version: u64,
    },
    /// Some of all rows, for an asker that takes pages.
    Page(Arc<TablePage>),
}

/// Answer to a [`FeedQuestion`]; a table that is not known is left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FeedAnswer {
    /// News of the tables that were asked for.
    pub tables: Vec<TableNews>,
    /// How long the answer waited for news, in milliseconds: it is younger than its question
    /// by so much at least.
    #[serde(default)]
    pub held: u64,
    /// What all gateways have running at back ends; none if it is not known.
    pub running: Option<Counts>,
    /// Requests under which back ends ended; none from a gateway of an older version.
    #[serde(default)]
    pub quarantine: Option<QuarantineNews>,
    /// Limits that back ends state, as the teller knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<ToldLimit>,
    /// Back ends that leave, as the teller knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<ToldDeparture>,
}
