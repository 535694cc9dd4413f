//! The lines of a day, by what they are about.

use std::collections::{BTreeMap, HashMap};

use crate::commands::logs::LogLine;

/// One request's lines.
pub type RequestLines<'a> = Vec<&'a LogLine>;

/// All lines, indexed.
pub struct Day<'a> {
    /// Time of the first line, in milliseconds.
    pub begin: u64,
    /// Lines of each request, in order of time.
    pub requests: BTreeMap<&'a str, RequestLines<'a>>,
    /// Loads that were put off, by model.
    put_off: HashMap<&'a str, Vec<&'a LogLine>>,
    /// Orders to load or unload models that engines took, by engine.
    orders: HashMap<&'a str, Vec<&'a LogLine>>,
    /// Choices of a back end, by back end.
    chosen: HashMap<&'a str, Vec<&'a LogLine>>,
}

impl<'a> Day<'a> {
    /// Indexes the lines.
    pub fn new(lines: &'a [LogLine]) -> Self {
        let mut day = Day {
            begin: lines.first().map_or(0, |line| line.time),
            requests: BTreeMap::new(),
            put_off: HashMap::new(),
            orders: HashMap::new(),
            chosen: HashMap::new(),
        };
        for line in lines {
            day.add(line);
        }
        day
    }

    fn add(&mut self, line: &'a LogLine) {
        if let Some(request) = line.field("request") {
            self.requests.entry(request).or_default().push(line);
        }
        let (index, key) = match line.event.as_str() {
            "load_put_off" => (&mut self.put_off, "model"),
            "order" if is_model_order(line) => (&mut self.orders, "engine"),
            "chosen" => (&mut self.chosen, "back_end"),
            _ => return,
        };
        if let Some(value) = line.field(key) {
            index.entry(value).or_default().push(line);
        }
    }

    /// Why a load of the model was put off within the span, if it was.
    pub fn obstacle(&self, model: &str, span: std::ops::RangeInclusive<u64>) -> Option<&'a str> {
        let lines = self.put_off.get(model)?;
        let last = lines.iter().rev().find(|line| span.contains(&line.time))?;
        last.field("obstacle")?.split([' ', '{']).next()
    }

    /// Whether the engine took an order for a model within the span.
    pub fn has_order(&self, engine: &str, span: std::ops::RangeInclusive<u64>) -> bool {
        let orders = self.orders.get(engine);
        orders.is_some_and(|orders| orders.iter().any(|line| span.contains(&line.time)))
    }

    /// Prompt tokens that other requests gave the engine to read within the span.
    pub fn tokens_read(&self, engine: &str, span: std::ops::RangeInclusive<u64>) -> u64 {
        let chosen = self.chosen.get(engine).into_iter().flatten();
        chosen
            .filter(|line| span.contains(&line.time))
            .filter_map(|line| line.number("fresh_tokens"))
            .sum()
    }
}

fn is_model_order(line: &LogLine) -> bool {
    let is_about_model = line
        .field("order")
        .is_some_and(|order| order.contains("Model("));
    is_about_model && line.field("result") == Some("Accepted")
}
