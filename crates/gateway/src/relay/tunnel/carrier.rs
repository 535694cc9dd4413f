//! The end of a tunnel at the gateway that reaches the back end.
//!
//! In: requests for tunnels, and bytes of both ends. Out: the same bytes, and how the back end's
//! connection ended. A gateway opens tunnels only to back ends that it knows, and only over its own
//! links.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::SinkExt;
use gorsebank_contract::frame::FrameCodec;
use gorsebank_fleet::PathOrder;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::FramedWrite;

use super::BUFFER_BYTES;
use super::frames::{TunnelEnd, TunnelFrame, TunnelFrameCodec};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::http_connection::detect_silence;
use crate::links::{self, StopPhase, exit_evidence, open_directly};
use crate::relay::message::{RelayResponse, TunnelRefusal, TunnelRequest, TunnelResponse};
use crate::shared::Shared;

/// Mean timer lag above which a gateway leaves its capacity to its own callers.
const MAX_TIMER_LAG: Duration = Duration::from_millis(150);
/// Time without bytes after the last response after which a bare tunnel counts as idle. Callers give
/// up no sooner than after two seconds of silence.
const IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Interval at which a stopping gateway checks whether a bare tunnel is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long the end of a response may take to reach the origin.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a request for a tunnel on the connection that the request arrived on.
pub(in crate::relay) async fn serve(
    mut origin: TcpStream,
    shared: &Arc<Shared>,
    request: &TunnelRequest,
) {
    // Otherwise the tunnel of a gateway that lost power would never end. Without the options, the
    // tunnel still works.
    let _ = detect_silence(&origin);
    let opened = connect(shared, request).await;
    let response = match &opened {
        Ok(_) if request.accepts_frames => TunnelResponse::OpenedFramed,
        Ok(_) => TunnelResponse::Opened,
        Err(refusal) => TunnelResponse::Refused(*refusal),
    };
    log_served(request, response);
    let mut responses = FramedWrite::new(&mut origin, FrameCodec::<RelayResponse>::default());
    let is_sent = responses.send(&RelayResponse::Tunnel(response)).await;
    if let (Ok(tunnel), Ok(())) = (opened, is_sent) {
        shared.metrics.open_tunnels.inc();
        let end = if request.accepts_frames {
            copy_framed(origin, tunnel.back_end, shared).await
        } else {
            copy_bare(origin, tunnel.back_end, shared).await
        };
        shared.metrics.open_tunnels.dec();
        record_end(shared, request, end);
    }
}

/// Why a tunnel is not carried any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CarriedEnd {
    /// The back end's connection ended.
    BackEnd(TunnelEnd),
    /// The origin closed the tunnel, or does not accept any more bytes.
    OriginLeft,
    /// This gateway is stopping, and the tunnel seemed to be idle.
    Idle,
}

fn record_end(shared: &Shared, request: &TunnelRequest, end: CarriedEnd) {
    let label = match end {
        CarriedEnd::BackEnd(end) => end.as_str(),
        CarriedEnd::OriginLeft => "origin_left",
        CarriedEnd::Idle => "idle",
    };
    shared.metrics.record_tunnel_end("carrier", label);
    let fields = format_args!("back_end={} side=carrier end={label}", request.back_end);
    event_log::write(LogPriority::Served, "tunnel_end", fields);
}

