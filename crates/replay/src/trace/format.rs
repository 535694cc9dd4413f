//! The types of the lines of a trace.

use std::time::Duration;

use bytesize::ByteSize;
use gorsebank_contract::{PriorityClass, SourceTier};
use gorsebank_world::{Artifact, Labels, MachineRole, RowKind, Spec};
use serde::{Deserialize, Serialize};

use crate::ablation::Ablation;

/// The first line of a trace: the deployment and the settings of the replay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The trace's name.
    pub trace: String,
    /// Purpose of the trace.
    pub about: String,
    /// Program and seed that generated the trace, if it is generated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generated: Option<String>,
    /// Duration of the replay.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Nodes of gorsebank.
    pub nodes: Vec<TraceNode>,
    /// Engines and application back ends.
    pub back_ends: Vec<BackEndEntry>,
    /// Configuration rows at the start.
    pub rows: Vec<RowEntry>,
    /// Latencies between processes.
    #[serde(default)]
    pub links: Links,
    /// Limits of the weight store.
    #[serde(default)]
    pub store: Store,
    /// Delay after which readers see changes of the machine list.
    #[serde(default = "default_machine_list_lag", with = "humantime_serde")]
    pub machine_list_lag: Duration,
    /// Settings of the nodes that differ from their defaults.
    #[serde(default)]
    pub settings: TraceSettings,
    /// Mechanism without which the trace must fail.
    #[serde(
        default,
        rename = "red_without",
        skip_serializing_if = "Option::is_none"
    )]
    pub must_fail_without: Option<Ablation>,
}

fn default_machine_list_lag() -> Duration {
    Duration::from_secs(3)
}

/// A node and its zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceNode {
    /// Name of the node.
    pub id: String,
    /// Zone of the node.
    pub zone: String,
    /// Time from the start of the replay after which the node starts.
    #[serde(default, rename = "starts", with = "humantime_serde")]
    pub start_delay: Duration,
}

/// A back end of the deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEndEntry {
    /// Name of the back end.
    pub id: String,
    /// Zone of the back end.
    pub zone: String,
    /// Whether the back end is an engine or an application.
    pub role: MachineRole,
    /// Name of the service that the back end belongs to.
    pub service: String,
    /// Size of the accelerator memory.
    #[serde(default)]
    pub memory: ByteSize,
    /// Maximum number of requests that the back end runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Checkpoints that are cached on the back end's machine.
    #[serde(default)]
    pub cached: std::collections::BTreeMap<Artifact, SourceTier>,
    /// Time to the first token, or to the complete response of an application.
    #[serde(default = "default_prefill", with = "humantime_serde")]
    pub prefill: Duration,
    /// Time between two tokens.
    #[serde(
        default = "default_token_interval",
        rename = "token",
        with = "humantime_serde"
    )]
    pub token_interval: Duration,
}

fn default_slots() -> u32 {
    16
}

fn default_prefill() -> Duration {
    Duration::from_millis(200)
}

fn default_token_interval() -> Duration {
    Duration::from_millis(20)
}

/// A configuration row at the start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEntry {
    /// Name of the row.
    pub name: String,
    /// Labels of the row.
    #[serde(default)]
    pub labels: Labels,
    /// Content of the row, with the field `kind`.
    pub spec: Spec,
}

/// One-way network latencies.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Links {
    /// Latency within a zone.
    #[serde(with = "humantime_serde")]
    pub within_zone: Duration,
    /// Latency between zones.
    #[serde(with = "humantime_serde")]
    pub between_zones: Duration,
    /// Latency to clients and to the platform.
    #[serde(with = "humantime_serde")]
    pub outside: Duration,
}

impl Default for Links {
    fn default() -> Self {
        Links {
            within_zone: Duration::from_micros(300),
            between_zones: Duration::from_micros(1_500),
            outside: Duration::from_millis(3),
        }
    }
}

