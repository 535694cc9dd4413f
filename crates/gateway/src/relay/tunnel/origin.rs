//! The end of a tunnel at the gateway that uses it.
//!
//! In: the address of a gateway and a request for a tunnel. Out: a byte stream to the back end, which
//! ends properly only if the carrier stated that the back end closed its connection.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, BoxStream};
use futures_util::{SinkExt, StreamExt};
use gorsebank_contract::frame::FrameCodec;
use tokio::io::{AsyncReadExt, Join, join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::io::StreamReader;

use super::BUFFER_BYTES;
use super::frames::{TunnelEnd, TunnelFrame, TunnelFrameCodec};
use crate::http_connection::open_stream;
use crate::relay::message::{
    RelayRequest, RelayResponse, TunnelRefusal, TunnelRequest, TunnelResponse,
};

/// Time limit for a connection to another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for the response to a request for a tunnel: longer than the
/// other gateway takes to connect and to check its own links.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Why there is no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelError {
    /// The gateway did not reply.
    NoReply,
    /// The gateway closed the connection without a response, as an earlier build does.
    Unsupported,
    /// The gateway refused.
    Refused(TunnelRefusal),
}

impl TunnelError {
    /// Value for log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            TunnelError::NoReply => "no_reply",
            TunnelError::Unsupported => "unsupported",
            TunnelError::Refused(refusal) => refusal.as_str(),
        }
    }
}

/// An open tunnel, on which nothing was sent yet. Dropping it closes it.
#[derive(Debug)]
pub struct Tunnel {
    responses: Responses,
    requests: OwnedWriteHalf,
}

/// The direction from the back end to the origin.
#[derive(Debug)]
enum Responses {
    Framed(FramedRead<OwnedReadHalf, TunnelFrameCodec>),
    /// The carrier is of an earlier build, which does not state how the back end's connection ended.
    Bare(OwnedReadHalf),
}

/// What the origin learns of a tunnel besides the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelEvent {
    /// The carrier is stopping, so the tunnel should be closed once it carries no request.
    CarrierStopping,
    /// The back end's connection ended.
    Ended(TunnelEnd),
    /// The tunnel ended, and nothing is known of the back end's connection.
    Lost,
}

impl TunnelEvent {
    /// How the tunnel ended, for log lines and metric labels; `None` if it has not ended.
    pub fn end(self) -> Option<&'static str> {
        match self {
            TunnelEvent::CarrierStopping => None,
            TunnelEvent::Ended(end) => Some(end.as_str()),
            TunnelEvent::Lost => Some("lost"),
        }
    }
}

/// What the origin has learned of a tunnel so far.
#[derive(Debug, Default)]
pub struct TunnelStatus {
    is_carrier_stopping: AtomicBool,
    has_back_end_ended: AtomicBool,
}

impl TunnelStatus {
    /// Records an event of the tunnel.
    pub fn record(&self, event: TunnelEvent) {
        match event {
            TunnelEvent::CarrierStopping => self.is_carrier_stopping.store(true, Ordering::Release),
            TunnelEvent::Ended(_) => self.has_back_end_ended.store(true, Ordering::Release),
            TunnelEvent::Lost => {}
        }
    }

    /// Whether the tunnel must carry no further request, since its carrier is stopping.
    pub fn is_carrier_stopping(&self) -> bool {
        self.is_carrier_stopping.load(Ordering::Acquire)
    }

    /// Whether the carrier stated that the back end's connection ended, so that the end of the tunnel
    /// is no fault of the carrier.
    pub fn has_back_end_ended(&self) -> bool {
        self.has_back_end_ended.load(Ordering::Acquire)
    }
}

/// The byte stream of a tunnel.
pub type TunnelStream =
    Join<StreamReader<BoxStream<'static, io::Result<Bytes>>, Bytes>, OwnedWriteHalf>;

