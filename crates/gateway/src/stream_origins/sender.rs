//! Sends records to their keepers, in batches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::OriginRecord;
use gorsebank_fleet::stream_origins::{KEEPERS, KeeperGroup};
use gorsebank_world::ServiceId;
use tokio::time::sleep;

use super::SharedOrigins;
use crate::event_log::{self, LogPriority};
use crate::relay::{RelayClient, RelayRequest, RelayResponse};

/// Time limit for the acknowledgement of a batch, after which the next gateway is tried.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the sender checks whether deferred records have to be sent, and tries again to
/// send those that no gateway has acknowledged.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of batches that are sent at the same time. An unresponsive gateway delays only its
/// own.
const MAX_DELIVERIES: usize = 32;

/// What the sender needs to know of the gateway.
pub trait SenderContext {
    /// The present time.
    fn now(&self) -> Timestamp;
    /// Whether the back ends of a service may be of several versions.
    fn is_mixed(&self, service: &ServiceId) -> bool;
    /// The gateways to which the records of a group are sent, in order.
    fn keepers(&self, group: KeeperGroup) -> Vec<SocketAddr>;
}

/// Sends records until the future is dropped.
pub async fn send_records(
    origins: &SharedOrigins,
    client: &RelayClient,
    context: &impl SenderContext,
) {
    let mut deliveries = FuturesUnordered::new();
    loop {
        if deliveries.len() < MAX_DELIVERIES {
            let due = origins.take_due(context.now(), |service| context.is_mixed(service));
            for (keepers, batch) in batches(due, context) {
                deliveries.push(deliver(client, keepers, batch));
            }
        }
        tokio::select! {
            () = origins.added.notified(), if deliveries.len() < MAX_DELIVERIES => {}
            Some(undelivered) = deliveries.next(), if !deliveries.is_empty() => {
                put_back(origins, undelivered);
            }
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

fn put_back(origins: &SharedOrigins, undelivered: Vec<OriginRecord>) {
    if undelivered.is_empty() {
        return;
    }
    let fields = format_args!("records={}", undelivered.len());
    event_log::write(LogPriority::Decision, "origins_undelivered", fields);
    origins.put_back(undelivered);
}

/// Records by the gateways that keep them. Without another gateway there is nothing to send.
fn batches(
    due: Vec<OriginRecord>,
    context: &impl SenderContext,
) -> HashMap<Vec<SocketAddr>, Vec<OriginRecord>> {
    let mut batches: HashMap<Vec<SocketAddr>, Vec<OriginRecord>> = HashMap::new();
    for record in due {
        let keepers = context.keepers(record.stream.keeper_group());
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
    batch: Vec<OriginRecord>,
) -> Vec<OriginRecord> {
    let request = RelayRequest::RecordOrigins(batch);
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
    drop(sending);
    match request {
        RelayRequest::RecordOrigins(batch) if acknowledged == 0 => batch,
        _ => Vec::new(),
    }
}

async fn send(client: &RelayClient, keeper: SocketAddr, request: &RelayRequest) -> bool {
    let response = client.call(keeper, request, SEND_TIMEOUT).await;
    matches!(response, Some(RelayResponse::Acknowledged))
}
