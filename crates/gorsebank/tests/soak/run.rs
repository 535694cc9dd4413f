//! One soak run: gateway processes, stand-ins for the table and for back ends, callers and faults.

mod behaviour;
mod faults;
mod observations;
mod power_loss;
mod power_return;
mod site_return;

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::header::AUTHORIZATION;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::callers::{Caller, Workload, authorization};
use super::cpu_quota::CpuQuota;
use super::gateways::GatewaySlot;
use super::history::{
    Disturbance, DisturbanceKind, History, LimitedBackEnd, ResponseDrain, RowDrain,
};
use super::plan::{
    draw_faults, draw_garbles, draw_limits, draw_restores, draw_row_faults, draw_statements,
};
use super::platform::client::{request, send};
use super::platform::process::Machine;
use super::platform::runner::{ReceivedRequest, Reply, Runner};
use super::platform::store::Store;
use super::platform::tcp_proxy::TcpProxy;
use super::platform::weight_store::WeightStore;
use super::platform::{configuration, configuration_with_prefix, server_row};
use behaviour::{Conditions, reply_to};
pub use power_return::execute_power_losses;
pub use site_return::execute_site_return;

/// Number of back ends of each service.
const BACK_ENDS_PER_SERVICE: usize = 3;
/// Number of callers per gateway.
const CALLERS_PER_GATEWAY: usize = 2;
/// Time within which gateways become ready at the start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which gateways serve requests again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which a configuration is applied everywhere and a drain is known.
const PROPAGATION_BOUND: Duration = Duration::from_millis(2_000);
/// Allowance for stand-ins that run late on a busy machine.
const STANDIN_SLACK: Duration = Duration::from_millis(500);
/// Time between the exit of a back end's process and the removal of its row or the start of its
/// replacement.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Models that are added to the tests' configuration, so that an engine cannot hold all models.
pub const EXTRA_MODELS: [&str; 2] = ["rare", "rarer"];
/// Prefix of request bodies that crash back ends.
const CRASHING_BODY_PREFIX: &[u8] = b"ends whoever runs it ";
/// Start time of the first back ends, in milliseconds since the Unix epoch.
const FIRST_START_MS: u64 = 1_700_000_000_000;
/// Paths of an idempotent, a mutating and a stream request.
const SERVED_PATHS: [&str; 3] = ["/read/", "/top-up/", "/stream/"];
/// API key of the requests that check whether a gateway serves.
const PROBE_KEY: &str = "probe-key";
/// Interval at which gateways are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A back end with its service and the link to it.
#[derive(Clone)]
struct BackEnd {
    runner: Runner,
    service: &'static str,
    wire: Arc<TcpProxy>,
    conditions: Arc<Conditions>,
    /// Start time in milliseconds since the Unix epoch, if the row of the back end states it.
    start_time_ms: Option<u64>,
}

/// State of a run.
pub struct Run {
    store: Store,
    _cpu_quota: Option<CpuQuota>,
    slots: Arc<Vec<Mutex<GatewaySlot>>>,
    /// Back ends that are listed in the table and may be struck by faults.
    listed: Mutex<Vec<BackEnd>>,
    /// All back ends of the run, including those that drained or exited.
    all_back_ends: Mutex<Vec<BackEnd>>,
    /// Arrivals of requests that crash back ends, by request body.
    crash_arrivals: Arc<Mutex<BTreeMap<Vec<u8>, Vec<Duration>>>>,
    /// Time at which callers stop.
    callers_until: Duration,
    disturbances: Mutex<Vec<Disturbance>>,
    row_drains: Mutex<Vec<RowDrain>>,
    limited_back_ends: Mutex<Vec<LimitedBackEnd>>,
    response_drains: Mutex<Vec<ResponseDrain>>,
    peak_memory: Mutex<Vec<(String, u64)>>,
    /// Whether rows state start times, as required for back ends that restart under their names.
    announces_start_times: bool,
    /// Names of back ends that exited and are to restart under the same name.
    restarting: Mutex<BTreeSet<String>>,
    started_at: Instant,
    process_count: AtomicUsize,
    configuration_version: Mutex<u64>,
    /// Held while the table is restored.
    restoring: tokio::sync::Mutex<()>,
    /// The weight store that all engines share; `None` if their loads do not slow each other down.
    weight_store: Option<Arc<Mutex<WeightStore>>>,
}

