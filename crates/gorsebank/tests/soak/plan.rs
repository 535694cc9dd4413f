//! Schedules of the faults of a run, drawn from its seed. Faults may follow one another or overlap.

use std::ops::Range;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Shortest time between the starts of two faults, in milliseconds.
const MIN_INTERVAL_MS: u64 = 150;
/// Upper bound on the time between the starts of two faults, in milliseconds.
const MAX_INTERVAL_MS: u64 = 1_500;
/// Shortest duration of a fault that ends by itself, in milliseconds.
const MIN_FAULT_MS: u64 = 200;
/// Upper bound on the duration of a fault that ends by itself, in milliseconds.
const MAX_FAULT_MS: u64 = 2_500;

/// Random stream from which stated limits are drawn.
const LIMIT_STREAM: u64 = 1;
/// Random stream from which row faults are drawn.
const ROW_FAULT_STREAM: u64 = 2;
/// Random stream from which statements in responses are drawn.
const STATEMENT_STREAM: u64 = 3;
/// Random stream from which restores of the table are drawn.
const RESTORE_STREAM: u64 = 4;
/// Random stream from which garbled responses are drawn.
const GARBLE_STREAM: u64 = 5;
/// Random stream from which losses of all power are drawn.
const POWER_STREAM: u64 = 6;
/// Random stream from which the conditions of harsh returns are drawn.
const HARSH_RETURN_STREAM: u64 = 7;
/// Bounds on the time without power, in milliseconds.
const OUTAGE_MS: Range<u64> = 1_000..3_000;
/// Upper bound on the time from the return of power until the table responds, and from then until
/// the back ends write their rows, in milliseconds.
const MAX_RETURN_DELAY_MS: u64 = 2_000;
/// Bounds on the time from the return of power until it is lost again, in milliseconds.
const SECOND_LOSS_MS: Range<u64> = 2_000..9_000;
/// Upper bound on the time for which gateways outlast the back ends, in milliseconds.
const MAX_OUTLAST_MS: u64 = 1_500;
/// Upper bound on the time from the return of power until a late order is carried out, in
/// milliseconds. An order is carried out within 13 s after it was sent or never.
const MAX_LATE_ORDER_MS: u64 = 8_000;
/// Bounds on the time for which a call occupies a slow table, in milliseconds.
const TABLE_CALL_MS: Range<u64> = 2..11;
/// Maximum number of times that a back end garbles its responses in a run.
const MAX_GARBLES: usize = 6;
/// Maximum number of restores of the table in a run.
const MAX_RESTORES: usize = 3;
/// Upper bound on the time of which a restore loses the writes, in milliseconds.
const MAX_LOST_MS: u64 = 3_000;
/// Upper bound on the time until back ends and the operator write lost rows again, in milliseconds.
const MAX_REWRITE_DELAY_MS: u64 = 300;
/// Maximum number of statements in a run: at least half of the back ends make none.
const MAX_STATEMENTS: usize = 3;
/// Maximum number of row faults in a run.
const MAX_ROW_FAULTS: usize = 5;
/// Maximum number of stated limits in a run: at least half of the back ends state none.
const MAX_LIMITS: usize = 3;
/// Rate limits that back ends state, in requests per second.
const LIMIT_RATES_PER_SECOND: [f64; 6] = [0.0, 0.5, 1.0, 2.0, 5.0, 10.0];

/// A fault. Reports contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed and restarted.
    Kill,
    /// A gateway is asked to stop and restarted after its exit.
    Stop,
    /// A gateway is suspended.
    Pause,
    /// All gateways are killed at once and restarted.
    KillAll,
    /// The table responds with status 503.
    TableDown,
    /// The table responds with status 429.
    TableThrottles,
    /// The table applies writes and loses the responses.
    TableLosesAnswers,
    /// The table compacts its history of changes.
    TableForgets,
    /// A gateway's open connections to the table go silent.
    TableSilent,
    /// The open connections to a back end go silent.
    BackEndSilent,
    /// A back end announces its drain in its row, serves for some time, and is replaced.
    BackEndLeaves,
    /// The process of a back end exits without notice and is replaced later.
    BackEndEnds,
    /// A back end responds slowly.
    BackEndSlow,
    /// A back end fails a fraction of its requests (a grey failure).
    BackEndGrey,
    /// A request that crashes back ends is repeated until the end of the run.
    EndingRequest,
    /// A gateway's link to the table has a high latency.
    TableFar,
    /// Responses of the table do not reach a gateway.
    TableOneWay,
    /// One gateway's connections to the table are refused.
    TableRefusesOne,
    /// The open connections to a back end are reset.
    BackEndReset,
    /// A back end is unreachable in both directions, on new connections too.
    BackEndDark,
    /// An engine neither executes nor answers the next orders.
    OrdersLost,
    /// A gateway receives the signal to reload its settings.
    Reload,
    /// A new configuration is written.
    Configuration,
}

