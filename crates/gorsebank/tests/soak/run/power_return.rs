//! Losses of all power while callers go on. Back ends end first, or at the same moment as gateways and
//! the table; all return one after the other. Engines return empty, under their names or under new
//! ones, and their loads take time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::power_loss::ABSENT_INTERVAL;
use super::{BackEnd, ExtraFaults, Run, RunOptions, back_end_row};
use crate::callers::{Caller, Workload};
use crate::history::{Disturbance, DisturbanceKind, History, PowerReturn};
use crate::plan::{HarshReturn, PowerLoss, TableReturn, draw_harsh_return, draw_power_losses};
use crate::platform::engine::{LoadTimes, configuration_with_models};
use crate::platform::store::StoreCopy;
use crate::platform::tenants::{set_tenants, tenant, tenant_with_quota};
use crate::platform::weight_store::WeightStore;
use crate::service_return::RETURN_BOUND;

/// What engines hold, and what callers ask them for. An engine has memory for two models.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    engines: usize,
    models: usize,
    /// Number of models that get [`POPULAR_FRACTION`] of the requests for models; `None` if a few draws
    /// favour the first ones.
    popular_models: Option<usize>,
    /// Number of loads that the weight store performs at full speed; `None` for any number.
    full_speed_loads: Option<usize>,
}

/// The usual deployment.
const SMALL_DEPLOYMENT: Deployment = Deployment {
    engines: 9,
    models: 12,
    popular_models: None,
    full_speed_loads: None,
};
/// A deployment whose models return one after the other after a loss of all disks.
const BUSY_STORE_DEPLOYMENT: Deployment = Deployment {
    engines: 60,
    models: 195,
    popular_models: Some(30),
    full_speed_loads: Some(2),
};
/// Fraction of the requests for models that ask for popular ones.
const POPULAR_FRACTION: f64 = 0.785;
/// Number of times that an impatient caller repeats a request while the weight store is busy.
const REPEATS: usize = 3;
/// Number of adapters of each model in a harsh run.
const ADAPTERS: usize = 2;
/// Every caller whose number is a multiple of this repeats refused requests at once in a harsh run.
const IMPATIENT_INTERVAL: usize = 3;
/// Number of tenants.
pub(super) const TENANTS: usize = 4;
/// Number of rows on a page of the table in a harsh run, where calls may take long.
const HARSH_PAGE_ROWS: usize = 100;
/// The tenant whose key may be revoked.
const REVOKED_TENANT: usize = TENANTS - 1;
/// Time before a loss of power at which a key is revoked.
const REVOCATION_TIME: Duration = Duration::from_millis(100);
/// Quota of each tenant, in tokens per second. Requests of its callers cost a small part of it.
const TOKENS_PER_SECOND: f64 = 20_000.0;
/// Durations of loads.
pub(super) const LOAD_TIMES: LoadTimes = LoadTimes {
    store: Duration::from_millis(10_200),
    disk: Duration::from_millis(1_000),
};
/// Interval at which engines compare their rows with their models.
const ROW_INTERVAL: Duration = Duration::from_millis(100);
/// Time before a loss of power from which some engines do not respond to orders.
const UNANSWERED_ORDERS_TIME: Duration = Duration::from_millis(1_500);
/// Every engine whose index is a multiple of this number does not respond to orders then.
const UNANSWERED_INTERVAL: usize = 3;
/// Period after the bound in which requests are counted.
pub(super) const COUNTED_TIME: Duration = Duration::from_secs(6);

/// Runs the losses of power of a seed and returns what was observed.
pub async fn execute_power_losses(options: RunOptions) -> History {
    let is_harsh = options.extra_faults == ExtraFaults::HarshPowerLosses;
    let deployment = Deployment::of(options.extra_faults);
    let harsh_return = is_harsh.then(|| draw_harsh_return(options.seed));
    let run = Arc::new(Run::start_with_loads(&options).await);
    let mut row_writers = JoinSet::new();
    row_writers.spawn(run.clone().maintain_engine_rows());
    let requests = Arc::default();
    let mut callers = JoinSet::new();
    for number in 0..options.callers {
        let (slots, requests) = (run.slots.clone(), Arc::clone(&requests));
        let (seed, started_at) = (options.seed, run.started_at);
        let workload = workload(is_harsh, deployment);
        let caller = Caller::new(seed, number, slots, requests, started_at, workload);
        callers.spawn(caller.run(Duration::MAX));
    }
    sleep(options.length.saturating_sub(UNANSWERED_ORDERS_TIME)).await;
    let mut history = History::default();
    let mut losses = draw_power_losses(options.seed);
    if deployment.full_speed_loads.is_some() {
        losses.truncate(1);
        losses.iter_mut().for_each(|loss| loss.keeps_disks = false);
    }
    if options.extra_faults == ExtraFaults::PowerLossesUnderNewNames {
        losses.iter_mut().for_each(|loss| {
            loss.keeps_names = false;
            loss.keeps_rows = true;
        });
    }
    for (index, loss) in losses.iter().enumerate() {
        run.drop_orders();
        let older = harsh_return.and_then(|conditions| run.older_table(conditions));
        sleep(UNANSWERED_ORDERS_TIME - REVOCATION_TIME).await;
        if harsh_return.is_some_and(|conditions| conditions.revokes_key) {
            run.revoke_key();
        }
        sleep(REVOCATION_TIME).await;
        let call_time = harsh_return.and_then(|conditions| conditions.table_call_time);
        let returning = run.lose_and_return_power(*loss, older.as_ref(), call_time);
        let power_return = returning.await;
        history.power_return = Some(power_return);
        if index + 1 < losses.len() {
            sleep(loss.until_next.saturating_sub(UNANSWERED_ORDERS_TIME)).await;
        } else {
            let until = power_return.at + RETURN_BOUND + COUNTED_TIME;
            sleep(until.saturating_sub(run.started_at.elapsed())).await;
        }
    }
    callers.shutdown().await;
    history.requests = std::mem::take(&mut *requests.lock());
    (0..options.gateways).for_each(|index| run.record_peak_memory(index));
    run.collect_observations(&mut history);
    run.slots.iter().for_each(|slot| slot.lock().kill());
    history
}

