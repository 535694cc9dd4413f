//! One run: gateways as processes, stand-ins of the table and of back ends, callers, faults.

mod behaviour;
mod strikes;
mod tell;

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::callers::Caller;
use super::gateways::Slot;
use super::history::{Departed, Done, History, Left, Limited, What};
use super::plan::{limits, plan, row_strikes, statement_strikes};
use super::platform::client::{request, send};
use super::platform::runner::{Reply, Runner, Seen};
use super::platform::store::Store;
use super::platform::wire::Wire;
use super::platform::{configuration, configuration_with_prefix, server_row};
use behaviour::{Mood, behave};

/// Back ends of each service.
const BACK_ENDS: usize = 3;
/// Callers for each gateway.
const CALLERS: usize = 2;
/// Gateways have this time to become ready at first.
const START: Duration = Duration::from_secs(10);
/// Everything works again in this time after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// A configuration is in force everywhere in this time, and a leaving back end known.
const NEWS: Duration = Duration::from_millis(2_000);
/// What a stand-in is late with on a busy machine.
const SLACK: Duration = Duration::from_millis(500);
/// A back end whose process ended has a row for so long, and another one comes then.
const RESTART: Duration = Duration::from_secs(2);
/// Models beside those of the tests' configuration; with these an engine cannot hold all.
pub const MORE_MODELS: [&str; 2] = ["rare", "rarer"];
/// How bodies begin under which back ends end.
const ENDING: &[u8] = b"ends whoever runs it ";
/// When the first back ends start, in milliseconds since the epoch.
const FIRST_START: u64 = 1_700_000_000_000;
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// A back end with its row and the way to it.
#[derive(Clone)]
struct BackEnd {
    runner: Runner,
    service: &'static str,
    wire: Arc<Wire>,
    mood: Arc<Mood>,
    /// When it started, in milliseconds since the epoch, if it tells.
    born: Option<u64>,
}

/// All that a run consists of.
pub struct Run {
    store: Store,
    slots: Arc<Vec<Mutex<Slot>>>,
    /// Those that are listed now.
    listed: Mutex<Vec<BackEnd>>,
    /// All that ever were.
    all: Mutex<Vec<BackEnd>>,
    /// Arrivals of requests under which back ends end.
    endings: Arc<Mutex<BTreeMap<Vec<u8>, Vec<Duration>>>>,
    /// When callers stop.
    over: Duration,
    done: Mutex<Vec<Done>>,
    left: Mutex<Vec<Left>>,
    limits: Mutex<Vec<Limited>>,
    departed: Mutex<Vec<Departed>>,
    /// Whether back ends tell their starts, as those do that start again under their names.
    tells_starts: bool,
    /// Names of back ends that ended and are to start again under them.
    starting_again: Mutex<BTreeSet<String>>,
    began: Instant,
    processes: AtomicUsize,
    version: Mutex<u64>,
}

/// What happens beside the faults, drawn apart from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    /// Nothing.
    Nothing,
    /// Back ends state limits.
    Limits,
    /// Rows of back ends are spoiled, and back ends start again under their names.
    Rows,
    /// Back ends say in their answers that they leave, or turn requests away and want pauses.
    Statements,
}

/// What a run plays.
#[derive(Clone, Debug)]
pub struct Play {
    /// What it draws from.
    pub seed: u64,
    /// Length of its faults.
    pub length: Duration,
    /// Gateways.
    pub gateways: usize,
    /// What happens beside the faults.
    pub beside: Beside,
    /// Where gateways write their lines.
    pub logs: Option<PathBuf>,
}

