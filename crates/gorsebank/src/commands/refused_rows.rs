//! `gorsebank refused-rows`: lists the table rows that gateways could not parse, from their logs.
//!
//! In: log files. Out: each refused row with its newest refused version, the reason, the number of
//! gateways, and the first and the last time. Gateways do not log that a row was corrected. A row
//! is still faulty if the table holds the listed version of it.

use std::collections::{BTreeMap, BTreeSet};

use comfy_table::{Table, presets};

use crate::arguments::RefusedRowsArguments;
use crate::commands::logs::{Log, LogLine};

/// The log lines about one refused row, summarized.
struct RefusedRow<'a> {
    /// The newest refused version; the reason and the error belong to it.
    version: u64,
    reason: &'a str,
    error: &'a str,
    gateways: BTreeSet<&'a str>,
    /// Unix time in milliseconds by the gateways' clocks.
    first_ms: u64,
    last_ms: u64,
}

/// Prints the refused rows as a table.
///
/// # Errors
///
/// If a file cannot be opened or read.
pub fn run(arguments: &RefusedRowsArguments) -> eyre::Result<()> {
    let log = Log::read(&arguments.files)?;
    let rows = collect_refused_rows(&log.lines);
    if rows.is_empty() {
        println!("no row was refused");
    } else {
        println!("{}", format_table(&rows));
    }
    log.print_skipped_count();
    Ok(())
}

/// The refused rows by key. Lines without a row or a version are ignored.
fn collect_refused_rows(lines: &[LogLine]) -> BTreeMap<&str, RefusedRow<'_>> {
    let mut rows: BTreeMap<&str, RefusedRow<'_>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event == "row_refused") {
        let (Some(row), Some(version)) = (line.field("row"), line.number("version")) else {
            continue;
        };
        let refused = rows.entry(row).or_insert_with(|| RefusedRow {
            version,
            reason: "",
            error: "",
            gateways: BTreeSet::new(),
            first_ms: line.time_ms,
            last_ms: line.time_ms,
        });
        if version >= refused.version {
            refused.version = version;
            refused.reason = line.field("reason").unwrap_or("?");
            refused.error = line.field("error").unwrap_or("?");
        }
        refused.gateways.insert(&line.node);
        refused.last_ms = line.time_ms;
    }
    rows
}

fn format_table(rows: &BTreeMap<&str, RefusedRow<'_>>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header([
        "row", "version", "reason", "gateways", "first_ms", "last_ms", "error",
    ]);
    for (row, refused) in rows {
        table.add_row([
            (*row).to_owned(),
            refused.version.to_string(),
            refused.reason.to_owned(),
            refused.gateways.len().to_string(),
            refused.first_ms.to_string(),
            refused.last_ms.to_string(),
            refused.error.to_owned(),
        ]);
    }
    table
}
