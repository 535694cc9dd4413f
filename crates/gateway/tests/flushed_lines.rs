//! Tests that the last lines of the event log are written before a process ends.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gorsebank_gateway::event_log::{self, LogPriority};

/// Number of lines that are in the queue when the process ends.
const LINES: usize = 5;
/// Time that the reader needs for a line.
const WRITE_TIME: Duration = Duration::from_millis(1);

/// A writer that counts what a slow reader has taken.
struct SlowWriter(Arc<AtomicUsize>);

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(WRITE_TIME);
        self.0.fetch_add(1, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_last_lines_are_written_before_a_process_ends() {
    let written = Arc::new(AtomicUsize::new(0));
    event_log::start_to("node-1", SlowWriter(written.clone())).expect("a log");
    for number in 0..LINES {
        let fields = format_args!("number={number}");
        event_log::write(LogPriority::Decision, "stop", fields);
    }
    log::logger().flush();
    assert_eq!(written.load(Ordering::Relaxed), LINES);
}
