//! Reads log files of gateways.
//!
//! In: files of one or more gateways. Out: their log lines in order of time. Text that is not a log
//! line is skipped and counted.

mod line;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use eyre::WrapErr;

pub use line::LogLine;

/// The log lines of all files.
pub struct Log {
    /// The log lines in order of time.
    pub lines: Vec<LogLine>,
    skipped_count: usize,
}

impl Log {
    /// Reads and parses the files.
    ///
    /// # Errors
    ///
    /// If a file cannot be opened or read; the error names the file.
    pub fn read(files: &[PathBuf]) -> eyre::Result<Self> {
        let mut log = Log {
            lines: Vec::new(),
            skipped_count: 0,
        };
        for path in files {
            let file = File::open(path).wrap_err_with(|| path.display().to_string())?;
            for bytes in BufReader::new(file).split(b'\n') {
                let bytes = bytes.wrap_err_with(|| path.display().to_string())?;
                match LogLine::parse(&String::from_utf8_lossy(&bytes)) {
                    Some(line) => log.lines.push(line),
                    None => log.skipped_count += 1,
                }
            }
        }
        log.lines.sort_by_key(|line| line.time_ms);
        Ok(log)
    }

    /// Prints how many lines of the files were skipped, if any were.
    pub fn print_skipped_count(&self) {
        if self.skipped_count > 0 {
            println!(
                "{} lines were no log lines and were skipped",
                self.skipped_count
            );
        }
    }
}
