//! Plays days of the users' bench for several variants of the sources on the same
//! seeds, and says whether their outcomes differ by more than chance.
//!
//! In: checkouts (arms), a site file, names of days, seeds. Out: for each arm the
//! mean of each figure, and against the first arm the mean of the paired
//! differences with its standard error. One day played twice differs by 0.1, so
//! fewer than 20 plays an arm tell little.

pub mod outcome;
pub mod play;
pub mod statistics;
pub mod table;

pub use outcome::Outcome;
pub use play::{Arm, Bench, Day, Play};
