//! One log line: `key=value` fields, values with blanks in quotes.

use std::collections::BTreeMap;

/// A line with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Time of day in milliseconds; gateways' clocks may differ.
    pub time: u64,
    /// The gateway that wrote it.
    pub node: String,
    /// What it is about.
    pub event: String,
    /// The other fields, in their order in the line.
    pub text: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line, whatever stands before its first field.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("time_ms=")?;
        let fields = fields(&text[start..]);
        let event_at = text.find(" event=")?;
        Some(LogLine {
            time: fields.get("time_ms")?.parse().ok()?,
            node: fields.get("node")?.clone(),
            event: fields.get("event")?.clone(),
            text: text[event_at + 1..].trim_end().to_owned(),
            fields,
        })
    }

    /// A field's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// A field's value, if it is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

fn fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((name, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        // Words without a value, such as those of a list, belong to no field.
        let name = name.rsplit(' ').next().unwrap_or(name);
        fields
            .entry(name.to_owned())
            .or_insert_with(|| value.to_owned());
        rest = next.trim_start();
    }
    fields
}
