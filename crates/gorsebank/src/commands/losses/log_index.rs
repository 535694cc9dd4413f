//! An index of log lines by request, model, engine and back end.
//!
//! In: log lines in order of time. Out: each request's lines, and the deferred loads, model orders
//! and prefill work within a time span. All times are Unix times in milliseconds.

use std::collections::{BTreeMap, HashMap};

use crate::commands::logs::LogLine;

/// One request's lines in order of time.
pub type RequestLines<'a> = Vec<&'a LogLine>;

/// The index of all log lines.
pub struct LogIndex<'a> {
    /// Time of the first line.
    pub start_ms: u64,
    /// Lines by request.
    pub requests: BTreeMap<&'a str, RequestLines<'a>>,
    /// Lines about deferred loads, by model.
    deferred_loads: HashMap<&'a str, Vec<&'a LogLine>>,
    /// Lines about accepted orders to load or unload a model, by engine.
    model_orders: HashMap<&'a str, Vec<&'a LogLine>>,
    /// Lines about the choice of a back end for a request, by back end.
    choices: HashMap<&'a str, Vec<&'a LogLine>>,
}

impl<'a> LogIndex<'a> {
    /// Indexes the lines.
    pub fn new(lines: &'a [LogLine]) -> Self {
        let mut index = LogIndex {
            start_ms: lines.first().map_or(0, |line| line.time_ms),
            requests: BTreeMap::new(),
            deferred_loads: HashMap::new(),
            model_orders: HashMap::new(),
            choices: HashMap::new(),
        };
        for line in lines {
            index.add(line);
        }
        index
    }

    fn add(&mut self, line: &'a LogLine) {
        if let Some(request) = line.field("request") {
            self.requests.entry(request).or_default().push(line);
        }
        let (lines, key) = match line.event.as_str() {
            "load_put_off" => (&mut self.deferred_loads, "model"),
            "order" if is_model_order(line) => (&mut self.model_orders, "engine"),
            "chosen" => (&mut self.choices, "back_end"),
            _ => return,
        };
        if let Some(value) = line.field(key) {
            lines.entry(value).or_default().push(line);
        }
    }

    /// The obstacle of the last deferred load of the model within the span, if there was one.
    pub fn obstacle(&self, model: &str, span: std::ops::RangeInclusive<u64>) -> Option<&'a str> {
        let lines = self.deferred_loads.get(model)?;
        let last = lines
            .iter()
            .rev()
            .find(|line| span.contains(&line.time_ms))?;
        last.field("obstacle")?.split([' ', '{']).next()
    }

    /// Whether the engine accepted an order to load or unload a model within the span.
    pub fn has_model_order(&self, engine: &str, span: std::ops::RangeInclusive<u64>) -> bool {
        let orders = self.model_orders.get(engine);
        orders.is_some_and(|orders| orders.iter().any(|line| span.contains(&line.time_ms)))
    }

    /// Number of uncached prompt tokens of the requests that were sent to the engine within the
    /// span.
    pub fn prefill_tokens(&self, engine: &str, span: std::ops::RangeInclusive<u64>) -> u64 {
        let choices = self.choices.get(engine).into_iter().flatten();
        choices
            .filter(|line| span.contains(&line.time_ms))
            .filter_map(|line| line.number("fresh_tokens"))
            .sum()
    }
}

/// Whether a line about an order is about a model and the engine accepted the order.
fn is_model_order(line: &LogLine) -> bool {
    let is_about_model = line
        .field("order")
        .is_some_and(|order| order.contains("Model("));
    is_about_model && line.field("result") == Some("Accepted")
}
