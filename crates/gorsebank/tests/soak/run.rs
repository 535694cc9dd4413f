//! One run: gateways as processes, stand-ins of the table and of back ends, callers, faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::callers::Caller;
use super::gateways::Slot;
use super::history::{Done, History, Left, What};
use super::plan::{Fault, Strike, plan};
use super::platform::client::{Client, request, request_with, send};
use super::platform::runner::{End, Reply, Runner, Seen};
use super::platform::store::Store;
use super::platform::wire::Wire;
use super::platform::{configuration, configuration_with_prefix, server_row};
use super::promises::{EVENTS, PLAIN, event};

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
/// A leaving back end keeps its row for so long.
const LEAVING: Duration = Duration::from_millis(3_000);
/// A back end whose process ended has a row for so long, and another one comes then.
const RESTART: Duration = Duration::from_secs(2);
/// Pause between two events, and before the first.
const PAUSE: Duration = Duration::from_millis(20);
/// The same, and before a plain answer, at a slow back end.
const SLOW: Duration = Duration::from_millis(200);
/// What a slow way to the table adds to each piece that it carries.
const FAR: Duration = Duration::from_millis(120);
/// Pause between two tries of a request under which back ends end.
const ENDING_PAUSE: Duration = Duration::from_millis(150);
/// Models beside those of the tests' configuration; with these an engine cannot hold all.
pub const MORE_MODELS: [&str; 2] = ["rare", "rarer"];
/// Orders that an engine loses in a row.
const ORDERS_LOST: usize = 3;
/// How bodies begin under which back ends end.
const ENDING: &[u8] = b"ends whoever runs it ";
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// How a back end is.
#[derive(Debug, Default)]
struct Mood {
    slow: AtomicBool,
    /// Fails every second request.
    grey: AtomicBool,
    requests: AtomicUsize,
}

/// A back end with its row and the way to it.
#[derive(Clone)]
struct BackEnd {
    runner: Runner,
    service: &'static str,
    wire: Arc<Wire>,
    mood: Arc<Mood>,
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
    began: Instant,
    processes: AtomicUsize,
    version: Mutex<u64>,
}

