//! Finds incomplete request bodies that no longer progress, so that others can use their memory.
//!
//! In: the bytes that arrive for each body. Out: which body is given up while memory is short: the one that
//! has not progressed for the longest time. A body that itself waits for memory is not read, so it is never
//! given up for lack of progress.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Number of bytes that must arrive within [`MAX_STALL_TIME`] for a body to progress.
const MIN_PROGRESS_BYTES: usize = 4 << 10;
/// Time without progress after which a body may be given up.
const MAX_STALL_TIME: Duration = Duration::from_secs(1);

/// The incomplete bodies that use memory.
#[derive(Debug, Default)]
pub struct IncompleteBodies {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    bodies: BTreeMap<u64, Progress>,
    next_id: u64,
}

#[derive(Debug)]
struct Progress {
    /// When the body last progressed.
    since: Instant,
    is_paused: bool,
    given_up: Arc<Notify>,
}

impl IncompleteBodies {
    /// Adds a body.
    pub fn add(&self) -> IncompleteBody {
        let given_up = Arc::new(Notify::new());
        let mut state = self.state.lock();
        let id = state.next_id;
        state.next_id += 1;
        let progress = Progress {
            since: Instant::now(),
            is_paused: false,
            given_up: given_up.clone(),
        };
        state.bodies.insert(id, progress);
        IncompleteBody {
            state: self.state.clone(),
            id,
            bytes: 0,
            given_up,
        }
    }

    /// Gives up the body that has not progressed for the longest time, if that is too long.
    pub fn give_up_stalled(&self) {
        let mut state = self.state.lock();
        let read = state.bodies.iter().filter(|(_, body)| !body.is_paused);
        let Some((id, since)) = read
            .map(|(id, body)| (*id, body.since))
            .min_by_key(|(_, since)| *since)
        else {
            return;
        };
        if since.elapsed() < MAX_STALL_TIME {
            return;
        }
        if let Some(body) = state.bodies.remove(&id) {
            body.given_up.notify_one();
        }
    }
}

/// An incomplete body, until this value is dropped.
#[derive(Debug)]
pub struct IncompleteBody {
    state: Arc<Mutex<State>>,
    id: u64,
    /// Number of bytes that arrived since the last progress.
    bytes: usize,
    given_up: Arc<Notify>,
}

impl IncompleteBody {
    /// Records that bytes have arrived.
    pub fn record(&mut self, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= MIN_PROGRESS_BYTES {
            self.bytes = 0;
            self.update(|progress| progress.since = Instant::now());
        }
    }

    /// Records that the body is not read until [`IncompleteBody::resume`].
    pub fn pause(&self) {
        self.update(|progress| progress.is_paused = true);
    }

    /// Records that the body is read again.
    pub fn resume(&self) {
        self.update(|progress| {
            progress.is_paused = false;
            progress.since = Instant::now();
        });
    }

    /// Returns once the body is given up.
    pub async fn wait_until_given_up(&self) {
        self.given_up.notified().await;
    }

    fn update(&self, change: impl FnOnce(&mut Progress)) {
        if let Some(progress) = self.state.lock().bodies.get_mut(&self.id) {
            change(progress);
        }
    }
}

impl Drop for IncompleteBody {
    fn drop(&mut self) {
        self.state.lock().bodies.remove(&self.id);
    }
}
