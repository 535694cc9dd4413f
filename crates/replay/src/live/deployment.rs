//! Starts the deployment that a trace header describes as processes on loopback: the table service,
//! the weight store, a machine list for each node, back ends and nodes.
//!
//! With [`LinkKind::Relayed`], a relay stands on every link of a node.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use eyre::{Context, bail, eyre};
use gorsebank_clients::HttpClient;
use gorsebank_world::MachineRole;
use http::Method;
use serde_json::{Value, json};

use crate::live::process::Process;
use crate::live::relay::Relay;
use crate::simulation::node_host::CELL;
use crate::trace::format::{BackEndEntry, Header, TraceNode};

/// Time within which all processes must be ready and have the same configuration.
const START_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Paths of the programs that a deployment runs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// The program `gorsebank`, which runs nodes.
    pub gorsebank: PathBuf,
    /// The program `gorsebank-standin`, which emulates the platform and the back ends.
    pub standin: PathBuf,
}

impl Binaries {
    /// Finds the programs in the directory of the running program.
    pub fn find_beside_executable() -> eyre::Result<Self> {
        let this = std::env::current_exe()?;
        let directory = this
            .parent()
            .ok_or_else(|| eyre!("this program is in no directory"))?;
        let found = |name: &str| {
            let path = directory.join(name);
            if path.exists() {
                Ok(path)
            } else {
                Err(eyre!("{} is missing: build the workspace", path.display()))
            }
        };
        Ok(Binaries {
            gorsebank: found("gorsebank")?,
            standin: found("gorsebank-standin")?,
        })
    }
}

/// Addresses of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub nodes: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Whether nodes reach other processes through relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// Nodes connect through relays that can block and delay traffic.
    Relayed,
    /// Nodes connect directly, which keeps relays out of measurements.
    Direct,
}

/// Endpoints of a link: a node, and the process that it connects to.
type LinkEndpoints = (String, String);

/// The processes of a deployment. Dropping the value kills them.
pub struct LiveDeployment {
    binaries: Binaries,
    header: Header,
    directory: PathBuf,
    http: HttpClient,
    /// The table service.
    pub table: Process,
    /// The weight store.
    pub store: Process,
    machine_lists: BTreeMap<String, Process>,
    /// Running back ends by name.
    pub back_ends: BTreeMap<String, Process>,
    back_end_addresses: BTreeMap<String, SocketAddr>,
    back_end_states: BTreeMap<String, &'static str>,
    /// Lines that previous incarnations of back ends printed.
    previous_lines: BTreeMap<String, Vec<String>>,
    /// Running nodes by name.
    pub nodes: BTreeMap<String, Process>,
    addresses: BTreeMap<String, NodeAddresses>,
    relays: BTreeMap<LinkEndpoints, Relay>,
}

/// Ports that [`free_address`] allocates. They lie below the ephemeral ports of the operating
/// system, so that no outgoing connection takes a port before the process binds it.
const PORT_RANGE: std::ops::Range<u32> = 10_000..30_000;

/// Allocates a loopback address on which no process listens. Each address is returned only once.
pub fn free_address() -> eyre::Result<SocketAddr> {
    static ALLOCATED: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(101);
    for _ in PORT_RANGE {
        let offset = first.wrapping_add(ALLOCATED.fetch_add(1, Ordering::Relaxed));
        let port = (PORT_RANGE.start + offset % PORT_RANGE.len() as u32) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // The check connects instead of binding the port: a child process that another thread
        // forks inherits the listening descriptor until its `exec`, and the port then seems taken
        // (23 of 3,000 ports while four threads started child processes).
        let connection = TcpStream::connect(address);
        if connection.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused) {
            return Ok(address);
        }
    }
    bail!("no port is free")
}

