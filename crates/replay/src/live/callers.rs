//! Sends the requests of a live replay to nodes over HTTP and records their responses and outcomes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use gorsebank_clients::HttpClient;
use gorsebank_contract::{ExecutionStatus, PriorityClass, RefusalReason, RequestId};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::history::{CallerAttempt, CallerOutcome};
use crate::simulation::caller::CallerPlan;

/// Longest time for which a caller waits for the end of a response, from the start of the request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Data of the last event of a completion stream.
const LAST_EVENT: &str = "[DONE]";

/// One attempt of a caller at one node.
pub struct LiveCall<'a> {
    /// HTTP client that sends the request.
    pub http: &'a HttpClient,
    /// Address at which the node accepts requests of callers.
    pub address: SocketAddr,
    /// Start of the replay, from which recorded times are counted.
    pub start: Instant,
    /// Model or service, deadline and further properties of the request.
    pub plan: &'a CallerPlan,
}

impl LiveCall<'_> {
    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Sends the request, reads its response to the end, and adds the outcome to `record`.
    pub async fn run(&self, record: &mut CallerAttempt) {
        let end = match tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(record)).await {
            Ok(end) => end,
            // The record stays without an outcome, which the checker reports.
            Err(_) => return,
        };
        record.end = Some((self.now(), end));
    }

    async fn exchange(&self, record: &mut CallerAttempt) -> CallerOutcome {
        let Ok(request) = self.build_request() else {
            return CallerOutcome::NodeDied;
        };
        let Ok(response) = self.http.send(request).await else {
            return CallerOutcome::NodeDied;
        };
        record.request = parse_request_id(response.headers());
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        if self.plan.is_service {
            return self.read_complete_response(response, record).await;
        }
        self.read_stream(response, record).await
    }

    fn build_request(&self) -> Result<Request<Full<Bytes>>, http::Error> {
        let plan = self.plan;
        let path = if plan.is_service {
            format!("/services/{}/call", plan.of)
        } else {
            "/v1/completions".to_owned()
        };
        let time_left = Duration::from_micros(plan.deadline.saturating_sub(self.now()));
        let mut builder = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .header("request-timeout", format!("{}ms", time_left.as_millis()));
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

    async fn read_complete_response(
        &self,
        response: Response<Incoming>,
        record: &mut CallerAttempt,
    ) -> CallerOutcome {
        let stream = request_header(response.headers());
        match response.into_body().collect().await {
            Ok(_) => {
                record.first_event = Some(self.now());
                record.received.push((stream, 0));
                CallerOutcome::Answered { whole: 1 }
            }
            Err(_) => CallerOutcome::NodeDied,
        }
    }

    async fn read_stream(
        &self,
        response: Response<Incoming>,
        record: &mut CallerAttempt,
    ) -> CallerOutcome {
        let data = BodyStream::new(response.into_body()).filter_map(|frame| async {
            match frame {
                Ok(frame) => frame.into_data().ok().map(Ok),
                Err(error) => Some(Err(error)),
            }
        });
        let mut events = Box::pin(data.eventsource());
        while let Some(event) = events.next().await {
            let Ok(event) = event else {
                return CallerOutcome::NodeDied;
            };
            if event.event == "error" {
                return CallerOutcome::Interrupted;
            }
            let Some((stream, number)) = event.id.rsplit_once(':') else {
                continue;
            };
            record.first_event.get_or_insert(self.now());
            let number = number.parse().unwrap_or(u64::MAX);
            record.received.push((stream.to_owned(), number));
            if event.data == LAST_EVENT {
                // The emulator sends one event per token, one with the finish reason, and the
                // last event.
                let whole = u64::from(self.plan.tokens) + 2;
                return CallerOutcome::Answered { whole };
            }
        }
        CallerOutcome::NodeDied
    }
}

fn request_header(headers: &HeaderMap) -> String {
    headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn parse_request_id(headers: &HeaderMap) -> Option<RequestId> {
    let name = request_header(headers);
    let (id, _) = name.split_once('-').unwrap_or((name.as_str(), ""));
    id.parse().ok()
}

async fn read_refusal(response: Response<Incoming>) -> CallerOutcome {
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .and_then(|seconds| seconds.parse::<u64>().ok())
        .map(|seconds| seconds * 1_000);
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return CallerOutcome::NodeDied,
    };
    let error: Value = serde_json::from_slice(&body).unwrap_or_default();
    let ran = match error["error"]["ran"].as_str() {
        Some("no") => ExecutionStatus::No,
        _ => ExecutionStatus::Unknown,
    };
    CallerOutcome::Refused {
        reason: parse_refusal_reason(error["error"]["code"].as_str().unwrap_or_default()),
        ran,
        retry_after,
    }
}

fn parse_refusal_reason(code: &str) -> RefusalReason {
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