/// Opens a tunnel to a back end through the gateway at `peer`.
///
/// # Errors
///
/// Fails if the gateway does not reply in time, does not know tunnels, or refuses.
pub async fn open(peer: SocketAddr, request: &TunnelRequest) -> Result<Tunnel, TunnelError> {
    let connecting = open_stream(peer, CONNECT_TIMEOUT).await;
    let stream = connecting.map_err(|_| TunnelError::NoReply)?;
    let response = timeout(RESPONSE_TIMEOUT, exchange(stream, request)).await;
    response.map_err(|_| TunnelError::NoReply)?
}

async fn exchange(stream: TcpStream, request: &TunnelRequest) -> Result<Tunnel, TunnelError> {
    let (read, write) = stream.into_split();
    let mut requests = FramedWrite::new(write, FrameCodec::<RelayRequest>::default());
    let mut responses = FramedRead::new(read, FrameCodec::<RelayResponse>::default());
    let sending = requests.send(&RelayRequest::Tunnel(request.clone())).await;
    sending.map_err(|_| TunnelError::NoReply)?;
    let response = match responses.next().await {
        Some(Ok(RelayResponse::Tunnel(response))) => response,
        _ => return Err(TunnelError::Unsupported),
    };
    let responses = match response {
        TunnelResponse::OpenedFramed => {
            Responses::Framed(responses.map_decoder(|_| TunnelFrameCodec::default()))
        }
        // A back end sends nothing before its first request.
        TunnelResponse::Opened if responses.read_buffer().is_empty() => {
            Responses::Bare(responses.into_inner())
        }
        TunnelResponse::Opened => return Err(TunnelError::NoReply),
        TunnelResponse::Refused(refusal) => return Err(TunnelError::Refused(refusal)),
    };
    Ok(Tunnel {
        responses,
        requests: requests.into_inner(),
    })
}

impl Tunnel {
    /// Whether the carrier states how the back end's connection ends.
    pub fn is_framed(&self) -> bool {
        matches!(self.responses, Responses::Framed(_))
    }

    /// Turns the tunnel into a byte stream. `observe` is called while the stream is read, before the
    /// reader learns of an end.
    pub fn into_stream(
        self,
        observe: impl Fn(TunnelEvent) + Send + Sync + 'static,
    ) -> TunnelStream {
        let data = match self.responses {
            Responses::Framed(frames) => framed_data(frames, observe).boxed(),
            Responses::Bare(read) => bare_data(read, observe).boxed(),
        };
        join(StreamReader::new(data), self.requests)
    }
}

fn framed_data(
    frames: FramedRead<OwnedReadHalf, TunnelFrameCodec>,
    observe: impl Fn(TunnelEvent) + Send + Sync,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    stream::try_unfold((frames, observe), async |(mut frames, observe)| {
        loop {
            match frames.next().await {
                Some(Ok(TunnelFrame::Data(data))) => return Ok(Some((data, (frames, observe)))),
                Some(Ok(TunnelFrame::Stopping)) => observe(TunnelEvent::CarrierStopping),
                Some(Ok(TunnelFrame::End(end))) => {
                    observe(TunnelEvent::Ended(end));
                    return match end {
                        TunnelEnd::Closed => Ok(None),
                        TunnelEnd::Failed => Err(io::ErrorKind::ConnectionReset.into()),
                    };
                }
                Some(Err(error)) => {
                    observe(TunnelEvent::Lost);
                    return Err(error);
                }
                None => {
                    observe(TunnelEvent::Lost);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    })
}

/// Any end of a bare tunnel is an error, so that only responses that state their length are complete.
fn bare_data(
    read: OwnedReadHalf,
    observe: impl Fn(TunnelEvent) + Send + Sync,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    stream::try_unfold((read, observe), async |(mut read, observe)| {
        let mut data = Vec::with_capacity(BUFFER_BYTES);
        match read.read_buf(&mut data).await {
            Ok(length) if length > 0 => Ok(Some((Bytes::from(data), (read, observe)))),
            result => {
                observe(TunnelEvent::Lost);
                Err(result.err().unwrap_or(io::ErrorKind::UnexpectedEof.into()))
            }
        }
    })
}
