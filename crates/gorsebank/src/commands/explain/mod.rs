//! `gorsebank explain`: a request's way through the gateways, from their logs.
//!
//! In: a request's id and log files. Out: its lines in order of time, the lines
//! about its back ends and its model just before, and the likely cause. Lines
//! that are no log lines are passed over and counted.

mod cause;
mod line;
mod story;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use eyre::WrapErr;

use crate::arguments::ExplainArguments;
use line::LogLine;
use story::Story;

/// Prints what the logs say about a request.
pub fn run(arguments: &ExplainArguments) -> eyre::Result<()> {
    let log = read(&arguments.files)?;
    let story = Story::new(&arguments.request, &log.lines);
    print!("{story}");
    if log.passed_over > 0 {
        println!(
            "{} lines were no log lines and were passed over",
            log.passed_over
        );
    }
    Ok(())
}

/// The lines of all files.
struct Log {
    lines: Vec<LogLine>,
    passed_over: usize,
}

fn read(files: &[PathBuf]) -> eyre::Result<Log> {
    let mut log = Log {
        lines: Vec::new(),
        passed_over: 0,
    };
    for path in files {
        let file = File::open(path).wrap_err_with(|| path.display().to_string())?;
        for bytes in BufReader::new(file).split(b'\n') {
            let bytes = bytes.wrap_err_with(|| path.display().to_string())?;
            match LogLine::parse(&String::from_utf8_lossy(&bytes)) {
                Some(line) => log.lines.push(line),
                None => log.passed_over += 1,
            }
        }
    }
    log.lines.sort_by_key(|line| line.time);
    Ok(log)
}
