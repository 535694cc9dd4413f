//! An emulated model engine with the OpenAI-compatible API, which executes orders
//! with fencing tokens.
//!
//! At most `slots` requests run at a time, and interactive requests start before
//! batch requests. A cached prompt prefix shortens the prefill. Every event of a
//! stream has the id `stream:number`, and `GET /v1/streams/{stream}` with
//! `Last-Event-ID` resumes the stream.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures_util::stream;
use gorsebank_clients::HttpClient;
use gorsebank_clients::engine_client::{ORDERS_PATH, OrderResponse, REPORT_PATH};
use gorsebank_contract::{EngineReport, Order, OrderResult, SourceTier};
use gorsebank_world::Artifact;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::model::engine::{EngineModel, EngineRecord, OrderProgress};
use crate::server::clock::{Clock, new_incarnation};
use crate::server::store::StoreServer;
use crate::server::stream::{ResponseStream, ResponseStreams};

/// Carries the id that the node gave to a request, which also names its stream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// States in a response that the request did not start.
pub const NOT_STARTED_HEADER: &str = "gorsebank-not-started";
/// Carries the priority class of a request.
pub const PRIORITY_HEADER: &str = "gorsebank-priority";
/// The largest number of prompt prefixes that are cached.
const MAX_CACHED_PREFIXES: usize = 64;
/// The number of characters of a prompt that form its prefix.
const PREFIX_CHARACTERS: usize = 64;
/// The number of tokens of a response if the request states none.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// The source of weights that are not on the machine of the engine.
#[derive(Clone, Debug)]
pub enum WeightSource {
    /// A weight store in the same process.
    Embedded(Arc<StoreServer>),
    /// A weight store at this address.
    Remote(std::net::SocketAddr),
}

/// The capacity and the speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The size of the accelerator memory in bytes.
    pub memory: u64,
    /// The largest number of requests that run at a time.
    pub slots: u32,
    /// The prefill time of a prompt without a cached prefix.
    pub prefill: Duration,
    /// The time between two tokens.
    pub token_interval: Duration,
    /// The bandwidth of loads from disk, in bytes per second.
    pub disk_bandwidth: u64,
    /// The bandwidth of loads from main memory, in bytes per second.
    pub memory_bandwidth: u64,
    /// The checkpoints that are on the machine at the start, with their tiers.
    pub cached: BTreeMap<Artifact, SourceTier>,
}

#[derive(Debug, Default)]
struct Batch {
    running: u32,
    waiting: [u32; 2],
}

/// The state of the emulated engine.
#[derive(Debug)]
pub struct EngineServer {
    settings: EngineSettings,
    source: WeightSource,
    clock: Clock,
    model: Mutex<EngineModel>,
    streams: ResponseStreams,
    batch: Mutex<Batch>,
    batch_changed: Notify,
    prefixes: Mutex<(HashSet<String>, VecDeque<String>)>,
    http: HttpClient,
}

impl EngineServer {
    /// An engine without loaded models.
    pub fn new(settings: EngineSettings, source: WeightSource) -> Self {
        let clock = Clock::default();
        let model = EngineModel::new(
            clock.now(),
            settings.memory,
            new_incarnation(),
            settings.cached.clone(),
        );
        EngineServer {
            settings,
            source,
            clock,
            model: Mutex::new(model),
            streams: ResponseStreams::default(),
            batch: Mutex::default(),
            batch_changed: Notify::new(),
            prefixes: Mutex::default(),
            http: HttpClient::default(),
        }
    }

    /// Prints every event of the engine as a JSON line.
    pub fn print_history(&self) {
        self.model.lock().print_history();
    }

    async fn fetch(&self, artifact: &Artifact, bytes: u64, tier: SourceTier) -> bool {
        let local = |bandwidth: u64| Duration::from_millis(bytes * 1_000 / bandwidth.max(1));
        match tier {
            SourceTier::Memory => {
                tokio::time::sleep(local(self.settings.memory_bandwidth)).await;
                true
            }
            SourceTier::Disk => {
                tokio::time::sleep(local(self.settings.disk_bandwidth)).await;
                true
            }
            SourceTier::Remote => self.fetch_remote(artifact, bytes).await,
        }
    }

    async fn fetch_remote(&self, artifact: &Artifact, bytes: u64) -> bool {
        match &self.source {
            WeightSource::Embedded(store) => {
                store.load(bytes).await;
                true
            }
            WeightSource::Remote(address) => {
                let path = format!("/weights/{artifact}?bytes={bytes}");
                let limit = Duration::from_secs(3_600);
                let method = axum::http::Method::GET;
                self.http
                    .call::<(), Value>(method, *address, &path, None, limit)
                    .await
                    .is_ok()
            }
        }
    }

