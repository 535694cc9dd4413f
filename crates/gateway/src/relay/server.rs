//! Answers other gateways: calls of the table, questions for news, demand.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use gorsebank_contract::frame::FrameCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::message::{RelayAnswer, RelayRequest, ToldDemand};
use super::table::out_of_reach;
use crate::feed::{FeedAnswer, FeedQuestion};
use crate::ports::WatchedTable;
use crate::shared::Shared;

/// Connections of other gateways that are served at once: all of 1,300 tell the holder of
/// their demand, and some of them ask for news.
const MOST_CONNECTIONS: usize = 1_600;
/// The holder answers within this time what is handed on to it.
const HAND_ON_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection without a call for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a change that a caller may ask for.
const MOST_WAIT: Duration = Duration::from_secs(5);
/// Pause after an accept failed, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves other gateways until the process ends.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let places = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A gateway that finds no place asks another one.
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            serve_connection(stream, &shared).await;
            drop(place);
        });
    }
}

/// One call after the other; ends with the connection, or with a bad frame.
async fn serve_connection(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.split();
    let mut requests = FramedRead::new(read, FrameCodec::<RelayRequest>::default());
    let mut answers = FramedWrite::new(write, FrameCodec::<RelayAnswer>::default());
    while let Ok(Some(Ok(request))) = timeout(IDLE_TIMEOUT, requests.next()).await {
        let answer = answer(shared, request).await;
        if answers.send(&answer).await.is_err() {
            return;
        }
    }
}

async fn answer(shared: &Shared, request: RelayRequest) -> RelayAnswer {
    match request {
        RelayRequest::News(question) => RelayAnswer::News(tell(shared, question).await),
        RelayRequest::Running(told) => {
            shared.note_root(told);
            RelayAnswer::Running(shared.root_counts())
        }
        RelayRequest::Demand(told) => hear(shared, told).await,
        RelayRequest::Allowance(ask) => RelayAnswer::Allowance(shared.answer_ask(&ask)),
        RelayRequest::Quarantine(told) => {
            shared.note_told_outcomes(&told);
            RelayAnswer::Noted
        }
        exact => match shared.table().direct() {
            Some(table) => answer_exactly(table, exact).await,
            None => RelayAnswer::Failed(out_of_reach()),
        },
    }
}

/// Tells a gateway that this one feeds what is new.
async fn tell(shared: &Shared, question: FeedQuestion) -> FeedAnswer {
    let (from, now) = (question.from.as_str(), shared.now());
    let counts = question.running.clone();
    shared.feed.running.lock().note_fed(now, from, counts);
    shared.note_told_limits(&question.limits);
    shared.note_told_departures(&question.departures);
    let arrived = shared.clock.since_boot();
    let tables = shared.feed.news(&question, &shared.quarantine).await;
    let held = shared.clock.since_boot().saturating_sub(arrived);
    let running = shared.running_sums();
    let quarantine = shared.quarantine.news(shared.now(), question.quarantine);
    FeedAnswer {
        tables,
        held: held.as_millis() as u64,
        running,
        quarantine,
        limits: shared.told_limits(),
        departures: shared.told_departures(),
    }
}

/// Takes in demand if this gateway places models, or else hands it on if it is to.
async fn hear(shared: &Shared, told: ToldDemand) -> RelayAnswer {
    if shared.is_placing() {
        let now = shared.now();
        shared.demand_rows.put(now, told.from, told.row);
        return RelayAnswer::Heard { by_holder: true };
    }
    let not_heard = RelayAnswer::Heard { by_holder: false };
    let Some(holder) = shared.holder_address().filter(|_| told.hand_on) else {
        return not_heard;
    };
    let request = RelayRequest::Demand(ToldDemand {
        hand_on: false,
        ..told
    });
    let client = shared.table().client();
    let answer = client.call(holder, &request, HAND_ON_TIMEOUT).await;
    answer.unwrap_or(not_heard)
}

/// Makes the call at the table.
async fn answer_exactly(table: &dyn WatchedTable, request: RelayRequest) -> RelayAnswer {
    match request {
        RelayRequest::Read { table: name } => match table.read(&name).await {
            Ok(rows) => RelayAnswer::Rows(rows),
            Err(error) => RelayAnswer::Failed(error),
        },
        RelayRequest::Changes {
            table: name,
            version,
            wait,
        } => {
            let wait = Duration::from_millis(wait).min(MOST_WAIT);
            match table.changes(&name, version, wait).await {
                Ok(changes) => RelayAnswer::Changes(changes),
                Err(error) => RelayAnswer::Failed(error),
            }
        }
        RelayRequest::Transact(transaction) => {
            RelayAnswer::Transacted(table.transact(transaction).await)
        }
        // These are no calls of the table.
        RelayRequest::News(_)
        | RelayRequest::Running(_)
        | RelayRequest::Demand(_)
        | RelayRequest::Allowance(_)
        | RelayRequest::Quarantine(_) => RelayAnswer::Failed(out_of_reach()),
        RelayRequest::Remove { key, version } => {
            RelayAnswer::Transacted(table.remove(&key, version).await)
        }
    }
}
