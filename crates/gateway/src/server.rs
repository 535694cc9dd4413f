//! Keeps callers' connections, and closes them on a planned stop in a way that
//! cuts no request: answers say `Connection: close` from the stop on, and what
//! still rests later is closed while idle.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::request;
use crate::shared::Shared;

/// Time that idle connections are kept, over what the configuration says.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Rest of a connection before a configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(30);
/// Largest head before a configuration is known, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// Pause after an accept failed, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Part of the grace of a planned stop after which idle connections are closed.
const CLOSE_IDLE_PART: f64 = 0.37;

/// Open connections of callers.
#[derive(Clone)]
pub struct Connections {
    open: Arc<AtomicUsize>,
    close_idle: watch::Sender<bool>,
}

impl Default for Connections {
    fn default() -> Self {
        Connections {
            open: Arc::default(),
            close_idle: watch::channel(false).0,
        }
    }
}

impl Connections {
    /// Waits until callers have gone elsewhere, then until every request has ended.
    pub async fn drain(&self, grace: Duration, poll: Duration) {
        sleep(grace.mul_f64(CLOSE_IDLE_PART)).await;
        self.close_idle.send_replace(true);
        while self.open.load(Ordering::Relaxed) > 0 {
            sleep(poll).await;
        }
    }
}

/// Serves callers until the process ends.
pub async fn serve_callers(shared: Arc<Shared>, listener: TcpListener, connections: Connections) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_connection(shared.clone(), stream, connections.clone());
                tokio::spawn(serving);
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, connections: Connections) {
    connections.open.fetch_add(1, Ordering::Relaxed);
    let _open = OpenConnection(connections.open.clone());
    let _ = stream.set_nodelay(true);
    let (header_bytes, idle) = limits(&shared);
    let service = service_fn(move |request: Request<Incoming>| {
        let answering = request::handle(shared.clone(), request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_header_size(header_bytes)
        .auto_date_header(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut close_idle = connections.close_idle.subscribe();
    tokio::select! {
        // What goes wrong on a connection is the caller's end of it.
        _ = connection.as_mut() => return,
        _ = close_idle.wait_for(|close| *close) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

fn limits(shared: &Shared) -> (usize, Duration) {
    match shared.configuration() {
        Some(configuration) => {
            let limits = &configuration.limits;
            (limits.max_header_bytes, limits.idle_timeout + IDLE_SLACK)
        }
        None => (DEFAULT_HEADER_BYTES, DEFAULT_IDLE),
    }
}

/// Serves small pages, such as readiness or figures.
pub async fn serve_pages<F>(listener: TcpListener, page: F)
where
    F: Fn(&str) -> (StatusCode, Vec<u8>) + Clone + Send + Sync + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = page(request.uri().path());
                async move { Ok::<_, Infallible>(text_answer(status, text)) }
            });
            let serving = http1::Builder::new()
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            let _ = serving.await;
        });
    }
}

fn text_answer(status: StatusCode, text: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
