//! Sends records to their keepers, and to the gateway that stores them, in batches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::OriginRecord;
use gorsebank_fleet::stream_origins::{KEEPERS, KeeperGroup};
use gorsebank_world::ServiceId;
use tokio::time::{interval, sleep};

use super::{SharedOrigins, Unsent};
use crate::event_log::{self, LogPriority};
use crate::relay::{RelayClient, RelayRequest, RelayResponse};

/// Time limit for the acknowledgement of a batch, after which the next gateway is tried.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the sender checks whether deferred records have to be sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which records that no gateway has acknowledged are sent again. All others may be gone, or
/// of an earlier build.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum pause between two batches for the gateway that stores records, which receives the batches of
/// all gateways.
const STORING_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of batches that are sent at the same time. An unresponsive gateway delays only its
/// own.
const MAX_DELIVERIES: usize = 32;

/// What the sender needs to know of the gateway.
pub trait SenderContext {
    /// The present time.
    fn now(&self) -> Timestamp;
    /// Whether the back ends of a service may be of several versions.
    fn may_be_mixed(&self, service: &ServiceId) -> bool;
    /// The gateways to which the records of a group are sent, in order.
    fn keepers(&self, group: KeeperGroup) -> Vec<SocketAddr>;
    /// The other gateway that stores records; `None` if it is this one, or not known.
    fn storing_gateway(&self) -> Option<SocketAddr>;
}

/// Sends records until the future is dropped.
pub async fn send_records(
    origins: &SharedOrigins,
    client: &RelayClient,
    context: &impl SenderContext,
) {
    tokio::join!(
        send_to_keepers(origins, client, context),
        send_to_storing_gateway(origins, client, context),
    );
}

async fn send_to_storing_gateway(
    origins: &SharedOrigins,
    client: &RelayClient,
    context: &impl SenderContext,
) {
    loop {
        origins.wait_for_unstored().await;
        let Some(gateway) = context.storing_gateway() else {
            // They stay for the task that stores them here, or until there is such a gateway.
            origins.unstored_added.notify_one();
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let unstored = origins.take_unstored(context.now());
        if unstored.is_empty() {
            continue;
        }
        let request = RelayRequest::RecordOrigins(records_of(&unstored));
        if send(client, gateway, &request).await {
            sleep(STORING_PAUSE).await;
        } else {
            origins.put_back_unstored(unstored);
            sleep(RETRY_INTERVAL).await;
        }
    }
}

async fn send_to_keepers(
    origins: &SharedOrigins,
    client: &RelayClient,
    context: &impl SenderContext,
) {
    let mut deliveries = FuturesUnordered::new();
    let mut retries = interval(RETRY_INTERVAL);
    loop {
        if deliveries.len() < MAX_DELIVERIES {
            let mut mixed = origins.deferred_services();
            mixed.retain(|service| context.may_be_mixed(service));
            let due = origins.take_due(context.now(), &mixed);
            for (keepers, batch) in batches(due, context) {
                deliveries.push(deliver(client, keepers, batch));
            }
        }
        tokio::select! {
            () = origins.added.notified(), if deliveries.len() < MAX_DELIVERIES => {}
            Some(undelivered) = deliveries.next(), if !deliveries.is_empty() => {
                put_back(origins, undelivered);
            }
            _ = retries.tick() => origins.retry_undelivered(),
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

fn put_back(origins: &SharedOrigins, undelivered: Vec<Unsent>) {
    if undelivered.is_empty() {
        return;
    }
    let fields = format_args!("records={}", undelivered.len());
    event_log::write(LogPriority::Decision, "origins_undelivered", fields);
    origins.put_back(undelivered);
}

/// Records by the gateways that keep them. Without another gateway there is nothing to send.
fn batches(
    due: Vec<Unsent>,
    context: &impl SenderContext,
) -> HashMap<Vec<SocketAddr>, Vec<Unsent>> {
    let mut batches: HashMap<Vec<SocketAddr>, Vec<Unsent>> = HashMap::new();
    for record in due {
        let keepers = context.keepers(record.1.stream.keeper_group());
        if !keepers.is_empty() {
            batches.entry(keepers).or_default().push(record);
        }
    }
    batches
}

/// Sends a batch to its keepers. Returns the records if none has acknowledged them.
async fn deliver(
    client: &RelayClient,
    keepers: Vec<SocketAddr>,
    batch: Vec<Unsent>,
) -> Vec<Unsent> {
    let request = RelayRequest::RecordOrigins(records_of(&batch));
    let mut waiting = keepers.into_iter();
    let mut sending: FuturesUnordered<_> = waiting
        .by_ref()
        .take(KEEPERS)
        .map(|keeper| send(client, keeper, &request))
        .collect();
    let mut acknowledged = 0;
    while let Some(is_acknowledged) = sending.next().await {
        acknowledged += usize::from(is_acknowledged);
        if !is_acknowledged && let Some(next) = waiting.next() {
            sending.push(send(client, next, &request));
        }
    }
    if acknowledged == 0 { batch } else { Vec::new() }
}

fn records_of(batch: &[Unsent]) -> Vec<OriginRecord> {
    batch.iter().map(|(_, record)| record.clone()).collect()
}

async fn send(client: &RelayClient, keeper: SocketAddr, request: &RelayRequest) -> bool {
    let response = client.call(keeper, request, SEND_TIMEOUT).await;
    matches!(response, Some(RelayResponse::Acknowledged))
}
