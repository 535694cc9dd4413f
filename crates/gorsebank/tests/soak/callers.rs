//! Callers of a soak run. Each caller keeps its connection while the gateway process runs, sends
//! requests of all kinds with deadlines, and waits after a rejection as its `retry-after` header
//! asks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::HeaderValue;
use http::header::AUTHORIZATION;
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
/// Pause before an impatient caller repeats a refused request.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that a caller waits after a `retry-after` header, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 0.3;
/// Fraction of requests that ask for a model that is loaded on demand.
const COLD_FRACTION: f64 = 0.1;
/// Models that are loaded on demand.
const COLD_MODELS: [&str; 3] = ["cold", EXTRA_MODELS[0], EXTRA_MODELS[1]];
/// Number of routes in `ROUTES` to back ends without models, which come first; as many follow to
/// engines.
const PLAIN_ROUTES: usize = 2;
/// Request kinds with the paths of their routes.
const ROUTES: [(RequestKind, &str); 4] = [
    (RequestKind::Idempotent, "/read/"),
    (RequestKind::Mutating, "/top-up/"),
    (RequestKind::Stream, "/stream/"),
    (RequestKind::Resumable, "/resumable/"),
];

/// What callers ask for, and how often.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Fraction of requests for back ends without models; `None` for equal shares of all routes.
    pub plain_fraction: Option<f64>,
    /// Fraction of requests that ask for one of `cold_models`; the others ask for `warm`.
    pub cold_fraction: f64,
    /// Models that are loaded on demand, the most wanted first.
    pub cold_models: Vec<String>,
    /// Number of draws of a cold model, of which the most wanted one counts; 1 for equal shares.
    pub popularity_draws: usize,
    /// Number of the first cold models that get this fraction of the requests for cold ones; `None` to
    /// draw as `popularity_draws` says.
    pub popular: Option<(usize, f64)>,
    /// Upper bound on the pause between two requests of one caller, in milliseconds.
    pub max_pause_ms: u64,
    /// API keys, which the callers use in turn; empty if callers need none.
    pub api_keys: Vec<String>,
    /// Number of adapters of each cold model, half of whose requests name one; 0 for none.
    pub adapters: usize,
    /// Every caller whose number is a multiple of this repeats refused requests at once.
    pub impatient_interval: Option<usize>,
    /// Number of times that such a caller repeats a refused request for the same model; 0 to continue
    /// with another request at once.
    pub repeats: usize,
}

impl Default for Workload {
    fn default() -> Self {
        Workload {
            plain_fraction: None,
            cold_fraction: COLD_FRACTION,
            cold_models: COLD_MODELS.map(str::to_owned).to_vec(),
            popularity_draws: 1,
            popular: None,
            max_pause_ms: MAX_PAUSE_MS,
            api_keys: Vec::new(),
            adapters: 0,
            impatient_interval: None,
            repeats: 0,
        }
    }
}

impl Workload {
    fn draw_route(&self, random: &mut ChaCha8Rng) -> (RequestKind, &'static str) {
        let Some(plain_fraction) = self.plain_fraction else {
            return ROUTES[random.random_range(0..ROUTES.len())];
        };
        let is_plain = random.random_bool(plain_fraction);
        let first = if is_plain { 0 } else { PLAIN_ROUTES };
        ROUTES[first + random.random_range(0..PLAIN_ROUTES)]
    }

    fn authorization(&self, caller: usize) -> Option<HeaderValue> {
        let index = caller.checked_rem(self.api_keys.len())?;
        Some(authorization(&self.api_keys[index]))
    }

    fn is_impatient(&self, caller: usize) -> bool {
        let interval = self.impatient_interval;
        interval.is_some_and(|interval| caller.is_multiple_of(interval))
    }

    /// Draws the index of a cold model.
    fn draw_cold_model(&self, random: &mut ChaCha8Rng) -> usize {
        let models = self.cold_models.len();
        if let Some((popular, fraction)) = self.popular {
            let is_popular = random.random_bool(fraction);
            let range = if is_popular {
                0..popular
            } else {
                popular..models
            };
            return random.random_range(range);
        }
        let draws = 0..self.popularity_draws;
        let draws = draws.map(|_| random.random_range(0..models));
        draws.min().unwrap_or(0)
    }