    /// Waits for a slot and takes it. Batch requests wait while interactive requests
    /// are waiting.
    async fn acquire_slot(&self, is_batch: bool) {
        let class = usize::from(is_batch);
        self.batch.lock().waiting[class] += 1;
        loop {
            let changed = self.batch_changed.notified();
            {
                let mut batch = self.batch.lock();
                let must_yield = is_batch && batch.waiting[0] > 0;
                if batch.running < self.settings.slots && !must_yield {
                    batch.running += 1;
                    batch.waiting[class] -= 1;
                    return;
                }
            }
            changed.await;
        }
    }

    fn release_slot(&self) {
        self.batch.lock().running -= 1;
        self.batch_changed.notify_waiters();
    }

    fn prefill_time(&self, prompt: &str) -> Duration {
        let prefix: String = prompt.chars().take(PREFIX_CHARACTERS).collect();
        let mut cache = self.prefixes.lock();
        if cache.0.contains(&prefix) {
            return self.settings.prefill / 4;
        }
        cache.0.insert(prefix.clone());
        cache.1.push_back(prefix);
        if cache.1.len() > MAX_CACHED_PREFIXES
            && let Some(oldest) = cache.1.pop_front()
        {
            cache.0.remove(&oldest);
        }
        self.settings.prefill
    }
}

/// The routes of an engine.
pub fn router(server: Arc<EngineServer>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(create_chat_completion))
        .route("/v1/completions", post(create_completion))
        .route("/v1/models", get(list_models))
        .route(
            "/v1/streams/{stream}",
            get(resume_stream).delete(cancel_stream),
        )
        .route(ORDERS_PATH, post(execute_order))
        .route(REPORT_PATH, get(read_report))
        .route("/history", get(read_history))
        .with_state(server)
}

async fn read_history(State(server): State<Arc<EngineServer>>) -> Json<Vec<EngineRecord>> {
    Json(server.model.lock().history().to_vec())
}

async fn read_report(State(server): State<Arc<EngineServer>>) -> Json<EngineReport> {
    Json(server.model.lock().report())
}

async fn list_models(State(server): State<Arc<EngineServer>>) -> Json<Value> {
    let inventory = server.model.lock().inventory();
    let data: Vec<Value> = inventory
        .loaded
        .keys()
        .map(|artifact| json!({"id": artifact.to_string(), "object": "model"}))
        .collect();
    Json(json!({"object": "list", "data": data}))
}

