//! The interface between a gateway and the platform that it runs on.
//!
//! One implementation translates between these types and the platform's wire format, and tests use
//! a fake. No other module of this crate depends on names of a platform.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use gorsebank_contract::{TableRow, Transaction, TransactionResult};
use gorsebank_fleet::placement::{OrderKind, OrderResult};
use gorsebank_fleet::{
    ApiKey, BackEndReport, Configuration, EngineReport, Prompt, RequestedPause, StatedLimit,
};
use gorsebank_world::{AdapterId, BackEndId, ModelId, NodeId, ZoneId};
use http::{HeaderMap, Request, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Metadata of a request, from its HTTP headers.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Identifier of the request, which responses repeat.
    pub id: String,
    /// Time that the caller waits for a response.
    pub deadline: Option<Duration>,
    /// Requested model.
    pub model: Option<ModelId>,
    /// Requested adapter of that model.
    pub adapter: Option<AdapterId>,
    pub prompt: Prompt,
    /// Sum of the prompt's tokens and of the maximum number of tokens in the response.
    pub tokens: Option<u64>,
    /// Identifier of the last event that the caller has received.
    pub last_event: Option<String>,
    /// Identifier of the request that brought the first event of the stream, if the caller takes up
    /// a stream that was broken off.
    pub resumes: Option<String>,
}

/// What a gateway sends to a back end in the headers of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptHeaders<'a> {
    /// The only back end that may run the request.
    pub back_end: &'a BackEndId,
    /// Remaining time for the request.
    pub time_left: Duration,
    /// Priority of the tenant or, without a tenant, of the route; 0 is the most urgent.
    pub priority: u8,
    /// Name of the tenant, where callers have API keys.
    pub tenant: Option<&'a str>,
    /// Identifier of the event after which the stream continues.
    pub last_event: Option<&'a str>,
}

/// Metadata of a back end's response, from its HTTP headers.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the back end states that it did not run the request.
    pub has_not_run: bool,
    /// The rate limit that the back end states.
    pub limit: StatedLimit,
    /// Number of rejections per second above which the back end fails; `None` if it is not brittle.
    pub max_rejections: Option<f64>,
    /// Whether the back end is draining: it finishes its requests for a while and then exits.
    pub is_draining: bool,
    /// Time for which the back end asks this gateway to send no requests.
    pub pause: RequestedPause,
}

/// An order with the placement holder's fencing token.
#[derive(Clone, Debug)]
pub struct FencedOrder<'a> {
    pub order: &'a OrderKind,
    /// Engine that carries out the order.
    pub engine: &'a BackEndId,
    /// Number of orders that the engine must have accepted before.
    pub sequence: u64,
    /// Name of the placement holder.
    pub holder: &'a NodeId,
    /// Fencing token of the placement holder.
    pub fence: u64,
}

/// Rows of a table as of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableSnapshot {
    pub rows: Vec<TableRow>,
    /// Version of the table.
    pub version: u64,
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// The row was written.
    Put(TableRow),
    /// The row was removed.
    Removed {
        /// Key of the removed row.
        key: String,
        /// Version of the table at which the row was removed.
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
    pub changes: Vec<RowChange>,
    /// Version from which the next request for changes continues.
    pub version: u64,
}

/// Why a read of the table failed.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableError {
    /// The table does not keep changes since the given version any more; the whole table must be
    /// read.
    #[error("the table no longer keeps the changes since this version")]
    HistoryGone,
    /// The table rejected the call because of too many calls; the call had no effect.
    #[error("the table rejected the call because of too many calls")]
    Throttled,
    /// The table reported an error status; the call had no effect.
    #[error("table unavailable: status {0}")]
    Unavailable(u16),
    /// The call timed out, or the connection was lost.
    #[error("no response from the table: {0}")]
    #[serde(rename = "Lost")]
    NoResponse(String),
    /// The response could not be parsed.
    #[error("invalid response from the table: {0}")]
    #[serde(rename = "Content")]
    InvalidResponse(String),
}

/// A table service with a change feed. Keys have the form `TABLE/KEY`.
pub trait WatchedTable: Send + Sync + 'static {
    /// Reads all rows of a table.
    fn read<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<TableSnapshot, TableError>>;

    /// Returns the changes after `version`; waits up to `wait` for the first change.
    fn changes<'a>(
        &'a self,
        table: &'a str,
        version: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<TableChanges, TableError>>;

    /// Runs a transaction. Rows that the transaction reads are not returned.
    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, TransactionResult>;

    /// Removes a row if `version` is the version at which the row was last written.
    fn remove<'a>(&'a self, key: &'a str, version: u64) -> BoxFuture<'a, TransactionResult>;
}

/// An answer of a table service that may be restored from an older copy.
#[derive(Clone, Debug)]
pub struct EraAnswer<T> {
    /// Number of times that the service was restored before it sent the response.
    pub era: u64,
    /// HTTP status of the response.
    pub status: u16,
    pub content: T,
}

/// Rows that a table service sent, with versions of the service's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedRows {
    /// The rows, or their changes in order.
    pub changes: Vec<RowChange>,
    /// Newest version of the service.
    pub version: u64,
    /// Key from which the next page of rows continues; `None` after the last page.
    pub next: Option<String>,
}

/// The answer to a call that reads rows, or an error if no response arrived.
pub type RowsResult = Result<EraAnswer<Result<VersionedRows, TableError>>, TableError>;

