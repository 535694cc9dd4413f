//! A gateway whose output nobody reads.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::path::Path;
use std::time::{Duration, Instant};

use gorsebank_replay::live::free_address;

use platform::client::{Client, request};
use platform::process::GatewayProcess;
use platform::runner::{Reply, Runner};
use platform::{store_with, until};

/// For so long the output is not read.
const UNREAD: Duration = Duration::from_secs(10);
/// No request may take longer: one that waits for the reader would take for ever.
const LONGEST: Duration = Duration::from_secs(2);
/// Refused requests in a round; each leaves a line.
const REFUSED: usize = 4;
/// Rounds at least, however slow the machine is: their lines are more than the queue of lines
/// (2,048) and a pipe (some 400) hold together, or nothing would have to be left out.
const LEAST_ROUNDS: usize = 1_000;
/// Pause between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(4);

#[tokio::test]
async fn output_that_nobody_reads_holds_no_request_up() {
    let runner = Runner::start("i-1", |_| Reply::Answer(200, "done")).await;
    let store = store_with("app", &[&runner]).await;
    let addresses = [0, 1].map(|_| free_address().expect("a port"));
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let mut gateway = GatewayProcess::start(program, &store, addresses);
    until(async || gateway.is_ready().await).await;

    let mut client = Client::connect(gateway.callers).await;
    let began = Instant::now();
    let mut longest = Duration::ZERO;
    let mut rounds = 0;
    while began.elapsed() < UNREAD || rounds < LEAST_ROUNDS {
        let asked = Instant::now();
        let served = client.send(request(&format!("s{rounds}"), "/read/")).await;
        assert_eq!(served.expect("an answer").status, 200);
        for number in 0..REFUSED {
            let id = format!("f{rounds}-{number}");
            let refused = client.send(request(&id, "/nowhere/")).await;
            assert_eq!(refused.expect("an answer").status, 404);
        }
        longest = longest.max(asked.elapsed());
        rounds += 1;
        tokio::time::sleep(PAUSE).await;
    }
    println!("{rounds} rounds, the longest took {longest:?}");
    assert!(longest < LONGEST, "{longest:?}");

    let lines = gateway.read_lines();
    let about_refused = lines
        .iter()
        .filter(|line| line.contains(" request=f"))
        .count();
    let left_out = lines.iter().map(|line| count_left_out(line)).max();
    println!("{about_refused} lines on refused requests, {left_out:?} left out");
    assert!(about_refused < rounds * REFUSED, "the writer was held up");
    assert!(left_out > Some(0), "what was left out is counted");
}

fn count_left_out(line: &str) -> u64 {
    let mut fields = line.split(' ');
    let count = fields.find_map(|field| field.strip_prefix("left_out="));
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}
