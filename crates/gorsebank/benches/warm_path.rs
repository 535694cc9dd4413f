//! What a node adds to a request for a warm model, against the engine stand-in
//! called directly, in one run.
//!
//! Criterion measures single calls one after another; an open-loop load of
//! 2,000 requests a second then gives the 99th percentiles. Absolute times
//! belong to the machine; the differences and ratios are what counts.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::Criterion;
use gorsebank_clients::etcd::Base64;
use gorsebank_replay::live::LinkKind;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use support::{Deployment, completion};

const PATH: &str = "/v1/completions";
const REQUESTS_PER_SECOND: u64 = 2_000;
const SECONDS: u64 = 5;
const OPEN_STREAMS: usize = 200;
const ADAPTERS: u64 = 62_000;
/// What a large answer took for a moment is given back within this time.
const SETTLING: Duration = Duration::from_secs(15);
const ROWS_PER_TRANSACTION: usize = 500;

fn main() {
    let runtime = Runtime::new().expect("a runtime");
    let deployment = Arc::new(runtime.block_on(warm_deployment()));
    let node = deployment.callers("n1");
    let engine = runtime.block_on(warm_engine(&deployment));
    one_by_one(&runtime, &deployment, node, engine);
    under_load(&runtime, &deployment, node, engine);
    memory_of_streams(&runtime, &deployment, node);
    runtime.block_on(memory_of_configuration(&deployment));
}

async fn warm_deployment() -> Deployment {
    let deployment = Deployment::start_over("bench", 1, LinkKind::Direct).await;
    let address = deployment.callers("n1");
    let answer = deployment
        .post(address, PATH, &completion("llama", false, 1))
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    deployment
}

/// The engine that holds the model.
async fn warm_engine(deployment: &Deployment) -> SocketAddr {
    for id in ["e1", "e2"] {
        let engine = &deployment.live.back_ends[id];
        let body = completion("llama@1", false, 1);
        let answer = deployment.post(engine.address(), PATH, &body).await;
        if answer.status == 200 {
            return engine.address();
        }
    }
    panic!("no engine holds the model");
}

fn one_by_one(
    runtime: &Runtime,
    deployment: &Arc<Deployment>,
    node: SocketAddr,
    engine: SocketAddr,
) {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .measurement_time(Duration::from_secs(5))
        .configure_from_args();
    let mut group = criterion.benchmark_group("one request of a warm model");
    for (name, address, model) in [
        ("direct", engine, "llama@1"),
        ("through a node", node, "llama"),
    ] {
        let body = completion(model, false, 1);
        group.bench_function(name, |bencher| {
            bencher.to_async(runtime).iter(|| async {
                let answer = deployment.post(address, PATH, &body).await;
                assert_eq!(answer.status, 200, "{}", answer.text);
            });
        });
    }
    group.finish();
    criterion.final_summary();
}

fn under_load(
    runtime: &Runtime,
    deployment: &Arc<Deployment>,
    node: SocketAddr,
    engine: SocketAddr,
) {
    // Two runs each, in turn, so that neither side has the warmer machine.
    let mut direct = Histogram::new(3).expect("a histogram");
    let mut through = Histogram::new(3).expect("a histogram");
    for _ in 0..2 {
        direct += runtime.block_on(load(deployment, engine, "llama@1"));
        through += runtime.block_on(load(deployment, node, "llama"));
    }
    println!("open-loop load of {REQUESTS_PER_SECOND} requests/s, microseconds:");
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let (direct, through) = (
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        println!(
            "  {name}: direct {direct}, through a node {through}, added {}, ratio {:.2}",
            through as i64 - direct as i64,
            through as f64 / direct as f64
        );
    }
}

