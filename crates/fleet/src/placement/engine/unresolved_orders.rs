//! Orders to one engine whose results are unknown: each of them may have been executed, or may
//! still be executed.
//!
//! Within one incarnation of the engine, the sequence number of an order shows whether the order
//! was executed. A new incarnation under the same name starts its sequence numbers again and may
//! reach the same number, so it may execute an old order. The memory and the adapter slots for such
//! an order are therefore kept free until the order has expired.
//!
//! The input is sent orders and their results. The output is the memory and adapter slots that the
//! orders may still use.

use std::collections::BTreeSet;

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;

use super::super::OrderKind;
use crate::configuration::Engine;

/// An order without a response is executed within this time or never, in milliseconds.
pub const ORDER_LIFETIME_MS: u64 = 13_000;

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
    /// Time until which a previous placement holder's orders, which no row lists, may still be
    /// executed.
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

    /// Records that orders that no row lists may be executed until a time.
    pub fn record_unlisted_orders(&mut self, until: Timestamp) {
        self.unlisted_until = self.unlisted_until.max(Some(until));
    }

    /// Adds the orders of a previous incarnation.
    pub fn merge(&mut self, previous: UnresolvedOrders) {
        self.orders.extend(previous.orders);
        self.unlisted_until = self.unlisted_until.max(previous.unlisted_until);
    }

    /// Removes orders that are too old to be executed.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.orders
            .retain(|unresolved| now.since(unresolved.sent_at) <= ORDER_LIFETIME_MS);
        self.unlisted_until = self.unlisted_until.filter(|until| now < *until);
    }

    /// Time until no order can be executed any more, in milliseconds; `None` if there are none.
    pub fn expires_in(&self, now: Timestamp) -> Option<u64> {
        let orders = self.orders.iter();
        let expiries = orders.map(|unresolved| unresolved.sent_at + ORDER_LIFETIME_MS);
        let last = expiries.chain(self.unlisted_until).max()?;
        Some(last.since(now))
    }

    /// Whether orders are assumed that no row lists.
    pub fn has_unlisted_orders(&self) -> bool {
        self.unlisted_until.is_some()
    }

    /// Models that the orders may load.
    pub fn models(&self) -> BTreeSet<&ModelId> {
        let loads = self
            .orders
            .iter()
            .filter_map(|unresolved| match &unresolved.order {
                OrderKind::LoadModel(model) => Some(model),
                _ => None,
            });
        loads.collect()
    }

    /// Memory that the orders may still use, in megabytes. An unlisted order or an unknown model
    /// counts as the engine's whole memory.
    pub fn memory_needed(&self, spec: &Engine) -> f64 {
        if self.unlisted_until.is_some() {
            return spec.memory_mb;
        }
        let memory_needed =
            |model: &ModelId| spec.models.get(model).map(|existing| existing.memory_mb);
        let models = self.models().into_iter();
        models
            .map(|model| memory_needed(model).unwrap_or(spec.memory_mb))
            .sum()
    }

    /// Adapter slots that the orders may still use.
    pub fn adapter_slots_needed(&self, spec: &Engine) -> usize {
        if self.unlisted_until.is_some() {
            return spec.adapter_slots;
        }
        let loads = self.orders.iter();
        loads
            .filter(|unresolved| matches!(unresolved.order, OrderKind::LoadAdapter(..)))
            .count()
    }
}