/// Faults that are injected in addition to the schedule, drawn from separate random streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraFaults {
    /// No additional faults.
    Nothing,
    /// Back ends state rate limits.
    Limits,
    /// Rows of back ends are corrupted, and back ends restart under their names.
    Rows,
    /// Back ends announce their drain in their responses, or reject requests and request pauses.
    Statements,
    /// The table is restored from older copies.
    Restores,
    /// Back ends send surplus, endless and garbled bytes, and at last all machines lose power.
    Garbles,
    /// All machines lose power while callers go on, and no other fault is injected.
    PowerLosses,
    /// All machines lose power as in `PowerLosses`; models have adapters, some callers do not wait, and
    /// the table may have lost writes.
    HarshPowerLosses,
    /// All machines lose power and their disks; many engines share a weight store that performs few
    /// loads at full speed, a few of many models get most requests, and some callers repeat refused
    /// requests.
    PowerLossesWithBusyStore,
    /// All machines lose power as in `PowerLosses`; back ends return under new names and at other
    /// addresses, and the rows of the previous ones stay.
    PowerLossesUnderNewNames,
    /// All machines of a whole site lose power once.
    PowerLossOfSite,
}

impl ExtraFaults {
    /// Whether all machines lose power while callers go on.
    pub fn are_power_losses(self) -> bool {
        matches!(
            self,
            ExtraFaults::PowerLosses
                | ExtraFaults::HarshPowerLosses
                | ExtraFaults::PowerLossesWithBusyStore
                | ExtraFaults::PowerLossesUnderNewNames
                | ExtraFaults::PowerLossOfSite
        )
    }
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seed from which all choices are drawn.
    pub seed: u64,
    /// Period in which faults are injected.
    pub length: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Faults in addition to the schedule.
    pub extra_faults: ExtraFaults,
    /// Whether the gateways run on machines with a small fraction of a core, except for a few.
    pub has_scarce_machines: bool,
    /// Number of callers while power is lost and returns.
    pub callers: usize,
    /// Folder for the logs of the gateways.
    pub log_folder: Option<PathBuf>,
}

/// The machines of most gateways, where they are scarce.
const WEAK_MACHINE: Machine = Machine {
    cpu_share: 0.12,
    link_megabits: 10,
};
/// The machines of the others.
const STRONG_MACHINE: Machine = Machine {
    cpu_share: 0.5,
    link_megabits: 200,
};
/// Every gateway whose index is a multiple of this number has a strong machine.
const STRONG_INTERVAL: usize = 12;

impl RunOptions {
    fn machine(&self, index: usize) -> Option<Machine> {
        let is_strong = index.is_multiple_of(STRONG_INTERVAL);
        let machine = if is_strong {
            STRONG_MACHINE
        } else {
            WEAK_MACHINE
        };
        self.has_scarce_machines.then_some(machine)
    }
}

