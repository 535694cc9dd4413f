//! Encoding and decoding of the frames that nodes exchange.
//!
//! A frame is a length of four bytes followed by a value in CBOR.

use std::marker::PhantomData;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use gorsebank_world::NodeId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::PeerMessage;

/// Maximum length of the content of an accepted frame.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending node.
    #[serde(rename = "f")]
    pub from: NodeId,
    /// The message.
    #[serde(rename = "m")]
    pub message: PeerMessage,
}

/// A frame cannot be read or written.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed, or the frame is too long.
    #[error("frame: {0}")]
    Io(#[from] std::io::Error),
    /// The content is not a valid value of the expected type.
    #[error("frame content of {length} bytes is not understood: {reason}")]
    Content {
        /// The length of the content in bytes.
        length: usize,
        /// The error of the CBOR decoder.
        reason: String,
    },
    /// The value cannot be encoded.
    #[error("value cannot be encoded: {0}")]
    Encode(String),
}

/// Encodes and decodes values of one type, each as one frame.
#[derive(Debug)]
pub struct FrameCodec<T> {
    length_codec: LengthDelimitedCodec,
    content: PhantomData<fn() -> T>,
}

/// Encodes and decodes envelopes.
pub type EnvelopeCodec = FrameCodec<Envelope>;

impl<T> Default for FrameCodec<T> {
    fn default() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        FrameCodec {
            length_codec,
            content: PhantomData,
        }
    }
}

impl<T: DeserializeOwned> Decoder for FrameCodec<T> {
    type Item = T;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<T>, FrameError> {
        let Some(frame) = self.length_codec.decode(source)? else {
            return Ok(None);
        };
        let length = frame.len();
        let content =
            ciborium::from_reader(frame.reader()).map_err(|error| FrameError::Content {
                length,
                reason: error.to_string(),
            })?;
        Ok(Some(content))
    }
}

impl<T: Serialize> Encoder<&T> for FrameCodec<T> {
    type Error = FrameError;

    fn encode(&mut self, value: &T, target: &mut BytesMut) -> Result<(), FrameError> {
        let content = encode(value)?;
        self.length_codec.encode(content, target)?;
        Ok(())
    }
}

/// Encodes `value` as the content of a frame, without the length.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, FrameError> {
    let mut writer = BytesMut::new().writer();
    ciborium::into_writer(value, &mut writer)
        .map_err(|error| FrameError::Encode(error.to_string()))?;
    Ok(writer.into_inner().freeze())
}
