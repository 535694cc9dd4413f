//! The lines of a trace.

use std::time::Duration;

use bytesize::ByteSize;
use gorsebank_contract::{PriorityClass, SourceTier};
use gorsebank_world::{Artifact, Labels, MachineRole, RowKind, Spec};
use serde::{Deserialize, Serialize};

use crate::ablation::Ablation;

/// The first line: the world that the trace plays in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The trace's name.
    pub trace: String,
    /// What it is for.
    pub about: String,
    /// How it was made, if by a program: which, and by what seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generated: Option<String>,
    /// When the replay ends.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// gorsebank nodes.
    pub nodes: Vec<NodePlace>,
    /// Engines and application back ends.
    pub back_ends: Vec<BackEndEntry>,
    /// Configuration rows at the start.
    pub rows: Vec<RowEntry>,
    /// Links between processes.
    #[serde(default)]
    pub links: Links,
    /// The weight store.
    #[serde(default)]
    pub store: Store,
    /// How late changes of the machine list are seen.
    #[serde(default = "default_lag", with = "humantime_serde")]
    pub machine_list_lag: Duration,
    /// Settings of the nodes that differ from the defaults.
    #[serde(default)]
    pub settings: TraceSettings,
    /// The mechanism without which the trace must fail.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub red_without: Option<Ablation>,
}

fn default_lag() -> Duration {
    Duration::from_secs(3)
}

/// A node and its zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodePlace {
    /// Its name.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// It starts so long after the beginning.
    #[serde(default, with = "humantime_serde")]
    pub starts: Duration,
}

/// A back end.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEndEntry {
    /// Its name.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Engine or application.
    pub role: MachineRole,
    /// Its pool.
    pub service: String,
    /// Accelerator memory.
    #[serde(default)]
    pub memory: ByteSize,
    /// Requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Checkpoints on its machine.
    #[serde(default)]
    pub cached: std::collections::BTreeMap<Artifact, SourceTier>,
    /// Time to the first token, or of a whole answer of an application.
    #[serde(default = "default_prefill", with = "humantime_serde")]
    pub prefill: Duration,
    /// Time between two tokens.
    #[serde(default = "default_token", with = "humantime_serde")]
    pub token: Duration,
}

fn default_slots() -> u32 {
    16
}

fn default_prefill() -> Duration {
    Duration::from_millis(200)
}

fn default_token() -> Duration {
    Duration::from_millis(20)
}

/// A configuration row at the start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEntry {
    /// Its name.
    pub name: String,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
    /// Its content, with the field `kind`.
    pub spec: Spec,
}

/// One-way latencies.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Links {
    /// Within a zone.
    #[serde(with = "humantime_serde")]
    pub within_zone: Duration,
    /// Between zones.
    #[serde(with = "humantime_serde")]
    pub between_zones: Duration,
    /// To clients and to the platform.
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
    /// Loads that may start each second.
    pub starts_per_second: f64,
    /// Loads at full speed at once.
    pub concurrency: u32,
    /// Bytes a second of one load.
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

/// Settings that traces may change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TraceSettings {
    /// Least keep-alive.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub keep_alive_min: Option<Duration>,
    /// Most keep-alive.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub keep_alive_max: Option<Duration>,
    /// Share of memory for dormant models.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub standby_share: Option<f64>,
    /// Between two ticks of a node; longer for day-long traces.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub tick: Option<Duration>,
}

/// An event with its time from the start.
#[derive(Clone, Debug)]
pub struct TimedEvent {
    /// Microseconds.
    pub at: u64,
    /// What happens.
    pub event: TraceEvent,
}

/// What happens at one moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum TraceEvent {
    /// Callers send requests.
    Request(RequestEvent),
    /// An operator changes the configuration.
    Change(ChangeEvent),
    /// Something fails, or heals.
    Fault(FaultEvent),
}

/// Requests of callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestEvent {
    /// A model, or with `service` the path of an application call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// An application service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Nodes that the requests go to in turn; all if empty.
    #[serde(default)]
    pub nodes: Vec<String>,
    /// How many.
    #[serde(default = "one")]
    pub count: u32,
    /// Spread evenly over so long.
    #[serde(default, with = "humantime_serde")]
    pub over: Duration,
    /// Priority.
    #[serde(default)]
    pub class: PriorityClass,
    /// Time allowed.
    #[serde(default = "default_timeout", with = "humantime_serde")]
    pub timeout: Duration,
    /// Tokens of each answer.
    #[serde(default = "default_tokens")]
    pub tokens: u32,
    /// Idempotency key; all requests of the event share it, so that they are
    /// retries of one another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Each request has an idempotency key of its own.
    #[serde(default)]
    pub keyed: bool,
    /// Callers whose connection breaks ask again elsewhere.
    #[serde(default)]
    pub persistent: bool,
}

fn one() -> u32 {
    1
}

fn default_timeout() -> Duration {
    Duration::from_secs(30)
}

