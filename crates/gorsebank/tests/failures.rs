//! Failures across separate processes: kills, planned stops, races and outages.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use support::{Deployment, completion};

const COMPLETIONS: &str = "/v1/completions";

#[tokio::test(flavor = "multi_thread")]
async fn same_idempotency_key_at_three_nodes_runs_once() {
    let deployment = Deployment::start("one-key", 3).await;
    for round in 0..5 {
        let key = format!("top-up-{round}");
        let headers = [("idempotency-key", key.as_str())];
        let calls = ["n1", "n2", "n3"].map(|node| {
            let address = deployment.callers(node);
            deployment.send(
                Method::POST,
                address,
                "/services/customer-api/top-up",
                &headers,
                "5",
            )
        });
        let responses = join_all(calls).await;
        let succeeded = responses
            .iter()
            .filter(|response| response.status == 200)
            .count();
        let rejected = responses
            .iter()
            .filter(|response| response.status == 409)
            .count();
        assert_eq!((succeeded, rejected), (1, 2), "round {round}");
    }
    assert_eq!(deployment.executions().len(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_lost_after_execution_is_not_reported_as_not_run() {
    let deployment = Deployment::start("broke-after", 1).await;
    let address = deployment.callers("n1");
    let path = "/services/customer-api/top-up?fail=after";
    let lost = deployment.post(address, path, "5").await;
    assert_eq!(lost.status, 502, "{}", lost.text);
    assert_eq!(lost.headers["gorsebank-ran"], "unknown");
    assert_eq!(deployment.executions().len(), 1, "the call was sent once");
    let path = "/services/customer-api/top-up?fail=refuse";
    let refused = deployment.post(address, path, "5").await;
    assert_eq!(refused.status, 503, "{}", refused.text);
    assert_eq!(refused.headers["gorsebank-ran"], "no");
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(
        deployment.executions().len(),
        1,
        "the refused call did not run"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_open_streams() {
    let mut deployment = Deployment::start("planned-stop", 3).await;
    let warm = deployment
        .post(
            deployment.callers("n1"),
            COMPLETIONS,
            &completion("llama", false, 1),
        )
        .await;
    assert_eq!(warm.status, 200, "{}", warm.text);
    let body = completion("llama", true, 200);
    let streams = ["n1", "n2", "n3"].map(|node| {
        let address = deployment.callers(node);
        deployment.post(address, COMPLETIONS, &body)
    });
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        deployment.live.nodes["n2"].signal(Signal::SIGTERM);
    };
    let (responses, ()) = futures_util::join!(join_all(streams), stop);
    for response in responses {
        assert!(response.is_complete);
        let numbers: Vec<u64> = (0..202).collect();
        assert_eq!(response.event_numbers(), numbers);
    }
    let mut node = deployment.live.nodes.remove("n2").expect("the node exists");
    assert!(node.wait(), "the node exits by itself with success");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_at_another_node() {
    let deployment = Deployment::start("resume", 2).await;
    let complete = deployment
        .post(
            deployment.callers("n1"),
            COMPLETIONS,
            &completion("llama", true, 10),
        )
        .await;
    let stream = complete.headers["x-request-id"]
        .to_str()
        .expect("the request id is text")
        .to_owned();
    let path = format!("/v1/streams/{stream}");
    let last = format!("{stream}:4");
    let headers = [("last-event-id", last.as_str())];
    let address = deployment.callers("n2");
    let rest = deployment
        .send(Method::GET, address, &path, &headers, "")
        .await;
    assert_eq!(rest.status, 200, "{}", rest.text);
    assert_eq!(rest.event_numbers(), [5, 6, 7, 8, 9, 10, 11]);
    let headers = [("last-event-id", "another:4")];
    let wrong = deployment
        .send(Method::GET, address, &path, &headers, "")
        .await;
    assert_eq!(wrong.code(), "invalid_header");
    let unknown = deployment.get(address, "/v1/streams/none@e1").await;
    assert_eq!(unknown.code(), "stream_not_found");
}

#[tokio::test(flavor = "multi_thread")]
async fn models_load_after_placement_holder_is_killed() {
    let mut deployment = Deployment::start("holder-killed", 3).await;
    let status = deployment
        .live
        .status("n1")
        .await
        .expect("the node reports its status");
    let holder = status["holder"]
        .as_str()
        .expect("there is a placement holder")
        .to_owned();
    deployment
        .live
        .nodes
        .remove(&holder)
        .expect("the placement holder runs")
        .kill();
    let other = ["n1", "n2", "n3"]
        .into_iter()
        .find(|node| *node != holder)
        .expect("another node exists");
    let response = deployment
        .post(
            deployment.callers(other),
            COMPLETIONS,
            &completion("llama", false, 3),
        )
        .await;
    assert_eq!(response.status, 200, "{}", response.text);
    assert_eq!(deployment.count_events("loaded"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_model_loads_while_table_is_down() {
    let deployment = Deployment::start("table-down", 2).await;
    // The placement holder writes its plans to the table within the first seconds.
    deployment
        .wait_until("the plans are in the table", async || {
            let range =
                json!({"key": "Z29yc2ViYW5rL2NlbGxzLw==", "range_end": "Z29yc2ViYW5rL2NlbGxzMA=="});
            let response = deployment
                .post(
                    deployment.live.table.address(),
                    "/v3/kv/range",
                    &range.to_string(),
                )
                .await;
            let rows = response.json()["kvs"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            rows.iter()
                .any(|row| decoded(&row["value"]).contains("llama@1"))
        })
        .await;
    let table = deployment.live.table.address();
    deployment
        .live
        .put(table, "/fault", &json!("down"))
        .await
        .expect("the fault is set");
    let response = deployment
        .post(
            deployment.callers("n1"),
            COMPLETIONS,
            &completion("llama", false, 3),
        )
        .await;
    assert_eq!(response.status, 200, "{}", response.text);
}

fn decoded(value: &Value) -> String {
    let text = value.clone();
    serde_json::from_value::<gorsebank_clients::etcd::Base64>(text)
        .map(|bytes| String::from_utf8_lossy(&bytes.0).into_owned())
        .unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_update_conflict_reports_current_version() {
    let deployment = Deployment::start("operators", 2).await;
    let path = "/v1/configuration/model/llama";
    let row = deployment.get(deployment.admin("n1"), path).await.json();
    let version = row["revision"].as_u64().expect("the row has a version");
    let conditional = format!("{path}?version={version}");
    let calls = [("n1", "a"), ("n2", "b")].map(|(node, stage)| {
        let body = json!({"stage": stage}).to_string();
        let (address, path) = (deployment.admin(node), conditional.clone());
        let deployment = &deployment;
        async move {
            deployment
                .send(Method::PATCH, address, &path, &[], &body)
                .await
        }
    });
    let responses = join_all(calls).await;
    let winner = responses
        .iter()
        .find(|response| response.status == 200)
        .expect("one update succeeds");
    let loser = responses
        .iter()
        .find(|response| response.status == 409)
        .expect("one update conflicts");
    assert_eq!(loser.json()["current_version"], winner.json()["revision"]);
    deployment
        .wait_until(
            "both nodes have the row of the successful update",
            async || {
                let first = deployment.get(deployment.admin("n1"), path).await.json();
                let second = deployment.get(deployment.admin("n2"), path).await.json();
                first == second && first == winner.json()
            },
        )
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_back_end_receives_no_new_calls() {
    let mut deployment = Deployment::start("leaving", 2).await;
    deployment
        .live
        .list_as_draining("a1")
        .await
        .expect("the machine list changes");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = deployment.live.output_lines("a1").len();
    for _ in 0..20 {
        let address = deployment.callers("n1");
        let response = deployment
            .post(address, "/services/customer-api/x", "")
            .await;
        assert_eq!(response.status, 200, "{}", response.text);
    }
    assert_eq!(deployment.live.output_lines("a1").len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_engine_is_replaced() {
    let mut deployment = Deployment::start("engine-dies", 2).await;
    let address = deployment.callers("n1");
    let body = completion("llama", false, 2);
    let first = deployment.post(address, COMPLETIONS, &body).await;
    assert_eq!(first.status, 200, "{}", first.text);
    let name = first.headers["x-request-id"]
        .to_str()
        .expect("the request id is text");
    let engine = name
        .rsplit_once('@')
        .expect("the request id names the engine")
        .1
        .to_owned();
    deployment.live.kill_back_end(&engine);
    let second = deployment.post(address, COMPLETIONS, &body).await;
    assert_eq!(second.status, 200, "{}", second.text);
}