/// Every kind of fault.
pub const FAULTS: [Fault; 23] = [
    Fault::Kill,
    Fault::Stop,
    Fault::Pause,
    Fault::KillAll,
    Fault::TableDown,
    Fault::TableThrottles,
    Fault::TableLosesAnswers,
    Fault::TableForgets,
    Fault::TableSilent,
    Fault::BackEndSilent,
    Fault::BackEndLeaves,
    Fault::BackEndEnds,
    Fault::BackEndSlow,
    Fault::BackEndGrey,
    Fault::EndingRequest,
    Fault::TableFar,
    Fault::TableOneWay,
    Fault::TableRefusesOne,
    Fault::BackEndReset,
    Fault::BackEndDark,
    Fault::OrdersLost,
    Fault::Reload,
    Fault::Configuration,
];

/// A fault with its time and target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Start of the fault, relative to the start of the schedule.
    pub at: Duration,
    /// Duration of a fault that ends by itself.
    pub duration: Duration,
    /// Kind of the fault.
    pub fault: Fault,
    /// Index of the gateway or back end, modulo their number.
    pub target: usize,
}

/// A loss of power at all machines, and how they return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PowerLoss {
    /// Time without power.
    pub outage: Duration,
    /// Time from the return of power until the table responds.
    pub table_delay: Duration,
    /// Time from then until the back ends write their rows.
    pub rows_delay: Duration,
    /// Whether engines still have the copies of weights on their disks.
    pub keeps_disks: bool,
    /// Whether the table still contains the rows that back ends wrote before the loss.
    pub keeps_rows: bool,
    /// Whether back ends return under their names and at their addresses. Otherwise the rows of the
    /// previous ones stay beside theirs.
    pub keeps_names: bool,
    /// Whether gateways return at their addresses.
    pub keeps_addresses: bool,
    /// Whether some gateways do not return.
    pub has_absent_gateways: bool,
    /// Time from the return of power until orders to the previous processes, which had no response,
    /// are carried out.
    pub late_order_delay: Duration,
    /// Time from the return of power until the next loss, if there is another one.
    pub until_next: Duration,
    /// Time for which gateways and the table run on after the back ends have ended.
    pub gateways_outlast: Duration,
}

/// How a site returns after a loss of all power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteReturn {
    /// Whether engines still have the copies of weights on their disks.
    pub keeps_disks: bool,
    /// Time for which the rows of the previous back ends stay beside those of back ends under new
    /// names; `None` if back ends return under their names.
    pub previous_rows: Option<Duration>,
    /// Whether connections to the previous back ends get no reply; otherwise they are refused.
    pub are_previous_silent: bool,
    /// Number of loads that the weight store performs at full speed.
    pub full_speed_loads: usize,
}

/// What the table contains when power returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableReturn {
    /// Every write.
    Complete,
    /// All but the writes of the last seconds.
    WithoutLastWrites,
    /// Only what the operator and the back ends write again.
    Empty,
}

/// Conditions of a harsh return after a loss of power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HarshReturn {
    /// What the table contains.
    pub table: TableReturn,
    /// Whether the key of a tenant is revoked just before the loss.
    pub revokes_key: bool,
    /// Time for which each call occupies the table, so that calls wait for each other; `None` if they do
    /// not.
    pub table_call_time: Option<Duration>,
}

/// A rate limit that a back end states for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledLimit {
    /// Time at which the back end begins to state the limit.
    pub at: Duration,
    /// Time for which the back end states the limit.
    pub duration: Duration,
    /// Stated limit, in requests per second.
    pub rate: f64,
    /// Index of the back end, modulo their number.
    pub target: usize,
}

/// Returns the generator for one stream of a seed. Draws from one stream do not affect the others.
fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}

