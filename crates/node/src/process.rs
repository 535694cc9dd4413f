//! Starts a node and stops it without cutting a request.
//!
//! A stop has four steps: say that the node is not ready and leave the
//! membership; go on taking connections while that spreads; take no new ones
//! and let open requests end; exit once other nodes rely on nothing here.

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

/// Between two looks at whether the node is drained.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// What other nodes rely on here is given up after so long once no request is
/// open.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(10);

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// An address cannot be listened on.
    #[error("{field}: cannot listen on {address}: {error}")]
    Listen {
        /// The settings field.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// Counters cannot be registered.
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
    /// Binds the addresses and starts.
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

    /// The node with its surroundings.
    pub fn host(&self) -> &Arc<Host> {
        &self.host
    }

    /// The address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The address for other nodes.
    pub fn nodes(&self) -> SocketAddr {
        self.nodes
    }

    /// The address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Drains and stops.
    pub async fn stop(self) {
        let drain = self.host.settings().drain.clone();
        log::info!("stopping: not ready any more");
        self.host.stop();
        tokio::time::sleep(drain.linger).await;
        // The receiver lives as long as the task that serves callers.
        let _ = self.stop_callers.send(true);
        let open_until = Instant::now() + drain.limit;
        let served = tokio::time::timeout(drain.limit, self.caller_task).await;
        if served.is_err() {
            log::warn!("stopping: requests are still open after {:?}", drain.limit);
        }
        let hand_over_until = open_until.min(Instant::now() + HAND_OVER_LIMIT);
        while !self.host.node().is_drained() && Instant::now() < hand_over_until {
            tokio::time::sleep(DRAIN_POLL).await;
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
    let refuse = |error| ProcessError::Listen {
        field,
        address,
        error,
    };
    let listener = TcpListener::bind(address).await.map_err(refuse)?;
    let bound = listener.local_addr().map_err(refuse)?;
    Ok((bound, listener))
}

async fn serve_callers(listener: TcpListener, router: Router, mut stopped: watch::Receiver<bool>) {
    let stop = async move {
        // An error means that the process is gone, which is a stop as well.
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    let served = axum::serve(listener, router)
        .with_graceful_shutdown(stop)
        .await;
    if let Err(error) = served {
        log::error!("callers are served no more: {error}");
    }
}

async fn serve_admin(listener: TcpListener, router: Router) {
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("operators are served no more: {error}");
    }
}

/// A life that is greater than that of any earlier process of the same name,
/// as long as the machines' clocks are right to within the time that a process
/// takes to be replaced.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
