//! HTTP/1.1 connections to one address: opened, kept, closed with their value.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// A connection; it is closed when this is dropped.
#[derive(Debug)]
pub struct HttpConnection {
    /// Sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl HttpConnection {
    /// Connects within a time.
    pub async fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let opened = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = opened.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // The request on it learns of any error from its own side.
            let _ = connection.await;
        });
        Ok(HttpConnection {
            sender,
            task: task.abort_handle(),
        })
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to one address. One on which an answer was lost is not used again.
#[derive(Debug)]
pub struct KeptConnections {
    address: SocketAddr,
    /// Longest time to connect.
    connect_limit: Duration,
    /// Connections kept without use at most.
    most: usize,
    idle: Mutex<Vec<HttpConnection>>,
}

impl KeptConnections {
    /// None yet.
    pub fn new(address: SocketAddr, connect_limit: Duration, most: usize) -> Self {
        KeptConnections {
            address,
            connect_limit,
            most,
            idle: Mutex::default(),
        }
    }

    /// Where they go.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request on a kept connection, or on a new one, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// If there is no connection, or if it was lost before the end of the answer.
    pub async fn exchange(&self, request: Request<Bytes>) -> std::io::Result<(StatusCode, Bytes)> {
        let lost = std::io::Error::other::<hyper::Error>;
        let mut connection = match self.kept() {
            Some(connection) => connection,
            None => HttpConnection::open(self.address, self.connect_limit).await?,
        };
        let sent = connection.sender.send_request(request.map(Full::new));
        let response = sent.await.map_err(lost)?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(lost)?;
        let mut idle = self.idle.lock();
        if idle.len() < self.most {
            idle.push(connection);
        }
        Ok((status, body.to_bytes()))
    }

    fn kept(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.lock();
        idle.retain(|connection| !connection.sender.is_closed());
        let index = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(index))
    }

    /// Closes those that are kept.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }
}
