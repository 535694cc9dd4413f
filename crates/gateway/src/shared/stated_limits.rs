//! Limits that back ends state, as their answers to this gateway's requests tell them.

use std::time::Duration;

use gorsebank_fleet::Statement;

use super::Shared;
use crate::back_end::BackEnd;
use crate::lines::{self, Rank};

impl Shared {
    /// A back end's answer to a request that was sent so long ago says how many requests it
    /// takes.
    pub fn note_statement(&self, back_end: &BackEnd, since_sent: Duration, statement: Statement) {
        let now = self.now();
        let sent = now - since_sent.as_millis() as u64;
        let life = back_end.life_hash;
        let mut limits = self.stated_limits.lock();
        if matches!(statement, Statement::Unreadable) {
            let fields = format_args!("back_end={} reason=no_number", back_end.id);
            lines::write(Rank::Decision, "back_end_limit_refused", fields);
        }
        let former = limits.rate(life);
        if !limits.note(now, sent, life, statement) {
            return;
        }
        self.metrics.stated_limits.set(limits.count() as i64);
        let rate = limits.rate(life);
        drop(limits);
        let fields = format_args!(
            "back_end={} requests_per_second={} former={} running={}",
            back_end.id,
            OrNone(rate),
            OrNone(former),
            back_end.in_flight(),
        );
        lines::write(Rank::Decision, "back_end_limit", fields);
    }
}

/// A rate for a line, or a dash.
struct OrNone(Option<f64>);

impl std::fmt::Display for OrNone {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(rate) => write!(formatter, "{rate}"),
            None => formatter.write_str("-"),
        }
    }
}
