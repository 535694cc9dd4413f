//! Requests of callers are recorded as a trace that can be replayed.

mod support;

use std::path::PathBuf;

use gorsebank_replay::record::{RecordOptions, record};
use gorsebank_replay::run::run_seed;
use gorsebank_replay::trace::Trace;
use http::Method;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use support::{Deployment, completion};

#[tokio::test(flavor = "multi_thread")]
async fn recorded_requests_can_be_replayed() {
    let deployment = Deployment::start("recording", 1).await;
    let traces = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let out = std::env::temp_dir().join(format!("gorsebank-record-{}.jsonl", std::process::id()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let listen = listener.local_addr().expect("the listener has an address");
    let options = RecordOptions {
        node: deployment.callers("n1"),
        header: traces.join("served/burst-of-one-cold-model.jsonl"),
        out: out.clone(),
    };
    let (stop, stopped) = oneshot::channel::<()>();
    let recorder = tokio::spawn(async move {
        let stopped = async {
            let _ = stopped.await;
        };
        record(listener, &options, stopped).await
    });
    let body = completion("llama", true, 4);
    let response = deployment.post(listen, "/v1/completions", &body).await;
    assert_eq!(
        response.event_numbers(),
        [0, 1, 2, 3, 4, 5],
        "the stream is forwarded"
    );
    let headers = [("idempotency-key", "k1")];
    let path = "/services/customer-api/x";
    let response = deployment
        .send(Method::POST, listen, path, &headers, "5")
        .await;
    assert_eq!(response.status, 200, "{}", response.text);
    stop.send(()).expect("the recorder listens");
    recorder
        .await
        .expect("the recorder exits")
        .expect("the requests are recorded");
    let trace = Trace::read(&out).expect("the trace can be read");
    std::fs::remove_file(&out).expect("the trace file exists");
    assert_eq!(trace.events.len(), 2);
    assert_eq!(run_seed(&trace, 1, None).violations, []);
}
