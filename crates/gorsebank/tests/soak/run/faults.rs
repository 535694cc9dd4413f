//! Injection of the faults of a soak run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::sleep;

use super::{
    BackEnd, CRASHING_BODY_PREFIX, Conditions, PROPAGATION_BOUND, Run, STANDIN_SLACK, back_end_row,
};
use crate::gateways::GatewaySlot;
use crate::history::{Disturbance, DisturbanceKind, LimitedBackEnd, ResponseDrain, RowDrain};
use crate::plan::{
    Fault, ResponseStatement, RowFault, ScheduledFault, ScheduledGarble, ScheduledLimit,
    ScheduledRestore, ScheduledRowFault, ScheduledStatement,
};
use crate::platform::client::{Client, request_with};
use crate::platform::store::StoreState;
use crate::platform::tcp_proxy::TcpProxy;

/// Time for which a draining back end keeps its row.
const DRAIN_DURATION: Duration = Duration::from_millis(3_000);
/// Delay that a slow link to the table adds to each chunk of data.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(120);
/// Interval between two sends of a request that crashes back ends.
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Number of consecutive orders that an engine loses.
const LOST_ORDERS: usize = 3;

impl Run {
    /// Injects a fault and records the disturbances that it causes.
    pub(super) async fn inject_fault(self: Arc<Self>, scheduled: ScheduledFault) {
        let from = self.started_at.elapsed();
        let index = scheduled.target % self.slots.len();
        let kinds = match scheduled.fault {
            Fault::Kill => vec![self.kill_gateway(index)],
            Fault::KillAll => (0..self.slots.len())
                .map(|index| self.kill_gateway(index))
                .collect(),
            Fault::Stop => vec![self.stop_gateway(index).await],
            Fault::Pause => vec![self.suspend_gateway(index, scheduled.duration).await],
            Fault::TableDown => vec![
                self.set_table_fault(|table| &table.is_unavailable, scheduled.duration)
                    .await,
            ],
            Fault::TableThrottles => {
                vec![
                    self.set_table_fault(|table| &table.is_throttled, scheduled.duration)
                        .await,
                ]
            }
            Fault::TableLosesAnswers => {
                vec![
                    self.set_table_fault(|table| &table.drop_responses, scheduled.duration)
                        .await,
                ]
            }
            Fault::TableForgets => {
                self.store.compact();
                vec![Some(DisturbanceKind::Table)]
            }
            Fault::TableSilent => {
                self.slots[index].lock().wire.stall_connections();
                vec![Some(DisturbanceKind::Table)]
            }
            Fault::BackEndSilent => {
                vec![self.disturb_connections(scheduled.target, TcpProxy::stall_connections)]
            }
            Fault::BackEndLeaves => {
                self.clone().drain_by_row(scheduled.target).await;
                Vec::new()
            }
            Fault::BackEndEnds => {
                if let Some(back_end) = self.select_back_end(scheduled.target) {
                    back_end.runner.exit();
                }
                Vec::new()
            }
            Fault::BackEndSlow => {
                self.set_condition(scheduled, |conditions| &conditions.slow)
                    .await;
                Vec::new()
            }
            Fault::BackEndGrey => {
                self.set_condition(scheduled, |conditions| &conditions.failing)
                    .await;
                Vec::new()
            }
            Fault::EndingRequest => {
                self.repeat_crashing_request(scheduled).await;
                Vec::new()
            }
            Fault::TableFar => {
                let link = self.slots[index].lock().wire.clone();
                link.set_delay(SLOW_LINK_DELAY);
                sleep(scheduled.duration).await;
                link.set_delay(Duration::ZERO);
                vec![Some(DisturbanceKind::Table)]
            }
            Fault::TableRefusesOne => {
                let link = self.slots[index].lock().wire.clone();
                link.set_closing_connections(true);
                sleep(scheduled.duration).await;
                link.set_closing_connections(false);
                vec![Some(DisturbanceKind::Table)]
            }
            Fault::BackEndReset => {
                vec![self.disturb_connections(scheduled.target, TcpProxy::reset)]
            }
            Fault::BackEndDark => {
                let link = self.select_back_end(scheduled.target).map(|it| it.wire);
                if let Some(link) = link {
                    link.set_blocked(true);
                    sleep(scheduled.duration).await;
                    link.set_blocked(false);
                }
                vec![Some(DisturbanceKind::BackEndCutOff)]
            }
            Fault::OrdersLost => {
                if let Some(back_end) = self.select_back_end(scheduled.target) {
                    let lost_orders = &back_end.runner.orders_to_drop;
                    lost_orders.store(LOST_ORDERS, Ordering::Relaxed);
                }
                Vec::new()
            }
            Fault::Reload => {
                self.slots[index].lock().signal(Signal::SIGHUP);
                Vec::new()
            }
            Fault::TableOneWay => {
                let link = self.slots[index].lock().wire.clone();
                link.set_holding_responses(true);
                sleep(scheduled.duration).await;
                link.set_holding_responses(false);
                vec![Some(DisturbanceKind::Table)]
            }
            Fault::Configuration => {
                self.configure("/read/");
                Vec::new()
            }
        };
        let until = self.started_at.elapsed() + PROPAGATION_BOUND;
        let disturbances = kinds.into_iter().flatten();
        let disturbances = disturbances.map(|kind| Disturbance { from, until, kind });
        self.disturbances.lock().extend(disturbances);
    }

