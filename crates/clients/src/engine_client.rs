//! Client that sends fenced orders to engines and reads their reports, as JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use gorsebank_contract::{EngineReport, Inventory, Order, OrderAction, OrderError, OrderResult};
use http::Method;
use serde::{Deserialize, Serialize};

use crate::http_client::HttpClient;

/// URL path on which engines accept orders.
pub const ORDERS_PATH: &str = "/v1/orders";
/// URL path on which engines return their short report.
pub const REPORT_PATH: &str = "/v1/report";
/// Time within which an engine must respond to an inspection or a request for its report.
const INSPECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time within which an engine must complete a load, an unload or a change of role and respond.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1_800);

/// The response of an engine to an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderResponse {
    /// The reason why the order was not executed; `None` if it was executed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<OrderError>,
    /// The inventory after the order.
    pub inventory: Inventory,
}

/// A client of the engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client that sends its requests through `http`.
    pub fn new(http: HttpClient) -> Self {
        EngineClient { http }
    }

    /// Reads the short report of an engine; `None` if the call fails.
    pub async fn report(&self, address: SocketAddr) -> Option<EngineReport> {
        let result = self
            .http
            .call::<(), EngineReport>(Method::GET, address, REPORT_PATH, None, INSPECT_TIMEOUT)
            .await;
        match result {
            Ok((status, report)) if status.is_success() => Some(report),
            _ => None,
        }
    }

    /// Sends an order and waits until the engine has executed or refused it.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> OrderResult {
        let time_limit = match order.action {
            OrderAction::Inspect => INSPECT_TIMEOUT,
            OrderAction::Load { .. }
            | OrderAction::Unload { .. }
            | OrderAction::ChangeRole { .. } => CHANGE_TIMEOUT,
        };
        let result = self
            .http
            .call::<_, OrderResponse>(Method::POST, address, ORDERS_PATH, Some(order), time_limit)
            .await;
        match result {
            Ok((
                _,
                OrderResponse {
                    refused: None,
                    inventory,
                },
            )) => OrderResult::Done(inventory),
            Ok((
                _,
                OrderResponse {
                    refused: Some(error),
                    inventory,
                },
            )) => OrderResult::Refused(error, inventory),
            Err(_) => OrderResult::Unknown,
        }
    }
}
