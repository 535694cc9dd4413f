//! The placement lease of a cell, a row of the table service.

use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

use crate::fence::Fence;
use crate::table::TransactionId;

/// The lease row. Every transaction of the holder compares and rewrites it, so
/// a lost transaction can be told from one that never happened, and a former
/// holder's transaction can no longer commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The node that decides for the cell.
    pub holder: NodeId,
    /// Its fence.
    pub fence: Fence,
    /// The transaction that wrote the row.
    pub transaction: TransactionId,
}
