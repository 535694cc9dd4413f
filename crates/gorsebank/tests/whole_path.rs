//! The whole request path over separate processes: callers, three nodes, the platform and four back
//! ends.

mod support;

use http::Method;
use serde_json::json;

use support::{Deployment, completion};

#[tokio::test(flavor = "multi_thread")]
async fn cold_model_is_loaded_once_for_requests_at_all_nodes() {
    let deployment = Deployment::start("whole-path", 3).await;
    let body = json!({
        "model": "llama", "stream": true, "max_tokens": 5,
        "messages": [{"role": "user", "content": "Explain the meter's history."}],
    })
    .to_string();
    let calls = ["n1", "n2", "n3"].map(|node| {
        let address = deployment.callers(node);
        deployment.post(address, "/v1/chat/completions", &body)
    });
    for response in futures_util::future::join_all(calls).await {
        assert_eq!(response.status, 200, "{}", response.text);
        assert_eq!(response.event_numbers(), [0, 1, 2, 3, 4, 5, 6]);
        assert!(response.text.trim_end().ends_with("data: [DONE]"));
    }
    let loads = deployment.count_events("loaded");
    assert_eq!(
        loads, 1,
        "concurrent requests at three nodes cause one load"
    );
}

/// Headers, body, expected status and expected error code.
type Case<'a> = (&'a [(&'a str, &'a str)], &'a str, u16, &'a str);

#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_gets_typed_error_and_others_succeed() {
    let deployment = Deployment::start("bad-input", 1).await;
    let address = deployment.callers("n1");
    let large = json!({"model": "llama", "prompt": "x".repeat(5 << 20)}).to_string();
    let body = completion("llama", false, 2);
    let cases: [Case; 9] = [
        (&[], "{\"model\":", 400, "invalid_body"),
        (&[], "{\"model\": 7}", 400, "invalid_body"),
        (&[], "{\"prompt\": \"x\"}", 400, "invalid_body"),
        (&[], "{\"model\": \"none\"}", 404, "model_not_found"),
        (
            &[],
            "{\"model\": \"llama+north\"}",
            404,
            "adapter_of_another_model",
        ),
        (&[], &large, 413, "body_too_large"),
        (&[("request-timeout", "soon")], &body, 400, "invalid_header"),
        (
            &[("request-deadline", "2020-01-01T00:00:00Z")],
            &body,
            400,
            "deadline_in_the_past",
        ),
        (&[("idempotency-key", "")], &body, 400, "invalid_header"),
    ];
    for (headers, body, status, code) in cases {
        let response = deployment
            .send(Method::POST, address, "/v1/completions", headers, body)
            .await;
        assert_eq!(response.status, status, "{code}: {}", response.text);
        assert_eq!(response.code(), code);
        assert_eq!(response.headers["gorsebank-ran"], "no");
        // The client opens a new connection for the next request if this one is closed.
        let is_closed = response.headers.get("connection").is_some();
        assert_eq!(is_closed, code == "body_too_large", "{code}");
    }
    let unknown = deployment.post(address, "/services/none/x", "").await;
    assert_eq!(unknown.code(), "service_not_found");
    let wrong_method = deployment.get(address, "/v1/completions").await;
    assert_eq!(wrong_method.code(), "method_not_allowed");
    let valid = deployment.post(address, "/v1/completions", &body).await;
    assert_eq!(valid.status, 200, "{}", valid.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_fails_only_its_request() {
    use tokio::io::AsyncWriteExt;

    let deployment = Deployment::start("cut-body", 1).await;
    let address = deployment.callers("n1");
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("the node accepts connections");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"mod";
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the partial request is sent");
    drop(stream);
    let valid = deployment
        .post(address, "/v1/completions", &completion("llama", false, 2))
        .await;
    assert_eq!(valid.status, 200, "{}", valid.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_frame_closes_only_its_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let deployment = Deployment::start("garbage", 2).await;
    let nodes = deployment
        .live
        .addresses("n1")
        .expect("the node exists")
        .nodes;
    let too_long = u32::MAX.to_be_bytes();
    let not_cbor = [0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
    for garbage in [&too_long[..], &not_cbor[..]] {
        let mut stream = tokio::net::TcpStream::connect(nodes)
            .await
            .expect("the node accepts connections");
        stream.write_all(garbage).await.expect("garbage is sent");
        let mut rest = Vec::new();
        stream
            .read_to_end(&mut rest)
            .await
            .expect("the node closes the connection");
        assert!(rest.is_empty());
    }
    for node in ["n1", "n2"] {
        let address = deployment.callers(node);
        let response = deployment
            .post(address, "/v1/completions", &completion("llama", false, 2))
            .await;
        assert_eq!(response.status, 200, "{}", response.text);
    }
}
