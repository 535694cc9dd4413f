//! Software versions of back ends, and the versions that began streams.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, join, select};
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::stream_origins::KeeperGroup;
use gorsebank_fleet::{OriginRecord, RowEvidence, SoftwareVersions, StreamKey};
use gorsebank_world::{ServiceId, SoftwareVersion};
use tokio::time::timeout;

use super::Shared;
use crate::feed::on_demand;
use crate::stream_origin_rows;
use crate::stream_origins::{self, OriginAnswer, OriginRequest, SenderContext};

/// How far another gateway may be behind the table when it begins a stream. It may then use a back end
/// whose row was removed that long ago, so a version is remembered for longer than a stream lasts.
const MAX_GATEWAY_LAG_MS: u64 = 480_000;
/// How long a request to take up a stream waits for the rows of back ends to be verified. A read of
/// the table takes some milliseconds, and an update of the regular kind arrives within this time.
const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a question of another gateway: shorter than that one waits for the answer.
const ANSWER_VERIFICATION_TIMEOUT: Duration = Duration::from_millis(250);

/// How the version that began a stream was found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This gateway has a record of the stream.
    OwnRecord,
    /// Another gateway has one.
    KeeperRecord,
    /// The table has one.
    StoredRecord,
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
            OriginSource::StoredRecord => "stored_record",
            OriginSource::OnlyVersion => "only_version",
            OriginSource::KeeperOnlyVersion => "keeper_only_version",
        }
    }
}

/// Why it is not known which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// Nobody has a record, and the service may have had several versions.
    NoRecord,
    /// Nobody has a record. Only one version is known, but others may have appeared meanwhile.
    Unverified,
}

impl UnknownOrigin {
    /// Value for log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            UnknownOrigin::NoRecord => "unknown",
            UnknownOrigin::Unverified => "unverified",
        }
    }
}

impl Shared {
    /// Whether the rows of back ends are as new as the propagation bound demands. Only then do the processes
    /// certainly have the versions of their rows: a back end may keep its name over a restart.
    pub fn are_rows_current(&self) -> bool {
        let bound = self.settings.bounds.propagation_bound;
        let age = self.feed.verified_age(self.platform.tables().back_ends);
        age.is_some_and(|age| age <= bound)
    }

    /// Whether the service is known to have had several versions for as long as a stream lasts.
    pub fn has_mixed_versions(&self, service: &ServiceId) -> bool {
        let period = self.longest_stream_ms(service);
        self.read_versions(|versions, now| versions.is_mixed(now, period, service))
    }

    /// The same for any service.
    pub fn has_mixed_versions_of_any(&self) -> bool {
        self.configuration().is_some_and(|configuration| {
            let mut services = configuration.service_ids();
            services.any(|service| self.has_mixed_versions(service))
        })
    }

    /// The only version that the service has had for long enough, as of the rows that this gateway
    /// knows; `None` if there were several, or if this gateway is not certain. Streams may have begun
    /// at later versions: see [`Shared::only_origin`].
    fn only_version(&self, service: &ServiceId) -> Option<SoftwareVersion> {
        let period = self.origin_period_ms(service);
        let read =
            |versions: &SoftwareVersions, now| versions.only_version(now, period, service).cloned();
        self.are_rows_current().then(|| self.read_versions(read))?
    }

    /// The version that began each stream of the service which is taken up now, if only one can have.
    /// Waits for at most `time_limit` until the rows of back ends are verified for a moment after the
    /// request.
    async fn only_origin(
        &self,
        service: &ServiceId,
        time_limit: Duration,
    ) -> Option<SoftwareVersion> {
        if self.has_mixed_versions(service) {
            return None;
        }
        let asked_at = self.clock.since_boot();
        let tables = self.platform.tables();
        let verified = join(
            on_demand::wait_until_verified(self, tables.back_ends, asked_at),
            on_demand::wait_until_verified(self, tables.lease, asked_at),
        );
        // After a timeout, the evidence is not sufficient.
        let _ = timeout(time_limit, verified).await;
        let verified_at = |table| self.feed.verified_at(table);
        let evidence = RowEvidence {
            asked_at,
            verified_at: verified_at(tables.back_ends).min(verified_at(tables.lease)),
        };
        let period = self.origin_period_ms(service);
        self.read_versions(|versions, now| {
            versions
                .only_origin(now, period, service, evidence)
                .cloned()
        })
    }

