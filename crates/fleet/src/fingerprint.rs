//! What names a request that comes again: the same call with the same body.
//!
//! A caller's next try bears a new id, and nothing in it names the caller, so tries are
//! told to be the same by what they ask for. Verdicts hang on fingerprints, so nobody may be
//! able to make another request that has a given one: they come from a cryptographic hash,
//! and need no secret that all gateways share.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Keeps fingerprints apart from hashes that others make of the same bytes.
const CONTEXT: &str = "gorsebank request fingerprint 1";
/// Bytes that are kept of the hash: no two requests share them by chance, and finding a
/// second request for a given one takes 2^128 tries.
const BYTES: usize = 16;
/// Bytes that a log line tells.
const BYTES_TOLD: usize = 6;

/// Names a request by what it asks for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The fingerprint of a request's parts, in a fixed order; `[a, bc]` and `[ab, c]` differ.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut told = self.0.iter().take(BYTES_TOLD);
        told.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Fingerprint({self})")
    }
}
