//! State of one engine as the placement holder knows it.
//!
//! `observed` is the engine's discovery row, which often lags behind. `confirmed` is the state that
//! the engine itself reported for a sequence number, advanced by the orders that the engine has
//! acknowledged since. Memory and adapter slots for an order are computed from `confirmed` only.
//!
//! The input is discovery rows, engine reports, order results and the goals that the planner sets.
//! The output is the next action at the engine and the row that gateways read.

mod next;
mod unresolved_orders;

use std::collections::BTreeSet;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId, SoftwareVersion};

pub use unresolved_orders::PossibleOrders;
use unresolved_orders::UnresolvedOrders;

use super::goal::Goal;
use super::{MemoryReservation, OrderKind, OrderResult};
use crate::back_end::{BackEndReport, CopyTier, EngineReport, Holdings, PlacedRow, PlannedLoad};
use crate::configuration::{Engine, ModelSpec};
use crate::incarnation::{Born, Incarnation, IncarnationMatch};

/// Maximum number of times that an order without a response is repeated before the engine is
/// polled.
const MAX_ORDER_REPEATS: u32 = 2;
/// Delay before an engine is polled after an order had no response or was refused, in milliseconds.
/// Reports lag by about 100 ms, so an earlier report might not show the effect of the order.
const REPORT_SETTLE_MS: u64 = 400;
/// An engine that responded within this time is not polled because of waiting requests, in
/// milliseconds.
const RECENT_RESPONSE_MS: u64 = 700;
/// Interval between two polls while a load takes longer than expected, in milliseconds.
const LOAD_POLL_INTERVAL_MS: u64 = 100;
/// Delay until the first poll after an unload was accepted, in milliseconds. By then an idle model
/// is unloaded and a report shows that.
const UNLOAD_POLL_DELAY_MS: u64 = 120;
/// Interval between two polls while an adapter load is in progress, in milliseconds.
const ADAPTER_POLL_INTERVAL_MS: u64 = 50;
/// A goal that is not reached within this time is dropped, in milliseconds.
const GOAL_LIFETIME_MS: u64 = 15_000;
/// Time after the last change for which the row of an engine without a goal or unload is still
/// published, in milliseconds.
const ROW_LIFETIME_MS: u64 = 5_000;

/// The state that an engine reported, advanced by the orders that it has acknowledged since.
#[derive(Debug)]
struct ConfirmedState {
    holdings: Holdings,
    /// Adapters that are being loaded, by model.
    pending: BTreeSet<(ModelId, AdapterId)>,
    /// Whether an order is in progress.
    busy: bool,
    /// Number of orders that the engine has accepted.
    sequence: u64,
}

/// The state of one engine.
#[derive(Debug)]
pub struct EngineState {
    incarnation: Incarnation,
    observed: BackEndReport,
    /// Orders to the present incarnation whose results are unknown.
    unresolved_orders: UnresolvedOrders,
    /// Orders to previous incarnations that the present one may still execute, because its sequence
    /// numbers start again from zero and may match theirs. The adapter slots and memory that these
    /// orders need are kept free.
    previous_orders: UnresolvedOrders,
    confirmed: Option<ConfirmedState>,
    goal: Option<Goal>,
    unloading: Option<ModelId>,
    wanted_adapters: BTreeSet<(ModelId, AdapterId)>,
    is_action_in_flight: bool,
    /// Number of times that the last order was repeated.
    repeats: u32,
    next_poll_at: Timestamp,
    needs_poll: bool,
    is_unresponsive: bool,
    last_response_at: Timestamp,
    changed_at: Option<Timestamp>,
    /// The rate limit that the engine states, in requests per second, if it states one.
    limit: Option<f64>,
}

impl EngineState {
    /// Creates the state of an engine that discovery has just reported.
    pub fn new(now: Timestamp, observed: BackEndReport) -> Self {
        EngineState {
            incarnation: Incarnation::new(observed.born),
            observed,
            unresolved_orders: UnresolvedOrders::default(),
            previous_orders: UnresolvedOrders::default(),
            confirmed: None,
            goal: None,
            unloading: None,
            wanted_adapters: BTreeSet::new(),
            is_action_in_flight: false,
            repeats: 0,
            next_poll_at: now,
            needs_poll: false,
            is_unresponsive: false,
            last_response_at: now,
            changed_at: None,
            limit: None,
        }
    }

