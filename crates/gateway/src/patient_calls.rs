//! Calls of one service over kept connections, each waited for as long as answers take of late.
//!
//! In: requests. Out: status and body, or that the answer is lost. A connection on which an answer
//! was lost says nothing any more, and neither may those that were open beside it.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, StatusCode};
use tokio::time::{Instant, timeout};

use crate::http_connection::KeptConnections;
use crate::patience::Patience;
use crate::ports::TableError;

/// Calls of one service.
pub struct PatientCalls {
    connections: KeptConnections,
    patience: Patience,
}

impl PatientCalls {
    /// Calls over these connections.
    pub fn new(connections: KeptConnections, patience: Patience) -> Self {
        PatientCalls {
            connections,
            patience,
        }
    }

    /// A request with a JSON body.
    ///
    /// # Errors
    ///
    /// If the path cannot be asked for.
    pub fn request(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<Request<Bytes>, TableError> {
        let wrong = |error: &dyn std::fmt::Display| TableError::Content(error.to_string());
        let host = HeaderValue::from_str(&self.connections.address().to_string())
            .map_err(|error| wrong(&error))?;
        let uri = path.parse().map_err(|error| wrong(&error))?;
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        request.headers_mut().insert(HOST, host);
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        Ok(request)
    }

    /// A call that is answered at once, or whose answer is lost. One that is turned away says
    /// nothing of how long one takes that is carried out: writes of a crowded part of a table take
    /// up to a second.
    ///
    /// # Errors
    ///
    /// If the answer is lost.
    pub async fn quick(
        &self,
        request: Request<Bytes>,
        is_turned_away: impl Fn(StatusCode) -> bool,
    ) -> Result<(StatusCode, Bytes), TableError> {
        let began = Instant::now();
        let result = self.call(request, self.patience.wait()).await;
        match &result {
            Ok((status, _)) if is_turned_away(*status) => {}
            Ok(_) => self.patience.answered(began.elapsed()),
            Err(_) => self.patience.expired(),
        }
        result
    }

    /// A call whose answer may be held back for so long.
    ///
    /// # Errors
    ///
    /// If the answer is lost.
    pub async fn waiting(
        &self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), TableError> {
        let result = self.call(request, wait + self.patience.wait()).await;
        if result.is_err() {
            self.patience.expired();
        }
        result
    }

    async fn call(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), TableError> {
        match timeout(limit, self.connections.exchange(request)).await {
            Ok(result) => result.map_err(|error| TableError::Lost(error.to_string())),
            Err(_) => {
                // Connections can go silent without a reset, and then all that are open
                // do: the next call takes a new one.
                self.connections.clear();
                Err(TableError::Lost("time is up".to_owned()))
            }
        }
    }
}