fn log_served(request: &TunnelRequest, response: TunnelResponse) {
    let result = match response {
        TunnelResponse::Opened => "opened",
        TunnelResponse::OpenedFramed => "opened_framed",
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
    if !request.is_exit_check && shared.links.faulty_since(shared.now()).is_some() {
        // The other gateway is better served by a third one, and this one learns of a heal.
        drop(links::start_probe(shared, &back_end));
        return Err(TunnelRefusal::CutOff);
    }
    let now = shared.now();
    let is_withheld = shared.links.path_order(now, &back_end) == PathOrder::PeersOnly;
    if !request.is_exit_check && is_withheld {
        drop(links::start_probe(shared, &back_end));
        return Err(TunnelRefusal::NotConnected {
            is_refused: false,
            reaches_others: knows_responding_other(shared, &back_end),
        });
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
    error: &io::Error,
) -> TunnelRefusal {
    let is_refused = exit_evidence::is_refusal(error);
    let reaches_others = if is_refused {
        exit_evidence::reaches_any_other(shared, back_end).await
    } else {
        !shared.links.is_suspect(shared.now()) || knows_responding_other(shared, back_end)
    };
    TunnelRefusal::NotConnected {
        is_refused,
        reaches_others,
    }
}

/// Whether there is another back end that did not fail recently.
fn knows_responding_other(shared: &Shared, back_end: &BackEnd) -> bool {
    let now = shared.now();
    let sample = |it: &Directory| it.sample_responding_others(now, &back_end.id, 1);
    let sampled = shared.directory(sample);
    sampled.iter().any(|other| !other.health().is_paused(now))
}

/// Copies requests and sends responses in frames, until either end closes or fails.
async fn copy_framed(
    mut origin: TcpStream,
    mut back_end: TcpStream,
    shared: &Shared,
) -> CarriedEnd {
    let end = {
        let (origin_read, origin_write) = origin.split();
        let (back_end_read, back_end_write) = back_end.split();
        tokio::select! {
            () = copy_requests(origin_read, back_end_write, || {}) => return CarriedEnd::OriginLeft,
            end = send_responses(back_end_read, origin_write, shared) => end,
        }
    };
    let Ok(end) = end else {
        return CarriedEnd::OriginLeft;
    };
    close(origin).await;
    CarriedEnd::BackEnd(end)
}

/// Sends the back end's bytes in frames. Returns how its connection ended, after sending that too.
///
/// # Errors
///
/// Fails if the origin does not accept the frames.
async fn send_responses(
    mut from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    shared: &Shared,
) -> io::Result<TunnelEnd> {
    let mut frames = FramedWrite::new(to, TunnelFrameCodec::default());
    let mut buffer = BytesMut::new();
    let mut stopping = pin!(shared.links.wait_for_stop(StopPhase::Announced));
    let mut is_announced = false;
    loop {
        buffer.reserve(BUFFER_BYTES);
        let end = tokio::select! {
            () = stopping.as_mut(), if !is_announced => {
                is_announced = true;
                frames.send(TunnelFrame::Stopping).await?;
                continue;
            }
            read = from.read_buf(&mut buffer) => match read {
                Ok(0) => TunnelEnd::Closed,
                Err(_) => TunnelEnd::Failed,
                Ok(_) => {
                    frames.send(TunnelFrame::Data(buffer.split().freeze())).await?;
                    continue;
                }
            },
        };
        frames.send(TunnelFrame::End(end)).await?;
        return Ok(end);
    }
}

/// When bytes last passed a tunnel, and in which direction.
#[derive(Clone, Copy)]
struct LastBytes {
    at: Instant,
    are_from_back_end: bool,
}

/// Copies bytes in both directions until either end closes or fails, for an origin of an earlier
/// build. Such an origin takes a proper end of the tunnel for the end of a response without a length.
async fn copy_bare(mut origin: TcpStream, mut back_end: TcpStream, shared: &Shared) -> CarriedEnd {
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
    let end = {
        let (origin_read, origin_write) = origin.split();
        let (back_end_read, back_end_write) = back_end.split();
        tokio::select! {
            () = copy_requests(origin_read, back_end_write, || record(false)) => {
                return CarriedEnd::OriginLeft;
            }
            result = copy_responses(back_end_read, origin_write, || record(true)) => match result {
                Ok(()) => CarriedEnd::BackEnd(TunnelEnd::Closed),
                Err(_) => CarriedEnd::BackEnd(TunnelEnd::Failed),
            },
            () = wait_until_idle(shared, || *last_bytes.lock()) => CarriedEnd::Idle,
        }
    };
    if end == CarriedEnd::BackEnd(TunnelEnd::Closed) {
        close(origin).await;
    } else {
        // If the option cannot be set, the origin has closed the connection already.
        let _ = origin.set_zero_linger();
    }
    end
}

/// Copies requests until the origin closes the tunnel. A back end that accepts no more bytes may
/// have responded already, so its own direction decides how the tunnel ends.
async fn copy_requests(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, record: impl Fn()) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_accepting = true;
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        record();
        is_accepting = is_accepting && to.write_all(&buffer[..length]).await.is_ok();
    }
}

async fn copy_responses(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    record: impl Fn(),
) -> io::Result<()> {
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

/// Returns when the process stops and the tunnel seems to carry no request. Only the origin knows
/// whether it does.
async fn wait_until_idle(shared: &Shared, last_bytes: impl Fn() -> LastBytes) {
    shared.links.wait_for_stop(StopPhase::ClosesIdle).await;
    loop {
        let last = last_bytes();
        if last.are_from_back_end && last.at.elapsed() >= IDLE_TIME {
            return;
        }
        sleep(IDLE_CHECK_INTERVAL).await;
    }
}
