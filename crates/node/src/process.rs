//! Starts a node, and stops it without interrupting open requests.
//!
//! A stop has four steps. The node reports that it is not ready and leaves the
//! membership. It still accepts connections while this change propagates. It then
//! accepts no new connections and lets open requests end. It exits when no other
//! node depends on its state any longer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::Router;
use gorsebank_contract::Incarnation;
use gorsebank_coordination::{Identity, Node, Timestamp};
use gorsebank_world::NodeEntry;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::host::Host;
use crate::metrics::Metrics;
use crate::settings::NodeSettings;
use crate::{admin, caller, listener, state_log};

/// The interval between two checks whether the node is drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The longest time for which the node waits, after its open requests ended, until
/// no other node depends on its state.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(10);

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The node cannot listen on an address.
    #[error("{field}: cannot listen on {address}: {error}")]
    Listen {
        /// The settings field that contains the address.
        field: &'static str,
        /// The address of the listener.
        address: SocketAddr,
        /// The cause.
        error: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// A running node.
#[derive(Debug)]
pub struct NodeProcess {
    host: Arc<Host>,
    callers: SocketAddr,
    nodes: SocketAddr,
    admin: SocketAddr,
    stop_callers: watch::Sender<bool>,
    caller_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl NodeProcess {
    /// Binds the addresses and starts the tasks of the node.
    pub async fn start(settings: NodeSettings) -> Result<Self, ProcessError> {
        let section = &settings.node;
        let (callers, caller_listener) =
            bind("node.listen_callers", section.listen_callers).await?;
        let (nodes, node_listener) = bind("node.listen_nodes", section.listen_nodes).await?;
        let (admin, admin_listener) = bind("node.listen_admin", section.listen_admin).await?;
        let incarnation = new_incarnation();
        let identity = Identity {
            node: section.id.clone(),
            incarnation,
            cell: section.cell.clone(),
            zone: section.zone.clone(),
        };
        let seeds: Vec<NodeEntry> = settings.peers.iter().map(NodeEntry::from).collect();
        let node = Node::new(
            identity,
            settings.coordination(),
            Timestamp(0),
            incarnation.0,
        );
        let host = Host::new(node, settings, Arc::new(Metrics::new()?));
        if !seeds.is_empty() {
            host.node().add_seeds(&seeds);
        }
        let (stop_callers, stopped) = watch::channel(false);
        let caller_task = tokio::spawn(serve_callers(
            caller_listener,
            caller::router(Arc::clone(&host)),
            stopped,
        ));
        let tasks = vec![
            tokio::spawn(listener::run(Arc::clone(&host), node_listener)),
            tokio::spawn(serve_admin(
                admin_listener,
                admin::router(Arc::clone(&host)),
            )),
            tokio::spawn(Arc::clone(&host).run_ticks()),
            tokio::spawn(state_log::run(Arc::clone(&host))),
        ];
        Ok(NodeProcess {
            host,
            callers,
            nodes,
            admin,
            stop_callers,
            caller_task,
            tasks,
        })
    }

    /// The host of the decision logic.
    pub fn host(&self) -> &Arc<Host> {
        &self.host
    }

    /// The address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// The address for other nodes.
    pub fn node_address(&self) -> SocketAddr {
        self.nodes
    }

    /// The address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin
    }

    /// Drains the node and stops its tasks.
    pub async fn stop(self) {
        let drain = self.host.settings().drain.clone();
        log::info!("stopping: the node is no longer ready");
        self.host.stop();
        tokio::time::sleep(drain.linger).await;
        // Sending fails only if the task that serves callers has ended already.
        let _ = self.stop_callers.send(true);
        let open_until = Instant::now() + drain.limit;
        let served = tokio::time::timeout(drain.limit, self.caller_task).await;
        if served.is_err() {
            log::warn!("stopping: open requests remain after {:?}", drain.limit);
        }
        let hand_over_until = open_until.min(Instant::now() + HAND_OVER_LIMIT);
        while !self.host.node().is_drained() && Instant::now() < hand_over_until {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        for task in self.tasks {
            task.abort();
        }
        log::info!("stopped");
    }
}

async fn bind(
    field: &'static str,
    address: SocketAddr,
) -> Result<(SocketAddr, TcpListener), ProcessError> {
    let listen_error = |error| ProcessError::Listen {
        field,
        address,
        error,
    };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    Ok((bound, listener))
}

async fn serve_callers(listener: TcpListener, router: Router, mut stopped: watch::Receiver<bool>) {
    let stop = async move {
        // An error means that the sender was dropped, which also stops the server.
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    let served = axum::serve(listener, router)
        .with_graceful_shutdown(stop)
        .await;
    if let Err(error) = served {
        log::error!("the listener for callers failed: {error}");
    }
}

async fn serve_admin(listener: TcpListener, router: Router) {
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("the listener for operators failed: {error}");
    }
}

/// An incarnation that is greater than that of any earlier process of the same
/// node, provided that the clocks of the machines differ by less than the time that the
/// replacement of a process takes.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
