//! The weight store: `GET /weights/{artifact}?bytes=N` answers when the load
//! is over; `PUT /slowdown` with a number makes every load take longer.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::routing::{get, put};
use axum::{Json, Router};
use parking_lot::Mutex;
use serde::Deserialize;

use crate::model::store::{StoreModel, StoreSettings};
use crate::server::clock::Clock;

/// The stand-in's state.
#[derive(Debug)]
pub struct StoreServer {
    clock: Clock,
    store: Mutex<StoreModel>,
}

impl StoreServer {
    /// An idle store.
    pub fn new(settings: StoreSettings) -> Self {
        StoreServer {
            clock: Clock::default(),
            store: Mutex::new(StoreModel::new(settings)),
        }
    }

    /// Waits as long as a load takes.
    pub async fn load(&self, bytes: u64) {
        let time = self.store.lock().start(self.clock.now(), bytes);
        tokio::time::sleep(Duration::from_millis(time)).await;
        self.store.lock().end();
    }
}

/// The routes of the weight store.
pub fn router(server: Arc<StoreServer>) -> Router {
    Router::new()
        .route("/weights/{artifact}", get(load))
        .route("/slowdown", put(slow_down))
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

async fn slow_down(State(server): State<Arc<StoreServer>>, Json(factor): Json<f64>) {
    server.store.lock().slowdown = factor;
}
