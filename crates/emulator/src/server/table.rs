//! An emulated table service with the transactions of the v3 JSON gateway of etcd.
//!
//! `PUT /fault` injects a fault: `"down"` (calls are not executed and get no
//! response in time), `"silent"` (calls are executed and get no response in time) or
//! `"slow"` (responses are delayed). `"none"` ends the fault.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{post, put};
use axum::{Json, Router};
use gorsebank_clients::etcd::{
    Base64, KeyValue, Number, PutResponse, RangeRequest, RangeResponse, RequestOp, ResponseHeader,
    ResponseOp, TxnRequest, TxnResponse,
};
use gorsebank_contract::{Compare, Put, TableRow, Transaction, TransactionResult};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::model::table::TableModel;

/// The delay of each response while the table is slow.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(400);
/// The time after which a call that gets no response ends with an error.
const HANG_DURATION: Duration = Duration::from_secs(3);

/// A fault of the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableFault {
    /// No fault.
    #[default]
    None,
    /// Calls are not executed and get no response in time.
    Down,
    /// Calls are executed but get no response in time.
    Silent,
    /// Responses are delayed.
    Slow,
}

/// The state of the emulated table service.
#[derive(Debug, Default)]
pub struct TableServer {
    table: Mutex<TableModel>,
    fault: Mutex<TableFault>,
}

/// The routes of the table service.
pub fn router(server: Arc<TableServer>) -> Router {
    Router::new()
        .route("/v3/kv/txn", post(run_transaction))
        .route("/v3/kv/range", post(read_range))
        .route("/fault", put(set_fault))
        .with_state(server)
}

async fn set_fault(State(server): State<Arc<TableServer>>, Json(fault): Json<TableFault>) {
    *server.fault.lock() = fault;
}

async fn run_transaction(
    State(server): State<Arc<TableServer>>,
    Json(request): Json<TxnRequest>,
) -> Result<Json<TxnResponse>, StatusCode> {
    let fault = *server.fault.lock();
    if fault == TableFault::Down {
        tokio::time::sleep(HANG_DURATION).await;
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let response = execute(&server, &request);
    match fault {
        TableFault::Silent => {
            tokio::time::sleep(HANG_DURATION).await;
            Err(StatusCode::GATEWAY_TIMEOUT)
        }
        TableFault::Slow => {
            tokio::time::sleep(SLOW_RESPONSE_DELAY).await;
            Ok(Json(response))
        }
        TableFault::None | TableFault::Down => Ok(Json(response)),
    }
}

async fn read_range(
    State(server): State<Arc<TableServer>>,
    Json(request): Json<RangeRequest>,
) -> Json<RangeResponse> {
    let kvs = server
        .table
        .lock()
        .rows_under(&read_key(&request))
        .into_iter()
        .map(key_value)
        .collect();
    Json(RangeResponse { kvs })
}

fn execute(server: &TableServer, request: &TxnRequest) -> TxnResponse {
    let transaction = transaction(request);
    let answer = server.table.lock().transact(&transaction);
    let put_count = transaction.puts.len();
    match answer {
        TransactionResult::Committed { revision, rows } => TxnResponse {
            header: ResponseHeader {
                revision: Number(revision),
            },
            succeeded: true,
            responses: responses(put_count, rows),
        },
        TransactionResult::Conflict { rows } => TxnResponse {
            responses: responses(0, rows),
            ..TxnResponse::default()
        },
        TransactionResult::Refused { .. } | TransactionResult::Unknown => TxnResponse::default(),
    }
}

fn transaction(request: &TxnRequest) -> Transaction {
    let compares = request
        .compare
        .iter()
        .map(|compare| Compare {
            key: text(&compare.key),
            modified: compare.mod_revision.0,
        })
        .collect();
    let mut puts = Vec::new();
    let mut reads = Vec::new();
    for operation in &request.success {
        match operation {
            RequestOp::RequestPut(put) => puts.push(Put {
                key: text(&put.key),
                value: text(&put.value),
            }),
            RequestOp::RequestRange(range) => reads.push(read_key(range)),
        }
    }
    Transaction {
        compares,
        puts,
        reads,
    }
}

/// The key of a range request. The emulated table supports one key, or a prefix that
/// ends in `/`; gorsebank uses no other ranges.
fn read_key(range: &RangeRequest) -> String {
    text(&range.key)
}

fn responses(put_count: usize, rows: Vec<TableRow>) -> Vec<ResponseOp> {
    let puts = (0..put_count).map(|_| ResponseOp::ResponsePut(PutResponse {}));
    let kvs = rows.into_iter().map(key_value).collect();
    let range = ResponseOp::ResponseRange(RangeResponse { kvs });
    puts.chain([range]).collect()
}

fn key_value(row: TableRow) -> KeyValue {
    KeyValue {
        key: Base64(row.key.into_bytes()),
        value: Base64(row.value.into_bytes()),
        mod_revision: Number(row.modified),
    }
}

fn text(bytes: &Base64) -> String {
    String::from_utf8_lossy(&bytes.0).into_owned()
}
