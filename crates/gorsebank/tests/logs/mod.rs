//! Commands of `gorsebank` that read gateways' lines, run on a log.

use std::io::Write as _;
use std::process::{Command, Output};

/// What a command does with a log; `name` keeps files of different tests apart.
pub fn run(arguments: &[&str], name: &str, log: &str) -> Output {
    let file = format!("{}-{}-{name}.log", arguments[0], std::process::id());
    let path = std::env::temp_dir().join(file);
    let mut file = std::fs::File::create(&path).expect("a file");
    file.write_all(log.as_bytes()).expect("written");
    Command::new(env!("CARGO_BIN_EXE_gorsebank"))
        .args(arguments)
        .arg(&path)
        .output()
        .expect("it runs")
}

/// What a command that succeeds writes.
#[allow(dead_code)]
pub fn told(arguments: &[&str], name: &str, log: &str) -> String {
    let output = run(arguments, name, log);
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("text")
}
