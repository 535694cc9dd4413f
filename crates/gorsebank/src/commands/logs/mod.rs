//! Log files of gateways, read back.
//!
//! In: files of any number of gateways. Out: their lines in order of time. Lines
//! that are no log lines are passed over and counted.

mod line;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use eyre::WrapErr;

pub use line::LogLine;

/// The lines of all files.
pub struct Log {
    /// In order of time.
    pub lines: Vec<LogLine>,
    passed_over: usize,
}

impl Log {
    /// Reads files.
    ///
    /// # Errors
    ///
    /// If a file cannot be opened or read; the error names it.
    pub fn read(files: &[PathBuf]) -> eyre::Result<Self> {
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

    /// Says how many lines were passed over, if any were.
    pub fn print_passed_over(&self) {
        if self.passed_over > 0 {
            println!(
                "{} lines were no log lines and were passed over",
                self.passed_over
            );
        }
    }
}
