//! A client of a node's admin interface.
//!
//! In: a method, a path and an optional body. Out: the decoded response, or an error with the
//! node's message.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Context, bail, eyre};
use gorsebank_clients::HttpClient;
use gorsebank_node::admin::error::AdminError;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Timeout of one call. A change of a row takes as long as the node waits for the table service.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A client of one node's admin interface.
pub struct AdminClient {
    http: HttpClient,
    node: SocketAddr,
}

impl AdminClient {
    /// A client of the node with the admin address `node`.
    pub fn new(node: SocketAddr) -> Self {
        AdminClient {
            http: HttpClient::default(),
            node,
        }
    }

    /// Sends a request and decodes the JSON response. A response with an error status is returned
    /// as an error that carries the node's message.
    pub async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> eyre::Result<R> {
        let (status, response) = self
            .http
            .call::<Q, Value>(method, self.node, path, body, CALL_TIMEOUT)
            .await
            .wrap_err_with(|| format!("node {}", self.node))?;
        if status.is_success() {
            return serde_json::from_value(response).wrap_err("cannot decode the node's response");
        }
        Err(error_report(status, response))
    }
}

/// The error that a response with an error status describes.
fn error_report(status: StatusCode, response: Value) -> eyre::Report {
    match serde_json::from_value::<AdminError>(response) {
        Ok(error) => match error.current_version {
            Some(version) => eyre!("{} (current version: {version})", error.message),
            None => eyre!("{}", error.message),
        },
        Err(_) => eyre!("the node responded with status {status}"),
    }
}

/// The path of a row. With `version`, the request succeeds only if the row has this version.
pub fn row_path(kind: &str, name: &str, version: Option<u64>) -> eyre::Result<String> {
    if name.is_empty() || name.contains(['/', '?', '#', '%', ' ']) {
        bail!("`{name}` is not a valid row name");
    }
    let condition = version.map_or_else(String::new, |version| format!("?version={version}"));
    Ok(format!("/v1/configuration/{kind}/{name}{condition}"))
}

/// Percent-encodes a text for use in a query string.
pub fn percent_encode(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
