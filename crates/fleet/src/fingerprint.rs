//! Identifies repeated requests: the same call with the same body.
//!
//! A caller's retry has a new request id, and no part of a request identifies the caller, so
//! retries are recognised by their content. The quarantine acts on fingerprints, so it must be
//! infeasible to construct another request with a given fingerprint. Fingerprints are therefore
//! computed by a cryptographic hash, which needs no secret shared by all gateways.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Context string that separates fingerprints from other hashes of the same bytes.
const HASH_CONTEXT: &str = "gorsebank request fingerprint 1";
/// Number of bytes of the hash that are kept: accidental collisions do not occur, and finding a
/// second request for a given fingerprint takes 2^128 attempts.
const FINGERPRINT_BYTES: usize = 16;
/// Number of bytes that are written to log lines.
const LOGGED_BYTES: usize = 6;

/// Identifies a request by its content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// The fingerprint of a request's parts, in a fixed order. The boundaries of parts matter:
    /// `[a, bc]` and `[ab, c]` differ.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }

    /// The fingerprint as a hexadecimal number.
    pub fn to_hex(self) -> String {
        format!("{:032x}", u128::from_be_bytes(self.0))
    }

    /// Parses a hexadecimal number; `None` if it is not one, or too large.
    pub fn from_hex(text: &str) -> Option<Self> {
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Fingerprint(number.to_be_bytes()))
    }

    /// The first eight bytes as a number, which selects a group of fingerprints.
    pub fn leading_number(self) -> u64 {
        let mut leading = [0; 8];
        leading.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(leading)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut logged = self.0.iter().take(LOGGED_BYTES);
        logged.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Fingerprint({self})")
    }
}
