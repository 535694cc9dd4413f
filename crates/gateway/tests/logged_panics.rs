//! Tests that a panic, which ends only its task, appears in the event log.

use std::io::{self, Write};
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use gorsebank_gateway::event_log;

/// Time within which the line must be written.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A writer that passes on the lines of the log.
struct LineWriter(Sender<String>);

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn a_panic_of_a_task_appears_in_the_log() {
    let (sender, lines) = channel();
    event_log::start_to("node-1", LineWriter(sender)).expect("a log");
    event_log::log_panics();
    let task = tokio::spawn(async { panic!("no such row") });
    assert!(task.await.is_err_and(|error| error.is_panic()));
    let line = lines.recv_timeout(MAX_WAIT).expect("a line");
    assert!(line.contains("node=node-1"), "{line}");
    assert!(line.contains("event=panic location="), "{line}");
    assert!(line.contains("message=\"no such row\""), "{line}");
}
