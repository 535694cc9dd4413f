//! One module a command.

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