fn default_tokens() -> u32 {
    50
}

/// An operator's change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeEvent {
    /// The node that takes it.
    pub node: String,
    /// Kind of the row.
    pub kind: RowKind,
    /// Name of the row.
    pub name: String,
    /// Labels to set, or with `null` to remove.
    pub labels: std::collections::BTreeMap<String, Option<String>>,
    /// The change holds only for the version that the operator saw last.
    #[serde(default)]
    pub conditional: bool,
}

/// How the table service fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableMode {
    /// It works.
    #[default]
    Up,
    /// Nothing is carried out and nothing answered.
    Down,
    /// Everything is carried out and nothing answered.
    Silent,
    /// Answers take half a second.
    Slow,
}

/// Faults. Processes are named by their id; `holder` is the node that holds
/// the placement lease at that moment, and `owner:MODEL` the owner of a queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultEvent {
    /// A process is killed, and with `for` started again after so long.
    Kill {
        /// The process.
        process: String,
        /// Until it starts again; never if absent.
        #[serde(default, rename = "for", with = "humantime_serde")]
        lasting: Option<Duration>,
    },
    /// A process stands still, then goes on unaware.
    Pause {
        /// The process.
        process: String,
        /// How long.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// Two processes cannot reach each other; `*` stands for all others.
    Cut {
        /// The two ends.
        between: (String, String),
        /// How long.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// Messages of a process take longer, each by a random part of `by`.
    Slow {
        /// The process.
        process: String,
        /// At the most.
        #[serde(with = "humantime_serde")]
        by: Duration,
        /// How long.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// The table service fails.
    Table {
        /// How.
        mode: TableMode,
        /// How long.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// Loads from the weight store take longer.
    Store {
        /// So many times as long.
        slowdown: f64,
        /// How long.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// A back end's streams arrive doubled, late, crossed and cut.
    Scramble {
        /// The back end.
        process: String,
        /// Share of events that something happens to.
        share: f64,
        /// How long.
        #[serde(rename = "for", with = "humantime_serde")]
        lasting: Duration,
    },
    /// The machine list says that a back end is leaving; it is killed after
    /// the notice, if there is one.
    Leave {
        /// The back end.
        process: String,
        /// Until it is killed.
        #[serde(default, with = "humantime_serde")]
        notice: Option<Duration>,
    },
    /// A node is asked to stop, and with `for` started again after so long.
    Stop {
        /// The node.
        process: String,
        /// Until it starts again; never if absent.
        #[serde(default, rename = "for", with = "humantime_serde")]
        lasting: Option<Duration>,
    },
    /// Faults of several kinds at random times, on the run's seed.
    Random {
        /// How many.
        count: u32,
        /// Within so long.
        #[serde(with = "humantime_serde")]
        during: Duration,
        /// Kinds to choose from.
        kinds: Vec<RandomKind>,
    },
}

/// Kinds of random faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RandomKind {
    /// A node is killed and starts again.
    KillNode,
    /// A node stands still.
    PauseNode,
    /// Two nodes, or a node and the table, cannot reach each other.
    Cut,
    /// A back end is killed and starts again.
    KillBackEnd,
    /// A back end stands still.
    PauseBackEnd,
    /// A node and a back end cannot reach each other.
    CutBackEnd,
    /// The table is down.
    TableDown,
    /// The table's answers are lost.
    TableSilent,
    /// A node's messages take longer.
    SlowNode,
    /// The weight store is slow.
    SlowStore,
    /// Streams of a back end are scrambled.
    Scramble,
    /// A node stops as planned and starts again.
    StopNode,
}

/// What must have come of the trace, beside the nine rules, which always hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outcome {
    /// At least this share of the requests was answered.
    Answered {
        /// Only requests of this model or service.
        #[serde(default)]
        of: Option<String>,
        /// Only requests of this class.
        #[serde(default)]
        class: Option<PriorityClass>,
        /// From 0 to 1.
        share: f64,
    },
    /// A quantile of the time to the first token stays below a bound.
    FirstToken {
        /// Only requests of this class.
        #[serde(default)]
        class: Option<PriorityClass>,
        /// From 0 to 1.
        quantile: f64,
        /// The bound.
        #[serde(with = "humantime_serde")]
        below: Duration,
    },
    /// At most so many loads were started.
    Loads {
        /// The bound.
        at_most: u32,
    },
    /// Exactly so many of the operators' changes were accepted.
    Accepted {
        /// The number.
        changes: u32,
    },
    /// Refused requests were told when to come back.
    RetryAfterStated {
        /// At least so many requests were refused.
        refused: u32,
    },
    /// Of the refused requests, this share was refused so long ahead of the
    /// deadline.
    RefusedEarly {
        /// At least so long before the deadline.
        #[serde(with = "humantime_serde")]
        ahead: Duration,
        /// From 0 to 1.
        share: f64,
    },
    /// At least so many executions of an application happened.
    Executions {
        /// The bound.
        at_least: u32,
    },
}