impl LiveDeployment {
    /// Starts all processes and writes the configuration rows of the header. `name` separates the
    /// temporary files of several deployments.
    pub async fn start(
        binaries: Binaries,
        name: &str,
        header: &Header,
        links: LinkKind,
    ) -> eyre::Result<Self> {
        let directory =
            std::env::temp_dir().join(format!("gorsebank-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let table = Process::start(&binaries.standin, &["table"])?;
        let store = start_store(&binaries, header)?;
        let mut deployment = LiveDeployment {
            binaries,
            header: header.clone(),
            directory,
            http: HttpClient::default(),
            table,
            store,
            machine_lists: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            back_end_addresses: BTreeMap::new(),
            back_end_states: BTreeMap::new(),
            previous_lines: BTreeMap::new(),
            nodes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            relays: BTreeMap::new(),
        };
        for entry in &header.back_ends {
            let address = free_address()?;
            deployment
                .back_end_addresses
                .insert(entry.id.clone(), address);
            deployment.back_end_states.insert(entry.id.clone(), "live");
            deployment.start_back_end(&entry.id)?;
        }
        for place in &header.nodes {
            let addresses = NodeAddresses {
                callers: free_address()?,
                nodes: free_address()?,
                admin: free_address()?,
            };
            deployment.addresses.insert(place.id.clone(), addresses);
        }
        if links == LinkKind::Relayed {
            deployment.start_relays().await?;
        }
        deployment.start_machine_lists()?;
        for place in &header.nodes {
            deployment.start_node(&place.id)?;
        }
        deployment.wait_until_ready().await?;
        deployment.apply_rows().await?;
        Ok(deployment)
    }

    async fn start_relays(&mut self) -> eyre::Result<()> {
        let mut targets: Vec<(String, SocketAddr)> = self
            .back_end_addresses
            .iter()
            .map(|(id, address)| (id.clone(), *address))
            .collect();
        targets.push(("table".to_owned(), self.table.address()));
        for (id, addresses) in &self.addresses {
            targets.push((id.clone(), addresses.nodes));
        }
        for from in self.addresses.keys() {
            for (to, target) in &targets {
                if from != to {
                    let relay = Relay::start(*target).await?;
                    self.relays.insert((from.clone(), to.clone()), relay);
                }
            }
        }
        Ok(())
    }

    fn start_machine_lists(&mut self) -> eyre::Result<()> {
        let lag = format!("{}ms", self.header.machine_list_lag.as_millis());
        for id in self.addresses.keys() {
            let file = self.directory.join(format!("machines-{id}.json"));
            std::fs::write(&file, json!(self.machine_groups(id)).to_string())?;
            let file = file.to_string_lossy().into_owned();
            let arguments = ["machines", "--file", file.as_str(), "--lag", lag.as_str()];
            let process = Process::start(&self.binaries.standin, &arguments)?;
            self.machine_lists.insert(id.clone(), process);
        }
        Ok(())
    }

    /// Address at which the node `from` reaches the process `to`: its relay, or else `direct`.
    fn address_for(&self, from: &str, to: &str, direct: SocketAddr) -> SocketAddr {
        let link = (from.to_owned(), to.to_owned());
        self.relays.get(&link).map_or(direct, Relay::address)
    }

    /// Builds the machine list for the node `for_node`, with the addresses of its relays to other
    /// processes.
    fn machine_groups(&self, for_node: &str) -> Vec<Value> {
        let mut groups = Vec::new();
        for entry in &self.header.back_ends {
            let direct = self.back_end_addresses[&entry.id];
            let address = self.address_for(for_node, &entry.id, direct);
            groups.push(back_end_group(
                entry,
                address,
                self.back_end_states[&entry.id],
            ));
        }
        for place in &self.header.nodes {
            let direct = self.addresses[&place.id].nodes;
            let address = self.address_for(for_node, &place.id, direct);
            groups.push(json!({"targets": [address.to_string()], "labels": {
                "role": "node", "id": place.id, "zone": place.zone, "cell": CELL,
            }}));
        }
        groups
    }

    /// Starts or restarts a back end.
    pub fn start_back_end(&mut self, id: &str) -> eyre::Result<()> {
        let entry = self
            .header
            .back_ends
            .iter()
            .find(|entry| entry.id == id)
            .ok_or_else(|| eyre!("there is no back end `{id}`"))?;
        let listen = self.back_end_addresses[id].to_string();
        let store = self.store.address().to_string();
        let arguments = back_end_arguments(entry, &listen, &store);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let process = Process::start(&self.binaries.standin, &arguments)?;
        self.back_ends.insert(id.to_owned(), process);
        Ok(())
    }

    /// Kills a back end and keeps the lines that it printed.
    pub fn kill_back_end(&mut self, id: &str) {
        if let Some(mut process) = self.back_ends.remove(id) {
            process.kill();
            let lines = process.lines();
            self.previous_lines
                .entry(id.to_owned())
                .or_default()
                .extend(lines);
        }
    }

    /// All lines that a back end printed, those of previous incarnations first.
    pub fn output_lines(&self, id: &str) -> Vec<String> {
        let mut lines = self.previous_lines.get(id).cloned().unwrap_or_default();
        lines.extend(
            self.back_ends
                .get(id)
                .map(Process::lines)
                .unwrap_or_default(),
        );
        lines
    }

    /// Name, role and memory in bytes of every back end.
    pub fn described_back_ends(&self) -> Vec<(String, MachineRole, u64)> {
        self.header
            .back_ends
            .iter()
            .map(|entry| (entry.id.clone(), entry.role, entry.memory.as_u64()))
            .collect()
    }

    /// Starts or restarts a node.
    pub fn start_node(&mut self, id: &str) -> eyre::Result<()> {
        let place = self
            .header
            .nodes
            .iter()
            .find(|place| place.id == id)
            .ok_or_else(|| eyre!("there is no node `{id}`"))?;
        let file = self.directory.join(format!("{id}.toml"));
        std::fs::write(&file, self.node_settings(place))?;
        let file = file.to_string_lossy().into_owned();
        let arguments = ["node", "--settings", file.as_str()];
        let process = Process::start(&self.binaries.gorsebank, &arguments)?;
        self.nodes.insert(id.to_owned(), process);
        Ok(())
    }

    fn node_settings(&self, place: &TraceNode) -> String {
        let addresses = self.addresses[&place.id];
        let table = self.address_for(&place.id, "table", self.table.address());
        let store = &self.header.store;
        format!(
            "[node]\nid = \"{}\"\nzone = \"{}\"\ncell = \"{CELL}\"\nlisten_callers = \"{}\"\n\
             listen_nodes = \"{}\"\nlisten_admin = \"{}\"\n\
             [platform]\ntables = [\"{table}\"]\nmachine_list = \"{}\"\n\
             [membership]\nheartbeat_interval = \"200ms\"\nfailure_timeout = \"1s\"\n\
             machine_list_interval = \"200ms\"\n\
             [placement]\nstore_starts_per_second = {:?}\nstore_concurrency = {}\n\
             store_bandwidth = \"{}B\"\n[drain]\nlinger = \"500ms\"\n",
            place.id,
            place.zone,
            addresses.callers,
            addresses.nodes,
            addresses.admin,
            self.machine_lists[&place.id].address(),
            store.starts_per_second,
            store.concurrency,
            store.bandwidth.as_u64(),
        )
    }

    /// Addresses of a node.
    pub fn addresses(&self, id: &str) -> Option<NodeAddresses> {
        self.addresses.get(id).copied()
    }

    /// Names of all nodes.
    pub fn node_ids(&self) -> Vec<String> {
        self.addresses.keys().cloned().collect()
    }

    /// Edits the state of every link between two processes; `*` matches every process.
    pub fn change_links(
        &self,
        between: (&str, &str),
        edit: impl Fn(&mut crate::live::relay::LinkState),
    ) {
        let matches_process = |pattern: &str, process: &str| pattern == "*" || pattern == process;
        for ((from, to), relay) in &self.relays {
            let is_forward = matches_process(between.0, from) && matches_process(between.1, to);
            let is_reverse = matches_process(between.0, to) && matches_process(between.1, from);
            if is_forward || is_reverse {
                relay.change(&edit);
            }
        }
    }

    /// Marks a back end as draining in every machine list.
    pub async fn list_as_draining(&mut self, id: &str) -> eyre::Result<()> {
        self.back_end_states.insert(id.to_owned(), "leaving");
        for (node, list) in &self.machine_lists {
            let groups = self.machine_groups(node);
            self.put(list.address(), "/machines", &json!(groups))
                .await?;
        }
        Ok(())
    }

    /// Sends a PUT request with a JSON body. The body of the response is ignored, as emulators send
    /// none.
    pub async fn put(&self, address: SocketAddr, path: &str, body: &Value) -> eyre::Result<()> {
        let request = http::Request::put(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(bytes::Bytes::from(
                body.to_string(),
            )))?;
        let answer = self.http.send(request).await?;
        if !answer.status().is_success() {
            bail!("{path}: {}", answer.status());
        }
        Ok(())
    }

    /// Status report of a node, or `None` if the node does not respond.
    pub async fn status(&self, id: &str) -> Option<Value> {
        let admin = self.addresses.get(id)?.admin;
        let limit = Duration::from_secs(2);
        let answer = self
            .http
            .call::<(), Value>(Method::GET, admin, "/v1/status", None, limit)
            .await;
        answer.ok().map(|(_, status)| status)
    }

    /// Waits until every running node knows the lease holder and all other nodes, and has an epoch
    /// for claims.
    pub async fn wait_until_ready(&self) -> eyre::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() > until {
                bail!("the nodes were not ready within {START_TIMEOUT:?}");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        for id in self.nodes.keys() {
            let Some(status) = self.status(id).await else {
                return false;
            };
            let live = status["live_nodes"].as_array().map_or(0, Vec::len);
            let has_claims = status["claim_epoch"].as_u64() > Some(0);
            if status["holder"].is_null() || live != self.nodes.len() || !has_claims {
                return false;
            }
        }
        true
    }

    async fn apply_rows(&self) -> eyre::Result<()> {
        let first = self.node_ids().into_iter().next();
        let Some(node) = first.and_then(|id| self.addresses(&id)) else {
            bail!("there are no nodes");
        };
        for row in &self.header.rows {
            let path = format!("/v1/configuration/{}/{}", row.spec.kind(), row.name);
            let content = json!({"labels": row.labels, "spec": row.spec});
            let (status, answer) = self
                .http
                .call::<Value, Value>(Method::PUT, node.admin, &path, Some(&content), CALL_TIMEOUT)
                .await?;
            if !status.is_success() {
                bail!("{path}: {answer}");
            }
        }
        self.wait_until_configured().await
    }

    /// Waits until all nodes have the same configuration.
    pub async fn wait_until_configured(&self) -> eyre::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        loop {
            let mut revisions = Vec::new();
            for id in self.nodes.keys() {
                let status = self.status(id).await;
                revisions.push(status.map(|status| status["revision"].clone()));
            }
            if revisions.windows(2).all(|pair| pair[0] == pair[1]) {
                return Ok(());
            }
            if Instant::now() > until {
                bail!("the nodes did not reach the same configuration revision");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for LiveDeployment {
    fn drop(&mut self) {
        // A failure to remove the temporary directory is ignored.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn start_store(binaries: &Binaries, header: &Header) -> eyre::Result<Process> {
    let store = &header.store;
    let arguments = [
        "store".to_owned(),
        "--starts-per-second".to_owned(),
        store.starts_per_second.to_string(),
        "--concurrency".to_owned(),
        store.concurrency.to_string(),
        "--bandwidth".to_owned(),
        format!("{}B", store.bandwidth.as_u64()),
    ];
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Process::start(&binaries.standin, &arguments).wrap_err("the weight store")
}

fn back_end_arguments(entry: &BackEndEntry, listen: &str, store: &str) -> Vec<String> {
    let mut arguments = vec!["--listen".to_owned(), listen.to_owned()];
    let mut add = |name: &str, value: String| arguments.extend([name.to_owned(), value]);
    match entry.role {
        MachineRole::Application => arguments.push("application".to_owned()),
        MachineRole::Engine => {
            add("engine", "--store".to_owned());
            arguments.push(store.to_owned());
            let mut add = |name: &str, value: String| arguments.extend([name.to_owned(), value]);
            add("--memory", format!("{}B", entry.memory.as_u64()));
            add("--slots", entry.slots.to_string());
            add("--prefill", format!("{}ms", entry.prefill.as_millis()));
            add("--token", format!("{}ms", entry.token_interval.as_millis()));
            for artifact in entry.cached.keys() {
                add("--on-disk", artifact.to_string());
            }
        }
    }
    arguments.push("--print-history".to_owned());
    arguments
}

fn back_end_group(entry: &BackEndEntry, address: SocketAddr, state: &str) -> Value {
    let role = match entry.role {
        MachineRole::Engine => "engine",
        MachineRole::Application => "application",
    };
    json!({"targets": [address.to_string()], "labels": {
        "role": role, "id": entry.id, "zone": entry.zone, "service": entry.service,
        "memory": format!("{}B", entry.memory.as_u64()), "slots": entry.slots.to_string(),
        "state": state,
    }})
}
