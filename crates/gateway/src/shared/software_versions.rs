//! Software versions of back ends, and the versions that began streams.

use std::net::SocketAddr;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::stream_origins::KeeperGroup;
use gorsebank_fleet::{OriginRecord, StreamKey};
use gorsebank_world::{ServiceId, SoftwareVersion};

use super::Shared;
use crate::back_end::BackEnd;
use crate::stream_origins::{self, OriginAnswer, OriginRequest, SenderContext};

/// Age up to which the rows of a service with one version still tell its version: a release takes longer.
const MAX_UNMIXED_ROW_AGE: Duration = Duration::from_secs(10);

/// How the version that began a stream was found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This gateway has a record of the stream.
    OwnRecord,
    /// Another gateway has one.
    KeeperRecord,
    /// The service has had one version only, as this gateway knows.
    OnlyVersion,
    /// The service has had one version only, as another gateway knows.
    KeeperOnlyVersion,
}

impl OriginSource {
    /// Value for log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            OriginSource::OwnRecord => "own_record",
            OriginSource::KeeperRecord => "keeper_record",
            OriginSource::OnlyVersion => "only_version",
            OriginSource::KeeperOnlyVersion => "keeper_only_version",
        }
    }
}

impl Shared {
    /// Time since the table is known to have held no newer rows of back ends; `None` if it never was.
    fn row_age(&self) -> Option<Duration> {
        self.feed.verified_age(self.platform.tables().back_ends)
    }

    /// Whether the rows of back ends are as new as the propagation bound demands.
    fn are_rows_current(&self) -> bool {
        let bound = self.settings.bounds.propagation_bound;
        self.row_age().is_some_and(|age| age <= bound)
    }

    /// Whether the process behind a back end's address certainly has the version of its row. Back ends
    /// that announce their start time keep their name over a restart, at which the version may change.
    pub fn is_version_certain(&self, back_end: &BackEnd) -> bool {
        if back_end.born.is_none() || self.are_rows_current() {
            return true;
        }
        let is_recent = self.row_age().is_some_and(|age| age <= MAX_UNMIXED_ROW_AGE);
        is_recent && !self.has_mixed_versions(&back_end.service)
    }

    /// Whether the service is known to have had several versions for as long as a stream lasts.
    pub fn has_mixed_versions(&self, service: &ServiceId) -> bool {
        let (now, period) = (self.now(), self.longest_stream_ms(service));
        self.directory(|directory| {
            let versions = directory.software_versions();
            versions.is_mixed(now, period, service)
        })
    }

    /// The only version that the service has had for as long as a stream lasts; `None` if there were
    /// several, or if this gateway is not certain.
    fn only_version(&self, service: &ServiceId) -> Option<SoftwareVersion> {
        if !self.are_rows_current() {
            return None;
        }
        let (now, period) = (self.now(), self.longest_stream_ms(service));
        self.directory(|directory| {
            let versions = directory.software_versions();
            versions.only_version(now, period, service).cloned()
        })
    }

    fn longest_stream_ms(&self, service: &ServiceId) -> u64 {
        let configuration = self.configuration();
        let longest = configuration.map(|known| known.longest_stream(service));
        longest.unwrap_or(Duration::MAX).as_millis() as u64
    }

    /// Records the version that began a stream, here and at the keepers of the record.
    pub fn record_origin(&self, service: &ServiceId, stream: StreamKey, version: &SoftwareVersion) {
        let record = OriginRecord {
            stream,
            version: version.clone(),
            lifetime_ms: self.longest_stream_ms(service),
        };
        let may_be_mixed = self.only_version(service).is_none();
        self.stream_origins
            .record_own(self.now(), service, record, may_be_mixed);
    }

    /// Finds the version that began a stream; `None` if nobody knows it.
    pub async fn find_origin(
        &self,
        service: &ServiceId,
        stream: StreamKey,
    ) -> Option<(SoftwareVersion, OriginSource)> {
        if let Some(version) = self.stream_origins.version(self.now(), stream) {
            return Some((version, OriginSource::OwnRecord));
        }
        let request = OriginRequest {
            stream,
            service: service.clone(),
        };
        let keepers = self.origin_keepers(stream.keeper_group()).to_ask;
        let client = self.table().client();
        let answer = stream_origins::ask(client, &keepers, request).await;
        if let Some(version) = answer.version {
            return Some((version, OriginSource::KeeperRecord));
        }
        if let Some(version) = self.only_version(service) {
            return Some((version, OriginSource::OnlyVersion));
        }
        let only_version = answer.only_version?;
        Some((only_version, OriginSource::KeeperOnlyVersion))
    }

    /// Answers another gateway's question for the version that began a stream.
    pub fn answer_origin(&self, request: &OriginRequest) -> OriginAnswer {
        OriginAnswer {
            version: self.stream_origins.version(self.now(), request.stream),
            only_version: self.only_version(&request.service),
        }
    }
}

impl SenderContext for Shared {
    fn now(&self) -> Timestamp {
        Shared::now(self)
    }

    fn may_be_mixed(&self, service: &ServiceId) -> bool {
        self.only_version(service).is_none()
    }

    fn keepers(&self, group: KeeperGroup) -> Vec<SocketAddr> {
        self.origin_keepers(group).to_send
    }
}
