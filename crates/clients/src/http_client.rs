//! HTTP/1.1 client that sends and receives JSON, with limits on the time of a call and on the size of
//! a response.

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

/// Maximum length of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The reason why a call failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No complete response arrived within the time limit.
    #[error("no complete response within {0:?}")]
    Timeout(Duration),
    /// The connection could not be established, so nothing was sent.
    #[error("connection could not be established: {0}")]
    Connect(String),
    /// The connection failed after the request may have been sent.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The request or the response does not conform to the protocol.
    #[error("invalid request or response: {0}")]
    Content(String),
    /// The server returned an error status.
    #[error("server returned status {0}")]
    Status(StatusCode),
}

/// An HTTP client that reuses connections. Clones share the connections.
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
    /// Sends a request and returns the response once its headers have arrived. The body is still
    /// unread.
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

    /// Sends `body` as JSON and decodes the JSON response, whatever its status, within
    /// `time_limit`.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Q>,
        time_limit: Duration,
    ) -> Result<(StatusCode, A), HttpError> {
        let exchange = self.send_json(method, address, path, body);
        match timeout(time_limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout(time_limit)),
        }
    }

    async fn send_json<Q: Serialize, A: DeserializeOwned>(
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
        let bytes = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| HttpError::Lost(error.to_string()))?
            .to_bytes();
        let decoded = serde_json::from_slice(&bytes)
            .map_err(|error| HttpError::Content(format!("{status}: {error}")))?;
        Ok((status, decoded))
    }
}
