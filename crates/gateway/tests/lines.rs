//! Tests the event log with a reader that has stopped reading.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use gorsebank_gateway::event_log::{self, LogPriority};

/// A writer that blocks until the test ends.
struct BlockedWriter(Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_does_not_block_writers_and_dropped_lines_are_counted() {
    let (_sender, receiver) = channel();
    event_log::start_to("node-1", BlockedWriter(receiver)).expect("a log");
    let began = Instant::now();
    for second in 0..10 {
        for number in 0..400 {
            let fields = format_args!("request=r{second}-{number} outcome=refused");
            event_log::write(LogPriority::Decision, "request_end", fields);
        }
        for number in 0..400 {
            event_log::write(
                LogPriority::Served,
                "request_end",
                format_args!("request=s{number}"),
            );
        }
    }
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
    let dropped = event_log::dropped_lines();
    assert!(dropped >= 10 * 800 - 2_048 - 400, "{dropped}");
}
