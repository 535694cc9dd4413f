//! The software versions that each service has had, as a row of the table lists them, so that they
//! outlast every gateway.
//!
//! Input: the row as it is read. Output: the versions that may have begun a stream which is still
//! taken up, and whether the row lists them all.
//!
//! Invariants: a version is listed as serving before gateways prefer it for new streams. A version
//! that has left stays listed until a gateway has seen it as gone for as long as a stream lasts. No
//! clocks are compared between machines: each gateway counts from when it first saw that the version
//! had left. The row names the era of the table for which it is complete, since a table that was
//! restored from an older copy may lack versions.

use std::collections::BTreeMap;

use gorsebank_contract::era_of;
use gorsebank_coordination::Timestamp;
use gorsebank_world::{ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// The row with the versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHistoryRow {
    /// The era of the table for which the row lists all versions.
    pub era: u64,
    /// The versions of each service.
    pub services: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, ListedVersion>>,
}

/// A version in the row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVersion {
    /// Number of times that the version has begun to serve, so that a version that returned and left
    /// again is told from one that has been gone since.
    pub starts: u32,
    /// Whether the version has back ends.
    pub is_serving: bool,
}

impl VersionHistoryRow {
    /// The versions of a service that the row lists.
    pub fn versions(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = (&SoftwareVersion, ListedVersion)> {
        let versions = self.services.get(service).into_iter().flatten();
        versions.map(|(version, listed)| (version, *listed))
    }

    /// What the row lists about a version.
    pub fn listed(&self, service: &ServiceId, version: &SoftwareVersion) -> Option<ListedVersion> {
        self.services.get(service)?.get(version).copied()
    }

    /// Lists a version as serving.
    pub fn start(&mut self, service: &ServiceId, version: &SoftwareVersion) {
        let versions = self.services.entry(service.clone()).or_default();
        let listed = versions.entry(version.clone()).or_default();
        if !listed.is_serving {
            listed.starts = listed.starts.saturating_add(1);
            listed.is_serving = true;
        }
    }

    /// Lists a version as gone.
    pub fn leave(&mut self, service: &ServiceId, version: &SoftwareVersion) {
        self.start(service, version);
        let versions = self.services.get_mut(service);
        if let Some(listed) = versions.and_then(|it| it.get_mut(version)) {
            listed.is_serving = false;
        }
    }

    /// Removes a version.
    pub fn forget(&mut self, service: &ServiceId, version: &SoftwareVersion) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.remove(version);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}

/// The row as a gateway knows it.
#[derive(Clone, Debug, Default)]
pub struct KnownHistory {
    row: VersionHistoryRow,
    /// Revision of the row; 0 if there is none.
    revision: u64,
    /// Whether the row lists all versions as of the era in which it was read.
    is_complete: bool,
    /// When this gateway first saw that a listed version was gone, and after how many starts.
    gone: BTreeMap<(ServiceId, SoftwareVersion), (u32, Timestamp)>,
}

impl KnownHistory {
    /// Records the row as read at `now` at a revision; `None` if there is no such row, or if it cannot be
    /// parsed.
    pub fn record(&mut self, now: Timestamp, row: Option<VersionHistoryRow>, revision: u64) {
        let is_of_era = |row: &VersionHistoryRow| row.era == era_of(revision);
        self.is_complete = row.as_ref().is_some_and(is_of_era);
        self.revision = revision;
        self.row = row.unwrap_or_default();
        let mut gone = BTreeMap::new();
        for (service, versions) in &self.row.services {
            for (version, listed) in versions.iter().filter(|(_, it)| !it.is_serving) {
                let key = (service.clone(), version.clone());
                let known = self.gone.get(&key).copied();
                let known = known.filter(|(starts, _)| *starts == listed.starts);
                gone.insert(key, known.unwrap_or((listed.starts, now)));
            }
        }
        self.gone = gone;
    }

    /// Whether the row lists every version that may have begun a stream.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// The row.
    pub fn row(&self) -> &VersionHistoryRow {
        &self.row
    }

    /// Revision of the row in the table; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a version is listed as serving.
    pub fn is_serving(&self, service: &ServiceId, version: &SoftwareVersion) -> bool {
        let listed = self.row.listed(service, version);
        listed.is_some_and(|listed| listed.is_serving)
    }

    /// The listed versions of a service that serve, or did so within the last `period_ms`.
    pub fn recent<'a>(
        &'a self,
        now: Timestamp,
        period_ms: u64,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let versions = self.row.versions(service);
        let recent = versions.filter(move |(version, listed)| {
            listed.is_serving || !self.is_gone_for(now, period_ms, service, version)
        });
        recent.map(|(version, _)| version)
    }

    /// Whether this gateway has seen for `period_ms` that a listed version is gone.
    pub fn is_gone_for(
        &self,
        now: Timestamp,
        period_ms: u64,
        service: &ServiceId,
        version: &SoftwareVersion,
    ) -> bool {
        let gone = self.gone.get(&(service.clone(), version.clone()));
        gone.is_some_and(|(_, since)| now.since(*since) >= period_ms)
    }
}
