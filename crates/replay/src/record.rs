//! Records a trace from the requests of real callers.
//!
//! The recorder is a proxy between callers and a node. It writes each request with
//! its time to a trace file and forwards the request to the node.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, Method, Response, StatusCode, Uri};
use axum::response::IntoResponse;
use eyre::{Context, eyre};
use gorsebank_clients::HttpClient;
use gorsebank_contract::PriorityClass;
use http_body_util::Full;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::trace::Trace;
use crate::trace::format::RequestEvent;

/// Options of a recording.
#[derive(Clone, Debug)]
pub struct RecordOptions {
    /// Address of the node that requests are forwarded to.
    pub node: SocketAddr,
    /// Trace whose header is copied into the recorded trace.
    pub header: PathBuf,
    /// File to which the recorded trace is written.
    pub out: PathBuf,
}

struct Recorder {
    start: Instant,
    node: SocketAddr,
    http: HttpClient,
    file: Mutex<BufWriter<File>>,
}

/// Records the requests that arrive at `listener` until `stop` completes.
///
/// Every line is flushed as soon as the request arrives, so that a recorder that is
/// killed leaves a valid trace.
pub async fn record(
    listener: TcpListener,
    options: &RecordOptions,
    stop: impl Future<Output = ()> + Send + 'static,
) -> eyre::Result<()> {
    let header = Trace::read(&options.header)?.header;
    let mut file = BufWriter::new(create(&options.out)?);
    writeln!(file, "{}", json!(header))?;
    file.flush()?;
    let recorder = Arc::new(Recorder {
        start: Instant::now(),
        node: options.node,
        http: HttpClient::default(),
        file: Mutex::new(file),
    });
    let router = Router::new()
        .fallback(record_and_forward)
        .with_state(recorder);
    axum::serve(listener, router)
        .with_graceful_shutdown(stop)
        .await?;
    Ok(())
}

fn create(path: &Path) -> eyre::Result<File> {
    File::create(path).wrap_err_with(|| format!("cannot write {}", path.display()))
}

async fn record_and_forward(
    State(recorder): State<Arc<Recorder>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response<Body> {
    if let Some(event) = event_of(&uri, &headers, &body)
        && let Err(error) = recorder.write(&event)
    {
        eprintln!("failed to record a request: {error}");
    }
    match recorder.forward(method, &uri, headers, body).await {
        Ok(response) => response,
        Err(error) => (StatusCode::BAD_GATEWAY, error.to_string()).into_response(),
    }
}

impl Recorder {
    fn write(&self, event: &RequestEvent) -> std::io::Result<()> {
        let mut line = json!(event);
        line["at"] = json!(format!("{}ms", self.start.elapsed().as_millis()));
        let mut file = self.file.lock();
        writeln!(file, "{line}")?;
        file.flush()
    }

    async fn forward(
        &self,
        method: Method,
        uri: &Uri,
        headers: HeaderMap,
        body: Bytes,
    ) -> eyre::Result<Response<Body>> {
        let path = uri
            .path_and_query()
            .ok_or_else(|| eyre!("the request has no path"))?;
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.node))
            .body(Full::new(body))?;
        *request.headers_mut() = headers;
        request.headers_mut().remove(http::header::HOST);
        let response = self.http.send(request).await?;
        Ok(response.map(Body::new))
    }
}

/// The fields of a completion request that a trace contains.
#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    service_tier: Option<String>,
}

/// Returns the trace event of a request, or `None` if the trace format cannot
/// express the request.
fn event_of(uri: &Uri, headers: &HeaderMap, body: &Bytes) -> Option<RequestEvent> {
    const DEFAULT_TOKENS: u32 = 50;
    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let timeout = header("request-timeout")
        .and_then(|text| humantime::parse_duration(text).ok())
        .unwrap_or(DEFAULT_TIMEOUT);
    let mut event = RequestEvent {
        model: None,
        service: None,
        nodes: Vec::new(),
        count: 1,
        over: Duration::ZERO,
        class: PriorityClass::Interactive,
        timeout,
        tokens: DEFAULT_TOKENS,
        key: header("idempotency-key").map(str::to_owned),
        keyed: false,
        persistent: false,
    };
    if let Some(rest) = uri.path().strip_prefix("/services/") {
        let (service, _) = rest.split_once('/')?;
        event.service = Some(service.to_owned());
        return Some(event);
    }
    let completion: Completion = serde_json::from_slice(body).ok()?;
    event.model = Some(completion.model);
    event.tokens = completion.max_tokens.unwrap_or(DEFAULT_TOKENS);
    if completion.service_tier.as_deref() == Some("flex") {
        event.class = PriorityClass::Batch;
    }
    Some(event)
}
