//! The users' platform's names stand in `platform/` alone.
//!
//! Its headers, paths and distinctive fields are listed here once; a source
//! file elsewhere that holds one as a whole word fails the test. Words that are
//! plain English, or that a library of the field uses as well, are not listed.

use std::path::{Path, PathBuf};

/// Names that only the platform's wire uses.
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

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path
            .extension()
            .is_some_and(|extension| extension == "rs" || extension == "toml")
        {
            found.push(path);
        }
    }
}

fn holds_word(text: &str, word: &str) -> bool {
    let is_part = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
    text.match_indices(word).any(|(at, _)| {
        let before = at.checked_sub(1).map(|index| text.as_bytes()[index]);
        let after = text.as_bytes().get(at + word.len()).copied();
        !before.is_some_and(is_part) && !after.is_some_and(is_part)
    })
}

fn wire_names_in(text: &str) -> Vec<&'static str> {
    let lower = text.to_ascii_lowercase();
    WIRE_NAMES
        .into_iter()
        .filter(|name| holds_word(text, name) || holds_word(&lower, name))
        .collect()
}

#[test]
fn no_wire_name_stands_outside_the_platform_folder() {
    let this_file = Path::new(file!()).file_name().expect("a name").to_owned();
    let mut files = Vec::new();
    for folder in ["crates", "examples"] {
        sources(&root().join(folder), &mut files);
    }
    assert!(files.len() > 100, "the sources were found");
    let mut wrong = Vec::new();
    for file in files
        .iter()
        .filter(|file| file.file_name() != Some(&this_file))
    {
        let text = std::fs::read_to_string(file).expect("a text");
        for name in wire_names_in(&text) {
            wrong.push(format!("{}: {name}", file.display()));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn the_check_finds_names_in_any_case_and_only_whole_words() {
    assert_eq!(wire_names_in("insert(\"Server-Seal\", x)"), ["server-seal"]);
    assert_eq!(wire_names_in("route.timeoutMs"), ["timeoutMs"]);
    assert!(wire_names_in("x-request-id-like my_loadS").is_empty());
}

#[test]
fn the_platform_folder_is_small() {
    let mut files = Vec::new();
    sources(&root().join("platform/src"), &mut files);
    let lines: usize = files
        .iter()
        .map(|file| {
            std::fs::read_to_string(file)
                .expect("a text")
                .lines()
                .count()
        })
        .sum();
    assert!(
        lines < 1_500,
        "platform/ translates and does nothing else: {lines} lines"
    );
}
