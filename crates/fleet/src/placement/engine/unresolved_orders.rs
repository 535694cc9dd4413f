//! Orders to one engine whose results are unknown: each of them may have been executed, or may
//! still be executed.
//!
//! Within one incarnation of the engine, the sequence number of an order shows whether the order
//! was executed. A new incarnation under the same name starts its sequence numbers again and may
//! reach the same number, so it may execute an old order. The memory and the adapter slots for such
//! an order are therefore kept free until the order has expired.
//!
//! The input is sent orders and their results, and the rows of previous holders. The output is the
//! memory and adapter slots that the orders may still use.
//!
//! Invariant: the row of an engine names every order that may still be executed, but for at most one
//! load of an adapter. The row names a model before its load is ordered, and an order without a
//! response before the next order is sent.

use std::collections::BTreeSet;

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;

use super::super::OrderKind;
use crate::back_end::{Holdings, PlacedRow};
use crate::configuration::Engine;
use crate::incarnation::Born;

/// An order without a response is executed within this time or never, in milliseconds.
const ORDER_LIFETIME_MS: u64 = 13_000;
/// Maximum number of adapter loads that a row is believed to name: far more than any engine has slots
/// for adapters.
const MAX_RESTORED_ADAPTER_LOADS: usize = 1_000;

/// An order whose result is unknown.
#[derive(Clone, Debug)]
struct UnresolvedOrder {
    order: OrderKind,
    sent_at: Timestamp,
    /// Whether a send of the order had no response. The response to another send says nothing about
    /// that one.
    had_no_response: bool,
}

/// The orders of one engine whose results are unknown.
#[derive(Clone, Debug, Default)]
pub struct UnresolvedOrders {
    orders: Vec<UnresolvedOrder>,
    /// Times until which adapter loads of previous holders may be executed, of which the model is
    /// not known.
    adapter_loads_until: Vec<Timestamp>,
    /// Time until which any orders of a previous holder that does not list them may be executed.
    unlisted_until: Option<Timestamp>,
}

impl UnresolvedOrders {
    /// Records an order that is about to be sent.
    pub fn record_sent(&mut self, now: Timestamp, order: OrderKind) {
        self.remove_expired(now);
        if let Some(existing) = self
            .orders
            .iter_mut()
            .find(|unresolved| unresolved.order == order)
        {
            existing.sent_at = now;
            return;
        }
        self.orders.push(UnresolvedOrder {
            order,
            sent_at: now,
            had_no_response: false,
        });
    }

    /// Records that the last send of an order had no response.
    pub fn record_no_response(&mut self, order: &OrderKind) {
        if let Some(existing) = self
            .orders
            .iter_mut()
            .find(|unresolved| unresolved.order == *order)
        {
            existing.had_no_response = true;
        }
    }

    /// Records that the result of the last send of an order is known.
    pub fn record_response(&mut self, order: &OrderKind) {
        self.orders
            .retain(|unresolved| unresolved.order != *order || unresolved.had_no_response);
    }

    /// Records a load that a previous holder may have ordered, without a known result.
    fn record_restored_load(&mut self, now: Timestamp, model: &ModelId) {
        let order = OrderKind::LoadModel(model.clone());
        self.record_sent(now, order.clone());
        self.record_no_response(&order);
    }

    /// Records adapter loads that a previous holder may have ordered.
    fn record_restored_adapter_loads(&mut self, now: Timestamp, count: usize) {
        let until = now + ORDER_LIFETIME_MS;
        let count = count.min(MAX_RESTORED_ADAPTER_LOADS);
        self.adapter_loads_until
            .extend(std::iter::repeat_n(until, count));
    }

    /// Records that any orders of a previous holder, which its row does not list, may be executed.
    fn record_unlisted_orders(&mut self, now: Timestamp) {
        self.unlisted_until = self.unlisted_until.max(Some(now + ORDER_LIFETIME_MS));
    }

    /// Adds the orders of a previous incarnation.
    pub fn merge(&mut self, previous: UnresolvedOrders) {
        self.orders.extend(previous.orders);
        self.adapter_loads_until
            .extend(previous.adapter_loads_until);
        self.unlisted_until = self.unlisted_until.max(previous.unlisted_until);
    }

