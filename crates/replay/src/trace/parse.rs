//! Parses traces. Errors name the file, the line and the field.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use thiserror::Error;

use crate::trace::format::{
    ChangeEvent, FaultEvent, Header, Outcome, RequestEvent, TimedEvent, TraceEvent,
};

/// Error in a trace.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause of the failure.
        error: std::io::Error,
    },
    /// A line is invalid.
    #[error("{path}:{line}: {reason}")]
    Line {
        /// The file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Invalid field and reason.
        reason: String,
    },
}

/// A parsed trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Deployment and settings.
    pub header: Header,
    /// Events, sorted by time.
    pub events: Vec<TimedEvent>,
    /// Stated outcomes.
    pub outcomes: Vec<Outcome>,
}

impl Trace {
    /// Reads a trace from a file.
    pub fn read(path: &Path) -> Result<Self, TraceError> {
        let text = std::fs::read_to_string(path).map_err(|error| TraceError::Read {
            path: path.to_owned(),
            error,
        })?;
        Self::parse(path, &text)
    }

    /// Parses a trace from a text. Errors contain `path` as the name of the file.
    pub fn parse(path: &Path, text: &str) -> Result<Self, TraceError> {
        let line_error = |line: usize, reason: String| TraceError::Line {
            path: path.to_owned(),
            line,
            reason,
        };
        let mut lines = text
            .lines()
            .enumerate()
            .map(|(index, line)| (index + 1, line))
            .filter(|(_, line)| !line.trim().is_empty());
        let (line, first) = lines
            .next()
            .ok_or_else(|| line_error(1, "the trace is empty".to_owned()))?;
        let header: Header = serde_json::from_str(first)
            .map_err(|error| line_error(line, format!("header: {error}")))?;
        let mut trace = Trace {
            header,
            events: Vec::new(),
            outcomes: Vec::new(),
        };
        for (line, text) in lines {
            trace
                .parse_line(text)
                .map_err(|reason| line_error(line, reason))?;
        }
        trace.events.sort_by_key(|event| event.at);
        Ok(trace)
    }

    /// Parses a line after the header and adds its event or outcome.
    fn parse_line(&mut self, text: &str) -> Result<(), String> {
        let mut fields: Map<String, Value> =
            serde_json::from_str(text).map_err(|error| error.to_string())?;
        if fields.contains_key("outcome") {
            self.outcomes.push(parse_fields("outcome", fields)?);
            return Ok(());
        }
        let at = take_time(&mut fields)?;
        let event = if fields.contains_key("fault") {
            TraceEvent::Fault(parse_fields::<FaultEvent>("fault", fields)?)
        } else if fields.contains_key("labels") {
            TraceEvent::Change(parse_fields::<ChangeEvent>("change", fields)?)
        } else {
            TraceEvent::Request(parse_fields::<RequestEvent>("request", fields)?)
        };
        self.check_references(&event)?;
        self.events.push(TimedEvent { at, event });
        Ok(())
    }

    /// Checks that the nodes and back ends that the event names are in the header.
    fn check_references(&self, event: &TraceEvent) -> Result<(), String> {
        let has_node = |id: &str| self.header.nodes.iter().any(|node| node.id == id);
        let has_back_end = |id: &str| self.header.back_ends.iter().any(|entry| entry.id == id);
        match event {
            TraceEvent::Request(request) => {
                if request.model.is_some() == request.service.is_some() {
                    return Err(
                        "request: exactly one of the fields `model` and `service` is required"
                            .to_owned(),
                    );
                }
                match request.nodes.iter().find(|id| !has_node(id)) {
                    Some(id) => Err(format!("field `nodes`: there is no node `{id}`")),
                    None => Ok(()),
                }
            }
            TraceEvent::Change(change) if !has_node(&change.node) => {
                Err(format!("field `node`: there is no node `{}`", change.node))
            }
            TraceEvent::Change(_) => Ok(()),
            TraceEvent::Fault(fault) => match faulted_process(fault) {
                Some(id) if !is_dynamic(id) && !has_node(id) && !has_back_end(id) => {
                    Err(format!("field `process`: there is no process `{id}`"))
                }
                _ => Ok(()),
            },
        }
    }
}

/// Whether the name stands for a process that is determined at the time of the fault.
fn is_dynamic(id: &str) -> bool {
    id == "holder" || id.starts_with("owner:")
}

/// Returns the single process that the fault names, if its kind has one.
fn faulted_process(fault: &FaultEvent) -> Option<&str> {
    match fault {
        FaultEvent::Kill { process, .. }
        | FaultEvent::Pause { process, .. }
        | FaultEvent::Slow { process, .. }
        | FaultEvent::Scramble { process, .. }
        | FaultEvent::Leave { process, .. }
        | FaultEvent::Stop { process, .. } => Some(process),
        FaultEvent::Cut { .. }
        | FaultEvent::Table { .. }
        | FaultEvent::Store { .. }
        | FaultEvent::Random { .. } => None,
    }
}

/// Removes the field `at` and returns its time in microseconds.
fn take_time(fields: &mut Map<String, Value>) -> Result<u64, String> {
    let value = fields
        .remove("at")
        .ok_or_else(|| "field `at` is missing".to_owned())?;
    let text = value
        .as_str()
        .ok_or_else(|| "field `at` is not a string such as \"1500ms\"".to_owned())?;
    let duration =
        humantime::parse_duration(text).map_err(|error| format!("field `at`: {error}"))?;
    Ok(duration.as_micros() as u64)
}

/// Deserialises the fields of a line. Errors begin with `kind`, the kind of the line.
fn parse_fields<T: DeserializeOwned>(kind: &str, fields: Map<String, Value>) -> Result<T, String> {
    serde_json::from_value(Value::Object(fields)).map_err(|error| format!("{kind}: {error}"))
}
