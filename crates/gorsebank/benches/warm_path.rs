//! Benchmark of a node's overhead for a loaded model: requests through a node are compared with
//! requests that call the emulated engine directly.
//!
//! Criterion measures sequential requests. An open-loop load of 2,000 requests per second then
//! gives percentiles of the response time. Absolute times depend on the machine, so the output also
//! has differences and ratios. Last, the benchmark prints the node's resident memory per open
//! stream and for a large configuration.

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
const LOAD_SECONDS: u64 = 5;
const OPEN_STREAM_COUNT: usize = 200;
const ADAPTER_COUNT: u64 = 62_000;
/// Time within which the allocator returns the memory that a large response occupied temporarily.
const MEMORY_RELEASE_TIME: Duration = Duration::from_secs(15);
const ROWS_PER_TRANSACTION: usize = 500;

fn main() {
    let runtime = Runtime::new().expect("a runtime");
    let deployment = Arc::new(runtime.block_on(start_warm_deployment()));
    let node = deployment.callers("n1");
    let engine = runtime.block_on(find_warm_engine(&deployment));
    compare_sequentially(&runtime, &deployment, node, engine);
    compare_under_load(&runtime, &deployment, node, engine);
    print_memory_per_stream(&runtime, &deployment, node);
    runtime.block_on(print_memory_of_configuration(&deployment));
}

/// Starts a deployment with one node and loads the model.
async fn start_warm_deployment() -> Deployment {
    let deployment = Deployment::start_with_links("bench", 1, LinkKind::Direct).await;
    let address = deployment.callers("n1");
    let response = deployment
        .post(address, PATH, &completion("llama", false, 1))
        .await;
    assert_eq!(response.status, 200, "{}", response.text);
    deployment
}

/// The address of the engine that has loaded the model.
async fn find_warm_engine(deployment: &Deployment) -> SocketAddr {
    for id in ["e1", "e2"] {
        let engine = &deployment.live.back_ends[id];
        let body = completion("llama@1", false, 1);
        let response = deployment.post(engine.address(), PATH, &body).await;
        if response.status == 200 {
            return engine.address();
        }
    }
    panic!("no engine holds the model");
}

/// Measures sequential requests with Criterion, directly and through the node.
fn compare_sequentially(
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
                let response = deployment.post(address, PATH, &body).await;
                assert_eq!(response.status, 200, "{}", response.text);
            });
        });
    }
    group.finish();
    criterion.final_summary();
}

/// Prints percentiles of the response time under load, directly and through the node.
fn compare_under_load(
    runtime: &Runtime,
    deployment: &Arc<Deployment>,
    node: SocketAddr,
    engine: SocketAddr,
) {
    // Two alternating runs of each, so that effects of a machine that warms up apply to both.
    let mut direct = Histogram::new(3).expect("a histogram");
    let mut through = Histogram::new(3).expect("a histogram");
    for _ in 0..2 {
        direct += runtime.block_on(run_open_loop(deployment, engine, "llama@1"));
        through += runtime.block_on(run_open_loop(deployment, node, "llama"));
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

/// Sends requests at a constant rate and records the time from each request's scheduled start to
/// its response, in microseconds.
async fn run_open_loop(
    deployment: &Arc<Deployment>,
    address: SocketAddr,
    model: &str,
) -> Histogram<u64> {
    let body = Arc::new(completion(model, false, 1));
    let mut calls = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_millis(1));
    let per_tick = REQUESTS_PER_SECOND / 1_000;
    for _ in 0..LOAD_SECONDS * 1_000 {
        let scheduled_at = ticks.tick().await.into_std();
        for _ in 0..per_tick {
            let (deployment, body) = (Arc::clone(deployment), Arc::clone(&body));
            calls.push(tokio::spawn(async move {
                let response = deployment.post(address, PATH, &body).await;
                assert_eq!(response.status, 200, "{}", response.text);
                Instant::now() - scheduled_at
            }));
        }
    }
    let mut histogram = Histogram::new(3).expect("a histogram");
    for call in calls {
        let time = call.await.expect("the request completes");
        histogram
            .record(time.as_micros() as u64)
            .expect("the histogram grows as needed");
    }
    histogram
}

/// Prints the resident memory of a node before and after it reads a large number of adapters from
/// the table.
async fn print_memory_of_configuration(deployment: &Deployment) {
    let resident = || {
        deployment.live.nodes["n1"]
            .resident_bytes()
            .expect("the resident memory is known")
    };
    let before = resident();
    let status = deployment.live.status("n1").await.expect("a status");
    let first = status["revision"].as_u64().expect("a revision") + 1;
    let rows: Vec<(String, String)> = (0..ADAPTER_COUNT)
        .map(|number| adapter_row(first, number))
        .collect();
    for chunk in rows.chunks(ROWS_PER_TRANSACTION) {
        put_rows(deployment, chunk).await;
    }
    let newest = first + ADAPTER_COUNT - 1;
    let head = json!({"revision": newest}).to_string();
    put_rows(deployment, &[("configuration/head".to_owned(), head)]).await;
    deployment
        .wait_until("the node has applied the configuration", async || {
            let status = deployment.live.status("n1").await;
            status.is_some_and(|status| status["revision"].as_u64() == Some(newest))
        })
        .await;
    let after_reading = resident();
    tokio::time::sleep(MEMORY_RELEASE_TIME).await;
    let after_release = resident();
    println!(
        "memory: {before} bytes before, {after_reading} just after reading {ADAPTER_COUNT} adapters"
    );
    println!("memory: {after_release} bytes {MEMORY_RELEASE_TIME:?} later");
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

/// Writes rows into the table in the format that the node uses.
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
    let response = deployment.post(table, "/v3/kv/txn", &body).await;
    assert_eq!(response.status, 200, "{}", response.text);
}

/// Prints the resident memory of the node per open stream.
fn print_memory_per_stream(runtime: &Runtime, deployment: &Arc<Deployment>, node: SocketAddr) {
    let process = &deployment.live.nodes["n1"];
    let resident = || {
        process
            .resident_bytes()
            .expect("the resident memory is known")
    };
    let before = resident();
    let body = Arc::new(completion("llama", true, 300));
    let calls: Vec<_> = (0..OPEN_STREAM_COUNT)
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
    let bytes_per_stream = during.saturating_sub(before) / OPEN_STREAM_COUNT as u64;
    println!("memory: {before} bytes before, {during} with {OPEN_STREAM_COUNT} requests open");
    println!("memory per open stream: {bytes_per_stream} bytes");
}
