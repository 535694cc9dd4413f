//! Client for requests to other gateways.
//!
//! In: requests, with the address of the gateway that is to serve them. Out: the responses. Idle
//! connections are kept for later requests.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use gorsebank_contract::frame::FrameCodec;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite};

use super::message::{RelayRequest, RelayResponse};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections: one for each table that is followed, one to each holder of a
/// quota shard, and some to previous parents.
const MAX_IDLE_CONNECTIONS: usize = 16;

struct Connection {
    peer: SocketAddr,
    requests: FramedWrite<OwnedWriteHalf, FrameCodec<RelayRequest>>,
    responses: FramedRead<OwnedReadHalf, FrameCodec<RelayResponse>>,
}

/// Connections to other gateways.
#[derive(Default)]
pub struct RelayClient {
    idle: Mutex<Vec<Connection>>,
}

impl RelayClient {
    /// Sends a request to a gateway and waits for the response; `None` if there was no response
    /// within the time limit. The gateway may have executed the request even then.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: &RelayRequest,
        time_limit: Duration,
    ) -> Option<RelayResponse> {
        let response = timeout(time_limit, self.exchange(peer, request)).await;
        if response.is_err() {
            // A connection can stop delivering data without a reset, and then all connections to
            // the same gateway do.
            let mut idle = self.idle.lock();
            idle.retain(|connection| connection.peer != peer);
        }
        response.ok()?
    }

    async fn exchange(&self, peer: SocketAddr, request: &RelayRequest) -> Option<RelayResponse> {
        let mut connection = match self.take_idle(peer) {
            Some(connection) => connection,
            None => connect(peer).await?,
        };
        connection.requests.send(request).await.ok()?;
        let response = connection.responses.next().await?.ok()?;
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        Some(response)
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let index = idle.iter().position(|connection| connection.peer == peer)?;
        Some(idle.swap_remove(index))
    }

    /// Closes all idle connections.
    pub fn close_idle_connections(&self) {
        self.idle.lock().clear();
    }
}

async fn connect(peer: SocketAddr) -> Option<Connection> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = connecting.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (read, write) = stream.into_split();
    Some(Connection {
        peer,
        requests: FramedWrite::new(write, FrameCodec::default()),
        responses: FramedRead::new(read, FrameCodec::default()),
    })
}
