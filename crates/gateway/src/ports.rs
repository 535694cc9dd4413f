//! What a gateway needs of the platform it runs on.
//!
//! One implementation translates between these types and a platform's wire;
//! tests have a stand-in. Nothing else in this crate knows a platform's names.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use gorsebank_contract::{TableAnswer, TableRow, Transaction};
use gorsebank_fleet::placement::{OrderKind, OrderResult};
use gorsebank_fleet::{
    ApiKey, BackEndReport, Configuration, EngineReport, Prompt, RequestedPause, Statement,
};
use gorsebank_world::{AdapterId, BackEndId, ModelId, NodeId, ZoneId};
use http::{HeaderMap, Request, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a request says of itself in its head.
#[derive(Clone, Debug, Default)]
pub struct Ticket {
    /// Names the request; answers repeat it.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The model that it asks for.
    pub model: Option<ModelId>,
    /// The adapter of that model.
    pub adapter: Option<AdapterId>,
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens of the prompt and of the longest answer, together.
    pub tokens: Option<u64>,
    /// The last event that the caller has.
    pub last_event: Option<String>,
}

/// What the gateway tells a back end with a request.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// The only back end that may run it.
    pub back_end: &'a BackEndId,
    /// How long it may take.
    pub time_left: Duration,
    /// Rank of its tenant, or else of its route; 0 is the most urgent.
    pub priority: u8,
    /// Whose request it is, where callers have keys.
    pub tenant: Option<&'a str>,
    /// Continue after this event.
    pub last_event: Option<&'a str>,
}

/// What the head of a back end's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerMarks {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// It says that the request was not run.
    pub not_run: bool,
    /// How many requests the back end takes.
    pub limit: Statement,
    /// The back end leaves: it serves on for a while, and then ends.
    pub is_leaving: bool,
    /// For how long the back end wants no requests from this gateway.
    pub pause: RequestedPause,
}

/// An order with the holder's generation.
#[derive(Clone, Debug)]
pub struct FencedOrder<'a> {
    /// What to do.
    pub order: &'a OrderKind,
    /// The engine that is meant.
    pub engine: &'a BackEndId,
    /// Orders that it must have taken.
    pub sequence: u64,
    /// The holder's name.
    pub holder: &'a NodeId,
    /// The holder's generation.
    pub fence: u64,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableSnapshot {
    /// All rows read.
    pub rows: Vec<TableRow>,
    /// Version of the table.
    pub version: u64,
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// The row was written.
    Put(TableRow),
    /// The row with this key was removed at this version.
    Removed {
        /// Its key.
        key: String,
        /// Version of the removal.
        version: u64,
    },
}

impl RowChange {
    /// Version of the table at which the row changed.
    pub fn version(&self) -> u64 {
        match self {
            RowChange::Put(row) => row.modified,
            RowChange::Removed { version, .. } => *version,
        }
    }
}

/// Changes of a table, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The changes.
    pub changes: Vec<RowChange>,
    /// Version to continue from.
    pub version: u64,
}

/// Why a read of the table gave nothing.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableError {
    /// Changes since that version are not kept any more: read the whole table.
    #[error("history is gone")]
    HistoryGone,
    /// Too many calls; nothing was done.
    #[error("too many calls")]
    Throttled,
    /// The table says that it cannot answer; nothing was done.
    #[error("unavailable: status {0}")]
    Unavailable(u16),
    /// No answer in time, or the connection was lost.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer is not understood.
    #[error("answer is not understood: {0}")]
    Content(String),
}

/// A table that can be followed. Keys are `TABLE/KEY`.
pub trait WatchedTable: Send + Sync + 'static {
    /// All rows of a table.
    fn read<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<TableSnapshot, TableError>>;

    /// Changes after `version`; waits up to `wait` for the first.
    fn changes<'a>(
        &'a self,
        table: &'a str,
        version: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<TableChanges, TableError>>;

    /// Runs a transaction; its reads are not used.
    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, TableAnswer>;

    /// Removes a row if the version that last wrote it is `version`.
    fn remove<'a>(&'a self, key: &'a str, version: u64) -> BoxFuture<'a, TableAnswer>;
}

/// In what way a row says nothing that could be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowFault {
    /// Its bytes are no text.
    Bytes,
    /// It is no document of the right shape: a field is missing or of another type.
    Shape,
    /// A field holds a word that is not known.
    UnknownWord,
}

impl RowFault {
    /// A word for lines and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            RowFault::Bytes => "bytes",
            RowFault::Shape => "shape",
            RowFault::UnknownWord => "unknown_word",
        }
    }
}

/// The value of a row whose bytes are no text: no document is empty.
pub const UNREADABLE_VALUE: &str = "";

/// A row or an answer that is not what the platform's pages say.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{place}: {reason}")]
pub struct ContentError {
    /// In what way.
    pub fault: RowFault,
    /// Which field of which row.
    pub place: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Names of the platform's own tables, and of those that the gateways write.
#[derive(Clone, Copy, Debug)]
pub struct TableNames {
    /// Holds the configuration.
    pub configuration: &'static str,
    /// Holds one row for each back end.
    pub back_ends: &'static str,
    /// One row for each gateway: where it answers others, and what its machine can carry.
    pub members: &'static str,
    /// One row for each engine that was ordered something.
    pub placed: &'static str,
    /// The placement lease.
    pub lease: &'static str,
    /// Loads from the weight store of late, written with the lease.
    pub loads: &'static str,
    /// How fast engines are, one row for each service, written by the placement holder.
    pub reading: &'static str,
}

/// The platform, as a gateway sees it.
pub trait Platform: Send + Sync + 'static {
    /// The table service.
    fn table(&self) -> &dyn WatchedTable;

    /// Names of tables.
    fn tables(&self) -> TableNames;

    /// The path at which readiness is asked.
    fn readiness_path(&self) -> &'static str;

    /// Reads a configuration row; none if the row is something else.
    fn configuration(&self, row: &TableRow) -> Result<Option<Configuration>, ContentError>;

    /// The zone whose back ends are to get nothing while a row with this key stands in the table
    /// of the configuration; none if it is another row.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneId>;

    /// Reads a back end's row.
    fn back_end(&self, row: &TableRow) -> Result<BackEndReport, ContentError>;

    /// Reads the head of a request.
    fn ticket(&self, headers: &HeaderMap) -> Ticket;

    /// Takes the caller's key out of the head of a request.
    fn take_key(&self, headers: &mut HeaderMap) -> Option<ApiKey>;

    /// Marks the head of a request for one attempt.
    fn mark_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptHead<'_>);

    /// Reads the head of an answer.
    fn answer_marks(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMarks;

    /// Adds when to come back.
    fn mark_retry_after(&self, headers: &mut HeaderMap, pause: Duration);

    /// A question for an engine's state.
    fn report_request(&self, engine: &BackEndId) -> Request<Bytes>;

    /// Reads an engine's state.
    fn report(&self, body: &[u8]) -> Result<EngineReport, ContentError>;

    /// An order as a request.
    fn order_request(&self, order: &FencedOrder<'_>) -> Request<Bytes>;

    /// What an engine's answer to an order means.
    fn order_result(&self, status: StatusCode) -> OrderResult;
}
