//! Tests revisions of the table.

use gorsebank_contract::{TableRevision, era_of};

fn revision(era: u64, version: u64) -> u64 {
    let revision = TableRevision { era, version };
    revision.to_number().expect("in range")
}

#[test]
fn revisions_of_a_later_era_are_greater_and_exact_in_json() {
    let last = (1 << 40) - 1;
    assert_eq!(revision(0, 17), 17);
    assert!(revision(1, 0) > revision(0, last));
    let greatest = revision(8_191, last);
    assert_eq!(greatest, (1 << 53) - 1);
    assert_eq!(era_of(greatest), 8_191);
    assert_eq!(TableRevision::from_number(greatest).version, last);
}

#[test]
fn an_era_or_a_version_out_of_range_is_an_error() {
    for (era, version) in [(8_192, 0), (0, 1 << 40)] {
        let error = TableRevision { era, version }.to_number();
        let text = error.expect_err("out of range").to_string();
        assert!(text.contains(&era.to_string()), "{text}");
    }
}
