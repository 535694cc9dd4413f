//! Determines from the log lines of a request how it ended for its caller, and why it was late,
//! refused or failed.
//!
//! In: the request's lines and the index of all lines. Out: the request's route, ending and cause.

use std::fmt;

use super::log_index::{LogIndex, RequestLines};
use crate::commands::logs::LogLine;

/// Number of prompt tokens around a gap of a stream from which the gap is attributed to prefill. An
/// engine that processes 20 tokens per millisecond takes 0.2 s for this number.
const LONG_PREFILL_TOKENS: u64 = 4_000;
/// Time before a gap of a stream in which the engine may have accepted an order that it carries out
/// during the gap.
const ORDER_LOOKBACK_MS: u64 = 1_000;
/// Time before a request's arrival from which a deferred load of its model counts as the reason for
/// its wait. The log line about a deferred load is repeated every 3 s.
const DEFERRAL_LOOKBACK_MS: u64 = 3_500;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The complete response was sent within the objectives.
    InTime,
    /// The complete response was sent, but not within the objectives.
    Late,
    /// The request was refused before it ran.
    Refused,
    /// The response was an error or incomplete, or the log has no end of the request.
    Failed,
    /// The caller closed the connection.
    CallerLeft,
}

/// Why a request was late, refused or failed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The model was not loaded.
    ColdModel {
        /// Storage tier of the nearest copy of the model.
        nearest_copy: String,
        /// Whether a load of the model was ordered.
        is_load_ordered: bool,
        /// Why the load of the model was deferred, if it was.
        obstacle: Option<String>,
    },
    /// The adapter was not loaded.
    MissingAdapter,
    /// No back end had a free slot.
    NoBackEnd,
    /// All suitable back ends state rate limits and had no capacity left.
    BackEndLimit,
    /// All engines that hold the model had as many requests as they can begin in time.
    FullEngines,
    /// All suitable back ends had requested a pause.
    BackEndPause,
    /// The engine was slow to send the first event of the stream.
    SlowStart,
    /// A long gap in the stream while the engine carried out an order to load or unload a model.
    GapByOrder,
    /// A long gap in the stream while the engine had long prompts to process.
    GapByPrefill,
    /// A long gap in the stream for a reason that the log does not show.
    UnexplainedGap,
    /// The response, which was not a stream, took too long.
    SlowResponse,
    /// A back end failed; the result of the attempt.
    BackEndFailure(String),
    /// A back end failed and the retry budget granted no retry; the result of the attempt.
    RetryBudget(String),
    /// The caller's key was not valid, or could not be confirmed; the outcome.
    AccessKey(String),
    /// The tenant's quota was exhausted or could not be checked; the outcome.
    TenantQuota(String),
    /// The log has no end of the request: its gateway was killed, or the line was dropped.
    NoEnd,
    /// Any other cause; the outcome or the reason in the log.
    Other(String),
}

/// How one request ended.
pub struct RequestResult {
    /// The route of the request, or `?` if the log does not show it.
    pub route: String,
    /// The ending for the caller.
    pub ending: Ending,
    /// Why the request was late, refused or failed. Also why it waited, if its caller left. `None`
    /// if the request was in time.
    pub cause: Option<Cause>,
    /// Unix time of the end, in milliseconds.
    pub ended_at_ms: u64,
}

impl RequestResult {
    /// Evaluates one request's lines. `None` if there is no line, or if the end has no outcome.
    pub fn new(index: &LogIndex<'_>, lines: &RequestLines<'_>) -> Option<Self> {
        let last = lines.last()?;
        let Some(end) = last_line(lines, "request_end") else {
            return Some(RequestResult {
                route: "?".to_owned(),
                ending: Ending::Failed,
                cause: Some(Cause::NoEnd),
                ended_at_ms: last.time_ms,
            });
        };
        let (ending, cause) = match end.field("outcome")? {
            "served" => evaluate_served(index, lines, end),
            "caller_left" => (Ending::CallerLeft, wait_cause(index, lines, end)),
            outcome => evaluate_unserved(index, lines, end, outcome),
        };
        Some(RequestResult {
            route: end.field("route").unwrap_or("?").to_owned(),
            ending,
            cause,
            ended_at_ms: end.time_ms,
        })
    }
}

