//! Opens the listeners of a gateway. An address may be unavailable for some time after a start: the
//! previous process has not released it yet, or the machine's network is not up yet. A gateway that
//! ended then would be missing for longer than the cause lasts, so it waits without a limit for an
//! address that callers depend on.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::backoff::Backoff;
use crate::event_log::{self, LogPriority};

/// Time for which a gateway waits for the address of a listener that callers do not depend on.
const MAX_OPTIONAL_WAIT: Duration = Duration::from_secs(3);
/// First pause between two attempts.
const INITIAL_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two attempts.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Interval of the log lines of a gateway that waits for an address.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Binds a listener that callers depend on, and waits for as long as its address is unavailable.
/// Fails on an error that does not pass by itself.
pub async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    bind(address, None)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Binds a listener that callers do not depend on. A failure is logged, and the gateway serves
/// requests without the listener.
pub async fn listen_optional(address: SocketAddr, what: &str) -> Option<TcpListener> {
    match bind(address, Some(MAX_OPTIONAL_WAIT)).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            let fields = format_args!("what={what} address={address} error=\"{error}\"");
            event_log::write(LogPriority::Decision, "not_listening", fields);
            None
        }
    }
}

/// Binds a listener, and tries again while the address is unavailable: for `max_wait`, or without a
/// limit.
async fn bind(address: SocketAddr, max_wait: Option<Duration>) -> Result<TcpListener, Error> {
    let start = Instant::now();
    let mut backoff = Backoff::new(INITIAL_PAUSE, MAX_PAUSE);
    let mut next_log = start;
    loop {
        let may_wait = max_wait.is_none_or(|limit| start.elapsed() < limit);
        let error = match TcpListener::bind(address).await {
            Err(error) if may_pass(&error) && may_wait => error,
            result => return result,
        };
        if Instant::now() >= next_log {
            log_unavailable(address, &error, start.elapsed());
            next_log = Instant::now() + LOG_INTERVAL;
        }
        backoff.wait().await;
    }
}

fn log_unavailable(address: SocketAddr, error: &Error, waited: Duration) {
    let fields = format_args!(
        "address={address} error=\"{error}\" waited_ms={}",
        waited.as_millis()
    );
    event_log::write(LogPriority::Decision, "address_unavailable", fields);
}

/// Whether the cause may end by itself.
fn may_pass(error: &Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable
    )
}
