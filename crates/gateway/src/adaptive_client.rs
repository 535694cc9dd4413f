//! HTTP client for one service over pooled connections, with a timeout that adapts to recent
//! response times.
//!
//! The input is a request. The output is the response, or an error that says that the response
//! was lost. After a lost response, its connection is silent, and other connections that were open
//! at the time may be silent too.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use tokio::time::{Instant, timeout};

use crate::adaptive_timeout::AdaptiveTimeout;
use crate::http_connection::ConnectionPool;
use crate::ports::TableError;

/// Client for one service.
pub struct AdaptiveClient {
    connections: ConnectionPool,
    timeout: AdaptiveTimeout,
}

impl AdaptiveClient {
    /// Creates a client that uses these connections.
    pub fn new(connections: ConnectionPool, timeout: AdaptiveTimeout) -> Self {
        AdaptiveClient {
            connections,
            timeout,
        }
    }

    /// Builds a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the path is not a valid request target.
    pub fn request(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<Request<Bytes>, TableError> {
        let content_error =
            |error: &dyn std::fmt::Display| TableError::InvalidResponse(error.to_string());
        let host = HeaderValue::from_str(&self.connections.address().to_string())
            .map_err(|error| content_error(&error))?;
        let uri = path.parse().map_err(|error| content_error(&error))?;
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        request.headers_mut().insert(HOST, host);
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        Ok(request)
    }

    /// Makes a call to which the service responds immediately. The duration of a rejected call is
    /// not recorded, because it does not tell how long an executed call takes: writes to a
    /// contended part of a table take up to a second.
    ///
    /// # Errors
    ///
    /// Fails if the response is lost.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        is_rejected: impl Fn(StatusCode) -> bool,
    ) -> Result<Response<Bytes>, TableError> {
        let started = Instant::now();
        let result = self.call(request, self.timeout.current()).await;
        match &result {
            Ok(response) if is_rejected(response.status()) => {}
            Ok(_) => self.timeout.record_response(started.elapsed()),
            Err(_) => self.timeout.record_timeout(),
        }
        result
    }

    /// Makes a call whose response the service may hold back for the time `wait` (long polling).
    ///
    /// # Errors
    ///
    /// Fails if the response is lost.
    pub async fn long_poll(
        &self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Response<Bytes>, TableError> {
        let result = self.call(request, wait + self.timeout.current()).await;
        if result.is_err() {
            self.timeout.record_timeout();
        }
        result
    }

    async fn call(
        &self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, TableError> {
        match timeout(time_limit, self.connections.exchange(request)).await {
            Ok(result) => result.map_err(|error| TableError::NoResponse(error.to_string())),
            Err(_) => {
                // Connections can go silent without a reset, and then all open ones do so together.
                // The next call must open a new connection.
                self.connections.clear();
                Err(TableError::NoResponse("time is up".to_owned()))
            }
        }
    }
}

/// Percent-encodes a value for the query of an address. Other programs choose keys freely.
pub fn encode_parameter(value: &str) -> String {
    let encode = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    value.bytes().map(encode).collect()
}
