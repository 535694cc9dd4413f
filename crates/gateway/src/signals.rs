//! Signals that a process handles from its start to its end.
//!
//! A handler replaces the default action of a signal, which ends the process, for as long as the
//! process runs. Signals that arrive before they are waited for are not lost.

use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::event_log::{self, LogPriority};

/// The signals that stop a process: SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Requires an async runtime.
    pub fn register() -> eyre::Result<Self> {
        Ok(StopSignals {
            terminate: register(SignalKind::terminate(), "SIGTERM")?,
            interrupt: register(SignalKind::interrupt(), "SIGINT")?,
        })
    }

    /// Returns the name of the next signal when it arrives.
    pub async fn wait(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}

/// The signals of a gateway: those that stop it, and SIGHUP.
#[derive(Debug)]
pub struct GatewaySignals {
    stop: StopSignals,
    hang_up: Signal,
}

impl GatewaySignals {
    /// Installs the handlers. Requires an async runtime.
    pub fn register() -> eyre::Result<Self> {
        Ok(GatewaySignals {
            stop: StopSignals::register()?,
            hang_up: register(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Returns on SIGTERM or SIGINT. SIGHUP is only logged: everything that can change at run time
    /// comes from the table, not from the settings file.
    pub async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                name = self.stop.wait() => return log_signal(name),
                _ = self.hang_up.recv() => log_reload(),
            }
        }
    }

    /// Completes `work`, and only logs signals meanwhile.
    pub async fn log_until<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                output = &mut work => return output,
                () = self.wait_for_stop() => {}
            }
        }
    }
}

fn register(kind: SignalKind, name: &str) -> eyre::Result<Signal> {
    signal(kind).wrap_err_with(|| format!("cannot handle {name}"))
}

fn log_reload() {
    log_signal("SIGHUP");
    event_log::write(
        LogPriority::Decision,
        "reload",
        format_args!("changed=nothing"),
    );
}

fn log_signal(name: &str) {
    event_log::write(LogPriority::Decision, "signal", format_args!("name={name}"));
}
