//! Runs benchmark scenarios for several variants of the sources with the same
//! seeds, and shows whether the results differ by more than chance.
//!
//! The input is a benchmark program, a checkout of each variant, a configuration
//! file with a deployment, the names of scenarios, and seeds. The output is the mean
//! of each metric for each variant, and the mean of the paired differences from the
//! first variant with its standard error. The results of two runs of one scenario
//! differ by 0.1, so fewer than 20 runs per variant show little.

pub mod outcome;
pub mod scenario_run;
pub mod statistics;
pub mod table;

pub use outcome::Outcome;
pub use scenario_run::{Bench, Scenario, ScenarioRun, Variant};