    fn kill_gateway(&self, index: usize) -> Option<DisturbanceKind> {
        let number = self.next_process_number();
        self.record_peak_memory(index);
        let mut slot = self.slots[index].lock();
        let killed = slot.endpoint()?.process;
        slot.kill();
        slot.restart(number);
        Some(DisturbanceKind::Killed(killed))
    }

    async fn stop_gateway(&self, index: usize) -> Option<DisturbanceKind> {
        let stopped = self.slots[index].lock().signal(Signal::SIGTERM)?;
        GatewaySlot::wait_for_exit(&self.slots[index]).await;
        let number = self.next_process_number();
        let mut slot = self.slots[index].lock();
        // Another fault may have replaced the process in the meantime.
        if slot
            .endpoint()
            .is_none_or(|endpoint| endpoint.process == stopped)
        {
            slot.restart(number);
        }
        Some(DisturbanceKind::Stopped(stopped))
    }

    async fn suspend_gateway(&self, index: usize, duration: Duration) -> Option<DisturbanceKind> {
        let suspended = self.slots[index].lock().signal(Signal::SIGSTOP)?;
        sleep(duration).await;
        self.slots[index].lock().signal(Signal::SIGCONT);
        Some(DisturbanceKind::Suspended(suspended))
    }

    async fn set_table_fault(
        &self,
        flag: impl Fn(&StoreState) -> &AtomicBool,
        duration: Duration,
    ) -> Option<DisturbanceKind> {
        flag(&self.store.inner).store(true, Ordering::Relaxed);
        sleep(duration).await;
        flag(&self.store.inner).store(false, Ordering::Relaxed);
        Some(DisturbanceKind::Table)
    }

    fn select_back_end(&self, target: usize) -> Option<BackEnd> {
        let listed = self.listed.lock();
        let count = listed.len().max(1);
        listed.get(target % count).cloned()
    }

    async fn set_condition(
        &self,
        scheduled: ScheduledFault,
        condition: impl Fn(&Conditions) -> &AtomicBool,
    ) {
        let Some(back_end) = self.select_back_end(scheduled.target) else {
            return;
        };
        condition(&back_end.conditions).store(true, Ordering::Relaxed);
        sleep(scheduled.duration).await;
        condition(&back_end.conditions).store(false, Ordering::Relaxed);
    }

    /// Repeats a request that crashes back ends, at one gateway after the other.
    async fn repeat_crashing_request(&self, scheduled: ScheduledFault) {
        let body = [
            CRASHING_BODY_PREFIX,
            &scheduled.at.as_millis().to_le_bytes(),
        ]
        .concat();
        let path = ["/stream/", "/resumable/"][scheduled.target % 2];
        let mut index = scheduled.target;
        while self.started_at.elapsed() < self.callers_until {
            index += 1;
            let endpoint = self.slots[index % self.slots.len()].lock().endpoint();
            if let Some(endpoint) = endpoint
                && let Some(mut client) = Client::try_connect(endpoint.caller_address).await
            {
                // The response is ignored, since the back ends record the arrivals.
                let _ = client
                    .send(request_with("ending", path, "warm", &body))
                    .await;
            }
            sleep(CRASHING_REQUEST_INTERVAL).await;
        }
    }

    /// Lets the table continue from an older copy after an outage.
    pub(super) async fn restore_table(self: Arc<Self>, restore: ScheduledRestore) {
        sleep(restore.copied_at).await;
        let copy = self.store.copy();
        sleep(restore.lost).await;
        // Rows that one restore has lost are written again before the next one.
        let _restoring = self.restoring.lock().await;
        let from = self.started_at.elapsed();
        let is_unavailable = &self.store.inner.is_unavailable;
        is_unavailable.store(true, Ordering::Relaxed);
        sleep(restore.outage).await;
        let lost_rows = self.store.restore(&copy);
        is_unavailable.store(false, Ordering::Relaxed);
        sleep(restore.rewrite_delay).await;
        self.store.write_again(lost_rows);
        self.disturbances.lock().push(Disturbance {
            from,
            until: self.started_at.elapsed() + PROPAGATION_BOUND,
            kind: DisturbanceKind::Table,
        });
    }

    /// Lets a back end state a rate limit for some time.
    pub(super) async fn state_limit(self: Arc<Self>, limit: ScheduledLimit) {
        sleep(limit.at).await;
        let Some(back_end) = self.select_back_end(limit.target) else {
            return;
        };
        let runner = &back_end.runner;
        if runner.has_stated_limit() {
            return;
        }
        let from = self.started_at.elapsed();
        runner.set_stated_limit(Some(&limit.rate.to_string()));
        sleep(limit.duration).await;
        runner.set_stated_limit(None);
        self.limited_back_ends.lock().push(LimitedBackEnd {
            back_end: runner.id.clone(),
            rate: limit.rate,
            from,
            until: self.started_at.elapsed(),
            arrivals: Vec::new(),
        });
    }

