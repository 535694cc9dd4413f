//! One request from arrival to final answer.
//!
//! In: the caller's request. Out: commands from the decision logic, and the
//! ends of attempts back to it. Whatever happens to the caller's connection,
//! the decision logic hears of the end exactly once, when the value is dropped
//! at the latest.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gorsebank_contract::{AttemptOutcome, PriorityClass, RequestId, TicketId};
use gorsebank_coordination::{Arrival, Event, Timestamp};
use gorsebank_world::QueueKey;
use tokio::sync::mpsc;

use crate::host::{Command, Host};

/// How a request shall be treated.
#[derive(Clone, Debug)]
pub struct RequestTerms {
    /// What it waits for.
    pub queue: QueueKey,
    /// Its priority.
    pub class: PriorityClass,
    /// The time it may take.
    pub time_allowed: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its idempotency key with its scope.
    pub key: Option<String>,
}

/// A request without a final answer.
#[derive(Debug)]
pub struct OpenRequest {
    host: Arc<Host>,
    request: RequestId,
    commands: mpsc::UnboundedReceiver<Command>,
    running: Option<TicketId>,
    arrived: Instant,
    deadline: Timestamp,
}

impl OpenRequest {
    /// Hands the request to the decision logic.
    pub fn open(host: &Arc<Host>, terms: RequestTerms) -> Self {
        let request = host.node().new_request();
        let commands = host.register(request);
        let allowed = terms.time_allowed.as_millis() as u64;
        let deadline = host.now() + allowed;
        host.handle(Event::RequestArrived(Arrival {
            request,
            queue: terms.queue,
            class: terms.class,
            deadline,
            repeatable: terms.repeatable,
            key: terms.key,
        }));
        OpenRequest {
            host: Arc::clone(host),
            request,
            commands,
            running: None,
            arrived: Instant::now(),
            deadline,
        }
    }

    /// Its id.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// The node that it was taken by.
    pub fn host(&self) -> &Arc<Host> {
        &self.host
    }

    /// The time left until the deadline.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.deadline.since(self.host.now()))
    }

    /// What to do next.
    pub async fn next_command(&mut self) -> Option<Command> {
        let command = self.commands.recv().await;
        if let Some(Command::Dispatch(id, _)) = &command {
            self.running = Some(*id);
        }
        command
    }

    /// The first byte of the answer is there.
    pub fn note_first_byte(&self) {
        let seconds = self.arrived.elapsed().as_secs_f64();
        self.host.metrics().first_byte.observe(seconds);
    }

    /// The attempt that was dispatched last ended.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        if let Some(id) = self.running.take() {
            if outcome == AttemptOutcome::Completed {
                self.host.metrics().answered.inc();
            }
            self.host.handle(Event::AttemptEnded { id, outcome });
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.host.unregister(self.request);
        self.attempt_ended(AttemptOutcome::CallerGone);
        self.host.handle(Event::RequestAbandoned(self.request));
    }
}
