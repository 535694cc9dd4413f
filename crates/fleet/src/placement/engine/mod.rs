//! One engine as the holder knows it, and the next thing to do there.
//!
//! `observed` is what discovery shows, often late; `known` is what the engine
//! itself answered together with its sequence number, moved on by orders that
//! were acknowledged since. Only `known` sizes an order.

mod next;
mod open_orders;

use std::collections::BTreeSet;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId};

pub use open_orders::ORDER_LIFETIME;
use open_orders::OpenOrders;

use super::goal::Goal;
use super::{OrderKind, OrderResult};
use crate::back_end::{BackEndReport, CopyTier, EngineReport, Holdings, PlacedRow, PlannedLoad};
use crate::configuration::{Engine, ModelSpec};
use crate::incarnation::{Born, Heard, Incarnation};

/// An order without an answer is repeated so often before the state is asked for.
const MOST_REPEATS: u32 = 2;
/// Reports are stale by some 100 ms: after an order without an answer, or one
/// that was refused, the state is asked for this much later, in milliseconds.
const SETTLE_TIME: u64 = 400;
/// An engine that answered within this time is not doubted, in milliseconds.
const DOUBT_PAUSE: u64 = 700;
/// Pause between two questions while a load runs over its time, in milliseconds.
const LOAD_POLL: u64 = 100;
/// An idle model is unloaded, and a report shows it, after this time, in milliseconds.
const UNLOAD_TIME: u64 = 120;
/// Pause between two questions while an adapter is on its way, in milliseconds.
const ADAPTER_POLL: u64 = 50;
/// A goal that was not reached in this time is given up, in milliseconds.
const GOAL_LIFETIME: u64 = 15_000;
/// A row is kept up for this long after the last change, in milliseconds.
const ROW_LIFETIME: u64 = 5_000;

#[derive(Debug)]
struct Known {
    holdings: Holdings,
    pending: BTreeSet<(ModelId, AdapterId)>,
    busy: bool,
    sequence: u64,
}

/// One engine.
#[derive(Debug)]
pub struct EngineState {
    incarnation: Incarnation,
    observed: BackEndReport,
    /// Orders of this life that have had no answer.
    open: OpenOrders,
    /// Orders of former lives that may still be carried out in this one: the numbers under which
    /// they were given come again. Their places and memory stay free.
    left_over: OpenOrders,
    known: Option<Known>,
    goal: Option<Goal>,
    unloading: Option<ModelId>,
    wanted_adapters: BTreeSet<(ModelId, AdapterId)>,
    in_flight: bool,
    /// How often the last order was repeated.
    repeats: u32,
    ask_at: Timestamp,
    check: bool,
    suspected: bool,
    heard: Timestamp,
    changed: Option<Timestamp>,
    /// Requests a second that it takes, if it states a limit.
    limit: Option<f64>,
}

impl EngineState {
    /// An engine that discovery has just shown.
    pub fn new(now: Timestamp, observed: BackEndReport) -> Self {
        EngineState {
            incarnation: Incarnation::new(observed.born),
            observed,
            open: OpenOrders::default(),
            left_over: OpenOrders::default(),
            known: None,
            goal: None,
            unloading: None,
            wanted_adapters: BTreeSet::new(),
            in_flight: false,
            repeats: 0,
            ask_at: now,
            check: false,
            suspected: false,
            heard: now,
            changed: None,
            limit: None,
        }
    }

    /// Takes in a row of discovery, unless it speaks of another life.
    pub fn observe(&mut self, now: Timestamp, report: &BackEndReport) -> Heard {
        let heard = self.hear(now, report.born);
        if heard == Heard::Same {
            self.observed = report.clone();
        }
        heard
    }

    /// Takes in a start that was told.
    pub fn hear(&mut self, now: Timestamp, born: Option<Born>) -> Heard {
        self.incarnation.hear(now, born)
    }

    /// Whether something with this start may speak of its present life.
    pub fn may_be(&self, told: Option<Born>) -> bool {
        self.incarnation.may_be(told)
    }

    /// When it started, if that is known.
    pub fn born(&self) -> Option<Born> {
        self.incarnation.born()
    }

    /// What is known of it when it says itself that it has started again.
    pub fn restarted_as(&self, born: Option<Born>) -> BackEndReport {
        BackEndReport {
            born,
            holdings: Holdings::new(),
            ..self.observed.clone()
        }
    }

