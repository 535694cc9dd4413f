//! `gorsebank losses` on a log with malformed lines.

mod logs;

use std::process::{Command, Output};

const LOG: &str = "\
time_ms=1000 node=n1 left_out=0 event=chosen request=r1 back_end=i-1 eligible=1 in_flight=0 fresh_tokens=90
time_ms=1400 node=n1 left_out=0 event=stream_end request=r1 events=9 first_event_ms=50 longest_pause_ms=120 longest_pause_end_ms=300 pause_objective_ms=300
time_ms=1400 node=n1 left_out=0 event=request_end request=r1 outcome=served status=200 route=live service=llm back_end=i-1 model=m1 total_ms=400 objective_ms=400
garbage \u{fffd}
time_ms=2000 node=n1 left_out=0 event=chosen request=r2 back_end=i-1 eligible=1 in_flight=0 fresh_tokens=80
time_ms=2050 node=n2 left_out=0 event=chosen request=x1 back_end=i-1 eligible=1 in_flight=0 fresh_tokens=5000
time_ms=2600 node=n1 left_out=0 event=stream_end request=r2 events=9 first_event_ms=40 longest_pause_ms=350 longest_pause_end_ms=450 pause_objective_ms=300
time_ms=2600 node=n1 left_out=0 event=request_end request=r2 outcome=served status=200 route=live service=llm back_end=i-1 model=m1 total_ms=600 objective_ms=400
time_ms=3000 node=n1 left_out=0 event=waiting request=r3 missing=model expected_ms=1300 load_ordered=false nearest_copy=Disk longest_ms=2300
time_ms=3100 node=n3 left_out=0 event=load_put_off model=m9 worth=0.67 obstacle=\"TooDear { loss: 0.82 }\"
time_ms=5300 node=n1 left_out=0 event=refused request=r3 reason=no_model expected_ms=1300 load_ordered=false nearest_copy=Disk waited_ms=2300
time_ms=5300 node=n1 left_out=0 event=request_end request=r3 outcome=no_model status=503 route=archive service=llm back_end=- model=m9 total_ms=2300 objective_ms=2500
time_ms=6000 node=n1 left_out=0 event=attempt request=r4 back_end=a-1 result=500 may_have_run=false attempt=1
time_ms=6000 node=n1 left_out=0 event=retry request=r4 service=app granted=false budget_left=0.1 gateways=8 sends=1 ran=1
time_ms=6001 node=n1 left_out=0 event=request_end request=r4 outcome=back_end_failed status=500 route=read service=app back_end=a-1 model=- total_ms=60 objective_ms=300
time_ms=7000 node=n1 left_out=0 event=request_end request=r5 outcome=served status=200 route=read service=app back_end=a-1 model=- total_ms=340 objective_ms=300
time_ms=8000 node=n2 left_out=0 event=chosen request=r6 back_end=a-1 eligible=1 in_flight=0
time_ms=8100 node=n1 left_out=0 event=access_denied request=r8 reason=unknown_key route=keyed age_ms=310 configuration=7
time_ms=8100 node=n1 left_out=0 event=request_end request=r8 outcome=unknown_key status=401 route=keyed attempts=0 exposed=false
time_ms=8200 node=n1 left_out=0 event=limited request=r9 reason=beyond_limit tenant=crews cost=1540 rate=2700 burst=2700 waited_ms=2 retry_after_ms=310
time_ms=8200 node=n1 left_out=0 event=request_end request=r9 outcome=beyond_limit status=429 route=keyed attempts=0 exposed=false
time_ms=8300 node=n1 left_out=0 event=refused request=r10 reason=back_end_limit expected_ms=800 load_ordered=false waited_ms=1
time_ms=8300 node=n1 left_out=0 event=request_end request=r10 outcome=back_end_limit status=503 route=live service=llm back_end=- model=m1 total_ms=1 objective_ms=400
time_ms=8400 node=n1 left_out=0 event=refused request=r11 reason=engines_full expected_ms=900 load_ordered=false engines=1 running=16 bound=14 ahead=5 waited_ms=1
time_ms=8400 node=n1 left_out=0 event=request_end request=r11 outcome=engines_full status=503 route=batch service=llm back_end=- model=m1 total_ms=1 objective_ms=400
time_ms=9000 node=n1 left_out=0 event=request_end request=r7 outcome=caller_left status=0 route=live service=llm back_end=- model=m1 total_ms=100 objective_ms=400
";

fn losses(name: &str, log: &str) -> Output {
    logs::run(&["losses"], name, log)
}

fn report(name: &str) -> String {
    logs::successful_output(&["losses"], name, LOG)
}

/// Returns the output line that names a request as its example.
fn example_line(report: &str, request: &str) -> String {
    let suffix = format!("such as {request}");
    let line = report.lines().find(|line| line.ends_with(&suffix));
    line.unwrap_or_else(|| panic!("{request} is missing: {report}"))
        .to_owned()
}

#[test]
fn each_lost_request_shows_its_cause() {
    let report = report("causes");
    for (request, outcome, cause) in [
        ("r2", "late", "pause, engine read long prompts"),
        ("r8", "refused", "key: unknown_key"),
        ("r9", "refused", "limit: beyond_limit"),
        ("r10", "refused", "back ends take no more"),
        ("r11", "refused", "engines that hold the model are full"),
        (
            "r3",
            "refused",
            "model cold, nearest copy Disk, load not ordered, put off: TooDear",
        ),
        ("r4", "failed", "no retry left after: 500"),
        ("r5", "late", "back end slow to answer"),
    ] {
        let line = example_line(&report, request);
        assert!(line.contains(outcome) && line.contains(cause), "{line}");
    }
    assert!(report.contains("no line tells the end"), "{report}");
}

#[test]
fn outcomes_are_counted_by_route() {
    let report = report("endings");
    let live = report
        .lines()
        .find(|line| line.starts_with("live"))
        .expect("the route has a line");
    let numbers: Vec<&str> = live.split_whitespace().skip(1).collect();
    assert_eq!(numbers, ["4", "1", "1", "1", "0", "1"]);
    assert!(report.contains("1 lines were no log lines"), "{report}");
}

#[test]
fn empty_log_succeeds() {
    let output = losses("empty", "");
    assert!(output.status.success());
}

#[test]
fn error_names_missing_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_gorsebank"))
        .args(["losses", "/nowhere/gateway.log"])
        .output()
        .expect("the command starts");
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert!(error.contains("/nowhere/gateway.log"), "{error}");
}
