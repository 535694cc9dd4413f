//! `gorsebank explain` on a log with malformed lines.

mod logs;

const LOG: &str = "\
time_ms=800 node=n3 left_out=0 event=waiting request=r4 missing=model expected_ms=4800
time_ms=900 node=n1 left_out=0 event=back_end_gone back_end=i-1 version=7
garbage \u{fffd}
time_ms=1000 node=n1 left_out=0 event=chosen request=r1 back_end=i-1 eligible=1 in_flight=0
time_ms=1090 node=n1 left_out=0 event=attempt request=r1 back_end=i-1 result=connection_lost may_have_run=true
time_ms=1091 node=n1 left_out=0 event=request_end request=r1 outcome=connection_lost status=502 route=top-up back_end=- model=-
time_ms=1100 node=n2 left_out=0 event=order engine=i-2 order=LoadModel(m1) sequence=0 fence=3 reason=\"demand\" result=Accepted
time_ms=1200 node=n1 left_out=0 event=refused request=r2 reason=no_model expected_ms=4800 load_ordered=false
time_ms=1201 node=n1 left_out=0 event=request_end request=r2 outcome=no_model status=503 route=crew back_end=- model=m1
time_ms=1250 node=n2 left_out=0 event=attempt request=r5 back_end=i-4 result=500 may_have_run=false attempt=1 row_version=9 row_age_ms=310
time_ms=1250 node=n2 left_out=0 event=retry request=r5 service=app granted=false budget_left=0.4 gateways=8 sends=1 ran=1
time_ms=1251 node=n2 left_out=0 event=request_end request=r5 outcome=back_end_failed status=500 route=read back_end=i-4 model=-
time_ms=1260 node=n1 left_out=0 event=access_denied request=r6 reason=keys_not_confirmed route=crew age_ms=4710 configuration=7
time_ms=1260 node=n1 left_out=0 event=request_end request=r6 outcome=keys_not_confirmed status=503 route=crew attempts=0 exposed=false
time_ms=1270 node=n1 left_out=0 event=limited request=r7 reason=beyond_limit tenant=crews cost=1540 rate=2700 burst=2700 waited_ms=2 retry_after_ms=310
time_ms=1270 node=n1 left_out=0 event=request_end request=r7 outcome=beyond_limit status=429 route=crew attempts=0 exposed=false
time_ms=1300 node=n1 left_out=0 event=request_end request=r3 outcome=served status=200 route=crew back_end=i-2 model=m1
";

fn explain(request: &str) -> String {
    logs::successful_output(&["explain", request], request, LOG)
}

#[test]
fn failed_attempt_shows_last_known_back_end_state() {
    let output = explain("r1");
    assert!(
        output.contains("cause: the attempt at i-1 ended with connection_lost"),
        "{output}"
    );
    assert!(
        output.contains("last heard of it: event=back_end_gone back_end=i-1"),
        "{output}"
    );
    assert!(output.contains("1 lines were no log lines"), "{output}");
}

#[test]
fn exhausted_retry_budget_is_reported() {
    let output = explain("r5");
    assert!(
        output.contains("the attempt at i-4 ended with 500"),
        "{output}"
    );
    assert!(
        output.contains("no retry was left: event=retry"),
        "{output}"
    );
    assert!(output.contains("budget_left=0.4 gateways=8"), "{output}");
}

#[test]
fn rejection_shows_its_inputs_and_load_orders() {
    let output = explain("r2");
    assert!(
        output.contains("cause: refused by the gateway: event=refused"),
        "{output}"
    );
    assert!(output.contains("expected_ms=4800"), "{output}");
    assert!(output.contains("LoadModel(m1)"), "{output}");
}

#[test]
fn key_and_limit_rejections_show_their_inputs() {
    let output = explain("r6");
    assert!(
        output.contains("refused by the gateway: event=access_denied"),
        "{output}"
    );
    assert!(output.contains("age_ms=4710"), "{output}");
    let output = explain("r7");
    assert!(
        output.contains("refused by the gateway: event=limited"),
        "{output}"
    );
    assert!(output.contains("tenant=crews cost=1540"), "{output}");
}

#[test]
fn request_without_end_shows_its_last_log_line() {
    let output = explain("r4");
    assert!(output.contains("the process was killed"), "{output}");
    assert!(
        output.contains("last: event=waiting request=r4 missing=model"),
        "{output}"
    );
}

#[test]
fn served_and_unknown_requests_are_distinguished() {
    assert!(explain("r3").contains("cause: it was served"));
    assert!(explain("r9").contains("no line speaks of request r9"));
}
