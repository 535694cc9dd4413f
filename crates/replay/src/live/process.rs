//! Starts child processes that print their listen address, collects their output, and kills them
//! when their values are dropped.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Context, bail, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use parking_lot::Mutex;

/// Time within which a process must exit after a request to stop.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Start of the line with the listen address that a process prints when it is ready.
const READY_PREFIX: &str = "listening on ";

/// A child process. Dropping the value kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program and waits for its line `listening on ADDRESS`.
    pub fn start(program: &Path, arguments: &[&str]) -> eyre::Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("the standard output of the program is not piped"))?;
        let mut errors = child
            .stderr
            .take()
            .ok_or_else(|| eyre!("the standard error of the program is not piped"))?;
        let mut reader = BufReader::new(stdout);
        let mut first = String::new();
        reader.read_line(&mut first)?;
        let address = first
            .trim_end()
            .strip_prefix(READY_PREFIX)
            .and_then(|address| address.parse().ok());
        let Some(address) = address else {
            // The error is ignored: the child may have exited already.
            let _ = child.kill();
            let mut error_output = String::new();
            errors.read_to_string(&mut error_output)?;
            bail!(
                "{} {arguments:?} did not start: {first:?} {error_output}",
                program.display()
            );
        };
        // A full pipe would block the program, so its error output is read and discarded.
        std::thread::spawn(move || std::io::copy(&mut errors, &mut std::io::sink()));
        let lines = Arc::new(Mutex::new(Vec::new()));
        collect_lines(reader, Arc::clone(&lines));
        Ok(Process {
            child,
            address,
            lines,
        })
    }

    /// Address at which the process listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lines that the process printed after it was ready.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().clone()
    }

    /// Sends a signal. An error is ignored, as the process may have exited.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        let _ = kill(pid, signal);
    }

    /// Waits for the process to exit. Returns whether it exited in time and with success.
    pub fn wait(&mut self) -> bool {
        let until = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < until {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => std::thread::sleep(Duration::from_millis(20)),
                Err(_) => return false,
            }
        }
        false
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory in bytes, from `VmRSS` in `/proc/PID/status`.
    pub fn resident_bytes(&self) -> eyre::Result<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path)?;
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|line| line.split_whitespace().next())
            .and_then(|number| number.parse::<u64>().ok())
            .map(|kibibytes| kibibytes * 1024)
            .ok_or_else(|| eyre!("/proc does not state the resident memory of the process"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn collect_lines(reader: BufReader<ChildStdout>, lines: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in reader.lines().map_while(Result::ok) {
            lines.lock().push(line);
        }
    });
}
