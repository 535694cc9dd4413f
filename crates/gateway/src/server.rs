//! Serves callers' connections, and closes them on a planned stop without cutting off requests.
//!
//! A gateway reads only as many connections as it has descriptors to serve, and closes others at once
//! with their requests unread, so that their callers can use another gateway.
//!
//! Once the stop begins, responses carry `Connection: close`. Connections that are still open later
//! are closed while they are idle; one that is opened then gets a response to one request.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, Version, header};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nix::sys::resource::{Resource, getrlimit};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::event_log::{self, LogPriority};
use crate::request::{self, ResponseBody, TruncatedBody};
use crate::shared::Shared;

/// How much longer idle connections are kept than the configuration says.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// How long idle connections are kept before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a request head before a configuration is known, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Size up to which the read buffer of a caller's connection grows beyond the maximum head, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Maximum size of the read buffer of a connection that asks for a page, in bytes.
const PAGE_READ_BUFFER_BYTES: usize = 16 << 10;
/// Pause after `accept` failed, for instance for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Fraction of the process's descriptors that connections of callers may use. The rest is for
/// connections to back ends, to other gateways and to the table.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.5;
/// Assumed limit of descriptors if the operating system does not state one.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Time within which the request must arrive on a connection that was opened after idle connections were
/// closed.
const LATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction of the grace period of a planned stop after which idle connections are closed.
const CLOSE_IDLE_FRACTION: f64 = 0.37;

/// Open connections of callers.
#[derive(Clone)]
pub struct CallerConnections {
    open: Arc<AtomicUsize>,
    close_idle: watch::Sender<bool>,
}

impl Default for CallerConnections {
    fn default() -> Self {
        CallerConnections {
            open: Arc::default(),
            close_idle: watch::channel(false).0,
        }
    }
}

impl CallerConnections {
    /// Waits until callers use other gateways, closes idle connections, and waits until every
    /// request has ended.
    pub async fn drain(&self, grace: Duration, poll: Duration) {
        sleep(grace.mul_f64(CLOSE_IDLE_FRACTION)).await;
        self.close_idle.send_replace(true);
        while self.open.load(Ordering::Relaxed) > 0 {
            sleep(poll).await;
        }
    }
}

/// Accepts and serves connections of callers until the process ends.
pub async fn serve_callers(
    shared: Arc<Shared>,
    listener: TcpListener,
    connections: CallerConnections,
) {
    let max_open = max_open_connections();
    let mut was_full = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let is_full = connections.open.load(Ordering::Relaxed) >= max_open;
                if is_full != std::mem::replace(&mut was_full, is_full) {
                    let fields = format_args!("full={is_full} max_open={max_open}");
                    event_log::write(LogPriority::Decision, "caller_connections", fields);
                }
                if is_full {
                    shared.metrics.unread_connections.inc();
                    continue;
                }
                let open = OpenConnection::new(&connections);
                let close_idle = connections.close_idle.subscribe();
                tokio::spawn(serve_connection(shared.clone(), stream, open, close_idle));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Number of callers' connections that the process has descriptors for.
fn max_open_connections() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE);
    let descriptors = limit.map_or(DEFAULT_DESCRIPTORS, |(soft, _)| soft);
    (descriptors as f64 * CALLER_DESCRIPTOR_FRACTION) as usize
}

/// Counts a connection as open until dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(connections: &CallerConnections) -> Self {
        connections.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(connections.open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    _open: OpenConnection,
    mut close_idle: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let (header_bytes, idle) = limits(&shared);
    let truncation = HiddenTruncation::default();
    let watching = truncation.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (watching, version) = (watching.clone(), request.version());
        let handling = request::handle(shared.clone(), request);
        async move { Ok::<_, Infallible>(watching.watch(version, handling.await)) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_header_size(header_bytes)
        .max_buf_size(header_bytes.saturating_add(READ_BUFFER_BYTES))
        .auto_date_header(false);
    let is_late = *close_idle.borrow_and_update();
    if is_late {
        builder.header_read_timeout(LATE_REQUEST_TIMEOUT);
    }
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    // An error on a connection concerns only its caller.
    let is_open = if is_late {
        // The caller is told that its request did not run, and the response ends the connection.
        let _ = (&mut connection).await;
        false
    } else {
        tokio::select! {
            _ = &mut connection => false,
            _ = close_idle.wait_for(|close| *close) => true,
        }
    };
    if is_open {
        Pin::new(&mut connection).graceful_shutdown();
        let _ = (&mut connection).await;
    }
    if truncation.has_occurred() {
        // If the option cannot be set, the caller has closed the connection already.
        let _ = connection.into_parts().io.into_inner().set_zero_linger();
    }
}

/// Whether a response was truncated without a sign of it in its bytes. A caller without chunks takes a
/// proper end of the connection for the end of the response, so the connection has to be reset.
#[derive(Clone, Default)]
struct HiddenTruncation(Arc<AtomicBool>);

impl HiddenTruncation {
    /// Records if the body of this response to a request of the given HTTP version is truncated.
    fn watch(
        self,
        version: Version,
        response: Response<ResponseBody>,
    ) -> Response<impl Body<Data = Bytes, Error = TruncatedBody>> {
        let is_hidden = version < Version::HTTP_11;
        let record = move |truncated| {
            self.0.store(is_hidden, Ordering::Relaxed);
            truncated
        };
        response.map(|body| body.map_err(record))
    }

    fn has_occurred(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

fn limits(shared: &Shared) -> (usize, Duration) {
    match shared.configuration() {
        Some(configuration) => {
            let limits = &configuration.limits;
            (limits.max_header_bytes, limits.idle_timeout + IDLE_MARGIN)
        }
        None => (DEFAULT_MAX_HEADER_BYTES, DEFAULT_IDLE_TIMEOUT),
    }
}

/// Serves small pages, such as readiness or metrics.
pub async fn serve_pages<F>(listener: TcpListener, page: F)
where
    F: Fn(&str) -> (StatusCode, Vec<u8>) + Clone + Send + Sync + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = page(request.uri().path());
                async move { Ok::<_, Infallible>(text_response(status, text)) }
            });
            let serving = http1::Builder::new()
                .max_buf_size(PAGE_READ_BUFFER_BYTES)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            let _ = serving.await;
        });
    }
}

fn text_response(status: StatusCode, text: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
