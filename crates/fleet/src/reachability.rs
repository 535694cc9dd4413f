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
//! Invariants: without a connection through another gateway, failures are a suspicion only, and no
//! duty is given up for them. A suspicion withholds direct connections only from back ends that were
//! silent themselves, because a direct connection to another one is what would end it.

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
    /// Other gateways only; a direct connection only probes the links.
    PeersOnly,
}

/// How a direct connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectFailureKind {
    /// The address refused it, which takes no longer than a connection.
    Refused,
    /// There was no reply, or none before another gateway reached the back end.
    Silent,
}

/// A failed direct connection to a back end.
#[derive(Clone, Copy, Debug)]
struct DirectFailure {
    /// The first failure since the last success.
    first: Timestamp,
    latest: Timestamp,
    /// How the latest connection failed.
    kind: DirectFailureKind,
    /// When another gateway first reached the back end since the first failure.
    bridged: Option<Timestamp>,
    /// When another gateway, which reaches others, last was refused by the back end too.
    confirmed: Option<Timestamp>,
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
    pub fn record_direct_failure(
        &mut self,
        now: Timestamp,
        back_end: IncarnationHash,
        kind: DirectFailureKind,
    ) {
        self.failures.retain(|_, failure| failure.is_current(now));
        let failure = self.failures.entry(back_end).or_insert(DirectFailure {
            first: now,
            latest: now,
            kind,
            bridged: None,
            confirmed: None,
        });
        failure.latest = now;
        failure.kind = kind;
    }

    /// Records that another gateway reached a back end.
    pub fn record_bridged(&mut self, now: Timestamp, back_end: IncarnationHash) {
        if let Some(failure) = self.failures.get_mut(&back_end) {
            failure.bridged.get_or_insert(now);
            failure.confirmed = None;
        }
    }

    /// Records that another gateway, which reaches others, was refused by a back end too.
    pub fn record_confirmed(&mut self, now: Timestamp, back_end: IncarnationHash) {
        if let Some(failure) = self.failures.get_mut(&back_end) {
            failure.confirmed = Some(now);
            // Whoever reached the back end did so before it ended.
            failure.bridged = None;
        }
    }

    /// Whether another gateway has confirmed recently that the back end refuses connections.
    pub fn is_confirmed(&self, now: Timestamp, back_end: IncarnationHash) -> bool {
        let confirmed = self.failures.get(&back_end).and_then(|it| it.confirmed);
        confirmed.is_some_and(|at| now.since(at) < FAILURE_LIFETIME_MS)
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

    /// Since when the gateway's links are known to be at fault: several back ends are unreachable,
    /// and another gateway reaches one of them. `None` if this is not known.
    pub fn faulty_since(&self, now: Timestamp) -> Option<Timestamp> {
        self.suspect_since(now)?;
        let unreachable = self.unreachable_since_last_success(now);
        unreachable.filter_map(|failure| failure.bridged).min()
    }

    /// Whether the links have been at fault for so long that duties which need them are given up.
    pub fn is_cut_off(&self, now: Timestamp) -> bool {
        let suspect_since = self.suspect_since(now);
        self.faulty_since(now).is_some()
            && suspect_since.is_some_and(|since| now.since(since) >= MIN_CUT_OFF_MS)
    }

    /// The order of paths for the next connection to a back end.
    pub fn path_order(&self, now: Timestamp, back_end: IncarnationHash) -> PathOrder {
        if self.faulty_since(now).is_some() {
            return PathOrder::PeersOnly;
        }
        let failure = self.failures.get(&back_end);
        match failure.filter(|failure| failure.is_current(now)) {
            Some(failure) if failure.bridged.is_some() => PathOrder::PeersFirst,
            Some(failure)
                if failure.kind == DirectFailureKind::Silent
                    && self.suspect_since(now).is_some() =>
            {
                PathOrder::PeersOnly
            }
            _ => PathOrder::DirectFirst,
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
