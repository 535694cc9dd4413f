//! A JSON client over HTTP/1.1 with a limit on time and size.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// An idle connection is kept for so long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection must be established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What went wrong with a call.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No answer within the time allowed.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The connection could not be made; nothing was sent.
    #[error("connection refused: {0}")]
    Connect(String),
    /// The connection failed after the request may have been sent.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The answer is not what the protocol says.
    #[error("answer is not understood: {0}")]
    Content(String),
    /// The server answered with an error.
    #[error("status {0}")]
    Status(StatusCode),
}

/// A client that keeps connections open.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        HttpClient { client }
    }
}

impl HttpClient {
    /// Sends a request; the answer's body is still to come.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpError::Connect(error.to_string())
            } else {
                HttpError::Lost(error.to_string())
            }
        })
    }

    /// Sends JSON and reads a JSON answer, whatever its status.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Q>,
        limit: Duration,
    ) -> Result<(StatusCode, A), HttpError> {
        let exchange = self.exchange(method, address, path, body);
        match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout(limit)),
        }
    }

    async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Q>,
    ) -> Result<(StatusCode, A), HttpError> {
        let content = match body {
            Some(body) => serde_json::to_vec(body),
            None => Ok(Vec::new()),
        };
        let content = content.map_err(|error| HttpError::Content(error.to_string()))?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(content)))
            .map_err(|error| HttpError::Content(error.to_string()))?;
        let response = self.send(request).await?;
        let status = response.status();
        let bytes = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| HttpError::Lost(error.to_string()))?
            .to_bytes();
        let answer = serde_json::from_slice(&bytes)
            .map_err(|error| HttpError::Content(format!("{status}: {error}")))?;
        Ok((status, answer))
    }
}
