//! The back ends that requests may go to, and what each holds.
//!
//! In: rows of discovery and of the placement holder, with their versions; what back ends and
//! other gateways say of those that leave. Out: the candidates of a request. Of the two rows on
//! one back end the newer counts for what it holds; the table orders them by one counter.
//!
//! Invariant: a back end that once said that it leaves stays leaving, until it starts again; one
//! whose row is gone, or cannot be read, gets nothing new. Nothing that was known of a life of a
//! back end is held against the next one, nor counted for it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::{self, BackEndHash};
use gorsebank_fleet::running::Counts;
use gorsebank_fleet::{
    BackEndReport, CopyTier, Departures, Heard, Holdings, Incarnation, PlacedRow, ToldDeparture,
};
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId, ZoneId};

use crate::back_end::{BackEnd, SeenRow};

/// A load that is this late is no longer believed, in milliseconds.
const LOAD_GRACE: u64 = 3_000;

/// One back end with its rows.
#[derive(Debug)]
struct Entry {
    back_end: Arc<BackEnd>,
    incarnation: Incarnation,
    report: BackEndReport,
    version: u64,
    /// The version of the first row of this life.
    first_version: u64,
    /// Whether it has said that it leaves.
    draining: bool,
    /// Whether its newest row can be read. One that cannot is no end of its process.
    is_readable: bool,
    /// A row of a life that seems to be over, in case it is the newest one after all.
    doubtful: Option<(BackEndReport, u64)>,
}

impl Entry {
    /// A life that was first heard of by a row at this version.
    fn new(zone: &ZoneId, report: BackEndReport, row: SeenRow) -> Self {
        let back_end = BackEnd::new(&report, report.zone == *zone);
        back_end.note_row(row);
        back_end.note_cold(row.seen + report.cold_left);
        Entry {
            back_end: Arc::new(back_end),
            incarnation: Incarnation::new(report.born),
            version: row.version,
            first_version: row.version,
            draining: false,
            is_readable: true,
            doubtful: None,
            report,
        }
    }

    /// A newer row of the same life.
    fn take(&mut self, report: BackEndReport, row: SeenRow) {
        self.back_end.note_row(row);
        self.back_end.note_cold(row.seen + report.cold_left);
        self.report = report;
        self.version = row.version;
        self.is_readable = true;
        self.doubtful = None;
    }

    /// It has said that it leaves.
    fn leave(&mut self) {
        self.draining = true;
        self.back_end.retire();
    }

    /// Whether it may get new requests, as its rows say.
    fn is_active(&self) -> bool {
        !self.draining && self.is_readable
    }

    /// Whether the placement holder's row speaks of this life. Rows of gateways that know
    /// nothing of starts do if they are newer than this life.
    fn is_meant_by(&self, placed: &Placed) -> bool {
        match (placed.row.born, self.incarnation.born()) {
            (Some(meant), Some(own)) => meant == own,
            _ => placed.version > self.first_version || self.incarnation.born().is_none(),
        }
    }
}

#[derive(Debug)]
struct Placed {
    row: PlacedRow,
    version: u64,
    heard: Timestamp,
}

/// What is known of a model at a service.
#[derive(Clone, Debug, Default)]
pub struct ModelPlaces {
    /// Back ends that hold the model, and the adapter if one is asked for.
    pub ready: Vec<Arc<BackEnd>>,
    /// Back ends that hold the model, but not the adapter.
    pub without_adapter: Vec<Arc<BackEnd>>,
    /// When a load under way is expected to be done.
    pub loading_until: Option<Timestamp>,
    /// The nearest copy from which a back end without the model could load it.
    pub nearest_copy: CopyTier,
}

/// All back ends.
#[derive(Debug)]
pub struct Directory {
    zone: ZoneId,
    entries: HashMap<BackEndId, Entry>,
    placed: HashMap<BackEndId, Placed>,
    services: HashMap<ServiceId, Vec<BackEndId>>,
    /// Lives of back ends that have said that they leave, also of those without a row.
    departures: Departures,
    /// Zones whose back ends are to get nothing.
    evacuated: BTreeSet<ZoneId>,
    /// Whether warm back ends come before cold ones.
    spares_cold: bool,
    /// Back ends whose row went though they had not said that they leave.
    gone_unsaid: Vec<Arc<BackEnd>>,
}

