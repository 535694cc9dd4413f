//! Parsing of traces, and errors of invalid traces.

use std::path::Path;

use gorsebank_replay::trace::Trace;

const HEADER: &str = r#"{"trace":"t","about":"x","duration":"1s","nodes":[{"id":"n1","zone":"z"}],"back_ends":[],"rows":[]}"#;

fn error_of(lines: &[&str]) -> String {
    Trace::parse(Path::new("bad.jsonl"), &lines.join("\n"))
        .expect_err("the trace is refused")
        .to_string()
}

#[test]
fn errors_name_the_line_and_the_field() {
    let cases: [(&[&str], &str, &str); 9] = [
        (&[""], "bad.jsonl:1", "empty"),
        (&["{"], "bad.jsonl:1", "header"),
        (&[&HEADER.replace("1s", "soon")], "bad.jsonl:1", "header"),
        (&[HEADER, "{"], "bad.jsonl:2", "EOF"),
        (&[HEADER, r#"{"model":"m"}"#], "bad.jsonl:2", "`at`"),
        (
            &[HEADER, "", r#"{"at":"1","model":"m"}"#],
            "bad.jsonl:3",
            "`at`",
        ),
        (
            &[HEADER, r#"{"at":"1s","model":"m","colour":1}"#],
            "bad.jsonl:2",
            "colour",
        ),
        (
            &[HEADER, r#"{"at":"1s","fault":"kill","process":"n9"}"#],
            "bad.jsonl:2",
            "n9",
        ),
        (
            &[HEADER, r#"{"outcome":"loads","most":1}"#],
            "bad.jsonl:2",
            "most",
        ),
    ];
    for (lines, location, reason) in cases {
        let error = error_of(lines);
        assert!(error.starts_with(location), "{error}");
        assert!(error.contains(reason), "{error} does not name {reason}");
    }
}

#[test]
fn a_valid_trace_is_parsed() {
    let text = [HEADER, r#"{"at":"1s","model":"m"}"#].join("\n");
    let trace = Trace::parse(Path::new("good.jsonl"), &text).expect("a trace");
    assert_eq!(trace.events.len(), 1);
}
