//! Pacing of prompts: sends requests to the owners of engines.

use std::time::Duration;

use gorsebank_fleet::SendTime;

use super::Shared;
use crate::back_end::BackEnd;
use crate::prefill_pacing::PrefillRequest;
use crate::tenant_quotas::{QuotaRequest, QuotaResponse};

/// Timeout of a request to an owner: ten times the usual response time, and a small part of the
/// objective of urgent streams.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);

impl Shared {
    /// Asks for the time at which a prompt may be sent to an engine. `None` if the engine's owner
    /// did not respond, so that the prompt is sent at once.
    pub async fn reserve_prefill(&self, request: PrefillRequest) -> Option<SendTime> {
        let response = self.send_prefill_request(request).await;
        let (send_time, result) = match response {
            Some(QuotaResponse::Reserved { wait_ms: 0 }) => (Some(SendTime::In(0)), "at_once"),
            Some(QuotaResponse::Reserved { wait_ms }) => (Some(SendTime::In(wait_ms)), "later"),
            Some(QuotaResponse::OverLimit { wait_ms }) => {
                (Some(SendTime::Later(wait_ms)), "elsewhere")
            }
            _ => (None, "no_answer"),
        };
        let metrics = &self.metrics;
        metrics.prompt_sends.with_label_values(&[result]).inc();
        send_time
    }

    /// Reports a pause in a stream that was longer than the gap objective to the engine's owner.
    pub async fn report_long_pause(&self, back_end: &BackEnd, pause: Duration, gap: Duration) {
        let request = PrefillRequest {
            engine: back_end.incarnation_hash,
            gap_ms: gap.as_millis() as u64,
            tokens: 0,
            max_wait_ms: 0,
            has_alternative: false,
            pause_ms: pause.as_millis() as u64,
        };
        // A lost report costs one more pause, which is reported again.
        let _ = self.send_prefill_request(request).await;
    }

    async fn send_prefill_request(&self, request: PrefillRequest) -> Option<QuotaResponse> {
        let owner = self.prefill_pacing.owner(self.now(), request.engine)?;
        if owner == self.settings.node {
            return Some(self.prefill_pacing.handle_request(self.now(), &request));
        }
        let message = QuotaRequest::for_prefill(request);
        let sending = self.send_quota_request_within(owner.clone(), message, RESPONSE_TIMEOUT);
        let response = sending.await;
        if response.is_none() {
            self.prefill_pacing.record_silence(self.now(), owner);
        }
        response
    }
}
