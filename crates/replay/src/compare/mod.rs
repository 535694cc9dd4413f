//! Plays placement policies on the same trace, side by side.
//!
//! Fixed keep-alive and our policy run in the same simulator with the same
//! decision objects, so that only the policy differs. Routers that decide alone
//! each have the engines of their own zone. The clairvoyant plan is a bound, not
//! a policy: it knows the trace, has all the memory it wants and loads from the
//! fastest cache that any engine has; it begins to load when a request asks.

pub mod clairvoyant;
pub mod figures;
pub mod policies;

pub use figures::Figures;
pub use policies::{Policy, play};