/// Draws a duration from a range of milliseconds.
fn draw_duration(random: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Draws the rate limits that back ends state in a run. Their random stream is separate, so that
/// the faults of the run are the same with and without limits.
pub fn draw_limits(seed: u64, length: Duration) -> Vec<ScheduledLimit> {
    let mut random = random_stream(seed, LIMIT_STREAM);
    let count = random.random_range(1..=MAX_LIMITS);
    let length = length.as_millis() as u64;
    let drawn = (0..count).map(|_| {
        let at = random.random_range(0..length / 4);
        let rate = LIMIT_RATES_PER_SECOND
            .choose(&mut random)
            .expect("the list of rates is not empty");
        ScheduledLimit {
            at: Duration::from_millis(at),
            duration: draw_duration(&mut random, length / 2..length - at),
            rate: *rate,
            target: random.random_range(0..64),
        }
    });
    drawn.collect()
}

/// A fault of a back end's table row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowFault {
    /// The process of the back end exits, and another one starts under the same name.
    Restart,
    /// The row lacks a field until it is restored.
    MissingField,
    /// A field of the row has another type until it is restored.
    WrongType,
    /// A field of the row has an unknown value until it is restored.
    UnknownWord,
}

/// Every kind of row fault.
const ROW_FAULTS: [RowFault; 4] = [
    RowFault::Restart,
    RowFault::MissingField,
    RowFault::WrongType,
    RowFault::UnknownWord,
];

/// A row fault with its time and target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRowFault {
    /// Start of the fault, relative to the start of the schedule.
    pub at: Duration,
    /// Duration of a fault that ends by itself.
    pub duration: Duration,
    /// Kind of the fault.
    pub fault: RowFault,
    /// Index of the back end, modulo their number.
    pub target: usize,
}

/// Draws the row faults of a run from a separate random stream. They are not sorted by time.
pub fn draw_row_faults(seed: u64, length: Duration) -> Vec<ScheduledRowFault> {
    let mut random = random_stream(seed, ROW_FAULT_STREAM);
    let length = length.as_millis() as u64;
    let count = random.random_range(2..=MAX_ROW_FAULTS);
    let drawn = (0..count).map(|_| ScheduledRowFault {
        at: draw_duration(&mut random, 0..length),
        duration: draw_duration(&mut random, MIN_FAULT_MS..MAX_FAULT_MS),
        fault: *ROW_FAULTS
            .choose(&mut random)
            .expect("the list of faults is not empty"),
        target: random.random_range(0..64),
    });
    drawn.collect()
}

/// A statement that a back end makes about itself in its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatement {
    /// The back end drains; its row does not announce the drain.
    Draining,
    /// The back end rejects requests and requests a pause after each rejection.
    RequestsPause,
}

/// A statement with its time and target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledStatement {
    /// Time at which the back end begins to make the statement.
    pub at: Duration,
    /// Time for which the back end makes the statement.
    pub duration: Duration,
    /// Kind of the statement.
    pub statement: ResponseStatement,
    /// Index of the back end, modulo their number.
    pub target: usize,
}

/// Draws the statements of back ends in a run from a separate random stream. They are not sorted by
/// time.
pub fn draw_statements(seed: u64, length: Duration) -> Vec<ScheduledStatement> {
    let mut random = random_stream(seed, STATEMENT_STREAM);
    let length = length.as_millis() as u64;
    let count = random.random_range(1..=MAX_STATEMENTS);
    let drawn = (0..count).map(|_| ScheduledStatement {
        at: draw_duration(&mut random, 0..length / 2),
        duration: draw_duration(&mut random, length / 4..length / 2),
        statement: *[
            ResponseStatement::Draining,
            ResponseStatement::RequestsPause,
        ]
        .choose(&mut random)
        .expect("the list of statements is not empty"),
        target: random.random_range(0..64),
    });
    drawn.collect()
}

/// A restore of the table from an older copy, after an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRestore {
    /// Time of the copy.
    pub copied_at: Duration,
    /// Time from the copy to the outage, whose writes are lost.
    pub lost: Duration,
    /// Duration of the outage.
    pub outage: Duration,
    /// Time from the end of the outage until the lost rows of back ends and the operator are
    /// written again.
    pub rewrite_delay: Duration,
}

/// Draws the restores of the table in a run from a separate random stream. They may overlap, and a
/// later one may use the older copy.
pub fn draw_restores(seed: u64, length: Duration) -> Vec<ScheduledRestore> {
    let mut random = random_stream(seed, RESTORE_STREAM);
    let length = length.as_millis() as u64;
    let count = random.random_range(1..=MAX_RESTORES);
    let drawn = (0..count).map(|_| ScheduledRestore {
        copied_at: draw_duration(&mut random, 0..length * 3 / 4),
        lost: draw_duration(&mut random, 0..MAX_LOST_MS),
        outage: draw_duration(&mut random, 0..MAX_FAULT_MS),
        rewrite_delay: draw_duration(&mut random, 0..MAX_REWRITE_DELAY_MS),
    });
    drawn.collect()
}

