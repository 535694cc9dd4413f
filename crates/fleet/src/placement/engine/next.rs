//! The next thing to do at an engine: ask it, give it an order, or wait.
//!
//! Orders are sized by what the engine itself told, never by what discovery shows.

use std::collections::BTreeSet;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, ModelId};

use super::EngineState;
use crate::configuration::Engine;
use crate::placement::totals::Totals;
use crate::placement::weight_store::WeightStore;
use crate::placement::{Action, ActionKind, OrderKind};

/// Adapters that may be on their way to one engine at once.
const ADAPTERS_IN_TRANSIT: usize = 4;

impl EngineState {
    /// The next thing to do, if there is one.
    pub fn next_action(
        &mut self,
        now: Timestamp,
        spec: &Engine,
        totals: &Totals,
        store: &mut WeightStore,
    ) -> Option<Action> {
        self.settle_goal(now);
        self.left_over.forget_old(now);
        let waits = self.check || self.goal.is_some() || !self.wanted_adapters.is_empty();
        let pending = self
            .known
            .as_ref()
            .is_some_and(|known| known.busy || !known.pending.is_empty());
        if self.in_flight || !(waits || pending) || self.observed.draining {
            return None;
        }
        let Some(known) = &self.known else {
            return self.ask(now, "state unknown");
        };
        if self.check {
            return self.ask(now, "requests wait for what it holds");
        }
        if known.busy {
            return self.ask(now, "order under way");
        }
        let sequence = known.sequence;
        let (order, reason) = match self.next_order(now, spec, totals, store) {
            Some(order) => order,
            None if pending => return self.ask(now, "adapter on its way"),
            None => return None,
        };
        self.in_flight = true;
        self.changed = Some(now);
        self.open.sent(now, order.clone());
        self.note_on_its_way(&order);
        let kind = ActionKind::Order { order, sequence };
        Some(self.action(kind, reason))
    }

    /// An adapter counts as on its way from the moment of the order.
    fn note_on_its_way(&mut self, order: &OrderKind) {
        if let (OrderKind::LoadAdapter(model, adapter), Some(known)) = (order, &mut self.known) {
            known.pending.insert((model.clone(), adapter.clone()));
        }
    }

    fn next_order(
        &mut self,
        now: Timestamp,
        spec: &Engine,
        totals: &Totals,
        store: &mut WeightStore,
    ) -> Option<(OrderKind, &'static str)> {
        if let Some(order) = self.goal_order(now, spec, store) {
            return Some(order);
        }
        self.adapter_order(spec, totals)
    }

    fn goal_order(
        &mut self,
        now: Timestamp,
        spec: &Engine,
        store: &mut WeightStore,
    ) -> Option<(OrderKind, &'static str)> {
        let model = self.goal.as_ref()?.model.clone();
        let wanted = spec.models.get(&model)?;
        if self.free_memory(spec) >= wanted.memory_mb {
            let from_store = !self.has_copy(&model);
            let sequence = self.known.as_ref()?.sequence;
            let is_repeat = store.is_open(now, &self.observed.id, sequence);
            let rate = spec.loads_per_second;
            if from_store && !is_repeat && store.allows(now, rate, 0).is_err() {
                return None;
            }
            if from_store {
                store.begin(now, &self.observed.id, sequence, wanted.load);
            }
            let expected = self.load_time(&model, wanted);
            let goal = self.goal.as_mut()?;
            goal.ready_at = now + expected.as_millis() as u64;
            goal.loading = true;
            return Some((OrderKind::LoadModel(model), "demand"));
        }
        let held = self.holdings();
        let mut victims = self.goal.as_ref()?.victims.iter();
        let victim = victims.find(|victim| held.contains_key(*victim))?.clone();
        self.unloading = Some(victim.clone());
        Some((OrderKind::UnloadModel(victim), "room for a model in demand"))
    }

    fn adapter_order(&self, spec: &Engine, totals: &Totals) -> Option<(OrderKind, &'static str)> {
        let known = self.known.as_ref()?;
        let (model, adapter) = self
            .wanted_adapters
            .iter()
            .filter(|(model, _)| known.holdings.contains_key(model))
            .max_by(|one, other| {
                let rate = |key: &(ModelId, AdapterId)| totals.adapter_rate(&key.0, &key.1);
                rate(one).total_cmp(&rate(other))
            })?;
        if known.pending.len() >= ADAPTERS_IN_TRANSIT {
            return None;
        }
        let held: usize = known.holdings.values().map(BTreeSet::len).sum();
        let memory = spec.models.get(model)?.adapter_mb;
        let taken = held + known.pending.len() + self.left_over.adapters(spec);
        let fits = taken < spec.adapter_slots;
        if fits && self.free_memory(spec) >= memory {
            let order = OrderKind::LoadAdapter(model.clone(), adapter.clone());
            return Some((order, "adapter in demand"));
        }
        let (model, adapter) = self.idle_adapter(totals)?;
        let order = OrderKind::UnloadAdapter(model, adapter);
        Some((order, "room for an adapter in demand"))
    }

    fn idle_adapter(&self, totals: &Totals) -> Option<(ModelId, AdapterId)> {
        let known = self.known.as_ref()?;
        let held = known.holdings.iter().flat_map(|(model, adapters)| {
            adapters
                .iter()
                .map(move |adapter| (model.clone(), adapter.clone()))
        });
        held.min_by(|one, other| {
            let rate = |key: &(ModelId, AdapterId)| totals.adapter_rate(&key.0, &key.1);
            rate(one).total_cmp(&rate(other))
        })
    }

    fn ask(&mut self, now: Timestamp, reason: &'static str) -> Option<Action> {
        if now < self.ask_at {
            return None;
        }
        self.in_flight = true;
        Some(self.action(ActionKind::Report, reason))
    }

    fn action(&self, kind: ActionKind, reason: &'static str) -> Action {
        Action {
            engine: self.observed.id.clone(),
            kind,
            reason,
            born: self.born(),
        }
    }
}