/// Plays the faults of a seed against so many gateways, and tells what was seen.
pub async fn play(seed: u64, length: Duration, gateways: usize) -> History {
    let run = Arc::new(Run::start(gateways, length).await);
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
    async fn start(gateways: usize, length: Duration) -> Self {
        let store = Store::start().await;
        store.put("op", "config", with_more_models(configuration(1)));
        let mut slots = Vec::new();
        for number in 0..gateways {
            let wire = Wire::to(store.address).await;
            let slot = Slot::start(&format!("node-{number}"), wire, number);
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
        run.over = run.began.elapsed() + length;
        run
    }

    async fn add_back_end(&self, service: &'static str) -> BackEnd {
        let id = format!("i-{}", self.all.lock().len());
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
        let runner = Runner::start(&id, behaviour).await;
        let wire = Arc::new(Wire::to(runner.address).await);
        let back_end = BackEnd {
            runner,
            service,
            wire,
            mood,
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
            self.store.remove("servers", &back_end.runner.id);
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
            back_end = self.add_back_end(back_end.service).await;
        }
    }

    fn put_row(&self, back_end: &BackEnd, state: &str) {
        let mut row = server_row(&back_end.runner, back_end.service, state);
        row["addr"] = json!(back_end.wire.address.to_string());
        self.store.put("servers", &back_end.runner.id, row);
    }

    fn next_process(&self) -> usize {
        self.processes.fetch_add(1, Ordering::Relaxed)
    }

    async fn strike(self: Arc<Self>, strike: Strike) {
        let from = self.began.elapsed();
        let index = strike.target % self.slots.len();
        let what = match strike.fault {
            Fault::Kill => vec![self.kill(index)],
            Fault::KillAll => (0..self.slots.len())
                .map(|index| self.kill(index))
                .collect(),
            Fault::Stop => vec![self.stop(index).await],
            Fault::Pause => vec![self.pause(index, strike.lasts).await],
            Fault::TableDown => vec![self.table(|table| &table.down, strike.lasts).await],
            Fault::TableThrottles => {
                vec![self.table(|table| &table.throttled, strike.lasts).await]
            }
            Fault::TableLosesAnswers => {
                vec![self.table(|table| &table.lose_answers, strike.lasts).await]
            }
            Fault::TableForgets => {
                self.store.compact();
                vec![Some(What::Table)]
            }
            Fault::TableSilent => {
                self.slots[index].lock().wire.silence();
                vec![Some(What::Table)]
            }
            Fault::BackEndSilent => vec![self.cut_off(strike.target, Wire::silence)],
            Fault::BackEndLeaves => {
                self.clone().replace_back_end(strike.target).await;
                Vec::new()
            }
            Fault::BackEndEnds => {
                if let Some(back_end) = self.back_end(strike.target) {
                    back_end.runner.end();
                }
                Vec::new()
            }
            Fault::BackEndSlow => {
                self.change_mood(strike, |mood| &mood.slow).await;
                Vec::new()
            }
            Fault::BackEndGrey => {
                self.change_mood(strike, |mood| &mood.grey).await;
                Vec::new()
            }
            Fault::EndingRequest => {
                self.come_again(strike).await;
                Vec::new()
            }
            Fault::TableFar => {
                let wire = self.slots[index].lock().wire.clone();
                wire.delay(FAR);
                sleep(strike.lasts).await;
                wire.delay(Duration::ZERO);
                vec![Some(What::Table)]
            }
            Fault::TableRefusesOne => {
                let wire = self.slots[index].lock().wire.clone();
                wire.refuse(true);
                sleep(strike.lasts).await;
                wire.refuse(false);
                vec![Some(What::Table)]
            }
            Fault::BackEndReset => vec![self.cut_off(strike.target, Wire::reset)],
            Fault::BackEndDark => {
                let wire = self.back_end(strike.target).map(|it| it.wire);
                if let Some(wire) = wire {
                    wire.darken(true);
                    sleep(strike.lasts).await;
                    wire.darken(false);
                }
                vec![Some(What::BackEndCutOff)]
            }
            Fault::OrdersLost => {
                if let Some(back_end) = self.back_end(strike.target) {
                    let lost = &back_end.runner.lose_orders;
                    lost.store(ORDERS_LOST, Ordering::Relaxed);
                }
                Vec::new()
            }
            Fault::Reload => {
                self.slots[index].lock().signal(Signal::SIGHUP);
                Vec::new()
            }
            Fault::TableOneWay => {
                let wire = self.slots[index].lock().wire.clone();
                wire.hold_answers(true);
                sleep(strike.lasts).await;
                wire.hold_answers(false);
                vec![Some(What::Table)]
            }
            Fault::Configuration => {
                self.configure("/read/");
                Vec::new()
            }
        };
        let until = self.began.elapsed() + NEWS;
        let done = what.into_iter().flatten();
        let done = done.map(|what| Done { from, until, what });
        self.done.lock().extend(done);
    }

    fn kill(&self, index: usize) -> Option<What> {
        let number = self.next_process();
        let mut slot = self.slots[index].lock();
        let killed = slot.door()?.process;
        slot.kill();
        slot.start_again(number);
        Some(What::Killed(killed))
    }

    async fn stop(&self, index: usize) -> Option<What> {
        let stopped = self.slots[index].lock().signal(Signal::SIGTERM)?;
        Slot::wait_for_end(&self.slots[index]).await;
        let number = self.next_process();
        let mut slot = self.slots[index].lock();
        // Another fault may have put another process there meanwhile.
        if slot.door().is_none_or(|door| door.process == stopped) {
            slot.start_again(number);
        }
        Some(What::Stopped(stopped))
    }

    async fn pause(&self, index: usize, lasts: Duration) -> Option<What> {
        let paused = self.slots[index].lock().signal(Signal::SIGSTOP)?;
        sleep(lasts).await;
        self.slots[index].lock().signal(Signal::SIGCONT);
        Some(What::Paused(paused))
    }

    async fn table(
        &self,
        flag: impl Fn(&super::platform::store::Inner) -> &AtomicBool,
        lasts: Duration,
    ) -> Option<What> {
        flag(&self.store.inner).store(true, Ordering::Relaxed);
        sleep(lasts).await;
        flag(&self.store.inner).store(false, Ordering::Relaxed);
        Some(What::Table)
    }

    fn back_end(&self, target: usize) -> Option<BackEnd> {
        let listed = self.listed.lock();
        let count = listed.len().max(1);
        listed.get(target % count).cloned()
    }

    async fn change_mood(&self, strike: Strike, mood: impl Fn(&Mood) -> &AtomicBool) {
        let Some(back_end) = self.back_end(strike.target) else {
            return;
        };
        mood(&back_end.mood).store(true, Ordering::Relaxed);
        sleep(strike.lasts).await;
        mood(&back_end.mood).store(false, Ordering::Relaxed);
    }

    /// A request under which back ends end comes again, at one gateway after the other.
    async fn come_again(&self, strike: Strike) {
        let body = [ENDING, &strike.at.as_millis().to_le_bytes()].concat();
        let path = ["/stream/", "/resumable/"][strike.target % 2];
        let mut index = strike.target;
        while self.began.elapsed() < self.over {
            index += 1;
            let door = self.slots[index % self.slots.len()].lock().door();
            if let Some(door) = door
                && let Some(mut client) = Client::try_connect(door.callers).await
            {
                // What its caller gets is no matter here; back ends tell what arrived.
                let _ = client
                    .send(request_with("ending", path, "warm", &body))
                    .await;
            }
            sleep(ENDING_PAUSE).await;
        }
    }

    /// Something happens to the connections of a back end that are open.
    fn cut_off(&self, target: usize, how: impl Fn(&Wire)) -> Option<What> {
        how(&self.back_end(target)?.wire);
        Some(What::BackEndCutOff)
    }

    /// A back end says that it leaves, and another one comes.
    async fn replace_back_end(self: Arc<Self>, target: usize) {
        let leaving = {
            let mut listed = self.listed.lock();
            if listed.is_empty() {
                return;
            }
            let index = target % listed.len();
            listed.remove(index)
        };
        let next = self.add_back_end(leaving.service).await;
        tokio::spawn(self.clone().replace_when_ended(next));
        self.put_row(&leaving, "draining");
        let said = self.began.elapsed();
        sleep(NEWS + SLACK).await;
        let left = Left {
            back_end: leaving.runner.id.clone(),
            said,
            counted: self.began.elapsed(),
            arrived: leaving.runner.seen().len(),
            arrived_in_the_end: 0,
        };
        self.left.lock().push(left);
        sleep(LEAVING - NEWS).await;
        self.store.remove("servers", &leaving.runner.id);
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

    /// What back ends saw.
    fn tell(&self, history: &mut History) {
        let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for back_end in self.all.lock().iter() {
            let runner = &back_end.runner;
            for seen in runner.seen() {
                let at = runs.entry(seen.id().to_owned()).or_default();
                at.push(runner.id.clone());
            }
            let models = runner.most_models();
            history.most_models.insert(runner.id.clone(), models);
            let orders = runner.orders();
            let fences = orders.iter().filter_map(|order| order["fence"].as_u64());
            history.fences.insert(runner.id.clone(), fences.collect());
        }
        // What asks whether gateways serve bears one id.
        runs.remove("probe");
        runs.remove("ending");
        history.endings = std::mem::take(&mut *self.endings.lock());
        history.runs = runs;
        history.done = std::mem::take(&mut *self.done.lock());
        history.left = std::mem::take(&mut *self.left.lock());
        let all = self.all.lock();
        for left in &mut history.left {
            let back_end = all.iter().find(|one| one.runner.id == left.back_end);
            left.arrived_in_the_end = back_end.map_or(0, |one| one.runner.seen().len());
        }
    }
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

/// What a back end does with a request.
fn behave(seen: &Seen, mood: &Mood) -> Reply {
    let number = mood.requests.fetch_add(1, Ordering::Relaxed);
    if mood.grey.load(Ordering::Relaxed) && number.is_multiple_of(2) {
        return Reply::Answer(500, "failed");
    }
    let is_slow = mood.slow.load(Ordering::Relaxed);
    let is_stream = seen.line.contains("/stream/") || seen.line.contains("/resumable/");
    if !is_stream && is_slow {
        return Reply::Late(SLOW, 200, PLAIN);
    }
    if !is_stream {
        return Reply::Answer(200, PLAIN);
    }
    let last = seen
        .header("last-event-id")
        .and_then(|id| id.parse::<u64>().ok());
    let first = last.unwrap_or(0) + 1;
    let pause = if is_slow { SLOW } else { PAUSE };
    let events = (first..=EVENTS).map(|number| (pause, event(number)));
    Reply::Events(events.collect(), End::Whole)
}
