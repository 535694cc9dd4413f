//! Which faults strike when, drawn from a seed: in series, and overlapping.

use std::ops::Range;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Pause between the beginnings of two faults.
const LEAST_PAUSE: u64 = 150;
const LONGEST_PAUSE: u64 = 1_500;
/// How long a fault that ends by itself lasts.
const LEAST_FAULT: u64 = 200;
const LONGEST_FAULT: u64 = 2_500;

/// The stream of random numbers from which limits of back ends are drawn.
const LIMITS: u64 = 1;
/// The stream from which faults of rows are drawn.
const ROWS: u64 = 2;
/// The stream from which statements in answers are drawn.
const STATEMENTS: u64 = 3;
/// Back ends that make a statement in a run at most: half of them say nothing.
const MOST_STATEMENTS: usize = 3;
/// Faults of rows in a run at most.
const MOST_ROW_FAULTS: usize = 5;
/// Limits in a run at most: half of the back ends take what they are sent.
const MOST_LIMITS: usize = 3;
/// What back ends with a limit take, in requests a second.
const LIMIT_RATES: [f64; 6] = [0.0, 0.5, 1.0, 2.0, 5.0, 10.0];

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed, and started again.
    Kill,
    /// A gateway is asked to stop, and started again once it is gone.
    Stop,
    /// A gateway stands still.
    Pause,
    /// All gateways are killed at once.
    KillAll,
    /// The table answers 503.
    TableDown,
    /// The table answers 429.
    TableThrottles,
    /// The table makes writes and does not answer them.
    TableLosesAnswers,
    /// The table forgets its history.
    TableForgets,
    /// A gateway's open connections to the table go silent.
    TableSilent,
    /// The open connections to a back end go silent.
    BackEndSilent,
    /// A back end says that it leaves, serves on for a while, and another one comes.
    BackEndLeaves,
    /// A back end's process ends without a word, and another one comes later.
    BackEndEnds,
    /// A back end answers slowly.
    BackEndSlow,
    /// A back end fails a part of what it runs.
    BackEndGrey,
    /// A request under which back ends end comes again and again, until the run is over.
    EndingRequest,
    /// A gateway's way to the table is slow.
    TableFar,
    /// What the table answers a gateway does not arrive.
    TableOneWay,
    /// The table turns one gateway away.
    TableRefusesOne,
    /// The open connections to a back end are reset.
    BackEndReset,
    /// Nothing passes to a back end or back, on new connections either.
    BackEndDark,
    /// An engine takes the next orders neither in nor answers them.
    OrdersLost,
    /// A gateway is told that its settings may have changed.
    Reload,
    /// A new configuration.
    Configuration,
}

/// Every kind.
pub const KINDS: [Fault; 23] = [
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

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, where it ends by itself.
    pub lasts: Duration,
    /// What.
    pub fault: Fault,
    /// Which one is struck; taken modulo how many there are.
    pub target: usize,
}

/// A back end says for a while that it takes so few requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// When it begins to.
    pub at: Duration,
    /// How long it does.
    pub lasts: Duration,
    /// Requests a second.
    pub rate: f64,
    /// Which one; taken modulo how many there are.
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

/// Limits that back ends state in a run. They are drawn apart from its faults, which are the
/// same with them as without.
pub fn limits(seed: u64, length: Duration) -> Vec<StatedLimit> {
    let mut random = random_stream(seed, LIMITS);
    let count = random.random_range(1..=MOST_LIMITS);
    let length = length.as_millis() as u64;
    let drawn = (0..count).map(|_| {
        let at = random.random_range(0..length / 4);
        let rate = LIMIT_RATES.choose(&mut random).expect("there are rates");
        StatedLimit {
            at: Duration::from_millis(at),
            lasts: draw_duration(&mut random, length / 2..length - at),
            rate: *rate,
            target: random.random_range(0..64),
        }
    });
    drawn.collect()
}

/// What becomes of a back end's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowFault {
    /// Its process ends, and another one starts under its name.
    StartsAgain,
    /// It lacks a field, until it is mended.
    LacksField,
    /// A field has another type, until it is mended.
    OtherType,
    /// It holds a word that nobody knows, until it is mended.
    UnknownWord,
}

/// Every kind.
const ROW_KINDS: [RowFault; 4] = [
    RowFault::StartsAgain,
    RowFault::LacksField,
    RowFault::OtherType,
    RowFault::UnknownWord,
];

/// A fault of a row with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowStrike {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, where it ends by itself.
    pub lasts: Duration,
    /// What.
    pub fault: RowFault,
    /// Which back end is struck; taken modulo how many there are.
    pub target: usize,
}

/// Faults of rows in a run, drawn apart from its other faults, in no order.
pub fn row_strikes(seed: u64, length: Duration) -> Vec<RowStrike> {
    let mut random = random_stream(seed, ROWS);
    let length = length.as_millis() as u64;
    let count = random.random_range(2..=MOST_ROW_FAULTS);
    let drawn = (0..count).map(|_| RowStrike {
        at: draw_duration(&mut random, 0..length),
        lasts: draw_duration(&mut random, LEAST_FAULT..LONGEST_FAULT),
        fault: *ROW_KINDS.choose(&mut random).expect("there are kinds"),
        target: random.random_range(0..64),
    });
    drawn.collect()
}

/// What a back end says of itself in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// It leaves; its row does not say so.
    Leaves,
    /// It turns requests away, and wants a pause after each.
    WantsPause,
}

/// A statement with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementStrike {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, where it ends by itself.
    pub lasts: Duration,
    /// What.
    pub statement: Statement,
    /// Which back end makes it; taken modulo how many there are.
    pub target: usize,
}

/// Statements of back ends in a run, drawn apart from its faults, in no order.
pub fn statement_strikes(seed: u64, length: Duration) -> Vec<StatementStrike> {
    let mut random = random_stream(seed, STATEMENTS);
    let length = length.as_millis() as u64;
    let count = random.random_range(1..=MOST_STATEMENTS);
    let drawn = (0..count).map(|_| StatementStrike {
        at: draw_duration(&mut random, 0..length / 2),
        lasts: draw_duration(&mut random, length / 4..length / 2),
        statement: *[Statement::Leaves, Statement::WantsPause]
            .choose(&mut random)
            .expect("there are two"),
        target: random.random_range(0..64),
    });
    drawn.collect()
}

/// The faults of a run, in order.
pub fn plan(seed: u64, length: Duration) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut strikes = Vec::new();
    let mut at = draw_duration(&mut random, LEAST_PAUSE..LONGEST_PAUSE);
    while at < length {
        let fault = *KINDS.choose(&mut random).expect("there are kinds");
        strikes.push(Strike {
            at,
            lasts: draw_duration(&mut random, LEAST_FAULT..LONGEST_FAULT),
            fault,
            target: random.random_range(0..64),
        });
        at += draw_duration(&mut random, LEAST_PAUSE..LONGEST_PAUSE);
    }
    strikes
}

#[test]
fn a_seed_gives_one_plan_and_another_seed_another() {
    let length = Duration::from_secs(30);
    assert_eq!(plan(7, length), plan(7, length));
    assert_ne!(plan(7, length), plan(8, length));
}

#[test]
fn every_kind_strikes_within_some_seeds() {
    let strikes: Vec<Strike> = (0..20)
        .flat_map(|seed| plan(seed, Duration::from_secs(12)))
        .collect();
    for kind in KINDS {
        assert!(
            strikes.iter().any(|strike| strike.fault == kind),
            "{kind:?}"
        );
    }
}
