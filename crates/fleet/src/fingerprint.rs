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
        let mut hasher = FingerprintHasher::default();
        for part in parts {
            hasher.begin_part(part.len());
            hasher.append(part);
        }
        hasher.finish()
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

/// Computes the fingerprint of parts that are not contiguous in memory.
#[derive(Debug)]
pub struct FingerprintHasher(blake3::Hasher);

impl Default for FingerprintHasher {
    fn default() -> Self {
        FingerprintHasher(blake3::Hasher::new_derive_key(HASH_CONTEXT))
    }
}

impl FingerprintHasher {
    /// Begins a part of `length` bytes.
    pub fn begin_part(&mut self, length: usize) {
        self.0.update(&(length as u64).to_le_bytes());
    }

    /// Adds bytes to the part that was begun last.
    pub fn append(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the fingerprint of the parts.
    pub fn finish(&self) -> Fingerprint {
        let mut bytes = [0; FINGERPRINT_BYTES];
        self.0.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
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
