//! Requests that arrive at a given rate, whatever becomes of earlier ones. A caller repeats a request
//! that was not served once, after its `retry-after` header or a third of the time that it has left.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http_body_util::Full;
use parking_lot::Mutex;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::callers::{authorization, outcome};
use super::gateways::{Endpoint, GatewaySlot};
use super::history::{CallerRequest, Outcome, RequestKind};
use super::platform::client::{Client, ClientResponse, request_within};

/// Fraction of the time left after which a caller repeats a request at the latest.
const REPEAT_FRACTION: f64 = 1.0 / 3.0;

/// Longer than any deadline, after which a caller drops its connection.
const LONGEST_RESPONSE: Duration = Duration::from_secs(60);

/// A kind of request that callers send.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name of the route, which is also its path.
    pub route: &'static str,
    /// Kind of the route.
    pub kind: RequestKind,
    /// Arrivals at each gateway, in requests per second.
    pub rate: f64,
    /// Time until the caller gives up.
    pub deadline: Duration,
    /// Models that the requests ask for, with their weights; empty for requests without a model.
    pub models: Vec<(String, f64)>,
}

/// What arrives at the gateways.
pub struct Arrivals {
    /// Kinds of requests.
    pub classes: Vec<RequestClass>,
    /// API keys, of which each caller has one.
    pub api_keys: Vec<String>,
    /// Gateways that callers may use.
    pub slots: Arc<Vec<Mutex<GatewaySlot>>>,
    /// Start of the run; all recorded times are relative to it.
    pub started_at: Instant,
    /// Every try of every caller. One without a response counts as closed.
    pub tries: Mutex<Vec<CallerRequest>>,
    /// Idle connections by gateway process.
    pub connections: Mutex<BTreeMap<usize, Vec<Client>>>,
}

/// One request of a caller, which may be tried twice.
struct Request {
    class: usize,
    model: String,
    api_key: String,
    gateways: [usize; 2],
}

impl Arrivals {
    /// Sends requests until the run is `until` old, and waits for outstanding responses for `grace` more.
    /// Requests without a response by then stay recorded as closed.
    pub async fn run(self: Arc<Self>, seed: u64, until: Duration, grace: Duration) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let rates = self.classes.iter().map(|class| class.rate);
        let total = rates.clone().sum::<f64>() * self.slots.len() as f64;
        let class = WeightedIndex::new(rates).expect("rates above 0");
        let mut callers = JoinSet::new();
        let mut next_at = self.started_at.elapsed();
        while next_at < until {
            let class = class.sample(&mut random);
            let request = self.draw_request(class, &mut random);
            callers.spawn(self.clone().send_and_repeat(request));
            let gap = -(1.0 - random.random::<f64>()).ln() / total;
            next_at += Duration::from_secs_f64(gap);
            sleep(next_at.saturating_sub(self.started_at.elapsed())).await;
        }
        let _ = timeout(grace, callers.join_all()).await;
    }

    fn draw_request(&self, class: usize, random: &mut ChaCha8Rng) -> Request {
        let models = &self.classes[class].models;
        let weights = WeightedIndex::new(models.iter().map(|(_, weight)| weight));
        let model = match weights {
            Ok(weights) => models[weights.sample(random)].0.clone(),
            Err(_) => "warm".to_owned(),
        };
        let key = random.random_range(0..self.api_keys.len());
        Request {
            class,
            model,
            api_key: self.api_keys[key].clone(),
            gateways: [(); 2].map(|()| random.random_range(0..self.slots.len())),
        }
    }

    async fn send_and_repeat(self: Arc<Self>, request: Request) {
        let deadline = Instant::now() + self.classes[request.class].deadline;
        let [first, second] = request.gateways;
        let response = self.send(&request, first, deadline).await;
        if response.as_ref().is_some_and(|it| it.status == 200) {
            return;
        }
        let longest = (deadline - Instant::now()).mul_f64(REPEAT_FRACTION);
        let stated = response.as_ref().and_then(|it| it.header("retry-after"));
        let stated = stated.and_then(|text| text.parse().ok());
        let pause = stated.map_or(longest, |stated| {
            Duration::from_secs_f64(stated).min(longest)
        });
        sleep(pause).await;
        self.send(&request, second, deadline).await;
    }

    async fn send(
        &self,
        request: &Request,
        gateway: usize,
        deadline: Instant,
    ) -> Option<ClientResponse> {
        let class = &self.classes[request.class];
        let endpoint = self.slots[gateway].lock().endpoint()?;
        let left = deadline.saturating_duration_since(Instant::now());
        let (index, id) = self.record_try(class.kind, &request.model, endpoint);
        let path = format!("/{}/", class.route);
        let mut message = request_within(&id, &path, &request.model, left.as_millis() as u32);
        let headers = message.headers_mut();
        headers.insert(AUTHORIZATION, authorization(&request.api_key));
        let exchange = self.exchange(endpoint, message);
        let response = timeout(left, exchange).await.ok().flatten();
        let mut tries = self.tries.lock();
        tries[index].ended_at = self.started_at.elapsed();
        if let Some(response) = &response {
            tries[index].outcome = outcome(response);
        }
        response
    }

    fn record_try(&self, kind: RequestKind, model: &str, endpoint: Endpoint) -> (usize, String) {
        let mut tries = self.tries.lock();
        let index = tries.len();
        let id = format!("a{index}-{model}");
        let now = self.started_at.elapsed();
        tries.push(CallerRequest {
            id: id.clone(),
            kind,
            process: endpoint.process,
            sent_at: now,
            ended_at: now,
            outcome: Outcome::Closed,
        });
        (index, id)
    }

    async fn exchange(
        &self,
        endpoint: Endpoint,
        message: http::Request<Full<Bytes>>,
    ) -> Option<ClientResponse> {
        let idle = self.take_connection(endpoint.process);
        let mut client = match idle {
            Some(client) => client,
            None => Client::try_connect(endpoint.caller_address).await?,
        };
        let response = client.send_within(message, LONGEST_RESPONSE).await?;
        if client.is_open() {
            let mut connections = self.connections.lock();
            connections
                .entry(endpoint.process)
                .or_default()
                .push(client);
        }
        Some(response)
    }

    fn take_connection(&self, process: usize) -> Option<Client> {
        let mut connections = self.connections.lock();
        let idle = connections.get_mut(&process)?;
        idle.retain(Client::is_open);
        idle.pop()
    }
}