/// How a back end garbles its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Garble {
    /// Copies of earlier responses and rejections arrive in the place of the next ones.
    Surplus,
    /// Responses have no end, or are no HTTP.
    Endless,
}

/// A back end that garbles its responses for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledGarble {
    /// Start, relative to the start of the schedule.
    pub at: Duration,
    /// Time for which responses are garbled.
    pub duration: Duration,
    /// How the responses are garbled.
    pub garble: Garble,
    /// Index of the back end, modulo their number.
    pub target: usize,
}

/// Draws the times at which back ends garble their responses from a separate random stream.
pub fn draw_garbles(seed: u64, length: Duration) -> Vec<ScheduledGarble> {
    let mut random = random_stream(seed, GARBLE_STREAM);
    let length = length.as_millis() as u64;
    let count = random.random_range(2..=MAX_GARBLES);
    let drawn = (0..count).map(|_| ScheduledGarble {
        at: draw_duration(&mut random, 0..length),
        duration: draw_duration(&mut random, MIN_FAULT_MS..MAX_FAULT_MS),
        garble: *[Garble::Surplus, Garble::Endless]
            .choose(&mut random)
            .expect("the list is not empty"),
        target: random.random_range(0..64),
    });
    drawn.collect()
}

/// Draws the losses of power of a run: one, or a second one during the return from the first.
pub fn draw_power_losses(seed: u64) -> Vec<PowerLoss> {
    let mut random = random_stream(seed, POWER_STREAM);
    let keeps_disks = random.random_bool(0.6);
    let count = random.random_range(1..=2);
    let drawn = (0..count).map(|_| PowerLoss {
        outage: draw_duration(&mut random, OUTAGE_MS),
        table_delay: draw_duration(&mut random, 0..MAX_RETURN_DELAY_MS),
        rows_delay: draw_duration(&mut random, 0..MAX_RETURN_DELAY_MS),
        keeps_disks,
        keeps_rows: random.random_bool(0.7),
        keeps_names: true,
        keeps_addresses: random.random_bool(0.6),
        has_absent_gateways: random.random_bool(0.4),
        late_order_delay: draw_duration(&mut random, 0..MAX_LATE_ORDER_MS),
        until_next: draw_duration(&mut random, SECOND_LOSS_MS),
        gateways_outlast: if random.random_bool(0.5) {
            draw_duration(&mut random, 0..MAX_OUTLAST_MS)
        } else {
            Duration::ZERO
        },
    });
    drawn.collect()
}

/// Draws the conditions of a harsh return.
pub fn draw_harsh_return(seed: u64) -> HarshReturn {
    let mut random = random_stream(seed, HARSH_RETURN_STREAM);
    let tables = [
        TableReturn::Complete,
        TableReturn::WithoutLastWrites,
        TableReturn::Empty,
    ];
    HarshReturn {
        table: *tables.choose(&mut random).expect("the list is not empty"),
        revokes_key: random.random_bool(0.5),
        table_call_time: random
            .random_bool(0.4)
            .then(|| draw_duration(&mut random, TABLE_CALL_MS)),
    }
}

/// Draws the faults of a run, sorted by time.
pub fn draw_faults(seed: u64, length: Duration) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = draw_duration(&mut random, MIN_INTERVAL_MS..MAX_INTERVAL_MS);
    while at < length {
        let fault = *FAULTS
            .choose(&mut random)
            .expect("the list of faults is not empty");
        faults.push(ScheduledFault {
            at,
            duration: draw_duration(&mut random, MIN_FAULT_MS..MAX_FAULT_MS),
            fault,
            target: random.random_range(0..64),
        });
        at += draw_duration(&mut random, MIN_INTERVAL_MS..MAX_INTERVAL_MS);
    }
    faults
}

#[test]
fn schedule_is_determined_by_seed() {
    let length = Duration::from_secs(30);
    assert_eq!(draw_faults(7, length), draw_faults(7, length));
    assert_ne!(draw_faults(7, length), draw_faults(8, length));
}

#[test]
fn twenty_seeds_include_every_fault() {
    let faults: Vec<ScheduledFault> = (0..20)
        .flat_map(|seed| draw_faults(seed, Duration::from_secs(12)))
        .collect();
    for kind in FAULTS {
        assert!(
            faults.iter().any(|scheduled| scheduled.fault == kind),
            "{kind:?}"
        );
    }
}
