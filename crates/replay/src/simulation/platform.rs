//! Simulates the platform: the table service, the machine list and the weight store, with their
//! faults. Times are in microseconds unless overrides otherwise.

use std::collections::VecDeque;

use gorsebank_contract::{BackEndPlan, Transaction, TransactionResult};
use gorsebank_emulator::model::store::StoreModel;
use gorsebank_emulator::model::table::TableModel;
use gorsebank_world::{BackEndId, MachineList};

use crate::ablation::Ablation;
use crate::history::PlanRecord;
use crate::trace::format::TableMode;

/// The table service.
#[derive(Debug, Default)]
pub struct Table {
    /// Rows and transactions of the table.
    pub model: TableModel,
    mode: TableMode,
    mode_until: u64,
}

impl Table {
    /// Sets the fault mode until `until`.
    pub fn fail(&mut self, mode: TableMode, until: u64) {
        self.mode = mode;
        self.mode_until = until;
    }

    /// Fault mode at `now`.
    pub fn mode(&self, now: u64) -> TableMode {
        if now < self.mode_until {
            self.mode
        } else {
            TableMode::Up
        }
    }

    /// Executes a transaction. Returns its result and the back-end plans that it wrote.
    pub fn transact(
        &mut self,
        now: u64,
        transaction: &Transaction,
        ablation: Option<Ablation>,
    ) -> (TransactionResult, Vec<PlanRecord>) {
        let answer = if ablation == Some(Ablation::Conditions) {
            let unconditional = Transaction {
                compares: Vec::new(),
                ..transaction.clone()
            };
            self.model.transact(&unconditional)
        } else {
            self.model.transact(transaction)
        };
        let is_committed = matches!(answer, TransactionResult::Committed { .. });
        let decisions = if is_committed {
            written_plans(now, transaction)
        } else {
            Vec::new()
        };
        (answer, decisions)
    }
}

fn written_plans(now: u64, transaction: &Transaction) -> Vec<PlanRecord> {
    transaction
        .puts
        .iter()
        .filter_map(|put| {
            let (_, id) = put.key.split_once("/plans/")?;
            let plan: BackEndPlan = serde_json::from_str(&put.value).ok()?;
            Some(PlanRecord {
                at: now,
                back_end: BackEndId::from(id),
                plan,
            })
        })
        .collect()
}

/// A machine list whose changes become visible with a lag.
#[derive(Debug)]
pub struct LaggingList {
    lag: u64,
    newest: MachineList,
    visible: VecDeque<(u64, MachineList)>,
}

impl LaggingList {
    /// Creates a list that is visible immediately. Changes become visible after `lag`.
    pub fn new(list: MachineList, lag: u64) -> Self {
        LaggingList {
            lag,
            visible: VecDeque::from([(0, list.clone())]),
            newest: list,
        }
    }

    /// Edits the list. Returns the time from which readers see the change.
    pub fn change(&mut self, now: u64, edit: impl FnOnce(&mut MachineList)) -> u64 {
        edit(&mut self.newest);
        let visible_at = now + self.lag;
        self.visible.push_back((visible_at, self.newest.clone()));
        visible_at
    }

    /// The list that readers see at `now`.
    pub fn read(&mut self, now: u64) -> MachineList {
        while self.visible.get(1).is_some_and(|(at, _)| *at <= now) {
            self.visible.pop_front();
        }
        self.visible
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

/// The weight store, with its periods of slow loads.
#[derive(Debug)]
pub struct Store {
    /// Limits and current loads of the store.
    pub model: StoreModel,
    slow_until: u64,
}

impl Store {
    /// Creates a store without slowdown.
    pub fn new(model: StoreModel) -> Self {
        Store {
            model,
            slow_until: 0,
        }
    }

    /// Multiplies the duration of loads by `slowdown` until `until`.
    pub fn slow_down(&mut self, slowdown: f64, until: u64) {
        self.model.slowdown = slowdown;
        self.slow_until = until;
    }

    /// Starts a load. Returns its duration in milliseconds.
    pub fn start(&mut self, now: u64, bytes: u64) -> u64 {
        if now >= self.slow_until {
            self.model.slowdown = 1.0;
        }
        self.model.start(now / 1_000, bytes)
    }
}
