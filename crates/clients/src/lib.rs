//! Clients of the platform's services and of back ends.
//!
//! The table service is accessed through the JSON gateway of etcd v3, the machine list is read by
//! Prometheus HTTP service discovery, and engines accept orders as JSON over HTTP.

pub mod engine_client;
pub mod etcd;
pub mod http_client;
pub mod machine_list;
pub mod table_client;

pub use engine_client::EngineClient;
pub use http_client::{HttpClient, HttpError};
pub use machine_list::{MachineListClient, MachineListError};
pub use table_client::TableClient;