impl Deployment {
    fn of(extra_faults: ExtraFaults) -> Self {
        if extra_faults == ExtraFaults::PowerLossesWithBusyStore {
            BUSY_STORE_DEPLOYMENT
        } else {
            SMALL_DEPLOYMENT
        }
    }

    fn models(self) -> Vec<String> {
        (0..self.models).map(model_name).collect()
    }
}

fn workload(is_harsh: bool, deployment: Deployment) -> Workload {
    let is_store_busy = deployment.full_speed_loads.is_some();
    Workload {
        plain_fraction: Some(0.31),
        cold_fraction: 1.0,
        cold_models: deployment.models(),
        popularity_draws: 2,
        popular: deployment
            .popular_models
            .map(|models| (models, POPULAR_FRACTION)),
        max_pause_ms: 300,
        api_keys: (0..TENANTS).map(api_key).collect(),
        adapters: if is_harsh { ADAPTERS } else { 0 },
        impatient_interval: (is_harsh || is_store_busy).then_some(IMPATIENT_INTERVAL),
        repeats: if is_store_busy { REPEATS } else { 0 },
    }
}

pub(super) fn api_key(tenant: usize) -> String {
    format!("key-{tenant}")
}

pub(super) fn model_name(number: usize) -> String {
    format!("m{number}")
}

/// Returns the configuration with models that load slowly, and with this number of tenants.
pub(super) fn configuration_with_loads(
    tenants: usize,
    adapters: usize,
    models: &[String],
) -> Value {
    let tenants = (0..tenants).map(|tenant| {
        let name = format!("tenant-{tenant}");
        tenant_with_quota(&name, &api_key(tenant), TOKENS_PER_SECOND)
    });
    let prober = tenant("prober", super::PROBE_KEY);
    let mut document = configuration_with_models(models, LOAD_TIMES, adapters);
    set_tenants(&mut document, tenants.chain([prober]));
    document
}

impl Run {
    async fn start_with_loads(options: &RunOptions) -> Self {
        let is_harsh = options.extra_faults == ExtraFaults::HarshPowerLosses;
        let adapters = if is_harsh { ADAPTERS } else { 0 };
        let deployment = Deployment::of(options.extra_faults);
        let configuration = configuration_with_loads(TENANTS, adapters, &deployment.models());
        let mut run = Run::start_gateways(options, configuration).await;
        let weight_store = deployment.full_speed_loads.map(WeightStore::new);
        run.weight_store = weight_store.map(|store| Arc::new(Mutex::new(store)));
        if is_harsh {
            *run.store.inner.page_rows.lock() = Some(HARSH_PAGE_ROWS);
        }
        for _ in 0..super::BACK_ENDS_PER_SERVICE {
            run.add_back_end("app").await;
        }
        let models = deployment.models;
        for number in 0..deployment.engines {
            let engine = run.add_back_end("llm").await;
            engine.runner.set_load_times(LOAD_TIMES);
            engine.runner.set_weight_store(run.weight_store.clone());
            let held = (0..2).map(|offset| model_name((2 * number + offset) % models));
            let held: Vec<String> = held.collect();
            let next = (2..4).map(|offset| model_name((2 * number + offset) % models));
            engine
                .runner
                .set_models_on_disk(held.iter().cloned().chain(next).collect());
            engine.runner.set_models(held);
            run.put_row(&engine, "ready");
        }
        run.assert_ready(&["/read/"]).await;
        run
    }

    /// Writes the rows of engines whenever their models change.
    pub(super) async fn maintain_engine_rows(self: Arc<Self>) {
        loop {
            sleep(ROW_INTERVAL).await;
            if self.store.inner.is_unavailable.load(Ordering::Relaxed) {
                continue;
            }
            let listed = self.listed.lock().clone();
            for engine in listed.iter().filter(|back_end| back_end.service == "llm") {
                let row = back_end_row(engine, "ready");
                if self
                    .store
                    .value("servers", &engine.runner.id)
                    .is_some_and(|known| known != row)
                {
                    self.store.put("servers", &engine.runner.id, row);
                }
            }
        }
    }

