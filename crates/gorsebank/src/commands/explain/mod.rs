//! `gorsebank explain`: shows a request's path through the gateways, from their logs.
//!
//! In: a request's id and log files. Out: the request's log lines in order of time, the lines about
//! its back ends and its model shortly before, and the probable cause of its outcome. Text that is
//! not a log line is skipped and counted.

mod cause;
mod request_history;

use crate::arguments::ExplainArguments;
use crate::commands::logs::Log;
use request_history::RequestHistory;

/// Prints the log lines that concern a request, and the cause of its outcome.
pub fn run(arguments: &ExplainArguments) -> eyre::Result<()> {
    let log = Log::read(&arguments.files)?;
    let history = RequestHistory::new(&arguments.request, &log.lines);
    print!("{history}");
    log.print_skipped_count();
    Ok(())
}
