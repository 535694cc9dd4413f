//! Log of events: one line of `key=value` fields for each event, on standard output.
//!
//! Input: events, through [`write()`]. Output: log lines, which a dedicated thread writes so that a
//! blocked reader cannot delay the gateway. If the queue is full, log lines are dropped and
//! counted. Each priority has its own limit of lines per second, so that lines of served requests
//! cannot displace lines of failures.

use std::fmt;
use std::io::Write;
use std::panic::PanicHookInfo;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::eyre;
use logforth::append::Append;
use logforth::record::{Level, Record};
use logforth::{Diagnostic, Error};
use parking_lot::Mutex;

/// Maximum number of log lines in the queue.
const MAX_QUEUED_LINES: usize = 2_048;
/// Maximum number of log lines about served requests per second.
const MAX_SERVED_PER_SECOND: u32 = 40;
/// Maximum number of log lines about this process's own state per second.
const MAX_STATE_PER_SECOND: u32 = 60;
/// Maximum number of all other log lines per second.
const MAX_OTHER_PER_SECOND: u32 = 300;
/// Time for which [`flush`] waits for a reader of the log.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(200);
/// Interval at which [`flush`] checks whether the queue is empty.
const FLUSH_POLL: Duration = Duration::from_millis(2);

static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Number of log lines that are queued or being written.
static UNWRITTEN: AtomicUsize = AtomicUsize::new(0);
static BUDGET: OnceLock<Mutex<LineBudget>> = OnceLock::new();

/// Priority of a log line when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogPriority {
    /// A served request.
    Served,
    /// A failed request, or a change of state.
    Decision,
    /// A change of what this process knows or of where it learns it, which hundreds of changes of back
    /// ends must not displace.
    State,
}

#[derive(Debug)]
struct LineBudget {
    window_start: Instant,
    served: u32,
    state: u32,
    other: u32,
}

/// Starts the log on standard output. Every log line contains `node`.
pub fn start(node: &str) -> eyre::Result<()> {
    start_to(node, std::io::stdout())
}

/// Starts the log on `output`, whose writes may block indefinitely.
pub fn start_to(node: &str, mut output: impl Write + Send + 'static) -> eyre::Result<()> {
    let (sender, receiver) = sync_channel::<String>(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            for line in receiver {
                // A write error is ignored, because the gateway must keep serving requests without
                // a reader of its log.
                let _ = output.write_all(line.as_bytes());
                UNWRITTEN.fetch_sub(1, Ordering::Release);
            }
        })?;
    let append = QueueAppend {
        node: Arc::from(node),
        sender,
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .try_apply()
        .map_err(|error| eyre!("cannot start the log: {error}"))
}

/// Writes a log line that consists of the event's name and its fields.
pub fn write(priority: LogPriority, event: &str, fields: fmt::Arguments<'_>) {
    if !is_within_budget(priority) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    }
    match priority {
        LogPriority::Served => log::info!("event={event} {fields}"),
        LogPriority::Decision | LogPriority::State => log::warn!("event={event} {fields}"),
    }
}

/// Number of log lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Logs panics as well, from now on. A panic ends only the task in which it occurs, and standard error
/// names neither the gateway nor the time.
pub fn log_panics() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        log_panic(panic);
        previous(panic);
    }));
}

fn log_panic(panic: &PanicHookInfo<'_>) {
    let location = panic.location().map(ToString::to_string);
    let fields = format_args!(
        "location={} message={:?}",
        location.as_deref().unwrap_or("-"),
        panic.payload_as_str().unwrap_or("-")
    );
    write(LogPriority::Decision, "panic", fields);
}

/// Waits until all log lines are written, for a short time at most: a process that ends must not
/// wait for a reader that has stopped reading.
pub fn flush() {
    let until = Instant::now() + MAX_FLUSH_TIME;
    while UNWRITTEN.load(Ordering::Acquire) > 0 && Instant::now() < until {
        std::thread::sleep(FLUSH_POLL);
    }
}

fn is_within_budget(priority: LogPriority) -> bool {
    let budget = BUDGET.get_or_init(|| {
        Mutex::new(LineBudget {
            window_start: Instant::now(),
            served: 0,
            state: 0,
            other: 0,
        })
    });
    let mut budget = budget.lock();
    if budget.window_start.elapsed().as_secs() >= 1 {
        budget.window_start = Instant::now();
        budget.served = 0;
        budget.state = 0;
        budget.other = 0;
    }
    let (count, max) = match priority {
        LogPriority::Served => (&mut budget.served, MAX_SERVED_PER_SECOND),
        LogPriority::State => (&mut budget.state, MAX_STATE_PER_SECOND),
        LogPriority::Decision => (&mut budget.other, MAX_OTHER_PER_SECOND),
    };
    *count += 1;
    *count <= max
}

#[derive(Debug)]
struct QueueAppend {
    node: Arc<str>,
    sender: SyncSender<String>,
}

impl Append for QueueAppend {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if record.level() > Level::Info && record.level() != Level::Warn {
            return Ok(());
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let milliseconds = since_epoch.map_or(0, |time| time.as_millis());
        let line = format!(
            "time_ms={milliseconds} node={} left_out={} {}\n",
            self.node,
            dropped_lines(),
            record.payload()
        );
        UNWRITTEN.fetch_add(1, Ordering::Relaxed);
        if let Err(error) = self.sender.try_send(line) {
            UNWRITTEN.fetch_sub(1, Ordering::Relaxed);
            if let TrySendError::Full(_) = error {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        flush();
        Ok(())
    }
}
