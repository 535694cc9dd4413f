//! `gorsebank explain` on logs with bad lines among them.

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
    logs::told(&["explain", request], request, LOG)
}

#[test]
fn a_failed_attempt_is_told_with_what_was_known_of_its_back_end() {
    let told = explain("r1");
    assert!(
        told.contains("cause: the attempt at i-1 ended with connection_lost"),
        "{told}"
    );
    assert!(
        told.contains("last heard of it: event=back_end_gone back_end=i-1"),
        "{told}"
    );
    assert!(told.contains("1 lines were no log lines"), "{told}");
}

#[test]
fn a_request_that_is_not_sent_again_for_want_of_budget_is_told_so() {
    let told = explain("r5");
    assert!(told.contains("the attempt at i-4 ended with 500"), "{told}");
    assert!(told.contains("no retry was left: event=retry"), "{told}");
    assert!(told.contains("budget_left=0.4 gateways=8"), "{told}");
}

#[test]
fn a_refusal_is_told_with_its_inputs_and_the_orders_for_its_model() {
    let told = explain("r2");
    assert!(
        told.contains("cause: refused by the gateway: event=refused"),
        "{told}"
    );
    assert!(told.contains("expected_ms=4800"), "{told}");
    assert!(told.contains("LoadModel(m1)"), "{told}");
}

#[test]
fn what_was_refused_by_its_key_or_limit_is_told_with_the_inputs() {
    let told = explain("r6");
    assert!(
        told.contains("refused by the gateway: event=access_denied"),
        "{told}"
    );
    assert!(told.contains("age_ms=4710"), "{told}");
    let told = explain("r7");
    assert!(
        told.contains("refused by the gateway: event=limited"),
        "{told}"
    );
    assert!(told.contains("tenant=crews cost=1540"), "{told}");
}

#[test]
fn a_request_whose_gateway_was_killed_is_told_with_its_last_line() {
    let told = explain("r4");
    assert!(told.contains("the process was killed"), "{told}");
    assert!(
        told.contains("last: event=waiting request=r4 missing=model"),
        "{told}"
    );
}

#[test]
fn a_served_request_and_an_unknown_one_are_told_apart() {
    assert!(explain("r3").contains("cause: it was served"));
    assert!(explain("r9").contains("no line speaks of request r9"));
}
