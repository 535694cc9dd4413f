//! The back ends that may receive requests, and the models that each holds.
//!
//! Input: rows of discovery and of the placement holder, with their versions, and drain notices
//! from back ends and other gateways. Output: the candidates for a request. Of the two rows about
//! one back end, the newer row determines which models the back end holds. The table orders all
//! rows by one version counter.
//!
//! Invariants: a back end that has announced its drain stays draining until it restarts. A back end
//! without a row, or with an unreadable row, receives no new requests. State of one incarnation of
//! a back end never affects the next incarnation.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::{self, IncarnationHash};
use gorsebank_fleet::running::Counts;
use gorsebank_fleet::{
    BackEndReport, CopyTier, DrainNotice, DrainNotices, Holdings, Incarnation, IncarnationMatch,
    PlacedRow, SoftwareVersions, VersionHistoryRow,
};
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId, SoftwareVersion, ZoneId};

use rand::seq::IteratorRandom;

use crate::back_end::{BackEnd, SeenRow};

/// Time after the expected end of a load from which the load is no longer expected to succeed.
const LOAD_GRACE_MS: u64 = 3_000;

/// One back end with its rows.
#[derive(Debug)]
struct Entry {
    back_end: Arc<BackEnd>,
    incarnation: Incarnation,
    report: BackEndReport,
    version: u64,
    /// Version of the first row of this incarnation.
    first_version: u64,
    /// Whether the back end has announced its drain.
    is_draining: bool,
    /// Whether the newest row can be parsed. An unreadable row does not mean that the process has
    /// exited.
    is_readable: bool,
    /// A newer row that seems to belong to a previous incarnation. It is kept because it is current
    /// if the clock of the back end's machine was set back.
    deferred_row: Option<(BackEndReport, u64)>,
}

impl Entry {
    /// Creates the entry of an incarnation from its first row.
    fn new(zone: &ZoneId, report: BackEndReport, row: SeenRow) -> Self {
        let back_end = BackEnd::new(&report, report.zone == *zone);
        back_end.record_row(row);
        back_end.record_warm_up(row.seen + report.warm_up_left_ms);
        Entry {
            back_end: Arc::new(back_end),
            incarnation: Incarnation::new(report.born),
            version: row.version,
            first_version: row.version,
            is_draining: false,
            is_readable: true,
            deferred_row: None,
            report,
        }
    }

    /// Applies a newer row of the same incarnation.
    fn apply(&mut self, report: BackEndReport, row: SeenRow) {
        self.back_end.record_row(row);
        self.back_end
            .record_warm_up(row.seen + report.warm_up_left_ms);
        self.report = report;
        self.version = row.version;
        self.is_readable = true;
        self.deferred_row = None;
    }

    /// Marks the back end as draining.
    fn start_draining(&mut self) {
        self.is_draining = true;
        self.back_end.retire();
    }

    /// Whether the back end's rows allow new requests.
    fn is_active(&self) -> bool {
        !self.is_draining && self.is_readable
    }

    /// Whether the placement holder's row refers to this incarnation. A row without a start time,
    /// as gateways of earlier builds write it, does so if it is newer than the first row of this
    /// incarnation.
    fn matches_placed_row(&self, placed: &ReceivedPlacedRow) -> bool {
        match (placed.row.born, self.incarnation.born()) {
            (Some(named), Some(own)) => named == own,
            _ => placed.version > self.first_version || self.incarnation.born().is_none(),
        }
    }
}

#[derive(Debug)]
struct ReceivedPlacedRow {
    row: PlacedRow,
    version: u64,
    received: Timestamp,
}

/// Availability of a model at a service.
#[derive(Clone, Debug, Default)]
pub struct ModelAvailability {
    /// Back ends that hold the model and, if one is requested, the adapter.
    pub ready: Vec<Arc<BackEnd>>,
    /// Back ends that hold the model but not the adapter.
    pub without_adapter: Vec<Arc<BackEnd>>,
    /// Earliest expected end of a load in progress.
    pub loading_until: Option<Timestamp>,
    /// The fastest source from which a back end could load the model; `None` while none is known.
    pub nearest_copy: Option<CopyTier>,
}

impl ModelAvailability {
    fn add_copy(&mut self, copy: CopyTier) {
        self.nearest_copy = self.nearest_copy.max(Some(copy));
    }
}

