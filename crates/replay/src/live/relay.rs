//! TCP relays between two processes, which inject network faults.
//!
//! A relay that is cut keeps the data it has read and accepts connections without forwarding them,
//! like a network that drops packets. Forwarding resumes when the fault ends.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// Fault state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Whether the link forwards nothing.
    pub cut: bool,
    /// Delay before each forwarded read.
    pub delay: Duration,
}

/// A TCP relay on a link that can block and delay its traffic.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl Relay {
    /// Starts a relay that forwards connections to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (state, watcher) = watch::channel(LinkState::default());
        tokio::spawn(accept_connections(listener, target, watcher));
        Ok(Relay {
            address,
            state: Arc::new(state),
        })
    }

    /// Address at which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Edits the fault state of the link.
    pub fn change(&self, edit: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(edit);
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(forward_connection(client, target, state.clone()));
    }
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    if state.wait_for(|state| !state.cut).await.is_err() {
        return;
    }
    // If the target refuses the connection, dropping `client` closes the connection to the client.
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_target = forward_bytes(client_read, server_write, state.clone());
    let from_target = forward_bytes(server_read, client_write, state);
    tokio::join!(to_target, from_target);
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        let delay = state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if state.wait_for(|state| !state.cut).await.is_err() {
            return;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    // An error is ignored: the receiving process may have closed the connection already.
    let _ = to.shutdown().await;
}
