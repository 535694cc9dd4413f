//! The messages of the JSON gateway of etcd v3 that are needed for transactions.
//!
//! The messages follow the JSON mapping of Protocol Buffers: keys and values are encoded in base64,
//! 64-bit numbers are written as text, and fields with default values may be absent.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that are serialised as base64 text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(&text)
            .map(Base64)
            .map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number that is serialised as text. A JSON number is accepted as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum TextOrNumber {
            Text(String),
            Number(u64),
        }
        match TextOrNumber::deserialize(deserializer)? {
            TextOrNumber::Number(number) => Ok(Number(number)),
            TextOrNumber::Text(text) => text.parse().map(Number).map_err(serde::de::Error::custom),
        }
    }
}

/// A condition on the revision that last wrote a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareMessage {
    /// The key.
    pub key: Base64,
    /// The compared property: always `MOD`, the revision.
    pub target: String,
    /// The relation: always `EQUAL`.
    pub result: String,
    /// The required revision; 0 if the key must not exist.
    #[serde(default)]
    pub mod_revision: Number,
}

/// A read of one key, or of all keys from `key` to `range_end`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64,
    /// The end of the range, exclusive; empty to read one key.
    #[serde(default, skip_serializing_if = "is_empty")]
    pub range_end: Base64,
}

fn is_empty(bytes: &Base64) -> bool {
    bytes.0.is_empty()
}

/// A write of one key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    #[serde(default)]
    pub value: Base64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// A read.
    RequestRange(RangeRequest),
    /// A write.
    RequestPut(PutRequest),
}

/// A transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions on keys.
    #[serde(default)]
    pub compare: Vec<CompareMessage>,
    /// Operations that are executed if all conditions hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Operations that are executed otherwise.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// The state of the store at the time of the response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// The revision of the store.
    #[serde(default)]
    pub revision: Number,
}

/// A key with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The value.
    #[serde(default)]
    pub value: Base64,
    /// The revision that last wrote the key.
    #[serde(default)]
    pub mod_revision: Number,
}

/// The result of a read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The keys that were read, with their values.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// The result of a write. None of its fields is needed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PutResponse {}

/// The result of one operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// The result of a read.
    ResponseRange(RangeResponse),
    /// The result of a write.
    ResponsePut(PutResponse),
}

/// The result of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnResponse {
    /// The state of the store.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether all conditions held.
    #[serde(default)]
    pub succeeded: bool,
    /// The result of each executed operation, in order.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// The exclusive end of the range of all keys that start with `prefix`. The result is a zero byte,
/// by which etcd denotes the end of all keys, if no key is greater than all keys with the prefix.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
