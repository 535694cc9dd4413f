//! The lines that tell of one request.

use std::collections::BTreeSet;
use std::fmt;

use super::cause::{self, Cause};
use crate::commands::logs::LogLine;

/// Lines about back ends and models this long before the request's end are shown.
const CONTEXT: u64 = 6_000;

/// What the logs say about a request.
pub struct Story<'a> {
    request: &'a str,
    own: Vec<&'a LogLine>,
    context: Vec<&'a LogLine>,
    cause: Cause,
}

impl<'a> Story<'a> {
    /// Picks the request's lines, and those about what it needed.
    pub fn new(request: &'a str, lines: &'a [LogLine]) -> Self {
        let own: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.field("request") == Some(request))
            .collect();
        let context = context(&own, lines);
        let cause = cause::find(&own, &context);
        Story {
            request,
            own,
            context,
            cause,
        }
    }
}

fn context<'a>(own: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let Some(last) = own.last() else {
        return Vec::new();
    };
    let first = own.first().map_or(last.time, |line| line.time);
    let names: BTreeSet<&str> = own
        .iter()
        .flat_map(|line| ["back_end", "model"].map(|field| line.field(field)))
        .flatten()
        .filter(|name| *name != "-")
        .collect();
    let span = first.saturating_sub(CONTEXT)..=last.time;
    lines
        .iter()
        .filter(|line| span.contains(&line.time) && line.field("request").is_none())
        .filter(|line| concerns(line, &names, &last.node))
        .collect()
}

/// Lines of the request's gateway about itself, and of any about these names.
fn concerns(line: &LogLine, names: &BTreeSet<&str>, node: &str) -> bool {
    match line.event.as_str() {
        "lease" => true,
        "start" | "stop" | "table_lost" | "table_regained" | "configuration" => line.node == node,
        "order" | "engine_report" | "back_end" | "back_end_gone" => {
            let about_back_end = ["engine", "back_end"]
                .iter()
                .any(|field| line.field(field).is_some_and(|name| names.contains(name)));
            let about_model = names.iter().any(|name| line.text.contains(name));
            line.event == "order" && about_model || about_back_end && line.node == node
        }
        _ => false,
    }
}

impl fmt::Display for Story<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.own.first() else {
            return writeln!(formatter, "no line speaks of request {}", self.request);
        };
        let mut lines: Vec<(&LogLine, char)> = Vec::new();
        lines.extend(self.context.iter().map(|line| (*line, ' ')));
        lines.extend(self.own.iter().map(|line| (*line, '*')));
        lines.sort_by_key(|(line, _)| line.time);
        for (line, mark) in lines {
            let offset = line.time as i64 - first.time as i64;
            writeln!(
                formatter,
                "{mark} {offset:>7} ms {} {}",
                line.node, line.text
            )?;
        }
        writeln!(formatter, "cause: {}", self.cause)
    }
}
