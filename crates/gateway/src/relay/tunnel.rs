//! Tunnels: connections to back ends that one gateway opens for another, whose own links are cut.
//!
//! In: requests for tunnels, and bytes of both ends. Out: the same bytes. A tunnel ends when either
//! end closes or fails, and a failure of one end never looks like a complete response at the other.
//! A gateway opens tunnels only to back ends that it knows, and only over its own links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use gorsebank_contract::frame::FrameCodec;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::message::{RelayRequest, RelayResponse, TunnelRefusal, TunnelRequest, TunnelResponse};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::http_connection::{detect_silence, open_stream};
use crate::links::{self, exit_evidence, open_directly};
use crate::shared::Shared;

/// Time limit for a connection to another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for the response to a request for a tunnel: longer than the
/// other gateway takes to connect and to check its own links.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;
/// Mean timer lag above which a gateway leaves its capacity to its own callers.
const MAX_TIMER_LAG: Duration = Duration::from_millis(150);
/// Time without bytes after the last response after which a tunnel counts as idle.
const IDLE_TIME: Duration = Duration::from_millis(1_000);
/// Interval at which a stopping gateway checks whether a tunnel is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long the end of a response may take to reach the origin.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

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

/// Opens a tunnel to a back end through the gateway at `peer`.
///
/// # Errors
///
/// Fails if the gateway does not reply in time, does not know tunnels, or refuses.
pub async fn open(peer: SocketAddr, request: &TunnelRequest) -> Result<TcpStream, TunnelError> {
    let connecting = open_stream(peer, CONNECT_TIMEOUT).await;
    let stream = connecting.map_err(|_| TunnelError::NoReply)?;
    let response = timeout(RESPONSE_TIMEOUT, exchange(stream, request)).await;
    response.map_err(|_| TunnelError::NoReply)?
}

async fn exchange(stream: TcpStream, request: &TunnelRequest) -> Result<TcpStream, TunnelError> {
    let (read, write) = stream.into_split();
    let mut requests = FramedWrite::new(write, FrameCodec::<RelayRequest>::default());
    let mut responses = FramedRead::new(read, FrameCodec::<RelayResponse>::default());
    let sending = requests.send(&RelayRequest::Tunnel(request.clone())).await;
    sending.map_err(|_| TunnelError::NoReply)?;
    match responses.next().await {
        Some(Ok(RelayResponse::Tunnel(TunnelResponse::Opened))) => {}
        Some(Ok(RelayResponse::Tunnel(TunnelResponse::Refused(refusal)))) => {
            return Err(TunnelError::Refused(refusal));
        }
        _ => return Err(TunnelError::Unsupported),
    }
    // A back end sends nothing before its first request.
    if !responses.read_buffer().is_empty() {
        return Err(TunnelError::NoReply);
    }
    let stream = requests.into_inner().reunite(responses.into_inner());
    stream.map_err(|_| TunnelError::NoReply)
}

/// Serves a request for a tunnel on the connection that the request arrived on.
pub(super) async fn serve(mut origin: TcpStream, shared: &Arc<Shared>, request: &TunnelRequest) {
    // Otherwise the tunnel of a gateway that lost power would never end. Without the options, the
    // tunnel still works.
    let _ = detect_silence(&origin);
    let opened = connect(shared, request).await;
    let response = match &opened {
        Ok(_) => TunnelResponse::Opened,
        Err(refusal) => TunnelResponse::Refused(*refusal),
    };
    log_served(request, response);
    let mut responses = FramedWrite::new(&mut origin, FrameCodec::<RelayResponse>::default());
    let is_sent = responses.send(&RelayResponse::Tunnel(response)).await;
    if let (Ok(tunnel), Ok(())) = (opened, is_sent) {
        shared.metrics.open_tunnels.inc();
        copy(origin, tunnel.back_end, shared).await;
        shared.metrics.open_tunnels.dec();
    }
}

fn log_served(request: &TunnelRequest, response: TunnelResponse) {
    let result = match response {
        TunnelResponse::Opened => "opened",
        TunnelResponse::Refused(refusal) => refusal.as_str(),
    };
    let fields = format_args!("back_end={} result={result}", request.back_end);
    event_log::write(LogPriority::Served, "tunnel_served", fields);
}

/// A connection to a back end for another gateway.
struct Tunnel {
    back_end: TcpStream,
    _permit: OwnedSemaphorePermit,
}

