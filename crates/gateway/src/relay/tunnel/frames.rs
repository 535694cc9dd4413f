//! Frames with which a carrier sends a back end's responses to the origin.
//!
//! A frame is a length of four bytes, a byte for its kind, and the data.

use std::io;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum length of an accepted frame without its length field.
const MAX_FRAME_BYTES: usize = 64 * 1024;
const KIND_BYTES: usize = 1;

const DATA: u8 = 0;
const STOPPING: u8 = 1;
const CLOSED: u8 = 2;
const FAILED: u8 = 3;

/// How a back end's connection ended, as the carrier observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelEnd {
    /// The back end closed it after its last byte.
    Closed,
    /// It was reset, or its peer went silent.
    Failed,
}

impl TunnelEnd {
    /// Value for log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            TunnelEnd::Closed => "closed",
            TunnelEnd::Failed => "failed",
        }
    }
}

/// What a carrier sends to the origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TunnelFrame {
    /// Bytes of the back end.
    Data(Bytes),
    /// The carrier is stopping: the origin should close the tunnel once it carries no request.
    Stopping,
    /// The last frame.
    End(TunnelEnd),
}

/// Encodes and decodes [`TunnelFrame`]s.
#[derive(Debug)]
pub struct TunnelFrameCodec(LengthDelimitedCodec);

impl Default for TunnelFrameCodec {
    fn default() -> Self {
        let builder = &mut LengthDelimitedCodec::builder();
        TunnelFrameCodec(builder.max_frame_length(MAX_FRAME_BYTES).new_codec())
    }
}

impl Encoder<TunnelFrame> for TunnelFrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: TunnelFrame, target: &mut BytesMut) -> io::Result<()> {
        let (kind, data) = match frame {
            TunnelFrame::Data(data) => (DATA, data),
            TunnelFrame::Stopping => (STOPPING, Bytes::new()),
            TunnelFrame::End(TunnelEnd::Closed) => (CLOSED, Bytes::new()),
            TunnelFrame::End(TunnelEnd::Failed) => (FAILED, Bytes::new()),
        };
        let length = u32::try_from(KIND_BYTES + data.len()).map_err(io::Error::other)?;
        target.put_u32(length);
        target.put_u8(kind);
        target.put(data);
        Ok(())
    }
}

impl Decoder for TunnelFrameCodec {
    type Item = TunnelFrame;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<TunnelFrame>> {
        let Some(mut content) = self.0.decode(source)? else {
            return Ok(None);
        };
        let kind = content.try_get_u8().map_err(io::Error::other)?;
        let frame = match kind {
            DATA => TunnelFrame::Data(content.freeze()),
            STOPPING => TunnelFrame::Stopping,
            CLOSED => TunnelFrame::End(TunnelEnd::Closed),
            FAILED => TunnelFrame::End(TunnelEnd::Failed),
            unknown => {
                let message = format!("unknown kind of tunnel frame: {unknown}");
                return Err(io::Error::new(io::ErrorKind::InvalidData, message));
            }
        };
        Ok(Some(frame))
    }
}