/// The response of a table service to a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionedWrite {
    /// All conditions held and the write was made at the version of these rows.
    Committed(VersionedRows),
    /// A condition did not hold; nothing was written. Contains the current rows.
    Conflict(VersionedRows),
    /// The service rejected the call. Nothing was written or will be written later.
    Refused {
        /// Whether the service limited the rate of calls; otherwise it is unavailable.
        throttled: bool,
    },
    /// The response does not tell whether the write was made.
    Unknown,
}

/// The answer to a write, or an error if no response arrived.
pub type WriteResult = Result<EraAnswer<VersionedWrite>, TableError>;

/// A table service that numbers its writes by versions of its own, which it assigns again after it
/// was restored from an older copy. [`RestorableTable`](crate::restorable_table::RestorableTable)
/// turns it into a [`WatchedTable`]. All versions here, also in rows and conditions, are the
/// service's own. Keys have the form `TABLE/KEY`. Every response states its era, also one that
/// reports an error.
pub trait VersionedTable: Send + Sync + 'static {
    /// Reads a page of a table's rows in ascending order of keys, from a key that the previous page
    /// stated. The first page is from the empty key.
    fn page<'a>(&'a self, table: &'a str, from: &'a str) -> BoxFuture<'a, RowsResult>;

    /// Returns the changes after `version`; waits up to `wait` for the first change.
    fn changes_after<'a>(
        &'a self,
        table: &'a str,
        version: u64,
        wait: Duration,
    ) -> BoxFuture<'a, RowsResult>;

    /// Writes rows if all conditions hold. Rows that the transaction reads are not returned.
    fn write(&self, transaction: Transaction) -> BoxFuture<'_, WriteResult>;

    /// Removes a row if `version` is the version at which the row was last written.
    fn remove_at<'a>(&'a self, key: &'a str, version: u64) -> BoxFuture<'a, WriteResult>;
}

/// Why a row could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowFault {
    /// The value is not valid UTF-8.
    Bytes,
    /// The value is not a document of the expected schema: a field is missing or has another type.
    Shape,
    /// A field has an unknown enumerated value.
    UnknownValue,
}

impl RowFault {
    /// Value for log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            RowFault::Bytes => "bytes",
            RowFault::Shape => "shape",
            RowFault::UnknownValue => "unknown_word",
        }
    }
}

/// The value of a row whose bytes are not valid UTF-8. A valid document is never empty.
pub const UNREADABLE_VALUE: &str = "";

/// A row or a response that does not conform to the platform's schema.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{location}: {reason}")]
pub struct SchemaError {
    pub fault: RowFault,
    /// Row and field of the error.
    pub location: String,
    /// Description of the error.
    pub reason: String,
}

/// Names of the platform's own tables and of the tables that gateways write.
#[derive(Clone, Copy, Debug)]
pub struct TableNames {
    /// Table of the configuration.
    pub configuration: &'static str,
    /// Table with one row for each back end.
    pub back_ends: &'static str,
    /// Table with one row for each gateway: its address for other gateways and the capacity of its
    /// machine.
    pub members: &'static str,
    /// Table with one row for each engine that received an order.
    pub placed: &'static str,
    /// Table of leases, of which one is the placement lease.
    pub lease: &'static str,
    /// Table of state that outlasts a lease holder: recent loads from the weight store, saved quota
    /// usage of tenants, and the quarantine row.
    pub saved_state: &'static str,
    /// Table of engine speeds with one row for each service, written by the placement holder.
    pub prefill_speeds: &'static str,
    /// Table of the software versions that began streams, written by the placement holder while
    /// versions are mixed.
    pub stream_origins: &'static str,
}

/// A platform, as a gateway uses it.
pub trait Platform: Send + Sync + 'static {
    fn table(&self) -> &dyn WatchedTable;

    fn tables(&self) -> TableNames;

    /// Path of the readiness endpoint.
    fn readiness_path(&self) -> &'static str;

    /// Parses a configuration row. Returns `None` if the row is not a configuration row.
    fn parse_configuration(&self, row: &TableRow) -> Result<Option<Configuration>, SchemaError>;

    /// Returns the evacuated zone that a row in the table of the configuration names, by the row's
    /// key. While that row exists, back ends in the zone receive no requests. Returns `None` for
    /// any other row.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneId>;

    /// Parses a back end's row.
    fn parse_back_end(&self, row: &TableRow) -> Result<BackEndReport, SchemaError>;

    /// Parses the headers of a request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Removes the caller's API key from the headers of a request and returns the key.
    fn take_api_key(&self, headers: &mut HeaderMap) -> Option<ApiKey>;

    /// Sets the headers of one attempt.
    fn set_attempt_headers(&self, headers: &mut HeaderMap, attempt: &AttemptHeaders<'_>);

    /// Parses the headers of a response.
    fn response_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Sets the header that states when the caller should retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, pause: Duration);

    /// Creates the request for an engine's state. The response bears the same identifier.
    fn report_request(&self, engine: &BackEndId, id: &str) -> Request<Bytes>;

    /// Parses an engine's state.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, SchemaError>;

    /// Creates the request that sends an order. The response bears the same identifier.
    fn order_request(&self, order: &FencedOrder<'_>, id: &str) -> Request<Bytes>;

    /// Returns what the status of an engine's response to an order means.
    fn order_result(&self, status: StatusCode) -> OrderResult;
}
