//! `gorsebank losses`: summarizes which requests were late, refused or failed, from the logs of all
//! gateways.
//!
//! In: log files. Out: for each route, the number of requests by ending; then for each route,
//! ending and cause, the number of requests, the intervals with most of them, and the ids of some
//! for `gorsebank explain`. Each retry by a caller counts as another request.

mod cause;
mod log_index;
mod table;

use crate::arguments::LossesArguments;
use crate::commands::logs::Log;
use log_index::LogIndex;
use table::LossTable;

/// Prints the summary.
pub fn run(arguments: &LossesArguments) -> eyre::Result<()> {
    let log = Log::read(&arguments.files)?;
    let index = LogIndex::new(&log.lines);
    print!("{}", LossTable::new(&index, arguments.examples));
    log.print_skipped_count();
    Ok(())
}
