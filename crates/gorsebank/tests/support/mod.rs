//! A small deployment of real processes on loopback, and a client for it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gorsebank_clients::HttpClient;
use gorsebank_replay::live::{Binaries, LinkKind, LiveDeployment};
use gorsebank_replay::trace::Header;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};

/// Upper bound on every wait of a test.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// A deployment: table, store, machine lists, two engines, two application back ends, and nodes.
pub struct Deployment {
    pub live: LiveDeployment,
    http: HttpClient,
}

fn header(nodes: usize) -> Header {
    let nodes: Vec<Value> = (1..=nodes)
        .map(|number| json!({"id": format!("n{number}"), "zone": format!("zone-{number}")}))
        .collect();
    let engine = |id: &str| {
        json!({"id": id, "zone": "zone-1", "role": "engine", "service": "engines",
            "memory": "24GiB", "slots": 64, "prefill": "10ms", "token": "10ms"})
    };
    let application = |id: &str| json!({"id": id, "zone": "zone-1", "role": "application", "service": "customer-api"});
    let header = json!({
        "trace": "test", "about": "a test", "duration": "1s", "nodes": nodes,
        "back_ends": [engine("e1"), engine("e2"), application("a1"), application("a2")],
        "rows": [
            {"name": "all", "spec": {"kind": "deployment"}},
            {"name": "llama", "spec": {"kind": "model", "memory": "8GiB"}},
            {"name": "other", "spec": {"kind": "model", "memory": "1GiB"}},
            {"name": "other+north", "spec": {"kind": "adapter", "model": "other", "memory": "1GiB"}},
        ],
        "store": {"starts_per_second": 10.0, "concurrency": 8, "bandwidth": "40GB"},
        "machine_list_lag": "0s",
    });
    serde_json::from_value(header).expect("a trace header")
}

impl Deployment {
    /// Starts all processes over relayed links; `name` separates the files of different tests.
    pub async fn start(name: &str, nodes: usize) -> Self {
        Deployment::start_with_links(name, nodes, LinkKind::Relayed).await
    }

    /// Starts all processes over links of the given kind.
    pub async fn start_with_links(name: &str, nodes: usize, links: LinkKind) -> Self {
        let binaries = Binaries {
            gorsebank: PathBuf::from(env!("CARGO_BIN_EXE_gorsebank")),
            standin: PathBuf::from(env!("CARGO_BIN_EXE_gorsebank-standin")),
        };
        let live = LiveDeployment::start(binaries, name, &header(nodes), links)
            .await
            .expect("the deployment starts");
        Deployment {
            live,
            http: HttpClient::default(),
        }
    }

    /// Returns the address of a node for callers.
    pub fn callers(&self, node: &str) -> SocketAddr {
        self.live.addresses(node).expect("the node exists").callers
    }

    /// Returns the address of a node for operators.
    pub fn admin(&self, node: &str) -> SocketAddr {
        self.live.addresses(node).expect("the node exists").admin
    }

    pub async fn post(&self, address: SocketAddr, path: &str, body: &str) -> Response {
        self.send(Method::POST, address, path, &[], body).await
    }

    pub async fn get(&self, address: SocketAddr, path: &str) -> Response {
        self.send(Method::GET, address, path, &[], "").await
    }

    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a valid request");
        let response = self.http.send(request).await.expect("a response");
        let (head, body) = response.into_parts();
        let (text, is_complete) = match body.collect().await {
            Ok(body) => (body.to_bytes(), true),
            Err(_) => (Bytes::new(), false),
        };
        Response {
            status: head.status,
            headers: head.headers,
            text: String::from_utf8_lossy(&text).into_owned(),
            is_complete,
        }
    }

    /// Returns the executions that the application back ends recorded.
    pub fn executions(&self) -> Vec<Value> {
        self.records(&["a1", "a2"])
    }

    /// Returns the events that the engines recorded.
    pub fn engine_events(&self) -> Vec<Value> {
        self.records(&["e1", "e2"])
    }

    fn records(&self, back_ends: &[&str]) -> Vec<Value> {
        back_ends
            .iter()
            .flat_map(|id| self.live.output_lines(id))
            .filter_map(|line| serde_json::from_str(&line).ok())
            .collect()
    }

    pub fn count_events(&self, event: &str) -> usize {
        self.engine_events()
            .iter()
            .filter(|record| record["event"] == event)
            .count()
    }

    pub async fn wait_until(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !holds().await {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// A response as a caller receives it.
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub text: String,
    pub is_complete: bool,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("the response is JSON")
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the numbers of the events of a stream, in order.
    pub fn event_numbers(&self) -> Vec<u64> {
        self.text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .filter_map(|id| id.rsplit_once(':'))
            .map(|(_, number)| number.parse().expect("an event number"))
            .collect()
    }
}

/// Returns the body of a completion request.
pub fn completion(model: &str, stream: bool, tokens: u64) -> String {
    json!({"model": model, "prompt": "x", "stream": stream, "max_tokens": tokens}).to_string()
}
