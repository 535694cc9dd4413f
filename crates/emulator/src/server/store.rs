//! An emulated weight store. `GET /weights/{artifact}?bytes=N` responds when the
//! load has ended. `PUT /slowdown` with a factor makes every load take longer.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::routing::{get, put};
use axum::{Json, Router};
use parking_lot::Mutex;
use serde::Deserialize;

use crate::model::store::{StoreModel, StoreSettings};
use crate::server::clock::Clock;

/// The state of the emulated weight store.
#[derive(Debug)]
pub struct StoreServer {
    clock: Clock,
    store: Mutex<StoreModel>,
}

impl StoreServer {
    /// A store without running loads.
    pub fn new(settings: StoreSettings) -> Self {
        StoreServer {
            clock: Clock::default(),
            store: Mutex::new(StoreModel::new(settings)),
        }
    }

    /// Runs a load of `bytes` bytes and returns when it has ended.
    pub async fn load(&self, bytes: u64) {
        let duration_ms = self.store.lock().start(self.clock.now(), bytes);
        tokio::time::sleep(Duration::from_millis(duration_ms)).await;
        self.store.lock().end();
    }
}

/// The routes of the weight store.
pub fn router(server: Arc<StoreServer>) -> Router {
    Router::new()
        .route("/weights/{artifact}", get(load))
        .route("/slowdown", put(set_slowdown))
        .with_state(server)
}

#[derive(Debug, Deserialize)]
struct LoadQuery {
    bytes: u64,
}

async fn load(
    State(server): State<Arc<StoreServer>>,
    Path(artifact): Path<String>,
    Query(query): Query<LoadQuery>,
) -> Json<String> {
    server.load(query.bytes).await;
    Json(artifact)
}

async fn set_slowdown(State(server): State<Arc<StoreServer>>, Json(factor): Json<f64>) {
    server.store.lock().slowdown = factor;
}
