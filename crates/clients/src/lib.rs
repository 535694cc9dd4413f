//! Clients of the platform and of back ends, by published protocols.
//!
//! The table service speaks the JSON gateway of etcd v3, the machine list is
//! Prometheus HTTP service discovery, and engines take orders as JSON.

pub mod engine_client;
pub mod etcd;
pub mod http_client;
pub mod machine_list;
pub mod table_client;

pub use engine_client::EngineClient;
pub use http_client::{HttpClient, HttpError};
pub use machine_list::{MachineListClient, MachineListError};
pub use table_client::TableClient;