    /// Applies a discovery row, unless the row belongs to another incarnation.
    pub fn observe(&mut self, now: Timestamp, report: &BackEndReport) -> IncarnationMatch {
        let incarnation_match = self.match_incarnation(now, report.born);
        if incarnation_match == IncarnationMatch::Same {
            self.observed = report.clone();
        }
        incarnation_match
    }

    /// Matches a reported start time against the known incarnation.
    pub fn match_incarnation(&mut self, now: Timestamp, born: Option<Born>) -> IncarnationMatch {
        self.incarnation.observe(now, born)
    }

    /// Whether a message with this start time may belong to the present incarnation.
    pub fn may_be_incarnation(&self, start_time: Option<Born>) -> bool {
        self.incarnation.may_match(start_time)
    }

    /// The start time of the present incarnation, if it is known.
    pub fn born(&self) -> Option<Born> {
        self.incarnation.born()
    }

    /// Version of the engine's software.
    pub fn software_version(&self) -> &SoftwareVersion {
        &self.observed.software_version
    }

    /// The initial discovery report of a new incarnation that the engine itself has announced.
    pub fn restarted_as(&self, born: Option<Born>) -> BackEndReport {
        BackEndReport {
            born,
            holdings: Holdings::new(),
            ..self.observed.clone()
        }
    }

    /// Resets the state for a new incarnation under the same name, which is polled like a new
    /// engine. Orders to the previous incarnation may still take effect.
    pub fn begin_incarnation(&mut self, now: Timestamp, report: BackEndReport) {
        let mut previous_orders = std::mem::take(&mut self.previous_orders);
        previous_orders.merge(std::mem::take(&mut self.unresolved_orders));
        *self = EngineState::new(now, report);
        previous_orders.remove_expired(now);
        self.previous_orders = previous_orders;
    }

    /// Adds orders that were sent before this state was created, to this incarnation or to an
    /// earlier one.
    pub fn add_possible_orders(&mut self, orders: PossibleOrders) {
        let is_previous_incarnation = orders.born.is_some() && orders.born != self.born();
        self.previous_orders.merge(orders.previous);
        if is_previous_incarnation {
            self.previous_orders.merge(orders.unresolved);
        } else {
            self.unresolved_orders.merge(orders.unresolved);
        }
    }

    /// The orders that may still be executed after the engine has disappeared from discovery.
    pub fn possible_orders(&self) -> PossibleOrders {
        PossibleOrders {
            born: self.born(),
            unresolved: self.unresolved_orders.clone(),
            previous: self.previous_orders.clone(),
        }
    }

    /// Resumes the operation in progress that the row of a previous placement holder names, if the
    /// row is about this incarnation.
    pub fn resume(&mut self, row: &PlacedRow) {
        if row.born.is_some() && row.born != self.born() {
            return;
        }
        self.needs_poll = row.loading.is_some() || row.unloading.is_some();
        self.unloading = row.unloading.clone();
    }

    /// The model that the engine was ordered to load, until the engine reports that it holds the
    /// model.
    pub fn model_being_loaded(&self) -> Option<&ModelId> {
        let goal = self.goal.as_ref().filter(|goal| goal.is_load_ordered)?;
        (!self.observed.draining).then_some(&goal.model)
    }

    pub fn id(&self) -> &BackEndId {
        &self.observed.id
    }

    pub fn service(&self) -> &ServiceId {
        &self.observed.service
    }

