//! Orders to one engine of which nobody knows whether they were carried out, or will be.
//!
//! In the life of the engine for which they were meant, the number under which an order was given
//! shows what became of it. An engine that starts again under its name counts anew, and may come
//! by that number again: until an order is too old its memory and place are left free.

use std::collections::BTreeSet;

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;

use super::super::OrderKind;
use crate::configuration::Engine;

/// An order without an answer is carried out within this time or never, in milliseconds.
pub const ORDER_LIFETIME: u64 = 13_000;

/// One of them.
#[derive(Clone, Debug)]
struct OpenOrder {
    order: OrderKind,
    sent: Timestamp,
    /// A send of it had no answer: another one that was answered says nothing of that.
    is_unanswered: bool,
}

/// All of one engine.
#[derive(Clone, Debug, Default)]
pub struct OpenOrders {
    orders: Vec<OpenOrder>,
    /// Until this time there may be others, of a holder that told nothing of them.
    others_until: Option<Timestamp>,
}

impl OpenOrders {
    /// An order is being sent.
    pub fn sent(&mut self, now: Timestamp, order: OrderKind) {
        self.forget_old(now);
        if let Some(known) = self.orders.iter_mut().find(|open| open.order == order) {
            known.sent = now;
            return;
        }
        self.orders.push(OpenOrder {
            order,
            sent: now,
            is_unanswered: false,
        });
    }

    /// The last send of an order had no answer.
    pub fn unanswered(&mut self, order: &OrderKind) {
        if let Some(known) = self.orders.iter_mut().find(|open| open.order == *order) {
            known.is_unanswered = true;
        }
    }

    /// It is known what came of the last send of an order.
    pub fn answered(&mut self, order: &OrderKind) {
        self.orders
            .retain(|open| open.order != *order || open.is_unanswered);
    }

    /// There may be others until a time.
    pub fn note_others(&mut self, until: Timestamp) {
        self.others_until = self.others_until.max(Some(until));
    }

    /// Adds those of a former life.
    pub fn append(&mut self, former: OpenOrders) {
        self.orders.extend(former.orders);
        self.others_until = self.others_until.max(former.others_until);
    }

    /// Orders that are too old are carried out no more.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.orders
            .retain(|open| now.since(open.sent) <= ORDER_LIFETIME);
        self.others_until = self.others_until.filter(|until| now < *until);
    }

    /// Models that they may load.
    pub fn models(&self) -> BTreeSet<&ModelId> {
        let loads = self.orders.iter().filter_map(|open| match &open.order {
            OrderKind::LoadModel(model) => Some(model),
            _ => None,
        });
        loads.collect()
    }

    /// Memory that they may yet take, in megabytes. What is not known fills the engine.
    pub fn memory(&self, spec: &Engine) -> f64 {
        if self.others_until.is_some() {
            return spec.memory_mb;
        }
        let memory = |model: &ModelId| spec.models.get(model).map(|known| known.memory_mb);
        let models = self.models().into_iter();
        models
            .map(|model| memory(model).unwrap_or(spec.memory_mb))
            .sum()
    }

    /// Adapter places that they may yet take.
    pub fn adapters(&self, spec: &Engine) -> usize {
        if self.others_until.is_some() {
            return spec.adapter_slots;
        }
        let loads = self.orders.iter();
        loads
            .filter(|open| matches!(open.order, OrderKind::LoadAdapter(..)))
            .count()
    }
}
