//! A gateway whose output nobody reads must not delay requests.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::path::Path;
use std::time::{Duration, Instant};

use gorsebank_replay::live::free_address;

use platform::client::{Client, request};
use platform::process::GatewayProcess;
use platform::runner::{Reply, Runner};
use platform::{start_store_with, wait_until};

/// Time for which the output is not read.
const UNREAD_TIME: Duration = Duration::from_secs(10);
/// Upper bound on a round of requests; a request that waited for the reader would never end.
const MAX_ROUND_TIME: Duration = Duration::from_secs(2);
/// Number of rejected requests in a round; each writes a log line.
const REJECTED_PER_ROUND: usize = 4;
/// Minimum number of rounds, also on a slow machine. The log lines of these rounds exceed the
/// capacity of the log queue (2,048 lines) and a pipe (some 400 lines) together; with fewer rounds,
/// no line would have to be dropped.
const MIN_ROUNDS: usize = 1_000;
/// Pause between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(4);

#[tokio::test]
async fn unread_output_does_not_delay_requests() {
    let runner = Runner::start("i-1", |_| Reply::Response(200, "done")).await;
    let store = start_store_with("app", &[&runner]).await;
    let addresses = [0, 1].map(|_| free_address().expect("a free port"));
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let mut gateway = GatewayProcess::start(program, &store, addresses);
    wait_until(async || gateway.is_ready().await).await;

    let mut client = Client::connect(gateway.callers).await;
    let started_at = Instant::now();
    let mut longest = Duration::ZERO;
    let mut rounds = 0;
    while started_at.elapsed() < UNREAD_TIME || rounds < MIN_ROUNDS {
        let round_start = Instant::now();
        let served = client.send(request(&format!("s{rounds}"), "/read/")).await;
        assert_eq!(served.expect("a response").status, 200);
        for number in 0..REJECTED_PER_ROUND {
            let id = format!("f{rounds}-{number}");
            let rejected = client.send(request(&id, "/nowhere/")).await;
            assert_eq!(rejected.expect("a response").status, 404);
        }
        longest = longest.max(round_start.elapsed());
        rounds += 1;
        tokio::time::sleep(PAUSE).await;
    }
    println!("{rounds} rounds, the longest took {longest:?}");
    assert!(longest < MAX_ROUND_TIME, "{longest:?}");

    let lines = gateway.read_lines();
    let rejection_lines = lines
        .iter()
        .filter(|line| line.contains(" request=f"))
        .count();
    let left_out = lines.iter().map(|line| count_left_out(line)).max();
    println!("{rejection_lines} log lines of rejected requests, {left_out:?} lines dropped");
    assert!(
        rejection_lines < rounds * REJECTED_PER_ROUND,
        "no log line was dropped although nobody read the output"
    );
    assert!(left_out > Some(0), "dropped lines are counted");
}

fn count_left_out(line: &str) -> u64 {
    let mut fields = line.split(' ');
    let count = fields.find_map(|field| field.strip_prefix("left_out="));
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}