async fn execute_order(
    State(server): State<Arc<EngineServer>>,
    Json(order): Json<Order>,
) -> Response {
    let start = server.model.lock().order(server.clock.now(), &order);
    let result = match start {
        OrderProgress::Finished(result) => result,
        OrderProgress::Loading {
            artifact,
            bytes,
            tier,
        } => {
            // The load continues even if the sender of the order disconnects.
            let loading = tokio::spawn(run_load(Arc::clone(&server), artifact, bytes, tier));
            loading.await.unwrap_or(OrderResult::Unknown)
        }
    };
    match result {
        OrderResult::Done(inventory) => Json(OrderResponse {
            refused: None,
            inventory,
        })
        .into_response(),
        OrderResult::Refused(error, inventory) => {
            let answer = OrderResponse {
                refused: Some(error),
                inventory,
            };
            (StatusCode::CONFLICT, Json(answer)).into_response()
        }
        OrderResult::Unknown => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn run_load(
    server: Arc<EngineServer>,
    artifact: Artifact,
    bytes: u64,
    tier: SourceTier,
) -> OrderResult {
    let mut delay = Duration::from_millis(100);
    while !server.fetch(&artifact, bytes, tier).await {
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(Duration::from_secs(5));
    }
    let now = server.clock.now();
    server.model.lock().load_ended(now, &artifact)
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: Option<Value>,
}

impl CompletionRequest {
    fn prompt_text(&self) -> String {
        let message = self
            .messages
            .last()
            .and_then(|message| message.get("content"));
        match message.or(self.prompt.as_ref()) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseFormat {
    Chat,
    Text,
}

async fn create_chat_completion(
    State(server): State<Arc<EngineServer>>,
    headers: HeaderMap,
    Json(request): Json<CompletionRequest>,
) -> Response {
    run(server, &headers, request, ResponseFormat::Chat).await
}

async fn create_completion(
    State(server): State<Arc<EngineServer>>,
    headers: HeaderMap,
    Json(request): Json<CompletionRequest>,
) -> Response {
    run(server, &headers, request, ResponseFormat::Text).await
}

async fn run(
    server: Arc<EngineServer>,
    headers: &HeaderMap,
    request: CompletionRequest,
    format: ResponseFormat,
) -> Response {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let name = header(REQUEST_ID_HEADER).unwrap_or("direct").to_owned();
    let is_batch = header(PRIORITY_HEADER) == Some("batch");
    let Ok(artifact) = request.model.parse::<Artifact>() else {
        return refuse(StatusCode::NOT_FOUND, "no such model");
    };
    let started = server
        .model
        .lock()
        .start_request(server.clock.now(), &artifact, &name);
    if !started {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "model is not loaded");
    }
    let response = match server.streams.create(&name) {
        Some(response) => response,
        None if name == "direct" => Arc::new(ResponseStream::default()),
        None => {
            server.model.lock().end_request(&artifact);
            return refuse(StatusCode::CONFLICT, "the request id was used before");
        }
    };
    let generator = Generator {
        server: Arc::clone(&server),
        response: Arc::clone(&response),
        artifact,
        format,
        tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        prompt: request.prompt_text(),
        is_batch,
        name: name.clone(),
    };
    if request.stream {
        tokio::spawn(generator.run());
        return stream_from(response, name, 0);
    }
    let text = match tokio::spawn(generator.run()).await {
        Ok(text) => text,
        Err(_) => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    };
    let body = complete_response(&name, &request.model, format, &text);
    ([(REQUEST_ID_HEADER, name)], Json(body)).into_response()
}

fn refuse(status: StatusCode, reason: &str) -> Response {
    let body = json!({"error": {"message": reason, "type": "engine_error"}});
    (status, [(NOT_STARTED_HEADER, "1")], Json(body)).into_response()
}

struct Generator {
    server: Arc<EngineServer>,
    response: Arc<ResponseStream>,
    artifact: Artifact,
    format: ResponseFormat,
    tokens: u64,
    prompt: String,
    is_batch: bool,
    name: String,
}

impl Generator {
    /// Generates the response token by token and returns its text.
    async fn run(self) -> String {
        self.server.acquire_slot(self.is_batch).await;
        let prefill = self.server.prefill_time(&self.prompt);
        tokio::time::sleep(prefill).await;
        let mut words = Vec::new();
        for number in 0..self.tokens {
            if self.response.is_cancelled() {
                break;
            }
            if number > 0 {
                tokio::time::sleep(self.server.settings.token_interval).await;
            }
            let word = format!("{}-{number} ", self.artifact.model);
            self.response.push(self.chunk(&word, None));
            words.push(word);
        }
        self.response.push(self.chunk("", Some("stop")));
        self.response.push("[DONE]".to_owned());
        self.response.finish();
        self.server.release_slot();
        self.server.model.lock().end_request(&self.artifact);
        words.concat()
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> String {
        let model = self.artifact.to_string();
        let chunk = match self.format {
            ResponseFormat::Chat => json!({
                "id": self.name, "object": "chat.completion.chunk", "model": model,
                "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}],
            }),
            ResponseFormat::Text => json!({
                "id": self.name, "object": "text_completion", "model": model,
                "choices": [{"index": 0, "text": text, "finish_reason": finish}],
            }),
        };
        chunk.to_string()
    }
}

fn complete_response(name: &str, model: &str, format: ResponseFormat, text: &str) -> Value {
    match format {
        ResponseFormat::Chat => json!({
            "id": name, "object": "chat.completion", "model": model,
            "choices": [{
                "index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text},
            }],
        }),
        ResponseFormat::Text => json!({
            "id": name, "object": "text_completion", "model": model,
            "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
        }),
    }
}

async fn resume_stream(
    State(server): State<Arc<EngineServer>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Response {
    let Some(response) = server.streams.get(&name) else {
        return refuse(StatusCode::NOT_FOUND, "no such stream");
    };
    let next = headers
        .get("last-event-id")
        .and_then(|value| value.to_str().ok())
        .and_then(|id| id.rsplit_once(':'))
        .and_then(|(_, number)| number.parse::<usize>().ok())
        .map_or(0, |number| number + 1);
    stream_from(response, name, next)
}

async fn cancel_stream(
    State(server): State<Arc<EngineServer>>,
    Path(name): Path<String>,
) -> StatusCode {
    match server.streams.get(&name) {
        Some(response) => {
            response.cancel();
            StatusCode::NO_CONTENT
        }
        None => StatusCode::NOT_FOUND,
    }
}

fn stream_from(response: Arc<ResponseStream>, name: String, next: usize) -> Response {
    let header = [(REQUEST_ID_HEADER, name.clone())];
    let events = stream::unfold(
        (response, name, next),
        |(response, name, number)| async move {
            let data = response.event(number).await?;
            let event = Event::default().id(format!("{name}:{number}")).data(data);
            Some((Ok::<_, Infallible>(event), (response, name, number + 1)))
        },
    );
    (header, Sse::new(events)).into_response()
}
