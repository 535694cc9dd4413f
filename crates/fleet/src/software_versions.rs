//! Software versions of the back ends of each service, present and past.
//!
//! Input: back ends that appear and disappear, and the table's list of versions
//! ([`crate::version_history`]). Output: whether a service has had back ends of one version only for
//! some time, so that this version wrote every stream that may be taken up, and the list that the
//! table should hold.
//!
//! Invariant: a gateway begins streams only at back ends whose rows are or were in the table. So the
//! version that began a stream is known to whoever knows all rows that the table has held until a
//! moment after the stream's first event. A gateway that is younger knows them from the list.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gorsebank_contract::era_of;
use gorsebank_coordination::Timestamp;
use gorsebank_world::{ServiceId, SoftwareVersion};

use crate::version_history::{KnownHistory, VersionHistoryRow};

/// Time without back ends of a version after which it is listed as gone, in milliseconds. Back ends
/// that restart are back sooner, and cost no writes then.
const DEPARTURE_DELAY_MS: u64 = 10_000;
/// Time for which a version without back ends is remembered, in milliseconds.
const RETENTION_MS: u64 = 1_200_000;

/// Presence of one software version.
#[derive(Clone, Copy, Debug, Default)]
struct Presence {
    /// Number of back ends.
    count: usize,
    /// When the last back end disappeared.
    gone_at: Option<Timestamp>,
}

impl Presence {
    /// Whether the last back end disappeared within the last `period_ms`.
    fn is_recent(&self, now: Timestamp, period_ms: u64) -> bool {
        self.gone_at.is_some_and(|at| now.since(at) < period_ms)
    }
}

/// Software versions of all services.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    services: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Presence>>,
    /// Since when all back ends are known; `None` before the table has been read.
    known_since: Option<Timestamp>,
    /// Whether all earlier versions are known too, because this gateway is as old as the deployment or
    /// has read them from the table's list.
    is_past_known: bool,
    /// The table's list.
    listed: KnownHistory,
}

/// How current the rows of back ends and the list of versions are when a gateway is asked which version
/// began a stream. Both moments are times since the machine started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowEvidence {
    /// When the request to take up the stream had arrived.
    pub asked_at: Duration,
    /// The latest moment for which all of them are known; `None` if there is none.
    pub verified_at: Option<Duration>,
}

impl RowEvidence {
    /// Whether the rows include each version that can have begun the stream.
    pub fn is_sufficient(&self) -> bool {
        self.verified_at.is_some_and(|at| at >= self.asked_at)
    }
}

impl SoftwareVersions {
    /// Records that all back ends are known from `since` on, unless those of an earlier time are.
    pub fn set_known_since(&mut self, since: Timestamp) {
        self.known_since.get_or_insert(since);
    }

    /// Records that no stream is older than this gateway, or that it knows all versions of the time
    /// before.
    pub fn set_complete(&mut self) {
        self.is_past_known = true;
    }

    /// Records a back end that has appeared.
    pub fn add(&mut self, service: &ServiceId, version: &SoftwareVersion) {
        let versions = self.services.entry(service.clone()).or_default();
        versions.entry(version.clone()).or_default().count += 1;
    }

    /// Records a back end that has disappeared.
    pub fn remove(&mut self, now: Timestamp, service: &ServiceId, version: &SoftwareVersion) {
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        if let Some(presence) = versions.get_mut(version) {
            presence.count = presence.count.saturating_sub(1);
            presence.gone_at = Some(now);
        }
        let is_recent = |at: Timestamp| now.since(at) < RETENTION_MS;
        versions.retain(|_, it| it.count > 0 || it.gone_at.is_some_and(is_recent));
    }

    /// Records a version whose back end is not in use.
    pub fn observe(&mut self, now: Timestamp, service: &ServiceId, version: &SoftwareVersion) {
        self.add(service, version);
        self.remove(now, service, version);
    }

    /// Records the table's list as read at `now` at a revision; `None` if there is none, or if it cannot
    /// be parsed.
    pub fn record_list(&mut self, now: Timestamp, row: Option<VersionHistoryRow>, revision: u64) {
        let known = self.listed.row();
        let continues = row.is_some() && era_of(revision) == era_of(self.listed.revision());
        // Versions of a list that was lost may have begun streams all the same.
        let lost = if continues {
            VersionHistoryRow::default()
        } else {
            known.clone()
        };
        for (service, versions) in &lost.services {
            let versions = versions.keys();
            versions.for_each(|version| self.observe(now, service, version));
        }
        self.listed.record(now, row, revision);
    }

    /// Revision of the table's list; 0 if there is none.
    pub fn list_revision(&self) -> u64 {
        self.listed.revision()
    }

