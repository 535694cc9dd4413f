//! Logs to a reader that has stopped reading.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use gorsebank_gateway::event_log::{self, LogPriority};

/// Blocks until the test lets it go.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_has_stopped_reading_holds_nothing_up_and_lines_are_counted() {
    let (_keep, stuck) = channel();
    event_log::start_to("node-1", Stuck(stuck)).expect("a log");
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
    let left_out = event_log::dropped_lines();
    assert!(left_out >= 10 * 800 - 2_048 - 400, "{left_out}");
}