    /// Lets some engines drop all further orders.
    fn drop_orders(&self) {
        let listed = self.listed.lock();
        let engines = listed.iter().filter(|back_end| back_end.service == "llm");
        for engine in engines.step_by(UNANSWERED_INTERVAL) {
            engine
                .runner
                .orders_to_drop
                .store(usize::MAX, Ordering::Relaxed);
        }
    }

    /// Returns the rows that the table has when power returns, without those that are written again;
    /// `None` if it loses none.
    fn older_table(&self, conditions: HarshReturn) -> Option<StoreCopy> {
        match conditions.table {
            TableReturn::Complete => None,
            TableReturn::WithoutLastWrites => Some(self.store.copy()),
            TableReturn::Empty => Some(StoreCopy::default()),
        }
    }

    /// Writes a configuration without the last tenant.
    fn revoke_key(&self) {
        let mut version = self.configuration_version.lock();
        *version += 1;
        let mut document =
            configuration_with_loads(REVOKED_TENANT, ADAPTERS, &SMALL_DEPLOYMENT.models());
        document["version"] = json!(*version);
        self.store.put("op", "config", document);
    }

    /// All machines lose power, which then returns. If the table has lost writes, it continues from an
    /// `older` copy, and the operator and the back ends write their rows again. From then on, a call
    /// occupies the table for `table_call_time`.
    pub(super) async fn lose_and_return_power(
        self: &Arc<Self>,
        loss: PowerLoss,
        older: Option<&StoreCopy>,
        table_call_time: Option<Duration>,
    ) -> PowerReturn {
        let from = self.started_at.elapsed();
        let lost = std::mem::take(&mut *self.listed.lock());
        for back_end in &lost {
            back_end.runner.abort_load();
            back_end.runner.exit();
            back_end.wire.stop_listening();
        }
        sleep(loss.gateways_outlast).await;
        let is_unavailable = &self.store.inner.is_unavailable;
        is_unavailable.store(true, Ordering::Relaxed);
        for index in 0..self.slots.len() {
            self.record_peak_memory(index);
            self.slots[index].lock().kill();
        }
        for back_end in lost.iter().filter(|_| !loss.keeps_rows) {
            self.store.remove("servers", &back_end.runner.id);
        }
        sleep(loss.outage).await;
        let power_return = PowerReturn {
            at: self.started_at.elapsed(),
            has_disks: loss.keeps_disks,
            bounds_first_model: false,
        };
        for index in 0..self.slots.len() {
            if loss.has_absent_gateways && index.is_multiple_of(ABSENT_INTERVAL) {
                continue;
            }
            let number = self.next_process_number();
            let mut slot = self.slots[index].lock();
            if loss.keeps_addresses {
                slot.restart_in_place(number);
            } else {
                slot.restart(number);
            }
        }
        let mut returned = Vec::new();
        for back_end in &lost {
            returned.push(self.return_back_end(back_end, loss).await);
        }
        sleep(loss.table_delay).await;
        *self.store.inner.call_time.lock() = table_call_time;
        let lost_rows = older.map(|older| self.store.restore(older));
        is_unavailable.store(false, Ordering::Relaxed);
        sleep(loss.rows_delay).await;
        if let Some(lost_rows) = lost_rows {
            self.store.write_again(lost_rows);
        }
        for back_end in &returned {
            self.put_row(back_end, "ready");
        }
        self.listed.lock().extend(returned);
        self.disturbances.lock().push(Disturbance {
            from,
            until: self.started_at.elapsed(),
            kind: DisturbanceKind::Table,
        });
        power_return
    }

    /// Starts a back end again without models, under its name and at its address if it keeps them.
    async fn return_back_end(self: &Arc<Self>, lost: &BackEnd, loss: PowerLoss) -> BackEnd {
        let name = match loss.keeps_names {
            true => lost.runner.id.clone(),
            false => self.next_name(),
        };
        let previous = loss.keeps_names.then_some(lost);
        let returned = self.start_back_end(&name, lost.service, previous).await;
        if lost.service != "llm" {
            return returned;
        }
        returned.runner.unload_all();
        returned.runner.set_load_times(LOAD_TIMES);
        returned.runner.set_weight_store(self.weight_store.clone());
        let kept = if loss.keeps_disks {
            lost.runner.models_on_disk()
        } else {
            BTreeSet::new()
        };
        returned.runner.set_models_on_disk(kept);
        if !loss.keeps_names {
            return returned;
        }
        let late_orders = lost.runner.dropped_orders();
        let runner = returned.runner.clone();
        tokio::spawn(async move {
            sleep(loss.late_order_delay).await;
            late_orders
                .iter()
                .for_each(|order| runner.execute_late_order(order));
        });
        returned
    }
}
