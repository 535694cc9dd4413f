//! Serves a router on an address until the task is dropped.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;

/// Binds `address`; gives the bound address and the task that serves.
pub async fn serve(
    address: SocketAddr,
    router: Router,
) -> std::io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let task = tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::error!("stand-in on {bound} stopped: {error}");
        }
    });
    Ok((bound, task))
}