impl Directory {
    /// An empty directory of a gateway in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Directory {
            zone,
            entries: HashMap::new(),
            placed: HashMap::new(),
            services: HashMap::new(),
            departures: Departures::default(),
            evacuated: BTreeSet::new(),
            spares_cold: false,
            gone_unsaid: Vec::new(),
        }
    }

    /// Warm back ends come before cold ones from now on, which fall over when they are sent much.
    pub fn spare_cold(&mut self) {
        self.spares_cold = true;
    }

    /// Back ends of these zones, and of no others, are to get nothing. True if that is news.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneId>) -> bool {
        let is_news = self.evacuated != zones;
        self.evacuated = zones;
        is_news
    }

    /// Back ends whose row went, since this was last asked, though they had not said that they
    /// leave.
    pub fn take_gone_unsaid(&mut self) -> Vec<Arc<BackEnd>> {
        std::mem::take(&mut self.gone_unsaid)
    }

    /// A back end's row was written, and seen at `now`.
    pub fn put(&mut self, now: Timestamp, report: BackEndReport, version: u64) {
        let row = SeenRow { version, seen: now };
        let Some(entry) = self.entries.get_mut(&report.id) else {
            return self.add(report, row);
        };
        if entry.version >= version {
            return;
        }
        match entry.incarnation.hear(now, report.born) {
            Heard::Same => {
                let moved = entry.report.service != report.service;
                let former = entry.report.service.clone();
                let id = report.id.clone();
                if report.draining {
                    self.departures.note(now, entry.back_end.life_hash);
                    entry.leave();
                }
                entry.take(report, row);
                if moved {
                    self.change_service(&id, &former);
                }
            }
            Heard::Other => self.begin_life(report, row),
            Heard::Outdated => entry.doubtful = Some((report, version)),
        }
    }

    /// Rows of lives that seemed to be over are taken in after all, when nothing contradicted
    /// them: the clock of a back end's machine may have been set back.
    pub fn settle(&mut self, now: Timestamp) {
        let doubtful = self
            .entries
            .values()
            .filter_map(|entry| entry.doubtful.clone());
        let doubtful: Vec<_> = doubtful.collect();
        for (report, version) in doubtful {
            self.put(now, report, version);
        }
    }

    /// Whether there is anything to settle.
    pub fn is_unsettled(&self) -> bool {
        self.entries.values().any(|entry| entry.doubtful.is_some())
    }

    fn add(&mut self, report: BackEndReport, row: SeenRow) {
        let members = self.services.entry(report.service.clone()).or_default();
        members.push(report.id.clone());
        let id = report.id.clone();
        let life = quarantine::hash(&id, report.born);
        if report.draining {
            self.departures.note(row.seen, life);
        }
        let mut entry = Entry::new(&self.zone, report, row);
        if self.departures.contains(life) {
            entry.leave();
        }
        self.entries.insert(id, entry);
    }

    /// A back end has started again under its name: the process before it has ended.
    fn begin_life(&mut self, report: BackEndReport, row: SeenRow) {
        let placed = self.placed.remove(&report.id);
        self.remove(&report.id);
        let id = report.id.clone();
        self.add(report, row);
        // The holder may have heard of the new life first.
        let entry = self.entries.get(&id);
        if let Some(placed) = placed.filter(|it| entry.is_some_and(|entry| entry.is_meant_by(it))) {
            self.placed.insert(id, placed);
        }
    }

    fn change_service(&mut self, id: &BackEndId, former: &ServiceId) {
        if let Some(members) = self.services.get_mut(former) {
            members.retain(|member| member != id);
        }
        if let Some(entry) = self.entries.get(id) {
            let members = self.services.entry(entry.report.service.clone());
            members.or_default().push(id.clone());
        }
    }

    /// A back end's row was written, and names none that could be used. True if one was used
    /// until then; it may live, and is used again once its row can be read.
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

    /// A back end says in an answer that it leaves. True if that is news.
    pub fn note_departure(&mut self, now: Timestamp, back_end: &BackEnd) -> bool {
        let entry = self.entries.get_mut(&back_end.id);
        if let Some(entry) = entry.filter(|entry| entry.back_end.life_hash == back_end.life_hash) {
            entry.leave();
        }
        self.departures.note(now, back_end.life_hash)
    }

    /// Other gateways tell of back ends that leave. Out: those that are news and have a row.
    pub fn take_departures(&mut self, now: Timestamp, told: &[ToldDeparture]) -> Vec<Arc<BackEnd>> {
        let news: HashSet<BackEndHash> = self.departures.take(now, told).into_iter().collect();
        let entries = self.entries.values_mut();
        let leaving = entries.filter(|entry| news.contains(&entry.back_end.life_hash));
        leaving
            .map(|entry| {
                entry.leave();
                entry.back_end.clone()
            })
            .collect()
    }

    /// Whether all of these departures are known.
    pub fn knows_departures(&self, told: &[ToldDeparture]) -> bool {
        let mut told = told.iter();
        told.all(|departure| self.departures.contains(departure.back_end))
    }

    /// What other gateways should know of back ends that leave.
    pub fn told_departures(&self, now: Timestamp) -> Vec<ToldDeparture> {
        self.departures.told(now)
    }

    /// Whether a back end has said that it leaves.
    pub fn has_departed(&self, back_end: &BackEnd) -> bool {
        self.departures.contains(back_end.life_hash)
    }

    /// A back end's row was removed.
    pub fn remove(&mut self, id: &BackEndId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        entry.back_end.retire();
        if entry.is_active() {
            self.gone_unsaid.push(entry.back_end.clone());
        }
        if let Some(members) = self.services.get_mut(&entry.report.service) {
            members.retain(|member| member != id);
        }
        self.placed.remove(id);
    }

    /// The whole table was read: what it does not hold is gone. `unreadable` are rows that name
    /// no back end to use.
    pub fn replace(
        &mut self,
        now: Timestamp,
        reports: Vec<(BackEndReport, u64)>,
        unreadable: Vec<(BackEndId, u64)>,
    ) {
        let readable = reports.iter().map(|(report, _)| &report.id);
        let stand: HashSet<&BackEndId> = readable
            .chain(unreadable.iter().map(|(id, _)| id))
            .collect();
        let gone = self.entries.keys().filter(|id| !stand.contains(id));
        let gone: Vec<BackEndId> = gone.cloned().collect();
        for id in gone {
            self.remove(&id);
        }
        for (report, version) in reports {
            self.put(now, report, version);
        }
        for (id, version) in unreadable {
            self.put_unreadable(&id, version);
        }
    }

    /// The placement holder's row on a back end was written.
    pub fn put_placed(&mut self, now: Timestamp, id: BackEndId, row: PlacedRow, version: u64) {
        let placed = Placed {
            row,
            version,
            heard: now,
        };
        self.placed.insert(id, placed);
    }

    /// The placement holder's row on a back end was removed.
    pub fn remove_placed(&mut self, id: &BackEndId) {
        self.placed.remove(id);
    }

    /// A back end by its name.
    pub fn back_end(&self, id: &BackEndId) -> Option<Arc<BackEnd>> {
        Some(self.entries.get(id)?.back_end.clone())
    }

    /// A back end by its present life.
    pub fn by_life(&self, life: BackEndHash) -> Option<Arc<BackEnd>> {
        let mut entries = self.entries.values();
        let entry = entries.find(|entry| entry.back_end.life_hash == life)?;
        Some(entry.back_end.clone())
    }

    /// What is known of lives of back ends, by the names of those that there are.
    pub fn by_name(&self, lives: &HashMap<BackEndHash, f64>) -> BTreeMap<BackEndId, f64> {
        let named = |entry: &Entry| {
            let known = lives.get(&entry.back_end.life_hash)?;
            Some((entry.report.id.clone(), *known))
        };
        self.entries.values().filter_map(named).collect()
    }

    /// Back ends whose process ended while requests were there, and whose row still stands.
    pub fn ended(&self, now: Timestamp) -> BTreeSet<BackEndId> {
        let entries = self.entries.values();
        let ended = entries.filter(|entry| entry.back_end.has_ended(now));
        ended.map(|entry| entry.report.id.clone()).collect()
    }

    /// Other gateways saw the processes of these back ends end.
    pub fn note_ended(&self, now: Timestamp, ended: &HashSet<BackEndHash>) {
        let entries = self.entries.values();
        let gone = entries.filter(|entry| ended.contains(&entry.back_end.life_hash));
        gone.for_each(|entry| entry.back_end.note_ended(now));
    }

    /// What this gateway has running at back ends.
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
            draining: !self.may_be_sent(entry),
            ..entry.report.clone()
        };
        self.entries.values().map(report).collect()
    }

    /// Back ends of a service that are there and not about to leave.
    pub fn members(&self, now: Timestamp, service: &ServiceId) -> Vec<Arc<BackEnd>> {
        let members = self.active(now, service);
        self.warm_first(now, members.map(|entry| entry.back_end.clone()).collect())
    }

    /// Whether the back end may get new requests.
    pub fn is_active(&self, id: &BackEndId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| self.may_be_sent(entry))
    }

    /// Where a model, and an adapter of it, can be asked for at `now`.
    pub fn places(
        &self,
        now: Timestamp,
        service: &ServiceId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
    ) -> ModelPlaces {
        let mut places = ModelPlaces::default();
        for entry in self.active(now, service) {
            let placed = self.placed.get(&entry.report.id);
            let placed = placed.filter(|placed| entry.is_meant_by(placed));
            self.add_place(now, entry, placed, model, adapter, &mut places);
        }
        places.ready = self.warm_first(now, places.ready);
        places
    }

    fn add_place(
        &self,
        now: Timestamp,
        entry: &Entry,
        placed: Option<&Placed>,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        places: &mut ModelPlaces,
    ) {
        if placed.is_some_and(|placed| placed.row.unloading.as_ref() == Some(model)) {
            return;
        }
        let Some(adapters) = holdings(entry, placed).get(model) else {
            if let Some(until) = placed.and_then(|placed| placed.loading_until(now, model)) {
                let earliest = places.loading_until.map_or(until, |known| known.min(until));
                places.loading_until = Some(earliest);
            }
            let copy = entry.report.nearest_copy(model);
            places.nearest_copy = places.nearest_copy.max(copy);
            return;
        };
        if entry.back_end.is_absent(now, model, None) {
            return;
        }
        let has_adapter = adapter.is_none_or(|adapter| {
            adapters.contains(adapter) && !entry.back_end.is_absent(now, model, Some(adapter))
        });
        if has_adapter {
            places.ready.push(entry.back_end.clone());
        } else {
            places.without_adapter.push(entry.back_end.clone());
        }
    }

    /// Those that may get new requests. One whose process has ended has a row for some
    /// heartbeats yet, and whatever is sent there is lost time.
    fn active(&self, now: Timestamp, service: &ServiceId) -> impl Iterator<Item = &Entry> {
        let members = self.services.get(service).into_iter().flatten();
        members
            .filter_map(|id| self.entries.get(id))
            .filter(move |entry| self.may_be_sent(entry) && !entry.back_end.has_ended(now))
    }

    fn may_be_sent(&self, entry: &Entry) -> bool {
        entry.is_active() && !self.evacuated.contains(&entry.report.zone)
    }

    /// Leaves out cold back ends while there are warm ones.
    fn warm_first(&self, now: Timestamp, mut back_ends: Vec<Arc<BackEnd>>) -> Vec<Arc<BackEnd>> {
        let is_warm = |back_end: &Arc<BackEnd>| !back_end.is_cold(now);
        if self.spares_cold && back_ends.iter().any(is_warm) {
            back_ends.retain(is_warm);
        }
        back_ends
    }
}

impl Placed {
    fn loading_until(&self, now: Timestamp, model: &ModelId) -> Option<Timestamp> {
        let loading = self.row.loading.as_ref()?;
        let until = self.heard + loading.ready_in;
        let believed = loading.model == *model && now.since(until) < LOAD_GRACE;
        believed.then_some(until)
    }
}

fn holdings<'a>(entry: &'a Entry, placed: Option<&'a Placed>) -> &'a Holdings {
    match placed {
        Some(placed) if placed.version > entry.version => &placed.row.holdings,
        _ => &entry.report.holdings,
    }
}
