//! `gorsebank refused-rows` on logs with bad lines among them.

mod logs;

const LOG: &str = "\
time_ms=900 node=n1 left_out=0 event=row_refused row=\"servers/i-1\" version=7 reason=shape error=\"addr: missing\"
garbage \u{fffd}
time_ms=950 node=n2 left_out=0 event=row_refused row=\"servers/i-1\" version=9 reason=bytes error=\"no text\"
time_ms=960 node=n1 left_out=0 event=row_refused row=\"servers/i-1\" version=8 reason=shape error=\"slots: a number\"
time_ms=970 node=n1 left_out=0 event=row_refused row=\"op/config\" version=3 reason=unknown_word error=\"routes[0].kind\"
time_ms=980 node=n1 left_out=0 event=row_refused reason=shape
time_ms=990 node=n1 left_out=0 event=back_end_gone back_end=i-1 version=7
";

fn told(name: &str, log: &str) -> String {
    logs::told(&["refused-rows"], name, log)
}

#[test]
fn each_row_is_listed_once_by_its_newest_version() {
    let told = told("rows", LOG);
    let mut lines = told.lines().filter(|line| line.contains("servers/i-1"));
    let line = lines.next().expect("the row");
    let words: Vec<&str> = line.split_whitespace().collect();
    assert_eq!(
        words,
        ["servers/i-1", "9", "bytes", "2", "900", "960", "no", "text"]
    );
    assert!(lines.next().is_none());
    assert!(told.contains("op/config"), "{told}");
    assert!(told.contains("1 lines were no log lines"), "{told}");
}

#[test]
fn no_refused_row_is_said_so() {
    assert!(told("none", "").contains("no row was refused"));
}
