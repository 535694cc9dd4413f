//! Software versions of the back ends of each service, present and past.
//!
//! Input: back ends that appear and disappear. Output: whether a service has had back ends of one
//! version only for some time, so that this version wrote every stream that may be taken up.

use std::collections::BTreeMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{ServiceId, SoftwareVersion};

/// Time for which a version without back ends is remembered, in milliseconds.
const RETENTION_MS: u64 = 600_000;

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
        let mut versions = self.versions(now, period_ms, service);
        let only = versions.next().filter(|_| is_known)?;
        versions.next().is_none().then_some(only)
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
