//! Asks keepers for the software version that began a stream.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{OriginAnswer, OriginRequest};
use crate::relay::{RelayClient, RelayRequest, RelayResponse};

/// Time limit for an answer: much longer than a round trip between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks all keepers at once. Returns the first answer that has a record; otherwise one that states a
/// verified only version, if there is one.
pub async fn ask(
    client: &RelayClient,
    keepers: &[SocketAddr],
    request: OriginRequest,
) -> OriginAnswer {
    let request = RelayRequest::FindOrigin(request);
    let calls = keepers
        .iter()
        .map(|keeper| client.call(*keeper, &request, ANSWER_TIMEOUT));
    let mut answers: FuturesUnordered<_> = calls.collect();
    let mut best = OriginAnswer::default();
    while let Some(response) = answers.next().await {
        // An earlier build closes the connection.
        let Some(RelayResponse::Origin(answer)) = response else {
            continue;
        };
        if answer.version.is_some() {
            return answer;
        }
        if answer.is_verified {
            best = answer;
        }
    }
    best
}