/// Runs the faults of a seed and returns what was observed.
pub async fn execute_run(options: RunOptions) -> History {
    let RunOptions {
        seed,
        length,
        gateways,
        ..
    } = options;
    let run = Arc::new(Run::start(&options).await);
    let requests = Arc::default();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS_PER_GATEWAY * gateways {
        let slots = run.slots.clone();
        let requests = Arc::clone(&requests);
        let workload = Workload::default();
        let caller = Caller::new(seed, number, slots, requests, run.started_at, workload);
        callers.spawn(caller.run(run.callers_until));
    }
    let base = tokio::time::Instant::now();
    let mut faults = JoinSet::new();
    // Tasks that replace exited back ends hold a reference to the run; dropping this set aborts
    // them.
    let mut replacements = JoinSet::new();
    for back_end in run.listed.lock().iter() {
        replacements.spawn(run.clone().replace_when_exited(back_end.clone()));
    }
    match options.extra_faults {
        ExtraFaults::Nothing
        | ExtraFaults::PowerLosses
        | ExtraFaults::HarshPowerLosses
        | ExtraFaults::PowerLossesWithBusyStore
        | ExtraFaults::PowerLossesUnderNewNames
        | ExtraFaults::PowerLossOfSite => {}
        ExtraFaults::Limits => {
            for limit in draw_limits(seed, length) {
                faults.spawn(run.clone().state_limit(limit));
            }
        }
        ExtraFaults::Rows => {
            for fault in draw_row_faults(seed, length) {
                faults.spawn(run.clone().inject_row_fault(fault));
            }
        }
        ExtraFaults::Statements => {
            for statement in draw_statements(seed, length) {
                faults.spawn(run.clone().make_statement(statement));
            }
        }
        ExtraFaults::Garbles => {
            for garble in draw_garbles(seed, length) {
                faults.spawn(run.clone().garble_responses(garble));
            }
        }
        ExtraFaults::Restores => {
            for restore in draw_restores(seed, length) {
                faults.spawn(run.clone().restore_table(restore));
            }
        }
    }
    for fault in draw_faults(seed, length) {
        sleep_until(base + fault.at).await;
        faults.spawn(run.clone().inject_fault(fault));
    }
    faults.join_all().await;
    callers.join_all().await;
    let mut history = History::default();
    if options.extra_faults == ExtraFaults::Garbles {
        replacements.shutdown().await;
        let absent = run.lose_power().await;
        let all = 0..gateways;
        let returned = all.filter(|index| !absent.contains(index)).collect();
        run.check_recovery(&mut history, returned).await;
        run.restart_gateways(&absent);
    }
    run.check_recovery(&mut history, (0..gateways).collect())
        .await;
    run.check_last_configuration(&mut history).await;
    history.requests = std::mem::take(&mut *requests.lock());
    (0..gateways).for_each(|index| run.record_peak_memory(index));
    run.collect_observations(&mut history);
    run.slots.iter().for_each(|slot| slot.lock().kill());
    history
}

impl Run {
    async fn start(options: &RunOptions) -> Self {
        let mut run = Run::start_gateways(options, with_extra_models(configuration(1))).await;
        for _ in 0..BACK_ENDS_PER_SERVICE {
            run.add_back_end("app").await;
            run.add_back_end("llm").await;
        }
        run.assert_ready(&SERVED_PATHS).await;
        run.callers_until = run.started_at.elapsed() + options.length;
        run
    }

    /// Waits until all gateways serve requests on these paths.
    async fn assert_ready(&self, paths: &[&str]) {
        let all = (0..self.slots.len()).collect();
        let not_serving = self.find_gateways_not_serving(all, STARTUP_TIMEOUT, paths);
        let not_serving = not_serving.await;
        assert!(
            not_serving.is_empty(),
            "gateways do not become ready: {not_serving:?}"
        );
    }

    /// Starts the table with a configuration, and the gateways.
    async fn start_gateways(options: &RunOptions, configuration: Value) -> Self {
        let gateways = options.gateways;
        let store = Store::start().await;
        store.put("op", "config", configuration);
        let mut slots = Vec::new();
        for number in 0..gateways {
            let wire = TcpProxy::start(store.address).await;
            let slot = GatewaySlot::start(
                &format!("node-{number}"),
                wire,
                number,
                options.machine(number),
                options.log_folder.clone(),
            );
            slots.push(Mutex::new(slot));
        }
        let slots = Arc::new(slots);
        let cpu_quota = options
            .has_scarce_machines
            .then(|| CpuQuota::enforce(slots.clone()));
        Run {
            store,
            _cpu_quota: cpu_quota,
            slots,
            listed: Mutex::default(),
            all_back_ends: Mutex::default(),
            crash_arrivals: Arc::default(),
            callers_until: Duration::ZERO,
            disturbances: Mutex::default(),
            row_drains: Mutex::default(),
            limited_back_ends: Mutex::default(),
            response_drains: Mutex::default(),
            peak_memory: Mutex::default(),
            announces_start_times: options.extra_faults == ExtraFaults::Rows
                || options.extra_faults.are_power_losses(),
            restarting: Mutex::default(),
            started_at: Instant::now(),
            process_count: AtomicUsize::new(gateways),
            configuration_version: Mutex::new(1),
            restoring: tokio::sync::Mutex::default(),
            weight_store: None,
        }
    }

