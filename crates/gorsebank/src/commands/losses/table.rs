//! Counts requests by route, ending and cause, and formats the counts as text.
//!
//! In: the index of all log lines. Out: two text tables, the endings by route and the causes.

use std::collections::BTreeMap;
use std::fmt;

use super::cause::{Cause, Ending, RequestResult};
use super::log_index::LogIndex;

/// Length of the intervals by which requests with one cause are counted over time.
const INTERVAL_MS: u64 = 2_000;
/// Number of intervals that are shown for each cause.
const SHOWN_INTERVALS: usize = 3;

/// Requests of one route with the same ending and cause.
#[derive(Default)]
struct CauseSummary<'a> {
    count: usize,
    /// Ids of some of the requests.
    examples: Vec<&'a str>,
    /// Number of requests by the index of the interval, counted from the first line.
    by_interval: BTreeMap<u64, usize>,
}

/// Numbers of requests by ending and by cause.
pub struct LossTable<'a> {
    endings: BTreeMap<String, BTreeMap<Ending, usize>>,
    causes: BTreeMap<(String, Ending, Cause), CauseSummary<'a>>,
}

impl<'a> LossTable<'a> {
    /// Counts the requests and keeps up to `examples` request ids of each cause.
    pub fn new(index: &LogIndex<'a>, examples: usize) -> Self {
        let mut table = LossTable {
            endings: BTreeMap::new(),
            causes: BTreeMap::new(),
        };
        for (request, lines) in &index.requests {
            let Some(result) = RequestResult::new(index, lines) else {
                continue;
            };
            let endings = table.endings.entry(result.route.clone()).or_default();
            *endings.entry(result.ending).or_default() += 1;
            let Some(cause) = result.cause else {
                continue;
            };
            let key = (result.route, result.ending, cause);
            let summary = table.causes.entry(key).or_default();
            summary.count += 1;
            let interval = (result.ended_at_ms - index.start_ms) / INTERVAL_MS;
            *summary.by_interval.entry(interval).or_default() += 1;
            if summary.examples.len() < examples {
                summary.examples.push(request);
            }
        }
        table
    }
}

impl CauseSummary<'_> {
    /// The intervals with most requests, as their start in seconds since the first line and the
    /// number of requests.
    fn format_busiest_intervals(&self) -> String {
        let mut intervals: Vec<(&u64, &usize)> = self.by_interval.iter().collect();
        intervals.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let shown = intervals.iter().take(SHOWN_INTERVALS);
        let texts: Vec<String> = shown
            .map(|(interval, count)| format!("{}s:{count}", *interval * INTERVAL_MS / 1_000))
            .collect();
        texts.join(" ")
    }
}

impl fmt::Display for LossTable<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<22}{:>9}{:>9}{:>9}{:>9}{:>9}{:>12}",
            "route", "requests", "in time", "late", "refused", "failed", "caller left"
        )?;
        for (route, endings) in &self.endings {
            let count = |ending| endings.get(&ending).copied().unwrap_or(0);
            writeln!(
                formatter,
                "{route:<22}{:>9}{:>9}{:>9}{:>9}{:>9}{:>12}",
                endings.values().sum::<usize>(),
                count(Ending::InTime),
                count(Ending::Late),
                count(Ending::Refused),
                count(Ending::Failed),
                count(Ending::CallerLeft),
            )?;
        }
        writeln!(formatter)?;
        let mut causes: Vec<_> = self.causes.iter().collect();
        causes.sort_by_key(|((route, ..), summary)| {
            (route.clone(), std::cmp::Reverse(summary.count))
        });
        for ((route, ending, cause), summary) in causes {
            writeln!(
                formatter,
                "{:>6} {route:<22} {ending:<12} {cause}; most at {}; such as {}",
                summary.count,
                summary.format_busiest_intervals(),
                summary.examples.join(" "),
            )?;
        }
        Ok(())
    }
}
