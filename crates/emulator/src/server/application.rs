//! An application service: answers any path and counts what ran.
//!
//! `?delay=MS` delays the answer, `?fail=after` breaks the connection after
//! the request ran, `?fail=refuse` attests that it did not start. `GET
//! /history` lists what ran.

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
    /// The request's id as the front gave it.
    pub request: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Method and path.
    pub call: String,
}

/// The stand-in's state.
#[derive(Debug, Default)]
pub struct ApplicationServer {
    history: Mutex<Vec<Execution>>,
    prints: bool,
}

impl ApplicationServer {
    /// A service that has run nothing; `prints` makes it print what runs, a
    /// JSON line each.
    pub fn new(prints: bool) -> Self {
        ApplicationServer {
            prints,
            ..ApplicationServer::default()
        }
    }
}

/// The routes of the service.
pub fn router(server: Arc<ApplicationServer>) -> Router {
    Router::new()
        .route("/history", get(history))
        .fallback(run)
        .with_state(server)
}

#[derive(Debug, Default, Deserialize)]
struct Behaviour {
    #[serde(default)]
    delay: u64,
    fail: Option<String>,
}

async fn history(State(server): State<Arc<ApplicationServer>>) -> Json<Vec<Execution>> {
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
    if server.prints
        && let Ok(line) = serde_json::to_string(&execution)
    {
        println!("{line}");
    }
    server.history.lock().push(execution);
    tokio::time::sleep(Duration::from_millis(behaviour.delay)).await;
    if behaviour.fail.as_deref() == Some("after") {
        return broken_answer();
    }
    let answer = serde_json::json!({
        "path": uri.path(),
        "received_bytes": body.len(),
        "request": request,
    });
    ([(REQUEST_ID_HEADER, request)], Json(answer)).into_response()
}

/// An answer whose connection breaks before its end.
fn broken_answer() -> Response {
    let pieces = futures_util::stream::iter([
        Ok(Bytes::from_static(b"{")),
        Err(std::io::Error::other("broken on purpose")),
    ]);
    Response::new(Body::from_stream(pieces))
}
