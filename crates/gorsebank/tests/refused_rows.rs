//! `gorsebank refused-rows` on a log with malformed lines.

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

fn listing(name: &str, log: &str) -> String {
    logs::successful_output(&["refused-rows"], name, log)
}

#[test]
fn refused_row_is_listed_once_with_newest_version() {
    let listing = listing("rows", LOG);
    let mut lines = listing.lines().filter(|line| line.contains("servers/i-1"));
    let line = lines.next().expect("the row is listed");
    let words: Vec<&str> = line.split_whitespace().collect();
    assert_eq!(
        words,
        ["servers/i-1", "9", "bytes", "2", "900", "960", "no", "text"]
    );
    assert!(lines.next().is_none());
    assert!(listing.contains("op/config"), "{listing}");
    assert!(listing.contains("1 lines were no log lines"), "{listing}");
}

#[test]
fn absence_of_refused_rows_is_reported() {
    assert!(listing("none", "").contains("no row was refused"));
}
