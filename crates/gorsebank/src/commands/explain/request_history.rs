//! The log lines that concern one request.
//!
//! In: a request's id and the lines of all logs. Out: the request's own lines and the relevant
//! lines about back ends, models and the gateway, as text with times relative to the request's
//! first line.

use std::collections::BTreeSet;
use std::fmt;

use super::cause::{self, Cause};
use crate::commands::logs::LogLine;

/// Time before the request's first line from which lines about its back ends and model are shown.
const CONTEXT_MS: u64 = 6_000;

/// A request's log lines, their context and the cause of the outcome.
pub struct RequestHistory<'a> {
    request: &'a str,
    request_lines: Vec<&'a LogLine>,
    context_lines: Vec<&'a LogLine>,
    cause: Cause,
}

impl<'a> RequestHistory<'a> {
    /// Selects the lines that concern the request, and determines the cause of its outcome.
    pub fn new(request: &'a str, lines: &'a [LogLine]) -> Self {
        let request_lines: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.field("request") == Some(request))
            .collect();
        let context_lines = context_lines(&request_lines, lines);
        let cause = cause::find(&request_lines, &context_lines);
        RequestHistory {
            request,
            request_lines,
            context_lines,
            cause,
        }
    }
}

/// Lines about the request's gateway, back ends and models, from [`CONTEXT_MS`] before its first
/// line to its last line.
fn context_lines<'a>(request_lines: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let Some(last) = request_lines.last() else {
        return Vec::new();
    };
    let first = request_lines
        .first()
        .map_or(last.time_ms, |line| line.time_ms);
    let names: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| ["back_end", "model"].map(|field| line.field(field)))
        .flatten()
        .filter(|name| *name != "-")
        .collect();
    let span = first.saturating_sub(CONTEXT_MS)..=last.time_ms;
    lines
        .iter()
        .filter(|line| span.contains(&line.time_ms) && line.field("request").is_none())
        .filter(|line| is_relevant(line, &names, &last.node))
        .collect()
}

/// Whether a line is shown with the request: changes of the placement lease, the gateway's own
/// state and its view of the named back ends, and orders of any gateway that mention one of the
/// names.
fn is_relevant(line: &LogLine, names: &BTreeSet<&str>, node: &str) -> bool {
    match line.event.as_str() {
        "lease" => true,
        "start" | "stop" | "table_lost" | "table_regained" | "configuration" => line.node == node,
        "order" | "engine_report" | "back_end" | "back_end_gone" => {
            let is_about_back_end = ["engine", "back_end"]
                .iter()
                .any(|field| line.field(field).is_some_and(|name| names.contains(name)));
            let mentions_name = names.iter().any(|name| line.text.contains(name));
            line.event == "order" && mentions_name || is_about_back_end && line.node == node
        }
        _ => false,
    }
}

impl fmt::Display for RequestHistory<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.request_lines.first() else {
            return writeln!(formatter, "no line speaks of request {}", self.request);
        };
        let mut lines: Vec<(&LogLine, char)> = Vec::new();
        lines.extend(self.context_lines.iter().map(|line| (*line, ' ')));
        lines.extend(self.request_lines.iter().map(|line| (*line, '*')));
        lines.sort_by_key(|(line, _)| line.time_ms);
        for (line, mark) in lines {
            let offset = line.time_ms as i64 - first.time_ms as i64;
            writeln!(
                formatter,
                "{mark} {offset:>7} ms {} {}",
                line.node, line.text
            )?;
        }
        writeln!(formatter, "cause: {}", self.cause)
    }
}
