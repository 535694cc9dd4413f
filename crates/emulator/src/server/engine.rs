//! A model engine behind the OpenAI-compatible API, with fenced orders.
//!
//! Requests run in batches of at most `slots`; interactive ones go before
//! batch ones. A prompt whose prefix is cached starts faster. Every event of a
//! stream carries the id `stream:number`, and `GET /v1/streams/{stream}` with
//! `Last-Event-ID` resumes it.

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
use gorsebank_clients::engine_client::{ORDERS_PATH, OrderAnswer, REPORT_PATH};
use gorsebank_contract::{EngineReport, Order, OrderResult, SourceTier};
use gorsebank_world::Artifact;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::model::engine::{EngineModel, EngineRecord, OrderStart};
use crate::server::clock::{Clock, new_incarnation};
use crate::server::store::StoreServer;
use crate::server::stream::{AnswerStream, AnswerStreams};

/// Carries the front's id of a request, and names its stream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Attests that a request did not start.
pub const NOT_STARTED_HEADER: &str = "gorsebank-not-started";
/// Carries the priority class.
pub const PRIORITY_HEADER: &str = "gorsebank-priority";
/// Prompt prefixes that are cached at the most.
const PREFIX_CACHE: usize = 64;
/// Characters of a prompt that make its prefix.
const PREFIX_LENGTH: usize = 64;
/// Tokens of an answer if the request does not say.
const DEFAULT_TOKENS: u64 = 16;

/// Where an engine finds weights that are not on its machine.
#[derive(Clone, Debug)]
pub enum WeightSource {
    /// A store in the same process.
    Embedded(Arc<StoreServer>),
    /// A store process.
    Remote(std::net::SocketAddr),
}

/// Sizes and speeds of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Accelerator memory in bytes.
    pub memory: u64,
    /// Requests in a batch.
    pub slots: u32,
    /// Time until the first token.
    pub prefill: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Bytes a second from disk.
    pub disk_bandwidth: u64,
    /// Bytes a second from main memory.
    pub memory_bandwidth: u64,
    /// Checkpoints on the machine at the start.
    pub cached: BTreeMap<Artifact, SourceTier>,
}

#[derive(Debug, Default)]
struct Batch {
    running: u32,
    waiting: [u32; 2],
}

/// The stand-in's state.
#[derive(Debug)]
pub struct EngineServer {
    settings: EngineSettings,
    source: WeightSource,
    clock: Clock,
    model: Mutex<EngineModel>,
    streams: AnswerStreams,
    batch: Mutex<Batch>,
    batch_changed: Notify,
    prefixes: Mutex<(HashSet<String>, VecDeque<String>)>,
    http: HttpClient,
}

impl EngineServer {
    /// An engine with empty accelerator memory.
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
            streams: AnswerStreams::default(),
            batch: Mutex::default(),
            batch_changed: Notify::new(),
            prefixes: Mutex::default(),
            http: HttpClient::default(),
        }
    }

    /// Prints what happens, a JSON line a record.
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

    /// Waits for a slot; batch requests wait while interactive ones do.
    async fn enter_batch(&self, is_batch: bool) {
        let class = usize::from(is_batch);
        self.batch.lock().waiting[class] += 1;
        loop {
            let changed = self.batch_changed.notified();
            {
                let mut batch = self.batch.lock();
                let outranked = is_batch && batch.waiting[0] > 0;
                if batch.running < self.settings.slots && !outranked {
                    batch.running += 1;
                    batch.waiting[class] -= 1;
                    return;
                }
            }
            changed.await;
        }
    }

    fn leave_batch(&self) {
        self.batch.lock().running -= 1;
        self.batch_changed.notify_waiters();
    }

    fn prefill_time(&self, prompt: &str) -> Duration {
        let prefix: String = prompt.chars().take(PREFIX_LENGTH).collect();
        let mut cache = self.prefixes.lock();
        if cache.0.contains(&prefix) {
            return self.settings.prefill / 4;
        }
        cache.0.insert(prefix.clone());
        cache.1.push_back(prefix);
        if cache.1.len() > PREFIX_CACHE
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
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(complete))
        .route("/v1/models", get(models))
        .route("/v1/streams/{stream}", get(resume).delete(cancel))
        .route(ORDERS_PATH, post(order))
        .route(REPORT_PATH, get(report))
        .route("/history", get(history))
        .with_state(server)
}

async fn history(State(server): State<Arc<EngineServer>>) -> Json<Vec<EngineRecord>> {
    Json(server.model.lock().history().to_vec())
}

async fn report(State(server): State<Arc<EngineServer>>) -> Json<EngineReport> {
    Json(server.model.lock().report())
}

async fn models(State(server): State<Arc<EngineServer>>) -> Json<Value> {
    let inventory = server.model.lock().inventory();
    let data: Vec<Value> = inventory
        .loaded
        .keys()
        .map(|artifact| json!({"id": artifact.to_string(), "object": "model"}))
        .collect();
    Json(json!({"object": "list", "data": data}))
}

