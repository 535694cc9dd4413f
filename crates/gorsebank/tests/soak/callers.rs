//! Callers of a soak run. Each caller keeps its connection while the gateway process runs, sends
//! requests of all kinds with deadlines, and waits after a rejection as its `retry-after` header
//! asks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::gateways::{Endpoint, GatewaySlot};
use super::history::{CallerRequest, Outcome, RequestKind};
use super::platform::client::{Client, ClientResponse, request_within};
use super::run::EXTRA_MODELS;

/// Upper bound on the pause between two requests of one caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;
/// Time that a caller waits for a response, in milliseconds.
const TIMEOUT_MS: u32 = 1_500;
/// Longest time that a caller waits after a `retry-after` header, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 0.3;
/// Fraction of requests that ask for a model that is loaded on demand.
const COLD_FRACTION: f64 = 0.1;
/// Models that are loaded on demand.
const COLD_MODELS: [&str; 3] = ["cold", EXTRA_MODELS[0], EXTRA_MODELS[1]];
/// Request kinds with the paths of their routes.
const ROUTES: [(RequestKind, &str); 4] = [
    (RequestKind::Idempotent, "/read/"),
    (RequestKind::Mutating, "/top-up/"),
    (RequestKind::Stream, "/stream/"),
    (RequestKind::Resumable, "/resumable/"),
];

/// A caller that sends one request at a time.
pub struct Caller {
    /// Number of the caller within the run.
    pub number: usize,
    /// Gateways that the caller may use.
    pub slots: Arc<Vec<Mutex<GatewaySlot>>>,
    /// Requests of all callers with their outcomes.
    pub requests: Arc<Mutex<Vec<CallerRequest>>>,
    /// Start of the run; all recorded times are relative to it.
    pub started_at: Instant,
    random: ChaCha8Rng,
    kept_connection: Option<(Endpoint, Client)>,
    request_count: usize,
}

impl Caller {
    /// Returns a caller whose choices follow from the seed of the run and the caller's number.
    pub fn new(
        seed: u64,
        number: usize,
        slots: Arc<Vec<Mutex<GatewaySlot>>>,
        requests: Arc<Mutex<Vec<CallerRequest>>>,
        started_at: Instant,
    ) -> Self {
        Caller {
            number,
            slots,
            requests,
            started_at,
            random: ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64),
            kept_connection: None,
            request_count: 0,
        }
    }

    /// Sends requests until the run is `until` old.
    pub async fn run(mut self, until: Duration) {
        while self.started_at.elapsed() < until {
            let (kind, path) = ROUTES[self.random.random_range(0..ROUTES.len())];
            let response = self.send(kind, path).await;
            let retry_after = response
                .as_ref()
                .and_then(|response| response.header("retry-after"));
            let retry_after = retry_after.and_then(|pause| pause.parse::<f64>().ok());
            if let Some(pause) = retry_after {
                sleep(Duration::from_secs_f64(pause.min(MAX_RETRY_AFTER_SECONDS))).await;
            }
            let pause = self.random.random_range(1..MAX_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn send(&mut self, kind: RequestKind, path: &str) -> Option<ClientResponse> {
        let (endpoint, mut client) = self.connection().await?;
        let id = format!("c{}-{}", self.number, self.request_count);
        self.request_count += 1;
        let is_cold = self.random.random_bool(COLD_FRACTION);
        let cold_model = COLD_MODELS[self.random.random_range(0..COLD_MODELS.len())];
        let model = if is_cold { cold_model } else { "warm" };
        let sent_at = self.started_at.elapsed();
        let response = client
            .send(request_within(&id, path, model, TIMEOUT_MS))
            .await;
        let request = CallerRequest {
            id,
            kind,
            process: endpoint.process,
            sent_at,
            ended_at: self.started_at.elapsed(),
            outcome: response.as_ref().map_or(Outcome::Closed, outcome),
        };
        self.requests.lock().push(request);
        if client.is_open() {
            self.kept_connection = Some((endpoint, client));
        }
        response
    }

    /// Returns the open connection, or a new connection to a randomly chosen gateway.
    async fn connection(&mut self) -> Option<(Endpoint, Client)> {
        if let Some((endpoint, client)) = self
            .kept_connection
            .take()
            .filter(|(_, client)| client.is_open())
        {
            return Some((endpoint, client));
        }
        let index = self.random.random_range(0..self.slots.len());
        let endpoint = self.slots[index].lock().endpoint()?;
        let client = Client::try_connect(endpoint.caller_address).await?;
        Some((endpoint, client))
    }
}

fn outcome(response: &ClientResponse) -> Outcome {
    Outcome::Response {
        status: response.status,
        is_complete: response.is_complete,
        seal: response.seal().map(str::to_owned),
        body: response.body.clone(),
    }
}
