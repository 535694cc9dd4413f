//! Losses by route and by cause, as text.

use std::collections::BTreeMap;
use std::fmt;

use super::cause::{Cause, Ending, Loss};
use super::day::Day;

/// Requests are counted by spans of this length to say when most were lost, in
/// milliseconds.
const SPAN: u64 = 2_000;
/// So many spans are named for each cause.
const SPANS_NAMED: usize = 3;

/// Requests lost to one cause.
#[derive(Default)]
struct Lost<'a> {
    count: usize,
    examples: Vec<&'a str>,
    by_span: BTreeMap<u64, usize>,
}

/// The losses of a day.
pub struct Table<'a> {
    endings: BTreeMap<String, BTreeMap<Ending, usize>>,
    lost: BTreeMap<(String, Ending, Cause), Lost<'a>>,
}

impl<'a> Table<'a> {
    /// Counts the requests of a day and keeps some examples of each cause.
    pub fn new(day: &Day<'a>, examples: usize) -> Self {
        let mut table = Table {
            endings: BTreeMap::new(),
            lost: BTreeMap::new(),
        };
        for (request, lines) in &day.requests {
            let Some(loss) = Loss::new(day, lines) else {
                continue;
            };
            let endings = table.endings.entry(loss.route.clone()).or_default();
            *endings.entry(loss.ending).or_default() += 1;
            let Some(cause) = loss.cause else {
                continue;
            };
            let key = (loss.route, loss.ending, cause);
            let lost = table.lost.entry(key).or_default();
            lost.count += 1;
            let span = (loss.time - day.begin) / SPAN;
            *lost.by_span.entry(span).or_default() += 1;
            if lost.examples.len() < examples {
                lost.examples.push(request);
            }
        }
        table
    }
}

impl Lost<'_> {
    /// The spans with most of them, as seconds since the first line.
    fn moments(&self) -> String {
        let mut spans: Vec<(&u64, &usize)> = self.by_span.iter().collect();
        spans.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let named = spans.iter().take(SPANS_NAMED);
        let texts: Vec<String> = named
            .map(|(span, count)| format!("{}s:{count}", *span * SPAN / 1_000))
            .collect();
        texts.join(" ")
    }
}

impl fmt::Display for Table<'_> {
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
                count(Ending::Left),
            )?;
        }
        writeln!(formatter)?;
        let mut lost: Vec<_> = self.lost.iter().collect();
        lost.sort_by_key(|((route, ..), lost)| (route.clone(), std::cmp::Reverse(lost.count)));
        for ((route, ending, cause), lost) in lost {
            writeln!(
                formatter,
                "{:>6} {route:<22} {ending:<12} {cause}; most at {}; such as {}",
                lost.count,
                lost.moments(),
                lost.examples.join(" "),
            )?;
        }
        Ok(())
    }
}