    /// It has started again under its name. It is asked for its state as one that is new.
    /// A holder before this one may have given it orders until `others_until`.
    pub fn begin_life(&mut self, now: Timestamp, report: BackEndReport, others_until: Timestamp) {
        let mut left_over = std::mem::take(&mut self.left_over);
        left_over.append(std::mem::take(&mut self.open));
        *self = EngineState::new(now, report);
        left_over.note_others(others_until);
        left_over.forget_old(now);
        self.left_over = left_over;
    }

    /// Takes over from a former holder, whose orders may have had no answer.
    pub fn inherit(&mut self, now: Timestamp, row: &PlacedRow) {
        let is_of_former_life = row.born.is_some() && row.born != self.born();
        if let Some(load) = &row.loading {
            let orders = if is_of_former_life {
                &mut self.left_over
            } else {
                &mut self.open
            };
            orders.sent(now, OrderKind::LoadModel(load.model.clone()));
        }
        // What else was ordered there is not known.
        if is_of_former_life {
            self.left_over.note_others(now + ORDER_LIFETIME);
            return;
        }
        for model in &row.left_over {
            let order = OrderKind::LoadModel(model.clone());
            self.left_over.sent(now, order);
        }
        self.check = row.loading.is_some() || row.unloading.is_some();
        self.unloading = row.unloading.clone();
    }

    /// The model that it was ordered to load, until it says that it holds it.
    pub fn loading(&self) -> Option<&ModelId> {
        let goal = self.goal.as_ref().filter(|goal| goal.loading)?;
        (!self.observed.draining).then_some(&goal.model)
    }

    /// Its name.
    pub fn id(&self) -> &BackEndId {
        &self.observed.id
    }

    /// Its service.
    pub fn service(&self) -> &ServiceId {
        &self.observed.service
    }

