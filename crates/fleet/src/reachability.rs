//! Which back ends a gateway reaches over its own links, and by which path it should connect next.
//!
//! Input: the results of connections that the gateway opened itself, and of those that other
//! gateways opened for it. Output: the path for the next connection, and whether the gateway's own
//! links are at fault.
//!
//! One back end that cannot be reached may have failed. Several distinct ones, with none reached
//! since, make the gateway suspect its own links. A connection through another gateway to one of
//! them proves the fault.
//!
//! Invariant: without a connection through another gateway, failures are a suspicion only: they
//! change the order of paths, but no duty is given up for them.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;

use crate::quarantine::IncarnationHash;

/// Number of distinct back ends that must be unreachable before the gateway's links are suspected.
const MIN_UNREACHABLE: usize = 2;
/// Time after which a failed connection says nothing about the present, in milliseconds.
const FAILURE_LIFETIME_MS: u64 = 5_000;
/// Minimum time between two direct connections that only probe the links, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;
/// Time for which the links must be at fault before a duty that needs them is given up, in
/// milliseconds.
const MIN_CUT_OFF_MS: u64 = 400;

/// The order in which the paths to a back end are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathOrder {
    /// A direct connection, and another gateway if there is no quick reply.
    DirectFirst,
    /// Another gateway, and a direct connection if that fails.
    PeersFirst,
}

/// A failed direct connection to a back end.
#[derive(Clone, Copy, Debug)]
struct DirectFailure {
    /// The first failure since the last success.
    first: Timestamp,
    latest: Timestamp,
    /// When another gateway reached the back end since the first failure.
    bridged: Option<Timestamp>,
}

impl DirectFailure {
    fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.latest) < FAILURE_LIFETIME_MS
    }
}

/// What a gateway knows of its links to the back ends.
#[derive(Debug, Default)]
pub struct Reachability {
    failures: HashMap<IncarnationHash, DirectFailure>,
    last_direct: Option<Timestamp>,
    last_probe: Option<Timestamp>,
}

impl Reachability {
    /// Records a direct connection to a back end.
    pub fn record_direct(&mut self, now: Timestamp, back_end: IncarnationHash) {
        self.failures.remove(&back_end);
        self.last_direct = Some(now);
    }

    /// Records a direct connection that failed, or that had no reply when another gateway reached
    /// the back end.
    pub fn record_direct_failure(&mut self, now: Timestamp, back_end: IncarnationHash) {
        self.failures.retain(|_, failure| failure.is_current(now));
        let failure = self.failures.entry(back_end).or_insert(DirectFailure {
            first: now,
            latest: now,
            bridged: None,
        });
        failure.latest = now;
    }

    /// Records that another gateway reached a back end.
    pub fn record_bridged(&mut self, now: Timestamp, back_end: IncarnationHash) {
        if let Some(failure) = self.failures.get_mut(&back_end) {
            failure.bridged = Some(now);
        }
    }

    /// Since when the gateway's links are suspected; `None` if they are not.
    pub fn suspect_since(&self, now: Timestamp) -> Option<Timestamp> {
        let unreachable = || self.unreachable_since_last_success(now);
        if unreachable().count() < MIN_UNREACHABLE {
            return None;
        }
        let last = self.last_direct.unwrap_or_default();
        unreachable().map(|failure| failure.first.max(last)).min()
    }

    /// Whether the gateway's links are at fault: several back ends are unreachable, and another
    /// gateway reaches one of them.
    pub fn is_cut_off(&self, now: Timestamp) -> bool {
        let Some(since) = self.suspect_since(now) else {
            return false;
        };
        let is_bridged = |failure: &DirectFailure| failure.bridged.is_some();
        now.since(since) >= MIN_CUT_OFF_MS
            && self.unreachable_since_last_success(now).any(is_bridged)
    }

    /// The order of paths for the next connection to a back end.
    pub fn path_order(&self, now: Timestamp, back_end: IncarnationHash) -> PathOrder {
        let failure = self.failures.get(&back_end);
        let is_bridged =
            failure.is_some_and(|failure| failure.is_current(now) && failure.bridged.is_some());
        if is_bridged || self.suspect_since(now).is_some() {
            PathOrder::PeersFirst
        } else {
            PathOrder::DirectFirst
        }
    }

    /// Whether a direct connection should probe the links now. If so, the next probe is due after
    /// the probe interval.
    pub fn take_probe(&mut self, now: Timestamp) -> bool {
        let is_due = self
            .last_probe
            .is_none_or(|last| now.since(last) >= PROBE_INTERVAL_MS);
        if is_due {
            self.last_probe = Some(now);
        }
        is_due
    }

    fn unreachable_since_last_success(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = &DirectFailure> {
        let last = self.last_direct;
        self.failures.values().filter(move |failure| {
            failure.is_current(now) && last.is_none_or(|last| failure.latest > last)
        })
    }
}
