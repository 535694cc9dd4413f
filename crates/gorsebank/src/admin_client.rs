//! Calls a node's admin address.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Context, bail, eyre};
use gorsebank_clients::HttpClient;
use gorsebank_node::admin::error::AdminError;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A change may take as long as the node waits for the table service.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// A client of one node.
pub struct AdminClient {
    http: HttpClient,
    node: SocketAddr,
}

impl AdminClient {
    /// A client of the node at `node`.
    pub fn new(node: SocketAddr) -> Self {
        AdminClient {
            http: HttpClient::default(),
            node,
        }
    }

    /// Calls a path and reads the answer.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> eyre::Result<A> {
        let (status, answer) = self
            .http
            .call::<Q, Value>(method, self.node, path, body, CALL_LIMIT)
            .await
            .wrap_err_with(|| format!("node {}", self.node))?;
        if status.is_success() {
            return serde_json::from_value(answer).wrap_err("the node's answer is not understood");
        }
        Err(describe(status, answer))
    }
}

fn describe(status: StatusCode, answer: Value) -> eyre::Report {
    match serde_json::from_value::<AdminError>(answer) {
        Ok(error) => match error.current_version {
            Some(version) => eyre!("{} (current version: {version})", error.message),
            None => eyre!("{}", error.message),
        },
        Err(_) => eyre!("the node answered with status {status}"),
    }
}

/// The path of a row, with a condition on its version.
pub fn row_path(kind: &str, name: &str, version: Option<u64>) -> eyre::Result<String> {
    if name.is_empty() || name.contains(['/', '?', '#', '%', ' ']) {
        bail!("`{name}` is no name of a row");
    }
    let condition = version.map_or_else(String::new, |version| format!("?version={version}"));
    Ok(format!("/v1/configuration/{kind}/{name}{condition}"))
}

/// A text as part of a query.
pub fn encoded(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
