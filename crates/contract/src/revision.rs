//! Revisions of the table, which rise even if the table is restored from an older copy.
//!
//! A table service that is restored continues from an older version and assigns the versions since
//! then again. Its *era*, the number of restores, tells the two histories apart. A revision holds
//! the era in its high bits and the version in its low bits, so that every revision after a restore
//! is greater than all revisions before. In era 0, revisions equal versions.

use thiserror::Error;

/// Number of bits of a version in a revision. At 1,000 writes per second, they last for 34 years.
const VERSION_BITS: u32 = 40;
/// Number of bits of an era. Revisions stay below 2^53, the range in which JSON readers represent
/// integers exactly.
const ERA_BITS: u32 = 13;

/// The parts of a revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableRevision {
    /// Number of restores of the table.
    pub era: u64,
    /// Version that the table service assigned in that era.
    pub version: u64,
}

/// An era or a version exceeds the range of revisions.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("era {era} or version {version} of the table is out of range")]
pub struct RevisionOutOfRange {
    era: u64,
    version: u64,
}

impl TableRevision {
    /// Splits a revision.
    pub fn from_number(revision: u64) -> Self {
        TableRevision {
            era: era_of(revision),
            version: revision & ((1 << VERSION_BITS) - 1),
        }
    }

    /// The revision as one number.
    ///
    /// # Errors
    ///
    /// If the era or the version is out of range.
    pub fn to_number(self) -> Result<u64, RevisionOutOfRange> {
        let TableRevision { era, version } = self;
        if era >> ERA_BITS != 0 || version >> VERSION_BITS != 0 {
            return Err(RevisionOutOfRange { era, version });
        }
        Ok(era << VERSION_BITS | version)
    }
}

/// Checks that a version may be part of a revision.
///
/// # Errors
///
/// If the version is out of range.
pub fn check_version(version: u64) -> Result<(), RevisionOutOfRange> {
    TableRevision { era: 0, version }.to_number().map(|_| ())
}

/// The era of a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> VERSION_BITS
}