/// Plays the faults of a seed, and tells what was seen.
pub async fn play(play: Play) -> History {
    let Play {
        seed,
        length,
        gateways,
        ..
    } = play;
    let run = Arc::new(Run::start(&play).await);
    let tries = Arc::default();
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS * gateways {
        let slots = run.slots.clone();
        let caller = Caller::new(seed, number, slots, Arc::clone(&tries), run.began);
        tasks.spawn(caller.run(run.over));
    }
    let base = tokio::time::Instant::now();
    let mut strikes = JoinSet::new();
    // What waits for the end of a back end holds the run, and ends with this value.
    let mut keepers = JoinSet::new();
    for back_end in run.listed.lock().iter() {
        keepers.spawn(run.clone().replace_when_ended(back_end.clone()));
    }
    match play.beside {
        Beside::Nothing => {}
        Beside::Limits => {
            for limit in limits(seed, length) {
                strikes.spawn(run.clone().state_limit(limit));
            }
        }
        Beside::Rows => {
            for strike in row_strikes(seed, length) {
                strikes.spawn(run.clone().strike_row(strike));
            }
        }
        Beside::Statements => {
            for strike in statement_strikes(seed, length) {
                strikes.spawn(run.clone().make_statement(strike));
            }
        }
    }
    for strike in plan(seed, length) {
        sleep_until(base + strike.at).await;
        strikes.spawn(run.clone().strike(strike));
    }
    strikes.join_all().await;
    tasks.join_all().await;
    let mut history = History::default();
    run.recover(&mut history).await;
    run.last_configuration(&mut history).await;
    history.tries = std::mem::take(&mut *tries.lock());
    run.tell(&mut history);
    run.slots.iter().for_each(|slot| slot.lock().kill());
    history
}

impl Run {
    async fn start(play: &Play) -> Self {
        let gateways = play.gateways;
        let store = Store::start().await;
        store.put("op", "config", with_more_models(configuration(1)));
        let mut slots = Vec::new();
        for number in 0..gateways {
            let wire = Wire::to(store.address).await;
            let slot = Slot::start(&format!("node-{number}"), wire, number, play.logs.clone());
            slots.push(Mutex::new(slot));
        }
        let mut run = Run {
            store,
            slots: Arc::new(slots),
            listed: Mutex::default(),
            all: Mutex::default(),
            endings: Arc::default(),
            over: Duration::ZERO,
            done: Mutex::default(),
            left: Mutex::default(),
            limits: Mutex::default(),
            departed: Mutex::default(),
            tells_starts: play.beside == Beside::Rows,
            starting_again: Mutex::default(),
            began: Instant::now(),
            processes: AtomicUsize::new(gateways),
            version: Mutex::new(1),
        };
        for _ in 0..BACK_ENDS {
            run.add_back_end("app").await;
            run.add_back_end("llm").await;
        }
        let is_up = run.all_serve(START).await;
        assert!(is_up.is_empty(), "gateways do not start: {is_up:?}");
        run.over = run.began.elapsed() + play.length;
        run
    }

    async fn add_back_end(&self, service: &'static str) -> BackEnd {
        let id = format!("i-{}", self.all.lock().len());
        self.add_back_end_as(&id, service).await
    }

    /// A back end under this name, which it may have had before.
    async fn add_back_end_as(&self, id: &str, service: &'static str) -> BackEnd {
        let mood = Arc::new(Mood::default());
        let (present, endings, began) = (mood.clone(), self.endings.clone(), self.began);
        let behaviour = move |seen: &Seen| {
            if seen.body.starts_with(ENDING) {
                let mut endings = endings.lock();
                let arrivals = endings.entry(seen.body.clone()).or_default();
                arrivals.push(began.elapsed());
                return Reply::End;
            }
            behave(seen, &present)
        };
        let runner = Runner::start(id, behaviour).await;
        let wire = Arc::new(Wire::to(runner.address).await);
        let start = FIRST_START + self.began.elapsed().as_millis() as u64;
        let back_end = BackEnd {
            runner,
            service,
            wire,
            mood,
            born: self.tells_starts.then_some(start),
        };
        self.put_row(&back_end, "ready");
        self.listed.lock().push(back_end.clone());
        self.all.lock().push(back_end.clone());
        back_end
    }

