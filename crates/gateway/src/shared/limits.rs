//! Limits of tenants: this gateway's way to whoever counts for one.

use std::time::Duration;

use gorsebank_world::NodeId;
use tokio::time::Instant;

use super::Shared;
use crate::allowance::{Ask, AskAnswer, Obtained, Want};
use crate::relay::{RelayAnswer, RelayRequest};

/// Whoever counts answers within this time: a hundred times what it takes, and less than
/// callers of application services wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

impl Shared {
    /// Counts a request for its tenant, wherever that is counted, or says that it is beyond
    /// the limit. When nobody who counts answers, tries until a time.
    pub async fn count(&self, want: &Want, until: Instant) -> Obtained {
        let put = |holder, ask| self.put(holder, ask);
        self.allowance.obtain(want, until, put).await
    }

    /// Asks another gateway, or this one; none if there was no answer in time.
    pub(super) async fn put(&self, holder: NodeId, ask: Ask) -> Option<AskAnswer> {
        if holder == self.settings.node {
            return Some(self.answer_ask(&ask));
        }
        let address = self.address_of(&holder)?;
        let request = RelayRequest::Allowance(ask);
        let client = self.table().client();
        match client.call(address, &request, ANSWER_TIMEOUT).await? {
            RelayAnswer::Allowance(answer) => Some(answer),
            _ => None,
        }
    }

    /// Whether another gateway answers questions on limits now: it is asked one that counts
    /// nothing, whatever it holds.
    pub async fn answers_for_limits(&self, gateway: &NodeId) -> bool {
        self.put(gateway.clone(), Ask::nothing()).await.is_some()
    }

    /// What this gateway, which may count for the tenant or give out times, says.
    pub fn answer_ask(&self, ask: &Ask) -> AskAnswer {
        if let Some(send_time) = &ask.send_time {
            return self.back_end_limits.answer(self.now(), send_time);
        }
        let configuration = self.configuration();
        self.allowance
            .answer(self.now(), ask, configuration.as_deref())
    }
}
