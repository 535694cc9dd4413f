//! One request from its arrival to the final response.
//!
//! In: a request of a caller and the outcomes of its attempts, which are
//! forwarded to the decision logic. Out: the commands of the decision logic. The
//! decision logic is notified of the end of a request exactly once, also when the
//! connection of the caller breaks: at the latest when the value is dropped.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gorsebank_contract::{AttemptOutcome, PriorityClass, RequestId, TicketId};
use gorsebank_coordination::{Arrival, Event, Timestamp};
use gorsebank_world::QueueKey;
use tokio::sync::mpsc;

use crate::host::{Command, Host};

/// The conditions under which a request runs.
#[derive(Clone, Debug)]
pub struct RequestTerms {
    /// The model or service that the request waits for.
    pub queue: QueueKey,
    /// The priority class of the request.
    pub class: PriorityClass,
    /// The time limit of the request.
    pub time_limit: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key, prefixed with its scope.
    pub key: Option<String>,
}

/// A request without a final response.
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
    /// Registers a request and passes it to the decision logic.
    pub fn open(host: &Arc<Host>, terms: RequestTerms) -> Self {
        let request = host.node().new_request();
        let commands = host.register(request);
        let limit_ms = terms.time_limit.as_millis() as u64;
        let deadline = host.now() + limit_ms;
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

    /// The id of the request.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// The node that received the request.
    pub fn host(&self) -> &Arc<Host> {
        &self.host
    }

    /// The time left until the deadline.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.deadline.since(self.host.now()))
    }

    /// Waits for the next command of the decision logic.
    pub async fn next_command(&mut self) -> Option<Command> {
        let command = self.commands.recv().await;
        if let Some(Command::Dispatch(id, _)) = &command {
            self.running = Some(*id);
        }
        command
    }

    /// Records the time to the first byte of the response.
    pub fn record_first_byte(&self) {
        let seconds = self.arrived.elapsed().as_secs_f64();
        self.host.metrics().first_byte.observe(seconds);
    }

    /// Reports the outcome of the attempt that was dispatched last.
    pub fn finish_attempt(&mut self, outcome: AttemptOutcome) {
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
        self.finish_attempt(AttemptOutcome::CallerDisconnected);
        self.host.handle(Event::RequestAbandoned(self.request));
    }
}
