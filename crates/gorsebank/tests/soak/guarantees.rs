//! Guarantees of the system, checked on the history of a run, that is, on what callers and back
//! ends observed.

use std::time::Duration;

use super::gateways::STOP_TIMEOUT;
use super::history::{
    CallerRequest, DisturbanceKind, History, LimitedBackEnd, Outcome, RequestKind,
};
use super::platform::process::MEMORY_MEGABYTES;
use super::{service_return, statements};

/// Response statuses which promise that the request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// A request that crashed this many back ends is to be quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Time within which all gateways know a quarantined request or a stated limit.
pub const NOTICE_BOUND: Duration = Duration::from_secs(3);
/// Number of arrivals of a quarantined request that are allowed after `NOTICE_BOUND`.
const MAX_LATE_ARRIVALS: usize = 3;
/// Number of models of the configuration for which an engine has memory (200 MB, 70 MB each).
const MAX_MODELS: usize = 2;
/// Memory of a gateway's machine in bytes.
const MAX_GATEWAY_BYTES: u64 = MEMORY_MEGABYTES * 1_000_000;
/// Span in which the requests at a back end with a stated limit are counted. The number of requests
/// may reach the stated rate times the span times `LIMIT_EXCESS_FACTOR`, plus
/// `LIMIT_EXTRA_REQUESTS`.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Factor by which requests may exceed a stated limit in any `LIMIT_SPAN`.
const LIMIT_EXCESS_FACTOR: f64 = 1.5;
/// Number of requests that are allowed on top of the scaled limit.
const LIMIT_EXTRA_REQUESTS: f64 = 5.0;
/// Number of events in a stream.
pub const EVENTS_PER_STREAM: u64 = 5;
/// Body of a response that is no stream.
pub const PLAIN_BODY: &str = "done";

/// A guarantee of the system. Reports contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guarantee {
    /// A successful response is correct and comes from the back end that ran this request.
    Whole,
    /// A request that may not be repeated runs at most once.
    Once,
    /// A request that is reported as not run did not run.
    Truthful,
    /// A planned stop of a gateway interrupts no request that a back end has received.
    StopCutsNothing,
    /// A back end that drains receives no new requests after the propagation bound.
    LeavingLeftAlone,
    /// A request that crashed three back ends is quarantined; only a few late sends are allowed.
    EndingKeptAway,
    /// No engine is ordered to hold more models than fit into its memory.
    Memory,
    /// No gateway uses more memory than its machine has.
    GatewayMemory,
    /// Orders of a previous placement holder do not follow those of a newer one.
    OneHolder,
    /// All gateways together respect the limit that a back end states, after `NOTICE_BOUND`.
    LimitKept,
    /// A process that forwarded a response announcing a drain sends that back end nothing new.
    DepartureKept,
    /// A process sends a back end almost nothing during a pause that the back end requested.
    PauseKept,
    /// Every gateway serves requests again in time after the last fault.
    Recovery,
    /// Every gateway applies the last configuration in time.
    Configuration,
    /// Requests are served again in time after a loss of all power.
    Return,
}

/// A violation of a guarantee.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Violated guarantee.
    pub guarantee: Guarantee,
    /// Observations that show the violation.
    pub details: String,
}

/// Returns all violations in a history.
pub fn check_guarantees(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    for request in &history.requests {
        findings.extend(check_request(history, request));
    }
    let finding = |guarantee, details| Finding { guarantee, details };
    for drain in &history.row_drains {
        let is_excused = history.has_disturbance(drain.announced_at, drain.counted_at, |kind| {
            matches!(kind, DisturbanceKind::Table | DisturbanceKind::Suspended(_))
        });
        if !is_excused && drain.arrived_in_total > drain.arrived_when_counted {
            findings.push(finding(Guarantee::LeavingLeftAlone, format!("{drain:?}")));
        }
    }
    for (body, arrivals) in &history.crash_arrivals {
        let late_arrivals = count_late_arrivals(arrivals);
        if late_arrivals > MAX_LATE_ARRIVALS {
            let body = String::from_utf8_lossy(body);
            let details =
                format!("{body}: {late_arrivals} arrivals after the bound, of {arrivals:?}");
            findings.push(finding(Guarantee::EndingKeptAway, details));
        }
    }
    for (back_end, models) in &history.max_models {
        if *models > MAX_MODELS {
            let details = format!("{back_end} was ordered to hold {models} models at once");
            findings.push(finding(Guarantee::Memory, details));
        }
    }
    for (gateway, bytes) in &history.peak_memory {
        if *bytes > MAX_GATEWAY_BYTES {
            let details = format!("{gateway} used {bytes} bytes");
            findings.push(finding(Guarantee::GatewayMemory, details));
        }
    }
    for back_end in &history.limited_back_ends {
        findings.extend(check_limit(history, back_end));
    }
    for drain in &history.response_drains {
        findings.extend(statements::check_response_drain(history, drain));
    }
    for pauses in &history.requested_pauses {
        findings.extend(statements::check_requested_pauses(history, pauses));
    }
    findings.extend(service_return::check_return(history));
    let any_suspended = history
        .disturbances
        .iter()
        .any(|disturbance| matches!(disturbance.kind, DisturbanceKind::Suspended(_)));
    for (back_end, fences) in &history.fences {
        // A process that was suspended may send orders that it checked before the suspension.
        if !any_suspended && !fences.is_sorted() {
            findings.push(finding(
                Guarantee::OneHolder,
                format!("{back_end}: {fences:?}"),
            ));
        }
    }
    let finding_for = |guarantee| move |name: &String| finding(guarantee, name.clone());
    findings.extend(
        history
            .unrecovered_gateways
            .iter()
            .map(finding_for(Guarantee::Recovery)),
    );
    findings.extend(
        history
            .outdated_gateways
            .iter()
            .map(finding_for(Guarantee::Configuration)),
    );
    findings
}

