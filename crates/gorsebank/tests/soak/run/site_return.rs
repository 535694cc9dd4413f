//! The return of a whole site after a loss of all power: its models, shares of requests, deadlines and
//! rates, a weight store that all engines share, and callers that repeat what was not served.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::power_return::{
    COUNTED_TIME, LOAD_TIMES, TENANTS, api_key, configuration_with_loads, model_name,
};
use super::{BackEnd, Run, RunOptions};
use crate::arrivals::{Arrivals, RequestClass};
use crate::history::{History, PowerReturn, RequestKind};
use crate::plan::{PowerLoss, SiteReturn};
use crate::platform::engine::{EngineLimits, RouteLimits, add_route, set_limits};
use crate::platform::tcp_proxy::NewConnections;
use crate::platform::weight_store::WeightStore;
use crate::service_return::RETURN_BOUND;

/// Number of engines.
const ENGINES: usize = 60;
/// Number of models that an engine holds.
const MODELS_PER_ENGINE: usize = 2;
/// Number of engines that hold each popular model before the loss.
const POPULAR_REPLICAS: usize = 4;
/// Limits of the engines.
const ENGINE_LIMITS: EngineLimits = EngineLimits {
    slots: 48,
    connections: 680,
    loads_per_second: 24.0,
};
/// Shares of the popular models in the requests of the classes that ask for them.
const POPULAR_SHARES: [f64; 12] = [
    0.106, 0.0575, 0.0471, 0.0414, 0.0377, 0.0349, 0.0328, 0.0311, 0.0296, 0.0284, 0.0274, 0.0265,
];
/// Number of models; the last of them are asked for equally often.
const MODELS: usize = 195;
/// First of the models that get the requests for rare ones.
const FIRST_RARE_MODEL: usize = 30;
/// Number of gateways that share the site's requests.
const SITE_GATEWAYS: f64 = 70.0;
/// Time without power.
const OUTAGE: Duration = Duration::from_millis(1_500);
/// Time from the return of power until the back ends write their rows.
const ROWS_DELAY: Duration = Duration::from_millis(500);
/// Time that outstanding requests have after the last one was sent.
const GRACE: Duration = Duration::from_secs(3);
/// Name of the route that the tests' configuration lacks.
const RESTOCK_ROUTE: &str = "restock";

/// Runs a loss of power and the return from it, and returns what was observed.
pub async fn execute_site_return(options: RunOptions, conditions: SiteReturn) -> History {
    let run = Arc::new(Run::start_site(&options, conditions.full_speed_loads).await);
    let mut tasks = JoinSet::new();
    tasks.spawn(run.clone().maintain_engine_rows());
    let arrivals = Arc::new(run.arrivals());
    let until = run.started_at.elapsed() + options.length + OUTAGE + RETURN_BOUND + COUNTED_TIME;
    let arriving = tokio::spawn(arrivals.clone().run(options.seed, until, GRACE));
    sleep(options.length).await;
    let previous = run.listed.lock().clone();
    let power_return = run
        .lose_and_return_power(conditions.power_loss(), None, None)
        .await;
    if let Some(lifetime) = conditions.previous_rows {
        if conditions.are_previous_silent {
            let wires = previous.iter().map(|back_end| &back_end.wire);
            wires.for_each(|wire| wire.set_new_connections(NewConnections::Hanging));
        }
        tasks.spawn(run.clone().remove_rows(previous, lifetime));
    }
    arriving.await.expect("the callers do not panic");
    tasks.shutdown().await;
    let mut history = History {
        requests: std::mem::take(&mut *arrivals.tries.lock()),
        power_return: Some(PowerReturn {
            bounds_first_model: true,
            ..power_return
        }),
        ..History::default()
    };
    (0..options.gateways).for_each(|index| run.record_peak_memory(index));
    run.collect_observations(&mut history);
    run.slots.iter().for_each(|slot| slot.lock().kill());
    history
}

impl SiteReturn {
    fn power_loss(self) -> PowerLoss {
        let has_new_names = self.previous_rows.is_some();
        PowerLoss {
            outage: OUTAGE,
            table_delay: Duration::ZERO,
            rows_delay: ROWS_DELAY,
            keeps_disks: self.keeps_disks,
            keeps_rows: has_new_names,
            keeps_names: !has_new_names,
            keeps_addresses: true,
            has_absent_gateways: false,
            late_order_delay: Duration::ZERO,
            until_next: Duration::ZERO,
            gateways_outlast: Duration::ZERO,
        }
    }
}

