//! Frames between nodes: a length of four bytes, then a CBOR envelope.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use gorsebank_world::NodeId;
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
    /// The content is no envelope.
    #[error("frame content of {length} bytes is no envelope: {reason}")]
    Content {
        /// The frame's length in bytes.
        length: usize,
        /// What the codec says.
        reason: String,
    },
    /// The envelope cannot be encoded.
    #[error("envelope cannot be encoded: {0}")]
    Encode(String),
}

/// Encodes and decodes envelopes.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: LengthDelimitedCodec,
}

impl Default for EnvelopeCodec {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        EnvelopeCodec { frames }
    }
}

impl Decoder for EnvelopeCodec {
    type Item = Envelope;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
        let Some(frame) = self.frames.decode(source)? else {
            return Ok(None);
        };
        let length = frame.len();
        let envelope =
            ciborium::from_reader(frame.reader()).map_err(|error| FrameError::Content {
                length,
                reason: error.to_string(),
            })?;
        Ok(Some(envelope))
    }
}

impl Encoder<&Envelope> for EnvelopeCodec {
    type Error = FrameError;

    fn encode(&mut self, envelope: &Envelope, target: &mut BytesMut) -> Result<(), FrameError> {
        let content = encode(envelope)?;
        self.frames.encode(content, target)?;
        Ok(())
    }
}

/// The content of a frame.
pub fn encode(envelope: &Envelope) -> Result<Bytes, FrameError> {
    let mut writer = BytesMut::new().writer();
    ciborium::into_writer(envelope, &mut writer)
        .map_err(|error| FrameError::Encode(error.to_string()))?;
    Ok(writer.into_inner().freeze())
}
