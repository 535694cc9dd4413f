//! Checks that the example settings files are valid, and that errors in settings
//! files name the line and the field.

use std::path::PathBuf;

use gorsebank_node::NodeSettings;

const VALID_SETTINGS: &str = r#"[node]
id = "n1"
zone = "a"
cell = "c"
listen_callers = "127.0.0.1:1"
listen_nodes = "127.0.0.1:2"
listen_admin = "127.0.0.1:3"
[platform]
tables = ["127.0.0.1:4"]
machine_list = "127.0.0.1:5"
"#;

#[test]
fn example_settings_files_are_valid() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["vatuloa.toml", "terminalkarten.toml"] {
        let settings = NodeSettings::read(&directory.join(name));
        assert!(settings.is_ok(), "{name}: {settings:?}");
    }
}

#[test]
fn settings_errors_name_the_line_and_the_field() {
    let cases = [
        ("[limits]\nbody = \"many\"", "body", 12),
        ("[limits]\nbody = \"0B\"", "body", 12),
        (
            "[membership]\nheartbeat_interval = 500",
            "heartbeat_interval",
            12,
        ),
        (
            "[membership]\nheartbeat_interval = \"0ms\"",
            "heartbeat_interval",
            12,
        ),
        ("[routing]\nretry_ratio = 2.0", "retry_ratio", 12),
        ("[routing]\ncolour = \"red\"", "colour", 12),
        ("[claims]\nmembers = 0", "members", 12),
        ("[log]\nformat = \"xml\"", "format", 12),
    ];
    for (text, field, line) in cases {
        let text = format!("{VALID_SETTINGS}{text}\n");
        let error = NodeSettings::parse(&text)
            .expect_err("the settings are rejected")
            .to_string();
        assert!(error.contains(field), "{error}");
        assert!(error.contains(&format!("line {line}")), "{error}");
    }
}

#[test]
fn missing_and_empty_fields_are_rejected() {
    let missing = VALID_SETTINGS.replace("zone = \"a\"\n", "");
    let error = NodeSettings::parse(&missing)
        .expect_err("the settings are rejected")
        .to_string();
    assert!(error.contains("zone"), "{error}");
    let empty = VALID_SETTINGS.replace("[\"127.0.0.1:4\"]", "[]");
    let error = NodeSettings::parse(&empty)
        .expect_err("the settings are rejected")
        .to_string();
    assert!(
        error.contains("tables") && error.contains("line 9"),
        "{error}"
    );
}
