//! A gateway that cannot start a thread.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::os::unix::fs::MetadataExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use gorsebank_replay::live::free_address;

use platform::client::{Client, request};
use platform::process::{GatewayEndpoints, settings_path, settings_text};
use platform::runner::{Reply, Runner};
use platform::{start_store_with, wait_until};

/// A user to whom the limit applies, other than to the superuser.
const UNPRIVILEGED_USER: u32 = 65_534;

/// A gateway that is killed, and whose files are removed, when this value is dropped.
struct LimitedGateway {
    child: Child,
    program: PathBuf,
    settings: PathBuf,
}

impl LimitedGateway {
    /// Starts a gateway that may have one thread only.
    fn start(endpoints: &GatewayEndpoints<'_>) -> Self {
        let settings = settings_path();
        std::fs::write(&settings, settings_text(endpoints)).expect("the settings file is written");
        // The folder of the program may be closed to the other user.
        let program = settings.with_extension("program");
        std::fs::copy(env!("CARGO_BIN_EXE_gorsebank"), &program).expect("the program is copied");
        let mut command = Command::new("prlimit");
        command
            .args(["--nproc=1", "--"])
            .arg(&program)
            .args(["gateway", "--settings"])
            .arg(&settings)
            .current_dir(std::env::temp_dir())
            .stdout(Stdio::null());
        if is_superuser() {
            command.uid(UNPRIVILEGED_USER).gid(UNPRIVILEGED_USER);
        }
        let child = command.spawn().expect("the program starts");
        LimitedGateway {
            child,
            program,
            settings,
        }
    }
}

impl Drop for LimitedGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.program);
    }
}

fn is_superuser() -> bool {
    Path::new("/proc/self").metadata().expect("a process").uid() == 0
}

#[tokio::test]
async fn a_gateway_without_a_thread_for_its_log_serves_requests() {
    let runner = Runner::start("i-1", |_| Reply::Response(200, "done")).await;
    let store = start_store_with("app", &[&runner]).await;
    let addresses = [0, 1].map(|_| free_address().expect("a free port"));
    let endpoints = GatewayEndpoints::without_relay(&store, addresses);
    let mut gateway = LimitedGateway::start(&endpoints);
    wait_until(async || {
        let ended = gateway.child.try_wait().expect("a child process");
        assert_eq!(ended, None, "the process ended");
        let Some(mut client) = Client::try_connect(endpoints.callers).await else {
            return false;
        };
        let response = client.send(request("r1", "/read/")).await;
        response.is_some_and(|response| response.status == 200)
    })
    .await;
}
