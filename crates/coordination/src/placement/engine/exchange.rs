//! Orders to an engine and its answers.

use gorsebank_contract::{Fence, Inventory, Order, OrderAction, OrderError, OrderResult, Sequence};
use gorsebank_world::Artifact;

use crate::placement::engine::{
    Engine, InFlightOrder, OrderOutcome, QUIET_INSPECT_INTERVAL, REFUSED_PAUSE,
};
use crate::settings::PlacementSettings;
use crate::time::Timestamp;

impl Engine {
    /// Takes in the result of an order.
    pub fn answered(
        &mut self,
        now: Timestamp,
        sequence: Sequence,
        result: OrderResult,
    ) -> OrderOutcome {
        let was_inspection = self.inspecting == Some(sequence);
        if was_inspection {
            self.inspecting = None;
        }
        let order = self.orders.remove(&sequence);
        self.stale = true;
        if order.is_none() && !was_inspection {
            return OrderOutcome::Continue;
        }
        match result {
            OrderResult::Done(inventory) => self.observe(now, sequence, inventory),
            OrderResult::Refused(OrderError::Fenced { .. }, _) => return OrderOutcome::Fenced,
            OrderResult::Refused(_, inventory) => {
                self.refused_until = now + REFUSED_PAUSE;
                self.observe(now, sequence, inventory);
            }
            OrderResult::Unknown => {
                self.failed_inspections += u32::from(was_inspection);
                self.lost(now, sequence, order);
            }
        }
        OrderOutcome::Continue
    }

    pub(super) fn lost(
        &mut self,
        now: Timestamp,
        sequence: Sequence,
        order: Option<InFlightOrder>,
    ) {
        let action = order.map(|order| order.action);
        if let Some(OrderAction::Load { artifact, bytes }) = action {
            self.doubtful.insert(sequence, (artifact, bytes));
        }
        self.next_inspection = self.next_inspection.min(now + REFUSED_PAUSE);
    }

    /// Takes in a report, unless a newer one is known. The engine refuses
    /// every order before the one it answered, so none of those is in doubt.
    pub(super) fn observe(&mut self, now: Timestamp, sequence: Sequence, inventory: Inventory) {
        let known = self.incarnation().unwrap_or_default();
        if inventory.incarnation < known {
            return;
        }
        self.last_answer = now;
        self.failed_inspections = 0;
        if inventory.incarnation > known {
            self.orders.clear();
            self.doubtful.clear();
            self.inspected = Some((inventory.incarnation, false));
        } else if inventory.version < self.inventory.version {
            return;
        }
        self.doubtful.retain(|doubtful, _| *doubtful > sequence);
        self.orders.retain(|ordered, order| {
            let is_settled = matches!(&order.action, OrderAction::Load { artifact, .. }
                if inventory.loaded.contains_key(artifact));
            *ordered > sequence || !is_settled
        });
        self.inventory = inventory;
    }

    /// The load that `result` ends well, with its bytes, and how long it took.
    pub fn ended_load(
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

    /// An inspection, if one is due: often while something is unclear.
    pub fn inspection(
        &mut self,
        now: Timestamp,
        fence: Fence,
        settings: &PlacementSettings,
    ) -> Option<Order> {
        if self.inspecting.is_some() || now < self.next_inspection {
            return None;
        }
        let is_unclear = !self.is_claimed()
            || self.failed_inspections > 0
            || !self.inventory.loading.is_empty()
            || !self.doubtful.is_empty();
        let interval = if is_unclear {
            settings.inspect_interval
        } else {
            QUIET_INSPECT_INTERVAL
        };
        self.next_inspection = now + interval;
        Some(self.order(now, fence, OrderAction::Inspect))
    }

    /// An order to carry out `action`.
    pub fn order(&mut self, now: Timestamp, fence: Fence, action: OrderAction) -> Order {
        self.sequence = self.sequence.next();
        let incarnation = match (&action, self.inspected) {
            (OrderAction::Inspect, _) => None,
            (_, inspected) => inspected.map(|(incarnation, _)| incarnation),
        };
        match &action {
            OrderAction::Inspect => self.inspecting = Some(self.sequence),
            _ => {
                self.stale = true;
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
