//! Hands calls of the table to another gateway.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use gorsebank_contract::frame::FrameCodec;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite};

use super::message::{RelayAnswer, RelayRequest};

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Connections kept without use: one for each table that is followed, one to each gateway
/// that counts for tenants, and some of a gateway that was asked before.
const MAX_IDLE: usize = 16;

struct Connection {
    peer: SocketAddr,
    requests: FramedWrite<OwnedWriteHalf, FrameCodec<RelayRequest>>,
    answers: FramedRead<OwnedReadHalf, FrameCodec<RelayAnswer>>,
}

/// Connections to other gateways.
#[derive(Default)]
pub struct RelayClient {
    idle: Mutex<Vec<Connection>>,
}

impl RelayClient {
    /// Hands a call to a gateway. None if there was no answer in time; the call
    /// may have been made all the same.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: &RelayRequest,
        limit: Duration,
    ) -> Option<RelayAnswer> {
        let answered = timeout(limit, self.exchange(peer, request)).await;
        if answered.is_err() {
            // Connections can go silent without a reset, and then all that are open do.
            let mut idle = self.idle.lock();
            idle.retain(|connection| connection.peer != peer);
        }
        answered.ok()?
    }

    async fn exchange(&self, peer: SocketAddr, request: &RelayRequest) -> Option<RelayAnswer> {
        let mut connection = match self.kept(peer) {
            Some(connection) => connection,
            None => connect(peer).await?,
        };
        connection.requests.send(request).await.ok()?;
        let answer = connection.answers.next().await?.ok()?;
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        Some(answer)
    }

    fn kept(&self, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let index = idle.iter().position(|connection| connection.peer == peer)?;
        Some(idle.swap_remove(index))
    }

    /// Closes what is kept.
    pub fn clear(&self) {
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
        answers: FramedRead::new(read, FrameCodec::default()),
    })
}