    /// The same for a stream whose caller does not name its first request.
    pub async fn origin_of_unnamed(&self, service: &ServiceId) -> Option<SoftwareVersion> {
        self.only_origin(service, VERIFICATION_TIMEOUT).await
    }

    fn read_versions<T>(&self, read: impl FnOnce(&SoftwareVersions, Timestamp) -> T) -> T {
        let now = self.now();
        self.directory(|directory| read(directory.software_versions(), now))
    }

    /// Time for which all versions must be known to tell which one began a stream.
    fn origin_period_ms(&self, service: &ServiceId) -> u64 {
        let longest = self.longest_stream_ms(service);
        longest.saturating_add(MAX_GATEWAY_LAG_MS)
    }

    /// Time for which records of streams of any service are needed, in milliseconds.
    pub fn longest_stream_of_any_ms(&self) -> u64 {
        let configuration = self.configuration();
        let longest = configuration.map(|known| known.longest_stream_of_any());
        longest.unwrap_or(Duration::MAX).as_millis() as u64
    }

    /// Time for which a software version of any service counts after its last back end has left.
    pub fn longest_origin_period_ms(&self) -> u64 {
        self.longest_stream_of_any_ms()
            .saturating_add(MAX_GATEWAY_LAG_MS)
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

    /// Finds the version that began a stream: from a record of it, or because no other version can
    /// have begun it.
    ///
    /// # Errors
    ///
    /// Fails if neither a gateway nor the table has a record, and no gateway that answers in time is
    /// certain of the version.
    pub async fn find_origin(
        &self,
        service: &ServiceId,
        stream: StreamKey,
    ) -> Result<(SoftwareVersion, OriginSource), UnknownOrigin> {
        let unknown = match self.find_origin_at_gateways(service, stream).await {
            Ok(found) => return Ok(found),
            Err(unknown) => unknown,
        };
        stream_origin_rows::learn_stored(self).await;
        let stored = self.stream_origins.version(self.now(), stream);
        let version = stored.ok_or(unknown)?;
        Ok((version, OriginSource::StoredRecord))
    }

    async fn find_origin_at_gateways(
        &self,
        service: &ServiceId,
        stream: StreamKey,
    ) -> Result<(SoftwareVersion, OriginSource), UnknownOrigin> {
        if let Some(version) = self.stream_origins.version(self.now(), stream) {
            return Ok((version, OriginSource::OwnRecord));
        }
        let is_mixed = self.has_mixed_versions(service);
        let request = OriginRequest {
            stream,
            service: service.clone(),
            // Other gateways may know the past that this one does not. Several versions are known to it
            // already, and one version it verifies itself.
            wants_only_version: !is_mixed && self.only_version(service).is_none(),
        };
        let keepers = self.origin_keepers(stream.keeper_group()).to_ask;
        let client = self.table().client();
        let asking = pin!(stream_origins::ask(client, &keepers, request));
        let verifying = pin!(self.only_origin(service, VERIFICATION_TIMEOUT));
        let (answer, only_version) = match select(asking, verifying).await {
            Either::Left((answer, _)) if answer.version.is_some() => (answer, None),
            Either::Left((answer, verifying)) => (answer, verifying.await),
            Either::Right((Some(only), _)) => (OriginAnswer::default(), Some(only)),
            Either::Right((None, asking)) => (asking.await, None),
        };
        let keeper_only_version = answer.only_version.filter(|_| answer.is_verified);
        let record = answer.version.map(|it| (it, OriginSource::KeeperRecord));
        record
            .or(only_version.map(|it| (it, OriginSource::OnlyVersion)))
            .or(keeper_only_version.map(|it| (it, OriginSource::KeeperOnlyVersion)))
            .ok_or(if is_mixed {
                UnknownOrigin::NoRecord
            } else {
                UnknownOrigin::Unverified
            })
    }

    /// Answers another gateway's question for the version that began a stream.
    pub async fn answer_origin(&self, request: &OriginRequest) -> OriginAnswer {
        let version = self.stream_origins.version(self.now(), request.stream);
        if version.is_some() || !request.wants_only_version {
            return OriginAnswer {
                version,
                ..OriginAnswer::default()
            };
        }
        let verifying = self.only_origin(&request.service, ANSWER_VERIFICATION_TIMEOUT);
        let only_version = verifying.await;
        OriginAnswer {
            version: None,
            is_verified: only_version.is_some(),
            only_version,
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

    fn storing_gateway(&self) -> Option<SocketAddr> {
        let is_own = self.holder().as_ref() == Some(&self.settings.node);
        if is_own { None } else { self.holder_address() }
    }
}