    /// Whether the table's list includes every version that may have begun a stream.
    pub fn is_list_complete(&self) -> bool {
        self.listed.is_complete()
    }

    /// Whether the version is listed as serving, so that gateways which start later know of it. True if
    /// there is no complete list.
    pub fn is_listed(&self, service: &ServiceId, version: &SoftwareVersion) -> bool {
        !self.listed.is_complete() || self.listed.is_serving(service, version)
    }

    /// The list that the table should hold, apart from its era; `None` if it does already, or if this
    /// gateway does not know enough. A version counts for `period_ms` after it has left.
    pub fn list_to_write(&self, now: Timestamp, period_ms: u64) -> Option<VersionHistoryRow> {
        let known_since = self.known_since?;
        if !self.knows_past(now, period_ms) {
            return None;
        }
        let mut row = self.listed.row().clone();
        self.list_recent(now, &mut row, period_ms);
        for (service, versions) in &self.services {
            let serving = versions.iter().filter(|(_, it)| it.count > 0);
            serving.for_each(|(version, _)| row.start(service, version));
        }
        self.list_departures(now, known_since, &mut row, period_ms);
        let is_current = self.listed.is_complete() && row == *self.listed.row();
        (!is_current).then_some(row)
    }

    /// Lists versions that have left recently, and were not listed while they served.
    fn list_recent(&self, now: Timestamp, row: &mut VersionHistoryRow, period_ms: u64) {
        for (service, versions) in &self.services {
            for (version, presence) in versions {
                let has_left = presence.count == 0 && presence.is_recent(now, period_ms);
                if has_left && row.listed(service, version).is_none() {
                    row.leave(service, version);
                }
            }
        }
    }

    /// Lists versions without back ends as gone, and removes those that have been gone for long enough.
    fn list_departures(
        &self,
        now: Timestamp,
        known_since: Timestamp,
        row: &mut VersionHistoryRow,
        period_ms: u64,
    ) {
        for (service, versions) in &self.listed.row().services {
            for (version, listed) in versions {
                let presence = self.presence(service, version);
                if presence.is_some_and(|it| it.count > 0) {
                    continue;
                }
                let gone_at = presence.and_then(|it| it.gone_at).unwrap_or(known_since);
                let is_gone = now.since(gone_at) >= DEPARTURE_DELAY_MS;
                if listed.is_serving && is_gone {
                    row.leave(service, version);
                } else if self.listed.is_gone_for(now, period_ms, service, version) {
                    row.forget(service, version);
                }
            }
        }
    }

    fn presence(&self, service: &ServiceId, version: &SoftwareVersion) -> Option<&Presence> {
        self.services.get(service)?.get(version)
    }

    /// Whether the service is known to have had back ends of several versions within the last
    /// `period_ms`.
    pub fn is_mixed(&self, now: Timestamp, period_ms: u64, service: &ServiceId) -> bool {
        self.versions(now, period_ms, service).nth(1).is_some()
    }

    /// The only version of the service's back ends within the last `period_ms`; `None` if there were
    /// several or none, or if not all back ends of that time are known.
    pub fn only_version<'a>(
        &'a self,
        now: Timestamp,
        period_ms: u64,
        service: &'a ServiceId,
    ) -> Option<&'a SoftwareVersion> {
        let mut versions = self.versions(now, period_ms, service);
        let only = versions.next()?;
        let is_only = versions.next().is_none();
        (is_only && self.knows_past(now, period_ms)).then_some(only)
    }

    /// Whether all versions within the last `period_ms` are known.
    fn knows_past(&self, now: Timestamp, period_ms: u64) -> bool {
        let is_old_enough = |since: Timestamp| now.since(since) >= period_ms;
        self.is_past_known
            || self.listed.is_complete()
            || self.known_since.is_some_and(is_old_enough)
    }

    /// The version that began each stream of the service that callers have asked to take up, if only
    /// one can have; `None` if there were several, or if `evidence` does not exclude others.
    pub fn only_origin<'a>(
        &'a self,
        now: Timestamp,
        period_ms: u64,
        service: &'a ServiceId,
        evidence: RowEvidence,
    ) -> Option<&'a SoftwareVersion> {
        self.only_version(now, period_ms, service)
            .filter(|_| evidence.is_sufficient())
    }

    fn versions<'a>(
        &'a self,
        now: Timestamp,
        period_ms: u64,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let own = self.services.get(service).into_iter().flatten();
        let own = own.filter(move |(_, it)| it.count > 0 || it.is_recent(now, period_ms));
        let own = own.map(|(version, _)| version);
        let versions: BTreeSet<&SoftwareVersion> = own
            .chain(self.listed.recent(now, period_ms, service))
            .collect();
        versions.into_iter()
    }
}
