//! Chooses the next action at an engine: a poll, an order or none.
//!
//! The input is the engine state, the total demand and the limits of the weight store. The output
//! is at most one action. Memory and adapter slots for an order are computed from the state that
//! the engine itself confirmed, never from discovery.

use std::collections::BTreeSet;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, ModelId};

use super::EngineState;
use crate::configuration::Engine;
use crate::placement::totals::DemandTotals;
use crate::placement::weight_store::WeightStore;
use crate::placement::{Action, ActionKind, OrderKind};

/// Maximum number of adapter loads in progress on one engine.
const MAX_PENDING_ADAPTERS: usize = 4;

impl EngineState {
    /// The next action, if there is one.
    pub fn next_action(
        &mut self,
        now: Timestamp,
        spec: &Engine,
        totals: &DemandTotals,
        store: &mut WeightStore,
    ) -> Option<Action> {
        self.clear_finished_goal(now);
        self.previous_orders.remove_expired(now);
        self.unresolved_orders.remove_expired(now);
        let has_work = self.needs_poll || self.goal.is_some() || !self.wanted_adapters.is_empty();
        let pending = self
            .confirmed
            .as_ref()
            .is_some_and(|confirmed| confirmed.busy || !confirmed.pending.is_empty());
        if self.is_action_in_flight || !(has_work || pending) || self.observed.draining {
            return None;
        }
        let Some(confirmed) = &self.confirmed else {
            return self.poll(now, "engine state is unknown");
        };
        if self.needs_poll {
            return self.poll(now, "requests wait for a model on the engine");
        }
        if confirmed.busy {
            return self.poll(now, "order in progress");
        }
        let sequence = confirmed.sequence;
        let (order, reason) = match self.next_order(now, spec, totals, store) {
            Some(order) => order,
            None if pending => return self.poll(now, "adapter load in progress"),
            None => return None,
        };
        self.is_action_in_flight = true;
        self.changed_at = Some(now);
        self.unresolved_orders.record_sent(now, order.clone());
        self.record_pending_adapter(&order);
        let kind = ActionKind::Order { order, sequence };
        Some(self.build_action(kind, reason))
    }

    /// Counts an adapter as being loaded from the moment of the order.
    fn record_pending_adapter(&mut self, order: &OrderKind) {
        if let (OrderKind::LoadAdapter(model, adapter), Some(confirmed)) =
            (order, &mut self.confirmed)
        {
            confirmed.pending.insert((model.clone(), adapter.clone()));
        }
    }

    fn next_order(
        &mut self,
        now: Timestamp,
        spec: &Engine,
        totals: &DemandTotals,
        store: &mut WeightStore,
    ) -> Option<(OrderKind, &'static str)> {
        if let Some(order) = self.next_goal_order(now, spec, store) {
            return Some(order);
        }
        self.next_adapter_order(spec, totals)
    }

    fn next_goal_order(
        &mut self,
        now: Timestamp,
        spec: &Engine,
        store: &mut WeightStore,
    ) -> Option<(OrderKind, &'static str)> {
        let model = self.goal.as_ref()?.model.clone();
        let model_spec = spec.models.get(&model)?;
        if self.free_memory(spec, Some(&model)) >= model_spec.memory_mb {
            let from_store = !self.has_local_copy(&model);
            let sequence = self.confirmed.as_ref()?.sequence;
            let is_repeat = store.is_unresolved(now, &self.observed.id, sequence);
            let rate = spec.loads_per_second;
            if from_store && !is_repeat && store.check_limits(now, rate, 0).is_err() {
                return None;
            }
            if from_store {
                store.record_order(now, &self.observed.id, sequence, &model, model_spec.load);
            }
            let expected = self.load_time(&model, model_spec);
            let goal = self.goal.as_mut()?;
            goal.ready_at = now + expected.as_millis() as u64;
            goal.is_load_ordered = true;
            return Some((OrderKind::LoadModel(model), "demand"));
        }
        let held = self.holdings();
        let mut victims = self.goal.as_ref()?.victims.iter();
        let victim = victims.find(|victim| held.contains_key(*victim))?.clone();
        self.unloading = Some(victim.clone());
        Some((OrderKind::UnloadModel(victim), "room for a model in demand"))
    }

    fn next_adapter_order(
        &self,
        spec: &Engine,
        totals: &DemandTotals,
    ) -> Option<(OrderKind, &'static str)> {
        let confirmed = self.confirmed.as_ref()?;
        let (model, adapter) = self
            .wanted_adapters
            .iter()
            .filter(|(model, _)| confirmed.holdings.contains_key(model))
            .max_by(|one, other| {
                let rate = |key: &(ModelId, AdapterId)| totals.adapter_rate(&key.0, &key.1);
                rate(one).total_cmp(&rate(other))
            })?;
        if confirmed.pending.len() >= MAX_PENDING_ADAPTERS {
            return None;
        }
        let held: usize = confirmed.holdings.values().map(BTreeSet::len).sum();
        let memory = spec.models.get(model)?.adapter_mb;
        let taken =
            held + confirmed.pending.len() + self.previous_orders.adapter_slots_needed(spec);
        let fits = taken < spec.adapter_slots;
        if fits && self.free_memory(spec, None) >= memory {
            let order = OrderKind::LoadAdapter(model.clone(), adapter.clone());
            return Some((order, "adapter in demand"));
        }
        let (model, adapter) = self.least_used_adapter(totals)?;
        let order = OrderKind::UnloadAdapter(model, adapter);
        Some((order, "room for an adapter in demand"))
    }

    fn least_used_adapter(&self, totals: &DemandTotals) -> Option<(ModelId, AdapterId)> {
        let confirmed = self.confirmed.as_ref()?;
        let held = confirmed.holdings.iter().flat_map(|(model, adapters)| {
            adapters
                .iter()
                .map(move |adapter| (model.clone(), adapter.clone()))
        });
        held.min_by(|one, other| {
            let rate = |key: &(ModelId, AdapterId)| totals.adapter_rate(&key.0, &key.1);
            rate(one).total_cmp(&rate(other))
        })
    }

    fn poll(&mut self, now: Timestamp, reason: &'static str) -> Option<Action> {
        if now < self.next_poll_at {
            return None;
        }
        self.is_action_in_flight = true;
        Some(self.build_action(ActionKind::Report, reason))
    }

    fn build_action(&self, kind: ActionKind, reason: &'static str) -> Action {
        Action {
            engine: self.observed.id.clone(),
            kind,
            reason,
            born: self.born(),
        }
    }
}