/// All known back ends.
#[derive(Debug)]
pub struct Directory {
    zone: ZoneId,
    entries: HashMap<BackEndId, Entry>,
    placed: HashMap<BackEndId, ReceivedPlacedRow>,
    services: HashMap<ServiceId, Vec<BackEndId>>,
    /// Incarnations that have announced their drain, including those without a row.
    drain_notices: DrainNotices,
    /// Zones whose back ends receive no new requests.
    evacuated: BTreeSet<ZoneId>,
    /// Whether warm back ends are preferred to those that are warming up.
    prefers_warm: bool,
    software_versions: SoftwareVersions,
    /// Back ends whose row was removed without an announced drain.
    removed_without_drain: Vec<Arc<BackEnd>>,
}

impl Directory {
    /// Creates an empty directory of a gateway in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Directory {
            zone,
            entries: HashMap::new(),
            placed: HashMap::new(),
            services: HashMap::new(),
            drain_notices: DrainNotices::default(),
            evacuated: BTreeSet::new(),
            prefers_warm: false,
            software_versions: SoftwareVersions::default(),
            removed_without_drain: Vec::new(),
        }
    }

    /// Prefers warm back ends from now on, because back ends that are warming up fail under load.
    pub fn prefer_warm(&mut self) {
        self.prefers_warm = true;
    }

    /// Records that no stream is older than this gateway, or that it knows all versions of the time
    /// before.
    pub fn set_version_history_complete(&mut self) {
        self.software_versions.set_complete();
    }

    /// Records the table's list of versions as read at `now` at a revision; `None` if there is none, or
    /// if it cannot be parsed.
    pub fn record_version_list(
        &mut self,
        now: Timestamp,
        row: Option<VersionHistoryRow>,
        revision: u64,
    ) {
        self.software_versions.record_list(now, row, revision);
    }

    /// Software versions of the back ends, present and past.
    pub fn software_versions(&self) -> &SoftwareVersions {
        &self.software_versions
    }

    /// Replaces the set of zones whose back ends receive no new requests. Returns whether the set
    /// has changed.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneId>) -> bool {
        let has_changed = self.evacuated != zones;
        self.evacuated = zones;
        has_changed
    }

    /// Returns the back ends whose row was removed without an announced drain since the last call.
    pub fn take_removed_without_drain(&mut self) -> Vec<Arc<BackEnd>> {
        std::mem::take(&mut self.removed_without_drain)
    }

    /// Applies a back end's row that was received at `now`.
    pub fn put(&mut self, now: Timestamp, report: BackEndReport, version: u64) {
        let row = SeenRow { version, seen: now };
        let Some(entry) = self.entries.get_mut(&report.id) else {
            return self.add(report, row);
        };
        if entry.version >= version {
            return;
        }
        match entry.incarnation.observe(now, report.born) {
            IncarnationMatch::Same => {
                let moved = entry.report.service != report.service;
                let previous_service = entry.report.service.clone();
                let previous_version = entry.report.software_version.clone();
                let id = report.id.clone();
                self.software_versions
                    .add(&report.service, &report.software_version);
                self.software_versions
                    .remove(now, &previous_service, &previous_version);
                if report.draining {
                    self.drain_notices
                        .record(now, entry.back_end.incarnation_hash);
                    entry.start_draining();
                }
                entry.apply(report, row);
                if moved {
                    self.change_service(&id, &previous_service);
                }
            }
            IncarnationMatch::Other => self.begin_incarnation(now, report, row),
            IncarnationMatch::Outdated => {
                // Another gateway may have applied the row and begun streams there.
                self.software_versions
                    .observe(now, &report.service, &report.software_version);
                entry.deferred_row = Some((report, version));
            }
        }
    }

    /// Retries rows that seemed to belong to a previous incarnation. They are applied once nothing
    /// has contradicted them for a while, because the clock of the back end's machine may have been
    /// set back.
    pub fn retry_deferred_rows(&mut self, now: Timestamp) {
        let deferred = self
            .entries
            .values()
            .filter_map(|entry| entry.deferred_row.clone());
        let deferred: Vec<_> = deferred.collect();
        for (report, version) in deferred {
            self.put(now, report, version);
        }
    }

    /// Whether any row awaits [`Directory::retry_deferred_rows`].
    pub fn has_deferred_rows(&self) -> bool {
        self.entries
            .values()
            .any(|entry| entry.deferred_row.is_some())
    }

    fn add(&mut self, report: BackEndReport, row: SeenRow) {
        let service_back_ends = self.services.entry(report.service.clone()).or_default();
        service_back_ends.push(report.id.clone());
        let id = report.id.clone();
        self.software_versions
            .add(&report.service, &report.software_version);
        let incarnation = quarantine::incarnation_hash(&id, report.born);
        if report.draining {
            self.drain_notices.record(row.seen, incarnation);
        }
        let mut entry = Entry::new(&self.zone, report, row);
        if self.drain_notices.contains(incarnation) {
            entry.start_draining();
        }
        self.entries.insert(id, entry);
    }

    /// Replaces the entry of a back end that has restarted under its name.
    fn begin_incarnation(&mut self, now: Timestamp, report: BackEndReport, row: SeenRow) {
        let placed = self.placed.remove(&report.id);
        self.remove(now, &report.id);
        let id = report.id.clone();
        self.add(report, row);
        // The placement holder may have learned of the new incarnation first.
        let entry = self.entries.get(&id);
        if let Some(placed) =
            placed.filter(|it| entry.is_some_and(|entry| entry.matches_placed_row(it)))
        {
            self.placed.insert(id, placed);
        }
    }

    fn change_service(&mut self, id: &BackEndId, previous_service: &ServiceId) {
        if let Some(service_back_ends) = self.services.get_mut(previous_service) {
            service_back_ends.retain(|member| member != id);
        }
        if let Some(entry) = self.entries.get(id) {
            let service_back_ends = self.services.entry(entry.report.service.clone());
            service_back_ends.or_default().push(id.clone());
        }
    }

    /// Records that the newest row of a back end cannot be parsed. Returns whether the previous
    /// row could be. The back end may still run, and receives requests again once its row can be
    /// parsed.
    pub fn put_unreadable(&mut self, id: &BackEndId, version: u64) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.version >= version {
            return false;
        }
        entry.version = version;
        std::mem::replace(&mut entry.is_readable, false)
    }

    /// Records a drain that a back end has announced in a response. Returns whether the drain was
    /// unknown.
    pub fn record_drain(&mut self, now: Timestamp, back_end: &BackEnd) -> bool {
        let entry = self.entries.get_mut(&back_end.id);
        if let Some(entry) =
            entry.filter(|entry| entry.back_end.incarnation_hash == back_end.incarnation_hash)
        {
            entry.start_draining();
        }
        self.drain_notices.record(now, back_end.incarnation_hash)
    }

    /// Merges drain notices of other gateways. Returns the back ends that have a row and whose
    /// drain was unknown.
    pub fn merge_drain_notices(
        &mut self,
        now: Timestamp,
        notices: &[DrainNotice],
    ) -> Vec<Arc<BackEnd>> {
        let new_drains: HashSet<IncarnationHash> =
            self.drain_notices.merge(now, notices).into_iter().collect();
        let entries = self.entries.values_mut();
        let draining =
            entries.filter(|entry| new_drains.contains(&entry.back_end.incarnation_hash));
        draining
            .map(|entry| {
                entry.start_draining();
                entry.back_end.clone()
            })
            .collect()
    }

    /// Whether all of these drains are known.
    pub fn knows_drains(&self, notices: &[DrainNotice]) -> bool {
        let mut notices = notices.iter();
        notices.all(|notice| self.drain_notices.contains(notice.back_end))
    }

    /// Drain notices for other gateways.
    pub fn drain_notices(&self, now: Timestamp) -> Vec<DrainNotice> {
        self.drain_notices.notices(now)
    }

    /// Whether the back end has announced its drain.
    pub fn is_draining(&self, back_end: &BackEnd) -> bool {
        self.drain_notices.contains(back_end.incarnation_hash)
    }

    /// Applies the removal of a back end's row.
    pub fn remove(&mut self, now: Timestamp, id: &BackEndId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        let (service, version) = (&entry.report.service, &entry.report.software_version);
        self.software_versions.remove(now, service, version);
        entry.back_end.retire();
        if entry.is_active() {
            self.removed_without_drain.push(entry.back_end.clone());
        }
        if let Some(service_back_ends) = self.services.get_mut(&entry.report.service) {
            service_back_ends.retain(|member| member != id);
        }
        self.placed.remove(id);
    }

    /// Applies a read of the whole table: back ends without a row are removed. `unreadable` lists
    /// rows that cannot be parsed.
    pub fn replace(
        &mut self,
        now: Timestamp,
        reports: Vec<(BackEndReport, u64)>,
        unreadable: Vec<(BackEndId, u64)>,
    ) {
        let readable = reports.iter().map(|(report, _)| &report.id);
        let listed: HashSet<&BackEndId> = readable
            .chain(unreadable.iter().map(|(id, _)| id))
            .collect();
        let removed = self.entries.keys().filter(|id| !listed.contains(id));
        let removed: Vec<BackEndId> = removed.cloned().collect();
        for id in removed {
            self.remove(now, &id);
        }
        for (report, version) in reports {
            self.put(now, report, version);
        }
        for (id, version) in unreadable {
            self.put_unreadable(&id, version);
        }
        self.software_versions.set_known_since(now);
    }

    /// Applies a row of the placement holder about a back end.
    pub fn put_placed(&mut self, now: Timestamp, id: BackEndId, row: PlacedRow, version: u64) {
        let placed = ReceivedPlacedRow {
            row,
            version,
            received: now,
        };
        self.placed.insert(id, placed);
    }

    /// Applies the removal of a row of the placement holder.
    pub fn remove_placed(&mut self, id: &BackEndId) {
        self.placed.remove(id);
    }

    /// Returns a back end by its name.
    pub fn back_end(&self, id: &BackEndId) -> Option<Arc<BackEnd>> {
        Some(self.entries.get(id)?.back_end.clone())
    }

    /// Returns a back end by the hash of its current incarnation.
    pub fn by_incarnation(&self, incarnation: IncarnationHash) -> Option<Arc<BackEnd>> {
        let mut entries = self.entries.values();
        let entry = entries.find(|entry| entry.back_end.incarnation_hash == incarnation)?;
        Some(entry.back_end.clone())
    }

    /// Maps rates by incarnation to rates by name. Unknown incarnations are left out.
    pub fn rates_by_name(&self, rates: &HashMap<IncarnationHash, f64>) -> BTreeMap<BackEndId, f64> {
        let named = |entry: &Entry| {
            let known = rates.get(&entry.back_end.incarnation_hash)?;
            Some((entry.report.id.clone(), *known))
        };
        self.entries.values().filter_map(named).collect()
    }

    /// Back ends whose process exited while it ran requests, and whose row still exists.
    pub fn exited(&self, now: Timestamp) -> BTreeSet<BackEndId> {
        let entries = self.entries.values();
        let exited = entries.filter(|entry| entry.back_end.has_exited(now));
        exited.map(|entry| entry.report.id.clone()).collect()
    }

    /// Up to `count` other back ends that accept requests and have not exited, chosen at random.
    pub fn sample_others(&self, now: Timestamp, id: &BackEndId, count: usize) -> Vec<Arc<BackEnd>> {
        self.others(now, id).sample(&mut rand::rng(), count)
    }

    /// Same as [`Directory::sample_others`], but a back end that could not be reached recently is chosen
    /// only if there are too few others.
    pub fn sample_responding_others(
        &self,
        now: Timestamp,
        id: &BackEndId,
        count: usize,
    ) -> Vec<Arc<BackEnd>> {
        let is_paused = |back_end: &Arc<BackEnd>| back_end.health().is_paused(now);
        let (paused, responding): (Vec<_>, Vec<_>) = self.others(now, id).partition(is_paused);
        let mut sampled = responding.into_iter().sample(&mut rand::rng(), count);
        let missing = count - sampled.len();
        sampled.extend(paused.into_iter().sample(&mut rand::rng(), missing));
        sampled
    }

    fn others(&self, now: Timestamp, id: &BackEndId) -> impl Iterator<Item = Arc<BackEnd>> {
        let others = self.entries.values().filter(move |entry| {
            entry.is_active() && !entry.back_end.has_exited(now) && entry.report.id != *id
        });
        others.map(|entry| entry.back_end.clone())
    }

    /// Records exits of back ends that other gateways have reported. Returns the back ends whose
    /// exit was unknown.
    pub fn record_exits(
        &self,
        now: Timestamp,
        exited: &HashSet<IncarnationHash>,
    ) -> Vec<Arc<BackEnd>> {
        let back_ends = self.entries.values().map(|entry| &entry.back_end);
        let is_new = |back_end: &&Arc<BackEnd>| {
            exited.contains(&back_end.incarnation_hash) && !back_end.has_exited(now)
        };
        let newly_exited: Vec<_> = back_ends.filter(is_new).cloned().collect();
        newly_exited.iter().for_each(|it| it.record_exit(now));
        newly_exited
    }

    /// Numbers of requests of this gateway in flight at each back end.
    pub fn running(&self) -> Counts {
        let counts = self.entries.values().map(|entry| {
            let count = u16::try_from(entry.back_end.in_flight()).unwrap_or(u16::MAX);
            (entry.back_end.hash, count)
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Reports of all back ends, for the placement holder.
    pub fn reports(&self) -> Vec<BackEndReport> {
        let report = |entry: &Entry| BackEndReport {
            draining: !self.accepts_requests(entry),
            ..entry.report.clone()
        };
        self.entries.values().map(report).collect()
    }

    /// Back ends of a service that accept new requests, of one software version if it is given.
    pub fn active_back_ends(
        &self,
        now: Timestamp,
        service: &ServiceId,
        version: Option<&SoftwareVersion>,
    ) -> Vec<Arc<BackEnd>> {
        let active = self.active(now, service, version);
        self.retain_warm(now, active.map(|entry| entry.back_end.clone()).collect())
    }

    /// Whether the back end may receive new requests.
    pub fn is_active(&self, id: &BackEndId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| self.accepts_requests(entry))
    }

    /// Availability of a model, and optionally of one of its adapters, at `now`: at all back ends of
    /// the service, or at those of one software version.
    pub fn availability(
        &self,
        now: Timestamp,
        service: &ServiceId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        version: Option<&SoftwareVersion>,
    ) -> ModelAvailability {
        let mut availability = ModelAvailability::default();
        for entry in self.active(now, service, version) {
            availability.add_copy(CopyTier::WeightStore);
            let placed = self.placed.get(&entry.report.id);
            let placed = placed.filter(|placed| entry.matches_placed_row(placed));
            self.add_availability(now, entry, placed, model, adapter, &mut availability);
        }
        availability.ready = self.retain_warm(now, availability.ready);
        availability
    }

    fn add_availability(
        &self,
        now: Timestamp,
        entry: &Entry,
        placed: Option<&ReceivedPlacedRow>,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        availability: &mut ModelAvailability,
    ) {
        if placed.is_some_and(|placed| placed.row.unloading.as_ref() == Some(model)) {
            return;
        }
        let Some(adapters) = holdings(entry, placed).get(model) else {
            if let Some(until) = placed.and_then(|placed| placed.loading_until(now, model)) {
                let earliest = availability
                    .loading_until
                    .map_or(until, |known| known.min(until));
                availability.loading_until = Some(earliest);
            }
            availability.add_copy(entry.report.nearest_copy(model));
            return;
        };
        if entry.back_end.is_absent(now, model, None) {
            return;
        }
        let has_adapter = adapter.is_none_or(|adapter| {
            adapters.contains(adapter) && !entry.back_end.is_absent(now, model, Some(adapter))
        });
        if has_adapter {
            availability.ready.push(entry.back_end.clone());
        } else {
            availability.without_adapter.push(entry.back_end.clone());
        }
    }

    /// Back ends of a service that may receive new requests. The row of an exited process remains
    /// for several heartbeats, in which requests to its back end would only lose time.
    fn active(
        &self,
        now: Timestamp,
        service: &ServiceId,
        version: Option<&SoftwareVersion>,
    ) -> impl Iterator<Item = &Entry> {
        let service_back_ends = self.services.get(service).into_iter().flatten();
        service_back_ends
            .filter_map(|id| self.entries.get(id))
            .filter(move |entry| self.accepts_requests(entry) && !entry.back_end.has_exited(now))
            .filter(move |entry| version.is_none_or(|it| *it == entry.report.software_version))
    }

    fn accepts_requests(&self, entry: &Entry) -> bool {
        entry.is_active() && !self.evacuated.contains(&entry.report.zone)
    }

    /// Removes back ends that are warming up if there are warm ones.
    fn retain_warm(&self, now: Timestamp, mut back_ends: Vec<Arc<BackEnd>>) -> Vec<Arc<BackEnd>> {
        let is_warm = |back_end: &Arc<BackEnd>| !back_end.is_warming_up(now);
        if self.prefers_warm && back_ends.iter().any(is_warm) {
            back_ends.retain(is_warm);
        }
        back_ends
    }
}

impl ReceivedPlacedRow {
    /// When a load of the model is expected to end. Nothing tells why a load is overdue, so it is
    /// expected to take as much longer as it is late.
    fn loading_until(&self, now: Timestamp, model: &ModelId) -> Option<Timestamp> {
        let loading = self.row.loading.as_ref()?;
        let planned_end = self.received + loading.ready_in;
        let overdue_ms = now.since(planned_end);
        let is_expected = loading.model == *model && overdue_ms < LOAD_GRACE_MS;
        is_expected.then(|| planned_end.max(now) + overdue_ms)
    }
}

fn holdings<'a>(entry: &'a Entry, placed: Option<&'a ReceivedPlacedRow>) -> &'a Holdings {
    match placed {
        Some(placed) if placed.version > entry.version => &placed.row.holdings,
        _ => &entry.report.holdings,
    }
}
