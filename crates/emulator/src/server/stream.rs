//! Response streams that can be resumed. Their events are kept after the end of the
//! stream, until the number of streams reaches a limit.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;

/// The number of streams from which finished streams are removed to store a new one.
const MAX_STREAMS: usize = 4_096;

#[derive(Debug, Default)]
struct Events {
    data: Vec<String>,
    is_finished: bool,
}

/// The events of one response.
#[derive(Debug, Default)]
pub struct ResponseStream {
    events: Mutex<Events>,
    changed: Notify,
    is_cancelled: AtomicBool,
}

impl ResponseStream {
    /// Appends an event.
    pub fn push(&self, data: String) {
        self.events.lock().data.push(data);
        self.changed.notify_waiters();
    }

    /// Marks the stream as finished; no event follows.
    pub fn finish(&self) {
        self.events.lock().is_finished = true;
        self.changed.notify_waiters();
    }

    /// Asks the generator to stop.
    pub fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Relaxed);
    }

    /// Whether the generator was asked to stop.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled.load(Ordering::Relaxed)
    }

    /// Waits for the event with the number `number`. Returns `None` after the last
    /// event.
    pub async fn event(&self, number: usize) -> Option<String> {
        loop {
            let changed = self.changed.notified();
            {
                let events = self.events.lock();
                if let Some(data) = events.data.get(number) {
                    return Some(data.clone());
                }
                if events.is_finished {
                    return None;
                }
            }
            changed.await;
        }
    }
}

/// The streams of an engine, by name.
#[derive(Debug, Default)]
pub struct ResponseStreams {
    streams: Mutex<HashMap<String, Arc<ResponseStream>>>,
}

impl ResponseStreams {
    /// Creates a stream. Returns `None` if the name is already in use.
    pub fn create(&self, name: &str) -> Option<Arc<ResponseStream>> {
        let mut streams = self.streams.lock();
        if streams.contains_key(name) {
            return None;
        }
        if streams.len() >= MAX_STREAMS {
            streams.retain(|_, stream| !stream.events.lock().is_finished);
        }
        let stream = Arc::new(ResponseStream::default());
        streams.insert(name.to_owned(), Arc::clone(&stream));
        Some(stream)
    }

    /// The stream with this name.
    pub fn get(&self, name: &str) -> Option<Arc<ResponseStream>> {
        self.streams.lock().get(name).cloned()
    }
}
