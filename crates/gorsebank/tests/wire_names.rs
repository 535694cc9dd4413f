//! Names of the wire formats of the users' platform may occur in `platform/` only.
//!
//! This file lists the headers, paths and distinctive fields of that platform. The test fails if a
//! source file elsewhere contains one of them as a whole word. Words of plain English, and words
//! that a library of the field also uses, are not listed.

use std::path::{Path, PathBuf};

/// Names that only the wire formats of the platform use.
const WIRE_NAMES: [&str; 68] = [
    "request-id",
    "deadline-ms",
    "prompt-prefix",
    "server-seal",
    "server-limit",
    "server-leaving",
    "expect-instance",
    "not-executed",
    "instance-id",
    "token-count",
    "request-priority",
    "weight-versions",
    "expect-version",
    "length-hint",
    "kv-backup",
    "kv-fetch",
    "kv-from",
    "pin-ms",
    "api/readyz",
    "api/report",
    "api/order",
    "api/rows-tx",
    "api/rows-get",
    "api/rows-feed",
    "api/rows-parts",
    "api/blob-put",
    "api/blob-get",
    "api/kv-events",
    "api/hold-take",
    "GORSEBANK_CONFIG",
    "pathPrefix",
    "timeoutMs",
    "targetMs",
    "gapTargetMs",
    "maxAttempts",
    "healthPath",
    "maxConns",
    "kvCapacity",
    "tokenKvBytes",
    "weightsMb",
    "adapterSlots",
    "loadsPerS",
    "adapterMb",
    "loadS",
    "warmS",
    "diskLoadS",
    "inHost",
    "onDisk",
    "coldLeftMs",
    "remainingMs",
    "maxHeaderBytes",
    "maxBodyBytes",
    "headerTimeoutMs",
    "idleTimeoutMs",
    "budgetExtra",
    "budgetWindowS",
    "graceS",
    "leaseMs",
    "portRange",
    "machineClass",
    "apiKeys",
    "plainTokens",
    "ratePerS",
    "strictRevoke",
    "revokeMs",
    "quotaWindowS",
    "quotaOverage",
    "quotaSlack",
];

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path
            .extension()
            .is_some_and(|extension| extension == "rs" || extension == "toml")
        {
            files.push(path);
        }
    }
}

fn contains_word(text: &str, word: &str) -> bool {
    let is_word_byte = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
    text.match_indices(word).any(|(at, _)| {
        let before = at.checked_sub(1).map(|index| text.as_bytes()[index]);
        let after = text.as_bytes().get(at + word.len()).copied();
        !before.is_some_and(is_word_byte) && !after.is_some_and(is_word_byte)
    })
}

fn wire_names_in(text: &str) -> Vec<&'static str> {
    let lower = text.to_ascii_lowercase();
    WIRE_NAMES
        .into_iter()
        .filter(|name| contains_word(text, name) || contains_word(&lower, name))
        .collect()
}

#[test]
fn wire_names_appear_only_in_platform() {
    let this_file = Path::new(file!())
        .file_name()
        .expect("the path has a file name")
        .to_owned();
    let mut files = Vec::new();
    for folder in ["crates", "examples"] {
        collect_sources(&repository_root().join(folder), &mut files);
    }
    assert!(files.len() > 100, "the sources are found");
    let mut violations = Vec::new();
    for file in files
        .iter()
        .filter(|file| file.file_name() != Some(&this_file))
    {
        let text = std::fs::read_to_string(file).expect("the file is UTF-8 text");
        for name in wire_names_in(&text) {
            violations.push(format!("{}: {name}", file.display()));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn check_matches_whole_words_in_any_case() {
    assert_eq!(wire_names_in("insert(\"Server-Seal\", x)"), ["server-seal"]);
    assert_eq!(wire_names_in("route.timeoutMs"), ["timeoutMs"]);
    assert!(wire_names_in("x-request-id-like my_loadS").is_empty());
}

#[test]
fn platform_sources_stay_below_line_limit() {
    let mut files = Vec::new();
    collect_sources(&repository_root().join("platform/src"), &mut files);
    let lines: usize = files
        .iter()
        .map(|file| {
            std::fs::read_to_string(file)
                .expect("the file is UTF-8 text")
                .lines()
                .count()
        })
        .sum();
    assert!(
        lines < 1_500,
        "platform/ may only translate wire formats, but has {lines} lines"
    );
}
