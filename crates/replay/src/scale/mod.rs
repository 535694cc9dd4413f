//! Scale runs: hollow nodes, many in one process, for slopes at large sizes.
//!
//! Hollow nodes run the same decision objects as real ones and exchange the
//! same messages, encoded to count their bytes. Engines, table and links are
//! as simple as they can be: they answer after a fixed time.

pub mod account;
pub mod plot;
pub mod report;
pub mod workload;
pub mod world;

pub use report::{RoleReport, ScaleReport};
pub use world::{ScaleOptions, run};