    /// Lets a back end garble its responses for some time.
    pub(super) async fn garble_responses(self: Arc<Self>, scheduled: ScheduledGarble) {
        sleep(scheduled.at).await;
        let Some(back_end) = self.select_back_end(scheduled.target) else {
            return;
        };
        let from = self.started_at.elapsed();
        *back_end.conditions.garble.lock() = Some(scheduled.garble);
        sleep(scheduled.duration).await;
        *back_end.conditions.garble.lock() = None;
        self.disturbances.lock().push(Disturbance {
            from,
            until: self.started_at.elapsed() + PROPAGATION_BOUND,
            kind: DisturbanceKind::BackEndCutOff,
        });
    }

    /// Lets a back end make a statement about itself in its responses.
    pub(super) async fn make_statement(self: Arc<Self>, scheduled: ScheduledStatement) {
        sleep(scheduled.at).await;
        match scheduled.statement {
            ResponseStatement::Draining => self.drain_by_responses(scheduled).await,
            ResponseStatement::RequestsPause => {
                let Some(back_end) = self.select_back_end(scheduled.target) else {
                    return;
                };
                back_end.conditions.rejecting.store(true, Ordering::Relaxed);
                sleep(scheduled.duration).await;
                back_end
                    .conditions
                    .rejecting
                    .store(false, Ordering::Relaxed);
            }
        }
    }

    /// Lets a back end announce its drain in its responses alone, and adds a replacement.
    async fn drain_by_responses(self: Arc<Self>, scheduled: ScheduledStatement) {
        let Some(draining) = self.unlist_back_end(scheduled.target) else {
            return;
        };
        let replacement = self.add_back_end(draining.service).await;
        tokio::spawn(self.clone().replace_when_exited(replacement));
        draining.runner.set_draining(true);
        self.response_drains.lock().push(ResponseDrain {
            back_end: draining.runner.id.clone(),
            announced_at: self.started_at.elapsed(),
        });
        sleep(scheduled.duration).await;
        self.store.remove("servers", &draining.runner.id);
    }

    /// Removes a back end that drains from the targets of faults.
    fn unlist_back_end(&self, target: usize) -> Option<BackEnd> {
        let mut listed = self.listed.lock();
        let count = listed.len();
        (count > 0).then(|| listed.remove(target % count))
    }

    /// Corrupts the row of a back end for some time, or restarts the back end under its name.
    pub(super) async fn inject_row_fault(self: Arc<Self>, scheduled: ScheduledRowFault) {
        sleep(scheduled.at).await;
        let Some(back_end) = self.select_back_end(scheduled.target) else {
            return;
        };
        let id = back_end.runner.id.clone();
        let mut row = back_end_row(&back_end, "ready");
        match scheduled.fault {
            RowFault::Restart => {
                self.restarting.lock().insert(id);
                back_end.runner.exit();
                return;
            }
            RowFault::MissingField => {
                row.as_object_mut()
                    .expect("a row is a JSON object")
                    .remove("addr");
            }
            RowFault::WrongType => row["slots"] = json!("eight"),
            RowFault::UnknownWord => row["state"] = json!("dreaming"),
        }
        let from = self.started_at.elapsed();
        self.store.put("servers", &id, row);
        sleep(scheduled.duration).await;
        // The back end may have exited or begun to drain in the meantime.
        let is_listed = |other: &BackEnd| {
            other.runner.id == id && other.start_time_ms == back_end.start_time_ms
        };
        if self.listed.lock().iter().any(is_listed) {
            self.put_row(&back_end, "ready");
        }
        let until = self.started_at.elapsed() + PROPAGATION_BOUND;
        let kind = DisturbanceKind::BackEndCutOff;
        self.disturbances
            .lock()
            .push(Disturbance { from, until, kind });
    }

    /// Disturbs the open connections of a back end.
    fn disturb_connections(
        &self,
        target: usize,
        disturb: impl Fn(&TcpProxy),
    ) -> Option<DisturbanceKind> {
        disturb(&self.select_back_end(target)?.wire);
        Some(DisturbanceKind::BackEndCutOff)
    }

    /// Lets a back end announce its drain in its row, and adds a replacement.
    async fn drain_by_row(self: Arc<Self>, target: usize) {
        let Some(draining) = self.unlist_back_end(target) else {
            return;
        };
        let replacement = self.add_back_end(draining.service).await;
        tokio::spawn(self.clone().replace_when_exited(replacement));
        self.put_row(&draining, "draining");
        let announced_at = self.started_at.elapsed();
        sleep(PROPAGATION_BOUND + STANDIN_SLACK).await;
        let drain = RowDrain {
            back_end: draining.runner.id.clone(),
            announced_at,
            counted_at: self.started_at.elapsed(),
            arrived_when_counted: draining.runner.requests().len(),
            arrived_in_total: 0,
        };
        self.row_drains.lock().push(drain);
        sleep(DRAIN_DURATION - PROPAGATION_BOUND).await;
        self.store.remove("servers", &draining.runner.id);
    }
}
