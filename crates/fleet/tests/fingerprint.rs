//! Fingerprints, which gateways of different builds exchange.

use gorsebank_fleet::{Fingerprint, FingerprintHasher};

/// The first eight bytes of the fingerprint that every build computes for the parts below.
const LEADING_NUMBER: u64 = 15_879_561_869_173_825_594;

/// Guards against fingerprints that differ between builds, or with the pieces of a body.
#[test]
fn fingerprints_do_not_depend_on_the_build_or_on_pieces() {
    let body = vec![7; 100_000];
    let whole = Fingerprint::of(&[b"POST", b"", &body]);
    assert_eq!(whole.leading_number(), LEADING_NUMBER);
    let mut hasher = FingerprintHasher::default();
    hasher.begin_part(4);
    hasher.append(b"POST");
    hasher.begin_part(0);
    hasher.begin_part(body.len());
    for piece in body.chunks(30_000) {
        hasher.append(piece);
    }
    assert_eq!(hasher.finish(), whole);
}
