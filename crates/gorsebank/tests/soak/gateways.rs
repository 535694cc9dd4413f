//! The gateways of a run: each a process, that is signalled, and started again when it is
//! gone. Only processes that were started here are signalled, by their id.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use gorsebank_replay::live::free_address;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::time::sleep;

use super::platform::process::{GatewayPlace, GatewayProcess};
use super::platform::wire::Wire;

/// Pause between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(50);
/// A process that was asked to stop ends its requests within this time, or is killed.
pub const GRACE: Duration = Duration::from_secs(8);

/// Names the program of an earlier build.
const EARLIER_BUILD: &str = "GORSEBANK_SOAK_EARLIER";

/// A gateway, now this process, then that.
pub struct Slot {
    name: String,
    /// The way to the table.
    pub wire: Wire,
    process: Option<GatewayProcess>,
    number: usize,
    /// Where each process's lines go; nowhere if nobody asked for a report.
    logs: Option<PathBuf>,
}

/// Where callers find the process of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Door {
    /// The process's number.
    pub process: usize,
    /// Where it listens.
    pub callers: SocketAddr,
}

/// The program of the process with this number. Every second process is of an earlier build, if
/// one is given, so that both run side by side and take each other's places.
fn program(number: usize) -> PathBuf {
    let earlier = std::env::var_os(EARLIER_BUILD).map(PathBuf::from);
    let earlier = earlier.filter(|_| number % 2 == 1);
    earlier.unwrap_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_gorsebank")))
}

impl Slot {
    /// Starts a gateway that reaches the table through `wire`, and writes its lines to a
    /// file of its process in `logs`.
    pub fn start(name: &str, wire: Wire, number: usize, logs: Option<PathBuf>) -> Self {
        let mut slot = Slot {
            name: name.to_owned(),
            wire,
            process: None,
            number,
            logs,
        };
        slot.start_again(number);
        slot
    }

    /// Starts another process in place of one that is gone.
    pub fn start_again(&mut self, number: usize) {
        self.process = None;
        let address = || free_address().expect("a port");
        let place = GatewayPlace {
            node: &self.name,
            table: self.wire.address,
            callers: address(),
            readiness: address(),
            relay: Some(address()),
        };
        self.process = Some(GatewayProcess::start_at(
            &program(number),
            &place,
            self.output(number),
        ));
        self.number = number;
    }

    fn output(&self, number: usize) -> Stdio {
        let Some(folder) = &self.logs else {
            return Stdio::null();
        };
        std::fs::create_dir_all(folder).expect("a folder for logs");
        let file = folder.join(format!("{}-process-{number}.log", self.name));
        File::create(file).expect("a file for logs").into()
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where callers go; none while there is no process.
    pub fn door(&self) -> Option<Door> {
        let process = self.process.as_ref()?;
        Some(Door {
            process: self.number,
            callers: process.callers,
        })
    }

    /// Sends a signal. Out: the number of the process.
    pub fn signal(&self, signal: Signal) -> Option<usize> {
        let process = self.process.as_ref()?;
        let id = Pid::from_raw(process.child.id().try_into().expect("an id"));
        kill(id, signal).ok()?;
        Some(self.number)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.process = None;
    }

    fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_none_or(|process| matches!(process.child.try_wait(), Ok(Some(_))))
    }

    /// Waits until a process that was asked to stop is gone.
    pub async fn wait_for_end(slot: &parking_lot::Mutex<Slot>) {
        for _ in 0..GRACE.as_millis() / LOOK.as_millis() {
            if slot.lock().has_ended() {
                return;
            }
            sleep(LOOK).await;
        }
        slot.lock().kill();
    }
}