    /// A process that ended says nothing: its row goes some time later, and another one comes.
    async fn replace_when_ended(self: Arc<Self>, mut back_end: BackEnd) {
        loop {
            back_end.runner.until_ended().await;
            back_end.wire.end();
            let from = self.began.elapsed();
            sleep(RESTART).await;
            let starts_again = self.starting_again.lock().remove(&back_end.runner.id);
            if !starts_again {
                self.store.remove("servers", &back_end.runner.id);
            }
            let until = self.began.elapsed();
            let what = What::BackEndEnded;
            self.done.lock().push(Done { from, until, what });
            let id = &back_end.runner.id;
            let was_listed = {
                let mut listed = self.listed.lock();
                let former = listed.len();
                listed.retain(|one| one.runner.id != *id);
                listed.len() < former
            };
            if !was_listed {
                // It was about to leave, and another one has come already.
                return;
            }
            back_end = if starts_again {
                let id = back_end.runner.id.clone();
                self.add_back_end_as(&id, back_end.service).await
            } else {
                self.add_back_end(back_end.service).await
            };
        }
    }

    fn put_row(&self, back_end: &BackEnd, state: &str) {
        let id = &back_end.runner.id;
        self.store.put("servers", id, row_of(back_end, state));
    }

    fn next_process(&self) -> usize {
        self.processes.fetch_add(1, Ordering::Relaxed)
    }

    /// A new configuration, with this prefix for what may be repeated.
    fn configure(&self, prefix: &str) {
        let mut version = self.version.lock();
        *version += 1;
        let newer = configuration_with_prefix(*version, prefix);
        self.store.put("op", "config", with_more_models(newer));
    }

    /// Gateways that do not serve every kind within this time.
    async fn all_serve(&self, limit: Duration) -> Vec<String> {
        let began = Instant::now();
        let mut missing: Vec<usize> = (0..self.slots.len()).collect();
        while !missing.is_empty() && began.elapsed() < limit {
            let mut still = Vec::new();
            for index in missing {
                if !self
                    .serves(index, &["/read/", "/top-up/", "/stream/"])
                    .await
                {
                    still.push(index);
                }
            }
            missing = still;
            sleep(LOOK).await;
        }
        self.names(&missing)
    }

    fn names(&self, indices: &[usize]) -> Vec<String> {
        let name = |index: &usize| self.slots[*index].lock().name().to_owned();
        indices.iter().map(name).collect()
    }

    async fn serves(&self, index: usize, paths: &[&str]) -> bool {
        let Some(door) = self.slots[index].lock().door() else {
            return false;
        };
        if tokio::net::TcpStream::connect(door.callers).await.is_err() {
            return false;
        }
        for path in paths {
            let got = send(door.callers, request("probe", path)).await;
            if got.is_none_or(|got| got.status != 200) {
                return false;
            }
        }
        true
    }

    async fn recover(&self, history: &mut History) {
        history.not_recovered = self.all_serve(RECOVERY).await;
    }

    async fn last_configuration(&self, history: &mut History) {
        self.configure("/last/");
        sleep(NEWS + SLACK).await;
        for index in 0..self.slots.len() {
            if !self.serves(index, &["/last/"]).await {
                history.behind.extend(self.names(&[index]));
            }
        }
    }
}

/// The row of a back end.
fn row_of(back_end: &BackEnd, state: &str) -> Value {
    let mut row = server_row(&back_end.runner, back_end.service, state);
    row["addr"] = json!(back_end.wire.address.to_string());
    if let Some(born) = back_end.born {
        row["born"] = json!(born);
    }
    row
}

/// The same with more models than an engine has memory for.
fn with_more_models(mut configuration: Value) -> Value {
    let models = &mut configuration["services"][1]["engine"]["models"];
    let models = models.as_array_mut().expect("models");
    let another = models[1].clone();
    for name in MORE_MODELS {
        let mut model = another.clone();
        model["name"] = json!(name);
        models.push(model);
    }
    configuration
}