    /// Whether it takes requests for `service`.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.observed.service == *service && !self.observed.draining
    }

    /// Holdings as well as they are known.
    pub fn holdings(&self) -> &Holdings {
        match &self.known {
            Some(known) => &known.holdings,
            None => &self.observed.holdings,
        }
    }

    /// It states this limit, in requests a second, or none.
    pub fn set_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
    }

    /// Requests a second that it takes, if it states a limit.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Whether it answers, holds the model and goes on holding it.
    pub fn keeps(&self, model: &ModelId) -> bool {
        !self.suspected && self.holds(model)
    }

    fn holds(&self, model: &ModelId) -> bool {
        self.unloading.as_ref() != Some(model) && self.holdings().contains_key(model)
    }

    /// Requests wait for a model that is said to be here: the engine is asked,
    /// unless it has answered not long ago. One that does not answer counts as
    /// holding nothing until it does.
    pub fn doubt(&mut self, now: Timestamp, model: &ModelId) {
        if self.holds(model) && now.since(self.heard) > DOUBT_PAUSE {
            self.check = true;
        }
    }

    /// Whether the model is wanted here and expected soon.
    pub fn expects(&self, now: Timestamp, model: &ModelId) -> bool {
        let goal = self.goal.as_ref().filter(|goal| goal.model == *model);
        goal.is_some_and(|goal| !goal.is_late(now))
    }

    /// The model will be loaded elsewhere: a late goal is given up unless its
    /// load was ordered.
    pub fn leave_to_another(&mut self, now: Timestamp, model: &ModelId) {
        let overtaken = |goal: &Goal| goal.model == *model && !goal.loading && goal.is_late(now);
        if !self.in_flight && self.goal.as_ref().is_some_and(overtaken) {
            self.changed = Some(now);
            self.goal = None;
        }
    }

    /// Whether a new goal may be set.
    pub fn is_free(&self) -> bool {
        let idle = self.goal.is_none() && self.unloading.is_none();
        idle && !self.check && !self.suspected && !self.is_busy()
    }

    /// Time until a new goal may be set, as far as it is known; none at an engine
    /// that does not answer, whose goal is late, or that carries out an order of
    /// which the end is not known.
    pub fn free_in(&self, now: Timestamp) -> Option<Duration> {
        let left = match &self.goal {
            Some(goal) if goal.is_late(now) => None,
            Some(goal) => Some(goal.ready_at.since(now)),
            None if self.unloading.is_some() || self.is_busy() => None,
            None => Some(0),
        };
        left.filter(|_| !self.suspected).map(Duration::from_millis)
    }

    fn is_busy(&self) -> bool {
        self.known.as_ref().is_some_and(|known| known.busy)
    }

    /// Sets a goal.
    pub fn aim(
        &mut self,
        now: Timestamp,
        model: ModelId,
        expected: Duration,
        victims: Vec<ModelId>,
    ) {
        self.changed = Some(now);
        self.goal = Some(Goal {
            model,
            since: now,
            ready_at: now + expected.as_millis() as u64,
            victims,
            loading: false,
        });
    }

    /// Adapters that are wanted here.
    pub fn want_adapter(&mut self, model: ModelId, adapter: AdapterId) {
        self.wanted_adapters.insert((model, adapter));
    }

    /// Forgets adapters that were wanted.
    pub fn clear_adapters(&mut self) {
        self.wanted_adapters.clear();
    }

    /// Adapters here, on their way or wanted.
    pub fn adapter_count(&self) -> usize {
        let held: usize = self.holdings().values().map(BTreeSet::len).sum();
        let pending = self.known.as_ref().map_or(0, |known| known.pending.len());
        held + pending + self.wanted_adapters.len()
    }

    /// Whether the adapter is here, on its way or wanted.
    pub fn has_adapter(&self, model: &ModelId, adapter: &AdapterId) -> bool {
        let key = (model.clone(), adapter.clone());
        let held = self.holdings().get(model);
        held.is_some_and(|adapters| adapters.contains(adapter))
            || self.wanted_adapters.contains(&key)
            || self
                .known
                .as_ref()
                .is_some_and(|known| known.pending.contains(&key))
    }

    /// Memory that is not taken, in megabytes.
    pub fn free_memory(&self, spec: &Engine) -> f64 {
        let pending = self.known.iter().flat_map(|known| &known.pending);
        let pending: f64 = pending
            .filter_map(|(model, _)| Some(spec.models.get(model)?.adapter_mb))
            .sum();
        spec.memory_mb - held_memory(spec, self.holdings()) - pending - self.left_over.memory(spec)
    }

    /// Time of a load here, by where the engine has a copy.
    pub fn load_time(&self, model: &ModelId, spec: &ModelSpec) -> Duration {
        spec.load_from(self.observed.nearest_copy(model))
    }

    /// Whether a load here takes nothing from the weight store.
    pub fn has_copy(&self, model: &ModelId) -> bool {
        self.observed.nearest_copy(model) != CopyTier::WeightStore
    }

    /// Whether a load from the weight store is to be ordered here, once there is room.
    pub fn will_use_store(&self) -> bool {
        let goal = self.goal.as_ref().filter(|goal| !goal.loading);
        goal.is_some_and(|goal| !self.has_copy(&goal.model))
    }

    /// Ends a goal that was reached or is too old.
    fn settle_goal(&mut self, now: Timestamp) {
        let Some(goal) = &self.goal else {
            return;
        };
        let known = self.known.as_ref();
        let reached =
            known.is_some_and(|known| !known.busy && known.holdings.contains_key(&goal.model));
        let old = now.since(goal.since) > GOAL_LIFETIME;
        if !self.in_flight && (reached || old) {
            self.changed = Some(now);
            self.goal = None;
        }
    }

    /// The engine told its state, or did not answer.
    pub fn reported(&mut self, now: Timestamp, report: Option<EngineReport>) {
        self.in_flight = false;
        let Some(report) = report else {
            self.known = None;
            self.suspected = true;
            self.check = true;
            self.ask_at = now + SETTLE_TIME;
            return;
        };
        self.suspected = false;
        self.heard = now;
        let is_stale = |known: &Known| report.sequence < known.sequence;
        if self.known.as_ref().is_some_and(is_stale) {
            self.check = false;
            self.ask_at = now + ADAPTER_POLL;
            return;
        }
        self.check = false;
        self.changed = Some(now);
        if !report.busy {
            self.unloading = None;
        }
        let is_short = !report.busy || self.unloading.is_some();
        self.ask_at = now + if is_short { ADAPTER_POLL } else { LOAD_POLL };
        self.observed.in_memory = report.in_memory;
        self.observed.on_disk = report.on_disk;
        self.known = Some(Known {
            holdings: report.holdings,
            pending: report.pending,
            busy: report.busy,
            sequence: report.sequence,
        });
    }

    /// An order had this result.
    pub fn ordered(&mut self, now: Timestamp, order: &OrderKind, result: OrderResult) {
        match result {
            OrderResult::Unanswered => self.open.unanswered(order),
            _ => self.open.answered(order),
        }
        self.in_flight = false;
        self.changed = Some(now);
        if result == OrderResult::Unanswered && self.repeats < MOST_REPEATS {
            return self.repeat(order);
        }
        self.repeats = 0;
        match result {
            OrderResult::Accepted => self.accepted(now, order),
            OrderResult::InForce => match order {
                OrderKind::UnloadAdapter(model, adapter) => self.adapter_left(model, adapter),
                _ => self.unknown(now),
            },
            OrderResult::Refused => {
                self.goal = None;
                self.unknown(now);
            }
            _ => self.unknown(now),
        }
    }

    /// The order had no answer. It may be given again at once: both are sent on the
    /// condition of one sequence number, so one of them is carried out at most, and
    /// the engine is known as it is until then.
    fn repeat(&mut self, order: &OrderKind) {
        self.repeats += 1;
        if let (OrderKind::LoadAdapter(model, adapter), Some(known)) = (order, &mut self.known) {
            known.pending.remove(&(model.clone(), adapter.clone()));
        }
    }

    /// The order was taken, so the sequence number is one higher.
    fn accepted(&mut self, now: Timestamp, order: &OrderKind) {
        let Some(known) = &mut self.known else {
            return;
        };
        known.sequence += 1;
        match order {
            OrderKind::LoadModel(_) => {
                known.busy = true;
                let ready_at = self.goal.as_ref().map(|goal| goal.ready_at);
                self.ask_at = ready_at.unwrap_or(now + LOAD_POLL);
            }
            OrderKind::UnloadModel(_) => {
                known.busy = true;
                self.ask_at = now + UNLOAD_TIME;
            }
            OrderKind::LoadAdapter(..) => self.ask_at = now + ADAPTER_POLL,
            // Its place counts as taken until a report shows it free.
            OrderKind::UnloadAdapter(..) => self.unknown(now),
        }
    }

    /// An idle adapter was unloaded at once, and the sequence number is one higher.
    fn adapter_left(&mut self, model: &ModelId, adapter: &AdapterId) {
        let Some(known) = &mut self.known else {
            return;
        };
        known.sequence += 1;
        if let Some(adapters) = known.holdings.get_mut(model) {
            adapters.remove(adapter);
        }
    }

    /// Nothing is known any more; the state is asked once stale answers are past.
    fn unknown(&mut self, now: Timestamp) {
        self.known = None;
        self.unloading = None;
        self.check = true;
        self.ask_at = now + SETTLE_TIME;
    }

    /// The action was not begun.
    pub fn abandoned(&mut self, now: Timestamp) {
        self.in_flight = false;
        self.unknown(now);
    }

    /// The row for gateways, while there is anything newer than discovery to say.
    pub fn row(&self, now: Timestamp, fence: u64) -> Option<PlacedRow> {
        let changed = self.changed?;
        let settled = self.goal.is_none() && self.unloading.is_none();
        if settled && now.since(changed) > ROW_LIFETIME {
            return None;
        }
        let mut holdings = self.holdings().clone();
        if let Some(leaving) = &self.unloading {
            holdings.remove(leaving);
        }
        let loading = self.goal.as_ref().map(|goal| PlannedLoad {
            model: goal.model.clone(),
            ready_in: goal.ready_at.since(now),
        });
        Some(PlacedRow {
            fence,
            born: self.born(),
            holdings,
            unloading: self.unloading.clone(),
            loading,
            left_over: self.left_over.models().into_iter().cloned().collect(),
        })
    }
}

/// Memory of models and adapters, in megabytes. An unknown model fills the engine.
fn held_memory(spec: &Engine, holdings: &Holdings) -> f64 {
    let memory = |(model, adapters): (&ModelId, &BTreeSet<AdapterId>)| match spec.models.get(model)
    {
        Some(model) => model.memory_mb + model.adapter_mb * adapters.len() as f64,
        None => spec.memory_mb,
    };
    holdings.iter().map(memory).sum()
}
