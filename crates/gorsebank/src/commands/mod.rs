//! The commands of the program, one module each. `logs` is the log reader that several of them
//! share.

pub mod apply;
pub mod check_settings;
pub mod delete;
pub mod dev;
pub mod explain;
pub mod gateway;
pub mod get;
pub mod label;
pub mod logs;
pub mod losses;
pub mod node;
pub mod refused_rows;
pub mod status;
