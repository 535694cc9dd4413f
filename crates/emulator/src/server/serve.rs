//! Serves a router on an address until the task is dropped.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Binds `address` and serves `router` on it. Returns the bound address and the task
/// that serves.
pub async fn serve(
    address: SocketAddr,
    router: Router,
) -> std::io::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((bound, start(listener, router)))
}

/// Binds a listener to `address`.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Starts a task that serves `router` on `listener`.
pub fn start(listener: TcpListener, router: Router) -> JoinHandle<()> {
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::error!("the emulated server failed: {error}");
        }
    })
}
