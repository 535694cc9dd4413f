//! Fenced orders to engines, as JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use gorsebank_contract::{EngineReport, Inventory, Order, OrderAction, OrderError, OrderResult};
use http::Method;
use serde::{Deserialize, Serialize};

use crate::http_client::HttpClient;

/// Where engines take orders.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Where engines report.
pub const REPORT_PATH: &str = "/v1/report";
/// An inspection is answered within this time.
const INSPECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A load or unload is answered, when done, within this time.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1_800);

/// An engine's answer to an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Why the order was not carried out, if it was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<OrderError>,
    /// The inventory after it.
    pub inventory: Inventory,
}

/// Sends orders.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// A client over `http`.
    pub fn new(http: HttpClient) -> Self {
        EngineClient { http }
    }

    /// Reads an engine's short report.
    pub async fn report(&self, address: SocketAddr) -> Option<EngineReport> {
        let answer = self
            .http
            .call::<(), EngineReport>(Method::GET, address, REPORT_PATH, None, INSPECT_TIMEOUT)
            .await;
        match answer {
            Ok((status, report)) if status.is_success() => Some(report),
            _ => None,
        }
    }

    /// Sends an order and waits until it is carried out or refused.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> OrderResult {
        let limit = match order.action {
            OrderAction::Inspect => INSPECT_TIMEOUT,
            OrderAction::Load { .. }
            | OrderAction::Unload { .. }
            | OrderAction::ChangeRole { .. } => CHANGE_TIMEOUT,
        };
        let answer = self
            .http
            .call::<_, OrderAnswer>(Method::POST, address, ORDERS_PATH, Some(order), limit)
            .await;
        match answer {
            Ok((
                _,
                OrderAnswer {
                    refused: None,
                    inventory,
                },
            )) => OrderResult::Done(inventory),
            Ok((
                _,
                OrderAnswer {
                    refused: Some(error),
                    inventory,
                },
            )) => OrderResult::Refused(error, inventory),
            Err(_) => OrderResult::Unknown,
        }
    }
}
