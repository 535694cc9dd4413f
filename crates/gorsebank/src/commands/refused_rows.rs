//! `gorsebank refused-rows`: rows of tables that gateways could not use, from their logs.
//!
//! In: log files. Out: each row that was refused, the newest version of it, why, by how many
//! gateways, and when first and last. A row that was mended has no line of its own: what counts
//! is whether its newest version in the table is the one that is listed.

use std::collections::{BTreeMap, BTreeSet};

use comfy_table::{Table, presets};

use crate::arguments::RefusedRowsArguments;
use crate::commands::logs::{Log, LogLine};

/// What the lines tell of one row.
struct Refused<'a> {
    version: u64,
    reason: &'a str,
    error: &'a str,
    gateways: BTreeSet<&'a str>,
    /// In milliseconds, as the gateways' clocks tell it.
    first: u64,
    last: u64,
}

/// Prints which rows were refused.
///
/// # Errors
///
/// If a file cannot be read.
pub fn run(arguments: &RefusedRowsArguments) -> eyre::Result<()> {
    let log = Log::read(&arguments.files)?;
    let rows = rows(&log.lines);
    if rows.is_empty() {
        println!("no row was refused");
    } else {
        println!("{}", table(&rows));
    }
    log.print_passed_over();
    Ok(())
}

/// Rows by their keys. A line without a row or a version tells nothing.
fn rows(lines: &[LogLine]) -> BTreeMap<&str, Refused<'_>> {
    let mut rows: BTreeMap<&str, Refused<'_>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event == "row_refused") {
        let (Some(row), Some(version)) = (line.field("row"), line.number("version")) else {
            continue;
        };
        let refused = rows.entry(row).or_insert_with(|| Refused {
            version,
            reason: "",
            error: "",
            gateways: BTreeSet::new(),
            first: line.time,
            last: line.time,
        });
        if version >= refused.version {
            refused.version = version;
            refused.reason = line.field("reason").unwrap_or("?");
            refused.error = line.field("error").unwrap_or("?");
        }
        refused.gateways.insert(&line.node);
        refused.last = line.time;
    }
    rows
}

fn table(rows: &BTreeMap<&str, Refused<'_>>) -> Table {
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
            refused.first.to_string(),
            refused.last.to_string(),
            refused.error.to_owned(),
        ]);
    }
    table
}
