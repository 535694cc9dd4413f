//! When a gateway reads the table itself because no parent sends it updates.
//!
//! In: the age of the content, the results of the last reads, and what is known of the parents and of
//! the table. Out: the time until the next read.
//!
//! Pauses bound the combined reads of all gateways while the table or the parents are out of order, so
//! they grow with the number of gateways. None of them delays the read of content that callers are
//! served by beyond its deadline, which is a fraction of the deployment's propagation bound.

use std::time::Duration;

/// Age of the content, as a fraction of the propagation bound, at which a gateway reads the table
/// whatever pauses apply. The rest of the bound remains for one unresponsive parent and the response.
const READ_DEADLINE_FRACTION: f64 = 0.6;
/// Maximum combined rate of table reads of all gateways that receive no updates from a parent.
const TABLE_READS_PER_SECOND: f64 = 50.0;
/// Factor by which the pause between two table reads is longer while a parent responds that it has
/// no fresh content either. The waiting gateways still make some table reads, in case all parents
/// respond but none of them reaches the table.
const WAITING_PAUSE_FACTOR: u32 = 8;
/// Maximum pause between two table reads of a gateway that has children.
const MAX_PAUSE_WITH_CHILDREN: Duration = Duration::from_millis(300);
/// Pause after the first failed table read of a gateway whose parents do not respond. The pause
/// doubles with each further consecutive failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Factor by which the pauses between reads of all gateways are longer at most after consecutive
/// failures. A table that is overloaded still executes calls that nobody waits for any more; at the
/// usual rate, these alone would keep it overloaded.
const MAX_OVERLOAD_FACTOR: u32 = 4;
/// Prevents overflow of the doubled pause, which exceeds one hour at this limit.
const MAX_PAUSE_DOUBLINGS: u32 = 15;

/// What determines when a gateway reads the table next.
#[derive(Clone, Copy, Debug)]
pub struct ReadConditions {
    /// Upper estimate of the number of gateways.
    pub gateways: usize,
    /// Whether the gateways together may call the table more often than it bears.
    pub is_large_fleet: bool,
    /// Whether other gateways depend on updates from this one.
    pub has_children: bool,
    /// Whether the gateway serves callers by content that it has read since its start.
    pub has_content: bool,
    /// Whether a parent recently responded without fresh content.
    pub has_stale_parent: bool,
    /// Number of consecutive table reads without a response, or with a slow one.
    pub failed_reads: u32,
    /// Age of the oldest urgent content; `None` if it is unknown.
    pub content_age: Option<Duration>,
    /// Time since the gateway last read the table itself; `None` if it never did.
    pub since_last_read: Option<Duration>,
    /// Time since the last read, or since a read was needed for the first time.
    pub since_pause_began: Duration,
    /// Time until the gateway's turn among all gateways that call a slow table.
    pub time_until_turn: Duration,
    /// The deployment's propagation bound.
    pub propagation_bound: Duration,
}

impl ReadConditions {
    /// Time until the next read. `spread` is a random number from 0 to 1 that keeps gateways from
    /// reading together.
    pub fn time_until_read(&self, spread: f64) -> Duration {
        let pause = self.pause(0.5 + spread);
        let pause_left = pause.saturating_sub(self.since_pause_began);
        pause_left
            .max(self.time_until_turn)
            .min(self.time_until_deadline())
    }

    /// Time until the content must be read, whatever pauses apply. A read that failed counts as well:
    /// the table may be unavailable to all gateways.
    pub fn time_until_deadline(&self) -> Duration {
        if !self.has_content {
            return Duration::MAX;
        }
        let deadline = self.propagation_bound.mul_f64(READ_DEADLINE_FRACTION);
        let age = self.content_age.unwrap_or(Duration::MAX);
        deadline.saturating_sub(age.min(self.since_last_read.unwrap_or(Duration::MAX)))
    }

    /// Whether this gateway has no content yet, as when all gateways start, and a responsive parent
    /// waits for content as well. The parent reads the table on behalf of all its children, each of
    /// which would otherwise have to read the whole table.
    pub fn waits_with_parent(&self) -> bool {
        self.has_stale_parent && self.is_large_fleet && !self.has_content
    }

    /// Minimum time between two reads. At startup, while a parent waits for content as well, and after
    /// repeated failures, the pause limits the combined rate of all gateways that receive no updates.
    /// The pause is at most [`MAX_PAUSE_WITH_CHILDREN`] for gateways that have children.
    fn pause(&self, spread: f64) -> Duration {
        let shared_pause = round_of_table_reads(self.gateways).mul_f64(spread);
        let overloaded_pause =
            shared_pause * overload_factor(self.failed_reads, self.is_large_fleet);
        if self.has_children {
            shared_pause.min(MAX_PAUSE_WITH_CHILDREN)
        } else if self.waits_with_parent() {
            shared_pause * WAITING_PAUSE_FACTOR
        } else if self.has_stale_parent || !self.has_content {
            // A parent without fresh content reads the table and responds when the table does.
            // Until the back ends have been read, the parents may still be starting.
            overloaded_pause
        } else if self.failed_reads == 0 {
            // A pause while the table responds could delay changes beyond the propagation bound.
            Duration::ZERO
        } else {
            let doublings = (self.failed_reads - 1).min(MAX_PAUSE_DOUBLINGS);
            overloaded_pause.min(FIRST_RETRY_PAUSE * 2_u32.pow(doublings))
        }
    }
}

/// Time in which a number of gateways read the table once each, at their maximum combined rate.
pub fn round_of_table_reads(gateways: usize) -> Duration {
    Duration::from_secs_f64(gateways as f64 / TABLE_READS_PER_SECOND)
}

/// Factor by which the usual pause is longer after consecutive failures: the first one may be a lost
/// response, and each further one doubles it. A small fleet does not overload the table.
pub fn overload_factor(failures: u32, is_large_fleet: bool) -> u32 {
    if !is_large_fleet {
        return 1;
    }
    let doublings = failures.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
    2_u32.pow(doublings).min(MAX_OVERLOAD_FACTOR)
}
