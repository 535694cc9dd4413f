//! Serves the requests of other gateways.
//!
//! In: connections of other gateways, with one request after the other on each. Out: the
//! responses.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use gorsebank_contract::frame::FrameCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::message::{RelayAnswer, RelayRequest, ToldDemand};
use super::table::table_unreachable;
use crate::feed::{FeedAnswer, FeedQuestion};
use crate::ports::WatchedTable;
use crate::shared::Shared;

/// Maximum number of connections served at the same time. In a fleet of 1,300 gateways, all
/// gateways send their demand to the placement holder, and some of them request updates from the
/// holder.
const MAX_CONNECTIONS: usize = 1_600;
/// Time limit for the response of the placement holder to forwarded demand.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection is closed after this time without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait for a change that a gateway may request.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves other gateways until the process ends.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A gateway whose connection is closed here asks another gateway.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            serve_connection(stream, &shared).await;
            drop(permit);
        });
    }
}

/// Serves the requests of one connection, one after the other, until the connection ends or
/// receives an invalid frame.
async fn serve_connection(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.split();
    let mut requests = FramedRead::new(read, FrameCodec::<RelayRequest>::default());
    let mut responses = FramedWrite::new(write, FrameCodec::<RelayAnswer>::default());
    while let Ok(Some(Ok(request))) = timeout(IDLE_TIMEOUT, requests.next()).await {
        let response = handle_request(shared, request).await;
        if responses.send(&response).await.is_err() {
            return;
        }
    }
}

async fn handle_request(shared: &Shared, request: RelayRequest) -> RelayAnswer {
    match request {
        RelayRequest::News(request) => {
            RelayAnswer::News(handle_update_request(shared, request).await)
        }
        RelayRequest::RunningCounts(counts) => {
            shared.note_root(counts);
            RelayAnswer::RunningCounts(shared.root_counts())
        }
        RelayRequest::Demand(demand) => receive_demand(shared, demand).await,
        RelayRequest::Allowance(request) => RelayAnswer::Allowance(shared.answer_ask(&request)),
        RelayRequest::Quarantine(outcomes) => {
            shared.note_told_outcomes(&outcomes);
            RelayAnswer::Noted
        }
        table_call => match shared.table().direct() {
            Some(table) => call_table(table, table_call).await,
            None => RelayAnswer::Failed(table_unreachable()),
        },
    }
}

/// Responds to a request of a child for updates, and merges the counts, rate limits and drain
/// notices of the request.
async fn handle_update_request(shared: &Shared, request: FeedQuestion) -> FeedAnswer {
    let (from, now) = (request.from.as_str(), shared.now());
    let counts = request.running.clone();
    shared.feed.running.lock().note_fed(now, from, counts);
    shared.note_told_limits(&request.limits);
    shared.note_told_departures(&request.departures);
    let received_at = shared.clock.since_boot();
    let tables = shared
        .feed
        .wait_for_updates(&request, &shared.quarantine)
        .await;
    let held = shared.clock.since_boot().saturating_sub(received_at);
    let running = shared.running_sums();
    let quarantine = shared.quarantine.news(shared.now(), request.quarantine);
    FeedAnswer {
        tables,
        held_ms: held.as_millis() as u64,
        running,
        quarantine,
        limits: shared.told_limits(),
        departures: shared.told_departures(),
    }
}

/// Merges demand if this gateway is the placement holder. Otherwise forwards the demand to the
/// placement holder if the sender requests that.
async fn receive_demand(shared: &Shared, demand: ToldDemand) -> RelayAnswer {
    if shared.is_placing() {
        let now = shared.now();
        shared.demand_rows.put(now, demand.from, demand.row);
        return RelayAnswer::Heard { by_holder: true };
    }
    let not_received = RelayAnswer::Heard { by_holder: false };
    let Some(holder) = shared.holder_address().filter(|_| demand.hand_on) else {
        return not_received;
    };
    let request = RelayRequest::Demand(ToldDemand {
        hand_on: false,
        ..demand
    });
    let client = shared.table().client();
    let response = client.call(holder, &request, FORWARD_TIMEOUT).await;
    response.unwrap_or(not_received)
}

/// Executes a call on the table.
async fn call_table(table: &dyn WatchedTable, request: RelayRequest) -> RelayAnswer {
    match request {
        RelayRequest::Read { table: name } => match table.read(&name).await {
            Ok(rows) => RelayAnswer::Rows(rows),
            Err(error) => RelayAnswer::Failed(error),
        },
        RelayRequest::Changes {
            table: name,
            version,
            wait_ms,
        } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
            match table.changes(&name, version, wait).await {
                Ok(changes) => RelayAnswer::Changes(changes),
                Err(error) => RelayAnswer::Failed(error),
            }
        }
        RelayRequest::Transact(transaction) => {
            RelayAnswer::Transacted(table.transact(transaction).await)
        }
        // `handle_request` handles these requests itself, since they are not calls of the table.
        RelayRequest::News(_)
        | RelayRequest::RunningCounts(_)
        | RelayRequest::Demand(_)
        | RelayRequest::Allowance(_)
        | RelayRequest::Quarantine(_) => RelayAnswer::Failed(table_unreachable()),
        RelayRequest::Remove { key, version } => {
            RelayAnswer::Transacted(table.remove(&key, version).await)
        }
    }
}