/// The last line of an event.
fn last_line<'a>(lines: &RequestLines<'a>, event: &str) -> Option<&'a LogLine> {
    lines.iter().rev().find(|line| line.event == event).copied()
}

/// The ending of a served request by its objectives, and the cause if it was late.
fn evaluate_served(
    index: &LogIndex<'_>,
    lines: &RequestLines<'_>,
    end: &LogLine,
) -> (Ending, Option<Cause>) {
    let response_objective = end.number("objective_ms").unwrap_or(u64::MAX);
    let Some(stream) = last_line(lines, "stream_end") else {
        return match end.number("total_ms") {
            Some(total) if total > response_objective => {
                (Ending::Late, Some(delay_cause(index, lines, end)))
            }
            _ => (Ending::InTime, None),
        };
    };
    if stream.number("first_event_ms").unwrap_or(0) > response_objective {
        return (Ending::Late, Some(delay_cause(index, lines, end)));
    }
    let gap_ms = stream.number("longest_pause_ms").unwrap_or(0);
    match stream.number("pause_objective_ms") {
        Some(objective) if objective > 0 && gap_ms > objective => {
            (Ending::Late, Some(gap_cause(index, stream, end, gap_ms)))
        }
        _ => (Ending::InTime, None),
    }
}

/// Why a response, or the first event of a stream, was late.
fn delay_cause(index: &LogIndex<'_>, lines: &RequestLines<'_>, end: &LogLine) -> Cause {
    if let Some(cause) = wait_cause(index, lines, end) {
        return cause;
    }
    if let Some(attempt) = last_line(lines, "attempt") {
        return Cause::BackEndFailure(attempt.field("result").unwrap_or("unknown").to_owned());
    }
    match last_line(lines, "stream_end") {
        Some(_) => Cause::SlowStart,
        None => Cause::SlowResponse,
    }
}

/// Why the longest gap of a stream was too long.
fn gap_cause(index: &LogIndex<'_>, stream: &LogLine, end: &LogLine, gap_ms: u64) -> Cause {
    let engine = end.field("back_end").unwrap_or("-");
    let arrived = end
        .time_ms
        .saturating_sub(end.number("total_ms").unwrap_or(0));
    let until = arrived + stream.number("longest_pause_end_ms").unwrap_or(0);
    let since = until.saturating_sub(gap_ms);
    if index.has_model_order(engine, since.saturating_sub(ORDER_LOOKBACK_MS)..=until) {
        return Cause::GapByOrder;
    }
    if index.prefill_tokens(engine, since.saturating_sub(gap_ms)..=until) >= LONG_PREFILL_TOKENS {
        return Cause::GapByPrefill;
    }
    Cause::UnexplainedGap
}

/// What the request waited for, by its last line about a refusal or, without one, about a wait.
fn wait_cause(index: &LogIndex<'_>, lines: &RequestLines<'_>, end: &LogLine) -> Option<Cause> {
    let line = last_line(lines, "refused").or_else(|| last_line(lines, "waiting"))?;
    let missing = line.field("missing").or_else(|| line.field("reason"))?;
    Some(match missing {
        "model" | "no_model" => {
            let model = end.field("model").unwrap_or("-");
            let arrived = end
                .time_ms
                .saturating_sub(end.number("total_ms").unwrap_or(0));
            let span = arrived.saturating_sub(DEFERRAL_LOOKBACK_MS)..=end.time_ms;
            Cause::ColdModel {
                nearest_copy: line.field("nearest_copy").unwrap_or("?").to_owned(),
                is_load_ordered: line.field("load_ordered") == Some("true"),
                obstacle: index.obstacle(model, span).map(str::to_owned),
            }
        }
        "adapter" | "no_adapter" => Cause::MissingAdapter,
        "back_end" | "no_back_end" => Cause::NoBackEnd,
        "room" | "back_end_limit" => Cause::BackEndLimit,
        "full_engines" | "engines_full" => Cause::FullEngines,
        "pause" | "back_end_pause" => Cause::BackEndPause,
        other => Cause::Other(other.to_owned()),
    })
}