    async fn add_back_end(&self, service: &'static str) -> BackEnd {
        self.add_back_end_as(&self.next_name(), service).await
    }

    /// The name of the next back end that has a name of its own.
    fn next_name(&self) -> String {
        format!("i-{}", self.all_back_ends.lock().len())
    }

    /// Adds a back end under a name that another back end may have had before.
    async fn add_back_end_as(&self, id: &str, service: &'static str) -> BackEnd {
        let back_end = self.start_back_end(id, service, None).await;
        self.put_row(&back_end, "ready");
        self.listed.lock().push(back_end.clone());
        back_end
    }

    /// Starts a back end without a row, at the address of a previous one if there is one.
    async fn start_back_end(
        &self,
        id: &str,
        service: &'static str,
        previous: Option<&BackEnd>,
    ) -> BackEnd {
        let conditions = Arc::new(Conditions::default());
        let (runner_conditions, crash_arrivals, started_at) = (
            conditions.clone(),
            self.crash_arrivals.clone(),
            self.started_at,
        );
        let behaviour = move |seen: &ReceivedRequest| {
            if seen.body.starts_with(CRASHING_BODY_PREFIX) {
                let mut crash_arrivals = crash_arrivals.lock();
                let arrivals = crash_arrivals.entry(seen.body.clone()).or_default();
                arrivals.push(started_at.elapsed());
                return Reply::Crash;
            }
            reply_to(seen, &runner_conditions)
        };
        let runner = Runner::start(id, behaviour).await;
        let wire = match previous {
            Some(previous) => TcpProxy::start_at(previous.wire.address, runner.address).await,
            None => TcpProxy::start(runner.address).await,
        };
        let start = FIRST_START_MS + self.started_at.elapsed().as_millis() as u64;
        let start_time_ms = self.announces_start_times.then_some(start);
        if let Some(start_time_ms) = start_time_ms {
            runner.set_start_time(start_time_ms);
        }
        let back_end = BackEnd {
            runner,
            service,
            wire: Arc::new(wire),
            conditions,
            start_time_ms,
        };
        self.all_back_ends.lock().push(back_end.clone());
        back_end
    }

    /// Replaces a back end whenever its process exits. The process gives no notice: its row is
    /// removed, or reused by the replacement, after `RESTART_DELAY`.
    async fn replace_when_exited(self: Arc<Self>, mut back_end: BackEnd) {
        loop {
            back_end.runner.wait_for_exit().await;
            back_end.wire.stop_listening();
            let from = self.started_at.elapsed();
            sleep(RESTART_DELAY).await;
            let restarts = self.restarting.lock().remove(&back_end.runner.id);
            if !restarts {
                self.store.remove("servers", &back_end.runner.id);
            }
            let until = self.started_at.elapsed();
            let kind = DisturbanceKind::BackEndExited;
            self.disturbances
                .lock()
                .push(Disturbance { from, until, kind });
            let id = &back_end.runner.id;
            let was_listed = {
                let mut listed = self.listed.lock();
                let count_before = listed.len();
                listed.retain(|other| other.runner.id != *id);
                listed.len() < count_before
            };
            if !was_listed {
                // The back end was draining, and its replacement exists already.
                return;
            }
            back_end = if restarts {
                let id = back_end.runner.id.clone();
                self.add_back_end_as(&id, back_end.service).await
            } else {
                self.add_back_end(back_end.service).await
            };
        }
    }

