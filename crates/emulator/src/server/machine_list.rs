//! The machine list: Prometheus HTTP service discovery, with a lag.
//!
//! `PUT /machines` replaces the list; readers see it after the lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::routing::{get, put};
use axum::{Json, Router};
use gorsebank_clients::machine_list::TargetGroup;
use parking_lot::Mutex;

use crate::server::clock::Clock;

/// The stand-in's state.
#[derive(Debug)]
pub struct MachineListServer {
    clock: Clock,
    lag: Duration,
    lists: Mutex<VecDeque<(u64, Vec<TargetGroup>)>>,
}

impl MachineListServer {
    /// A list that is seen at once; later ones are seen after `lag`.
    pub fn new(groups: Vec<TargetGroup>, lag: Duration) -> Self {
        MachineListServer {
            clock: Clock::default(),
            lag,
            lists: Mutex::new(VecDeque::from([(0, groups)])),
        }
    }

    /// Replaces the list.
    pub fn replace(&self, groups: Vec<TargetGroup>) {
        let visible = self.clock.now() + self.lag.as_millis() as u64;
        self.lists.lock().push_back((visible, groups));
    }

    fn visible(&self) -> Vec<TargetGroup> {
        let now = self.clock.now();
        let mut lists = self.lists.lock();
        while lists.get(1).is_some_and(|(visible, _)| *visible <= now) {
            lists.pop_front();
        }
        lists
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

/// The routes of the machine list.
pub fn router(server: Arc<MachineListServer>) -> Router {
    Router::new()
        .route("/machines", get(read))
        .route("/machines", put(write))
        .with_state(server)
}

async fn read(State(server): State<Arc<MachineListServer>>) -> Json<Vec<TargetGroup>> {
    Json(server.visible())
}

async fn write(State(server): State<Arc<MachineListServer>>, Json(groups): Json<Vec<TargetGroup>>) {
    server.replace(groups);
}
