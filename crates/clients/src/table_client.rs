//! Client of the platform's table service, through the JSON gateway of etcd v3.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gorsebank_contract::{TableRow, Transaction, TransactionResult};
use http::Method;

use crate::etcd::{
    Base64, CompareMessage, KeyValue, Number, PutRequest, RangeRequest, RequestOp, ResponseOp,
    TxnRequest, TxnResponse, prefix_end,
};
use crate::http_client::HttpClient;

const TXN_PATH: &str = "/v3/kv/txn";

/// A client of the table service. After a failed call, the next call uses the next address.
#[derive(Debug)]
pub struct TableClient {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    address_index: AtomicUsize,
    prefix: String,
    timeout: Duration,
}

impl TableClient {
    /// Creates a client that stores its rows under the key prefix `prefix`.
    pub fn new(
        http: HttpClient,
        addresses: Vec<SocketAddr>,
        prefix: String,
        timeout: Duration,
    ) -> Self {
        TableClient {
            http,
            addresses,
            address_index: AtomicUsize::new(0),
            prefix,
            timeout,
        }
    }

    /// Runs a transaction. Any failure yields [`TableAnswer::Unknown`], because the service may have
    /// committed the transaction or may still commit it.
    pub async fn transact(&self, transaction: &Transaction) -> TransactionResult {
        let request = self.build_request(transaction);
        let index = self.address_index.load(Ordering::Relaxed);
        let Some(address) = self.addresses.get(index % self.addresses.len().max(1)) else {
            return TransactionResult::Unknown;
        };
        let result = self
            .http
            .call::<_, TxnResponse>(
                Method::POST,
                *address,
                TXN_PATH,
                Some(&request),
                self.timeout,
            )
            .await;
        match result {
            Ok((status, response)) if status.is_success() => self.decode_response(response),
            _ => {
                self.address_index
                    .store(index.wrapping_add(1), Ordering::Relaxed);
                TransactionResult::Unknown
            }
        }
    }

    fn build_request(&self, transaction: &Transaction) -> TxnRequest {
        let compare = transaction
            .compares
            .iter()
            .map(|compare| CompareMessage {
                key: self.encode_key(&compare.key),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: Number(compare.modified),
            })
            .collect();
        let puts = transaction.puts.iter().map(|put| {
            RequestOp::RequestPut(PutRequest {
                key: self.encode_key(&put.key),
                value: Base64(put.value.clone().into_bytes()),
            })
        });
        let reads = || transaction.reads.iter().map(|read| self.build_range(read));
        TxnRequest {
            compare,
            success: puts.chain(reads()).collect(),
            failure: reads().collect(),
        }
    }

    fn encode_key(&self, key: &str) -> Base64 {
        Base64(format!("{}{key}", self.prefix).into_bytes())
    }

    fn build_range(&self, read: &str) -> RequestOp {
        let key = self.encode_key(read);
        let range_end = if read.ends_with('/') {
            Base64(prefix_end(&key.0))
        } else {
            Base64::default()
        };
        RequestOp::RequestRange(RangeRequest { key, range_end })
    }

    fn decode_response(&self, response: TxnResponse) -> TransactionResult {
        let rows = response
            .responses
            .into_iter()
            .filter_map(|operation| match operation {
                ResponseOp::ResponseRange(range) => Some(range.kvs),
                ResponseOp::ResponsePut(_) => None,
            })
            .flatten()
            .filter_map(|pair| self.decode_row(pair))
            .collect();
        if response.succeeded {
            TransactionResult::Committed {
                revision: response.header.revision.0,
                rows,
            }
        } else {
            TransactionResult::Conflict { rows }
        }
    }

    fn decode_row(&self, pair: KeyValue) -> Option<TableRow> {
        let key = String::from_utf8(pair.key.0).ok()?;
        let key = key.strip_prefix(&self.prefix)?.to_owned();
        let value = String::from_utf8(pair.value.0).ok()?;
        Some(TableRow {
            key,
            value,
            modified: pair.mod_revision.0,
        })
    }
}
