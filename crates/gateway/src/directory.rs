//! The back ends that requests may go to, and what each holds.
//!
//! In: rows of discovery and of the placement holder, with their versions.
//! Out: the candidates of a request. Of the two rows on one back end the newer
//! counts for what it holds; the table orders them by one counter.
//!
//! Invariant: a back end that once said that it leaves stays leaving; one
//! whose row is gone gets nothing new.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::{self, BackEndHash};
use gorsebank_fleet::running::Counts;
use gorsebank_fleet::{BackEndReport, CopyTier, Holdings, PlacedRow};
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId, ZoneId};

use crate::back_end::{BackEnd, SeenRow};

/// A load that is this late is no longer believed, in milliseconds.
const LOAD_GRACE: u64 = 3_000;

/// One back end with its rows.
#[derive(Debug)]
struct Entry {
    back_end: Arc<BackEnd>,
    report: BackEndReport,
    version: u64,
    draining: bool,
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
    pub without_adapter: usize,
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
            gone_unsaid: Vec::new(),
        }
    }

    /// Back ends whose row went, since this was last asked, though they had not said that they
    /// leave.
    pub fn take_gone_unsaid(&mut self) -> Vec<Arc<BackEnd>> {
        std::mem::take(&mut self.gone_unsaid)
    }

    /// A back end's row was written, and seen at `now`.
    pub fn put(&mut self, now: Timestamp, report: BackEndReport, version: u64) {
        let id = report.id.clone();
        let row = SeenRow { version, seen: now };
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.version >= version {
                return;
            }
            entry.back_end.note_row(row);
            entry.draining |= report.draining;
            entry.report = report;
            entry.version = version;
            if entry.draining {
                entry.back_end.retire();
            }
            return;
        }
        let same_zone = report.zone == self.zone;
        let back_end = Arc::new(BackEnd::new(&report, same_zone));
        back_end.note_row(row);
        let members = self.services.entry(report.service.clone()).or_default();
        members.push(id.clone());
        let draining = report.draining;
        let entry = Entry {
            back_end,
            report,
            version,
            draining,
        };
        self.entries.insert(id, entry);
    }

    /// A back end's row was removed.
    pub fn remove(&mut self, id: &BackEndId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        entry.back_end.retire();
        if !entry.draining {
            self.gone_unsaid.push(entry.back_end.clone());
        }
        if let Some(members) = self.services.get_mut(&entry.report.service) {
            members.retain(|member| member != id);
        }
        self.placed.remove(id);
    }

    /// The whole table was read: what it does not hold is gone.
    pub fn replace(&mut self, now: Timestamp, reports: Vec<(BackEndReport, u64)>) {
        let gone: Vec<BackEndId> = self
            .entries
            .keys()
            .filter(|id| !reports.iter().any(|(report, _)| report.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id);
        }
        for (report, version) in reports {
            self.put(now, report, version);
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

    /// Back ends whose process ended while requests were there, and whose row still stands.
    pub fn ended(&self, now: Timestamp) -> BTreeSet<BackEndId> {
        let entries = self.entries.values();
        let ended = entries.filter(|entry| entry.back_end.has_ended(now));
        ended.map(|entry| entry.report.id.clone()).collect()
    }

    /// Other gateways saw the processes of these back ends end.
    pub fn note_ended(&self, now: Timestamp, ended: &HashSet<BackEndHash>) {
        let entries = self.entries.values();
        let gone = entries.filter(|entry| ended.contains(&quarantine::hash(&entry.report.id)));
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
            draining: entry.draining,
            ..entry.report.clone()
        };
        self.entries.values().map(report).collect()
    }

    /// Back ends of a service that are there and not about to leave.
    pub fn members(&self, now: Timestamp, service: &ServiceId) -> Vec<Arc<BackEnd>> {
        self.active(now, service)
            .map(|entry| entry.back_end.clone())
            .collect()
    }

    /// Whether the back end may get new requests.
    pub fn is_active(&self, id: &BackEndId) -> bool {
        self.entries.get(id).is_some_and(|entry| !entry.draining)
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
            self.add_place(now, entry, placed, model, adapter, &mut places);
        }
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
            places.without_adapter += 1;
        }
    }

    /// Those that may get new requests. One whose process has ended has a row for some
    /// heartbeats yet, and whatever is sent there is lost time.
    fn active(&self, now: Timestamp, service: &ServiceId) -> impl Iterator<Item = &Entry> {
        let members = self.services.get(service).into_iter().flatten();
        members
            .filter_map(|id| self.entries.get(id))
            .filter(move |entry| !entry.draining && !entry.back_end.has_ended(now))
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
