//! Decisions of a gateway about a fleet of back ends, as pure logic without I/O: the route of a
//! request, the back end that serves it, whether it may be retried, and which models the
//! placement holder loads on which back ends.
//!
//! Inputs: configuration, reports of back ends, demand and time. Outputs: decisions as values,
//! which `gorsebank-gateway` carries out. No code in this crate reads a clock, a socket or global
//! state.

pub mod access;
pub mod back_end;
pub mod choice;
pub mod configuration;
pub mod counting_seat;
pub mod demand;
pub mod departures;
pub mod events;
pub mod feeders;
pub mod fingerprint;
pub mod health;
pub mod incarnation;
pub mod joining;
pub mod lease;
pub mod ledger;
pub mod member;
pub mod pacer;
pub mod placement;
pub mod prompt;
pub mod quarantine;
pub mod reading;
pub mod reading_row;
pub mod requested_pause;
pub mod retry_window;
pub mod running;
pub mod split;
pub mod stated_limits;
pub mod sweep;
mod telling;
pub mod tenant;

pub use access::{Denial, KeyBounds, identify};
pub use back_end::{BackEndReport, CopyTier, EngineReport, Holdings, PlacedRow, PlannedLoad};
pub use configuration::{Configuration, Engine, Limits, ModelSpec, RequestKind, Route, Service};
pub use demand::{Demand, DemandRow, ModelDemand};
pub use departures::{Departures, ToldDeparture};
pub use fingerprint::Fingerprint;
pub use incarnation::{Born, Heard, Incarnation};
pub use joining::Joining;
pub use lease::{LeaseKeeper, LeaseRow, LeaseStep, Offer};
pub use ledger::{Ledger, LimitBound, Taken};
pub use member::MemberRow;
pub use pacer::{Pacer, SendTime};
pub use prompt::{KeptParts, Prompt, PromptPart};
pub use quarantine::Quarantine;
pub use reading::ReadingModel;
pub use reading_row::{GapSample, ReadingRow, ReadingSample};
pub use requested_pause::{PausedBackEnds, RequestedPause};
pub use retry_window::{RetryShare, RetryWindow};
pub use stated_limits::{StatedLimits, Statement, ToldLimit};
pub use sweep::Sweep;
pub use tenant::{ApiKey, LimitUnit, Tenant, TenantEntry, TenantLimit, Tenants, TenantsError};
