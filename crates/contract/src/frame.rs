//! Frames between nodes: a length of four bytes, then a value in CBOR.

use std::marker::PhantomData;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use gorsebank_world::NodeId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::PeerMessage;

/// Longest frame that is accepted, in bytes.
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

/// What is wrong with a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed, or the frame is too long.
    #[error("frame: {0}")]
    Io(#[from] std::io::Error),
    /// The content is not what is expected.
    #[error("frame content of {length} bytes is not understood: {reason}")]
    Content {
        /// The frame's length in bytes.
        length: usize,
        /// What the codec says.
        reason: String,
    },
    /// The value cannot be encoded.
    #[error("value cannot be encoded: {0}")]
    Encode(String),
}

/// Encodes and decodes values of one type, a frame each.
#[derive(Debug)]
pub struct FrameCodec<T> {
    frames: LengthDelimitedCodec,
    content: PhantomData<fn() -> T>,
}

/// Encodes and decodes envelopes.
pub type EnvelopeCodec = FrameCodec<Envelope>;

impl<T> Default for FrameCodec<T> {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        FrameCodec {
            frames,
            content: PhantomData,
        }
    }
}

impl<T: DeserializeOwned> Decoder for FrameCodec<T> {
    type Item = T;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<T>, FrameError> {
        let Some(frame) = self.frames.decode(source)? else {
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
        self.frames.encode(content, target)?;
        Ok(())
    }
}

/// The content of a frame.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, FrameError> {
    let mut writer = BytesMut::new().writer();
    ciborium::into_writer(value, &mut writer)
        .map_err(|error| FrameError::Encode(error.to_string()))?;
    Ok(writer.into_inner().freeze())
}