    fn put_row(&self, back_end: &BackEnd, state: &str) {
        let id = &back_end.runner.id;
        self.store.put("servers", id, back_end_row(back_end, state));
    }

    fn next_process_number(&self) -> usize {
        self.process_count.fetch_add(1, Ordering::Relaxed)
    }

    /// Writes a new configuration with this path prefix for idempotent requests.
    fn configure(&self, prefix: &str) {
        let mut version = self.configuration_version.lock();
        *version += 1;
        let newer = configuration_with_prefix(*version, prefix);
        self.store.put("op", "config", with_extra_models(newer));
    }

    /// Polls until each of these gateways serves a request on each of these paths. Returns the names of
    /// the gateways that do not within `timeout`.
    async fn find_gateways_not_serving(
        &self,
        mut missing: Vec<usize>,
        timeout: Duration,
        paths: &[&str],
    ) -> Vec<String> {
        let started_at = Instant::now();
        while !missing.is_empty() && started_at.elapsed() < timeout {
            let mut still_missing = Vec::new();
            for index in missing {
                if !self.serves(index, paths).await {
                    still_missing.push(index);
                }
            }
            missing = still_missing;
            sleep(POLL_INTERVAL).await;
        }
        self.gateway_names(&missing)
    }

    fn gateway_names(&self, indices: &[usize]) -> Vec<String> {
        let name = |index: &usize| self.slots[*index].lock().name().to_owned();
        indices.iter().map(name).collect()
    }

    async fn serves(&self, index: usize, paths: &[&str]) -> bool {
        let Some(endpoint) = self.slots[index].lock().endpoint() else {
            return false;
        };
        if tokio::net::TcpStream::connect(endpoint.caller_address)
            .await
            .is_err()
        {
            return false;
        }
        for path in paths {
            let mut probe = request("probe", path);
            probe
                .headers_mut()
                .insert(AUTHORIZATION, authorization(PROBE_KEY));
            let response = send(endpoint.caller_address, probe).await;
            if response.is_none_or(|response| response.status != 200) {
                return false;
            }
        }
        true
    }

    fn record_peak_memory(&self, index: usize) {
        let slot = self.slots[index].lock();
        if let Some(bytes) = slot.peak_memory() {
            let name = slot.name().to_owned();
            self.peak_memory.lock().push((name, bytes));
        }
    }

    async fn check_recovery(&self, history: &mut History, gateways: Vec<usize>) {
        let not_serving = self.find_gateways_not_serving(gateways, RECOVERY_TIMEOUT, &SERVED_PATHS);
        history.unrecovered_gateways.extend(not_serving.await);
    }

    async fn check_last_configuration(&self, history: &mut History) {
        self.configure("/last/");
        sleep(PROPAGATION_BOUND + STANDIN_SLACK).await;
        for index in 0..self.slots.len() {
            if !self.serves(index, &["/last/"]).await {
                history
                    .outdated_gateways
                    .extend(self.gateway_names(&[index]));
            }
        }
    }
}

/// Returns the table row of a back end.
fn back_end_row(back_end: &BackEnd, state: &str) -> Value {
    let mut row = server_row(&back_end.runner, back_end.service, state);
    row["addr"] = json!(back_end.wire.address.to_string());
    if let Some(start_time_ms) = back_end.start_time_ms {
        row["born"] = json!(start_time_ms);
    }
    if back_end.runner.has_load_times() {
        (row["models"], row["resident"]) = back_end.runner.row_models();
    }
    row
}

/// Returns the configuration with more models than an engine has memory for.
fn with_extra_models(mut configuration: Value) -> Value {
    let models = &mut configuration["services"][1]["engine"]["models"];
    let models = models
        .as_array_mut()
        .expect("the engine has a list of models");
    let template = models[1].clone();
    for name in EXTRA_MODELS {
        let mut model = template.clone();
        model["name"] = json!(name);
        models.push(model);
    }
    configuration
}
