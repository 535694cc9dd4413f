//! Callers: each keeps its connection for as long as the process lives, sends requests of
//! all kinds with deadlines, and comes back after a refusal when it was told to.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::gateways::{Door, Slot};
use super::history::{End, Kind, Try};
use super::platform::client::{Client, Got, request_within};
use super::run::MORE_MODELS;

/// Longest pause between two requests of one caller, in milliseconds.
const MOST_PAUSE: u64 = 40;
/// For so long a caller waits for an answer, in milliseconds.
const WAIT: u32 = 1_500;
/// Longest time that a caller waits before it comes back, in seconds.
const MOST_RETURN: f64 = 0.3;
/// Requests for a model that is loaded on demand.
const COLD_PART: f64 = 0.1;
/// Models that are loaded on demand.
const COLD: [&str; 3] = ["cold", MORE_MODELS[0], MORE_MODELS[1]];
/// Kinds with the paths of their routes.
const KINDS: [(Kind, &str); 4] = [
    (Kind::Idempotent, "/read/"),
    (Kind::Mutating, "/top-up/"),
    (Kind::Stream, "/stream/"),
    (Kind::Resumable, "/resumable/"),
];

/// One caller.
pub struct Caller {
    /// Its number.
    pub number: usize,
    /// The gateways.
    pub slots: Arc<Vec<Mutex<Slot>>>,
    /// What was seen.
    pub tries: Arc<Mutex<Vec<Try>>>,
    /// When the run began.
    pub began: Instant,
    random: ChaCha8Rng,
    kept: Option<(Door, Client)>,
    sent: usize,
}

impl Caller {
    /// A caller of a run.
    pub fn new(
        seed: u64,
        number: usize,
        slots: Arc<Vec<Mutex<Slot>>>,
        tries: Arc<Mutex<Vec<Try>>>,
        began: Instant,
    ) -> Self {
        Caller {
            number,
            slots,
            tries,
            began,
            random: ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64),
            kept: None,
            sent: 0,
        }
    }

    /// Sends requests until time is up.
    pub async fn run(mut self, until: Duration) {
        while self.began.elapsed() < until {
            let (kind, path) = KINDS[self.random.random_range(0..KINDS.len())];
            let got = self.send(kind, path).await;
            let told = got.as_ref().and_then(|got| got.header("retry-after"));
            let told = told.and_then(|pause| pause.parse::<f64>().ok());
            if let Some(pause) = told {
                sleep(Duration::from_secs_f64(pause.min(MOST_RETURN))).await;
            }
            let pause = self.random.random_range(1..MOST_PAUSE);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn send(&mut self, kind: Kind, path: &str) -> Option<Got> {
        let (door, mut client) = self.connection().await?;
        let id = format!("c{}-{}", self.number, self.sent);
        self.sent += 1;
        let is_cold = self.random.random_bool(COLD_PART);
        let cold = COLD[self.random.random_range(0..COLD.len())];
        let model = if is_cold { cold } else { "warm" };
        let sent = self.began.elapsed();
        let got = client.send(request_within(&id, path, model, WAIT)).await;
        let one = Try {
            id,
            kind,
            process: door.process,
            sent,
            ended: self.began.elapsed(),
            end: got.as_ref().map_or(End::Closed, end),
        };
        self.tries.lock().push(one);
        if client.is_open() {
            self.kept = Some((door, client));
        }
        got
    }

    /// The kept connection, or a new one to some gateway.
    async fn connection(&mut self) -> Option<(Door, Client)> {
        if let Some((door, client)) = self.kept.take().filter(|(_, client)| client.is_open()) {
            return Some((door, client));
        }
        let index = self.random.random_range(0..self.slots.len());
        let door = self.slots[index].lock().door()?;
        let client = Client::try_connect(door.callers).await?;
        Some((door, client))
    }
}

fn end(got: &Got) -> End {
    End::Answer {
        status: got.status,
        whole: got.whole,
        seal: got.seal().map(str::to_owned),
        body: got.body.clone(),
    }
}
