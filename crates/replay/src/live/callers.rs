//! Callers of a live replay: real requests over HTTP, and what came of them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use gorsebank_clients::HttpClient;
use gorsebank_contract::{PriorityClass, Ran, RefusalReason, RequestId};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::history::{CallerEnd, CallerTry};
use crate::simulation::caller::CallerPlan;

/// A caller waits for so long beyond its deadline for the answer's end.
const PATIENCE: Duration = Duration::from_secs(60);
/// The data of a stream's last event.
const LAST_EVENT: &str = "[DONE]";

/// One request of a caller to one node.
pub struct LiveCall<'a> {
    /// The client.
    pub http: &'a HttpClient,
    /// The node's address for callers.
    pub address: SocketAddr,
    /// When the replay began.
    pub start: Instant,
    /// What is asked.
    pub plan: &'a CallerPlan,
}

impl LiveCall<'_> {
    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Sends the request and follows it to its end.
    pub async fn run(&self, record: &mut CallerTry) {
        let end = match tokio::time::timeout(PATIENCE, self.exchange(record)).await {
            Ok(end) => end,
            // No end is what the checker is to see.
            Err(_) => return,
        };
        record.end = Some((self.now(), end));
    }

    async fn exchange(&self, record: &mut CallerTry) -> CallerEnd {
        let Ok(request) = self.request() else {
            return CallerEnd::NodeDied;
        };
        let Ok(response) = self.http.send(request).await else {
            return CallerEnd::NodeDied;
        };
        record.request = request_id(response.headers());
        if !response.status().is_success() {
            return refused(response).await;
        }
        if self.plan.is_service {
            return self.whole(response, record).await;
        }
        self.stream(response, record).await
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, http::Error> {
        let plan = self.plan;
        let path = if plan.is_service {
            format!("/services/{}/call", plan.of)
        } else {
            "/v1/completions".to_owned()
        };
        let left = Duration::from_micros(plan.deadline.saturating_sub(self.now()));
        let mut builder = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .header("request-timeout", format!("{}ms", left.as_millis()));
        if let Some(key) = &plan.key {
            builder = builder.header("idempotency-key", key);
        }
        let tier = match plan.class {
            PriorityClass::Interactive => "default",
            PriorityClass::Batch => "flex",
        };
        let body = json!({
            "model": plan.of, "prompt": "x", "stream": true,
            "max_tokens": plan.tokens, "service_tier": tier,
        });
        builder.body(Full::new(Bytes::from(body.to_string())))
    }

    async fn whole(&self, response: Response<Incoming>, record: &mut CallerTry) -> CallerEnd {
        let stream = stream_name(response.headers());
        match response.into_body().collect().await {
            Ok(_) => {
                record.first_event = Some(self.now());
                record.received.push((stream, 0));
                CallerEnd::Answered { whole: 1 }
            }
            Err(_) => CallerEnd::NodeDied,
        }
    }

    async fn stream(&self, response: Response<Incoming>, record: &mut CallerTry) -> CallerEnd {
        let data = BodyStream::new(response.into_body()).filter_map(|frame| async {
            match frame {
                Ok(frame) => frame.into_data().ok().map(Ok),
                Err(error) => Some(Err(error)),
            }
        });
        let mut events = Box::pin(data.eventsource());
        while let Some(event) = events.next().await {
            let Ok(event) = event else {
                return CallerEnd::NodeDied;
            };
            if event.event == "error" {
                return CallerEnd::Interrupted;
            }
            let Some((stream, number)) = event.id.rsplit_once(':') else {
                continue;
            };
            record.first_event.get_or_insert(self.now());
            let number = number.parse().unwrap_or(u64::MAX);
            record.received.push((stream.to_owned(), number));
            if event.data == LAST_EVENT {
                // The stand-in makes an event a token, one for the finish
                // reason, and the last.
                let whole = u64::from(self.plan.tokens) + 2;
                return CallerEnd::Answered { whole };
            }
        }
        CallerEnd::NodeDied
    }
}

fn stream_name(headers: &HeaderMap) -> String {
    headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn request_id(headers: &HeaderMap) -> Option<RequestId> {
    let name = stream_name(headers);
    let (id, _) = name.split_once('-').unwrap_or((name.as_str(), ""));
    id.parse().ok()
}

async fn refused(response: Response<Incoming>) -> CallerEnd {
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .and_then(|seconds| seconds.parse::<u64>().ok())
        .map(|seconds| seconds * 1_000);
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return CallerEnd::NodeDied,
    };
    let error: Value = serde_json::from_slice(&body).unwrap_or_default();
    let ran = match error["error"]["ran"].as_str() {
        Some("no") => Ran::No,
        _ => Ran::Unknown,
    };
    CallerEnd::Refused {
        reason: reason_of(error["error"]["code"].as_str().unwrap_or_default()),
        ran,
        retry_after,
    }
}

fn reason_of(code: &str) -> RefusalReason {
    match code {
        "no_capacity" => RefusalReason::NoCapacity,
        "deadline_passed" => RefusalReason::DeadlinePassed,
        "retries_exhausted" => RefusalReason::RetriesExhausted,
        "idempotency_key_used" => RefusalReason::KeyUsed,
        "idempotency_key_in_doubt" => RefusalReason::KeyInDoubt,
        "connection_lost" => RefusalReason::ConnectionLost,
        "stopping" => RefusalReason::Stopping,
        _ => RefusalReason::NoPlace,
    }
}
