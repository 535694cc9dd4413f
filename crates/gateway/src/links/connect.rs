//! Opens a connection to a back end by the path that is likely to work.
//!
//! In: a back end, and what is known of the links. Out: a connection, or the reason why there is
//! none. The paths race as in Happy Eyeballs (RFC 8305): the preferred one has a head start.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gorsebank_fleet::{DirectFailureKind, PathOrder};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::exit_evidence;
use super::peers::PeerFault;
use crate::back_end::{BackEnd, Connection, ConnectionPath};
use crate::event_log::{self, LogPriority};
use crate::http_connection::{HttpConnection, connect_failure, open_stream};
use crate::relay::tunnel::{self, Tunnel, TunnelError, TunnelEvent, TunnelStatus};
use crate::relay::{TunnelRefusal, TunnelRequest};
use crate::shared::Shared;

/// Maximum time to establish a direct connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Head start of the direct connection, and of each gateway over the next one: the lowest that
/// RFC 8305 permits, and much longer than a connection takes.
const HEAD_START: Duration = Duration::from_millis(100);
/// Maximum number of gateways that are asked for one tunnel.
const MAX_PEERS: usize = 3;

/// Why there is no connection to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The back end cannot be reached, for the given reason.
    BackEnd(&'static str),
    /// Neither this gateway nor another one, which reaches other back ends, reaches the back end.
    Confirmed,
    /// This gateway's links are suspected, and no other gateway reached the back end for it.
    NoPath,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::BackEnd(cause) => formatter.write_str(cause),
            ConnectError::Confirmed => formatter.write_str("confirmed"),
            ConnectError::NoPath => formatter.write_str("no_path"),
        }
    }
}

/// Opens a connection to a back end, directly or through another gateway.
pub async fn connect(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
) -> Result<Connection, ConnectError> {
    match shared.links.path_order(shared.now(), back_end) {
        PathOrder::DirectFirst => connect_direct_first(shared, back_end).await,
        PathOrder::PeersFirst => connect_peers_first(shared, back_end, true).await,
        PathOrder::PeersOnly => connect_peers_first(shared, back_end, false).await,
    }
}

async fn connect_direct_first(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
) -> Result<Connection, ConnectError> {
    let mut direct = pin!(connect_directly(shared, back_end));
    let error = match timeout(HEAD_START, direct.as_mut()).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => error,
        Err(_) => return race(shared, back_end, direct).await,
    };
    if shared.links.is_confirmed(shared.now(), back_end) {
        return Err(ConnectError::BackEnd(connect_failure(&error)));
    }
    let bridged = connect_through_peers(shared, back_end).await;
    bridged.map_err(|_| ConnectError::BackEnd(connect_failure(&error)))
}

/// Asks other gateways while the direct connection has no reply.
async fn race(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
    mut direct: Pin<&mut impl Future<Output = io::Result<Connection>>>,
) -> Result<Connection, ConnectError> {
    let mut through_peers = pin!(connect_through_peers(shared, back_end));
    let direct_error = |error: io::Error| ConnectError::BackEnd(connect_failure(&error));
    tokio::select! {
        result = direct.as_mut() => match result {
            Ok(connection) => Ok(connection),
            Err(error) => through_peers.await.map_err(|_| direct_error(error)),
        },
        result = through_peers.as_mut() => match result {
            Ok(connection) => {
                let now = shared.now();
                let kind = DirectFailureKind::Silent;
                shared.links.record_direct_failure(now, back_end, kind);
                shared.links.record_bridged(now, back_end);
                Ok(connection)
            }
            Err(_) => direct.await.map_err(direct_error),
        },
    }
}

/// Asks other gateways, and connects directly if that fails and is permitted, or if a probe is due.
async fn connect_peers_first(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
    may_connect_directly: bool,
) -> Result<Connection, ConnectError> {
    let probe = start_probe(shared, back_end);
    let error = match connect_through_peers(shared, back_end).await {
        Ok(connection) => return Ok(connection),
        Err(error) => error,
    };
    let direct = match probe {
        Some(probe) if may_connect_directly => probe.await,
        // A connection that works is established within the head start. A later result is still recorded.
        Some(probe) => timeout(HEAD_START, probe).await.map_err(|_| error)?,
        None if may_connect_directly => Ok(connect_directly(shared, back_end).await),
        None => return Err(error),
    };
    let direct = direct.map_err(io::Error::other).flatten();
    direct.map_err(|_| error)
}

/// Opens a direct connection in the background if the links are due to be probed.
pub fn start_probe(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
) -> Option<JoinHandle<io::Result<Connection>>> {
    shared.links.take_probe(shared.now()).then(|| {
        let (shared, back_end) = (shared.clone(), back_end.clone());
        tokio::spawn(async move { connect_directly(&shared, &back_end).await })
    })
}

/// Opens a direct connection to a back end.
///
/// # Errors
///
/// Fails if the back end refuses the connection or does not reply in time.
pub async fn connect_directly(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
) -> io::Result<Connection> {
    let stream = open_directly(shared, back_end).await?;
    let http = HttpConnection::start(stream).await?;
    Ok(Connection::new(
        http,
        ConnectionPath::Direct,
        Arc::default(),
    ))
}

/// Opens a direct connection without a protocol, and records the result.
///
/// # Errors
///
/// Fails if the back end refuses the connection or does not reply in time.
pub async fn open_directly(shared: &Arc<Shared>, back_end: &BackEnd) -> io::Result<TcpStream> {
    let result = open_stream(back_end.address, CONNECT_TIMEOUT).await;
    let now = shared.now();
    let label = match &result {
        Ok(_) => {
            shared.links.record_direct(now, back_end);
            "connected"
        }
        Err(error) => {
            let kind = if exit_evidence::is_refusal(error) {
                DirectFailureKind::Refused
            } else {
                DirectFailureKind::Silent
            };
            shared.links.record_direct_failure(now, back_end, kind);
            connect_failure(error)
        }
    };
    shared.metrics.record_back_end_connect("direct", label);
    result
}