/// Limits of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// Maximum number of loads that start per second.
    pub starts_per_second: f64,
    /// Number of concurrent loads that get the full bandwidth.
    pub concurrency: u32,
    /// Bandwidth of one load, in bytes per second.
    pub bandwidth: ByteSize,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            starts_per_second: 2.0,
            concurrency: 8,
            bandwidth: ByteSize::gb(2),
        }
    }
}

/// Node settings that a trace may change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TraceSettings {
    /// Minimum keep-alive time of a model.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub keep_alive_min: Option<Duration>,
    /// Maximum keep-alive time of a model.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub keep_alive_max: Option<Duration>,
    /// Fraction of memory for standby models.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub standby_share: Option<f64>,
    /// Time between two ticks of a node; longer for traces of a whole day.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub tick: Option<Duration>,
}

/// An event with its time.
#[derive(Clone, Debug)]
pub struct TimedEvent {
    /// Time in microseconds from the start of the replay.
    pub at: u64,
    /// The event.
    pub event: TraceEvent,
}

/// An event of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum TraceEvent {
    /// Callers send requests.
    Request(RequestEvent),
    /// An operator changes the configuration.
    Change(ChangeEvent),
    /// A fault begins, or a process is drained or stopped.
    Fault(FaultEvent),
}

/// A group of requests of callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestEvent {
    /// Name of the model; exactly one of `model` and `service` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Name of the application service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Nodes to which the requests are sent round-robin; all nodes if empty.
    #[serde(default)]
    pub nodes: Vec<String>,
    /// Number of requests.
    #[serde(default = "default_request_count")]
    pub count: u32,
    /// Time over which the requests are spread evenly.
    #[serde(default, with = "humantime_serde")]
    pub over: Duration,
    /// Priority class of the requests.
    #[serde(default)]
    pub class: PriorityClass,
    /// Time from the start of a request to its deadline.
    #[serde(default = "default_timeout", with = "humantime_serde")]
    pub timeout: Duration,
    /// Number of tokens in each response.
    #[serde(default = "default_tokens")]
    pub tokens: u32,
    /// Idempotency key that all requests of the event share, so that they count as
    /// retries of one request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Whether each request has its own idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Whether callers whose connection breaks retry at another node.
    #[serde(default)]
    pub persistent: bool,
}

fn default_request_count() -> u32 {
    1
}

fn default_timeout() -> Duration {
    Duration::from_secs(30)
}

fn default_tokens() -> u32 {
    50
}

/// A configuration change by an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeEvent {
    /// Node to which the change is sent.
    pub node: String,
    /// Kind of the changed row.
    pub kind: RowKind,
    /// Name of the changed row.
    pub name: String,
    /// Labels to set; labels with the value `null` are removed.
    pub labels: std::collections::BTreeMap<String, Option<String>>,
    /// Whether the change is accepted only if the row still has the version that the
    /// operator read last.
    #[serde(default)]
    pub conditional: bool,
}

/// Operating mode of the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableMode {
    /// The service works.
    #[default]
    Up,
    /// Requests are neither executed nor answered.
    Down,
    /// Requests are executed but not answered.
    Silent,
    /// Responses take half a second.
    Slow,
}