    /// Draws a model, or one of its adapters: `MODEL/ADAPTER`.
    fn draw_model(&self, random: &mut ChaCha8Rng) -> String {
        let is_cold = random.random_bool(self.cold_fraction);
        let cold_model = &self.cold_models[self.draw_cold_model(random)];
        let model = if is_cold { cold_model } else { "warm" };
        if self.adapters == 0 || random.random_bool(0.5) {
            return model.to_owned();
        }
        format!("{model}/a{}", random.random_range(1..=self.adapters))
    }
}

/// Returns the value of the header that states an API key.
pub fn authorization(key: &str) -> HeaderValue {
    let value = format!("Bearer {key}");
    value.parse().expect("a header value")
}

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
    workload: Workload,
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
        workload: Workload,
    ) -> Self {
        Caller {
            number,
            slots,
            requests,
            started_at,
            workload,
            random: ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64),
            kept_connection: None,
            request_count: 0,
        }
    }

    /// Sends requests until the run is `until` old.
    pub async fn run(mut self, until: Duration) {
        while self.started_at.elapsed() < until {
            let (kind, path) = self.workload.draw_route(&mut self.random);
            let model = self.workload.draw_model(&mut self.random);
            let mut response = self.send(kind, path, &model).await;
            if self.workload.is_impatient(self.number) {
                for _ in 0..self.workload.repeats {
                    if !response.as_ref().is_some_and(is_refusal) {
                        break;
                    }
                    sleep(REPEAT_PAUSE).await;
                    response = self.send(kind, path, &model).await;
                }
            }
            let retry_after = response
                .as_ref()
                .and_then(|response| response.header("retry-after"));
            let retry_after = retry_after.and_then(|pause| pause.parse::<f64>().ok());
            if let (Some(pause), false) = (retry_after, self.workload.is_impatient(self.number)) {
                sleep(Duration::from_secs_f64(pause.min(MAX_RETRY_AFTER_SECONDS))).await;
            }
            let pause = self.random.random_range(1..self.workload.max_pause_ms);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn send(&mut self, kind: RequestKind, path: &str, model: &str) -> Option<ClientResponse> {
        let (endpoint, client) = self.connection().await?;
        let id = format!("c{}-{}", self.number, self.request_count);
        self.request_count += 1;
        let mut message = request_within(&id, path, model, TIMEOUT_MS);
        if let Some(value) = self.workload.authorization(self.number) {
            message.headers_mut().insert(AUTHORIZATION, value);
        }
        let sent_at = self.started_at.elapsed();
        let response = match client {
            Some(mut client) => {
                let response = client.send(message).await;
                if client.is_open() {
                    self.kept_connection = Some((endpoint, client));
                }
                response
            }
            None => None,
        };
        let request = CallerRequest {
            id,
            kind,
            process: endpoint.process,
            sent_at,
            ended_at: self.started_at.elapsed(),
            outcome: response.as_ref().map_or(Outcome::Closed, outcome),
        };
        self.requests.lock().push(request);
        response
    }

    /// Returns the open connection, or a new connection to a randomly chosen gateway, and the endpoint;
    /// `None` if the gateway has no process.
    async fn connection(&mut self) -> Option<(Endpoint, Option<Client>)> {
        if let Some((endpoint, client)) = self
            .kept_connection
            .take()
            .filter(|(_, client)| client.is_open())
        {
            return Some((endpoint, Some(client)));
        }
        let index = self.random.random_range(0..self.slots.len());
        let endpoint = self.slots[index].lock().endpoint()?;
        let client = Client::try_connect(endpoint.caller_address).await;
        Some((endpoint, client))
    }
}

fn is_refusal(response: &ClientResponse) -> bool {
    response.header("retry-after").is_some()
}

/// What a response is to its caller.
pub fn outcome(response: &ClientResponse) -> Outcome {
    Outcome::Response {
        status: response.status,
        is_complete: response.is_complete,
        seal: response.seal().map(str::to_owned),
        body: response.body.clone(),
    }
}