/// Opens a tunnel through one of several gateways, which are asked one after the other.
async fn connect_through_peers(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
) -> Result<Connection, ConnectError> {
    let mut peers = shared.tunnel_peers(MAX_PEERS).into_iter();
    let mut pending = FuturesUnordered::new();
    let mut last_error = ConnectError::NoPath;
    loop {
        match peers.next() {
            Some(peer) => pending.push(connect_through(shared, back_end, peer)),
            None if pending.is_empty() => return Err(last_error),
            None => {}
        }
        match timeout(HEAD_START, pending.next()).await {
            Ok(Some(Ok(connection))) => return Ok(connection),
            Ok(Some(Err(PeerError::Refused))) => return Err(ConnectError::Confirmed),
            Ok(Some(Err(PeerError::Silent))) => last_error = ConnectError::Confirmed,
            Ok(Some(Err(PeerError::Unknown)) | None) | Err(_) => {}
        }
    }
}

/// What another gateway that opened no tunnel says about the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerError {
    /// Its address refuses connections, while the gateway reaches others.
    Refused,
    /// It does not reply, while the gateway reaches others.
    Silent,
    /// Nothing.
    Unknown,
}

async fn connect_through(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
    peer: SocketAddr,
) -> Result<Connection, PeerError> {
    let request = TunnelRequest {
        back_end: back_end.id.clone(),
        incarnation: back_end.incarnation_hash,
        is_exit_check: false,
        accepts_frames: true,
    };
    let result = tunnel::open(peer, &request).await;
    log_tunnel(shared, back_end, peer, &result);
    match result {
        Ok(tunnel) => {
            shared.links.record_bridged(shared.now(), back_end);
            let started = start_http(shared, back_end, peer, tunnel).await;
            started.map_err(|_| PeerError::Unknown)
        }
        Err(TunnelError::Refused(refusal)) if refusal.shows_exit() => {
            shared.links.record_confirmed(shared.now(), back_end);
            Err(PeerError::Refused)
        }
        Err(error) => {
            record_fault(shared, peer, error);
            Err(match error {
                TunnelError::Refused(TunnelRefusal::NotConnected {
                    reaches_others: true,
                    ..
                }) => PeerError::Silent,
                _ => PeerError::Unknown,
            })
        }
    }
}

async fn start_http(
    shared: &Arc<Shared>,
    back_end: &Arc<BackEnd>,
    peer: SocketAddr,
    tunnel: Tunnel,
) -> io::Result<Connection> {
    let status = Arc::new(TunnelStatus::default());
    let stream = {
        let (shared, status) = (shared.clone(), status.clone());
        // The stream must not keep the back end alive, which keeps the connection.
        let back_end = Arc::downgrade(back_end);
        tunnel.into_stream(move |event| {
            status.record(event);
            let Some(back_end) = back_end.upgrade() else {
                return;
            };
            log_tunnel_event(&shared, &back_end, peer, event);
            if event == TunnelEvent::CarrierStopping {
                back_end.close_unusable();
            }
        })
    };
    let http = HttpConnection::start(stream).await?;
    Ok(Connection::new(http, ConnectionPath::Peer(peer), status))
}

fn log_tunnel(
    shared: &Shared,
    back_end: &BackEnd,
    peer: SocketAddr,
    result: &Result<Tunnel, TunnelError>,
) {
    let label = match result {
        Ok(tunnel) if tunnel.is_framed() => "connected",
        Ok(_) => "connected_bare",
        Err(error) => error.as_str(),
    };
    shared.metrics.record_back_end_connect("peer", label);
    let fields = format_args!("back_end={} peer={peer} result={label}", back_end.id);
    event_log::write(LogPriority::Served, "tunnel", fields);
}

fn log_tunnel_event(shared: &Shared, back_end: &BackEnd, peer: SocketAddr, event: TunnelEvent) {
    let (name, priority) = match event {
        TunnelEvent::CarrierStopping => ("tunnel_draining", LogPriority::Served),
        TunnelEvent::Ended(_) => ("tunnel_end", LogPriority::Served),
        TunnelEvent::Lost => ("tunnel_end", LogPriority::Decision),
    };
    let end = event.end();
    if let Some(end) = end {
        shared.metrics.record_tunnel_end("origin", end);
    }
    let fields = format_args!(
        "back_end={} side=origin peer={peer} end={}",
        back_end.id,
        end.unwrap_or("-")
    );
    event_log::write(priority, name, fields);
}

/// Records why a gateway opened no tunnel, unless the reason concerns this back end only.
fn record_fault(shared: &Shared, peer: SocketAddr, error: TunnelError) {
    let fault = match error {
        TunnelError::NoReply => PeerFault::NoReply,
        TunnelError::Unsupported => PeerFault::Unsupported,
        TunnelError::Refused(TunnelRefusal::UnknownBackEnd) => return,
        // A gateway that is refused replies at once, so asking it about another back end costs little.
        TunnelError::Refused(TunnelRefusal::NotConnected {
            is_refused,
            reaches_others,
        }) => {
            if is_refused || reaches_others {
                return;
            }
            PeerFault::Unavailable
        }
        TunnelError::Refused(_) => PeerFault::Unavailable,
    };
    shared.links.record_peer_fault(peer, fault);
}
