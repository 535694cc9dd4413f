//! Orders to an engine, and the results of these orders.
//!
//! In: actions to order, results of orders, time. Out: numbered orders, and the
//! updated record of the engine.

use gorsebank_contract::{Fence, Inventory, Order, OrderAction, OrderError, OrderResult, Sequence};
use gorsebank_world::Artifact;

use crate::placement::engine::{
    Engine, InFlightOrder, OrderOutcome, QUIET_INSPECT_INTERVAL_MS, REFUSED_PAUSE_MS,
};
use crate::settings::PlacementSettings;
use crate::time::Timestamp;

impl Engine {
    /// Applies the result of an order.
    pub fn apply_result(
        &mut self,
        now: Timestamp,
        sequence: Sequence,
        result: OrderResult,
    ) -> OrderOutcome {
        let was_inspection = self.inspection_in_flight == Some(sequence);
        if was_inspection {
            self.inspection_in_flight = None;
        }
        let order = self.orders.remove(&sequence);
        self.is_stale = true;
        if order.is_none() && !was_inspection {
            return OrderOutcome::Continue;
        }
        match result {
            OrderResult::Done(inventory) => self.update_inventory(now, sequence, inventory),
            OrderResult::Refused(OrderError::Fenced { .. }, _) => return OrderOutcome::Fenced,
            OrderResult::Refused(_, inventory) => {
                self.refused_until = now + REFUSED_PAUSE_MS;
                self.update_inventory(now, sequence, inventory);
            }
            OrderResult::Unknown => {
                self.failed_inspections += u32::from(was_inspection);
                self.record_lost_order(now, sequence, order);
            }
        }
        OrderOutcome::Continue
    }

    pub(super) fn record_lost_order(
        &mut self,
        now: Timestamp,
        sequence: Sequence,
        order: Option<InFlightOrder>,
    ) {
        let action = order.map(|order| order.action);
        if let Some(OrderAction::Load { artifact, bytes }) = action {
            self.uncertain_loads.insert(sequence, (artifact, bytes));
        }
        self.next_inspection = self.next_inspection.min(now + REFUSED_PAUSE_MS);
    }

    /// Stores an inventory, unless a more recent one is known. The engine refuses
    /// all orders with lower sequence numbers than the order that it answered, so
    /// the outcome of these orders is no longer in doubt.
    pub(super) fn update_inventory(
        &mut self,
        now: Timestamp,
        sequence: Sequence,
        inventory: Inventory,
    ) {
        let known = self.incarnation().unwrap_or_default();
        if inventory.incarnation < known {
            return;
        }
        self.last_answer = now;
        self.failed_inspections = 0;
        if inventory.incarnation > known {
            self.orders.clear();
            self.uncertain_loads.clear();
            self.inspected = Some((inventory.incarnation, false));
        } else if inventory.version < self.inventory.version {
            return;
        }
        self.uncertain_loads.retain(|order, _| *order > sequence);
        self.orders.retain(|ordered, order| {
            let is_settled = matches!(&order.action, OrderAction::Load { artifact, .. }
                if inventory.loaded.contains_key(artifact));
            *ordered > sequence || !is_settled
        });
        self.inventory = inventory;
    }

    /// The load that `result` completes, as its artifact, its size in bytes and
    /// its duration in milliseconds.
    pub fn completed_load(
        &self,
        now: Timestamp,
        sequence: Sequence,
        result: &OrderResult,
    ) -> Option<((Artifact, u64), u64)> {
        let order = self.orders.get(&sequence)?;
        match (&order.action, result) {
            (OrderAction::Load { artifact, bytes }, OrderResult::Done(_)) => {
                Some(((artifact.clone(), *bytes), now.since(order.sent)))
            }
            _ => None,
        }
    }

    /// Builds an inspection order if one is due. The interval is short while the
    /// state of the engine is uncertain.
    pub fn build_inspection(
        &mut self,
        now: Timestamp,
        fence: Fence,
        settings: &PlacementSettings,
    ) -> Option<Order> {
        if self.inspection_in_flight.is_some() || now < self.next_inspection {
            return None;
        }
        let is_uncertain = !self.may_receive_orders()
            || self.failed_inspections > 0
            || !self.inventory.loading.is_empty()
            || !self.uncertain_loads.is_empty();
        let interval = if is_uncertain {
            settings.inspect_interval
        } else {
            QUIET_INSPECT_INTERVAL_MS
        };
        self.next_inspection = now + interval;
        Some(self.build_order(now, fence, OrderAction::Inspect))
    }

    /// Builds an order to execute `action`, and records the order as in flight.
    pub fn build_order(&mut self, now: Timestamp, fence: Fence, action: OrderAction) -> Order {
        self.sequence = self.sequence.next();
        let incarnation = match (&action, self.inspected) {
            (OrderAction::Inspect, _) => None,
            (_, inspected) => inspected.map(|(incarnation, _)| incarnation),
        };
        match &action {
            OrderAction::Inspect => self.inspection_in_flight = Some(self.sequence),
            _ => {
                self.is_stale = true;
                let order = InFlightOrder {
                    action: action.clone(),
                    sent: now,
                };
                self.orders.insert(self.sequence, order);
            }
        }
        Order {
            fence,
            sequence: self.sequence,
            incarnation,
            action,
        }
    }
}