async fn order(State(server): State<Arc<EngineServer>>, Json(order): Json<Order>) -> Response {
    let start = server.model.lock().order(server.clock.now(), &order);
    let result = match start {
        OrderStart::Settled(result) => result,
        OrderStart::Loading {
            artifact,
            bytes,
            tier,
        } => {
            // The load goes on even if the caller goes away.
            let loading = tokio::spawn(run_load(Arc::clone(&server), artifact, bytes, tier));
            loading.await.unwrap_or(OrderResult::Unknown)
        }
    };
    match result {
        OrderResult::Done(inventory) => Json(OrderAnswer {
            refused: None,
            inventory,
        })
        .into_response(),
        OrderResult::Refused(error, inventory) => {
            let answer = OrderAnswer {
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
    let mut pause = Duration::from_millis(100);
    while !server.fetch(&artifact, bytes, tier).await {
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(Duration::from_secs(5));
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
enum Shape {
    Chat,
    Text,
}

async fn chat(
    State(server): State<Arc<EngineServer>>,
    headers: HeaderMap,
    Json(request): Json<CompletionRequest>,
) -> Response {
    run(server, &headers, request, Shape::Chat).await
}

async fn complete(
    State(server): State<Arc<EngineServer>>,
    headers: HeaderMap,
    Json(request): Json<CompletionRequest>,
) -> Response {
    run(server, &headers, request, Shape::Text).await
}

async fn run(
    server: Arc<EngineServer>,
    headers: &HeaderMap,
    request: CompletionRequest,
    shape: Shape,
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
    let answer = match server.streams.create(&name) {
        Some(answer) => answer,
        None if name == "direct" => Arc::new(AnswerStream::default()),
        None => {
            server.model.lock().end_request(&artifact);
            return refuse(StatusCode::CONFLICT, "the request id was used before");
        }
    };
    let generator = Generator {
        server: Arc::clone(&server),
        answer: Arc::clone(&answer),
        artifact,
        shape,
        tokens: request.max_tokens.unwrap_or(DEFAULT_TOKENS),
        prompt: request.prompt_text(),
        is_batch,
        name: name.clone(),
    };
    if request.stream {
        tokio::spawn(generator.run());
        return stream_from(answer, name, 0);
    }
    let text = match tokio::spawn(generator.run()).await {
        Ok(text) => text,
        Err(_) => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    };
    let body = whole_answer(&name, &request.model, shape, &text);
    ([(REQUEST_ID_HEADER, name)], Json(body)).into_response()
}

fn refuse(status: StatusCode, reason: &str) -> Response {
    let body = json!({"error": {"message": reason, "type": "engine_error"}});
    (status, [(NOT_STARTED_HEADER, "1")], Json(body)).into_response()
}

struct Generator {
    server: Arc<EngineServer>,
    answer: Arc<AnswerStream>,
    artifact: Artifact,
    shape: Shape,
    tokens: u64,
    prompt: String,
    is_batch: bool,
    name: String,
}

impl Generator {
    /// Produces the answer token by token; gives its text.
    async fn run(self) -> String {
        self.server.enter_batch(self.is_batch).await;
        let prefill = self.server.prefill_time(&self.prompt);
        tokio::time::sleep(prefill).await;
        let mut words = Vec::new();
        for number in 0..self.tokens {
            if self.answer.is_cancelled() {
                break;
            }
            if number > 0 {
                tokio::time::sleep(self.server.settings.token).await;
            }
            let word = format!("{}-{number} ", self.artifact.model);
            self.answer.push(self.chunk(&word, None));
            words.push(word);
        }
        self.answer.push(self.chunk("", Some("stop")));
        self.answer.push("[DONE]".to_owned());
        self.answer.finish();
        self.server.leave_batch();
        self.server.model.lock().end_request(&self.artifact);
        words.concat()
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> String {
        let model = self.artifact.to_string();
        let chunk = match self.shape {
            Shape::Chat => json!({
                "id": self.name, "object": "chat.completion.chunk", "model": model,
                "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}],
            }),
            Shape::Text => json!({
                "id": self.name, "object": "text_completion", "model": model,
                "choices": [{"index": 0, "text": text, "finish_reason": finish}],
            }),
        };
        chunk.to_string()
    }
}

fn whole_answer(name: &str, model: &str, shape: Shape, text: &str) -> Value {
    match shape {
        Shape::Chat => json!({
            "id": name, "object": "chat.completion", "model": model,
            "choices": [{
                "index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text},
            }],
        }),
        Shape::Text => json!({
            "id": name, "object": "text_completion", "model": model,
            "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
        }),
    }
}

async fn resume(
    State(server): State<Arc<EngineServer>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Response {
    let Some(answer) = server.streams.get(&name) else {
        return refuse(StatusCode::NOT_FOUND, "no such stream");
    };
    let next = headers
        .get("last-event-id")
        .and_then(|value| value.to_str().ok())
        .and_then(|id| id.rsplit_once(':'))
        .and_then(|(_, number)| number.parse::<usize>().ok())
        .map_or(0, |number| number + 1);
    stream_from(answer, name, next)
}

async fn cancel(State(server): State<Arc<EngineServer>>, Path(name): Path<String>) -> StatusCode {
    match server.streams.get(&name) {
        Some(answer) => {
            answer.cancel();
            StatusCode::NO_CONTENT
        }
        None => StatusCode::NOT_FOUND,
    }
}

fn stream_from(answer: Arc<AnswerStream>, name: String, next: usize) -> Response {
    let header = [(REQUEST_ID_HEADER, name.clone())];
    let events = stream::unfold((answer, name, next), |(answer, name, number)| async move {
        let data = answer.event(number).await?;
        let event = Event::default().id(format!("{name}:{number}")).data(data);
        Some((Ok::<_, Infallible>(event), (answer, name, number + 1)))
    });
    (header, Sse::new(events)).into_response()
}