/// Returns the site's configuration: the routes' objectives, timeouts and priorities, and its engines.
fn configuration() -> Value {
    let models: Vec<String> = (0..MODELS).map(model_name).collect();
    let mut document = configuration_with_loads(TENANTS, 0, &models);
    add_route(&mut document, RESTOCK_ROUTE);
    let limits = |objective_ms, timeout_ms, priority| RouteLimits {
        objective_ms,
        timeout_ms,
        priority,
    };
    // In the order of the routes: read, top-up, stream, resumable, restock.
    let routes = [
        limits(300, 1_500, 0),
        limits(300, 1_500, 0),
        limits(5_000, 20_000, 2),
        limits(800, 15_000, 0),
        limits(2_000, 8_000, 1),
    ];
    set_limits(&mut document, &routes, ENGINE_LIMITS);
    document
}

/// Returns the kinds of requests with their rates at each gateway.
fn classes() -> Vec<RequestClass> {
    let popular = POPULAR_SHARES.iter().enumerate();
    let popular: Vec<_> = popular
        .map(|(index, share)| (model_name(index), *share))
        .collect();
    let rare = (FIRST_RARE_MODEL..MODELS).map(|index| (model_name(index), 1.0));
    let class = |route, kind, site_rate: f64, deadline_ms, models| RequestClass {
        route,
        kind,
        rate: site_rate / SITE_GATEWAYS,
        deadline: Duration::from_millis(deadline_ms),
        models,
    };
    vec![
        class(
            "resumable",
            RequestKind::Resumable,
            76.3,
            15_000,
            popular.clone(),
        ),
        class("stream", RequestKind::Stream, 33.8, 20_000, rare.collect()),
        class(RESTOCK_ROUTE, RequestKind::Resumable, 46.9, 8_000, popular),
        class("top-up", RequestKind::Mutating, 58.0, 3_000, Vec::new()),
        class("read", RequestKind::Idempotent, 13.4, 3_000, Vec::new()),
    ]
}

/// Returns the models that engines hold before the loss: popular ones on some engines each, then rare
/// ones on one each.
fn models_before_loss() -> Vec<String> {
    let popular = (0..POPULAR_SHARES.len()).flat_map(|model| [model; POPULAR_REPLICAS]);
    let models = popular.chain(FIRST_RARE_MODEL..MODELS);
    models
        .take(ENGINES * MODELS_PER_ENGINE)
        .map(model_name)
        .collect()
}

impl Run {
    async fn start_site(options: &RunOptions, full_speed_loads: usize) -> Self {
        let mut run = Run::start_gateways(options, configuration()).await;
        let weight_store = WeightStore::new(full_speed_loads);
        run.weight_store = Some(Arc::new(parking_lot::Mutex::new(weight_store)));
        for _ in 0..super::BACK_ENDS_PER_SERVICE {
            run.add_back_end("app").await;
        }
        let models = models_before_loss();
        for number in 0..ENGINES {
            let engine = run.add_back_end("llm").await;
            let held = [models[number].clone(), models[number + ENGINES].clone()];
            engine.runner.set_load_times(LOAD_TIMES);
            engine.runner.set_weight_store(run.weight_store.clone());
            engine
                .runner
                .set_models_on_disk(held.iter().cloned().collect());
            engine.runner.set_models(held.into());
            run.put_row(&engine, "ready");
        }
        run.assert_ready(&["/read/"]).await;
        run
    }

    fn arrivals(&self) -> Arrivals {
        Arrivals {
            classes: classes(),
            api_keys: (0..TENANTS).map(api_key).collect(),
            slots: self.slots.clone(),
            started_at: self.started_at,
            tries: Default::default(),
            connections: Default::default(),
        }
    }

    /// Removes the rows of previous back ends after their lifetime.
    async fn remove_rows(self: Arc<Self>, previous: Vec<BackEnd>, lifetime: Duration) {
        sleep(lifetime).await;
        for back_end in previous {
            self.store.remove("servers", &back_end.runner.id);
        }
    }
}
