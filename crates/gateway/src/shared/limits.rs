//! Quotas of tenants: sends quota requests to the gateway that manages a tenant's quota shard.

use std::time::Duration;

use gorsebank_world::NodeId;
use tokio::time::Instant;

use super::Shared;
use crate::allowance::{Ask, AskAnswer, Obtained, Want};
use crate::relay::{RelayAnswer, RelayRequest};

/// Timeout of a quota request: a hundred times the usual response time, and less than the time
/// limits of callers of application services.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

impl Shared {
    /// Charges a request to its tenant at a gateway that manages the tenant's quota, or reports
    /// that the quota is exceeded. Retries until `until` while no such gateway responds.
    pub async fn charge(&self, demand: &Want, until: Instant) -> Obtained {
        let send = |holder, quota_request| self.send_quota_request(holder, quota_request);
        self.allowance.obtain(demand, until, send).await
    }

    /// Sends a quota request to another gateway, or handles it locally if `holder` is this gateway.
    /// Returns `None` if there is no response in time.
    pub(super) async fn send_quota_request(
        &self,
        holder: NodeId,
        quota_request: Ask,
    ) -> Option<AskAnswer> {
        if holder == self.settings.node {
            return Some(self.answer_ask(&quota_request));
        }
        let address = self.address_of(&holder)?;
        let request = RelayRequest::Allowance(quota_request);
        let client = self.table().client();
        match client.call(address, &request, RESPONSE_TIMEOUT).await? {
            RelayAnswer::Allowance(answer) => Some(answer),
            _ => None,
        }
    }

    /// Whether another gateway currently responds to quota requests. The probe charges nothing, and
    /// every gateway responds to it whether or not it holds a quota shard.
    pub async fn answers_for_limits(&self, gateway: &NodeId) -> bool {
        self.send_quota_request(gateway.clone(), Ask::nothing())
            .await
            .is_some()
    }

    /// Handles a request for quota or for a send time at this gateway.
    pub fn answer_ask(&self, request: &Ask) -> AskAnswer {
        if let Some(send_time) = &request.send_time {
            return self.back_end_limits.answer(self.now(), send_time);
        }
        let configuration = self.configuration();
        self.allowance
            .answer(self.now(), request, configuration.as_deref())
    }
}
