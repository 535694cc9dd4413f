//! Compares placement policies on the same trace.
//!
//! The fixed keep-alive baseline and the policy of gorsebank run in the same
//! simulator with the same decision logic, so that only the policy differs. An
//! independent router uses only the engines of its own zone. The clairvoyant plan
//! is a bound, not a policy: it knows the trace, has unlimited memory, and loads
//! from the fastest cache that any engine has, but begins a load only when a
//! request arrives.

pub mod clairvoyant;
pub mod metrics;
pub mod policies;

pub use metrics::PolicyMetrics;
pub use policies::{Policy, run_policy};