async fn connect(shared: &Arc<Shared>, request: &TunnelRequest) -> Result<Tunnel, TunnelRefusal> {
    if shared.is_stopping() {
        return Err(TunnelRefusal::Stopping);
    }
    let is_known = |directory: &Directory| {
        let back_end = directory.back_end(&request.back_end)?;
        let is_active = directory.is_active(&request.back_end);
        (is_active && back_end.incarnation_hash == request.incarnation).then_some(back_end)
    };
    let back_end = shared.directory(is_known);
    let back_end = back_end.ok_or(TunnelRefusal::UnknownBackEnd)?;
    let permit = shared.links.reserve_tunnel();
    let permit = permit.filter(|_| shared.timer_lag() <= MAX_TIMER_LAG);
    let permit = permit.ok_or(TunnelRefusal::Overloaded)?;
    if !request.is_exit_check && shared.links.is_suspect(shared.now()) {
        // The other gateway is better served by a third one, and this one learns of a heal.
        drop(links::start_probe(shared, &back_end));
        return Err(TunnelRefusal::CutOff);
    }
    match open_directly(shared, &back_end).await {
        Ok(stream) => Ok(Tunnel {
            back_end: stream,
            _permit: permit,
        }),
        Err(error) => Err(explain_failure(shared, &back_end, &error).await),
    }
}

/// Why the back end was not reached. Only a refusal can show an exit, so only then is it worth a
/// check of this gateway's own links.
async fn explain_failure(
    shared: &Arc<Shared>,
    back_end: &BackEnd,
    error: &std::io::Error,
) -> TunnelRefusal {
    let is_refused = exit_evidence::is_refusal(error);
    let reaches_others = if is_refused {
        exit_evidence::reaches_any_other(shared, back_end).await
    } else {
        !shared.links.is_suspect(shared.now())
    };
    TunnelRefusal::NotConnected {
        is_refused,
        reaches_others,
    }
}

/// When bytes last passed a tunnel, and in which direction.
#[derive(Clone, Copy)]
struct LastBytes {
    at: Instant,
    are_from_back_end: bool,
}

/// Copies bytes in both directions until either end closes or fails.
async fn copy(mut origin: TcpStream, mut back_end: TcpStream, shared: &Arc<Shared>) {
    let last_bytes = Mutex::new(LastBytes {
        at: Instant::now(),
        are_from_back_end: true,
    });
    let record = |are_from_back_end| {
        *last_bytes.lock() = LastBytes {
            at: Instant::now(),
            are_from_back_end,
        };
    };
    let is_response_complete = {
        let (origin_read, origin_write) = origin.split();
        let (back_end_read, back_end_write) = back_end.split();
        tokio::select! {
            // The origin has closed the connection, which cancels its request.
            _ = copy_direction(origin_read, back_end_write, || record(false)) => return,
            result = copy_direction(back_end_read, origin_write, || record(true)) => result.is_ok(),
            () = wait_until_idle(shared, || *last_bytes.lock()) => true,
        }
    };
    if is_response_complete {
        close(origin).await;
    } else {
        // Without a reset, a response without a length would look complete. If the option cannot
        // be set, the origin has closed the connection already.
        let _ = origin.set_zero_linger();
    }
}

async fn copy_direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    record: impl Fn(),
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        record();
        to.write_all(&buffer[..length]).await?;
    }
}

/// Closes the connection to the origin after the bytes that were written. A close with unread bytes
/// would reset the connection and discard them.
async fn close(mut origin: TcpStream) {
    if origin.shutdown().await.is_err() {
        return;
    }
    let mut discarded = [0; 512];
    let until_closed = async {
        while origin
            .read(&mut discarded)
            .await
            .is_ok_and(|length| length > 0)
        {}
    };
    // An origin that does not close its end has received everything or is gone.
    let _ = timeout(CLOSE_TIMEOUT, until_closed).await;
}

/// Returns when the process stops and the tunnel carries no request.
async fn wait_until_idle(shared: &Shared, last_bytes: impl Fn() -> LastBytes) {
    shared.links.wait_for_idle_close().await;
    loop {
        let last = last_bytes();
        if last.are_from_back_end && last.at.elapsed() >= IDLE_TIME {
            return;
        }
        sleep(IDLE_CHECK_INTERVAL).await;
    }
}
