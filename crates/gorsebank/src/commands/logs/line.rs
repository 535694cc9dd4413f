//! Parses a log line: `key=value` fields, with double quotes around values that contain spaces.

use std::collections::BTreeMap;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Unix time in milliseconds by the clock of the gateway that wrote the line; clocks of
    /// gateways may differ.
    pub time_ms: u64,
    /// The gateway that wrote the line.
    pub node: String,
    /// The kind of event.
    pub event: String,
    /// The text of the line from the field `event` on.
    pub text: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line. Text before the field `time_ms` is ignored. `None` if the line is not a log
    /// line.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("time_ms=")?;
        let fields = parse_fields(&text[start..]);
        let event_at = text.find(" event=")?;
        Some(LogLine {
            time_ms: fields.get("time_ms")?.parse().ok()?,
            node: fields.get("node")?.clone(),
            event: fields.get("event")?.clone(),
            text: text[event_at + 1..].trim_end().to_owned(),
            fields,
        })
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// The value of a field, if it is an unsigned integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// Parses all fields. The first value counts if a name occurs more than once.
fn parse_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut remaining = text.trim();
    while let Some((name, after_name)) = remaining.split_once('=') {
        let (value, next) = match after_name.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after_name.split_once(' ').unwrap_or((after_name, "")),
        };
        // Words without `=`, such as the rest of an unquoted list, are skipped.
        let name = name.rsplit(' ').next().unwrap_or(name);
        fields
            .entry(name.to_owned())
            .or_insert_with(|| value.to_owned());
        remaining = next.trim_start();
    }
    fields
}
