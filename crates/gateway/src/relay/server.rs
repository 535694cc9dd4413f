//! Serves the requests of other gateways.
//!
//! In: connections of other gateways, with one request after the other on each. Out: the
//! responses.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use gorsebank_contract::frame::FrameCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::message::{GatewayDemand, RelayRequest, RelayResponse};
use super::table::table_unreachable;
use super::tunnel;
use crate::feed::{FeedRequest, FeedResponse};
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
            serve_connection(stream, &shared, permit).await;
        });
    }
}

/// Serves the requests of one connection, one after the other, until the connection ends, receives
/// an invalid frame or becomes a tunnel.
async fn serve_connection(
    mut stream: TcpStream,
    shared: &Arc<Shared>,
    permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.split();
    let mut requests = FramedRead::new(read, FrameCodec::<RelayRequest>::default());
    let mut responses = FramedWrite::new(write, FrameCodec::<RelayResponse>::default());
    while let Ok(Some(Ok(request))) = timeout(IDLE_TIMEOUT, requests.next()).await {
        if let RelayRequest::Tunnel(request) = request {
            let has_early_bytes = !requests.read_buffer().is_empty();
            drop((requests, responses, permit));
            if !has_early_bytes {
                tunnel::serve(stream, shared, &request).await;
            }
            return;
        }
        let response = handle_request(shared, request).await;
        if responses.send(&response).await.is_err() {
            return;
        }
    }
}

async fn handle_request(shared: &Shared, request: RelayRequest) -> RelayResponse {
    match request {
        RelayRequest::Updates(request) => {
            RelayResponse::Updates(handle_update_request(shared, request).await)
        }
        RelayRequest::RunningCounts(counts) => {
            shared.record_root(counts);
            RelayResponse::RunningCounts(shared.root_counts())
        }
        RelayRequest::Demand(demand) => receive_demand(shared, demand).await,
        RelayRequest::Quota(request) => RelayResponse::Quota(shared.handle_quota_request(&request)),
        RelayRequest::Quarantine(outcomes) => {
            shared.merge_child_outcomes(&outcomes);
            RelayResponse::Acknowledged
        }
        RelayRequest::RecordOrigins(records) => {
            shared.stream_origins.merge(shared.now(), &records);
            RelayResponse::Acknowledged
        }
        RelayRequest::FindOrigin(request) => {
            RelayResponse::Origin(shared.answer_origin(&request).await)
        }
        table_call => match shared.table().direct() {
            Some(table) => call_table(table, table_call).await,
            None => RelayResponse::Failed(table_unreachable()),
        },
    }
}

/// Responds to a request of a child for updates, and merges the counts, rate limits and drain
/// notices of the request.
async fn handle_update_request(shared: &Shared, request: FeedRequest) -> FeedResponse {
    let (from, now) = (request.from.as_str(), shared.now());
    let counts = request.running.clone();
    shared.feed.running.lock().record_child(now, from, counts);
    shared.merge_limit_notices(&request.limits);
    shared.merge_drain_notices(&request.drain_notices);
    shared.merge_liveness_proofs(&request.liveness_proofs);
    let received_at = shared.clock.since_boot();
    let tables = shared
        .feed
        .wait_for_updates(&request, &shared.quarantine)
        .await;
    let held = shared.clock.since_boot().saturating_sub(received_at);
    let running = shared.running_totals();
    let quarantine = shared
        .quarantine
        .update_for(shared.now(), request.quarantine);
    FeedResponse {
        tables,
        held_ms: held.as_millis() as u64,
        running,
        quarantine,
        limits: shared.limit_notices(),
        drain_notices: shared.drain_notices(),
        liveness_proofs: shared.liveness_proofs(),
    }
}

/// Merges demand if this gateway is the placement holder. Otherwise forwards the demand to the
/// placement holder if the sender requests that.
async fn receive_demand(shared: &Shared, demand: GatewayDemand) -> RelayResponse {
    if shared.is_placing() {
        let now = shared.now();
        shared.demand_rows.put(now, demand.from, demand.row);
        return RelayResponse::DemandReceived { by_holder: true };
    }
    let not_received = RelayResponse::DemandReceived { by_holder: false };
    let Some(holder) = shared.holder_address().filter(|_| demand.should_forward) else {
        return not_received;
    };
    let request = RelayRequest::Demand(GatewayDemand {
        should_forward: false,
        ..demand
    });
    let client = shared.table().client();
    let response = client.call(holder, &request, FORWARD_TIMEOUT).await;
    response.unwrap_or(not_received)
}

/// Executes a call on the table.
async fn call_table(table: &dyn WatchedTable, request: RelayRequest) -> RelayResponse {
    match request {
        RelayRequest::Read { table: name } => match table.read(&name).await {
            Ok(rows) => RelayResponse::Rows(rows),
            Err(error) => RelayResponse::Failed(error),
        },
        RelayRequest::Changes {
            table: name,
            version,
            wait_ms,
        } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
            match table.changes(&name, version, wait).await {
                Ok(changes) => RelayResponse::Changes(changes),
                Err(error) => RelayResponse::Failed(error),
            }
        }
        RelayRequest::Transact(transaction) => {
            RelayResponse::Transacted(table.transact(transaction).await)
        }
        // These requests are handled elsewhere, since they are not calls of the table.
        RelayRequest::Tunnel(_)
        | RelayRequest::Updates(_)
        | RelayRequest::RunningCounts(_)
        | RelayRequest::Demand(_)
        | RelayRequest::Quota(_)
        | RelayRequest::Quarantine(_)
        | RelayRequest::RecordOrigins(_)
        | RelayRequest::FindOrigin(_) => RelayResponse::Failed(table_unreachable()),
        RelayRequest::Remove { key, version } => {
            RelayResponse::Transacted(table.remove(&key, version).await)
        }
    }
}