/// The ending and the cause of a request that was not served and whose caller did not leave.
fn evaluate_unserved(
    index: &LogIndex<'_>,
    lines: &RequestLines<'_>,
    end: &LogLine,
    outcome: &str,
) -> (Ending, Option<Cause>) {
    let ending = match end.number("status") {
        Some(401 | 429 | 503) => Ending::Refused,
        _ => Ending::Failed,
    };
    let retry = last_line(lines, "retry");
    let is_retry_denied = retry.is_some_and(|retry| retry.field("granted") == Some("false"));
    let attempt = last_line(lines, "attempt");
    let result = attempt.and_then(|attempt| attempt.field("result"));
    let cause = match (result, last_line(lines, "refused")) {
        (_, Some(_)) => wait_cause(index, lines, end),
        (Some(result), None) if is_retry_denied => Some(Cause::RetryBudget(result.to_owned())),
        (Some(result), None) => Some(Cause::BackEndFailure(result.to_owned())),
        (None, None) => Some(rejection_cause(lines, outcome)),
    };
    (ending, cause)
}

/// Why a request was rejected before any attempt.
fn rejection_cause(lines: &RequestLines<'_>, outcome: &str) -> Cause {
    if last_line(lines, "access_denied").is_some() {
        Cause::AccessKey(outcome.to_owned())
    } else if last_line(lines, "limited").is_some() {
        Cause::TenantQuota(outcome.to_owned())
    } else {
        Cause::Other(outcome.to_owned())
    }
}

impl fmt::Display for Ending {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Ending::InTime => "in time",
            Ending::Late => "late",
            Ending::Refused => "refused",
            Ending::Failed => "failed",
            Ending::CallerLeft => "caller left",
        })
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::ColdModel {
                nearest_copy,
                is_load_ordered,
                obstacle,
            } => {
                let load = if *is_load_ordered {
                    "ordered"
                } else {
                    "not ordered"
                };
                write!(
                    formatter,
                    "model cold, nearest copy {nearest_copy}, load {load}"
                )?;
                match obstacle {
                    Some(obstacle) => write!(formatter, ", put off: {obstacle}"),
                    None => Ok(()),
                }
            }
            Cause::MissingAdapter => write!(formatter, "adapter not loaded"),
            Cause::NoBackEnd => write!(formatter, "no back end with a free slot"),
            Cause::BackEndLimit => write!(formatter, "back ends take no more"),
            Cause::FullEngines => write!(formatter, "engines that hold the model are full"),
            Cause::BackEndPause => write!(formatter, "back ends asked for a pause"),
            Cause::SlowStart => write!(formatter, "engine slow to send the first event"),
            Cause::GapByOrder => write!(formatter, "pause, engine changed models"),
            Cause::GapByPrefill => write!(formatter, "pause, engine read long prompts"),
            Cause::UnexplainedGap => write!(formatter, "pause, no reason in the log"),
            Cause::SlowResponse => write!(formatter, "back end slow to answer"),
            Cause::BackEndFailure(result) => write!(formatter, "back end: {result}"),
            Cause::RetryBudget(result) => write!(formatter, "no retry left after: {result}"),
            Cause::AccessKey(outcome) => write!(formatter, "key: {outcome}"),
            Cause::TenantQuota(outcome) => write!(formatter, "limit: {outcome}"),
            Cause::NoEnd => write!(formatter, "no line tells the end"),
            Cause::Other(outcome) => write!(formatter, "{outcome}"),
        }
    }
}