    /// Whether the engine accepts requests for `service`.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.observed.service == *service && !self.observed.draining
    }

    /// The models and adapters on the engine: as the engine confirmed them, otherwise as discovery
    /// shows them.
    pub fn holdings(&self) -> &Holdings {
        match &self.confirmed {
            Some(confirmed) => &confirmed.holdings,
            None => &self.observed.holdings,
        }
    }

    /// Sets the rate limit that the engine states, in requests per second; `None` if it states
    /// none.
    pub fn set_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
    }

    /// The rate limit that the engine states, in requests per second, if it states one.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Whether the engine responds, holds the model and is not unloading it.
    pub fn retains(&self, model: &ModelId) -> bool {
        !self.is_unresponsive && self.holds(model)
    }

    fn holds(&self, model: &ModelId) -> bool {
        self.unloading.as_ref() != Some(model) && self.holdings().contains_key(model)
    }

    /// Schedules a poll of an engine that is thought to hold a model while requests wait for that
    /// model, unless the engine responded recently. An engine that does not respond counts as
    /// holding no models until it responds again.
    pub fn poll_if_silent(&mut self, now: Timestamp, model: &ModelId) {
        if self.holds(model) && now.since(self.last_response_at) > RECENT_RESPONSE_MS {
            self.needs_poll = true;
        }
    }

    /// Schedules a poll of the engine before any other action.
    pub fn schedule_poll(&mut self) {
        self.needs_poll = true;
    }

    /// Whether the model is the goal of this engine and is not late.
    pub fn expects(&self, now: Timestamp, model: &ModelId) -> bool {
        let goal = self.goal.as_ref().filter(|goal| goal.model == *model);
        goal.is_some_and(|goal| !goal.is_late(now))
    }

    /// Drops a late goal for a model that will be loaded on another engine, unless the load was
    /// already ordered here.
    pub fn drop_late_goal(&mut self, now: Timestamp, model: &ModelId) {
        let is_superseded =
            |goal: &Goal| goal.model == *model && !goal.is_load_ordered && goal.is_late(now);
        if !self.is_action_in_flight && self.goal.as_ref().is_some_and(is_superseded) {
            self.changed_at = Some(now);
            self.goal = None;
        }
    }

    /// Whether a new goal may be set.
    pub fn is_free(&self) -> bool {
        let idle = self.goal.is_none() && self.unloading.is_none();
        idle && !self.needs_poll && !self.is_unresponsive && !self.is_busy()
    }

    /// Time until a new goal may be set, as far as it is known. It is `None` for an engine that
    /// does not respond, whose goal is late, or that executes an order with an unknown end.
    pub fn time_until_free(&self, now: Timestamp) -> Option<Duration> {
        let left = match &self.goal {
            Some(goal) if goal.is_late(now) => None,
            Some(goal) => Some(goal.ready_at.since(now)),
            None if self.unloading.is_some() || self.is_busy() => None,
            None => Some(0),
        };
        left.filter(|_| !self.is_unresponsive)
            .map(Duration::from_millis)
    }

    fn is_busy(&self) -> bool {
        self.confirmed
            .as_ref()
            .is_some_and(|confirmed| confirmed.busy)
    }

    /// Sets the goal to load a model, which is expected to be ready after `expected`. The models in
    /// `victims` may be unloaded for it.
    pub fn set_goal(
        &mut self,
        now: Timestamp,
        model: ModelId,
        expected: Duration,
        victims: Vec<ModelId>,
    ) {
        self.changed_at = Some(now);
        self.goal = Some(Goal {
            model,
            set_at: now,
            ready_at: now + expected.as_millis() as u64,
            victims,
            is_load_ordered: false,
        });
    }

    pub fn add_wanted_adapter(&mut self, model: ModelId, adapter: AdapterId) {
        self.wanted_adapters.insert((model, adapter));
    }

    /// Removes all wanted adapters.
    pub fn clear_wanted_adapters(&mut self) {
        self.wanted_adapters.clear();
    }

    /// Number of adapters that are loaded, being loaded or wanted.
    pub fn adapter_count(&self) -> usize {
        let held: usize = self.holdings().values().map(BTreeSet::len).sum();
        let pending = self
            .confirmed
            .as_ref()
            .map_or(0, |confirmed| confirmed.pending.len());
        held + pending + self.wanted_adapters.len()
    }

    /// Whether the adapter is loaded, being loaded or wanted.
    pub fn has_adapter(&self, model: &ModelId, adapter: &AdapterId) -> bool {
        let key = (model.clone(), adapter.clone());
        let held = self.holdings().get(model);
        held.is_some_and(|adapters| adapters.contains(adapter))
            || self.wanted_adapters.contains(&key)
            || self
                .confirmed
                .as_ref()
                .is_some_and(|confirmed| confirmed.pending.contains(&key))
    }

    /// Memory that is not allocated, in megabytes. Memory for adapter loads in progress and for
    /// orders to previous incarnations counts as allocated, but for loads of `target`, for which
    /// the memory is needed.
    pub fn free_memory(&self, spec: &Engine, target: Option<&ModelId>) -> f64 {
        let pending = self
            .confirmed
            .iter()
            .flat_map(|confirmed| &confirmed.pending);
        let pending: f64 = pending
            .filter_map(|(model, _)| Some(spec.models.get(model)?.adapter_mb))
            .sum();
        spec.memory_mb
            - memory_of_holdings(spec, self.holdings())
            - pending
            - self.reserved_memory(spec, target)
    }

    fn reserved_memory(&self, spec: &Engine, target: Option<&ModelId>) -> f64 {
        self.previous_orders
            .memory_needed(spec, self.holdings(), target)
    }

    /// Whether an order to a previous incarnation may load the model, so that an unload of the model
    /// frees no memory.
    pub fn may_be_loaded_again(&self, model: &ModelId) -> bool {
        self.previous_orders.models().contains(model)
    }

    /// Memory that is kept free for orders to previous incarnations, if there are any.
    pub fn reservation(&self, now: Timestamp, spec: &Engine) -> Option<MemoryReservation> {
        let orders = &self.previous_orders;
        let for_ms = orders.expires_in(now)?;
        Some(MemoryReservation {
            engine: self.observed.id.clone(),
            memory_mb: self.reserved_memory(spec, None),
            for_ms,
            has_unlisted_orders: orders.has_unlisted_orders(),
        })
    }

    /// Duration of a load on this engine, by where the engine has a copy of the weights.
    pub fn load_time(&self, model: &ModelId, spec: &ModelSpec) -> Duration {
        spec.load_from(self.observed.nearest_copy(model))
    }

    /// Whether a load on this engine reads a local copy instead of the weight store.
    pub fn has_local_copy(&self, model: &ModelId) -> bool {
        self.observed.nearest_copy(model) != CopyTier::WeightStore
    }

    /// Whether the engine holds no model and has no copy of one.
    pub fn has_no_models(&self) -> bool {
        let observed = &self.observed;
        let has_copies = !observed.in_memory.is_empty() || !observed.on_disk.is_empty();
        self.holdings().is_empty() && !has_copies
    }

    /// Whether the engine is thought to hold models because of its discovery row, and has not confirmed
    /// that to this holder.
    pub fn is_unverified(&self) -> bool {
        self.confirmed.is_none() && !self.is_unresponsive && !self.holdings().is_empty()
    }

    /// Whether the engine is to load a model from the weight store once it has enough free memory.
    pub fn will_load_from_store(&self) -> bool {
        let goal = self.goal.as_ref().filter(|goal| !goal.is_load_ordered);
        goal.is_some_and(|goal| !self.has_local_copy(&goal.model))
    }

    /// Clears a goal that was reached or has expired.
    fn clear_finished_goal(&mut self, now: Timestamp) {
        let Some(goal) = &self.goal else {
            return;
        };
        let confirmed = self.confirmed.as_ref();
        let reached = confirmed.is_some_and(|confirmed| {
            !confirmed.busy && confirmed.holdings.contains_key(&goal.model)
        });
        let old = now.since(goal.set_at) > GOAL_LIFETIME_MS;
        if !self.is_action_in_flight && (reached || old) {
            self.changed_at = Some(now);
            self.goal = None;
        }
    }

    /// Applies the engine's response to a poll; `None` if the engine did not respond.
    pub fn apply_report(&mut self, now: Timestamp, report: Option<EngineReport>) {
        self.is_action_in_flight = false;
        let Some(report) = report else {
            self.confirmed = None;
            self.is_unresponsive = true;
            self.needs_poll = true;
            self.next_poll_at = now + REPORT_SETTLE_MS;
            return;
        };
        self.is_unresponsive = false;
        self.last_response_at = now;
        let is_stale = |confirmed: &ConfirmedState| report.sequence < confirmed.sequence;
        if self.confirmed.as_ref().is_some_and(is_stale) {
            self.needs_poll = false;
            self.next_poll_at = now + ADAPTER_POLL_INTERVAL_MS;
            return;
        }
        self.needs_poll = false;
        self.changed_at = Some(now);
        if !report.busy {
            self.unloading = None;
        }
        let is_short_order = !report.busy || self.unloading.is_some();
        self.next_poll_at = now
            + if is_short_order {
                ADAPTER_POLL_INTERVAL_MS
            } else {
                LOAD_POLL_INTERVAL_MS
            };
        self.observed.in_memory = report.in_memory;
        self.observed.on_disk = report.on_disk;
        self.confirmed = Some(ConfirmedState {
            holdings: report.holdings,
            pending: report.pending,
            busy: report.busy,
            sequence: report.sequence,
        });
    }

    /// Applies the result of an order.
    pub fn apply_order_result(&mut self, now: Timestamp, order: &OrderKind, result: OrderResult) {
        match result {
            OrderResult::Unanswered => self.unresolved_orders.record_no_response(order),
            _ => self.unresolved_orders.record_response(order),
        }
        self.is_action_in_flight = false;
        self.changed_at = Some(now);
        if result == OrderResult::Unanswered && self.repeats < MAX_ORDER_REPEATS {
            return self.prepare_repeat(order);
        }
        self.repeats = 0;
        match result {
            OrderResult::Accepted => self.apply_accepted_order(now, order),
            OrderResult::InForce => match order {
                OrderKind::UnloadAdapter(model, adapter) => self.remove_adapter(model, adapter),
                _ => self.discard_confirmed_state(now),
            },
            OrderResult::Refused => {
                self.goal = None;
                self.discard_confirmed_state(now);
            }
            _ => self.discard_confirmed_state(now),
        }
    }

    /// Prepares for the order without a response to be sent again immediately. Both sends carry the
    /// same sequence number as their condition, so the engine executes the order at most once and
    /// its confirmed state stays valid until then.
    fn prepare_repeat(&mut self, order: &OrderKind) {
        self.repeats += 1;
        if let (OrderKind::LoadAdapter(model, adapter), Some(confirmed)) =
            (order, &mut self.confirmed)
        {
            confirmed.pending.remove(&(model.clone(), adapter.clone()));
        }
    }

    /// Applies an accepted order, which increments the sequence number.
    fn apply_accepted_order(&mut self, now: Timestamp, order: &OrderKind) {
        let Some(confirmed) = &mut self.confirmed else {
            return;
        };
        confirmed.sequence += 1;
        match order {
            OrderKind::LoadModel(_) => {
                confirmed.busy = true;
                let ready_at = self.goal.as_ref().map(|goal| goal.ready_at);
                self.next_poll_at = ready_at.unwrap_or(now + LOAD_POLL_INTERVAL_MS);
            }
            OrderKind::UnloadModel(_) => {
                confirmed.busy = true;
                self.next_poll_at = now + UNLOAD_POLL_DELAY_MS;
            }
            OrderKind::LoadAdapter(..) => self.next_poll_at = now + ADAPTER_POLL_INTERVAL_MS,
            // The slot of the adapter counts as used until a report shows it free.
            OrderKind::UnloadAdapter(..) => self.discard_confirmed_state(now),
        }
    }

    /// Applies the immediate unload of an idle adapter, which increments the sequence number.
    fn remove_adapter(&mut self, model: &ModelId, adapter: &AdapterId) {
        let Some(confirmed) = &mut self.confirmed else {
            return;
        };
        confirmed.sequence += 1;
        if let Some(adapters) = confirmed.holdings.get_mut(model) {
            adapters.remove(adapter);
        }
    }

    /// Discards the confirmed state and schedules a poll for the time when stale reports have
    /// passed.
    fn discard_confirmed_state(&mut self, now: Timestamp) {
        self.confirmed = None;
        self.unloading = None;
        self.needs_poll = true;
        self.next_poll_at = now + REPORT_SETTLE_MS;
    }

    /// Records that an action was not started.
    pub fn cancel_action(&mut self, now: Timestamp) {
        self.is_action_in_flight = false;
        self.discard_confirmed_state(now);
    }

    /// Models, other than that of the goal, that orders without a response may load.
    fn unanswered_loads(&self) -> Vec<ModelId> {
        let goal = self.goal.as_ref().map(|goal| &goal.model);
        let models = self.unresolved_orders.unanswered_models().into_iter();
        models
            .filter(|model| goal != Some(*model))
            .cloned()
            .collect()
    }

    /// The row for gateways, as long as it contains anything newer than discovery.
    pub fn row(&self, now: Timestamp, fence: u64) -> Option<PlacedRow> {
        let changed_at = self.changed_at?;
        let settled = self.goal.is_none() && self.unloading.is_none();
        if settled && now.since(changed_at) > ROW_LIFETIME_MS {
            return None;
        }
        let mut holdings = self.holdings().clone();
        if let Some(unloading) = &self.unloading {
            holdings.remove(unloading);
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
            orphaned_loads: self.previous_orders.models().into_iter().cloned().collect(),
            unanswered_loads: Some(self.unanswered_loads()),
            unanswered_adapter_loads: self.previous_orders.adapter_loads()
                + self.unresolved_orders.unanswered_adapter_loads(),
        })
    }
}

/// Memory of models and adapters, in megabytes. A model that is not in the configuration counts as
/// the engine's whole memory.
fn memory_of_holdings(spec: &Engine, holdings: &Holdings) -> f64 {
    let memory = |(model, adapters): (&ModelId, &BTreeSet<AdapterId>)| match spec.models.get(model)
    {
        Some(model) => model.memory_mb + model.adapter_mb * adapters.len() as f64,
        None => spec.memory_mb,
    };
    holdings.iter().map(memory).sum()
}