/// Checks the stated limit of a back end. Requests of processes that were killed, stopped or
/// suspended around that time are not counted.
fn check_limit(history: &History, limited: &LimitedBackEnd) -> Option<Finding> {
    let since = limited.from + NOTICE_BOUND;
    let is_counted = |(at, process): &&(Duration, usize)| {
        let excuses = |kind| match kind {
            DisturbanceKind::Killed(affected)
            | DisturbanceKind::Stopped(affected)
            | DisturbanceKind::Suspended(affected) => affected == *process,
            DisturbanceKind::Table
            | DisturbanceKind::BackEndCutOff
            | DisturbanceKind::BackEndExited => false,
        };
        let until = limited.until + LIMIT_SPAN;
        *at >= since
            && *at <= limited.until
            && !history.has_disturbance(limited.from, until, excuses)
    };
    let arrivals = limited.arrivals.iter().filter(is_counted);
    let arrivals: Vec<Duration> = arrivals.map(|(at, _)| *at).collect();
    let in_span = |(index, begin): (usize, &Duration)| {
        let within = |at: &&Duration| **at - *begin < LIMIT_SPAN;
        arrivals[index..].iter().filter(within).count()
    };
    let max_in_span = arrivals.iter().enumerate().map(in_span).max()?;
    let allowed =
        limited.rate * LIMIT_SPAN.as_secs_f64() * LIMIT_EXCESS_FACTOR + LIMIT_EXTRA_REQUESTS;
    (max_in_span as f64 > allowed).then(|| {
        let (back_end, rate) = (&limited.back_end, limited.rate);
        let details = format!(
            "{back_end} states {rate} requests/s and received {max_in_span} in four seconds"
        );
        Finding {
            guarantee: Guarantee::LimitKept,
            details,
        }
    })
}

/// Counts the arrivals that are later than the bound after the third one.
fn count_late_arrivals(arrivals: &[Duration]) -> usize {
    let Some(third) = arrivals.get(CRASHES_TO_QUARANTINE - 1) else {
        return 0;
    };
    let late_arrivals = arrivals.iter().filter(|at| **at > *third + NOTICE_BOUND);
    late_arrivals.count()
}

fn check_request(history: &History, request: &CallerRequest) -> Option<Finding> {
    let no_executions = Vec::new();
    let executions = history
        .executions
        .get(&request.id)
        .unwrap_or(&no_executions);
    let guarantee = if !is_correct_success(request, executions) {
        Guarantee::Whole
    } else if matches!(request.kind, RequestKind::Mutating | RequestKind::Stream)
        && executions.len() > 1
    {
        Guarantee::Once
    } else if !is_truthful(request, executions) {
        Guarantee::Truthful
    } else if is_cut_by_planned_stop(history, request, executions) {
        Guarantee::StopCutsNothing
    } else {
        return None;
    };
    let details = format!("{request:?}, executed at {executions:?}");
    Some(Finding { guarantee, details })
}

/// Returns whether a successful response is what the back end that ran the request sent.
fn is_correct_success(request: &CallerRequest, executions: &[String]) -> bool {
    let Outcome::Response {
        status: 200,
        is_complete,
        seal,
        body,
    } = &request.outcome
    else {
        return true;
    };
    if !is_complete {
        // The caller can see that the response was truncated.
        return true;
    }
    let is_sealed_by = |back_end: &String| {
        seal.as_deref() == Some(format!("seal-{back_end}-{}", request.id).as_str())
    };
    executions.iter().any(is_sealed_by) && *body == expected_body(request.kind)
}

fn expected_body(kind: RequestKind) -> String {
    match kind {
        RequestKind::Idempotent | RequestKind::Mutating => PLAIN_BODY.to_owned(),
        RequestKind::Stream | RequestKind::Resumable => {
            (1..=EVENTS_PER_STREAM).map(stream_event).collect()
        }
    }
}

/// Returns one event of a stream.
pub fn stream_event(number: u64) -> String {
    format!("id: {number}\ndata: t{number}\n\n")
}

fn is_truthful(request: &CallerRequest, executions: &[String]) -> bool {
    match request.outcome {
        Outcome::Response { status, .. } if NOT_RUN_STATUSES.contains(&status) => {
            executions.is_empty()
        }
        _ => true,
    }
}

/// Returns whether a planned stop interrupted a request: a back end received it, its process was
/// asked to stop, no other fault affected the process or a back end, and the caller has no complete
/// response.
fn is_cut_by_planned_stop(
    history: &History,
    request: &CallerRequest,
    executions: &[String],
) -> bool {
    let has_response = matches!(
        &request.outcome,
        Outcome::Response {
            is_complete: true,
            ..
        }
    );
    let is_own_stop = |kind| kind == DisturbanceKind::Stopped(request.process);
    let excuses = |kind| match kind {
        DisturbanceKind::Killed(process) | DisturbanceKind::Suspended(process) => {
            process == request.process
        }
        DisturbanceKind::BackEndCutOff | DisturbanceKind::BackEndExited => true,
        DisturbanceKind::Stopped(_) | DisturbanceKind::Table => false,
    };
    !has_response
        && !executions.is_empty()
        && history.has_disturbance(request.sent_at, request.ended_at, is_own_stop)
        && !history.has_disturbance(
            request.sent_at.saturating_sub(STOP_TIMEOUT),
            request.ended_at,
            excuses,
        )
}
