//! Answer streams that can be resumed: events stay for a while after the end.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Streams that are remembered at the most.
const MAX_STREAMS: usize = 4_096;

#[derive(Debug, Default)]
struct Events {
    data: Vec<String>,
    finished: bool,
}

/// The events of one answer.
#[derive(Debug, Default)]
pub struct AnswerStream {
    events: Mutex<Events>,
    changed: Notify,
    cancelled: AtomicBool,
}

impl AnswerStream {
    /// Adds an event.
    pub fn push(&self, data: String) {
        self.events.lock().data.push(data);
        self.changed.notify_waiters();
    }

    /// No event follows.
    pub fn finish(&self) {
        self.events.lock().finished = true;
        self.changed.notify_waiters();
    }

    /// Asks the generator to stop.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    /// Whether the generator shall stop.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Event number `number`, once it is there; `None` after the last.
    pub async fn event(&self, number: usize) -> Option<String> {
        loop {
            let changed = self.changed.notified();
            {
                let events = self.events.lock();
                if let Some(data) = events.data.get(number) {
                    return Some(data.clone());
                }
                if events.finished {
                    return None;
                }
            }
            changed.await;
        }
    }
}

/// All streams of an engine, by name.
#[derive(Debug, Default)]
pub struct AnswerStreams {
    streams: Mutex<HashMap<String, Arc<AnswerStream>>>,
}

impl AnswerStreams {
    /// A new stream, or `None` if the name is taken.
    pub fn create(&self, name: &str) -> Option<Arc<AnswerStream>> {
        let mut streams = self.streams.lock();
        if streams.contains_key(name) {
            return None;
        }
        if streams.len() >= MAX_STREAMS {
            streams.retain(|_, stream| !stream.events.lock().finished);
        }
        let stream = Arc::new(AnswerStream::default());
        streams.insert(name.to_owned(), Arc::clone(&stream));
        Some(stream)
    }

    /// The stream of that name.
    pub fn get(&self, name: &str) -> Option<Arc<AnswerStream>> {
        self.streams.lock().get(name).cloned()
    }
}
