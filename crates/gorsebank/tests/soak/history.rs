//! The history of a soak run: what callers and back ends observed, and which faults disturbed the
//! system. All times are relative to the start of the run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Kind of a request; it decides whether the request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Mutating,
    /// An event stream; runs at most once.
    Stream,
    /// An event stream that may continue at another back end.
    Resumable,
}

impl RequestKind {
    /// Whether requests of this kind need a model.
    pub fn needs_model(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::Resumable)
    }
}

/// What a caller received for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response, complete or truncated.
    Response {
        /// HTTP status.
        status: u16,
        /// Whether the response arrived to its end.
        is_complete: bool,
        /// Seal that names the back end and the request.
        seal: Option<String>,
        /// Body, as far as it arrived.
        body: String,
    },
    /// The connection was closed without a response.
    Closed,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Number of the gateway process that accepted the request; numbers are not reused.
    pub process: usize,
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Time at which the response ended or the connection was closed.
    pub ended_at: Duration,
    /// What the caller received.
    pub outcome: Outcome,
}

impl CallerRequest {
    /// Whether the caller received a complete, successful response.
    pub fn is_served(&self) -> bool {
        let outcome = &self.outcome;
        matches!(
            outcome,
            Outcome::Response {
                status: 200,
                is_complete: true,
                ..
            }
        )
    }
}

/// A fault that disturbed a process, the table or a back end for some time.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Start of the disturbance.
    pub from: Duration,
    /// End of the disturbance.
    pub until: Duration,
    /// What was disturbed, and how.
    pub kind: DisturbanceKind,
}

/// Kind of a disturbance. Variants with a number name the gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// The process was killed.
    Killed(usize),
    /// The process was asked to stop.
    Stopped(usize),
    /// The process was suspended.
    Suspended(usize),
    /// The table or a link to it was faulty.
    Table,
    /// Connections of a back end went silent or were reset.
    BackEndCutOff,
    /// The process of a back end exited.
    BackEndExited,
}

/// A back end that announced its drain in its table row.
#[derive(Clone, Debug)]
pub struct RowDrain {
    /// Name of the back end.
    pub back_end: String,
    /// Time at which the row announced the drain.
    pub announced_at: Duration,
    /// Time at which the arrived requests were counted, after the propagation bound.
    pub counted_at: Duration,
    /// Requests that had arrived when they were counted.
    pub arrived_when_counted: usize,
    /// Requests that had arrived by the end of the run.
    pub arrived_in_total: usize,
}

/// A back end that stated a rate limit for some time.
#[derive(Clone, Debug)]
pub struct LimitedBackEnd {
    /// Name of the back end.
    pub back_end: String,
    /// Stated limit, in requests per second.
    pub rate: f64,
    /// Time at which the back end began to state the limit.
    pub from: Duration,
    /// Time at which the back end stopped stating the limit.
    pub until: Duration,
    /// Arrival time and gateway process of each request at the back end, in order.
    pub arrivals: Vec<(Duration, usize)>,
}

/// The return of power after the last loss of it.
#[derive(Clone, Copy, Debug)]
pub struct PowerReturn {
    /// Time at which power returned.
    pub at: Duration,
    /// Whether engines still had the copies of weights on their disks.
    pub has_disks: bool,
    /// Whether a model is to serve within the bound although no engine has a copy of its weights.
    pub bounds_first_model: bool,
}

/// A back end that announced its drain in its responses.
#[derive(Clone, Debug)]
pub struct ResponseDrain {
    /// Name of the back end.
    pub back_end: String,
    /// Time from which responses announced the drain.
    pub announced_at: Duration,
}

/// A back end that rejected requests and requested a pause after each rejection.
#[derive(Clone, Debug)]
pub struct RequestedPauses {
    /// Name of the back end.
    pub back_end: String,
    /// Time and gateway process of each rejection, in order.
    pub rejections: Vec<(Duration, usize)>,
    /// Arrival time and gateway process of each request at the back end, in order.
    pub arrivals: Vec<(Duration, usize)>,
}

/// Everything that was observed in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of all callers.
    pub requests: Vec<CallerRequest>,
    /// Back ends that received each request and did not reject it, by request id.
    pub executions: BTreeMap<String, Vec<String>>,
    /// Fencing tokens of the orders that each engine received, in order, by incarnation.
    pub fences: BTreeMap<String, Vec<u64>>,
    /// Arrival times of each request that crashes back ends, in order, by request body.
    pub crash_arrivals: BTreeMap<Vec<u8>, Vec<Duration>>,
    /// Largest number of models that each engine was ordered to hold at once, by incarnation.
    pub max_models: BTreeMap<String, usize>,
    /// Disturbances of the system.
    pub disturbances: Vec<Disturbance>,
    /// Back ends that announced their drain in their table row.
    pub row_drains: Vec<RowDrain>,
    /// Back ends that stated a rate limit.
    pub limited_back_ends: Vec<LimitedBackEnd>,
    /// Back ends that announced their drain in their responses.
    pub response_drains: Vec<ResponseDrain>,
    /// Back ends that requested pauses.
    pub requested_pauses: Vec<RequestedPauses>,
    /// Largest memory that gateways used, in bytes, with their names.
    pub peak_memory: Vec<(String, u64)>,
    /// The return after the last loss of all power.
    pub power_return: Option<PowerReturn>,
    /// Gateways that did not serve requests in time after the last fault.
    pub unrecovered_gateways: Vec<String>,
    /// Gateways that did not apply the last configuration in time.
    pub outdated_gateways: Vec<String>,
}

impl History {
    /// Returns whether a disturbance of a relevant kind overlaps with the given period.
    pub fn has_disturbance(
        &self,
        from: Duration,
        until: Duration,
        is_relevant: impl Fn(DisturbanceKind) -> bool,
    ) -> bool {
        let overlaps =
            |disturbance: &Disturbance| disturbance.from <= until && disturbance.until >= from;
        let mut disturbances = self.disturbances.iter();
        disturbances.any(|disturbance| is_relevant(disturbance.kind) && overlaps(disturbance))
    }
}
