//! Software versions of the back ends of each service, present and past.
//!
//! Input: back ends that appear and disappear. Output: whether a service has had back ends of one
//! version only for some time, so that this version wrote every stream that may be taken up.
//!
//! Invariant: a gateway begins streams only at back ends whose rows are or were in the table. So the
//! version that began a stream is known to whoever knows all rows that the table has held until a
//! moment after the stream's first event.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{ServiceId, SoftwareVersion};

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

/// Software versions of all services.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    services: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Presence>>,
    history: History,
}

/// How current the rows of back ends are when a gateway is asked which version began a stream. Both
/// moments are times since the machine started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowEvidence {
    /// When the request to take up the stream had arrived.
    pub asked_at: Duration,
    /// The latest moment for which all rows of the table are known; `None` if there is none.
    pub verified_at: Option<Duration>,
}

impl RowEvidence {
    /// Whether the rows include each version that can have begun the stream.
    pub fn is_sufficient(&self) -> bool {
        self.verified_at.is_some_and(|at| at >= self.asked_at)
    }
}

/// Back ends of which time are known.
#[derive(Clone, Copy, Debug, Default)]
enum History {
    /// The table has not been read yet.
    #[default]
    Unknown,
    /// Those since a time.
    Since(Timestamp),
    /// All, because this gateway is as old as the deployment.
    Complete,
}

impl SoftwareVersions {
    /// Records that all back ends are known from `since` on, unless those of an earlier time are.
    pub fn set_known_since(&mut self, since: Timestamp) {
        if matches!(self.history, History::Unknown) {
            self.history = History::Since(since);
        }
    }

    /// Records that no stream is older than this gateway.
    pub fn set_complete(&mut self) {
        self.history = History::Complete;
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

    /// Whether the service is known to have had back ends of several versions within the last
    /// `period_ms`.
    pub fn is_mixed(&self, now: Timestamp, period_ms: u64, service: &ServiceId) -> bool {
        self.versions(now, period_ms, service).nth(1).is_some()
    }

    /// The only version of the service's back ends within the last `period_ms`; `None` if there were
    /// several or none, or if not all back ends of that time are known.
    pub fn only_version(
        &self,
        now: Timestamp,
        period_ms: u64,
        service: &ServiceId,
    ) -> Option<&SoftwareVersion> {
        let is_known = match self.history {
            History::Unknown => false,
            History::Since(since) => now.since(since) >= period_ms,
            History::Complete => true,
        };
        self.only_known_version(now, period_ms, service)
            .filter(|_| is_known)
    }

    /// Same as [`SoftwareVersions::only_version`], as far as the back ends of that time are known.
    pub fn only_known_version(
        &self,
        now: Timestamp,
        period_ms: u64,
        service: &ServiceId,
    ) -> Option<&SoftwareVersion> {
        let mut versions = self.versions(now, period_ms, service);
        let only = versions.next()?;
        versions.next().is_none().then_some(only)
    }

    /// The version that began each stream of the service that callers have asked to take up, if only
    /// one can have; `None` if there were several, or if `evidence` does not exclude others.
    pub fn only_origin(
        &self,
        now: Timestamp,
        period_ms: u64,
        service: &ServiceId,
        evidence: RowEvidence,
    ) -> Option<&SoftwareVersion> {
        self.only_version(now, period_ms, service)
            .filter(|_| evidence.is_sufficient())
    }

    fn versions(
        &self,
        now: Timestamp,
        period_ms: u64,
        service: &ServiceId,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let is_recent = move |at: Timestamp| now.since(at) < period_ms;
        let versions = self.services.get(service).into_iter().flatten();
        versions
            .filter(move |(_, it)| it.count > 0 || it.gone_at.is_some_and(is_recent))
            .map(|(version, _)| version)
    }
}
