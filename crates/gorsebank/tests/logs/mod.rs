//! Runs the commands of `gorsebank` that read gateway logs.

use std::io::Write as _;
use std::process::{Command, Output};

/// Runs a command on a log and returns its output; `name` separates the files of different tests.
pub fn run(arguments: &[&str], name: &str, log: &str) -> Output {
    let file = format!("{}-{}-{name}.log", arguments[0], std::process::id());
    let path = std::env::temp_dir().join(file);
    let mut file = std::fs::File::create(&path).expect("the log file can be created");
    file.write_all(log.as_bytes()).expect("the log is written");
    Command::new(env!("CARGO_BIN_EXE_gorsebank"))
        .args(arguments)
        .arg(&path)
        .output()
        .expect("the command starts")
}

/// Returns the standard output of a command that must succeed.
#[allow(dead_code)]
pub fn successful_output(arguments: &[&str], name: &str, log: &str) -> String {
    let output = run(arguments, name, log);
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}
