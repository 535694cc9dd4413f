//! Reads traces, and refuses a bad one by line and field.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use thiserror::Error;

use crate::trace::format::{
    ChangeEvent, FaultEvent, Header, Outcome, RequestEvent, TimedEvent, TraceEvent,
};

/// What is wrong with a trace.
#[derive(Debug, Error)]
pub enum TraceError {
    /// It cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// A line is wrong.
    #[error("{path}:{line}: {reason}")]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// Field and reason.
        reason: String,
    },
}

/// A trace as read.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The world.
    pub header: Header,
    /// Events, by time.
    pub events: Vec<TimedEvent>,
    /// Stated outcomes.
    pub outcomes: Vec<Outcome>,
}

impl Trace {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, TraceError> {
        let text = std::fs::read_to_string(path).map_err(|error| TraceError::Read {
            path: path.to_owned(),
            error,
        })?;
        Self::parse(path, &text)
    }

    /// Reads a text; `path` names it in errors.
    pub fn parse(path: &Path, text: &str) -> Result<Self, TraceError> {
        let wrong = |line: usize, reason: String| TraceError::Line {
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
            .ok_or_else(|| wrong(1, "the trace is empty".to_owned()))?;
        let header: Header =
            serde_json::from_str(first).map_err(|error| wrong(line, format!("header: {error}")))?;
        let mut trace = Trace {
            header,
            events: Vec::new(),
            outcomes: Vec::new(),
        };
        for (line, text) in lines {
            trace.add(text).map_err(|reason| wrong(line, reason))?;
        }
        trace.events.sort_by_key(|event| event.at);
        Ok(trace)
    }

    fn add(&mut self, text: &str) -> Result<(), String> {
        let mut fields: Map<String, Value> =
            serde_json::from_str(text).map_err(|error| error.to_string())?;
        if fields.contains_key("outcome") {
            self.outcomes.push(typed("outcome", fields)?);
            return Ok(());
        }
        let at = time(&mut fields)?;
        let event = if fields.contains_key("fault") {
            TraceEvent::Fault(typed::<FaultEvent>("fault", fields)?)
        } else if fields.contains_key("labels") {
            TraceEvent::Change(typed::<ChangeEvent>("change", fields)?)
        } else {
            TraceEvent::Request(typed::<RequestEvent>("request", fields)?)
        };
        self.check(&event)?;
        self.events.push(TimedEvent { at, event });
        Ok(())
    }

    /// Checks that the event names what the header has.
    fn check(&self, event: &TraceEvent) -> Result<(), String> {
        let has_node = |id: &str| self.header.nodes.iter().any(|node| node.id == id);
        let has_back_end = |id: &str| self.header.back_ends.iter().any(|entry| entry.id == id);
        match event {
            TraceEvent::Request(request) => {
                if request.model.is_some() == request.service.is_some() {
                    return Err("request: one of the fields `model` and `service`".to_owned());
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
            TraceEvent::Fault(fault) => match named_process(fault) {
                Some(id) if !is_dynamic(id) && !has_node(id) && !has_back_end(id) => {
                    Err(format!("field `process`: there is no process `{id}`"))
                }
                _ => Ok(()),
            },
        }
    }
}

fn is_dynamic(id: &str) -> bool {
    id == "holder" || id.starts_with("owner:")
}

fn named_process(fault: &FaultEvent) -> Option<&str> {
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

fn time(fields: &mut Map<String, Value>) -> Result<u64, String> {
    let value = fields
        .remove("at")
        .ok_or_else(|| "field `at` is missing".to_owned())?;
    let text = value
        .as_str()
        .ok_or_else(|| "field `at` is no text such as \"1500ms\"".to_owned())?;
    let duration =
        humantime::parse_duration(text).map_err(|error| format!("field `at`: {error}"))?;
    Ok(duration.as_micros() as u64)
}

fn typed<T: DeserializeOwned>(what: &str, fields: Map<String, Value>) -> Result<T, String> {
    serde_json::from_value(Value::Object(fields)).map_err(|error| format!("{what}: {error}"))
}