/// A fault. Processes are named by their id. `holder` stands for the node that holds
/// the placement lease at the time of the fault, and `owner:MODEL` for the owner of
/// the model's queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultEvent {
    /// A process is killed, and with `for` restarted after the given time.
    Kill {
        /// The process.
        process: String,
        /// Time until the process is restarted; never if absent.
        #[serde(default, rename = "for", with = "humantime_serde")]
        lasting: Option<Duration>,
    },
    /// A process is paused and continues without noticing the pause.
    Pause {
        /// The process.
        process: String,
        /// Duration of the fault.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// Two processes cannot reach each other; `*` stands for all other processes.
    Cut {
        /// The two processes.
        between: (String, String),
        /// Duration of the fault.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// Each message of a process is delayed by a random time of at most `by`.
    Slow {
        /// The process.
        process: String,
        /// Maximum delay.
        #[serde(with = "humantime_serde")]
        by: Duration,
        /// Duration of the fault.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// The table service fails.
    Table {
        /// Mode of the service during the fault.
        mode: TableMode,
        /// Duration of the fault.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// Loads from the weight store take longer.
    Store {
        /// Factor by which the duration of loads grows.
        slowdown: f64,
        /// Duration of the fault.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// Events in the streams of a back end are duplicated, delayed or replaced by
    /// events of other streams, or streams break.
    Scramble {
        /// The back end.
        process: String,
        /// Fraction of events that are affected.
        share: f64,
        /// Duration of the fault.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// The machine list announces that a back end is draining. The back end is killed
    /// after the notice period, if there is one.
    Leave {
        /// The back end.
        process: String,
        /// Time until the back end is killed.
        #[serde(default, with = "humantime_serde")]
        notice: Option<Duration>,
    },
    /// A node is asked to stop, and with `for` restarted after the given time.
    Stop {
        /// The node.
        process: String,
        /// Time until the process is restarted; never if absent.
        #[serde(default, rename = "for", with = "humantime_serde")]
        lasting: Option<Duration>,
    },
    /// Faults of several kinds occur at random times that depend on the seed.
    Random {
        /// Number of faults.
        count: u32,
        /// Period in which the faults begin.
        #[serde(with = "humantime_serde")]
        during: Duration,
        /// Kinds of which each fault is chosen.
        kinds: Vec<RandomKind>,
    },
}

/// Kind of a random fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RandomKind {
    /// A node is killed and restarted.
    KillNode,
    /// A node is paused.
    PauseNode,
    /// Two nodes, or a node and the table, cannot reach each other.
    Cut,
    /// A back end is killed and restarted.
    KillBackEnd,
    /// A back end is paused.
    PauseBackEnd,
    /// A node and a back end cannot reach each other.
    CutBackEnd,
    /// The table service is down.
    TableDown,
    /// The responses of the table service are lost.
    TableSilent,
    /// The messages of a node are delayed.
    SlowNode,
    /// The weight store is slow.
    SlowStore,
    /// Streams of a back end are scrambled.
    Scramble,
    /// A node is stopped as planned and restarted.
    StopNode,
}

/// An outcome that the history must have in addition to the nine rules, which hold
/// for every trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outcome {
    /// At least the given fraction of the requests was answered.
    Answered {
        /// Restricts the outcome to requests for this model or service.
        #[serde(default)]
        of: Option<String>,
        /// Restricts the outcome to requests of this class.
        #[serde(default)]
        class: Option<PriorityClass>,
        /// Minimum fraction of the requests, from 0 to 1.
        share: f64,
    },
    /// A quantile of the time to the first token stays below a bound.
    FirstToken {
        /// Restricts the outcome to requests of this class.
        #[serde(default)]
        class: Option<PriorityClass>,
        /// Quantile, from 0 to 1.
        quantile: f64,
        /// Bound on the time to the first token.
        #[serde(with = "humantime_serde")]
        below: Duration,
    },
    /// At most the given number of loads were started.
    Loads {
        /// Maximum number of loads.
        at_most: u32,
    },
    /// Exactly the given number of configuration changes were accepted.
    Accepted {
        /// Number of accepted changes.
        changes: u32,
    },
    /// Every refusal stated when to retry.
    RetryAfterStated {
        /// Minimum number of refused requests.
        refused: u32,
    },
    /// At least the given fraction of the refused requests was refused the given time
    /// before the deadline.
    RefusedEarly {
        /// Minimum time from the refusal to the deadline.
        #[serde(with = "humantime_serde")]
        ahead: Duration,
        /// Minimum fraction of the requests, from 0 to 1.
        share: f64,
    },
    /// At least the given number of requests were executed at back ends.
    Executions {
        /// Minimum number of executions.
        at_least: u32,
    },
}
