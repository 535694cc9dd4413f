//! The platform's machine list, by Prometheus HTTP service discovery.
//!
//! Each target group is one machine: its address as the only target, and the
//! labels `role` (`node`, `engine`, `application`), `id`, `zone`, `cell`,
//! `service`, `memory` (such as `80GiB`), `slots` and `state` (`live`,
//! `leaving`). Other labels are the platform's marks on a back end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytesize::ByteSize;
use gorsebank_world::{Labels, Machine, MachineList, MachineRole, MachineState, NodeEntry};
use http::Method;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::http_client::{HttpClient, HttpError};

/// Labels that describe a machine; all others are marks.
const DESCRIPTIVE: [&str; 8] = [
    "role", "id", "zone", "cell", "service", "memory", "slots", "state",
];
/// Requests that a back end runs at once if the list does not say.
const DEFAULT_SLOTS: u32 = 16;

/// One group of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetGroup {
    /// Addresses; exactly one here.
    pub targets: Vec<String>,
    /// Labels.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

/// What is wrong with an entry of the list.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("machine list entry {position}: {reason}")]
pub struct MachineListError {
    /// Position in the list, from 1.
    pub position: usize,
    /// What is wrong.
    pub reason: String,
}

enum Entry {
    Node(NodeEntry),
    BackEnd(Machine),
}

/// Reads the machine list.
#[derive(Debug)]
pub struct MachineListClient {
    http: HttpClient,
    address: SocketAddr,
    path: String,
    timeout: Duration,
}

impl MachineListClient {
    /// A client of the list at `address` and `path`.
    pub fn new(http: HttpClient, address: SocketAddr, path: String, timeout: Duration) -> Self {
        MachineListClient {
            http,
            address,
            path,
            timeout,
        }
    }

    /// The list, with the entries that are wrong left out and named.
    pub async fn read(&self) -> Result<(MachineList, Vec<MachineListError>), HttpError> {
        let answer = self.http.call::<(), Vec<TargetGroup>>(
            Method::GET,
            self.address,
            &self.path,
            None,
            self.timeout,
        );
        let (status, groups) = answer.await?;
        if !status.is_success() {
            return Err(HttpError::Status(status));
        }
        Ok(parse(&groups))
    }
}

/// The machines of the groups, and what is wrong with the rest.
pub fn parse(groups: &[TargetGroup]) -> (MachineList, Vec<MachineListError>) {
    let mut list = MachineList::default();
    let mut errors = Vec::new();
    for (index, group) in groups.iter().enumerate() {
        match entry(group) {
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

fn entry(group: &TargetGroup) -> Result<Entry, String> {
    let [target] = group.targets.as_slice() else {
        return Err(format!("has {} targets, not 1", group.targets.len()));
    };
    let address: SocketAddr = target
        .parse()
        .map_err(|_| format!("target `{target}` is not an IP address with a port"))?;
    let role = match label(group, "role")? {
        "node" => {
            return Ok(Entry::Node(NodeEntry {
                id: label(group, "id")?.into(),
                address,
                zone: label(group, "zone")?.into(),
                cell: label(group, "cell")?.into(),
            }));
        }
        "engine" => MachineRole::Engine,
        "application" => MachineRole::Application,
        other => return Err(format!("label role=`{other}` is unknown")),
    };
    let mut labels = Labels::default();
    for (key, value) in &group.labels {
        if !DESCRIPTIVE.contains(&key.as_str()) {
            labels.set(key, value);
        }
    }
    Ok(Entry::BackEnd(Machine {
        id: label(group, "id")?.into(),
        address,
        zone: label(group, "zone")?.into(),
        service: label(group, "service")?.into(),
        role,
        memory: memory(group, role)?,
        slots: slots(group)?,
        state: state(group)?,
        labels,
    }))
}

fn label<'a>(group: &'a TargetGroup, key: &str) -> Result<&'a str, String> {
    group
        .labels
        .get(key)
        .map(String::as_str)
        .filter(|value| !value.is_empty())
        .ok_or_else(|| format!("label `{key}` is missing"))
}

fn memory(group: &TargetGroup, role: MachineRole) -> Result<u64, String> {
    if role == MachineRole::Application {
        return Ok(0);
    }
    let text = label(group, "memory")?;
    text.parse::<ByteSize>()
        .map(|size| size.as_u64())
        .map_err(|_| format!("label memory=`{text}` is not a size such as 80GiB"))
}

fn slots(group: &TargetGroup) -> Result<u32, String> {
    match group.labels.get("slots") {
        None => Ok(DEFAULT_SLOTS),
        Some(text) => text
            .parse()
            .map_err(|_| format!("label slots=`{text}` is not a whole number")),
    }
}

fn state(group: &TargetGroup) -> Result<MachineState, String> {
    match group.labels.get("state").map(String::as_str) {
        None | Some("live") => Ok(MachineState::Live),
        Some("leaving") => Ok(MachineState::Leaving),
        Some(other) => Err(format!("label state=`{other}` is unknown")),
    }
}
