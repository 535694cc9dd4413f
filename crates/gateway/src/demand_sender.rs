//! Sends the demand of this gateway's callers to the placement holder.
//!
//! The input is the demand of callers. The output is one message over a persistent connection,
//! which is sent immediately when a model or an adapter is missing and otherwise only when the
//! demand has changed or has not been sent for some time. If the holder cannot be reached, the
//! message is forwarded by another gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::{DemandRow, ModelDemand};
use tokio::time::{Instant, sleep, timeout};

use crate::relay::{GatewayDemand, RelayRequest, RelayResponse};
use crate::shared::Shared;

/// Minimum interval between two messages.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of messages per second that the holder receives if all gateways have urgent
/// demand.
const MAX_MESSAGES_PER_SECOND: f64 = 1_500.0;
/// Interval between two checks for demand to send that is not urgent.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum of that interval with many gateways. Together with the refresh interval, it ensures that
/// demand is sent well before the holder treats it as outdated.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(4);
/// Interval after which unchanged demand is sent again, so that the holder knows that the gateway
/// is running.
const REFRESH_INTERVAL: Duration = Duration::from_secs(6);
/// Number of gateways above which each sends non-urgent demand less often. At one message per
/// second from each, this is also the rate of such messages that the holder processes.
const FULL_RATE_GATEWAYS: usize = 250;
/// Maximum time for the response of the holder.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a message that was not delivered.
const UNDELIVERED_DELAY: Duration = Duration::from_millis(200);
/// Relative difference up to which two request rates count as equal.
const RATE_TOLERANCE: f64 = 0.3;

/// Sends demand until the process stops.
pub async fn run(shared: Arc<Shared>) {
    let mut sender = DemandSender {
        last_sent: None,
        is_undelivered: false,
        shared,
    };
    while !sender.shared.is_stopping() {
        let is_urgent = sender.wait().await;
        sender.run_iteration(is_urgent).await;
        sleep(sender.min_interval()).await;
    }
}

struct DemandSender {
    shared: Arc<Shared>,
    /// The address of the holder that received the last message, the message, and the time of its
    /// delivery; `None` if the last message was not delivered.
    last_sent: Option<(SocketAddr, DemandRow, Instant)>,
    /// Whether the last message was not delivered.
    is_undelivered: bool,
}

impl DemandSender {
    /// Waits until demand should be checked. Returns whether it must be sent even if unchanged.
    async fn wait(&self) -> bool {
        if self.is_undelivered {
            return true;
        }
        let check_interval = check_interval(self.shared.max_gateway_count());
        let woken = async {
            tokio::select! {
                () = self.shared.urgent_demand.notified() => {}
                () = self.shared.new_holder.notified() => {}
            }
        };
        timeout(check_interval, woken).await.is_ok()
    }

    fn min_interval(&self) -> Duration {
        let shared_interval = self.shared.max_gateway_count() as f64 / MAX_MESSAGES_PER_SECOND;
        let pause = MIN_INTERVAL.max(Duration::from_secs_f64(shared_interval));
        if self.is_undelivered {
            pause.max(UNDELIVERED_DELAY)
        } else {
            pause
        }
    }

    async fn run_iteration(&mut self, is_urgent: bool) {
        let mut row = self.shared.demand.lock().row(self.shared.now());
        row.prefill_speed = self.shared.prefill_speed_samples();
        if self.shared.is_placing() {
            let (now, node) = (self.shared.now(), self.shared.settings.node.clone());
            self.shared.demand_rows.put(now, node, row);
            self.last_sent = None;
            self.is_undelivered = false;
            return;
        }
        let Some(holder) = self.shared.holder_address() else {
            // There is no holder; the next one is sent the demand as soon as it is known.
            return;
        };
        if is_urgent || self.needs_sending(holder, &row) {
            self.is_undelivered = !self.send(holder, &row).await;
            self.last_sent = (!self.is_undelivered).then(|| (holder, row, Instant::now()));
        }
    }

    fn needs_sending(&self, holder: SocketAddr, row: &DemandRow) -> bool {
        match &self.last_sent {
            Some((address, previous, at)) => {
                *address != holder || at.elapsed() > REFRESH_INTERVAL || differs(previous, row)
            }
            None => true,
        }
    }

    /// Sends the demand directly or through another gateway, and returns whether the holder
    /// received it.
    async fn send(&self, holder: SocketAddr, row: &DemandRow) -> bool {
        if self.send_to(holder, row, false).await {
            self.shared.table().count_call("demand_told");
            return true;
        }
        let other = self.shared.feed.parents.lock().candidates();
        let other = other.iter().find(|parent| parent.address != holder);
        let is_forwarded = match other {
            Some(parent) => self.send_to(parent.address, row, true).await,
            None => false,
        };
        let result = if is_forwarded {
            "demand_handed_on"
        } else {
            "demand_unheard"
        };
        self.shared.table().count_call(result);
        is_forwarded
    }

    async fn send_to(&self, address: SocketAddr, row: &DemandRow, should_forward: bool) -> bool {
        let request = RelayRequest::Demand(GatewayDemand {
            from: self.shared.settings.node.clone(),
            row: row.clone(),
            should_forward,
        });
        let client = self.shared.table().client();
        let response = client.call(address, &request, RESPONSE_TIMEOUT).await;
        matches!(
            response,
            Some(RelayResponse::DemandReceived { by_holder: true })
        )
    }
}

/// The interval between two checks for non-urgent demand. With many gateways, each has a small
/// fraction of the demand, and non-urgent demand may wait.
fn check_interval(gateways: usize) -> Duration {
    CHECK_INTERVAL
        .mul_f64(gateway_factor(gateways))
        .min(MAX_CHECK_INTERVAL)
}

/// The factor by which there are more gateways than [`FULL_RATE_GATEWAYS`], at least 1.
fn gateway_factor(gateways: usize) -> f64 {
    (gateways as f64 / FULL_RATE_GATEWAYS as f64).max(1.0)
}

fn differs(previous: &DemandRow, row: &DemandRow) -> bool {
    if previous.services.len() != row.services.len() {
        return true;
    }
    row.services.iter().any(|(service, models)| {
        let Some(known) = previous.services.get(service) else {
            return true;
        };
        models.iter().any(|(model, demand)| {
            let known = known.get(model);
            known.is_none_or(|known| model_differs(known, demand))
        })
    })
}

fn model_differs(previous: &ModelDemand, demand: &ModelDemand) -> bool {
    let change = (previous.rate - demand.rate).abs();
    change > RATE_TOLERANCE * previous.rate.max(0.2)
        || (previous.waiting == 0) != (demand.waiting == 0)
        || (previous.running == 0) != (demand.running == 0)
        || previous.missing_adapters != demand.missing_adapters
}
