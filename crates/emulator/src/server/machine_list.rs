//! An emulated machine list, in the format of the HTTP service discovery of
//! Prometheus.
//!
//! `PUT /machines` replaces the list. Readers see the new list after a configured
//! lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::routing::{get, put};
use axum::{Json, Router};
use gorsebank_clients::machine_list::TargetGroup;
use parking_lot::Mutex;

use crate::server::clock::Clock;

/// The state of the emulated machine list.
#[derive(Debug)]
pub struct MachineListServer {
    clock: Clock,
    lag: Duration,
    lists: Mutex<VecDeque<(u64, Vec<TargetGroup>)>>,
}

impl MachineListServer {
    /// A machine list that shows `groups` at once, and later lists after `lag`.
    pub fn new(groups: Vec<TargetGroup>, lag: Duration) -> Self {
        MachineListServer {
            clock: Clock::default(),
            lag,
            lists: Mutex::new(VecDeque::from([(0, groups)])),
        }
    }

    /// Replaces the list, with effect after the lag.
    pub fn replace(&self, groups: Vec<TargetGroup>) {
        let visible_from_ms = self.clock.now() + self.lag.as_millis() as u64;
        self.lists.lock().push_back((visible_from_ms, groups));
    }

    fn visible_groups(&self) -> Vec<TargetGroup> {
        let now = self.clock.now();
        let mut lists = self.lists.lock();
        while lists
            .get(1)
            .is_some_and(|(visible_from_ms, _)| *visible_from_ms <= now)
        {
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
    Json(server.visible_groups())
}

async fn write(State(server): State<Arc<MachineListServer>>, Json(groups): Json<Vec<TargetGroup>>) {
    server.replace(groups);
}
