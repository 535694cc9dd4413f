//! Stand-ins behind the published protocols.

pub mod application;
pub mod clock;
pub mod engine;
pub mod machine_list;
pub mod serve;
pub mod store;
pub mod stream;
pub mod table;
