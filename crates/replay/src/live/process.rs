//! A child process that says where it listens and is killed with its value.

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

/// A process must have ended within this time once it was asked to.
const END_LIMIT: Duration = Duration::from_secs(60);
/// The line by which a process says that it is ready.
const READY_PREFIX: &str = "listening on ";

/// A running program.
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
            .ok_or_else(|| eyre!("the program has no output"))?;
        let mut errors = child
            .stderr
            .take()
            .ok_or_else(|| eyre!("the program has no error output"))?;
        let mut reader = BufReader::new(stdout);
        let mut first = String::new();
        reader.read_line(&mut first)?;
        let address = first
            .trim_end()
            .strip_prefix(READY_PREFIX)
            .and_then(|address| address.parse().ok());
        let Some(address) = address else {
            // Nothing else is to be done about a child that ended by itself.
            let _ = child.kill();
            let mut said = String::new();
            errors.read_to_string(&mut said)?;
            bail!(
                "{} {arguments:?} did not start: {first:?} {said}",
                program.display()
            );
        };
        // A pipe that nobody empties would hold the program up.
        std::thread::spawn(move || std::io::copy(&mut errors, &mut std::io::sink()));
        let lines = Arc::new(Mutex::new(Vec::new()));
        collect(reader, Arc::clone(&lines));
        Ok(Process {
            child,
            address,
            lines,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it printed after it was ready.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().clone()
    }

    /// Sends a signal; a process that has ended needs none.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        let _ = kill(pid, signal);
    }

    /// Waits until it has ended; says whether it ended well.
    pub fn wait(&mut self) -> bool {
        let until = Instant::now() + END_LIMIT;
        while Instant::now() < until {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => std::thread::sleep(Duration::from_millis(20)),
                Err(_) => return false,
            }
        }
        false
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        // A process that has ended already needs no end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory in bytes, as the kernel accounts for it.
    pub fn resident_bytes(&self) -> eyre::Result<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path)?;
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|line| line.split_whitespace().next())
            .and_then(|number| number.parse::<u64>().ok())
            .map(|kibibytes| kibibytes * 1024)
            .ok_or_else(|| eyre!("its memory is not stated"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn collect(reader: BufReader<ChildStdout>, lines: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in reader.lines().map_while(Result::ok) {
            lines.lock().push(line);
        }
    });
}
