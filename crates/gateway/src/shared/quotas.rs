//! Quotas of tenants: sends quota requests to the gateway that manages a tenant's quota shard.

use std::time::Duration;

use gorsebank_world::NodeId;
use tokio::time::Instant;

use super::Shared;
use crate::relay::{RelayRequest, RelayResponse};
use crate::tenant_quotas::{QuotaDemand, QuotaOutcome, QuotaRequest, QuotaResponse};

/// Timeout of a quota request: a hundred times the usual response time, and less than the time
/// limits of callers of application services.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

impl Shared {
    /// Charges a request to its tenant at a gateway that manages the tenant's quota, or reports
    /// that the quota is exceeded. Retries until `until` while no such gateway responds.
    pub async fn charge(&self, demand: &QuotaDemand, until: Instant) -> QuotaOutcome {
        let send = |holder, quota_request| self.send_quota_request(holder, quota_request);
        self.tenant_quotas.charge(demand, until, send).await
    }

    /// Sends a quota request to another gateway, or handles it locally if `holder` is this gateway.
    /// Returns `None` if there is no response in time.
    pub(crate) async fn send_quota_request(
        &self,
        holder: NodeId,
        quota_request: QuotaRequest,
    ) -> Option<QuotaResponse> {
        if holder == self.settings.node {
            return Some(self.handle_quota_request(&quota_request));
        }
        let address = self.address_of(&holder)?;
        let request = RelayRequest::Quota(quota_request);
        let client = self.table().client();
        match client.call(address, &request, RESPONSE_TIMEOUT).await? {
            RelayResponse::Quota(response) => Some(response),
            _ => None,
        }
    }

    /// Whether another gateway currently responds to quota requests. The probe charges nothing, and
    /// every gateway responds to it whether or not it holds a quota shard.
    pub async fn responds_to_quota_requests(&self, gateway: &NodeId) -> bool {
        self.send_quota_request(gateway.clone(), QuotaRequest::without_charge())
            .await
            .is_some()
    }

    /// Handles a request for quota or for a send time at this gateway.
    pub fn handle_quota_request(&self, request: &QuotaRequest) -> QuotaResponse {
        if let Some(send_time) = &request.send_time {
            return self.back_end_limits.handle_request(self.now(), send_time);
        }
        let configuration = self.configuration();
        let quotas = &self.tenant_quotas;
        let response = quotas.handle_request(self.now(), request, configuration.as_deref());
        let lapsed = self.metrics.quota_places.with_label_values(&["lapsed"]);
        lapsed.inc_by(quotas.take_lapsed_places());
        response
    }
}
