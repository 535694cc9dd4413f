//! `gorsebank losses`: where a day's requests were lost, from all gateways' logs.
//!
//! In: log files. Out: for each route how its requests ended, then for each route and
//! cause how many requests it cost, when most of them, and some to look at with
//! `gorsebank explain`. A caller that comes back is another request here.

mod cause;
mod day;
mod table;

use crate::arguments::LossesArguments;
use crate::commands::logs::Log;
use day::Day;
use table::Table;

/// Prints where requests were lost.
pub fn run(arguments: &LossesArguments) -> eyre::Result<()> {
    let log = Log::read(&arguments.files)?;
    let day = Day::new(&log.lines);
    print!("{}", Table::new(&day, arguments.examples));
    log.print_passed_over();
    Ok(())
}
