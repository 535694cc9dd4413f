//! An emulated application service, which responds on every path and records the
//! requests that ran.
//!
//! `?delay=MS` delays the response. `?fail=after` breaks the connection after the
//! request ran. `?fail=refuse` returns a response which states that the request
//! did not start. `GET /history` lists the requests that ran.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Query, State};
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::server::engine::{NOT_STARTED_HEADER, REQUEST_ID_HEADER};

/// A request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The id that the node gave to the request.
    pub request: String,
    /// The idempotency key that the caller sent.
    pub key: Option<String>,
    /// The method and the path.
    pub call: String,
}

/// The state of the emulated service.
#[derive(Debug, Default)]
pub struct ApplicationServer {
    history: Mutex<Vec<Execution>>,
    prints_history: bool,
}

impl ApplicationServer {
    /// A service with an empty history. With `prints_history` it prints each request
    /// that ran as a JSON line.
    pub fn new(prints_history: bool) -> Self {
        ApplicationServer {
            prints_history,
            ..ApplicationServer::default()
        }
    }
}

/// The routes of the service.
pub fn router(server: Arc<ApplicationServer>) -> Router {
    Router::new()
        .route("/history", get(read_history))
        .fallback(run)
        .with_state(server)
}

#[derive(Debug, Default, Deserialize)]
struct Behaviour {
    #[serde(default)]
    delay: u64,
    fail: Option<String>,
}

async fn read_history(State(server): State<Arc<ApplicationServer>>) -> Json<Vec<Execution>> {
    Json(server.history.lock().clone())
}

async fn run(
    State(server): State<Arc<ApplicationServer>>,
    Query(behaviour): Query<Behaviour>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let header = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    if behaviour.fail.as_deref() == Some("refuse") {
        let headers = [(NOT_STARTED_HEADER, "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, headers).into_response();
    }
    let request = header(REQUEST_ID_HEADER).unwrap_or_default();
    let execution = Execution {
        request: request.clone(),
        key: header("idempotency-key"),
        call: format!("{method} {}", uri.path()),
    };
    if server.prints_history
        && let Ok(line) = serde_json::to_string(&execution)
    {
        println!("{line}");
    }
    server.history.lock().push(execution);
    tokio::time::sleep(Duration::from_millis(behaviour.delay)).await;
    if behaviour.fail.as_deref() == Some("after") {
        return interrupted_response();
    }
    let response = serde_json::json!({
        "path": uri.path(),
        "received_bytes": body.len(),
        "request": request,
    });
    ([(REQUEST_ID_HEADER, request)], Json(response)).into_response()
}

/// A response whose connection breaks before its end.
fn interrupted_response() -> Response {
    let chunks = futures_util::stream::iter([
        Ok(Bytes::from_static(b"{")),
        Err(std::io::Error::other("broken on purpose")),
    ]);
    Response::new(Body::from_stream(chunks))
}
