//! Client that reads the platform's machine list by Prometheus HTTP service discovery.
//!
//! Each target group describes one machine. Its only target is the address of the machine. Its labels
//! are `role` (`node`, `engine`, `application`), `id`, `zone`, `cell`, `service`, `memory` (such as
//! `80GiB`), `slots` and `state` (`live`, `leaving`). All other labels become labels of the back end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytesize::ByteSize;
use gorsebank_world::{Labels, Machine, MachineList, MachineRole, MachineState, NodeEntry};
use http::Method;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::http_client::{HttpClient, HttpError};

/// Labels that set the fields of a machine. All other labels are copied to the back end.
const FIELD_LABELS: [&str; 8] = [
    "role", "id", "zone", "cell", "service", "memory", "slots", "state",
];
/// Number of requests that a back end runs concurrently if the list gives no number.
const DEFAULT_SLOTS: u32 = 16;

/// A target group of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetGroup {
    /// Addresses. The machine list has exactly one in each group.
    pub targets: Vec<String>,
    /// Labels of the target.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

/// An entry of the machine list is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("machine list entry {position}: {reason}")]
pub struct MachineListError {
    /// Position of the entry in the list, starting at 1.
    pub position: usize,
    /// Description of the error.
    pub reason: String,
}

enum Entry {
    Node(NodeEntry),
    BackEnd(Machine),
}

/// A client of the machine list.
#[derive(Debug)]
pub struct MachineListClient {
    http: HttpClient,
    address: SocketAddr,
    path: String,
    timeout: Duration,
}

impl MachineListClient {
    /// Creates a client that reads the list from `path` on the server at `address`.
    pub fn new(http: HttpClient, address: SocketAddr, path: String, timeout: Duration) -> Self {
        MachineListClient {
            http,
            address,
            path,
            timeout,
        }
    }

    /// Reads the list. Invalid entries are omitted from the list and returned as errors.
    pub async fn read(&self) -> Result<(MachineList, Vec<MachineListError>), HttpError> {
        let response = self.http.call::<(), Vec<TargetGroup>>(
            Method::GET,
            self.address,
            &self.path,
            None,
            self.timeout,
        );
        let (status, groups) = response.await?;
        if !status.is_success() {
            return Err(HttpError::Status(status));
        }
        Ok(parse(&groups))
    }
}

/// Converts target groups into machines. Invalid groups are returned as errors.
pub fn parse(groups: &[TargetGroup]) -> (MachineList, Vec<MachineListError>) {
    let mut list = MachineList::default();
    let mut errors = Vec::new();
    for (index, group) in groups.iter().enumerate() {
        match parse_entry(group) {
            Ok(Entry::Node(node)) => list.nodes.push(node),
            Ok(Entry::BackEnd(machine)) => list.back_ends.push(machine),
            Err(reason) => errors.push(MachineListError {
                position: index + 1,
                reason,
            }),
        }
    }
    list.nodes.sort_by(|one, other| one.id.cmp(&other.id));
    list.back_ends.sort_by(|one, other| one.id.cmp(&other.id));
    (list, errors)
}

fn parse_entry(group: &TargetGroup) -> Result<Entry, String> {
    let [target] = group.targets.as_slice() else {
        return Err(format!(
            "group has {} targets instead of 1",
            group.targets.len()
        ));
    };
    let address: SocketAddr = target
        .parse()
        .map_err(|_| format!("target `{target}` is not an IP address with a port"))?;
    let role = match required_label(group, "role")? {
        "node" => {
            return Ok(Entry::Node(NodeEntry {
                id: required_label(group, "id")?.into(),
                address,
                zone: required_label(group, "zone")?.into(),
                cell: required_label(group, "cell")?.into(),
            }));
        }
        "engine" => MachineRole::Engine,
        "application" => MachineRole::Application,
        other => return Err(format!("label role=`{other}` is unknown")),
    };
    let mut labels = Labels::default();
    for (key, value) in &group.labels {
        if !FIELD_LABELS.contains(&key.as_str()) {
            labels.set(key, value);
        }
    }
    Ok(Entry::BackEnd(Machine {
        id: required_label(group, "id")?.into(),
        address,
        zone: required_label(group, "zone")?.into(),
        service: required_label(group, "service")?.into(),
        role,
        memory: parse_memory(group, role)?,
        slots: parse_slots(group)?,
        state: parse_state(group)?,
        labels,
    }))
}

fn required_label<'a>(group: &'a TargetGroup, key: &str) -> Result<&'a str, String> {
    group
        .labels
        .get(key)
        .map(String::as_str)
        .filter(|value| !value.is_empty())
        .ok_or_else(|| format!("label `{key}` is missing"))
}

fn parse_memory(group: &TargetGroup, role: MachineRole) -> Result<u64, String> {
    if role == MachineRole::Application {
        return Ok(0);
    }
    let text = required_label(group, "memory")?;
    text.parse::<ByteSize>()
        .map(|size| size.as_u64())
        .map_err(|_| format!("label memory=`{text}` is not a size such as 80GiB"))
}

fn parse_slots(group: &TargetGroup) -> Result<u32, String> {
    match group.labels.get("slots") {
        None => Ok(DEFAULT_SLOTS),
        Some(text) => text
            .parse()
            .map_err(|_| format!("label slots=`{text}` is not a whole number")),
    }
}

fn parse_state(group: &TargetGroup) -> Result<MachineState, String> {
    match group.labels.get("state").map(String::as_str) {
        None | Some("live") => Ok(MachineState::Live),
        Some("leaving") => Ok(MachineState::Draining),
        Some(other) => Err(format!("label state=`{other}` is unknown")),
    }
}
