//! TCP relays between two processes, which can be cut and slowed.
//!
//! A cut relay holds what it has and takes connections without answering, as
//! a network does that drops packets; when it heals everything goes on.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER: usize = 16 * 1024;

/// How a link is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Nothing passes.
    pub cut: bool,
    /// Everything takes so much longer.
    pub delay: Duration,
}

/// A link that can be cut and slowed.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl Relay {
    /// A link to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (state, watcher) = watch::channel(LinkState::default());
        tokio::spawn(accept(listener, target, watcher));
        Ok(Relay {
            address,
            state: Arc::new(state),
        })
    }

    /// Where the link begins.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the link.
    pub fn change(&self, edit: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(edit);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Receiver<LinkState>) {
    while let Ok((inner, _)) = listener.accept().await {
        tokio::spawn(carry(inner, target, state.clone()));
    }
}

async fn carry(inner: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    if state.wait_for(|state| !state.cut).await.is_err() {
        return;
    }
    // A refused connection closes the inner one, which its process sees.
    let Ok(outer) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inner.set_nodelay(true);
    let _ = outer.set_nodelay(true);
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    let there = pump(inner_read, outer_write, state.clone());
    let back = pump(outer_read, inner_write, state);
    tokio::join!(there, back);
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER];
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
    // The other side may be gone, which ends the connection as well.
    let _ = to.shutdown().await;
}
