//! The placement lease of a cell, which is a row of the table service.

use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

use crate::fence::Fence;
use crate::table::TransactionId;

/// The lease row. Every transaction of the holder compares and rewrites this row. So the holder can
/// find out whether a transaction without a response has committed, and a transaction of a previous
/// holder can no longer commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The node that decides the placement in the cell.
    pub holder: NodeId,
    /// The fencing token of the holder.
    pub fence: Fence,
    /// The transaction that last wrote the row.
    pub transaction: TransactionId,
}
