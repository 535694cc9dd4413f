//! `gorsebank explain`: a request's way through the gateways, from their logs.
//!
//! In: a request's id and log files. Out: its lines in order of time, the lines
//! about its back ends and its model just before, and the likely cause. Lines
//! that are no log lines are passed over and counted.

mod cause;
mod story;

use crate::arguments::ExplainArguments;
use crate::commands::logs::Log;
use story::Story;

/// Prints what the logs say about a request.
pub fn run(arguments: &ExplainArguments) -> eyre::Result<()> {
    let log = Log::read(&arguments.files)?;
    let story = Story::new(&arguments.request, &log.lines);
    print!("{story}");
    log.print_passed_over();
    Ok(())
}