    /// Removes orders that are too old to be executed.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.orders
            .retain(|unresolved| now.since(unresolved.sent_at) <= ORDER_LIFETIME_MS);
        self.adapter_loads_until.retain(|until| now < *until);
        self.unlisted_until = self.unlisted_until.filter(|until| now < *until);
    }

    /// Time until no order can be executed any more, in milliseconds; `None` if there are none.
    pub fn expires_in(&self, now: Timestamp) -> Option<u64> {
        let orders = self.orders.iter();
        let expiries = orders.map(|unresolved| unresolved.sent_at + ORDER_LIFETIME_MS);
        let adapter_loads = self.adapter_loads_until.iter().copied();
        let last = expiries
            .chain(adapter_loads)
            .chain(self.unlisted_until)
            .max()?;
        Some(last.since(now))
    }

    /// Whether orders are assumed that no row lists.
    pub fn has_unlisted_orders(&self) -> bool {
        self.unlisted_until.is_some()
    }

    /// Models that the orders may load.
    pub fn models(&self) -> BTreeSet<&ModelId> {
        self.loads_of(|_| true)
    }

    /// Models that orders without a response may load.
    pub fn unanswered_models(&self) -> BTreeSet<&ModelId> {
        self.loads_of(|unresolved| unresolved.had_no_response)
    }

    fn loads_of(&self, is_included: impl Fn(&UnresolvedOrder) -> bool) -> BTreeSet<&ModelId> {
        let orders = self.orders.iter().filter(|order| is_included(order));
        let loads = orders.filter_map(|unresolved| match &unresolved.order {
            OrderKind::LoadModel(model) => Some(model),
            _ => None,
        });
        loads.collect()
    }

    /// Number of adapter loads that may still begin.
    pub fn adapter_loads(&self) -> usize {
        self.named_adapter_loads().count() + self.adapter_loads_until.len()
    }

    /// Number of adapter loads without a response that may still begin.
    pub fn unanswered_adapter_loads(&self) -> usize {
        let named = self.named_adapter_loads();
        let unanswered = named.filter(|unresolved| unresolved.had_no_response);
        unanswered.count() + self.adapter_loads_until.len()
    }

    fn named_adapter_loads(&self) -> impl Iterator<Item = &UnresolvedOrder> {
        let orders = self.orders.iter();
        orders.filter(|unresolved| matches!(unresolved.order, OrderKind::LoadAdapter(..)))
    }

    /// Memory that the orders may still use on an engine that holds `holdings`, in megabytes. A load
    /// of a model that is held, or of `target`, needs no further memory. An unlisted order or an
    /// unknown model counts as the engine's whole memory.
    pub fn memory_needed(
        &self,
        spec: &Engine,
        holdings: &Holdings,
        target: Option<&ModelId>,
    ) -> f64 {
        if self.unlisted_until.is_some() {
            return spec.memory_mb;
        }
        let known = |model: &ModelId| spec.models.get(model).map(|existing| existing.memory_mb);
        let models = self.models().into_iter();
        let further =
            models.filter(|model| !holdings.contains_key(*model) && target != Some(*model));
        let of_models: f64 = further
            .map(|model| known(model).unwrap_or(spec.memory_mb))
            .sum();
        of_models + self.adapter_memory_needed(spec)
    }

    fn adapter_memory_needed(&self, spec: &Engine) -> f64 {
        match self.adapter_loads() {
            0 => 0.0,
            count => count as f64 * spec.largest_adapter_mb(),
        }
    }

    /// Adapter slots that the orders may still use.
    pub fn adapter_slots_needed(&self, spec: &Engine) -> usize {
        if self.unlisted_until.is_some() {
            return spec.adapter_slots;
        }
        self.adapter_loads()
    }
}

/// Orders to an engine that a previous holder, or this one before the engine disappeared from
/// discovery, may have sent.
#[derive(Clone, Debug)]
pub struct PossibleOrders {
    /// The start time of the incarnation that the orders were sent to.
    pub born: Option<Born>,
    /// Orders to that incarnation.
    pub unresolved: UnresolvedOrders,
    /// Orders to the incarnations before it.
    pub previous: UnresolvedOrders,
}

impl PossibleOrders {
    /// The orders that are possible according to the row of a previous holder, which sent none
    /// after `now`.
    pub fn from_row(now: Timestamp, row: &PlacedRow) -> Self {
        let mut unresolved = UnresolvedOrders::default();
        let mut previous = UnresolvedOrders::default();
        let loading = row.loading.iter().map(|load| &load.model);
        for model in loading.chain(row.unanswered_loads.iter().flatten()) {
            unresolved.record_restored_load(now, model);
        }
        for model in &row.orphaned_loads {
            previous.record_restored_load(now, model);
        }
        previous.record_restored_adapter_loads(now, row.unanswered_adapter_loads);
        // The last order may have been sent after the row was written.
        unresolved.record_restored_adapter_loads(now, 1);
        if row.unanswered_loads.is_none() {
            unresolved.record_unlisted_orders(now);
        }
        PossibleOrders {
            born: row.born,
            unresolved,
            previous,
        }
    }

    /// Whether none of the orders can be executed any more.
    pub fn are_expired(&self, now: Timestamp) -> bool {
        let orders = [&self.unresolved, &self.previous];
        let expiries = orders
            .into_iter()
            .filter_map(|orders| orders.expires_in(now));
        expiries.max().unwrap_or(0) == 0
    }
}
