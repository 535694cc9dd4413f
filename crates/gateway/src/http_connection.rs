//! HTTP/1.1 client connections to one address, and a pool of them.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::collected_body::CollectedBody;
use crate::response_head::{HeadAllowance, head_limited};

/// Time without bytes after which the operating system probes a connection, and interval of the
/// probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Time without an acknowledgement after which a connection is closed. It is longer than the
/// partitions that end by themselves, after which late responses still arrive.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a response that a pool reads, in bytes: many times a page of a table.
pub const MAX_POOLED_RESPONSE_BYTES: usize = 16 << 20;
/// The statuses of final responses. The client skips interim responses but 101, which only answers a
/// request to upgrade the connection.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum size of a connection's read buffer in bytes, and therefore of the head of a response.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// Why a connection could not be opened, for log lines and metrics.
pub fn connect_failure(error: &std::io::Error) -> &'static str {
    match error.kind() {
        ErrorKind::ConnectionRefused => "refused",
        ErrorKind::ConnectionReset => "reset",
        ErrorKind::TimedOut => "timed_out",
        _ => "failed",
    }
}

/// Connects to an address within `connect_timeout`.
pub async fn open_stream(
    address: SocketAddr,
    connect_timeout: Duration,
) -> std::io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    detect_silence(&stream)?;
    Ok(stream)
}

/// Lets the operating system close a connection that stays silent. The user timeout also decides
/// when unanswered keep-alive probes end the connection.
pub fn detect_silence(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))
}

/// Why a request got no response. Its connection must not be used again.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing of the request was written.
    #[error("the connection was closed before the request was written")]
    Unsent,
    /// The connection failed after part of the request was written.
    #[error("the connection failed: {0}")]
    Failed(#[source] hyper::Error),
    /// What arrived is not HTTP.
    #[error("no HTTP response: {0}")]
    Malformed(#[source] hyper::Error),
    /// What arrived has a status that no final response has.
    #[error("the response has the invalid status {0}")]
    InvalidStatus(StatusCode),
}

impl From<TrySendError<Request<CollectedBody>>> for SendError {
    fn from(mut error: TrySendError<Request<CollectedBody>>) -> Self {
        if error.take_message().is_some() {
            return SendError::Unsent;
        }
        let error = error.into_error();
        if error.is_parse() {
            SendError::Malformed(error)
        } else {
            SendError::Failed(error)
        }
    }
}

/// A connection that is closed when dropped.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<CollectedBody>,
    head: Arc<HeadAllowance>,
    task: AbortHandle,
}

impl HttpConnection {
    /// Connects within `connect_timeout`.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> std::io::Result<Self> {
        HttpConnection::start(open_stream(address, connect_timeout).await?).await
    }

    /// Starts HTTP on a connection that was just opened.
    pub async fn start(
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    ) -> std::io::Result<Self> {
        let head = Arc::new(HeadAllowance::default());
        let stream = head_limited(stream, head.clone());
        let result = Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = result.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // A request on the connection receives the error through its own future.
            let _ = connection.await;
        });
        Ok(HttpConnection {
            sender,
            head,
            task: task.abort_handle(),
        })
    }

    /// Sends a request, and returns its response once the head is complete.
    ///
    /// # Errors
    ///
    /// Fails if nothing arrives that is a final response.
    pub fn send(
        &mut self,
        request: Request<CollectedBody>,
    ) -> impl Future<Output = Result<Response<Incoming>, SendError>> + use<> {
        self.head.begin();
        let head = self.head.clone();
        let sending = self.sender.try_send_request(request);
        async move {
            let response = sending.await?;
            head.end();
            let status = response.status();
            if !FINAL_STATUSES.contains(&status.as_u16()) {
                return Err(SendError::InvalidStatus(status));
            }
            Ok(response)
        }
    }

    /// Whether the connection failed because a response did not begin within [`MAX_HEAD_BYTES`].
    pub fn is_head_too_long(&self) -> bool {
        self.head.is_exceeded()
    }

    /// Whether the connection can carry a request at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A pool of connections to one address. A connection that lost a response is not reused.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    /// Maximum time to connect.
    connect_timeout: Duration,
    /// Maximum number of idle connections.
    max_idle: usize,
    idle: Mutex<Vec<HttpConnection>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr, connect_timeout: Duration, max_idle: usize) -> Self {
        ConnectionPool {
            address,
            connect_timeout,
            max_idle,
            idle: Mutex::default(),
        }
    }

    /// The address that the connections lead to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request on an idle or a new connection, and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no connection could be opened, if it was lost before the end of the response, if no final
    /// response arrived, or if the response is longer than [`MAX_POOLED_RESPONSE_BYTES`].
    pub async fn exchange(&self, request: Request<Bytes>) -> std::io::Result<Response<Bytes>> {
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => HttpConnection::open(self.address, self.connect_timeout).await?,
        };
        let sending = connection.send(request.map(CollectedBody::from));
        let response = sending.await.map_err(Error::other)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_POOLED_RESPONSE_BYTES).collect();
        let body = body.await.map_err(std::io::Error::other)?;
        let mut idle = self.idle.lock();
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.lock();
        idle.retain(|connection| !connection.is_closed());
        let index = idle.iter().rposition(HttpConnection::is_ready)?;
        Some(idle.remove(index))
    }

    /// Closes the idle connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }
}