async fn load(deployment: &Arc<Deployment>, address: SocketAddr, model: &str) -> Histogram<u64> {
    let body = Arc::new(completion(model, false, 1));
    let mut calls = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_millis(1));
    let per_tick = REQUESTS_PER_SECOND / 1_000;
    for _ in 0..SECONDS * 1_000 {
        let due = ticks.tick().await.into_std();
        for _ in 0..per_tick {
            let (deployment, body) = (Arc::clone(deployment), Arc::clone(&body));
            calls.push(tokio::spawn(async move {
                let answer = deployment.post(address, PATH, &body).await;
                assert_eq!(answer.status, 200, "{}", answer.text);
                Instant::now() - due
            }));
        }
    }
    let mut histogram = Histogram::new(3).expect("a histogram");
    for call in calls {
        let time = call.await.expect("the call ends");
        histogram
            .record(time.as_micros() as u64)
            .expect("the histogram grows as needed");
    }
    histogram
}

/// Resident memory of a node that learned the target's adapters from the table.
async fn memory_of_configuration(deployment: &Deployment) {
    let resident = || {
        deployment.live.nodes["n1"]
            .resident_bytes()
            .expect("it is known")
    };
    let before = resident();
    let status = deployment.live.status("n1").await.expect("a status");
    let first = status["revision"].as_u64().expect("a revision") + 1;
    let rows: Vec<(String, String)> = (0..ADAPTERS)
        .map(|number| adapter_row(first, number))
        .collect();
    for chunk in rows.chunks(ROWS_PER_TRANSACTION) {
        put_rows(deployment, chunk).await;
    }
    let newest = first + ADAPTERS - 1;
    let head = json!({"revision": newest}).to_string();
    put_rows(deployment, &[("configuration/head".to_owned(), head)]).await;
    deployment
        .wait_until("the node has the configuration", async || {
            let status = deployment.live.status("n1").await;
            status.is_some_and(|status| status["revision"].as_u64() == Some(newest))
        })
        .await;
    let at_once = resident();
    tokio::time::sleep(SETTLING).await;
    let after = resident();
    println!("memory: {before} bytes before, {at_once} just after reading {ADAPTERS} adapters");
    println!("memory: {after} bytes {SETTLING:?} later");
}

fn adapter_row(first: u64, number: u64) -> (String, String) {
    let name = format!("other+adapter-{number}");
    let row = json!({
        "key": {"kind": "adapter", "name": name}, "revision": first + number, "labels": {},
        "spec": {"kind": "adapter", "model": "other", "memory": "1.0 GiB"},
    });
    (
        format!("configuration/rows/adapter/{name}"),
        row.to_string(),
    )
}

/// Writes rows into the table as the node's writers do.
async fn put_rows(deployment: &Deployment, rows: &[(String, String)]) {
    let puts: Vec<Value> = rows
        .iter()
        .map(|(key, value)| {
            let key = Base64(format!("gorsebank/{key}").into_bytes());
            let value = Base64(value.clone().into_bytes());
            json!({"request_put": {"key": key, "value": value}})
        })
        .collect();
    let body = json!({"success": puts}).to_string();
    let table = deployment.live.table.address();
    let answer = deployment.post(table, "/v3/kv/txn", &body).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
}

/// Resident memory that the node takes for each open stream.
fn memory_of_streams(runtime: &Runtime, deployment: &Arc<Deployment>, node: SocketAddr) {
    let process = &deployment.live.nodes["n1"];
    let resident = || process.resident_bytes().expect("its memory is known");
    let before = resident();
    let body = Arc::new(completion("llama", true, 300));
    let calls: Vec<_> = (0..OPEN_STREAMS)
        .map(|_| {
            let (deployment, body) = (Arc::clone(deployment), Arc::clone(&body));
            runtime.spawn(async move { deployment.post(node, PATH, &body).await })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_500));
    let during = resident();
    for call in calls {
        call.abort();
    }
    let each = during.saturating_sub(before) / OPEN_STREAMS as u64;
    println!("memory: {before} bytes before, {during} with {OPEN_STREAMS} requests open");
    println!("memory per open stream: {each} bytes");
}
