//! What gateways say to each other: a call of the table, a question for news, demand.

use gorsebank_contract::{TableAnswer, Transaction};
use gorsebank_fleet::DemandRow;
use gorsebank_fleet::quarantine::ToldOutcome;
use gorsebank_fleet::running::Counts;
use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

use crate::allowance::{Ask, AskAnswer};
use crate::feed::{FeedAnswer, FeedQuestion};
use crate::ports::{TableChanges, TableError, TableSnapshot};

/// What callers of one gateway ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldDemand {
    /// The gateway.
    pub from: NodeId,
    /// The demand.
    pub row: DemandRow,
    /// The gateway does not reach the holder: whoever hears this hands it on, once.
    pub hand_on: bool,
}

/// What a root and all below it have running at back ends. It bears the root's name both
/// in a question and in an answer, so that it counts once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootCounts {
    /// The root.
    pub from: NodeId,
    /// The counts.
    pub counts: Counts,
}

/// What a gateway asks of another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// All rows of a table.
    Read {
        /// The table.
        table: String,
    },
    /// Changes of a table.
    Changes {
        /// The table.
        table: String,
        /// After this version.
        version: u64,
        /// Longest wait for the first change, in milliseconds.
        wait: u64,
    },
    /// A question for news of tables.
    News(FeedQuestion),
    /// What a root and all below it have running at back ends.
    Running(RootCounts),
    /// What callers of a gateway ask for, for the placement holder.
    Demand(ToldDemand),
    /// A request that is to be counted for its tenant.
    Allowance(Ask),
    /// Requests under which back ends ended, as the asker and those that it feeds saw.
    Quarantine(Vec<ToldOutcome>),
    /// A transaction.
    Transact(Transaction),
    /// The removal of a row.
    Remove {
        /// The row.
        key: String,
        /// The version that last wrote it.
        version: u64,
    },
}

impl RelayRequest {
    /// Whether it changes the table.
    pub fn is_write(&self) -> bool {
        matches!(
            self,
            RelayRequest::Transact(_) | RelayRequest::Remove { .. }
        )
    }
}

/// The answer to a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// To a read.
    Rows(TableSnapshot),
    /// To a question for changes.
    Changes(TableChanges),
    /// To a question for news.
    News(FeedAnswer),
    /// To a root's counts: those of the root that answers.
    Running(RootCounts),
    /// To what was told of demand: whether it reached the gateway that places models.
    Heard {
        /// It did.
        by_holder: bool,
    },
    /// To a request that is to be counted.
    Allowance(AskAnswer),
    /// To what was told of requests that end back ends.
    Noted,
    /// To a transaction or a removal.
    Transacted(TableAnswer),
    /// The table gave no answer, or the gateway does not reach it either.
    Failed(TableError),
}
