//! How each table is followed: how fresh it has to be, and how often it is asked for.

use std::time::Duration;

use crate::ports::TableNames;

/// Longest wait for a change, in one question. A feeder that the table has left behind
/// is noticed within two of them, well within the bound on back ends that leave (2 s).
pub const FEED_WAIT: Duration = Duration::from_millis(400);
/// Part of the bound on news that lies between two calls for changes of a table that changes
/// all the time. With 69 gateways calls of the table cost 0.050 of worth, where 100 ms between
/// two of them cost 0.071, and as much was served (4 plays in pairs: worth +0.024 ± 0.005).
const BUSY_PART: f64 = 0.08;
/// The same for tables that may be somewhat old.
const LONG_WAIT: Duration = Duration::from_millis(1_500);
/// Part of the deployment's bound on news within which what a root tells was confirmed by
/// the table: more than one wait and the pause between two. The rest is for asking others.
const FRESH_PART: f64 = 0.35;
/// The same for a gateway in the middle: a second wait and pause come on top.
const FRESH_PART_OF_MIDDLE: f64 = 0.5;
/// Part of the bound after which a gateway tries the table itself.
const TRY_PART: f64 = 0.45;
/// The same for tables that may be somewhat old.
const FRESH_ENOUGH: Duration = Duration::from_millis(4_000);
/// Pause between two questions about hints, which are long rows.
const HINT_PAUSE: Duration = Duration::from_millis(2_000);

/// How one table is followed.
#[derive(Clone, Copy, Debug)]
pub struct Rhythm {
    /// The table.
    pub table: &'static str,
    /// Longest wait for a change in one call of the table.
    pub wait: Duration,
    /// Pause between two questions at least.
    pub pause: Duration,
    /// Of several changes of one row the newest is enough.
    pub newest_only: bool,
    /// Rules hang on its being fresh.
    pub is_urgent: bool,
    /// It changes all the time.
    pub is_busy: bool,
}

impl Rhythm {
    /// Least time from one call of the table for changes until the next, where changes come
    /// one after the other.
    pub fn least_pause(&self, bound: Duration) -> Duration {
        if self.is_busy {
            self.pause.max(bound.mul_f64(BUSY_PART))
        } else {
            self.pause
        }
    }

    /// What is older than this is of no use from a feeder. `bound` is the deployment's
    /// bound on news.
    pub fn freshness(&self, bound: Duration, feeder_is_root: bool) -> Duration {
        match (self.is_urgent, feeder_is_root) {
            (false, _) => FRESH_ENOUGH,
            (true, true) => bound.mul_f64(FRESH_PART),
            (true, false) => bound.mul_f64(FRESH_PART_OF_MIDDLE),
        }
    }
}

/// When what is known of an urgent table is older than this, a gateway that others should
/// feed tries the table itself.
pub fn longest_without_news(bound: Duration) -> Duration {
    bound.mul_f64(TRY_PART)
}

/// The tables that every gateway knows, the most urgent first.
pub fn rhythms(tables: &TableNames) -> [Rhythm; 6] {
    let urgent = |table| Rhythm {
        table,
        wait: FEED_WAIT,
        pause: Duration::ZERO,
        newest_only: true,
        is_urgent: true,
        is_busy: true,
    };
    let calm = |table| Rhythm {
        wait: LONG_WAIT,
        is_urgent: false,
        ..urgent(table)
    };
    [
        Rhythm {
            is_busy: false,
            ..urgent(tables.configuration)
        },
        // A back end that once said that it leaves stays leaving: each state counts.
        Rhythm {
            newest_only: false,
            ..urgent(tables.back_ends)
        },
        urgent(tables.placed),
        // Whoever waits for the lease sees soon that it is not renewed.
        Rhythm {
            wait: FEED_WAIT,
            ..calm(tables.lease)
        },
        calm(tables.members),
        Rhythm {
            pause: HINT_PAUSE,
            ..calm(tables.reading)
        },
    ]
}
